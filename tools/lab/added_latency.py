#!/usr/bin/env python3
"""Measures the latency that an entry instance adds: sends the same load directly and through entry instances in turn.

Usage: added_latency.py [RATE] [SECONDS] [REPEAT]
"""
import statistics
import sys

from lab import Lab

FIGURES = ["p50_us", "p90_us", "p99_us", "p999_us"]


def measure_latency(lab, name, direct, rate, seconds, seed):
    flow = f"name=catalogue,path=/katalog,rate={rate},work-us=2000,fixed-work=1,deadline-ms=400"
    addresses = [upstream.address for upstream in lab.upstreams if upstream.service == "katalog"]
    extra = ["--seed", seed]
    if direct:
        extra += ["--direct"]
        for address in addresses:
            extra += ["--entry", address]
        saved_entries, lab.entries = lab.entries, []
        lab.start_caller(flow, seconds=seconds, extra=extra, name=name).wait()
        lab.entries = saved_entries
    else:
        lab.start_caller(flow, seconds=seconds, extra=extra, name=name).wait()
    return lab.result(name)["flows"]["catalogue"]


def print_overhead(lab):
    """Prints how long calls were inside the instances by their own metric, without the machine's wake-up delays."""
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
        idle_usage = {entry.name: lab.resource_usage(entry.process) for entry in lab.entries}
        added = {figure: [] for figure in FIGURES}
        for seed in range(1, repeat + 1):
            direct = measure_latency(lab, "direct", True, rate, seconds, seed)
            through_entry = measure_latency(lab, "through", False, rate, seconds, seed)
            print(f"seed {seed}: direct {[direct[f] for f in FIGURES]} through {[through_entry[f] for f in FIGURES]} us "
                  f"({through_entry['answered']} of {through_entry['sent']} answered)")
            for figure in FIGURES:
                added[figure].append(through_entry[figure] - direct[figure])
        for figure, values in added.items():
            print(f"added at {figure[:-3]}: median {statistics.median(values)} us, {min(values)}..{max(values)}")
        print_overhead(lab)
        for entry in lab.entries:
            memory, cpu = lab.resource_usage(entry.process)
            print(f"{entry.name}: resident idle {idle_usage[entry.name][0] / 1e6:.1f} MB, loaded {memory / 1e6:.1f} MB, "
                  f"{(cpu - idle_usage[entry.name][1]) / (2 * repeat * (seconds + 0.5)):.3f} cores on average")


if __name__ == "__main__":
    main()
