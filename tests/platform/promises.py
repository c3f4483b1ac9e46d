"""Checks the promises of the users' documentation against the records of callers and endpoints."""
import time

from callers import NOT_EXECUTED_STATUSES

# By the documentation, a draining endpoint gets no more requests after DRAIN_PROPAGATION_S, and a changed
# configuration is in force after CONFIG_PROPAGATION_S. These bounds apply to an instance into which no fault has been
# injected for UNDISTURBED_S.
DRAIN_PROPAGATION_S, CONFIG_PROPAGATION_S, UNDISTURBED_S = 2.0, 2.0, 3.0
# After an endpoint has asked an instance for no requests, this many may still come later than HOLD_OFF_GRACE_S.
HOLD_OFF_GRACE_S, MAX_REQUESTS_IN_HOLD_OFF = 0.5, 2
# On a busy machine the asyncio timers of the test harness itself fire late by up to this many seconds.
MAX_HARNESS_DELAY_S = 0.4


class PromiseChecker:
    def __init__(self, fleet, callers):
        self.fleet, self.callers = fleet, callers

    def find_violations(self):
        """Returns descriptions of broken promises; empty if all were kept."""
        attempts_by_id = {attempt.request_id: attempt for attempt in self.callers.attempts}
        runs = {}
        for run in self.fleet.runs:
            runs.setdefault(run.request_id, []).append(run)
        violations = []
        for request_id, request_runs in runs.items():
            if request_id not in attempts_by_id:
                violations.append(f"{request_id}: an endpoint ran a request that no caller sent")
                continue
            violations += self._check_runs(attempts_by_id[request_id], request_runs)
        for request_id, attempt in attempts_by_id.items():
            violations += self._check_answer(attempt, runs.get(request_id, []))
        violations += self._check_told_leaving(runs)
        for endpoint in self.fleet.endpoints.values():
            violations += self._check_hold_offs(endpoint, attempts_by_id)
        return violations

    def _entry_of(self, attempt):
        return next(entry for entry in self.fleet.entries if entry.port == attempt.entry_port)

    def _check_told_leaving(self, runs):
        """An instance that passed on an answer of a leaving endpoint sends that endpoint nothing more soon after."""
        told_at = {}
        for attempt in self.callers.attempts:
            if attempt.answer is None or attempt.answer.headers.get("server-leaving") != "1":
                continue
            for run in runs.get(attempt.request_id, []):
                if run.response_seal == attempt.answer.headers.get("sassafraspath-response-seal"):
                    key = (attempt.entry_port, run.endpoint)
                    told_at[key] = min(told_at.get(key, attempt.ended_at), attempt.ended_at)
        for attempt in self.callers.attempts:
            for run in runs.get(attempt.request_id, []):
                since = told_at.get((attempt.entry_port, run.endpoint))
                late = since is not None and attempt.sent_at > since + DRAIN_PROPAGATION_S + MAX_HARNESS_DELAY_S
                # A fault of the store is no excuse here: the instance was told by the endpoint itself.
                if late and self._entry_of(attempt).was_undisturbed(since, run.arrived_at):
                    yield (f"{attempt.request_id}: sent to {run.endpoint} {attempt.sent_at - since:.1f} s after an answer "
                           "said that it leaves")

    def _check_hold_offs(self, endpoint, attempts_by_id):
        """An instance sends an endpoint that wants no requests for a while next to none in that time."""
        refusals_by_port = {}
        for refusal in endpoint.refusals:
            port = attempts_by_id[refusal.request_id].entry_port
            refusals_by_port.setdefault(port, []).append(refusal)
        for port, refusals in refusals_by_port.items():
            entry = next(entry for entry in self.fleet.entries if entry.port == port)
            for first in refusals:
                start, end = first.refused_at + HOLD_OFF_GRACE_S, first.refused_at + first.hold_off_s
                late = [refusal for refusal in refusals if start < refusal.refused_at < end]
                if len(late) > MAX_REQUESTS_IN_HOLD_OFF and entry.was_undisturbed(first.refused_at, end):
                    yield f"{endpoint.name} got {len(late)} requests from {entry.name} although it wanted none"

    def _was_undisturbed(self, attempt, until):
        entry = self._entry_of(attempt)
        store_undisturbed = all(end < attempt.sent_at - UNDISTURBED_S or since > until
                                for since, end in self.fleet.store_disturbances)
        return store_undisturbed and entry.was_undisturbed(attempt.sent_at - UNDISTURBED_S, until)

    def _check_runs(self, attempt, request_runs):
        if not attempt.route.safe and len(request_runs) > 1:
            yield f"{attempt.request_id}: ran {len(request_runs)} times although it is not safe to repeat"
        if attempt.status in NOT_EXECUTED_STATUSES:
            yield f"{attempt.request_id}: answered {attempt.status} (not executed) but ran at {request_runs[0].endpoint}"
        for run in request_runs:
            if (run.method, run.path, run.request_body) != (attempt.method, attempt.path, attempt.body):
                yield f"{attempt.request_id}: arrived modified at {run.endpoint}: {run.method} {run.path}"
            yield from self._check_service(attempt, run)

    def _check_service(self, attempt, run):
        configured_services = [service for _, service in attempt.route.service_changes]
        if run.service not in configured_services:
            yield f"{attempt.request_id}: ran at a service that its route never pointed to: {run.service}"
        if not self._was_undisturbed(attempt, run.arrived_at):
            return
        leaving_since = self.fleet.leaving_since.get(run.endpoint)
        if leaving_since is not None and attempt.sent_at > leaving_since + DRAIN_PROPAGATION_S + MAX_HARNESS_DELAY_S:
            yield f"{attempt.request_id}: sent to {run.endpoint} {attempt.sent_at - leaving_since:.1f} s after it began to leave"
        changes = attempt.route.service_changes
        for index, (_, service) in enumerate(changes):
            replaced_at = changes[index + 1][0] if index + 1 < len(changes) else float("inf")
            if service == run.service and attempt.sent_at <= replaced_at + CONFIG_PROPAGATION_S + MAX_HARNESS_DELAY_S:
                return
        yield f"{attempt.request_id}: ran at {run.service} long after its route was moved to another service"

    def _check_answer(self, attempt, request_runs):
        if attempt.status is not None and attempt.status < 300:
            runs_by_seal = {run.response_seal: run for run in request_runs}
            run = runs_by_seal.get(attempt.answer.headers.get("sassafraspath-response-seal"))
            if run is None:
                yield f"{attempt.request_id}: successful answer without the response seal of any run of this request"
            elif attempt.answer.body != run.body:
                yield f"{attempt.request_id}: the body differs from the one that the endpoint sent"
        if attempt.status in (404, 403, 401, 400):
            yield f"{attempt.request_id}: a valid request was answered {attempt.status}"
        yield from self._check_not_lost(attempt, request_runs)

    def _check_not_lost(self, attempt, request_runs):
        """Without a fault, a request that its endpoint answers must not be cut, not even by a planned stop."""
        if attempt.error not in ("cut", "deadline") or not request_runs or attempt.ended_at is None:
            return
        entry = self._entry_of(attempt)
        endpoint_gone = any(run.endpoint not in self.fleet.endpoints for run in request_runs)
        completed = all(run.body for run in request_runs) and not endpoint_gone
        if completed and self._was_undisturbed(attempt, attempt.ended_at) and entry.was_undisturbed(
                attempt.sent_at - UNDISTURBED_S, attempt.ended_at):
            yield f"{attempt.request_id}: {attempt.error} at {entry.name} although its endpoint answered"


def unserved_share(attempts, since):
    """Share of the attempts sent after `since` without a successful answer, and the number of these attempts.

    Attempts of the last 2.5 s are left out: their answer may still be due.
    """
    due = [attempt for attempt in attempts if attempt.sent_at > since and attempt.sent_at < time.monotonic() - 2.5]
    return sum(1 for attempt in due if attempt.status is None or attempt.status >= 300) / max(1, len(due)), len(due)
