#!/usr/bin/env python3
"""Demo: a fleet on loopback under load while one upstream and one entry instance leave."""
import json
import signal
import sys
import time

from lab import Lab

SECONDS = 6
FLOWS = [
    "name=catalogue,path=/katalog,rate=300,work-us=3000,deadline-ms=400",
    "name=export,path=/katalog/export,rate=4,work-us=60000,deadline-ms=5000",
    "name=orders,method=POST,path=/tellimus,rate=60,work-us=8000,request-bytes=400,keyed=1",
    "name=invoices,method=POST,path=/arve,rate=20,work-us=15000,request-bytes=900,keyed=1,deadline-ms=5000",
]


def print_table(lab):
    print(f"{'flow':<10} {'calls':>6} {'answered':>8} {'p50 ms':>8} {'p99 ms':>8} {'p99.9 ms':>8}  other outcomes")
    for name, flow in lab.result()["flows"].items():
        times = " ".join(f"{flow[key] / 1000:8.1f}" for key in ("p50_us", "p99_us", "p999_us"))
        print(f"{name:<10} {flow['sent']:>6} {flow['answered']:>8} {times}  {json.dumps(flow['failures'])}")


def print_probes(lab):
    probes = sum(1 for line in lab.run_log() if line[1] == "probe")
    budget = sum(1.0 for _ in lab.upstreams) * SECONDS
    print(f"probes: {probes} sent, budget for the {SECONDS} s of load: {budget:.0f}")


def main():
    with Lab() as lab:
        print(lab.ctl("status").stdout, end="")
        load = lab.start_caller(*FLOWS, seconds=SECONDS)
        time.sleep(2)
        leaving_upstream, leaving_entry = lab.upstreams[0], lab.entries[-1]
        leaving_upstream.process.send_signal(signal.SIGTERM)
        lab.register_upstream(leaving_upstream, "leaving")
        leaving_entry.process.send_signal(signal.SIGTERM)
        lab.register_entry(leaving_entry, "leaving")
        exit_codes = {"caller": load.wait(), "upstream": leaving_upstream.process.wait(),
                      "entry": leaving_entry.process.wait()}
        print_table(lab)
        print_probes(lab)
        print(f"left under load: {leaving_upstream.name}, {leaving_entry.name}; exit codes {json.dumps(exit_codes)}")
        print(lab.ctl("burn").stdout, end="")
        unanswered_calls = sum(flow["sent"] - flow["answered"] for flow in lab.result()["flows"].values())
        for entry in lab.entries[:-1]:
            entry.process.send_signal(signal.SIGTERM)
        exit_codes.update({entry.name: entry.process.wait() for entry in lab.entries[:-1]})
    bad = unanswered_calls != 0 or any(exit_codes.values())
    print("demo:", "FAILED" if bad else "all calls answered, every process ended", json.dumps(exit_codes))
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
