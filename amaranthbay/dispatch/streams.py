"""Turns an engine's events into the whole answer to one request."""

from result import Err, Ok

from amaranthbay.kernel.errors import AmaranthbayError, Reason, may_have_run
from amaranthbay.kernel.retries import Backoff
from amaranthbay.observe import log_event

__all__ = ["BrokenStream", "MatchedStream", "first_event"]

# Resumptions in a row that bring no new token.
RESUME_LIMIT = 5
# A stream of foreign or repeated events only is broken; a bound keeps an engine
# that repeats itself from holding the caller for ever.
USELESS_LIMIT = 100_000


class BrokenStream(AmaranthbayError):
    """Raised when a stream can't be continued.

    Attributes:
        refusal: What the caller is told.
    """

    def __init__(self, refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal


def _no_pauses():
    return 0


class MatchedStream:
    """Iterates over the tokens of one attempt, in order and without gaps.

    Events of other requests or attempts are dropped, duplicates too. After a gap,
    a broken connection or a pause of the daemon the stream is resumed at its
    offset, on the same engine.

    Attributes:
        finished: Whether the explicit end has arrived and its count agreed.
    """

    def __init__(
        self, engine, server, attempt, events, clock, offset=0, pauses=_no_pauses
    ):
        """Creates the stream.

        Args:
            engine: `EngineClient`.
            server: Decode server.
            attempt: `Attempt`.
            events: Iterator of `TokenEvent`.
            clock: `Clock`.
            offset: Index of the first token that is wanted.
            pauses: Function that returns the number of long pauses so far.
        """
        self._engine = engine
        self._server = server
        self._attempt = attempt
        self._events = events
        self._clock = clock
        self._next_index = offset
        self._pauses = pauses
        self._pauses_seen = pauses()
        self._backoff = Backoff()
        self._resumes = 0
        self._useless = 0
        self.finished = False

    def __iter__(self):
        return self

    def __next__(self):
        """Returns the next `TokenEvent`; raises StopIteration or BrokenStream."""
        while not self.finished:
            event = self._receive()
            if event is None:
                self._resume("the connection broke")
            elif event.done:
                self._check_end(event.count)
            elif event.index == self._next_index:
                self._next_index += 1
                self._resumes = self._useless = 0
                return event
            elif event.index > self._next_index:
                self._resume("events are missing")
            else:
                self._count_useless()
        raise StopIteration

    def _check_end(self, count):
        if count == self._next_index:
            self.finished = True
        elif count > self._next_index:
            self._resume("events are missing before the end")
        else:
            self._fail("count below the tokens received")

    def _receive(self):
        """Returns the next event of this attempt; None if the stream broke."""
        try:
            for event in self._events:
                if self._was_paused():
                    return None
                if self._is_own(event):
                    return event
                log_event(
                    "foreign_event_dropped",
                    level="warning",
                    attempt_id=self._attempt.attempt_id,
                )
                self._count_useless()
        except (OSError, ValueError):
            pass
        return None

    def _was_paused(self):
        """Returns whether the daemon was paused since the connection opened.

        Guards may have cancelled the attempt meanwhile; only the engine knows.
        """
        pauses = self._pauses()
        paused, self._pauses_seen = pauses != self._pauses_seen, pauses
        return paused

    def _is_own(self, event):
        return (
            event.attempt_id == self._attempt.attempt_id
            and event.request_id == self._attempt.request_id
        )

    def _count_useless(self):
        self._useless += 1
        if self._useless > USELESS_LIMIT:
            self._fail("the engine repeats itself")

    def _resume(self, cause):
        self.close()
        self._events = iter(())
        self._resumes += 1
        if self._resumes > RESUME_LIMIT:
            self._fail("resumed too often without a new token")
        if self._resumes > 1:
            self._clock.sleep(self._backoff.delay(self._resumes))
        outcome = self._engine.resume(self._server, self._attempt, self._next_index)
        log_event(
            "stream_resumed",
            attempt_id=self._attempt.attempt_id,
            offset=self._next_index,
            cause=cause,
            opened=outcome.is_ok(),
        )
        if outcome.is_ok():
            self._events = outcome.unwrap()
        elif outcome.unwrap_err().status < 500:
            # The engine answered and no longer knows the stream.
            self._fail(outcome.unwrap_err().detail)

    def _fail(self, detail):
        self.close()
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
