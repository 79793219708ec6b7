"""Relays streams of model servers, with continuation after failures and silence."""

import sys
from dataclasses import dataclass

import gevent
from result import Err, Ok

from amaranthbay.kernel.errors import Reason, Verdict, may_have_run
from amaranthbay.observe import Step, current_metrics, log_event
from amaranthbay.relay.attempts import StreamAttempts
from amaranthbay.relay.exchange import ExchangeBroken
from amaranthbay.relay.holds import drop_hold
from amaranthbay.relay.opening import StreamOpener, decode_failed
from amaranthbay.relay.output import StreamOutput
from amaranthbay.relay.placing import memory_need
from amaranthbay.relay.plain import MAX_ANSWER_BYTES
from amaranthbay.relay.refusals import timed_out

__all__ = ["StreamRelay"]

# Silence of a decode server, after and before the head of its answer, after which a
# resumable stream looks for another server. Callers leave after two seconds without an
# event, and after four targets without the first one; the target is one second.
STALL_S = 1.0
HEAD_STALL_S = 2.0
# Interval at which the silence of a decode server is recorded, so that it gets no new
# streams for a while; events usually come every 50 ms.
SILENCE_CHECK_S = 0.5
# Interval at which a stream of a silent server checks whether another one has taken
# over. Servers send the head of an answer as they begin to run it, and two of them may
# run the same stream for 0.4 s.
TAKEOVER_CHECK_S = 0.1
# Time after the first event of an answer in which its server has just begun it.
BEGINNING_S = 1.0
# Interval at which a stream that goes on after its beginning clears its parts. What
# has arrived during a pause of this process, maybe before a crash, is read at once.
CLEAR_INTERVAL_S = 1.0
SILENT = may_have_run(Reason.STREAM_BROKEN, "the decode server is silent")
OK = 200


