#!/usr/bin/env python3
"""Fault soak: runs several entry instances on loopback, injects random faults and checks the documented promises.

soak.py [--seeds FIRST[:COUNT]] [--seconds S] [--entries N] [--only FAULT,...]. Exit code 0 if every promise was kept;
the logs of a seed that broke one are kept and their folder is printed.
"""
import argparse
import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import soak_faults
from callers import Callers
from fleet import Fleet
from promises import PromiseChecker, unserved_share

# Seconds after the last fault before the share of unserved attempts is checked.
RECOVERY_S = 6.0
# Largest share of attempts without a successful answer once RECOVERY_S have passed since the last fault ended.
MAX_UNSERVED_SHARE = 0.1


async def inject_faults(fleet, rng, faults, until):
    """Injects one to three concurrent series of random faults until `until`, so that faults overlap."""
    async def inject_series(series_rng):
        await asyncio.sleep(series_rng.uniform(0.0, 2.0))
        while time.monotonic() < until:
            fault = series_rng.choice(faults)
            fleet.fault_log.append(f"{time.monotonic() - fleet.started_at:6.2f} s {fault.__name__}")
            await fault(fleet, series_rng)
            await asyncio.sleep(series_rng.expovariate(1.0))
    await asyncio.gather(*(inject_series(random.Random(rng.random())) for _ in range(rng.randrange(1, 4))))


async def run_seed(seed, seconds, entries, faults, caller_count=6):
    """Runs one seed; returns the stopped fleet with the violations found."""
    rng = random.Random(seed)
    fleet = Fleet(seed, entries)
    try:
        await fleet.start()
        callers = Callers(fleet, rng.random(), count=caller_count)
        load = asyncio.ensure_future(callers.run())
        await asyncio.sleep(1.0)
        await inject_faults(fleet, rng, faults, time.monotonic() + seconds)
        faults_ended_at = time.monotonic()
        await fleet.wait_ready()
        await asyncio.sleep(RECOVERY_S + 4.0)
        callers.stop()
        await load
        fleet.violations += PromiseChecker(fleet, callers).find_violations()
        share, count = unserved_share(callers.attempts, faults_ended_at + RECOVERY_S)
        if count == 0 or share > MAX_UNSERVED_SHARE:
            fleet.violations.append(f"after the faults, a share of {share:.2f} of {count} requests was not served")
        fleet.summary = f"{len(callers.attempts)} requests, {len(fleet.runs)} runs"
        return fleet
    finally:
        await fleet.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seeds", default="1", help="first seed, or FIRST:COUNT")
    parser.add_argument("--seconds", type=float, default=15.0, help="how long faults are injected for each seed")
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--only", default="", help="names of faults, separated by commas")
    options = parser.parse_args()
    first, _, count = options.seeds.partition(":")
    faults = [fault for fault in soak_faults.ALL_FAULTS
              if not options.only or fault.__name__ in options.only.split(",")]
    failed = []
    for seed in range(int(first), int(first) + int(count or 1)):
        fleet = asyncio.run(run_seed(seed, options.seconds, options.entries, faults))
        print(f"seed {seed}: {'FAILED' if fleet.violations else 'ok'}, {fleet.summary}", flush=True)
        if not fleet.violations:
            fleet.remove_logs()
            continue
        failed.append(seed)
        print("\n".join(fleet.fault_log + fleet.violations[:10]), f"\nlogs: {fleet.dir}", flush=True)
    print(f"{'failed seeds: ' + str(failed) if failed else 'every promise was kept'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
