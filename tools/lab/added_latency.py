#!/usr/bin/env python3
"""Measures what an entry instance adds to a call: the same load sent directly and through it, in turn.

Usage: added_latency.py [RATE] [SECONDS] [REPEAT]
"""
import statistics
import sys

from lab import Lab

FIGURES = ["p50_us", "p90_us", "p99_us", "p999_us"]


def measure(lab, name, direct, rate, seconds, seed):
    flow = f"name=catalogue,path=/katalog,rate={rate},work-us=2000,fixed-work=1,deadline-ms=400"
    entries = [upstream.address for upstream in lab.upstreams if upstream.service == "katalog"]
    extra = ["--seed", seed]
    if direct:
        extra += ["--direct"]
        for address in entries:
            extra += ["--entry", address]
        saved, lab.entries = lab.entries, []
        lab.caller(flow, seconds=seconds, extra=extra, name=name).wait()
        lab.entries = saved
    else:
        lab.caller(flow, seconds=seconds, extra=extra, name=name).wait()
    return lab.result(name)["flows"]["catalogue"]


def print_overhead(lab):
    """Time that calls spent inside the instances, as those counted it: free of the machine's wake-up delays."""
    buckets = {}
    for entry in lab.entries:
        for name, value in lab.counters(entry).items():
            if name.startswith("sassafras_overhead_seconds_bucket"):
                bound = name.split('"')[1]
                buckets[bound] = buckets.get(bound, 0) + value
    total = buckets["+Inf"]
    print("inside the instances: " + ", ".join(f"{100 * count / total:.2f}% within {bound} s"
                                               for bound, count in buckets.items() if bound != "+Inf"))


def main():
    rate, seconds, repeat = (int(sys.argv[i]) if len(sys.argv) > i else default
                             for i, default in ((1, 1000), (2, 5), (3, 3)))
    with Lab(base_port=27000, upstream_args=["--probe-us", 200]) as lab:
        idle = {entry.name: lab.resources(entry.process) for entry in lab.entries}
        added = {figure: [] for figure in FIGURES}
        for seed in range(1, repeat + 1):
            direct = measure(lab, "direct", True, rate, seconds, seed)
            through = measure(lab, "through", False, rate, seconds, seed)
            print(f"seed {seed}: direct {[direct[f] for f in FIGURES]} through {[through[f] for f in FIGURES]} us "
                  f"({through['answered']} of {through['sent']} answered)")
            for figure in FIGURES:
                added[figure].append(through[figure] - direct[figure])
        for figure, values in added.items():
            print(f"added at {figure[:-3]}: median {statistics.median(values)} us, {min(values)}..{max(values)}")
        print_overhead(lab)
        for entry in lab.entries:
            memory, cpu = lab.resources(entry.process)
            print(f"{entry.name}: resident idle {idle[entry.name][0] / 1e6:.1f} MB, loaded {memory / 1e6:.1f} MB, "
                  f"{(cpu - idle[entry.name][1]) / (2 * repeat * (seconds + 0.5)):.3f} cores on average")


if __name__ == "__main__":
    main()
