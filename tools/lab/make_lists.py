#!/usr/bin/env python3
"""Writes plans.toml and upstreams.toml for upstream stand-ins on loopback.

Usage: make_lists.py DIR naelakoda|kestrelvale|demo [FIRST_PORT]
"""
import pathlib
import sys

SERVICES = {
    "naelakoda": (6, [("katalog", 20), ("tellimus", 10), ("arve", 6)]),
    "kestrelvale": (3, [("bedfinder", 20), ("holdbook", 10), ("admitline", 6)]),
    "demo": (6, [("katalog", 6), ("tellimus", 10), ("arve", 6)]),
}
PLANS = {
    "naelakoda": [
        ("catalogue", "shops", "GET", "/katalog", "safe", "short", "400ms", 1, "50ms", 99.9, "katalog"),
        ("catalogue-export", "warehouse", "GET", "/katalog/export", "safe", "long", "5s", 5, "2s", 99.0, "katalog"),
        ("orders", "shops", "POST", "/tellimus", "never", "short", "2s", 0, "200ms", 99.9, "tellimus"),
        ("invoices", "accounting", "POST", "/arve", "never", "short", "5s", 0, "500ms", 99.95, "arve"),
    ],
    "kestrelvale": [
        ("search", "families", "GET", "/bedfinder", "safe", "short", "400ms", 1, "80ms", 99.9, "bedfinder"),
        ("reports", "homes", "GET", "/bedfinder/report", "safe", "long", "5s", 5, "2s", 99.0, "bedfinder"),
        ("holds", "planners", "POST", "/holdbook", "never", "short", "2s", 0, "200ms", 99.9, "holdbook"),
        ("placements", "planners", "POST", "/admitline", "never", "short", "5s", 0, "500ms", 99.95, "admitline"),
    ],
}
PLANS["demo"] = PLANS["naelakoda"]
FAILURE_DOMAINS = ["a", "b", "c"]
PROBE_BUDGET = 1.0


def plan_rows(customer_set):
    for name, customer, method, path, repeat, work, deadline, priority, latency, success, _ in PLANS[customer_set]:
        yield (f'[[plan]]\nname = "{name}"\ncustomer = "{customer}"\nmethod = "{method}"\npath = "{path}"\n'
               f'repeat = "{repeat}"\nwork = "{work}"\ndeadline = "{deadline}"\npriority = {priority}\n'
               f'objective_latency = "{latency}"\nobjective_success = {success}\n')


def upstream_rows(customer_set, first_port):
    slots, services = SERVICES[customer_set]
    port = first_port
    for service, count in services:
        yield f'[[service]]\nname = "{service}"\nprobe_budget = {PROBE_BUDGET}\nlong_share = 30.0\n'
        for number in range(count):
            yield (f'[[endpoint]]\nname = "{service}-{number + 1}"\nservice = "{service}"\n'
                   f'address = "127.0.0.1:{port}"\nfailure_domain = "{FAILURE_DOMAINS[number % 3]}"\n'
                   f'slots = {slots}\nconnections = 260\n')
            port += 1
    for plan in PLANS[customer_set]:
        yield f'[[permit]]\nplan = "{plan[0]}"\nservice = "{plan[-1]}"\n'


def main():
    folder = pathlib.Path(sys.argv[1])
    customer_set = sys.argv[2]
    first_port = int(sys.argv[3]) if len(sys.argv) > 3 else 9101
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "plans.toml").write_text("\n".join(plan_rows(customer_set)))
    (folder / "upstreams.toml").write_text("\n".join(upstream_rows(customer_set, first_port)))


if __name__ == "__main__":
    main()
