"""Checks that compare the outcomes reported to callers with the requests that the upstream stand-ins ran."""
from collections import Counter


def run_counts(lab):
    return Counter(call for _, kind, call, _ in lab.run_log() if kind == "run")


def check_not_run_never_ran(lab, name="caller"):
    """A call whose every send was answered 'not run' must not have run."""
    outcomes = {}
    for _, call, outcome in lab.call_log(name):
        outcomes.setdefault(call, []).append(outcome)
    runs = run_counts(lab)
    wrong = [call for call, call_outcomes in outcomes.items()
             if runs[call] and all(outcome.startswith("not_run") for outcome in call_outcomes)]
    assert not wrong, f"answered 'not run' but ran: {wrong[:5]}"


def check_at_most_once(lab, flows, name="caller"):
    runs = run_counts(lab)
    repeated = [(call, runs[call]) for flow, call, _ in lab.call_log(name) if flow in flows and runs[call] > 1]
    assert not repeated, f"ran more than once: {sorted(set(repeated))[:5]}"


def check_all_answered(result, flows=None):
    for name, flow in result["flows"].items():
        if flows is None or name in flows:
            assert flow["sent"] > 0, f"{name}: nothing was sent"
            assert flow["answered"] == flow["sent"], f"{name}: {flow}"


def check_answers_intact(result):
    for name, flow in result["flows"].items():
        assert flow["wrong_answers"] == 0, f"{name}: {flow['wrong_answers']} wrong answers"


def check_probe_budget(lab, per_second, window_s=10.0):
    """In no window of `window_s` seconds does an endpoint get more probes from all entry instances than its budget."""
    probe_times = {}
    for at, kind, _, endpoint in lab.run_log():
        if kind == "probe":
            probe_times.setdefault(endpoint, []).append(at / 1e6)
    assert probe_times, "no probe was sent, so the budget was not tested"
    for endpoint, times in probe_times.items():
        for first, start in enumerate(times):
            count = sum(1 for at in times[first:] if at < start + window_s)
            assert count <= per_second * window_s, f"{endpoint}: {count} probes within {window_s} s"
