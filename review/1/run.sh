#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/umbertraild ] && [ -x target/review/revoke_all ] || exit 2
export TROUBLE=${TROUBLE:-1}
target/review/revoke_all review/1/record.txt
status=$?
tail -n 40 review/1/record.txt | grep -E 'CONFIG|ROUTE|sent '
[ "$status" -le 1 ] && exit "$status"
exit 2
