"""What the users' pages promise, checked from what callers and endpoints saw."""
import time

from callers import PROMISES

# Bounds of the pages, in seconds, and how long an instance must have been undisturbed to be held to them.
DRAIN_S, CONFIG_S, CALM_S = 2.0, 2.0, 3.0
# Asyncio timers of the harness itself are late by up to this much on a busy machine.
HARNESS_S = 0.4


class Promises:
    def __init__(self, fleet, callers):
        self.fleet, self.callers = fleet, callers

    def broken(self):
        """Descriptions of broken promises; empty if all were kept."""
        sent = {one.call: one for one in self.callers.sent}
        runs = {}
        for run in self.fleet.runs:
            runs.setdefault(run.call, []).append(run)
        found = []
        for call, ran in runs.items():
            if call not in sent:
                found.append(f"{call}: an endpoint ran a request that nobody sent")
                continue
            found += self._check_runs(sent[call], ran)
        for call, one in sent.items():
            found += self._check_answer(one, runs.get(call, []))
        return found

    def _calm(self, one, until):
        entry = next(entry for entry in self.fleet.entries if entry.port == one.entry)
        store_calm = all(end < one.at - CALM_S or since > until for since, end in self.fleet.store_disturbed)
        return store_calm and entry.was_calm(one.at - CALM_S, until)

    def _check_runs(self, one, ran):
        if not one.route.safe and len(ran) > 1:
            yield f"{one.call}: ran {len(ran)} times though it must not be repeated"
        if one.status in PROMISES:
            yield f"{one.call}: told {one.status} and ran at {ran[0].endpoint}"
        for run in ran:
            if (run.method, run.path, run.request_body) != (one.method, one.path, one.body):
                yield f"{one.call}: reached {run.endpoint} changed: {run.method} {run.path}"
            yield from self._check_place(one, run)

    def _check_place(self, one, run):
        allowed = [service for _, service in one.route.changes]
        if run.service not in allowed:
            yield f"{one.call}: ran at a service that no configuration allowed: {run.service}"
        if not self._calm(one, run.arrived):
            return
        left = self.fleet.left.get(run.endpoint)
        if left is not None and one.at > left + DRAIN_S + HARNESS_S:
            yield f"{one.call}: sent to {run.endpoint} {one.at - left:.1f} s after it began to leave"
        changes = one.route.changes
        for number, (_, service) in enumerate(changes):
            later = changes[number + 1][0] if number + 1 < len(changes) else float("inf")
            if service == run.service and one.at <= later + CONFIG_S + HARNESS_S:
                return
        yield f"{one.call}: ran at {run.service} by a configuration replaced long before"

    def _check_answer(self, one, ran):
        if one.status is not None and one.status < 300:
            receipts = {run.receipt: run for run in ran}
            run = receipts.get(one.answer.headers.get("sassafraspath-response-seal"))
            if run is None:
                yield f"{one.call}: success without the receipt of a run of it"
            elif one.answer.body != run.body:
                yield f"{one.call}: the body is not the endpoint's"
        if one.status in (404, 403, 401, 400):
            yield f"{one.call}: a proper request was told {one.status}"
        yield from self._check_not_lost(one, ran)

    def _check_not_lost(self, one, ran):
        """A planned stop, or nothing at all, is no reason to cut a request that its endpoint answers."""
        if one.error not in ("cut", "deadline") or not ran or one.ended is None:
            return
        entry = next(entry for entry in self.fleet.entries if entry.port == one.entry)
        cut_off = any(run.endpoint not in self.fleet.endpoints for run in ran)
        sound = all(run.body for run in ran) and not cut_off
        if sound and self._calm(one, one.ended) and entry.was_calm(one.at - CALM_S, one.ended):
            yield f"{one.call}: {one.error} at {entry.name} though its endpoint answered"


def unserved_share(sent, since):
    """Share of the requests sent after `since` that no try answered with success."""
    late = [one for one in sent if one.at > since and one.at < time.monotonic() - 2.5]
    return sum(1 for one in late if one.status is None or one.status >= 300) / max(1, len(late)), len(late)
