"""The oracle: what callers were told, against what the stand-ins ran."""
from collections import Counter


def run_counts(lab):
    return Counter(call for _, kind, call, _ in lab.runs() if kind == "run")


def check_not_run_is_true(lab, name="caller"):
    """No call of which every send was told 'not run' ran."""
    outcomes = {}
    for _, call, outcome in lab.calls(name):
        outcomes.setdefault(call, []).append(outcome)
    runs = run_counts(lab)
    wrong = [call for call, told in outcomes.items()
             if runs[call] and all(outcome.startswith("not_run") for outcome in told)]
    assert not wrong, f"told 'not run' and ran: {wrong[:5]}"


def check_at_most_once(lab, flows, name="caller"):
    runs = run_counts(lab)
    twice = [(call, runs[call]) for flow, call, _ in lab.calls(name) if flow in flows and runs[call] > 1]
    assert not twice, f"ran more than once: {sorted(set(twice))[:5]}"


def check_all_answered(result, flows=None):
    for name, flow in result["flows"].items():
        if flows is None or name in flows:
            assert flow["sent"] > 0, f"{name}: nothing was sent"
            assert flow["answered"] == flow["sent"], f"{name}: {flow}"


def check_whole(result):
    for name, flow in result["flows"].items():
        assert flow["wrong_answers"] == 0, f"{name}: {flow['wrong_answers']} wrong answers"


def check_probe_budget(lab, per_second, window=10.0):
    """In any window no endpoint got more probes than the budget, over all entry instances together."""
    by_endpoint = {}
    for at, kind, _, endpoint in lab.runs():
        if kind == "probe":
            by_endpoint.setdefault(endpoint, []).append(at / 1e6)
    assert by_endpoint, "no probe was sent: the check would prove nothing"
    for endpoint, times in by_endpoint.items():
        for first, start in enumerate(times):
            count = sum(1 for at in times[first:] if at < start + window)
            assert count <= per_second * window, f"{endpoint}: {count} probes within {window} s"
