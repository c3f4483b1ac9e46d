#!/usr/bin/env bash
# Runs the fault soak (tests/platform/soak.py) with consecutive seeds until the time is over.
# Usage: fault_soak.sh FIRST_SEED MINUTES
set -euo pipefail
cd "$(dirname "$0")/.."
seed=$1
end=$((SECONDS + $2 * 60))
failed=0
while [ "$SECONDS" -lt "$end" ]; do
  python3 tests/platform/soak.py --seeds "$seed" || failed=1
  seed=$((seed + 1))
done
exit "$failed"
