"""Tracks and releases the engine memory that one attempt holds."""

from amaranthbay.dispatch.inflight import InFlightRecord
from amaranthbay.dispatch.streams import BrokenStream

__all__ = ["EngineHold", "StartedStream"]


class EngineHold:
    """Engine memory that an attempt may hold.

    The in-flight record stays, here and at the guards, until the engines have
    acknowledged the cancellations. If the daemon dies before, the guards repeat them.

    Attributes:
        unanswered: Whether an engine call of the attempt may arrive late, so that its
            cancellation must be repeated.
    """

    def __init__(self, ctx, attempt, servers, fingerprint="", suspect=False):
        """Creates the hold; `enter` must be called before the first engine call.

        Args:
            ctx: `DispatchContext`.
            attempt: `Attempt`.
            servers: Backend servers that the attempt uses.
            fingerprint: Hash of the request's content; empty for a resumed attempt.
            suspect: Whether the request is suspected of crashing servers.
        """
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
        """Records that the decode has started, so only its server holds memory."""
        self.unanswered = False
        self._ctx.inflight.narrow(self._attempt_id, (server,))

    def release(self, finished=False):
        """Cancels the attempt on its engines; idempotent and never blocks.

        Args:
            finished: Whether the end event of the decode stream has arrived. Nothing
                needs a cancellation then: the decode engine has released the attempt,
                and the prefill engine did so before the first token, when its KV
                cache was imported.
        """
        if self._released:
            return
        self._released = True
        if finished:
            self._ctx.copier.leave(self._attempt_id)
            return
        self._ctx.inflight.end(self._attempt_id)
        remaining = set(self._servers)

        def on_cancelled(server):
            remaining.discard(server)
            if not remaining:
                self._ctx.copier.leave(self._attempt_id)

        for server in self._servers:
            self._ctx.cancels.cancel(
                server,
                self._attempt_id,
                self.unanswered,
                lambda server=server: on_cancelled(server),
            )


class StartedStream:
    """A decode stream with its first token, and the resources it holds."""

    def __init__(self, stream, first, hold, on_break=None, on_close=None):
        """Creates the stream.

        Args:
            stream: `MatchedStream` after its first token.
            first: First `TokenEvent`; None if the answer has no token.
            hold: `EngineHold` of the attempt.
            on_break: Function called with the refusal of a stream that can't be
                continued; returns the refusal that the caller gets.
            on_close: Function called once at the end, with whether the end event has
                arrived.
        """
        self._stream = stream
        self._first = first
        self._hold = hold
        self._on_break = on_break
        self._on_close = on_close

    def tokens(self):
        """Yields the texts of the tokens; releases everything at the end.

        Raises:
            BrokenStream: If the stream can't be continued.
        """
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
        """Releases everything; idempotent."""
        finished = self._stream.finished
        self._hold.release(finished)
        self._stream.close()
        on_close, self._on_close = self._on_close, None
        if on_close:
            on_close(finished)
