"""Turns an engine's events into the whole answer to one request."""

from result import Err, Ok

from amaranthbay.kernel.errors import AmaranthbayError, Reason, may_have_run
from amaranthbay.observe import log_event

__all__ = ["BrokenStream", "MatchedStream"]

RESUME_LIMIT = 5


class BrokenStream(AmaranthbayError):
    """Raised when a stream can't be continued.

    Attributes:
        refusal: What the caller is told.
    """

    def __init__(self, refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal


class MatchedStream:
    """Iterates over the tokens of one attempt, in order and without gaps.

    Events of other requests or attempts are dropped, duplicates too. After a gap
    or a broken connection the stream is resumed at its offset.
    """

    def __init__(self, engine, server, attempt, events, offset=0):
        self._engine = engine
        self._server = server
        self._attempt = attempt
        self._events = events
        self._next_index = offset
        self._resumes = 0
        self.finished = False

    def __iter__(self):
        return self

    def __next__(self):
        """Returns the next `TokenEvent`; raises StopIteration or BrokenStream."""
        while not self.finished:
            event = self._receive()
            if event is None:
                self._resume()
            elif event.done:
                if event.count == self._next_index:
                    self.finished = True
                elif event.count > self._next_index:
                    self._resume()
                else:
                    self._fail("count below the tokens received")
            elif event.index == self._next_index:
                self._next_index += 1
                return event
            elif event.index > self._next_index:
                self._resume()
        raise StopIteration

    def _receive(self):
        """Returns the next event of this attempt; None if the stream broke."""
        try:
            for event in self._events:
                if self._is_own(event):
                    return event
                log_event(
                    "foreign_event_dropped",
                    level="warning",
                    attempt_id=self._attempt.attempt_id,
                )
        except (OSError, ValueError):
            pass
        return None

    def _is_own(self, event):
        return (
            event.attempt_id == self._attempt.attempt_id
            and event.request_id == self._attempt.request_id
        )

    def _resume(self):
        self._resumes += 1
        if self._resumes > RESUME_LIMIT:
            self._fail("resumed too often")
        self.close()
        outcome = self._engine.resume(self._server, self._attempt, self._next_index)
        if outcome.is_err():
            self._fail(outcome.unwrap_err().detail)
        log_event(
            "stream_resumed",
            attempt_id=self._attempt.attempt_id,
            offset=self._next_index,
        )
        self._events = outcome.unwrap()

    def _fail(self, detail):
        raise BrokenStream(may_have_run(Reason.STREAM_BROKEN, detail))

    def close(self):
        """Closes the connection to the engine."""
        close = getattr(self._events, "close", None)
        if close:
            close()


def first_event(stream):
    """Returns ``Result[TokenEvent | None, Refusal]``; None if there is no token."""
    try:
        return Ok(next(stream, None))
    except BrokenStream as exc:
        return Err(exc.refusal)
