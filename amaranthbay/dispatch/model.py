"""Service kind ``model``: runs completions on pairs of prefill and decode servers."""

import time
from contextlib import ExitStack

from result import Err, Ok

from amaranthbay.dispatch.answers import streamed_answer, whole_answer
from amaranthbay.dispatch.holds import EngineHold, StartedStream
from amaranthbay.dispatch.resume import ResumePoint, resume_attempt
from amaranthbay.dispatch.streams import BrokenStream, MatchedStream, first_event
from amaranthbay.kernel.errors import Reason, Verdict, may_have_run
from amaranthbay.kernel.interfaces import ServiceKind
from amaranthbay.kernel.registry import register
from amaranthbay.kernel.retries import Backoff, run_attempts
from amaranthbay.observe import log_decision
from amaranthbay.placement.demands import to_demand
from amaranthbay.state.crash_marks import fingerprint_of
from amaranthbay.utils.tokens import estimate_tokens

__all__ = ["ModelService"]

# Priorities of engine calls; an engine serves the highest first. A patient request is
# one whose caller has no target for the first token.
INTERACTIVE_PRIORITY = 10
PATIENT_PRIORITY = 0
# The decode of a patient request comes before that of an interactive one: a KV cache
# expires within a second after its prefill, and the KV caches of patient prompts, which
# are long, are the most expensive to recompute.
PATIENT_DECODE_PRIORITY = 20
PATIENT_PREFILL_TIMEOUT_S = 600.0
# The KV cache expires in under a second, so a decode without a first token after
# this time has a stalled transfer, or is queued behind requests of other daemons.
PATIENT_FIRST_TOKEN_TIMEOUT_S = 10.0
MIN_TIMEOUT_S = 0.05
# After a server dies, all requests that ran on it become suspects, and each waits
# for servers that run no other suspect.
SUSPECT_WAIT_S = 600.0
SUSPECT_POLL_INTERVAL_S = 1.0
# Failures after which a server is probed, because it may be dead. A server that is slow
# or refuses a request is alive.
PROBE_REASONS = (Reason.BACKEND_FAILED, Reason.STREAM_BROKEN)


@register("service_kind", "model")
class ModelService(ServiceKind):
    """Dispatches model calls, new and resumed ones."""

    def __init__(self, ctx):
        self._ctx = ctx

    def dispatch(self, work):
        if work.request.payload.resume_token:
            return self._resume(work)
        budget = self._ctx.budget(work.request.service)
        runner = _AttemptRunner(self._ctx, work)
        outcome = run_attempts(work, runner, budget, Backoff(), self._ctx.clock)
        return outcome.map_err(runner.with_retry_after)

    def _resume(self, work):
        service = self._ctx.configuration().service(work.request.service)
        resumed = resume_attempt(self._ctx, work, service.pools)
        if resumed.is_err():
            return resumed
        started, resume_token = resumed.unwrap()
        return _to_answer(work.request, started, resume_token)


