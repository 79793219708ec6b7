"""Turns the events of an engine into the complete token stream of one attempt."""

from result import Err, Ok

from amaranthbay.kernel.errors import AmaranthbayError, Reason, may_have_run
from amaranthbay.kernel.retries import Backoff
from amaranthbay.observe import log_event

__all__ = ["BrokenStream", "MatchedStream", "first_event"]

# Largest number of resumptions in a row without a new token.
MAX_RESUMES = 5
# Largest number of foreign or repeated events in a row. Without a limit, an engine that
# sends the same events again and again would keep the caller waiting for ever.
MAX_IGNORED_EVENTS = 100_000


class BrokenStream(AmaranthbayError):
    """Raised when a stream can't be continued.

    Attributes:
        refusal: `Refusal` that the caller gets.
    """

    def __init__(self, refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal


def _no_pauses():
    return 0


class MatchedStream:
    """Iterates over the tokens of one attempt, in order and without gaps.

    Drops duplicates and the events of other requests or attempts. After a gap, a
    broken connection or a pause of the daemon, resumes the stream on the same engine
    at the first missing token.

    Attributes:
        finished: Whether the end event has arrived and its count is the number of
            tokens received.
    """

    def __init__(
        self, engine, server, attempt, events, clock, offset=0, pause_count=_no_pauses
    ):
        """Creates the stream.

        Args:
            engine: `EngineClient` that resumes the stream.
            server: Decode server.
            attempt: `Attempt` whose events are passed on.
            events: Iterator of `TokenEvent` of the open connection.
            clock: `Clock` for the backoff between resumptions.
            offset: Index of the first token to return.
            pause_count: Function that returns how often guards may have cancelled the
                daemon's attempts, see `PauseWatch`.
        """
        self._engine = engine
        self._server = server
        self._attempt = attempt
        self._events = events
        self._clock = clock
        self._next_index = offset
        self._pause_count = pause_count
        self._last_pause_count = pause_count()
        self._backoff = Backoff()
        self._resumes = 0
        self._ignored_events = 0
        self.finished = False

    def __iter__(self):
        return self

    def __next__(self):
        """Returns the next `TokenEvent`.

        Raises:
            StopIteration: After the end event.
            BrokenStream: If the stream can't be continued.
        """
        while not self.finished:
            event = self._receive()
            if event is None:
                self._resume("the connection ended or the daemon was paused")
            elif event.done:
                self._check_end(event.count)
            elif event.index == self._next_index:
                self._next_index += 1
                self._resumes = self._ignored_events = 0
                return event
            elif event.index > self._next_index:
                self._resume("events are missing")
            else:
                self._count_ignored()
        raise StopIteration

    def _check_end(self, count):
        if count == self._next_index:
            self.finished = True
        elif count > self._next_index:
            self._resume("events are missing before the end")
        else:
            self._fail("count below the tokens received")

    def _receive(self):
        """Returns the next event of this attempt; None if a resumption is needed."""
        try:
            for event in self._events:
                if self._paused_since_check():
                    return None
                if self._matches_attempt(event):
                    return event
                log_event(
                    "foreign_event_dropped",
                    level="warning",
                    attempt_id=self._attempt.attempt_id,
                )
                self._count_ignored()
        except (OSError, ValueError):
            pass
        return None

    def _paused_since_check(self):
        """Returns whether the pause count has risen since the last call.

        The guards may then have cancelled the attempt, and only a resumption tells
        whether the engine still runs it.
        """
        count = self._pause_count()
        paused, self._last_pause_count = count != self._last_pause_count, count
        return paused

    def _matches_attempt(self, event):
        return (
            event.attempt_id == self._attempt.attempt_id
            and event.request_id == self._attempt.request_id
        )

    def _count_ignored(self):
        self._ignored_events += 1
        if self._ignored_events > MAX_IGNORED_EVENTS:
            self._fail("the engine repeats itself")

    def _resume(self, cause):
        self.close()
        self._events = iter(())
        self._resumes += 1
        if self._resumes > MAX_RESUMES:
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