@dataclass
class _Silence:
    """Time for which a server has sent nothing.

    Attributes:
        seconds: Seconds of silence so far.
    """

    seconds: float = 0.0

    def clear(self):
        """Starts anew after the server has sent something."""
        self.seconds = 0.0


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
        self._opener = self._create_opener()
        # Verdict on the attempts that have ended.
        self._verdict = Verdict.NOT_RUN
        # Time at which the first event of the current server was read.
        self._began_at = None
        # Time at which the latest bytes of the current server were read.
        self._read_at = None
        # Time at which the parts of the prompt were last cleared, or the stream was
        # first read after its beginning.
        self._cleared_at = None
        self._reader = gevent.getcurrent()
        # Greenlet that opens the stream at another server while its server is silent.
        self._takeover = None
        self._takeover_at = None
        self._takeover_server = None
        # Takeover that the stream waits for, as its silent server was left.
        self._awaited = None

    def _create_opener(self, **options):
        return StreamOpener(
            self._ctx,
            self._queue,
            self._call,
            self._attempts,
            self._output,
            self._watch_head,
            is_taken_over=lambda: self._other_takeover() is not None,
            **options,
        )

    def _other_takeover(self):
        """Returns the takeover in progress unless it is the current greenlet."""
        return None if self._takeover is gevent.getcurrent() else self._takeover

    def run(self):
        """Returns None if anything was sent to the caller, else a `Refusal`."""
        limit_s = self._call.left_s(self._ctx.clock.monotonic())
        try:
            with gevent.Timeout(limit_s, False):
                return self._run_attempts()
        finally:
            self._cancel_takeover()
        # The deadline has passed: a stream that has started stays incomplete.
        if self._output.started:
            return None
        may_be_running = self._attempts.decode_in_progress
        return timed_out(Verdict.MAY_HAVE_RUN if may_be_running else self._verdict)

    def _run_attempts(self):
        while True:
            place_result = self._opener.place()
            if place_result.is_err():
                return self._end(place_result.unwrap_err())
            refusal = self._relay_to_end(self._opener.open(*place_result.unwrap()))
            self._attempts.decode_in_progress = False
            if refusal is None:
                return None
            if not self._attempts.withdraw_repeat(refusal):
                return self._end(refusal)

    def _relay_to_end(self, outcome):
        """Relays an opened stream, and those that take over from a silent server.

        Args:
            outcome: ``Result[OpenedStream, Refusal]`` of the attempt.

        Returns:
            None once the stream is complete, else the `Refusal` of the last attempt.
        """
        while True:
            if outcome.is_ok():
                refusal = self._relay_opened(outcome.unwrap())
                if refusal is None:
                    return None
            else:
                refusal = outcome.unwrap_err()
            self._note_verdict(refusal)
            outcome = self._finish_takeover()
            if outcome is None:
                return refusal

    def _note_verdict(self, refusal):
        if refusal.verdict is not Verdict.NOT_RUN:
            self._verdict = refusal.verdict

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

    def _relay_opened(self, opened):
        """Relays an `OpenedStream`; returns None once complete, else a `Refusal`."""
        self._began_at = self._cleared_at = None
        try:
            if opened.head.status == OK:
                self._relay(opened)
            else:
                self._forward_whole(opened)
            return None
        except ExchangeBroken as exc:
            server, began = opened.placement.decode, self._is_beginning()
            self._attempts.note_failed(server, exc, True, began)
            return decode_failed(exc).unwrap_err()
        finally:
            opened.close()

    def _is_beginning(self):
        """Returns whether the current server had just begun its answer, or not yet.

        The end of its connection may be read late, so the last bytes before count.
        """
        if self._began_at is None:
            return True
        return self._read_at - self._began_at < BEGINNING_S

    def _note_progress(self):
        """Clears the parts of a stream whose server goes on after its beginning.

        A part that crashes servers does so as they begin to write. Streams may take a
        minute, and after a loss of servers it takes long until one is complete.
        """
        now = self._read_at
        if self._began_at is None:
            self._began_at = now
        elif self._cleared_at is None:
            if now - self._began_at >= BEGINNING_S:
                self._cleared_at = now
        elif now - self._cleared_at >= CLEAR_INTERVAL_S:
            self._cleared_at = now
            self._ctx.crashes.note_served(self._call)

    def _relay(self, opened):
        placement, head = opened.placement, opened.head
        self._output.switch_server()
        awaits_first_event = placement.prefill is not None
        started_at = self._ctx.clock.monotonic()
        self._note_opened(placement.decode, started_at)
        self._cancel_takeover()
        silence = self._watch_events(opened.exchange, placement.decode)
        service = self._call.service
        memory_share = memory_need(self._call.head) / service.engine.memory_tokens
        run = self._ctx.demand.begin_decode(service.name, memory_share)
        try:
            for data in opened.exchange.chunks():
                self._read_at = self._ctx.clock.monotonic()
                silence.clear()
                self._cancel_takeover()
                placement.end_prefill()
                if awaits_first_event:
                    awaits_first_event = False
                    first_s = self._ctx.clock.monotonic() - opened.called_at
                    self._ctx.demand.note_first_event(service.name, first_s)
                self._output.feed(head, data)
                if self._output.has_new:
                    self._note_progress()
            self._output.finish(head)
            run.end()
            if self._output.is_surely_complete(head):
                self._ctx.crashes.note_served(self._call)
        finally:
            run.drop()
        self._note_ended(placement.decode, self._ctx.clock.monotonic() - started_at)

    def _watch_head(self, exchange, server):
        """Looks for another server if the head of a resumable stream is late."""
        if self._call.route.resumable:
            self._watch_silence(exchange, server, HEAD_STALL_S)

    def _watch_events(self, exchange, server):
        """Records the silence of a server, so that it gets no new streams.

        A resumable stream also looks for another server after `STALL_S`.

        Returns:
            `_Silence`, which must be cleared at each chunk.
        """
        if self._call.route.resumable:
            return self._watch_silence(exchange, server, STALL_S)
        exchange.watch_silence(
            SILENCE_CHECK_S, lambda: self._ctx.outcomes.note_silent(server.name)
        )
        return _Silence()

    def _watch_silence(self, exchange, server, stall_s):
        silence = _Silence()

        def note_silence():
            silence.seconds += TAKEOVER_CHECK_S
            if exchange.head is not None and silence.seconds >= SILENCE_CHECK_S:
                self._ctx.outcomes.note_silent(server.name)
            if silence.seconds >= stall_s:
                self._check_takeover(server, silence)

        exchange.watch_silence(TAKEOVER_CHECK_S, note_silence)
        return silence

    def _check_takeover(self, server, silence):
        """Starts a takeover from a silent server, or completes it.

        The server keeps the stream until another one has answered, as it may go on and
        no other one may take the stream.

        Raises:
            ExchangeBroken: If another server has taken over.
        """
        if gevent.getcurrent() not in (self._reader, self._awaited):
            # The server before still has the stream.
            return
        takeover = self._takeover
        if takeover is None:
            if self._attempts.may_repeat(SILENT):
                log_event(
                    "stream_stalled",
                    level="warning",
                    request_id=self._call.request_id,
                    backend_server=server.name,
                    last_event=self._output.last_id,
                )
                self._takeover_at = self._ctx.clock.monotonic()
                self._takeover = gevent.spawn(self._take_over, server)
        elif takeover.ready():
            if takeover.get().is_ok():
                raise ExchangeBroken(Verdict.MAY_HAVE_RUN, "stalled")
            self._takeover = None
            self._note_verdict(takeover.get().unwrap_err())
            silence.clear()
        elif self._takeover_sent_s() >= HEAD_STALL_S:
            # The other server is silent, too.
            self._attempts.excluded.add(self._takeover_server)
            self._ctx.outcomes.note_silent(self._takeover_server)
            self._takeover = None
            self._cancel(takeover)
            silence.clear()

    def _takeover_sent_s(self):
        """Returns the seconds since the takeover in progress was sent to a server."""
        sent_at = self._attempts.decode_sent_at
        if sent_at is None or sent_at < self._takeover_at:
            return 0.0
        return self._ctx.clock.monotonic() - sent_at

    def _take_over(self, silent_server):
        """Returns the ``Result[OpenedStream, Refusal]`` of an attempt elsewhere."""
        try:
            return self._open_elsewhere(silent_server)
        except Exception:
            request_id = self._call.request_id
            log_event(
                "defect", level="error", exc=sys.exc_info(), request_id=request_id
            )
            return Err(may_have_run(Reason.INTERNAL, "the daemon has failed", 500))

    def _open_elsewhere(self, silent_server):
        excluded = frozenset((silent_server.name,))
        opener = self._create_opener(excluded=excluded, streams_only=True)
        place_result = opener.place()
        if place_result.is_err():
            return place_result
        placement, hold = place_result.unwrap()
        if not self._attempts.withdraw_repeat(SILENT):
            placement.release()
            drop_hold(self._ctx, placement.decode, hold)
            return Err(SILENT)
        self._takeover_server = placement.decode.name
        return opener.open(placement, hold)

    def _finish_takeover(self):
        """Waits for a takeover in progress, whose server may be taken over in turn.

        Returns:
            ``Ok[OpenedStream]``; None if there is none or it has failed.
        """
        while self._takeover is not None:
            self._awaited, self._takeover = self._takeover, None
            outcome = self._awaited.get()
            self._awaited = None
            if outcome.is_ok():
                return outcome
            self._note_verdict(outcome.unwrap_err())
        return None

    def _cancel_takeover(self):
        takeovers = self._takeover, self._awaited
        self._takeover = self._awaited = None
        for takeover in takeovers:
            if takeover is not None:
                self._cancel(takeover)

    def _cancel(self, takeover):
        # Its request may have reached a server.
        self._verdict = Verdict.MAY_HAVE_RUN
        takeover.link_value(_close_unused)
        takeover.kill(block=False)

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

    def _forward_whole(self, opened):
        """Passes on an answer that isn't a stream, such as a server error.

        Raises:
            ExchangeBroken: If the answer ends early or is too large.
        """
        body = bytearray()
        for data in opened.exchange.chunks():
            body += data
            if len(body) > MAX_ANSWER_BYTES:
                raise ExchangeBroken(Verdict.MAY_HAVE_RUN, "answer_too_large")
        self._output.send_whole(opened.head, bytes(body))


def _close_unused(takeover):
    """Closes what a takeover has opened although its stream no longer needs it."""
    if isinstance(takeover.value, Ok):
        takeover.value.unwrap().close()
