#!/usr/bin/env bash
# Runs both fuzz targets for half of SECONDS each: fuzz.sh BUILD_FOLDER SECONDS
# An input that breaks a promise is kept among those that the entry tests replay.
set -euo pipefail
build=$1
seconds=$2
inputs=$(cd "$(dirname "$0")/.." && pwd)/libs/entry/tests/fuzz_inputs
for kind in answer request; do
  mkdir -p "$build/corpus/$kind"
  "$build/${kind}_fuzz" -seed=1 -max_total_time=$((seconds / 2)) -max_len=4096 -timeout=30 \
    -artifact_prefix="$inputs/${kind}s/" "$build/corpus/$kind" "$inputs/${kind}s"
done
