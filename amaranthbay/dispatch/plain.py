"""Service kind ``plain``: forwards each call to one backend server."""

import random

import gevent
from result import Err, Ok

from amaranthbay.dispatch.engine_http import (
    REFUSAL_STATUSES,
    refusal_of_failure,
    refusal_of_reply,
)
from amaranthbay.dispatch.inflight import InFlightRecord
from amaranthbay.kernel.errors import Reason, Verdict, not_run
from amaranthbay.kernel.interfaces import ServiceKind
from amaranthbay.kernel.registry import register
from amaranthbay.kernel.requests import Answer
from amaranthbay.kernel.retries import Backoff, new_attempt, run_attempts
from amaranthbay.observe import log_decision
from amaranthbay.state.crash_marks import fingerprint_of
from amaranthbay.state.idempotency import Outcome
from amaranthbay.utils.http import exchange_whole

__all__ = ["PlainService"]

CALL_TIMEOUT_S = 30.0
MIN_TIMEOUT_S = 0.05


@register("service_kind", "plain")
class PlainService(ServiceKind):
    """Dispatches calls of plain services."""

    def __init__(self, ctx):
        self._ctx = ctx
        self._rng = random.Random()

    def dispatch(self, work):
        if work.idempotent:
            return self._run(work).map(_to_answer)
        # If the caller disconnects, the call must still run until its outcome is
        # recorded, so it gets a greenlet of its own.
        greenlet = gevent.spawn(self._run_at_most_once, work)
        return greenlet.get().map(_to_answer)

    def _run(self, work):
        """Returns ``Result[Outcome, Refusal]`` of a call that may be retried."""
        budget = self._ctx.budget(work.request.service)

        def run_attempt(attempt):
            return self._call(work, attempt)

        return run_attempts(work, run_attempt, budget, Backoff(), self._ctx.clock)

    def _run_at_most_once(self, work):
        """Runs a non-idempotent call at most once."""
        attempt = new_attempt(work.request.request_id, 1)
        # A daemon waits for this entry before it stops, as the caller may disconnect
        # before the outcome is recorded.
        entry_id = f"{attempt.attempt_id}/record"
        self._ctx.inflight.add(InFlightRecord(attempt.request_id, entry_id, ()))
        try:
            return self._run_unless_recorded(work, attempt)
        finally:
            self._ctx.inflight.remove(entry_id)

    def _run_unless_recorded(self, work, attempt):
        """Runs the call, or returns the outcome recorded under its key."""
        store = self._ctx.idempotency
        begun = store.begin(work.request, attempt)
        if begun.is_err():
            return begun
        permit = begun.unwrap()
        if isinstance(permit, Outcome):
            return Ok(permit)
        outcome = self._call(work, attempt)
        store.finish(permit, outcome)
        return outcome

    def _call(self, work, attempt):
        """Returns ``Result[Outcome, Refusal]`` of one attempt."""
        fingerprint = _fingerprint(work.request)
        suspicion = self._ctx.crashes.check_suspicion(fingerprint)
        if suspicion.is_err():
            return suspicion
        chosen = self._choose(work, attempt)
        if chosen.is_err():
            return chosen
        server = chosen.unwrap()
        if not suspicion.unwrap():
            return self._send_tracked(work, attempt, server, fingerprint, False)
        return self._call_isolated(work, attempt, server, fingerprint)

    def _call_isolated(self, work, attempt, server, fingerprint):
        """Runs a suspect, if the server runs no other suspect."""
        claimed = self._ctx.claims.isolate(
            fingerprint, attempt.attempt_id, (server.instance,)
        )
        if claimed.is_err():
            return claimed
        crashes = self._ctx.crashes
        try:
            outcome = self._send_tracked(work, attempt, server, fingerprint, True)
        finally:
            died = crashes.has_mark(fingerprint, attempt.attempt_id)
            claimed.unwrap().release((server.instance,) if died else ())
        if outcome.is_ok():
            crashes.clear(fingerprint)
        return outcome

    def _send_tracked(self, work, attempt, server, fingerprint, suspect):
        """Sends the call, with an in-flight record while it runs.

        After a failure, checks whether the server died. Nothing is sent if the
        configuration no longer admits the request.
        """
        denied = work.refusal()
        if denied is not None:
            return Err(denied)
        record = InFlightRecord(
            attempt.request_id, attempt.attempt_id, (server,), fingerprint, suspect
        )
        self._ctx.inflight.add(record)
        try:
            outcome = self._send(work, attempt, server)
            failed = outcome.is_err()
            if failed and outcome.unwrap_err().reason is Reason.BACKEND_FAILED:
                if self._ctx.deaths.check(server):
                    refusal = outcome.unwrap_err()
                    return Err(self._ctx.crashes.with_retry_after(fingerprint, refusal))
                self._ctx.directory.report_failure(server.instance)
            return outcome
        finally:
            self._ctx.inflight.remove(attempt.attempt_id)

    def _send(self, work, attempt, server):
        call = work.request.payload
        headers = (
            ("Content-Type", call.content_type),
            ("X-Request-Id", attempt.request_id),
        )
        outcome = exchange_whole(
            server.address,
            call.method,
            call.path,
            call.body,
            headers,
            self._timeout(work),
        )
        if outcome.is_err():
            return Err(refusal_of_failure(outcome.unwrap_err()))
        status, body = outcome.unwrap()
        if status >= 500 or status in REFUSAL_STATUSES:
            refusal = refusal_of_reply(server.address, status, body)
            if status >= 500 or refusal.verdict is Verdict.NOT_RUN:
                return Err(refusal)
        return Ok(Outcome(status, body))

    def _timeout(self, work):
        """Returns the seconds to wait for the server.

        A non-idempotent call isn't aborted at the caller's deadline, since that would
        only turn a late answer into an unknown outcome.
        """
        if work.deadline is None or not work.idempotent:
            return CALL_TIMEOUT_S
        left = work.deadline - self._ctx.clock.monotonic()
        return min(CALL_TIMEOUT_S, max(MIN_TIMEOUT_S, left))

    def _choose(self, work, attempt):
        service = self._ctx.configuration().service(work.request.service)
        servers = self._ctx.directory.servers(service.pools, "plain")
        if not servers:
            detail = f"service {service.name} has no live backend server"
            return Err(not_run(Reason.NO_BACKEND_SERVER, detail))
        same_zone = [
            server
            for server in servers
            if server.availability_zone == self._ctx.availability_zone
        ]
        chosen = self._rng.choice(same_zone or servers)
        log_decision(
            "routing",
            chosen.instance,
            [server.instance for server in servers],
            "same availability zone" if same_zone else "any availability zone",
            request_id=attempt.request_id,
            attempt_id=attempt.attempt_id,
        )
        return Ok(chosen)


def _fingerprint(request):
    call = request.payload
    request_line = f"{call.method} {call.path}".encode()
    return fingerprint_of(request.service, request_line, call.body)


def _to_answer(outcome):
    return Answer(outcome.status, outcome.content_type, iter([outcome.body]))
