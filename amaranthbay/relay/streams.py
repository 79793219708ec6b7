"""Relays streams of model servers: prefill, decode, and continuation."""

from dataclasses import dataclass

import gevent
from result import Err, Ok

from amaranthbay.kernel.errors import Reason, Verdict, may_have_run, not_run
from amaranthbay.observe import Step, current_metrics, log_event
from amaranthbay.relay.attempts import StreamAttempts
from amaranthbay.relay.codec import Directions
from amaranthbay.relay.exchange import (
    ExchangeBroken,
    open_exchange,
    take_connection,
)
from amaranthbay.relay.output import StreamOutput
from amaranthbay.relay.placing import memory_need
from amaranthbay.relay.plain import REFUSING_STATUSES
from amaranthbay.relay.prefill import CONNECT_TIMEOUT_S, run_prefill
from amaranthbay.relay.refusals import RETRY_SOON, give_up
from amaranthbay.relay.reservations import drop_hold, release_handle, take_hold

__all__ = ["StreamRelay"]

# Silence of a decode server after which a resumable stream continues elsewhere.
# Callers leave after two seconds without an event.
STALL_S = 1.0
# Longest wait of a resumable stream for the head of the answer: callers leave after
# four targets of a second without an event.
HEAD_TIMEOUT_S = 2.0
# Silence after which a server gets no new streams; events come every 50 ms.
SILENT_S = 0.5
# Part of a handle's life in which another decode server may still fetch it.
HANDLE_SHARE = 0.6
OK = 200


@dataclass(frozen=True)
class _Computed:
    """A prompt whose KV cache a prefill server keeps for a moment.

    Attributes:
        server: `BackendServer` that keeps it.
        handle: Its name there.
        source: Where a decode server fetches it.
        at: Monotonic time at which it was computed.
    """

    server: object
    handle: str
    source: str
    at: float


