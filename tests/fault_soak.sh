#!/usr/bin/env bash
# Fault soak with real processes: fault_soak.sh FIRST_SEED MINUTES. Plays seed after seed until the time is over.
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
