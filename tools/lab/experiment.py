#!/usr/bin/env python3
"""Compares variants of the entry instance's settings by the latency and success that callers measure.

Usage: experiment.py SCENARIO [--variants A,B] [--repeat N] [--seconds N] [--entries N] [--out DIR]

Variants alternate within each repetition and get the same seeds. With --out, writes SCENARIO.json, SCENARIO.md and
SCENARIO.svg to DIR. A run in which the caller tool or the machine fell behind its schedule is discarded and reported.
"""
import argparse
import json
import os
import pathlib
import statistics
import sys
import time

from lab import Lab

VARIANTS = {
    "random": 'selection = "random"\nlate_binding = "off"\nhedging = "off"\nprobing = "off"\n',
    "round_robin": 'selection = "round_robin"\nlate_binding = "off"\nhedging = "off"\nprobing = "off"\n',
    "least_in_flight": 'selection = "least_in_flight"\nlate_binding = "off"\nhedging = "off"\nprobing = "off"\n',
    "power_of_two": 'selection = "power_of_two"\nlate_binding = "off"\nhedging = "off"\nprobing = "off"\n',
    "peak_ewma": 'selection = "peak_ewma"\nlate_binding = "off"\nhedging = "off"\nprobing = "off"\n',
    "ours": "",
    "ours_no_hedge": 'hedging = "off"\n',
    "ours_no_hold": 'late_binding = "off"\n',
    "ours_no_probe": 'probing = "off"\n',
}
BASELINES = ["random", "round_robin", "least_in_flight", "power_of_two", "peak_ewma"]
NOISE = ["--noise-every-ms", 400, "--noise-length-ms", 40, "--noise-factor", 5]
RUN_STRAGGLERS = ["--stragglers", 0.01, "--straggler-factor", 20]

# Scenario: lists, upstream arguments, flows, further caller arguments, and the flow and figure that are compared.
# docs/measurements/README.md derives the rates.
SCENARIOS = {
    "tail_katalog": ("naelakoda", NOISE + RUN_STRAGGLERS,
                     ["name=catalogue,path=/katalog,rate=2000,work-us=25000,deadline-ms=2000"], [], "catalogue", "p999_us"),
    "tail_katalog_requests": ("naelakoda", NOISE, ["name=catalogue,path=/katalog,rate=2000,work-us=25000,stragglers=0.01,"
                                                   "deadline-ms=2000"], [], "catalogue", "p999_us"),
    "tail_bedfinder": ("kestrelvale", NOISE + RUN_STRAGGLERS + ["--probe-us", 6000, "--delay-us", 1000],
                       ["name=search,path=/bedfinder,rate=1000,work-us=25000,deadline-ms=2000"], [], "search", "p999_us"),
    "crest_bedfinder": ("kestrelvale", NOISE + ["--probe-us", 6000, "--delay-us", 1000],
                        ["name=search,path=/bedfinder,rate=900,work-us=30000,deadline-ms=400"], ["--swing", 3],
                        "search", "in_time"),
    "short_alone": ("naelakoda", [], ["name=catalogue,path=/katalog,rate=1500,work-us=8000,deadline-ms=2000"], [],
                    "catalogue", "p99_us"),
    "short_beside_long": ("naelakoda", [], ["name=catalogue,path=/katalog,rate=1500,work-us=8000,deadline-ms=2000",
                                            "name=export,path=/katalog/export,rate=60,work-us=400000,deadline-ms=5000"],
                          [], "catalogue", "p99_us"),
}
FIGURES = ["p50_us", "p99_us", "p999_us", "in_time", "sent"]
# A caller that starts calls later than this measures its own delay, not that of the system.
MAX_START_DELAY_US = 50_000


def run_once(scenario, variant, seed, seconds, entries, base_port):
    lists, upstream_args, flows, extra, _, _ = SCENARIOS[scenario]
    # Each run starts its own fleet, so that no learned state carries over.
    with Lab(lists=lists, entries=entries, base_port=base_port, settings=VARIANTS[variant], queue=1000,
             upstream_args=upstream_args, address_ttl="5s") as lab:
        before = {entry.name: lab.resource_usage(entry.process) for entry in lab.entries}
        load = lab.start_caller(*flows, seconds=seconds, extra=[*extra, "--seed", seed, "--warmup-ms", 2000])
        load.wait()
        result = lab.result()
        cpu = sum(lab.resource_usage(entry.process)[1] - before[entry.name][1] for entry in lab.entries)
        result["entry_cpu_share"] = cpu / len(lab.entries) / (seconds + 2)
        result["entry_rss_mb"] = max(lab.resource_usage(entry.process)[0] for entry in lab.entries) / 1e6
        lines = lab.run_log()
        result["probes"] = sum(1 for line in lines if line[1] == "probe")
        result["runs"] = sum(1 for line in lines if line[1] == "run")
        result["machine_load"] = os.getloadavg()[0]
    return result


