"""What one attempt holds on engines, from its record to its last cancellation."""

from amaranthbay.dispatch.inflight import InFlightRecord
from amaranthbay.dispatch.streams import BrokenStream

__all__ = ["EngineHold", "StartedStream"]


class EngineHold:
    """Engine memory that an attempt may hold.

    The in-flight record stays, here and at the guards, until the engines have
    acknowledged the cancellations, so that a daemon that dies in between leaves
    somebody who repeats them.

    Attributes:
        unanswered: Whether an engine call is open whose reply is not known.
    """

    def __init__(self, ctx, attempt, servers, fingerprint="", suspect=False):
        self._ctx = ctx
        self._attempt_id = attempt.attempt_id
        self._servers = tuple(dict.fromkeys(servers))
        self._record = InFlightRecord(
            attempt.request_id,
            attempt.attempt_id,
            self._servers,
            fingerprint,
            suspect,
        )
        self._released = False
        self.unanswered = True

    def enter(self):
        """Records the attempt; must run before the first engine call."""
        self._ctx.copier.enter(self._record)

    def started(self, server):
        """Notes the first token: only the decode server runs the attempt now."""
        self.unanswered = False
        self._ctx.inflight.narrow(self._attempt_id, (server,))

    def release(self, finished=False):
        """Ends the hold; repeatable and never blocking.

        Args:
            finished: Whether the decode stream came to its explicit end. The
                decode engine has released the attempt then, and the prefill
                engine did so when its KV cache was imported, before the first
                token.
        """
        if self._released:
            return
        self._released = True
        if finished:
            self._ctx.copier.leave(self._attempt_id)
            return
        self._ctx.inflight.end(self._attempt_id)
        left = set(self._servers)

        def note_cancelled(server):
            left.discard(server)
            if not left:
                self._ctx.copier.leave(self._attempt_id)

        for server in self._servers:
            self._ctx.cancels.cancel(
                server,
                self._attempt_id,
                self.unanswered,
                lambda server=server: note_cancelled(server),
            )


class StartedStream:
    """A stream with its first token, and what it holds."""

    def __init__(self, stream, first, hold, on_break=None, on_close=None):
        """Creates the stream.

        Args:
            stream: `MatchedStream`.
            first: First `TokenEvent`; None if the answer is empty.
            hold: `EngineHold`.
            on_break: Function of the refusal of a stream that can't be continued;
                returns what the caller is told.
            on_close: Function of whether the stream came to its end.
        """
        self._stream = stream
        self._first = first
        self._hold = hold
        self._on_break = on_break
        self._on_close = on_close

    def tokens(self):
        """Yields the texts; releases everything at the end or when closed."""
        try:
            if self._first is not None:
                yield self._first.text
            for event in self._stream:
                yield event.text
        except BrokenStream as exc:
            if self._on_break is None:
                raise
            raise BrokenStream(self._on_break(exc.refusal)) from exc
        finally:
            self.close()

    def close(self):
        """Releases everything; repeatable."""
        finished = self._stream.finished
        self._hold.release(finished)
        self._stream.close()
        on_close, self._on_close = self._on_close, None
        if on_close:
            on_close(finished)
