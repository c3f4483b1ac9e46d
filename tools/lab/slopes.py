#!/usr/bin/env python3
"""Measures how the cost of an entry instance grows with instances, endpoints and calls. See docs/CAPACITY.md.

Usage: slopes.py [instances] [endpoints] [calls] [spread]     (without arguments: all of them)
"""
import json
import statistics
import sys
import time

import make_lists
from lab import Lab, http_get, wait_for

IDLE_SECONDS = 10


def fit_line(points):
    """Fits a least-squares line to (x, y) points; returns its slope, its value at 0 and the largest absolute error."""
    xs, ys = zip(*points)
    mean_x, mean_y = statistics.fmean(xs), statistics.fmean(ys)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum((x - mean_x) ** 2 for x in xs)
    base = mean_y - slope * mean_x
    return slope, base, max(abs(y - (base + slope * x)) for x, y in points)


def print_fit(title, points):
    slope, base, error = fit_line(points)
    print(f"{title}: points {[(x, round(y, 5)) for x, y in points]}\n  fit {base:.5g} + {slope:.5g} x, largest error {error:.2g}",
          flush=True)


def platform_calls(lab):
    calls = json.loads(http_get(lab.platform_address, "/standin/calls"))
    writes = sum(calls.get(path, 0) for path in ("/v3/kv/txn", "/v3/lease/grant", "/v3/lease/keepalive", "/v3/lease/revoke"))
    return calls.get("/v3/kv/range", 0), writes, calls["watches_open"]


def idle_costs(lab):
    """Costs of a fleet that serves no calls.

    Gossip bytes and platform calls are per second. Values are means over the instances, except cores_max and rss_mb
    (maxima) and the platform calls and watches (totals of the fleet).
    """
    time.sleep(6)
    before = [(lab.counters(entry), lab.resource_usage(entry.process)) for entry in lab.entries]
    reads, writes, _ = platform_calls(lab)
    time.sleep(IDLE_SECONDS)
    after = [(lab.counters(entry), lab.resource_usage(entry.process)) for entry in lab.entries]
    reads_after, writes_after, watches = platform_calls(lab)

    def rate(name):
        return statistics.fmean((now[0][name] - then[0][name]) / IDLE_SECONDS for then, now in zip(before, after))
    return {"cores": statistics.fmean((now[1][1] - then[1][1]) / IDLE_SECONDS for then, now in zip(before, after)),
            "cores_max": max((now[1][1] - then[1][1]) / IDLE_SECONDS for then, now in zip(before, after)),
            "rss_mb": max(now[1][0] for _, now in zip(before, after)) / 1e6,
            "gossip_out": rate("sassafras_gossip_bytes_sent_total"), "gossip_in": rate("sassafras_gossip_bytes_received_total"),
            "reads": (reads_after - reads) / IDLE_SECONDS, "writes": (writes_after - writes) / IDLE_SECONDS, "watches": watches}


def measure_instances():
    costs = {}
    for count in (3, 9, 17, 40):
        with Lab(entries=count, base_port=12000) as lab:
            costs[count] = idle_costs(lab)
            print(count, json.dumps(costs[count]), flush=True)
    for key in ("cores", "rss_mb", "gossip_out", "gossip_in", "reads", "writes"):
        print_fit(f"instances -> {key}", [(count, row[key]) for count, row in costs.items()])


def measure_endpoints():
    """Measures with up to 3200 endpoints. They do not exist, so probes end at once. One instance holds every probe seat."""
    costs = {}
    for count, services in ((20, 1), (200, 5), (800, 21), (3200, 84)):
        with Lab(entries=2, base_port=13000) as lab:
            plans, upstreams = [], []
            for service in range(services):
                plans.append(f'[[plan]]\nname = "p{service}"\ncustomer = "c"\nmethod = "GET"\npath = "/s{service}"\n'
                             f'repeat = "safe"\n')
                upstreams.append(f'[[service]]\nname = "s{service}"\nprobe_budget = 1.0\n'
                                 f'[[permit]]\nplan = "p{service}"\nservice = "s{service}"\n')
            for number in range(count):
                upstreams.append(f'[[endpoint]]\nname = "e{number}"\nservice = "s{number % services}"\n'
                                 f'address = "127.{1 + number // 60000}.{number // 250}.{number % 250 + 1}:9"\n'
                                 f'failure_domain = "a"\nslots = 6\n')
            (lab.lists_dir / "plans.toml").write_text("".join(plans))
            (lab.lists_dir / "upstreams.toml").write_text("".join(upstreams))
            started_at = time.monotonic()
            lab.ctl("apply")
            duration_s = time.monotonic() - started_at
            costs[count] = idle_costs(lab) | {"apply_seconds": duration_s}
            print(count, json.dumps(costs[count]), flush=True)
    for key in ("cores_max", "rss_mb", "gossip_out", "apply_seconds"):
        print_fit(f"endpoints -> {key}", [(count, row[key]) for count, row in costs.items()])


def measure_calls():
    points = []
    with Lab(entries=1, base_port=14000) as lab:
        for rate in (250, 500, 1000, 2000):
            before = lab.resource_usage(lab.entries[0].process)[1]
            lab.start_caller(f"name=catalogue,path=/katalog,rate={rate},work-us=2000", seconds=6,
                             extra=["--warmup-ms", 0]).wait()
            points.append((rate, (lab.resource_usage(lab.entries[0].process)[1] - before) / 6))
            print(rate, points[-1][1], f"rss {lab.resource_usage(lab.entries[0].process)[0] / 1e6:.1f} MB", flush=True)
    print_fit("calls per second -> cores", points)


def measure_spread():
    points = []
    for count in (3, 9, 17, 40):
        with Lab(entries=count, base_port=15000) as lab:
            durations_s = []
            for value in range(5):
                plans = lab.lists_dir / "plans.toml"
                plans.write_text(plans.read_text() + f"# edit {value}\n")
                started_at = time.monotonic()
                lab.ctl("apply", "--wait", 0, check=False)
                generation = value + 2
                wait_for(lambda: all(lab.status(entry)["generation"] >= generation for entry in lab.entries), "the change")
                durations_s.append(time.monotonic() - started_at)
            print(count, [round(value, 2) for value in durations_s], flush=True)
            points.append((count, max(durations_s)))
    print_fit("instances -> seconds until a change is in force everywhere (worst of 5)", points)


def main():
    measurements = {"instances": measure_instances, "endpoints": measure_endpoints, "calls": measure_calls,
                    "spread": measure_spread}
    for name in sys.argv[1:] or measurements:
        measurements[name]()


if __name__ == "__main__":
    main()
