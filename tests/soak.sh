#!/usr/bin/env bash
# Runs the fuzz tests with consecutive seeds until the time is over; prints the command that replays a failure.
# Usage: soak.sh FIRST_SEED MINUTES
set -u
seed=$1
end=$((SECONDS + $2 * 60))
build=${SASSAFRAS_BUILD:-build}
while [ "$SECONDS" -lt "$end" ]; do
  for test in core peers; do
    params="seed=$seed max_success=1000 max_size=200"
    if ! RC_PARAMS="$params" "$build/${test}_tests" > "$build/soak.log" 2>&1; then
      grep -v '^$' "$build/soak.log"
      echo "soak: failed; replay with: RC_PARAMS=\"$params\" $build/${test}_tests"
      exit 1
    fi
  done
  seed=$((seed + 1))
done
echo "soak: seeds $1 to $((seed - 1)) passed"
