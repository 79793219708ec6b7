"""Plain service kind: forwards a call to one backend server."""

import random

import gevent
from result import Err, Ok

from amaranthbay.dispatch.engine_http import refusal_of_failure, refusal_of_reply
from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.kernel.interfaces import ServiceKind
from amaranthbay.kernel.registry import register
from amaranthbay.kernel.requests import Answer
from amaranthbay.kernel.retries import Backoff, new_attempt, run_attempts
from amaranthbay.observe import log_decision
from amaranthbay.state.idempotency import Outcome
from amaranthbay.utils.http import json_exchange

__all__ = ["PlainService"]

CALL_TIMEOUT_S = 30.0


@register("service_kind", "plain")
class PlainService(ServiceKind):
    """Dispatches calls of plain services."""

    def __init__(self, ctx):
        self._ctx = ctx
        self._rng = random.Random()

    def dispatch(self, work):
        if work.idempotent:
            return self._run(work).map(_to_answer)
        # A caller that leaves must not interrupt the call between its record and
        # its outcome, so the call runs in a greenlet of its own.
        job = gevent.spawn(self._run_once, work)
        return job.get().map(_to_answer)

    def _run(self, work):
        """Returns ``Result[Outcome, Refusal]`` after bounded retries."""
        budget = self._ctx.budget(work.request.service)

        def run(attempt):
            return self._call(work, attempt)

        return run_attempts(work, run, budget, Backoff(), self._ctx.clock)

    def _run_once(self, work):
        """Runs a non-idempotent call at most once."""
        attempt = new_attempt(work.request.request_id, 1)
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
        chosen = self._choose(work, attempt)
        if chosen.is_err():
            return chosen
        server = chosen.unwrap()
        call = work.request.payload
        headers = (
            ("Content-Type", call.content_type),
            ("X-Request-Id", attempt.request_id),
            ("X-Attempt-Id", attempt.attempt_id),
        )
        outcome = json_exchange(
            server.address, call.method, call.path, call.body, headers, CALL_TIMEOUT_S
        )
        if outcome.is_err():
            self._ctx.directory.report_failure(server.instance)
            return Err(refusal_of_failure(outcome.unwrap_err()))
        status, body = outcome.unwrap()
        if status < 500:
            return Ok(Outcome(status, body))
        return Err(refusal_of_reply(server.address, status, body))

    def _choose(self, work, attempt):
        service = self._ctx.configuration().service(work.request.service)
        servers = self._ctx.directory.servers(service.pools, "plain")
        if not servers:
            detail = f"service {service.name} has no live backend server"
            return Err(not_run(Reason.NO_BACKEND_SERVER, detail))
        near = [
            each
            for each in servers
            if each.availability_zone == self._ctx.availability_zone
        ]
        server = self._rng.choice(near or servers)
        log_decision(
            "routing",
            server.instance,
            [each.instance for each in servers],
            "same availability zone" if near else "any availability zone",
            request_id=attempt.request_id,
            attempt_id=attempt.attempt_id,
        )
        return Ok(server)


def _to_answer(outcome):
    return Answer(outcome.status, outcome.content_type, iter([outcome.body]))
