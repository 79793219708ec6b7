"""Relays streams of model servers: prefill, decode and continuation after failures."""

from dataclasses import dataclass

import gevent
from result import Err, Ok

from amaranthbay.kernel.errors import Reason, Verdict, may_have_run, not_run
from amaranthbay.observe import Step, current_metrics, log_event
from amaranthbay.relay.attempts import StreamAttempts
from amaranthbay.relay.codec import ForwardOptions
from amaranthbay.relay.exchange import (
    ExchangeBroken,
    open_exchange,
    take_connection,
)
from amaranthbay.relay.holds import drop_hold, release_handle, take_hold
from amaranthbay.relay.output import StreamOutput
from amaranthbay.relay.placing import memory_need
from amaranthbay.relay.plain import AMBIGUOUS_STATUSES, MAX_ANSWER_BYTES
from amaranthbay.relay.prefill import CONNECT_TIMEOUT_S, run_prefill
from amaranthbay.relay.refusals import RETRY_SOON, timed_out

__all__ = ["StreamRelay"]

# Silence of a decode server after which a resumable stream continues elsewhere.
# Callers leave after two seconds without an event.
STALL_S = 1.0
# Longest wait of a resumable stream for the head of the answer. Callers leave after
# four targets without an event; the target is one second.
HEAD_TIMEOUT_S = 2.0
# Interval at which the silence of a decode server is recorded, so that it gets no new
# streams for a while; events usually come every 50 ms.
SILENCE_CHECK_S = 0.5
# Share of a handle's life within which another decode server may still be offered it.
HANDLE_REUSE_SHARE = 0.6
OK = 200


@dataclass(frozen=True)
class _ComputedPrompt:
    """A computed prompt, whose KV cache a prefill server keeps for a moment.

    Attributes:
        server: `BackendServer` that keeps the KV cache.
        handle: Name of the KV cache at that server.
        source: Text that tells a decode server where to fetch the KV cache.
        computed_at: Monotonic time at which the prefill ended.
    """

    server: object
    handle: str
    source: str
    computed_at: float


class StreamRelay:
    """Runs streams on pairs of a prefill and a decode server."""

    def __init__(self, ctx, queue):
        self._ctx = ctx
        self._queue = queue

    def serve(self, call, conn):
        """Relays one stream to its caller.

        Args:
            call: `Call` of the stream.
            conn: `CallerConnection` that gets the answer.

        Returns:
            `Refusal` if nothing was sent to the caller, else None.
        """
        return _StreamRun(self._ctx, self._queue, call, conn).run()


