"""Relays calls of plain services."""

import sys
from dataclasses import dataclass
from datetime import timedelta

import gevent
from gevent.queue import Empty, Queue
from result import Err, Ok

from amaranthbay.kernel.errors import Reason, Verdict, may_have_run, not_run
from amaranthbay.observe import Step, current_metrics, log_event
from amaranthbay.relay.exchange import (
    AnswerBody,
    AnswerHead,
    ExchangeBroken,
    SendForbidden,
    open_exchange,
)
from amaranthbay.relay.plain_queue import PlainQueue
from amaranthbay.relay.refusals import RETRY_SOON, all_held_back, timed_out
from amaranthbay.scheduling.plain import has_free_slot
from amaranthbay.scheduling.plain_line import retry_s

__all__ = ["PlainRelay", "WholeAnswer"]

# A server that can't be reached within this time, which is several round trips between
# availability zones, is skipped; nothing was sent to it yet.
CONNECT_TIMEOUT_S = 0.15
# Share of the target after which a repeatable request is also sent to another server.
HEDGE_SHARE = 0.55
# Least time from the placement of a call to its hedge, as a share of the target.
MIN_HEDGE_SHARE = 0.3
SERVER_ERROR = 500
# Statuses that tell a caller that the request did not run, although the server has not
# stated it.
AMBIGUOUS_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(frozen=True)
class WholeAnswer:
    """An answer that has been read to its end.

    Attributes:
        head: `AnswerHead` of the answer.
        body: `AnswerBody` of the answer.
        server: Name of the backend server.
    """

    head: AnswerHead
    body: AnswerBody
    server: str

    @property
    def succeeded(self):
        """Whether the status is no server error."""
        return self.head.status < SERVER_ERROR


class PlainRelay:
    """Relays calls of plain services, with retries and hedged requests."""

    def __init__(self, ctx):
        self._ctx = ctx
        self._queue = PlainQueue(ctx)

    def serve(self, call):
        """Relays a `Call` and returns ``Result[WholeAnswer, Refusal]``."""
        return _PlainRun(self._ctx, self._queue, call).run()