class _AttemptRunner:
    """Runs the attempts of one request; called once per attempt."""

    def __init__(self, ctx, work):
        self._ctx = ctx
        self._work = work
        self._call = work.request.payload
        self._excluded = set()
        self._dead_servers = set()
        self._fingerprint = fingerprint_of(
            work.request.service,
            self._call.prompt.encode(),
            str(self._call.max_tokens).encode(),
        )

    def __call__(self, attempt):
        """Runs one attempt and returns its ``Result[Answer, Refusal]``.

        If the chosen servers run another suspect, a patient suspect waits and tries
        again within the same attempt, for at most `SUSPECT_WAIT_S`.
        """
        wait_end = self._ctx.clock.monotonic() + SUSPECT_WAIT_S
        while True:
            outcome = self._run(attempt)
            can_wait = outcome.is_err() and not self._work.interactive
            if (
                not can_wait
                or outcome.unwrap_err().reason is not Reason.SUSPECT_WAITING
            ):
                return outcome
            if self._ctx.clock.monotonic() >= wait_end or self._work.refusal():
                return outcome
            self._ctx.clock.sleep(SUSPECT_POLL_INTERVAL_S)

    def _run(self, attempt):
        """Tries once to place the attempt and to start its stream.

        Returns:
            ``Result[Answer, Refusal]``. The answer releases the slot and the other
            resources at its end.
        """
        suspicion = self._ctx.crashes.check_suspicion(self._fingerprint)
        if suspicion.is_err():
            return suspicion
        suspect = suspicion.unwrap()
        with ExitStack() as resources:
            placed = self._place(attempt, resources)
            if placed.is_err():
                return placed
            placement = placed.unwrap()
            servers = (placement.prefill.server, placement.decode.server)
            granted = self._acquire_slot(attempt, servers[1], resources)
            if granted.is_err():
                return granted
            isolated = self._claim_servers(suspect, attempt, servers, resources)
            if isolated.is_err():
                return isolated
            # Its key may have been removed while it waited for a slot.
            denied = self._work.refusal()
            if denied is not None:
                return Err(denied)
            started = self._start(attempt, servers, suspect, resources)
            if started.is_err():
                return started
            resume_point = ResumePoint(
                attempt.attempt_id,
                servers[1].instance,
                self._ctx.takeovers.own_instance,
            )
            return _to_answer(
                self._work.request, started.unwrap(), resume_point.encode()
            )

    def with_retry_after(self, refusal):
        """Returns the refusal with the time after which the caller may retry."""
        return self._ctx.crashes.with_retry_after(self._fingerprint, refusal)

    def _place(self, attempt, resources):
        now = self._ctx.clock.monotonic()
        view = self._ctx.view(self._work.request.service, self._call)
        started_at = time.perf_counter()
        # Tries without the excluded servers first, then with all servers.
        for excluded in dict.fromkeys((frozenset(self._excluded), frozenset())):
            demand = to_demand(self._work, now, attempt.attempt_id, excluded=excluded)
            placed = self._ctx.policy.choose(demand, view, now)
            if placed.is_ok():
                break
        _log_placement(attempt, placed, time.perf_counter() - started_at)
        if placed.is_ok():
            observer = self._ctx.observer
            observer.placed(attempt.attempt_id, self._call, placed.unwrap(), view)
            resources.callback(observer.released, attempt.attempt_id)
        return placed

    def _acquire_slot(self, attempt, server, resources):
        """Acquires a slot of the decode server, before the prefill starts."""
        tokens = estimate_tokens(self._call.prompt)
        allocator = self._ctx.allocator
        granted = allocator.acquire(server, attempt, self._work.interactive, tokens)
        if granted.is_ok():
            resources.callback(allocator.release, granted.unwrap())
        return granted

    def _claim_servers(self, suspect, attempt, servers, resources):
        """Claims the servers for a suspect, so that no other suspect runs there."""
        if not suspect:
            return Ok(None)
        instances = [server.instance for server in servers]
        claims = self._ctx.claims
        claimed = claims.isolate(self._fingerprint, attempt.attempt_id, instances)
        if claimed.is_ok():
            isolation = claimed.unwrap()
            resources.callback(lambda: isolation.release(self._dead_servers))
        else:
            self._excluded.update(instances)
        return claimed

    def _start(self, attempt, servers, suspect, resources):
        """Returns ``Result[StartedStream, Refusal]``.

        The started stream owns the resources from then on and releases them.
        """
        hold = EngineHold(self._ctx, attempt, servers, self._fingerprint, suspect)
        with ExitStack() as on_failure:
            on_failure.callback(hold.release)
            hold.enter()
            opened = self._open(attempt, servers)
            if opened.is_err():
                hold.unanswered = _may_be_unanswered(opened.unwrap_err())
                return opened
            stream, first = opened.unwrap()
            hold.started(servers[1])
            on_failure.pop_all()
        stream_resources = resources.pop_all()

        def on_close(finished):
            stream_resources.close()
            if finished and suspect:
                self._ctx.crashes.clear(self._fingerprint)

        def on_break(refusal):
            self._check_death(servers[1])
            return self.with_retry_after(refusal)

        return Ok(StartedStream(stream, first, hold, on_break, on_close))

    def _open(self, attempt, servers):
        """Runs the prefill, opens the decode stream and waits for its first event.

        Returns:
            ``Result[tuple[MatchedStream, TokenEvent | None], Refusal]``; the event is
            None if the answer has no token.
        """
        prefill_server, decode_server = servers
        pause_count = self._ctx.pause_count()
        priority = INTERACTIVE_PRIORITY if self._work.interactive else PATIENT_PRIORITY
        timeout = self._timeout(PATIENT_PREFILL_TIMEOUT_S)
        prefilled = self._ctx.engine.prefill(
            prefill_server, attempt, self._call, priority, timeout
        )
        if prefilled.is_err():
            return self._record_failure(prefilled, prefill_server)
        if self._ctx.pause_count() != pause_count:
            detail = "the daemon was paused; the attempt may have been cancelled"
            return Err(may_have_run(Reason.BACKEND_SLOW, detail))
        self._ctx.observer.prefilled(attempt.attempt_id, prefilled.unwrap())
        if not self._work.interactive:
            priority = PATIENT_DECODE_PRIORITY
        timeout = self._timeout(PATIENT_FIRST_TOKEN_TIMEOUT_S)
        opened = self._ctx.engine.decode(
            decode_server, attempt, self._call, prefilled.unwrap(), priority, timeout
        )
        if opened.is_err():
            return self._record_decode_failure(_with_may_have_run(opened), servers)
        stream = MatchedStream(
            self._ctx.engine,
            decode_server,
            attempt,
            opened.unwrap(),
            self._ctx.clock,
            pause_count=self._ctx.pause_count,
        )
        first = first_event(stream)
        if first.is_err():
            return self._record_failure(first, decode_server)
        self._ctx.observer.first_token(attempt.attempt_id)
        return Ok((stream, first.unwrap()))

    def _timeout(self, patient_s):
        """Returns the seconds to the deadline, or ``patient_s`` if there is none.

        It is at least `MIN_TIMEOUT_S`, also after the deadline.
        """
        if self._work.deadline is None:
            return patient_s
        left = self._work.deadline - self._ctx.clock.monotonic()
        return max(MIN_TIMEOUT_S, left)

    def _record_failure(self, outcome, server):
        """Makes later attempts avoid the server, and probes it if it may be dead.

        Must run before the in-flight record is removed: a death marks the requests
        that are recorded on the server.
        """
        self._excluded.add(server.instance)
        if outcome.unwrap_err().reason in PROBE_REASONS:
            if not self._check_death(server):
                self._ctx.directory.report_failure(server.instance)
        return outcome

    def _check_death(self, server):
        """Returns whether a server died; if so, its requests have been marked."""
        died = self._ctx.deaths.check(server)
        if died:
            self._dead_servers.add(server.instance)
        return died

    def _record_decode_failure(self, outcome, servers):
        """Records that a decode didn't start.

        Unless the decode server may be dead, the cause may be the transfer of the
        KV cache, so the prefill server is avoided and probed too.
        """
        prefill_server, decode_server = servers
        if outcome.unwrap_err().reason not in PROBE_REASONS:
            self._excluded.add(prefill_server.instance)
            self._check_death(prefill_server)
        return self._record_failure(outcome, decode_server)


