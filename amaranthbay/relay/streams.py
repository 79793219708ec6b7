"""Relays streams of model servers, with continuation after failures and silence."""

from dataclasses import dataclass

import gevent
from result import Err, Ok

from amaranthbay.kernel.errors import Verdict
from amaranthbay.observe import Step, current_metrics, log_event
from amaranthbay.relay.attempts import StreamAttempts
from amaranthbay.relay.exchange import ExchangeBroken
from amaranthbay.relay.opening import StreamOpener, decode_failed
from amaranthbay.relay.output import StreamOutput
from amaranthbay.relay.refusals import timed_out
from amaranthbay.relay.takeovers import HEAD_STALL_S, Takeovers
from amaranthbay.scheduling.streams import memory_need

__all__ = ["StreamRelay"]

# Silence of a decode server within its answer after which a resumable stream looks for
# another server. Callers leave after two seconds without an event.
STALL_S = 1.0
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
# Bytes of a stream that are split into events without a turn for others.
EVENT_PART_BYTES = 8192
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


class _Progress:
    """Times at which a server's answer was read.

    A part of a prompt that crashes servers does so as they begin to write.
    """

    def __init__(self, clock):
        self._clock = clock
        # Time of the first event, and of the latest bytes.
        self._began_at = None
        self._read_at = None
        # Time at which the stream was last seen to go on, or first after its beginning.
        self._went_on_at = None

    def note_read(self):
        """Records that bytes have been read."""
        self._read_at = self._clock.monotonic()

    def is_beginning(self):
        """Returns whether the server had just begun its answer, or not yet.

        The end of its connection may be read late, so the last bytes before count.
        """
        if self._began_at is None:
            return True
        return self._read_at - self._began_at < BEGINNING_S

    def goes_on(self):
        """Records an event; returns whether it shows that the prompt is sound.

        It does so every `CLEAR_INTERVAL_S` after the beginning. Streams may take a
        minute, and after a loss of servers it takes long until one is complete.
        """
        if self._began_at is None:
            self._began_at = self._read_at
        if self.is_beginning():
            return False
        if self._went_on_at is None:
            self._went_on_at = self._read_at
        if self._read_at - self._went_on_at < CLEAR_INTERVAL_S:
            return False
        self._went_on_at = self._read_at
        return True


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
        found = Err(timed_out(Verdict.NOT_RUN))
        with gevent.Timeout(call.left_s(self._ctx.clock.monotonic()), False):
            found = self._find_version(call)
        if found.is_err():
            return found.unwrap_err()
        return _StreamRun(self._ctx, self._queue, call, conn, found.unwrap()).run()

    def _find_version(self, call):
        """Returns ``Result[str | None, Refusal]``: version of a continued stream."""
        if call.route.resumable:
            self._ctx.versions.wait_until_read(call.service.name)
        # The route may have been resumable when the stream began.
        return self._ctx.origins.find(call) if call.head.continues else Ok(None)


class _StreamRun:
    """One stream from its placement to its end."""

    def __init__(self, ctx, queue, call, conn, version):
        self._ctx = ctx
        self._queue = queue
        self._call = call
        self._attempts = StreamAttempts(ctx, call, version)
        # `BackendServer` whose answer is passed on.
        self._server = None
        self._output = StreamOutput(
            conn, ctx.codec, ctx.clock, call.head.last_event_id, self._note_began
        )
        self._opener = self._create_opener()
        self._takeovers = Takeovers(
            ctx, call, self._attempts, self._output, self._create_opener
        )
        self._progress = _Progress(ctx.clock)

    def _note_began(self):
        if self._call.route.resumable:
            self._attempts.version = self._server.version
            self._ctx.origins.note_began(self._call, self._server.version)

    def _create_opener(self, **options):
        return StreamOpener(
            self._ctx,
            self._queue,
            self._call,
            self._attempts,
            self._output,
            self._watch_head,
            is_taken_over=lambda: self._takeovers.in_progress_elsewhere(),
            **options,
        )

    def run(self):
        """Returns None if anything was sent to the caller, else a `Refusal`."""
        limit_s = self._call.left_s(self._ctx.clock.monotonic())
        try:
            with gevent.Timeout(limit_s, False):
                return self._run_attempts()
        finally:
            self._takeovers.cancel()
        # The deadline has passed: a stream that has started stays incomplete.
        if self._output.started:
            return None
        if self._attempts.decode_in_progress:
            return timed_out(Verdict.MAY_HAVE_RUN)
        return timed_out(self._attempts.verdict)

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
            self._attempts.note_ended(refusal)
            outcome = self._takeovers.finish()
            if outcome is None:
                return refusal

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
        if self._attempts.verdict is Verdict.NOT_RUN:
            version = self._attempts.version
            held_back = self._queue.held_back_refusal(self._call, version)
            return self._call.access_refusal() or held_back or refusal
        return refusal.with_verdict(self._attempts.verdict)

    def _relay_opened(self, opened):
        """Relays an `OpenedStream`; returns None once complete, else a `Refusal`."""
        self._progress = _Progress(self._ctx.clock)
        try:
            if opened.head.status == OK:
                self._relay(opened)
            else:
                self._forward_whole(opened)
            return None
        except ExchangeBroken as exc:
            server, began = opened.placement.decode, self._progress.is_beginning()
            self._attempts.note_failed(server, exc, True, began)
            return decode_failed(exc).unwrap_err()
        finally:
            opened.close()

    def _relay(self, opened):
        placement, head = opened.placement, opened.head
        self._server = placement.decode
        if self._attempts.version not in (None, self._server.version):
            # The stream began at another version while this one was being opened.
            raise ExchangeBroken(Verdict.MAY_HAVE_RUN, "other_version")
        self._output.switch_server()
        awaits_first_event = placement.prefill is not None
        started_at = self._ctx.clock.monotonic()
        self._note_opened(placement.decode, started_at)
        self._takeovers.cancel()
        silence = self._watch_events(opened.exchange, placement.decode)
        service = self._call.service
        memory_share = memory_need(self._call.head) / service.engine.memory_tokens
        run = self._ctx.demand.begin_decode(service.name, memory_share)
        try:
            for data in opened.exchange.chunks(EVENT_PART_BYTES):
                self._progress.note_read()
                silence.clear()
                self._takeovers.cancel()
                placement.end_prefill()
                if awaits_first_event:
                    awaits_first_event = False
                    first_s = self._ctx.clock.monotonic() - opened.called_at
                    self._ctx.demand.note_first_event(service.name, first_s)
                self._output.feed(head, data)
                opened.exchange.note_kept(
                    self._output.partial_bytes, self._output.drop_partial
                )
                if self._output.has_new and self._progress.goes_on():
                    self._ctx.crashes.note_served(self._call)
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
            if silence.seconds >= stall_s and self._takeovers.check(server):
                silence.clear()

        exchange.watch_silence(TAKEOVER_CHECK_S, note_silence)
        return silence

    def _note_opened(self, server, now):
        waited_s = now - self._call.arrived_at
        service = self._call.service.name
        current_metrics().step_ended(service, Step.FIRST_EVENT, waited_s)
        log_event(
            "stream_opened",
            request_id=self._call.request_id,
            backend_server=server.name,
            seconds=round(waited_s, 4),
            software_version=server.version,
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
        body = opened.exchange.read_body()
        try:
            self._output.send_whole(opened.head, body)
        finally:
            body.release()
