#!/usr/bin/env bash
# Runs clang-tidy over every translation unit of ours, in parallel. A unit
# whose content and headers are unchanged since it last passed is skipped.
set -euo pipefail
build=${1:-build}
jobs=$(nproc)
stamps="$build/lint-stamps"
mkdir -p "$stamps"
export build stamps

lint_one() {
  local file=$1
  local key
  key=$({ cat .clang-tidy "$file"; ninja -C "$build" -t deps 2>/dev/null |
    awk -v f="$file" 'index($0, ": #deps") {on = index($0, f) > 0} on && /^    / {print $1}' |
    (cd "$build" && grep -E 'packages/|platform/|tests/|tools/' | sort -u | xargs -r cat); } | sha256sum | cut -d' ' -f1)
  [ -e "$stamps/$key" ] && return 0
  local out
  if out=$(clang-tidy -p "$build" --quiet "$file" 2>/dev/null); then
    touch "$stamps/$key"
  else
    echo "$out"
    return 1
  fi
}
export -f lint_one
git ls-files 'packages/*.cc' 'platform/*.cc' 'tests/*.cc' 'tools/*.cc' |
  xargs -P "$jobs" -I{} bash -c 'lint_one {}'
