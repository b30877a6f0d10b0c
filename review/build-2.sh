#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand_in_2/case_*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review-2/$name" \
    "$source" review/stand_in_2/stand_in.cc
done
