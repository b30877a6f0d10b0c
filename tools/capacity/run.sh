#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md, one program after the other.
set -euo pipefail
build=${1:-build}
for program in message manifest telemetry connection node fleet; do
  binary="$build/tools/${program}_capacity"
  [ -x "$binary" ] || continue
  echo "== $program"
  arguments=()
  [ "$program" = fleet ] && arguments=(--json)
  timeout 300 "$binary" "${arguments[@]}"
done
