#!/usr/bin/env bash
# Runs the fuzz targets for a quarter of SECONDS each: fuzz.sh BUILD_FOLDER SECONDS
# An input that breaks a promise is kept among those that the tests of its library replay.
set -euo pipefail
build=$1
seconds=$2
root=$(cd "$(dirname "$0")/.." && pwd)

# run_target NAME FOLDER: fuzzes with the inputs in FOLDER as seeds.
run_target() {
  mkdir -p "$build/corpus/$1"
  "$build/$1_fuzz" -seed=1 -max_total_time=$((seconds / 4)) -max_len=4096 -timeout=30 \
    -artifact_prefix="$root/$2/" "$build/corpus/$1" "$root/$2"
}

run_target answer libs/entry/tests/fuzz_inputs/answers
run_target request libs/entry/tests/fuzz_inputs/requests
run_target entries platform/tests/fuzz_inputs/entries
run_target plans platform/tests/fuzz_inputs/plans