def format_spread(values):
    return f"{statistics.median(values):.0f} ({min(values):.0f}..{max(values):.0f})"


def format_table(scenario, results):
    flow, figure = SCENARIOS[scenario][4], SCENARIOS[scenario][5]
    lines = [f"| variant | runs | {' | '.join(FIGURES)} | ratio of {figure} to best baseline |",
             "|---" * (len(FIGURES) + 3) + "|"]
    medians = {variant: statistics.median([run["flows"][flow][figure] for run in runs])
               for variant, runs in results.items() if runs}
    baseline_medians = [medians[name] for name in BASELINES if name in medians]
    best_baseline = (max(baseline_medians) if figure == "in_time"
                     else min(baseline_medians)) if baseline_medians else None
    for variant, runs in results.items():
        if not runs:
            lines.append(f"| {variant} | 0 | all runs discarded |")
            continue
        cells = [format_spread([run["flows"][flow][name] for run in runs]) for name in FIGURES]
        ratio = f"{medians[variant] / best_baseline:.2f}" if best_baseline else "-"
        lines.append(f"| {variant} | {len(runs)} | {' | '.join(cells)} | {ratio} |")
    return "\n".join(lines) + "\n"


def format_plot(scenario, results):
    """Returns an SVG bar chart: the median of each variant with the range of its runs."""
    flow, figure = SCENARIOS[scenario][4], SCENARIOS[scenario][5]
    values = {name: [run["flows"][flow][figure] for run in runs] for name, runs in results.items() if runs}
    max_value = max(max(runs) for runs in values.values()) or 1
    width, row_height, left = 640, 26, 140
    parts = [f"<svg xmlns='http://www.w3.org/2000/svg' width='{width}' height='{row_height * len(values) + 50}' "
             f"font-family='sans-serif' font-size='12'><text x='8' y='18'>{scenario}: {flow} {figure}</text>"]
    for row, (name, runs) in enumerate(values.items()):
        y, scale = 32 + row * row_height, (width - left - 90) / max_value
        median_width, low, high = (value * scale for value in (statistics.median(runs), min(runs), max(runs)))
        color = "#c2185b" if name.startswith("ours") else "#607d8b"
        parts.append(f"<text x='8' y='{y + 14}'>{name}</text><rect x='{left}' y='{y}' width='{median_width:.1f}' height='18' "
                     f"fill='{color}'/><line x1='{left + low:.1f}' x2='{left + high:.1f}' y1='{y + 9}' y2='{y + 9}' "
                     f"stroke='black'/><text x='{left + high + 6:.1f}' y='{y + 14}'>{statistics.median(runs):.0f}</text>")
    return "".join(parts) + "</svg>\n"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", choices=SCENARIOS)
    parser.add_argument("--variants", default="least_in_flight,power_of_two,peak_ewma,ours")
    parser.add_argument("--repeat", type=int, default=3)
    parser.add_argument("--seconds", type=int, default=8)
    parser.add_argument("--entries", type=int, default=17)
    parser.add_argument("--base-port", type=int, default=30000)
    parser.add_argument("--out")
    options = parser.parse_args()
    variants = options.variants.split(",")
    results = {variant: [] for variant in variants}
    for repetition in range(options.repeat):
        for variant in variants:
            result = run_once(options.scenario, variant, repetition + 1, options.seconds, options.entries, options.base_port)
            start_delay_us = result["worst_start_delay_us"]
            flow = result["flows"][SCENARIOS[options.scenario][4]]
            print(f"{options.scenario} {variant} seed {repetition + 1}: {json.dumps(flow)} entry cpu "
                  f"{result['entry_cpu_share']:.3f} rss {result['entry_rss_mb']:.1f} MB load {result['machine_load']:.1f} "
                  f"probes {result['probes']} runs {result['runs']} late {start_delay_us} us", file=sys.stderr, flush=True)
            if start_delay_us > MAX_START_DELAY_US:
                print("run discarded: calls were started too late", file=sys.stderr)
            else:
                results[variant].append(result)
    text = format_table(options.scenario, results)
    print(text)
    if options.out:
        folder = pathlib.Path(options.out)
        folder.mkdir(parents=True, exist_ok=True)
        (folder / f"{options.scenario}.json").write_text(json.dumps(results))
        (folder / f"{options.scenario}.md").write_text(f"`experiment.py {' '.join(sys.argv[1:])}`\n\n{text}")
        (folder / f"{options.scenario}.svg").write_text(format_plot(options.scenario, results))


if __name__ == "__main__":
    main()