def _may_be_unanswered(refusal):
    """Returns whether the engine may still receive or run the failed call."""
    refused = refusal.reason is Reason.BACKEND_REFUSED
    return refusal.verdict is not Verdict.NOT_RUN and not refused


def _with_may_have_run(outcome):
    """Returns the failure as ``may_have_run``, because the prefill has run."""
    return outcome.map_err(lambda refusal: refusal.with_verdict(Verdict.MAY_HAVE_RUN))


def _log_placement(attempt, placed, duration_s):
    fields = {"request_id": attempt.request_id, "attempt_id": attempt.attempt_id}
    fields["decision_us"] = round(duration_s * 1e6)
    if placed.is_err():
        refusal = placed.unwrap_err()
        log_decision("placement", None, (), refusal.reason, **fields)
        return
    placement = placed.unwrap()
    log_decision(
        "placement",
        [placement.prefill.server.instance, placement.decode.server.instance],
        placement.candidates,
        placement.reason,
        **fields,
    )


def _to_answer(request, started, resume_token):
    """Returns ``Result[Answer, Refusal]`` for a started stream.

    If the caller didn't ask for a stream, reads the stream to its end first. A break
    is then a failed attempt, and another one may run, because the caller has received
    nothing.
    """
    if request.payload.stream:
        return Ok(streamed_answer(request, started, resume_token))
    try:
        return Ok(whole_answer(request, list(started.tokens())))
    except BrokenStream as exc:
        return Err(exc.refusal)