class _PlainRun:
    """The attempts of one call."""

    def __init__(self, ctx, queue, call):
        self._ctx = ctx
        self._queue = queue
        self._call = call
        self._tried = set()
        # Servers that further attempts are connecting to, and the number of these
        # attempts.
        self._connecting = set()
        self._starting = 0
        self._ended = False
        # ``Result[WholeAnswer, Refusal]`` of each attempt; None for a further one that
        # has reached no server.
        self._attempt_outcomes = Queue()
        self._greenlets = []
        self._server_error = None
        self._verdict = Verdict.NOT_RUN

    def run(self):
        """Returns ``Result[WholeAnswer, Refusal]``."""
        try:
            placed = self._queue.place(self._call)
            if placed.is_err():
                # A removed key is told before a time to come back.
                return Err(self._call.access_refusal() or placed.unwrap_err())
            start_result = self._start(placed.unwrap())
            if start_result.is_err():
                return start_result
            return self._await_answer()
        finally:
            self._ended = True
            gevent.killall(self._greenlets, block=False)

    def _await_answer(self):
        pending = 1
        hedge_at = self._hedge_at()
        while True:
            try:
                outcome = self._attempt_outcomes.get(timeout=self._wait_s(hedge_at))
            except Empty:
                # Without a hedge the deadline was awaited, even if a timer that ends
                # early shows an earlier time. A hedge here could run a call twice.
                if (
                    hedge_at is None
                    or self._ctx.clock.monotonic() >= self._call.ends_at
                ):
                    refusal = timed_out(self._verdict_so_far(pending))
                    return self._server_error or Err(refusal)
                hedge_at = None
                pending += self._repeat("slow")
                continue
            pending -= 1
            if outcome is not None:
                if outcome.is_ok() and outcome.unwrap().succeeded:
                    return outcome
                self._note_failure(outcome)
                if self._may_repeat(outcome):
                    pending += self._repeat("failed")
            if pending == 0:
                return self._final_result()

    def _hedge_at(self):
        """Returns the monotonic time of a hedged request; None if none is allowed."""
        if not self._call.route.repeatable:
            return None
        target_s, now = self._call.route.target_s, self._ctx.clock.monotonic()
        # A call that has waited for its server is not slow for that.
        least_at = now + MIN_HEDGE_SHARE * target_s
        return max(self._call.arrived_at + HEDGE_SHARE * target_s, least_at)

    def _wait_s(self, hedge_at):
        now = self._ctx.clock.monotonic()
        until = self._call.ends_at if hedge_at is None else hedge_at
        return max(0.0, min(until, self._call.ends_at) - now)

    def _verdict_so_far(self, pending):
        """Returns the `Verdict` while some attempts may still be running."""
        return Verdict.MAY_HAVE_RUN if pending else self._verdict

    def _note_failure(self, outcome):
        if outcome.is_ok():
            self._verdict = Verdict.RAN
            self._server_error = outcome
        elif outcome.unwrap_err().verdict is not Verdict.NOT_RUN:
            self._verdict = Verdict.MAY_HAVE_RUN

    def _may_repeat(self, outcome):
        if self._call.route.repeatable:
            return True
        return outcome.is_err() and outcome.unwrap_err().verdict is Verdict.NOT_RUN

    def _final_result(self):
        if self._server_error is not None:
            return self._server_error
        if self._verdict is Verdict.NOT_RUN:
            detail = "no backend server took the request"
            seconds = retry_s(
                RETRY_SOON.total_seconds(),
                self._call.route.target_s,
                self._ctx.rng.random(),
            )
            retry = timedelta(seconds=seconds)
            refusal = not_run(Reason.NO_BACKEND_SERVER, detail, 503, retry)
            access_refusal = self._call.access_refusal()
            return Err(access_refusal or self._held_back_refusal() or refusal)
        detail = "the backend server gave no answer"
        return Err(may_have_run(Reason.BACKEND_FAILED, detail))

    def _repeat(self, cause):
        """Starts another attempt if that is allowed.

        Args:
            cause: "slow" for a hedge while an attempt runs, "failed" for a retry.

        Returns:
            Number of attempts started, 0 or 1.
        """
        if len(self._tried) + self._starting >= self._call.route.max_attempts:
            return 0
        crashes = self._ctx.crashes
        if crashes.is_quarantined(self._call) or crashes.may_crash_again(self._call):
            return 0
        excluded = self._tried | self._connecting
        candidates = self._ctx.candidates(self._call.service.name, excluded=excluded)
        if not (has_free_slot(candidates) if cause == "slow" else candidates):
            return 0
        if not self._ctx.budget(self._call.service.name).withdraw():
            log_event("repeat_denied", request_id=self._call.request_id, cause=cause)
            return 0
        if not self._call.route.repeatable:
            return 1 if self._start().is_ok() else 0
        # Another attempt may be answered while this one finds no server that it can
        # connect to.
        self._starting += 1
        self._greenlets.append(gevent.spawn(self._start_beside, cause == "slow"))
        return 1

    def _start_beside(self, only_free):
        """Starts an attempt while others may be in progress."""
        started = False
        try:
            started = self._start(only_free=only_free).is_ok()
        except Exception:
            self._log_defect()
        finally:
            self._starting -= 1
        if not started:
            self._attempt_outcomes.put(None)

    def _log_defect(self):
        request_id = self._call.request_id
        log_event("defect", level="error", exc=sys.exc_info(), request_id=request_id)

    def _start(self, placement=None, only_free=False):
        """Connects to a server and starts an attempt in the background.

        Unreachable servers are skipped and don't count as attempts, as nothing was sent
        to them.

        Args:
            placement: `PlainPlacement` on the first server; None to choose it now.
            only_free: Whether only servers with a free slot are used.

        Returns:
            ``Result[None, Refusal]``.
        """
        unreachable = set()
        while True:
            refusal = self._call.access_refusal()
            if refusal is not None:
                if placement is not None:
                    placement.release()
                return Err(refusal)
            excluded = self._tried | self._connecting | unreachable
            placement = placement or self._queue.place_again(
                self._call, excluded, only_free
            )
            now = self._ctx.clock.monotonic()
            if placement is None:
                refusal = self._held_back_refusal(self._tried | unreachable)
                if refusal is not None:
                    return Err(refusal)
            if placement is None or now >= self._call.ends_at:
                if placement is not None:
                    placement.release()
                detail = "no backend server can be reached"
                return Err(not_run(Reason.NO_BACKEND_SERVER, detail, 503, RETRY_SOON))
            exchange = self._connect(placement, now)
            if exchange is not None:
                self._begin_attempt(placement, exchange, now)
                return Ok(None)
            unreachable.add(placement.server.name)
            placement = None

    def _begin_attempt(self, placement, exchange, now):
        """Starts to read the answer in the background, unless the call has ended."""
        if self._ended:
            exchange.close()
            placement.release()
            return
        self._tried.add(placement.server.name)
        attempt = gevent.spawn(self._attempt, placement, exchange, now)

        def end(_):
            exchange.close()
            placement.release()

        # The call may end before the attempt begins.
        attempt.link(end)
        self._greenlets.append(attempt)

    def _held_back_refusal(self, excluded=frozenset()):
        """Returns the `Refusal` if no server may get the call now, else None."""
        held = self._ctx.held_back(self._call.service.name, excluded=excluded)
        return None if held is None else all_held_back(held, self._ctx.rng.random())

    def _connect(self, placement, now):
        """Sends the request; returns its `Exchange`, or None if that failed."""
        ctx, call, server = self._ctx, self._call, placement.server
        exchange = None
        self._connecting.add(server.name)
        try:
            options = call.forward_options(server.name, now)
            exchange = open_exchange(
                ctx.connections, ctx.codec, server, call, options, CONNECT_TIMEOUT_S
            )
        except ExchangeBroken as exc:
            if not isinstance(exc, SendForbidden):
                ctx.outcomes.note_unreachable(server.name)
            log_event(
                "server_unreachable",
                level="warning",
                request_id=call.request_id,
                backend_server=server.name,
                reason=exc.reason,
            )
        finally:
            self._connecting.discard(server.name)
            if exchange is None:
                placement.release()
        return exchange

    def _attempt(self, placement, exchange, started_at):
        server = placement.server
        try:
            outcome = self._read(server, exchange)
        except gevent.GreenletExit:
            # Another attempt answered first, or the caller has hung up.
            self._note_if_slow(server, started_at)
            self._ctx.outcomes.note_tried(server.name)
            raise
        except Exception:
            self._log_defect()
            outcome = Err(may_have_run(Reason.INTERNAL, "the daemon has failed", 500))
        # Waiting calls are placed as the load is released, so they see the outcome.
        self._note_outcome(placement, outcome, started_at)
        self._attempt_outcomes.put(outcome)
        placement.release()

    def _note_if_slow(self, server, started_at):
        """Counts a cancelled attempt as failed if it ran for longer than the target."""
        seconds = self._ctx.clock.monotonic() - started_at
        if seconds > self._call.route.target_s:
            self._ctx.outcomes.note_failed(server.name)

    def _note_outcome(self, placement, outcome, started_at):
        server, outcomes = placement.server, self._ctx.outcomes
        seconds = self._ctx.clock.monotonic() - started_at
        service = self._call.service.name
        current_metrics().step_ended(service, Step.ATTEMPT, seconds)
        succeeded = outcome.is_ok() and outcome.unwrap().succeeded
        if outcome.is_ok():
            self._ctx.crashes.note_served(self._call)
        if succeeded:
            outcomes.note_answered(server.name, seconds)
            outcomes.note_call(server.name, seconds, placement.load_factor)
        else:
            outcomes.note_tried(server.name)
            if _was_refused(outcome):
                outcomes.note_queue_full(server.name, placement.expected_free)
            else:
                outcomes.note_failed(server.name)
        log_event(
            "attempt_ended",
            request_id=self._call.request_id,
            backend_server=server.name,
            seconds=round(seconds, 4),
            outcome=_describe(outcome),
        )

    def _read(self, server, exchange):
        """Reads one server's answer and returns ``Result[WholeAnswer, Refusal]``."""
        try:
            head = exchange.read_head()
            refusal = self._refusal_of(server, head)
            body = exchange.read_body()
        except ExchangeBroken as exc:
            self._ctx.crashes.note_broken(self._call, server, exc)
            return Err(may_have_run(Reason.BACKEND_FAILED, exc.reason))
        if refusal is not None:
            body.release()
            return Err(refusal)
        return Ok(WholeAnswer(head, body, server.name))

    def _refusal_of(self, server, head):
        """Returns a `Refusal` if the answer must not reach the caller, else None."""
        if head.traits.misdirected:
            self._ctx.backends.forget(server.name)
            self._ctx.connections.drop_server(server.name)
            detail = "another server has the address"
            return not_run(Reason.NO_BACKEND_SERVER, detail, 503, RETRY_SOON)
        if head.traits.not_run:
            detail = f"the backend server refused with {head.status}"
            return not_run(Reason.BACKEND_REFUSED, detail, 503, RETRY_SOON)
        if head.status < 300 and not head.traits.stamped:
            detail = "the answer has no response stamp"
            return may_have_run(Reason.BACKEND_FAILED, detail)
        if head.status in AMBIGUOUS_STATUSES:
            # The status would tell the caller that the request did not run.
            detail = f"the backend server answered {head.status}"
            return may_have_run(Reason.BACKEND_FAILED, detail)
        return None


def _was_refused(outcome):
    """Returns whether the server has refused the request as not run."""
    return outcome.is_err() and outcome.unwrap_err().reason is Reason.BACKEND_REFUSED


def _describe(outcome):
    if outcome.is_ok():
        return str(outcome.unwrap().head.status)
    return outcome.unwrap_err().detail