class _StreamRun:
    """One stream from its placement to its end."""

    def __init__(self, ctx, queue, call, conn):
        self._ctx = ctx
        self._queue = queue
        self._call = call
        self._attempts = StreamAttempts(ctx, call)
        self._output = StreamOutput(conn, ctx.codec, ctx.clock, call.head.last_event_id)
        # Verdict on the attempts that have ended.
        self._verdict = Verdict.NOT_RUN
        # Whether an attempt has sent the request to a decode server and is in progress.
        self._may_be_running = False

    def run(self):
        """Returns None if anything was sent to the caller, else a `Refusal`."""
        limit_s = self._call.left_s(self._ctx.clock.monotonic())
        with gevent.Timeout(limit_s, False):
            return self._run_attempts()
        # The deadline has passed: a stream that has started stays incomplete.
        if self._output.started:
            return None
        verdict = Verdict.MAY_HAVE_RUN if self._may_be_running else self._verdict
        return timed_out(verdict)

    def _run_attempts(self):
        while True:
            place_result = self._queue.place(
                self._call,
                frozenset(self._attempts.excluded),
                self._attempts.must_skip_prefill(),
                self._output.started,
            )
            if place_result.is_err():
                return self._end(place_result.unwrap_err())
            placement = place_result.unwrap()
            try:
                hold_result = take_hold(self._ctx, self._call, placement)
                if hold_result.is_err():
                    continue
                outcome = self._attempt(placement, hold_result.unwrap())
                self._may_be_running = False
            finally:
                placement.release()
            if outcome.is_ok():
                return None
            refusal = outcome.unwrap_err()
            if refusal.verdict is not Verdict.NOT_RUN:
                self._verdict = refusal.verdict
            if not self._attempts.withdraw_repeat(refusal):
                return self._end(refusal)

    def _end(self, refusal):
        """Returns the `Refusal` for the caller; None if its stream has started."""
        if self._output.started:
            log_event(
                "stream_ended_early",
                level="warning",
                request_id=self._call.request_id,
                detail=refusal.detail,
                last_event=self._output.last_id,
            )
            return None
        if self._verdict is Verdict.NOT_RUN:
            return self._queue.held_back_refusal(self._call) or refusal
        return refusal.with_verdict(self._verdict)

    def _attempt(self, placement, hold):
        """Returns ``Result[None, Refusal]``; Ok once the stream is complete."""
        if placement.prefill is None:
            return self._decode(placement, None, hold)
        ctx, server, conn = self._ctx, placement.decode, None
        try:
            # Connects before the prefill, so that no prompt is computed for a decode
            # server that can't be reached.
            conn = take_connection(
                ctx.connections, server, self._call.route.repeatable, CONNECT_TIMEOUT_S
            )
            prefill_result = run_prefill(ctx, self._call, self._attempts, placement)
            placement.end_prefill()
            if prefill_result.is_err():
                return prefill_result
            server_conn, conn = conn, None
            return self._decode_computed(
                placement, prefill_result.unwrap(), hold, server_conn
            )
        except ExchangeBroken as exc:
            self._attempts.note_failed(server, exc, sent=False)
            return _decode_failed(exc)
        finally:
            if conn is not None:
                ctx.connections.give_back(conn, None)
                drop_hold(ctx, server, hold)

    def _decode_computed(self, placement, handle, hold, conn):
        """Decodes a computed prompt and releases its KV cache if no server takes it.

        Args:
            placement: `Placement` whose prefill server has computed the prompt.
            handle: Name of the KV cache at the prefill server.
            hold: Id of the hold at the decode server; empty for none.
            conn: `ServerConnection` to the decode server.

        Returns:
            ``Result[None, Refusal]``.
        """
        server = placement.prefill
        computed = _ComputedPrompt(
            server,
            handle,
            self._ctx.codec.kv_source(server.address, handle),
            self._ctx.clock.monotonic(),
        )
        was_suspect = self._ctx.handles.is_suspect(server.name)
        taken = False
        try:
            outcome = self._decode(placement, computed, hold, conn)
            # A suspect prefill server has probably lost the KV cache. Another decode
            # server couldn't fetch it either.
            if _is_not_run(outcome) and not was_suspect:
                other_outcome = self._decode_elsewhere(
                    outcome.unwrap_err(), placement.decode, computed
                )
                outcome = other_outcome or outcome
            taken = not _is_not_run(outcome)
            return outcome
        finally:
            if not taken:
                release_handle(self._ctx, server, handle)

    def _decode_elsewhere(self, refusal, first_server, computed):
        """Offers a computed prompt to another decode server.

        Args:
            refusal: `Refusal` of the first decode server.
            first_server: `BackendServer` that refused.
            computed: `_ComputedPrompt` to offer.

        Returns:
            ``Result[None, Refusal]``, or None if no server is left, the handle is too
            old or no repeat is allowed.
        """
        age_s = self._ctx.clock.monotonic() - computed.computed_at
        if age_s > HANDLE_REUSE_SHARE * self._call.service.engine.handle_ttl_s:
            return None
        excluded = frozenset(self._attempts.excluded) | {first_server.name}
        other_placement = self._queue.place_on_other_decode(self._call, excluded)
        if other_placement is None:
            return None
        try:
            if not self._attempts.withdraw_repeat(refusal, prefill_again=False):
                return None
            return self._decode(other_placement, computed, "")
        finally:
            other_placement.release()

    def _decode(self, placement, computed, hold, conn=None):
        """Sends the request to the decode server and relays its events.

        Args:
            placement: `Placement` with the decode server.
            computed: `_ComputedPrompt`; None if the decode server computes the prompt.
            hold: Id of the hold at the decode server; empty for none.
            conn: `ServerConnection` to use if it is still open, or None.

        Returns:
            ``Result[None, Refusal]``; Ok once the stream is complete.
        """
        ctx, call, server = self._ctx, self._call, placement.decode
        options = ForwardOptions(
            server.name,
            call.left_s(ctx.clock.monotonic()),
            kv_source=computed.source if computed is not None else "",
            hold=hold,
            last_event_id=self._output.last_id if self._output.started else None,
        )
        exchange = None
        called_at = ctx.clock.monotonic()
        try:
            exchange = open_exchange(
                ctx.connections,
                ctx.codec,
                server,
                call,
                options,
                CONNECT_TIMEOUT_S,
                conn,
                placed=server.name in placement.counted,
            )
            self._attempts.note_sent()
            self._may_be_running = True
            head = self._read_head(exchange)
            if computed is not None and _surely_has_memory(placement, hold):
                not_fetched = head.traits.not_run and not head.traits.misdirected
                if not_fetched:
                    self._attempts.note_handle_refused(server, computed.server)
                    return Err(_decode_refused(head))
            refusal = self._refusal_of(server, head)
            if refusal is not None:
                return Err(refusal)
            if head.status == OK:
                ctx.outcomes.note_accepted(server.name)
                if computed is not None:
                    ctx.handles.note_fetched(computed.server.name)
            if head.status != OK:
                return self._forward_whole(exchange, head)
            return self._relay(placement, exchange, head, called_at)
        except ExchangeBroken as exc:
            self._attempts.note_failed(server, exc, sent=exchange is not None)
            return _decode_failed(exc)
        finally:
            if exchange is not None:
                exchange.close()

    def _read_head(self, exchange):
        if not self._call.route.resumable:
            return exchange.read_head()
        stalled = ExchangeBroken(Verdict.MAY_HAVE_RUN, "stalled")
        with gevent.Timeout(HEAD_TIMEOUT_S, stalled):
            return exchange.read_head()

    def _refusal_of(self, server, head):
        """Returns the `Refusal` for a decode server's `AnswerHead`.

        Returns:
            None if the answer is passed on to the caller.
        """
        if head.traits.not_run:
            self._attempts.note_refused(server, head)
            return _decode_refused(head)
        unstamped = head.status < 300 and not head.traits.stamped
        # The caller has a status and events, which only a stream can continue.
        not_continued = self._output.started and head.status != OK
        failed = head.status >= 500 and head.status not in AMBIGUOUS_STATUSES
        if failed and not self._must_withhold_failure():
            # No repeat is possible, so the caller gets the failure as it is.
            return None
        ambiguous = head.status in AMBIGUOUS_STATUSES
        if unstamped or not_continued or failed or ambiguous:
            self._attempts.note_refused(server, head)
            detail = f"the decode server answered {head.status}"
            return may_have_run(Reason.BACKEND_FAILED, detail)
        return None

    def _must_withhold_failure(self):
        """Returns whether a failed answer is kept from the caller.

        Either another attempt may follow, or the caller already has a status and events
        and can't get a second status.
        """
        may_repeat = self._call.route.repeatable and self._attempts.has_attempts_left()
        return self._output.started or may_repeat

    def _relay(self, placement, exchange, head, called_at):
        """Relays a stream to the caller; returns ``Ok`` once it is complete."""
        self._output.switch_server()
        awaits_first_event = placement.prefill is not None
        started_at = self._ctx.clock.monotonic()
        self._note_opened(placement.decode, started_at)
        silences = self._watch_silence(exchange, placement.decode)
        service = self._call.service
        memory_share = memory_need(self._call.head) / service.engine.memory_tokens
        run = self._ctx.demand.begin_decode(service.name, memory_share)
        try:
            for data in exchange.chunks():
                silences.clear()
                placement.end_prefill()
                if awaits_first_event:
                    awaits_first_event = False
                    first_s = self._ctx.clock.monotonic() - called_at
                    self._ctx.demand.note_first_event(service.name, first_s)
                self._output.feed(head, data)
            self._output.finish(head)
            run.end()
        finally:
            run.drop()
        self._note_ended(placement.decode, self._ctx.clock.monotonic() - started_at)
        return Ok(None)

    def _watch_silence(self, exchange, server):
        """Records the silence of a server, so that it gets no new streams.

        After `STALL_S` a resumable stream breaks off to continue on another server; any
        other stream keeps waiting.

        Returns:
            List of the seconds of silence so far, which must be cleared at each chunk.
        """
        silences = []

        def note_silence():
            silences.append(SILENCE_CHECK_S)
            self._ctx.outcomes.note_silent(server.name)
            if self._call.route.resumable and sum(silences) >= STALL_S:
                raise ExchangeBroken(Verdict.MAY_HAVE_RUN, "stalled")

        exchange.watch_silence(SILENCE_CHECK_S, note_silence)
        return silences

    def _note_opened(self, server, now):
        waited_s = now - self._call.arrived_at
        service = self._call.service.name
        current_metrics().step_ended(service, Step.FIRST_EVENT, waited_s)
        log_event(
            "stream_opened",
            request_id=self._call.request_id,
            backend_server=server.name,
            seconds=round(waited_s, 4),
            continued=self._output.started,
        )

    def _note_ended(self, server, seconds):
        self._ctx.outcomes.note_answered(server.name, seconds)
        log_event(
            "stream_ended",
            request_id=self._call.request_id,
            backend_server=server.name,
            seconds=round(seconds, 3),
            last_event=self._output.last_id,
            longest_gap_s=round(self._output.longest_gap_s, 3),
        )

    def _forward_whole(self, exchange, head):
        """Passes on an answer that isn't a stream, such as a server error."""
        body = bytearray()
        for data in exchange.chunks():
            body += data
            if len(body) > MAX_ANSWER_BYTES:
                raise ExchangeBroken(Verdict.MAY_HAVE_RUN, "answer_too_large")
        self._output.send_whole(head, bytes(body))
        return Ok(None)


def _surely_has_memory(placement, hold):
    """Returns whether the decode server is known to have memory for the stream."""
    return bool(hold) or not placement.may_be_full


def _decode_refused(head):
    """Returns the `Refusal` of an attempt that the decode server did not run."""
    detail = f"the decode server refused with {head.status}"
    return not_run(Reason.BACKEND_REFUSED, detail, 503, RETRY_SOON)


def _decode_failed(exc):
    """Returns ``Err`` with the `Refusal` of an attempt whose exchange broke."""
    if exc.verdict is Verdict.NOT_RUN:
        detail = f"decode failed: {exc.reason}"
        return Err(not_run(Reason.BACKEND_FAILED, detail, 503, RETRY_SOON))
    detail = f"the decode server broke off: {exc.reason}"
    return Err(may_have_run(Reason.STREAM_BROKEN, detail))


def _is_not_run(outcome):
    return outcome.is_err() and outcome.unwrap_err().verdict is Verdict.NOT_RUN
