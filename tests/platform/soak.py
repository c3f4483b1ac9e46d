#!/usr/bin/env python3
"""Fault soak: the real program as several processes on loopback, random faults from outside, promises checked.

soak.py [--seeds FIRST[:COUNT]] [--seconds S] [--entries N] [--only FAULT,...]. Exit code 0 if every promise was kept;
the logs of a run that broke one are kept and named.
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
from promises import Promises, unserved_share

SETTLE_S = 6.0
# After the faults have healed at most this part of the requests goes without an answer.
UNSERVED = 0.1


async def inject(fleet, rng, faults, until):
    """Several chains of faults, so that they come in series and overlap."""
    async def chain(chain_rng):
        await asyncio.sleep(chain_rng.uniform(0.0, 2.0))
        while time.monotonic() < until:
            fault = chain_rng.choice(faults)
            fleet.story.append(f"{time.monotonic() - fleet.began:6.2f} s {fault.__name__}")
            await fault(fleet, chain_rng)
            await asyncio.sleep(chain_rng.expovariate(1.0))
    await asyncio.gather(*(chain(random.Random(rng.random())) for _ in range(rng.randrange(1, 4))))


async def play(seed, seconds, entries, faults, callers_count=6):
    """Plays one seed; returns what was found wrong and the fleet."""
    rng = random.Random(seed)
    fleet = Fleet(seed, entries)
    try:
        await fleet.start()
        callers = Callers(fleet, rng.random(), count=callers_count)
        load = asyncio.ensure_future(callers.run())
        await asyncio.sleep(1.0)
        await inject(fleet, rng, faults, time.monotonic() + seconds)
        healed = time.monotonic()
        await fleet.wait_ready()
        await asyncio.sleep(SETTLE_S + 4.0)
        callers.stop()
        await load
        fleet.findings += Promises(fleet, callers).broken()
        share, count = unserved_share(callers.sent, healed + SETTLE_S)
        if count == 0 or share > UNSERVED:
            fleet.findings.append(f"after the faults {share:.2f} of {count} requests went unserved")
        fleet.counts = f"{len(callers.sent)} requests, {len(fleet.runs)} runs"
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
    faults = [fault for fault in soak_faults.ALL if not options.only or fault.__name__ in options.only.split(",")]
    failed = []
    for seed in range(int(first), int(first) + int(count or 1)):
        fleet = asyncio.run(play(seed, options.seconds, options.entries, faults))
        print(f"seed {seed}: {'FAILED' if fleet.findings else 'ok'}, {fleet.counts}", flush=True)
        if not fleet.findings:
            fleet.remove_logs()
            continue
        failed.append(seed)
        print("\n".join(fleet.story + fleet.findings[:10]), f"\nlogs: {fleet.dir}", flush=True)
    print(f"{'failed seeds: ' + str(failed) if failed else 'every promise was kept'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