class StreamRelay:
    """Runs streams on pairs of a prefill and a decode server."""

    def __init__(self, ctx, queue):
        self._ctx = ctx
        self._queue = queue

    def serve(self, call, conn):
        """Relays one stream to its caller.

        Args:
            call: `Call`.
            conn: `CallerConnection`, which gets the answer.

        Returns:
            `Refusal` if the caller has got nothing yet, else None.
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
        self._verdict = Verdict.NOT_RUN
        # Whether a decode server has the request and has not answered yet.
        self._unsettled = False

    def run(self):
        """Returns None once the answer has ended, else a `Refusal`."""
        limit_s = self._call.left_s(self._ctx.clock.monotonic())
        with gevent.Timeout(limit_s, False):
            return self._run_attempts()
        # The time is over; a stream that has begun ends without its end.
        if self._output.started:
            return None
        verdict = Verdict.MAY_HAVE_RUN if self._unsettled else self._verdict
        return give_up(verdict)

    def _run_attempts(self):
        while True:
            placed = self._queue.place(
                self._call,
                frozenset(self._attempts.without),
                self._attempts.only_decode_is_left(),
                self._output.started,
            )
            if placed.is_err():
                return self._end(placed.unwrap_err())
            placement = placed.unwrap()
            try:
                held = take_hold(self._ctx, self._call, placement)
                if held.is_err():
                    continue
                outcome = self._attempt(placement, held.unwrap())
                self._unsettled = False
            finally:
                placement.release()
            if outcome.is_ok():
                return None
            refusal = outcome.unwrap_err()
            if refusal.verdict is not Verdict.NOT_RUN:
                self._verdict = refusal.verdict
            if not self._attempts.may_repeat(refusal):
                return self._end(refusal)

    def _end(self, refusal):
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
            return self._queue.all_paused(self._call) or refusal
        return refusal.with_verdict(self._verdict)

    def _attempt(self, placement, hold):
        """Returns ``Result[None, Refusal]``; Ok once the stream is complete."""
        if placement.prefill is None:
            return self._decode(placement, None, hold)
        ctx, server, conn = self._ctx, placement.decode, None
        try:
            # A decode server that can't be reached is found before the prompt is
            # computed for it.
            conn = take_connection(
                ctx.connections, server, self._call.route.repeatable, CONNECT_TIMEOUT_S
            )
            found = run_prefill(ctx, self._call, self._attempts, placement)
            placement.end_prefill()
            if found.is_err():
                return found
            used, conn = conn, None
            return self._decode_computed(placement, found.unwrap(), hold, used)
        except ExchangeBroken as exc:
            self._attempts.failed(server, exc, sent=False)
            return _decode_failed(exc)
        finally:
            if conn is not None:
                ctx.connections.give_back(conn, None)
                drop_hold(ctx, server, hold)

    def _decode_computed(self, placement, handle, hold, conn):
        """Streams a prompt whose KV cache a prefill server keeps for a moment."""
        server = placement.prefill
        computed = _Computed(
            server,
            handle,
            self._ctx.codec.kv_source(server.address, handle),
            self._ctx.clock.monotonic(),
        )
        was_suspect = self._ctx.handles.is_suspect(server.name)
        taken = False
        try:
            outcome = self._decode(placement, computed, hold, conn)
            if _is_not_run(outcome) and not was_suspect:
                other = self._decode_elsewhere(
                    outcome.unwrap_err(), placement.decode, computed
                )
                outcome = other or outcome
            taken = not _is_not_run(outcome)
            return outcome
        finally:
            if not taken:
                release_handle(self._ctx, server, handle)

    def _decode_elsewhere(self, refusal, first, computed):
        """Offers a computed prompt to another decode server.

        Args:
            refusal: Why the first one did not run it.
            first: `BackendServer` that was the first one.
            computed: `_Computed`.

        Returns:
            ``Result[None, Refusal]``, or None if there is no server or no time.
        """
        age_s = self._ctx.clock.monotonic() - computed.at
        if age_s > HANDLE_SHARE * self._call.service.engine.handle_life_s:
            return None
        without = frozenset(self._attempts.without) | {first.name}
        other = self._queue.another_decode(self._call, without)
        if other is None:
            return None
        try:
            if not self._attempts.may_repeat(refusal, prefill_again=False):
                return None
            return self._decode(other, computed, "")
        finally:
            other.release()

    def _decode(self, placement, computed, hold, conn=None):
        """Relays events as they arrive.

        Args:
            placement: `Placement`.
            computed: `_Computed`; None if the decode server reads the prompt.
            hold: Reservation at the decode server, or an empty text.
            conn: `ServerConnection` to use if it is still open.

        Returns:
            ``Result[None, Refusal]``.
        """
        ctx, call, server = self._ctx, self._call, placement.decode
        directions = Directions(
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
                directions,
                CONNECT_TIMEOUT_S,
                conn,
            )
            self._attempts.sent()
            self._unsettled = True
            head = self._read_head(exchange)
            if computed is not None and _has_room(placement, hold):
                missed = head.traits.not_run and not head.traits.misdirected
                if missed:
                    self._attempts.handle_refused(server, computed.server)
                    return Err(_decode_refused(head))
            refusal = self._refusal_of(server, head)
            if refusal is not None:
                return Err(refusal)
            if head.status == OK:
                ctx.outcomes.accepted(server.name)
                if computed is not None:
                    ctx.handles.fetched(computed.server.name)
            if head.status != OK:
                return self._pass_on(exchange, head)
            return self._relay(placement, exchange, head, called_at)
        except ExchangeBroken as exc:
            self._attempts.failed(server, exc, sent=exchange is not None)
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
        """Returns the `Refusal` that a decode server's head amounts to, or None."""
        if head.traits.not_run:
            self._attempts.refused(server, head)
            return _decode_refused(head)
        unsigned = head.status < 300 and not head.traits.stamped
        failed = head.status >= 500 and head.status not in REFUSING_STATUSES
        if failed and not self._repeats_failures():
            # Passed on as it is: nothing more can be done.
            return None
        if unsigned or failed or head.status in REFUSING_STATUSES:
            self._attempts.refused(server, head)
            detail = f"the decode server answered {head.status}"
            return may_have_run(Reason.BACKEND_FAILED, detail)
        return None

    def _repeats_failures(self):
        may_repeat = self._call.route.repeatable and self._attempts.is_left()
        return self._output.started or may_repeat

    def _relay(self, placement, exchange, head, called_at):
        """Passes on a stream; returns ``Ok`` once it is complete."""
        self._output.begin_server()
        waits = placement.prefill is not None
        started_at = self._ctx.clock.monotonic()
        self._note_opened(placement.decode, started_at)
        pauses = self._watch_silence(exchange, placement.decode)
        service = self._call.service
        share = memory_need(self._call.head) / service.engine.memory_tokens
        run = self._ctx.demand.begin_decode(service.name, share)
        try:
            for data in exchange.chunks():
                pauses.clear()
                placement.end_prefill()
                if waits:
                    waits = False
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
        """Keeps new work from a server that falls silent.

        A resumable stream continues elsewhere after some time; any other waits on.
        """
        pauses = []

        def note_silence():
            pauses.append(SILENT_S)
            self._ctx.outcomes.silent(server.name)
            if self._call.route.resumable and sum(pauses) >= STALL_S:
                raise ExchangeBroken(Verdict.MAY_HAVE_RUN, "stalled")

        exchange.watch_silence(SILENT_S, note_silence)
        return pauses

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
        self._ctx.outcomes.answered(server.name, seconds)
        log_event(
            "stream_ended",
            request_id=self._call.request_id,
            backend_server=server.name,
            seconds=round(seconds, 3),
            last_event=self._output.last_id,
            longest_gap_s=round(self._output.longest_gap_s, 3),
        )

    def _pass_on(self, exchange, head):
        """Passes on an answer that is no stream, such as a server's failure."""
        body = b"".join(exchange.chunks())
        if self._output.started:
            return Err(may_have_run(Reason.STREAM_BROKEN, "no stream to go on with"))
        self._output.pass_on(head, body)
        return Ok(None)


def _has_room(placement, hold):
    """Returns whether a decode server that refuses can't be out of memory."""
    return bool(hold) or not placement.pressed


def _decode_refused(head):
    """Returns the `Refusal` of a decode server that did not run the request."""
    detail = f"the decode server refused with {head.status}"
    return not_run(Reason.BACKEND_REFUSED, detail, 503, RETRY_SOON)


def _decode_failed(exc):
    """Returns the refusal of an attempt whose decode server was lost."""
    if exc.verdict is Verdict.NOT_RUN:
        detail = f"decode failed: {exc.reason}"
        return Err(not_run(Reason.BACKEND_FAILED, detail, 503, RETRY_SOON))
    detail = f"the decode server broke off: {exc.reason}"
    return Err(may_have_run(Reason.STREAM_BROKEN, detail))


def _is_not_run(outcome):
    return outcome.is_err() and outcome.unwrap_err().verdict is Verdict.NOT_RUN
