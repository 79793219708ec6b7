"""Moves a stream from a silent server to another one."""

import sys

import gevent
from result import Err, Ok

from amaranthbay.kernel.errors import Reason, Verdict, may_have_run
from amaranthbay.observe import log_event
from amaranthbay.relay.exchange import ExchangeBroken
from amaranthbay.relay.holds import drop_hold

__all__ = ["HEAD_STALL_S", "Takeovers"]

# Silence of a decode server before the head of its answer after which a stream looks
# for another server. Callers leave after four targets without an event; the target is
# one second.
HEAD_STALL_S = 2.0
SILENT = may_have_run(Reason.STREAM_BROKEN, "the decode server is silent")


class Takeovers:
    """Opens a stream at another server while its server is silent.

    The server keeps the stream until another one has answered, as it may go on and no
    other one may take the stream. If it breaks off before that, the stream waits for
    the takeover in progress, whose server may be silent and be taken over in turn.
    """

    def __init__(self, ctx, call, attempts, output, create_opener):
        """Creates the takeovers of the stream that the current greenlet relays.

        Args:
            ctx: `RelayContext` of the process.
            call: `Call` of the stream.
            attempts: `StreamAttempts` of the stream.
            output: `StreamOutput` with the events that the caller has.
            create_opener: Function that returns a `StreamOpener`; its arguments are
                further ones of the constructor.
        """
        self._ctx = ctx
        self._call = call
        self._attempts = attempts
        self._output = output
        self._create_opener = create_opener
        self._reader = gevent.getcurrent()
        # Greenlet that opens the stream at another server.
        self._takeover = None
        self._started_at = None
        self._server = None
        # Takeover that the stream waits for, as its silent server has broken off.
        self._awaited = None

    def in_progress_elsewhere(self):
        """Returns whether a greenlet other than the current one opens the stream."""
        return self._takeover not in (None, gevent.getcurrent())

    def check(self, server):
        """Starts a takeover from a silent server, or completes it.

        Args:
            server: `BackendServer` that has been silent for too long.

        Returns:
            Whether a takeover has failed, so that the next one has to wait.

        Raises:
            ExchangeBroken: If another server has taken over.
        """
        if gevent.getcurrent() not in (self._reader, self._awaited):
            # The server before still has the stream.
            return False
        takeover = self._takeover
        if takeover is None:
            if self._attempts.may_repeat(SILENT):
                self._start(server)
            return False
        if takeover.ready():
            outcome = takeover.get()
            self._log_end("failed" if outcome.is_err() else "taken_over", outcome)
            if outcome.is_ok():
                raise ExchangeBroken(Verdict.MAY_HAVE_RUN, "stalled")
            self._takeover = None
            self._attempts.note_ended(outcome.unwrap_err())
            return True
        if self._sent_s() < HEAD_STALL_S:
            return False
        # The other server is silent, too.
        self._log_end("silent")
        self._attempts.excluded.add(self._server)
        self._ctx.outcomes.note_silent(self._server)
        self._takeover = None
        self._cancel(takeover)
        return True

    def _start(self, server):
        log_event(
            "stream_stalled",
            level="warning",
            request_id=self._call.request_id,
            backend_server=server.name,
            last_event=self._output.last_id,
        )
        self._started_at = self._ctx.clock.monotonic()
        self._takeover = gevent.spawn(self._take_over, server)

    def _sent_s(self):
        """Returns the seconds since the takeover in progress was sent to a server."""
        sent_at = self._attempts.decode_sent_at
        if sent_at is None or sent_at < self._started_at:
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
        self._server = placement.decode.name
        return opener.open(placement, hold)

    def finish(self):
        """Waits for the takeover in progress.

        Returns:
            ``Ok[OpenedStream]``; None if there is none or it has failed.
        """
        while self._takeover is not None:
            self._awaited, self._takeover = self._takeover, None
            outcome = self._awaited.get()
            self._awaited = None
            self._log_end("failed" if outcome.is_err() else "taken_over", outcome)
            if outcome.is_ok():
                return outcome
            self._attempts.note_ended(outcome.unwrap_err())
        return None

    def cancel(self):
        """Ends the takeovers in progress, as the stream no longer needs them."""
        takeovers = self._takeover, self._awaited
        self._takeover = self._awaited = None
        for takeover in takeovers:
            if takeover is not None:
                self._log_end("not_needed")
                self._cancel(takeover)

    def _log_end(self, outcome, result=None):
        is_failed = result is not None and result.is_err()
        log_event(
            "takeover_ended",
            request_id=self._call.request_id,
            backend_server=self._server,
            outcome=outcome,
            detail=result.unwrap_err().detail if is_failed else None,
        )

    def _cancel(self, takeover):
        # Its request may have reached a server.
        self._attempts.verdict = Verdict.MAY_HAVE_RUN
        takeover.link_value(_close_unused)
        takeover.kill(block=False)


def _close_unused(takeover):
    """Closes what a takeover has opened although its stream no longer needs it."""
    if isinstance(takeover.value, Ok):
        takeover.value.unwrap().close()
