#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for program in review/stand_in/*.cc; do
  name=$(basename "$program" .cc)
  [ "$name" = stand_in ] && continue
  g++ -std=c++17 -O2 -Wall -Wextra -Werror -pthread \
    review/stand_in/stand_in.cc "$program" -o "target/review/$name"
done
