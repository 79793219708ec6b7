"""Relays streams of model servers: prefill, decode, and continuation."""

import gevent
from result import Err, Ok

from amaranthbay.kernel.errors import Reason, Verdict, may_have_run, not_run
from amaranthbay.observe import Step, current_metrics, log_event
from amaranthbay.relay.codec import Directions
from amaranthbay.relay.events import EventSplitter
from amaranthbay.relay.exchange import (
    ExchangeBroken,
    control_exchange,
    open_exchange,
    take_connection,
)
from amaranthbay.relay.placing import memory_need
from amaranthbay.relay.plain import REFUSING_STATUSES
from amaranthbay.relay.refusals import RETRY_SOON, give_up

__all__ = ["StreamRelay"]

CONNECT_TIMEOUT_S = 0.15
# A prefill that takes this much longer than its target won't give a useful handle.
PREFILL_TIMEOUT_S = 2.0
# Silence of a decode server after which a resumable stream continues elsewhere.
# Callers leave after two seconds without an event.
STALL_S = 1.0
# Silence after which a server gets no new streams; events come every 50 ms.
SILENT_S = 0.5
# Part of a handle's life in which another decode server may still fetch it.
HANDLE_SHARE = 0.6
OK = 200


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
    """The attempts of one stream.

    Sent prefills beyond the first accepted one count as attempts, and so do
    refused ones; each decode counts.
    """

    def __init__(self, ctx, queue, call, conn):
        self._ctx = ctx
        self._queue = queue
        self._call = call
        self._conn = conn
        self._attempts = 0
        self._prefilled = False
        self._verdict = Verdict.NOT_RUN
        self._without = set()
        self._started = False
        self._events = EventSplitter(call.head.last_event_id)
        self._sent_at = None
        self._longest_gap_s = 0.0

    def run(self):
        """Returns None once the answer has ended, else a `Refusal`."""
        limit_s = self._call.left_s(self._ctx.clock.monotonic())
        with gevent.Timeout(limit_s, False):
            return self._run_attempts()
        # The time is over; a stream that has begun ends without its end.
        return None if self._started else give_up(self._verdict)

    def _run_attempts(self):
        while True:
            placed = self._queue.place(
                self._call,
                frozenset(self._without),
                self._only_decode_is_left(),
                self._started,
            )
            if placed.is_err():
                return self._end(placed.unwrap_err())
            placement = placed.unwrap()
            try:
                held = self._hold(placement)
                if held.is_err():
                    continue
                outcome = self._attempt(placement, held.unwrap())
            finally:
                placement.release()
            if outcome.is_ok():
                return None
            refusal = outcome.unwrap_err()
            if refusal.verdict is not Verdict.NOT_RUN:
                self._verdict = refusal.verdict
            if not self._may_repeat(refusal):
                return self._end(refusal)

    def _end(self, refusal):
        if self._started:
            log_event(
                "stream_ended_early",
                level="warning",
                request_id=self._call.request_id,
                detail=refusal.detail,
                last_event=self._events.last_id,
            )
            return None
        return refusal.with_verdict(self._verdict) if self._ran() else refusal

    def _ran(self):
        return self._verdict is not Verdict.NOT_RUN

    def _may_repeat(self, refusal, prefill_again=True):
        """Returns whether another attempt is allowed, and counts it as a repeat.

        Args:
            refusal: Why the last attempt ended.
            prefill_again: Whether the prompt would be computed once more.
        """
        ran = refusal.verdict is not Verdict.NOT_RUN
        if ran and not self._call.route.repeatable:
            return False
        if self._attempts >= self._call.route.max_attempts:
            return False
        counted = self._attempts > 0 or (prefill_again and self._prefilled)
        return not counted or self._ctx.budget(self._call.service.name).withdraw()

    def _only_decode_is_left(self):
        """Returns whether a second prefill would use up the last attempt."""
        left = self._call.route.max_attempts - self._attempts
        return self._prefilled and left < 2

    def _hold(self, placement):
        """Reserves room on a decode server that may be full.

        A prompt that is computed for a server without room is computed in vain.

        Returns:
            ``Result[str, str]``: the reservation, or an empty text without one.
        """
        engine = self._call.service.engine
        if not (placement.pressed and engine.hold_life_s):
            return Ok("")
        server = placement.decode
        method, path, body = self._ctx.codec.hold_request(
            placement.need_tokens, engine.hold_life_s
        )
        answer = control_exchange(
            self._ctx.connections,
            self._ctx.codec,
            server,
            method,
            path,
            body,
            CONNECT_TIMEOUT_S,
        )
        if answer.is_err():
            self._without.add(server.name)
            self._ctx.outcomes.unreachable(server.name)
            return answer
        status, found = answer.unwrap()
        if status == OK:
            return self._ctx.codec.read_hold(found)
        self._ctx.outcomes.refused_as_full(server.name)
        log_event(
            "hold_refused",
            request_id=self._call.request_id,
            backend_server=server.name,
            status=status,
        )
        return Err(f"the server answered {status}")

    def _attempt(self, placement, hold):
        """Returns ``Result[None, Refusal]``; Ok once the stream is complete."""
        if placement.prefill is None:
            return self._decode(placement, "", hold)
        conn = None
        try:
            # A decode server that can't be reached is found before the prompt is
            # computed for it.
            conn = self._take_connection(placement.decode)
            found = self._prefill(placement.prefill)
            placement.end_prefill()
            if found.is_ok():
                used, conn = conn, None
                return self._decode_computed(placement, found.unwrap(), hold, used)
            self._drop_hold(placement.decode, hold)
            return found
        except ExchangeBroken as exc:
            self._note_failure(placement.decode, exc.reason, None)
            detail = f"decode failed: {exc.reason}"
            return Err(not_run(Reason.BACKEND_FAILED, detail, 503, RETRY_SOON))
        finally:
            if conn is not None:
                self._ctx.connections.give_back(conn, None)

    def _take_connection(self, server):
        pool, route = self._ctx.connections, self._call.route
        return take_connection(pool, server, route.repeatable, CONNECT_TIMEOUT_S)

    def _decode_computed(self, placement, handle, hold, conn):
        """Streams a prompt whose KV cache a prefill server keeps for a moment."""
        handle_at = self._ctx.clock.monotonic()
        source = self._ctx.codec.kv_source(placement.prefill.address, handle)
        taken = False
        try:
            outcome = self._decode(placement, source, hold, conn)
            if _is_not_run(outcome):
                refusal = outcome.unwrap_err()
                other = self._decode_elsewhere(refusal, source, handle_at)
                outcome = other or outcome
            taken = not _is_not_run(outcome)
            return outcome
        finally:
            if not taken:
                self._release(placement.prefill, handle)

    def _decode_elsewhere(self, refusal, source, handle_at):
        """Offers a computed prompt to another decode server.

        Args:
            refusal: Why the first one did not run it.
            source: Where the KV cache is.
            handle_at: Monotonic time at which it was computed.

        Returns:
            ``Result[None, Refusal]``, or None if there is no server or no time.
        """
        age_s = self._ctx.clock.monotonic() - handle_at
        if age_s > HANDLE_SHARE * self._call.service.engine.handle_life_s:
            return None
        other = self._queue.another_decode(self._call, frozenset(self._without))
        if other is None:
            return None
        if not self._may_repeat(refusal, prefill_again=False):
            other.release()
            return None
        try:
            return self._decode(other, source, "")
        finally:
            other.release()

    def _prefill(self, server):
        """Returns ``Result[str, Refusal]`` with the handle of the KV cache."""
        ctx, call = self._ctx, self._call
        started_at = ctx.clock.monotonic()
        directions = Directions(server.name, call.left_s(started_at), prefill_only=True)
        exchange = None
        try:
            with gevent.Timeout(
                PREFILL_TIMEOUT_S, ExchangeBroken(Verdict.NOT_RUN, "prefill_slow")
            ):
                exchange = self._open(server, directions)
                head = exchange.read_head()
                body = b"".join(exchange.chunks())
        except ExchangeBroken as exc:
            self._note_failure(server, exc.reason, exchange)
            self._attempts += 1 if exchange is not None else 0
            detail = f"prefill failed: {exc.reason}"
            return Err(not_run(Reason.BACKEND_FAILED, detail, 503, RETRY_SOON))
        finally:
            if exchange is not None:
                exchange.close()
        if head.status != OK:
            self._attempts += 1
            self._note_refusal(server, head)
            detail = f"the prefill server refused with {head.status}"
            return Err(not_run(Reason.BACKEND_REFUSED, detail, 503, RETRY_SOON))
        decoded = ctx.codec.read_prefill(body)
        if decoded.is_err():
            self._note_failure(server, "unreadable_prefill", exchange)
            detail = "the prefill server's answer can't be read"
            return Err(not_run(Reason.BACKEND_FAILED, detail, 503, RETRY_SOON))
        if self._prefilled:
            self._attempts += 1
        self._prefilled = True
        seconds = ctx.clock.monotonic() - started_at
        ctx.outcomes.answered(server.name, seconds)
        tokens = decoded.unwrap().tokens
        ctx.demand.note_prefill(call.service.name, tokens, seconds)
        current_metrics().step_ended(call.service.name, Step.PREFILL, seconds)
        log_event(
            "prefilled",
            request_id=call.request_id,
            backend_server=server.name,
            seconds=round(seconds, 4),
            tokens=tokens,
        )
        return Ok(decoded.unwrap().handle)

    def _open(self, server, directions, conn=None):
        return open_exchange(
            self._ctx.connections,
            self._ctx.codec,
            server,
            self._call,
            directions,
            CONNECT_TIMEOUT_S,
            conn,
        )

    def _note_failure(self, server, reason, exchange):
        self._without.add(server.name)
        if exchange is None:
            self._ctx.outcomes.unreachable(server.name)
        else:
            self._ctx.outcomes.failed(server.name)
        log_event(
            "attempt_failed",
            level="warning",
            request_id=self._call.request_id,
            backend_server=server.name,
            reason=reason,
            last_event=self._events.last_id,
        )

    def _note_refusal(self, server, head):
        self._without.add(server.name)
        if head.traits.misdirected:
            # The server that was meant is gone and was sent nothing.
            self._attempts -= 1
            self._ctx.backends.forget(server.name)
            self._ctx.connections.drop_server(server.name)
        self._ctx.outcomes.failed(server.name)
        log_event(
            "server_refused",
            level="warning",
            request_id=self._call.request_id,
            backend_server=server.name,
            status=head.status,
            not_run=head.traits.not_run,
        )

    def _decode(self, placement, source, hold, conn=None):
        """Returns ``Result[None, Refusal]``; relays events as they arrive."""
        ctx, call = self._ctx, self._call
        server = placement.decode
        now = ctx.clock.monotonic()
        last_id = self._events.last_id if self._started else None
        directions = Directions(
            server.name,
            call.left_s(now),
            kv_source=source,
            hold=hold,
            last_event_id=last_id,
        )
        exchange = None
        try:
            exchange = self._open(server, directions, conn)
            self._attempts += 1
            head = self._read_head(exchange)
            refusal = self._refusal_of(server, head)
            if refusal is not None:
                return Err(refusal)
            return self._relay(placement, exchange, head)
        except ExchangeBroken as exc:
            self._note_failure(server, exc.reason, exchange)
            if exc.verdict is Verdict.NOT_RUN:
                detail = f"decode failed: {exc.reason}"
                return Err(not_run(Reason.BACKEND_FAILED, detail, 503, RETRY_SOON))
            detail = f"the decode server broke off: {exc.reason}"
            return Err(may_have_run(Reason.STREAM_BROKEN, detail))
        finally:
            if exchange is not None:
                exchange.close()

    def _read_head(self, exchange):
        if not self._call.route.resumable:
            return exchange.read_head()
        stalled = ExchangeBroken(Verdict.MAY_HAVE_RUN, "stalled")
        with gevent.Timeout(STALL_S * 2, stalled):
            return exchange.read_head()

    def _refusal_of(self, server, head):
        """Returns the `Refusal` that a decode server's head amounts to, or None."""
        if head.traits.not_run:
            self._note_refusal(server, head)
            detail = f"the decode server refused with {head.status}"
            return not_run(Reason.BACKEND_REFUSED, detail, 503, RETRY_SOON)
        bad = head.status < 300 and not head.traits.stamped
        if bad or head.status in REFUSING_STATUSES or head.status >= 500:
            if head.status >= 500 and not self._repeats_failures():
                # Passed on as it is: nothing more can be done.
                return None
            self._note_refusal(server, head)
            detail = f"the decode server answered {head.status}"
            return may_have_run(Reason.BACKEND_FAILED, detail)
        return None

    def _repeats_failures(self):
        may_repeat = self._attempts < self._call.route.max_attempts
        return self._started or (self._call.route.repeatable and may_repeat)

    def _relay(self, placement, exchange, head):
        if head.status != OK:
            return self._pass_on(exchange, head)
        self._events.restart()
        started_at = self._ctx.clock.monotonic()
        waited_s = started_at - self._call.arrived_at
        service = self._call.service.name
        current_metrics().step_ended(service, Step.FIRST_EVENT, waited_s)
        log_event(
            "stream_opened",
            request_id=self._call.request_id,
            backend_server=placement.decode.name,
            seconds=round(waited_s, 4),
            continued=self._started,
        )
        pauses = self._watch_silence(exchange, placement.decode)
        for data in exchange.chunks():
            pauses.clear()
            events = self._events.feed(data)
            placement.end_prefill()
            if events:
                self._send(head, events)
        rest = self._events.rest()
        if not self._started or rest:
            self._send(head, rest)
        self._conn.finish_stream()
        self._ctx.outcomes.answered(placement.decode.name, 0.0)
        seconds = self._ctx.clock.monotonic() - started_at
        self._note_demand(seconds)
        log_event(
            "stream_ended",
            request_id=self._call.request_id,
            backend_server=placement.decode.name,
            seconds=round(seconds, 3),
            last_event=self._events.last_id,
            longest_gap_s=round(self._longest_gap_s, 3),
        )
        return Ok(None)

    def _note_demand(self, seconds):
        service = self._call.service
        share = memory_need(self._call.head) / service.engine.memory_tokens
        self._ctx.demand.note_decode(service.name, share, seconds)

    def _watch_silence(self, exchange, server):
        """Keeps new work from a server that falls silent.

        A resumable stream continues elsewhere after some time; any other waits on.
        """
        pauses = []

        def note_silence():
            pauses.append(SILENT_S)
            self._ctx.outcomes.silent(server.name)
            if self._call.route.resumable and len(pauses) * SILENT_S >= STALL_S:
                raise ExchangeBroken(Verdict.MAY_HAVE_RUN, "stalled")

        exchange.watch_silence(SILENT_S, note_silence)
        return pauses

    def _note_gap(self):
        now = self._ctx.clock.monotonic()
        if self._sent_at is not None:
            self._longest_gap_s = max(self._longest_gap_s, now - self._sent_at)
        self._sent_at = now

    def _send(self, head, data):
        if data:
            self._note_gap()
        if not self._started:
            self._started = True
            headers = self._ctx.codec.end_to_end(head.headers)
            self._conn.start_stream(head.status, headers)
        if data:
            self._conn.send(data)

    def _pass_on(self, exchange, head):
        """Passes on an answer that is no stream, such as a server's failure."""
        body = b"".join(exchange.chunks())
        if self._started:
            return Err(may_have_run(Reason.STREAM_BROKEN, "no stream to go on with"))
        headers = self._ctx.codec.end_to_end(head.headers)
        self._started = True
        self._conn.answer(head.status, headers, body)
        return Ok(None)

    def _release(self, server, handle):
        """Frees the KV cache of a prefill that no decode server has taken."""
        self._give_back(server, *self._ctx.codec.release_request(handle))

    def _drop_hold(self, server, hold):
        """Gives back what was reserved for a request that doesn't come."""
        if hold:
            self._give_back(server, *self._ctx.codec.drop_hold_request(hold))

    def _give_back(self, server, method, path):
        gevent.spawn(_give_back, self._ctx, server, method, path)


def _is_not_run(outcome):
    return outcome.is_err() and outcome.unwrap_err().verdict is Verdict.NOT_RUN


def _give_back(ctx, server, method, path):
    answer = control_exchange(
        ctx.connections, ctx.codec, server, method, path, b"", CONNECT_TIMEOUT_S
    )
    log_event(
        "given_back",
        backend_server=server.name,
        path=path,
        outcome=answer.unwrap()[0] if answer.is_ok() else answer.unwrap_err(),
    )
