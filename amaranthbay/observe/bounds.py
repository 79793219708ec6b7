"""Bounds on the volume of logs: a rate per event, and a writer that never waits."""

from collections import Counter, deque

import gevent
from gevent.os import make_nonblocking, nb_write

__all__ = ["BufferedWriter", "LineLimiter", "standard_output"]

STANDARD_OUTPUT = 1
# Lines a second of one event that are written, and at once. The busiest daemon of the
# target serves 17 requests a second with about six lines each.
LINES_PER_S = 100.0
BURST_LINES = 400.0
# Memory of lines that wait for a reader that stalls.
BUFFERED_LINES = 4000
# Part of the buffer that is kept for warnings and errors.
ORDINARY_SHARE = 0.75


class LineLimiter:
    """Token bucket for each event, so that a frequent one never hides another."""

    def __init__(self, clock):
        self._clock = clock
        self._buckets = {}
        self._suppressed = Counter()

    def allows(self, event):
        """Returns whether a line may be written; counts it if not."""
        now = self._clock.monotonic()
        tokens, at = self._buckets.get(event, (BURST_LINES, now))
        tokens = min(BURST_LINES, tokens + (now - at) * LINES_PER_S)
        allowed = tokens >= 1.0
        self._buckets[event] = (tokens - 1.0 if allowed else tokens, now)
        if not allowed:
            self._suppressed[event] += 1
        return allowed

    def take_suppressed(self):
        """Returns the suppressed lines by event since the last call."""
        found, self._suppressed = dict(self._suppressed), Counter()
        return found


class BufferedWriter:
    """Text stream whose lines a greenlet hands to a file descriptor.

    A reader that stalls costs lines, not answers: what doesn't fit is counted.

    Attributes:
        dropped: Lines that found the buffer full.
    """

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self._lines = deque()
        self._job = None
        self.dropped = 0
        make_nonblocking(descriptor)

    def write(self, text):
        """Queues a line; never waits."""
        ordinary = '"level":"info"' in text or '"level":"debug"' in text
        share = ORDINARY_SHARE if ordinary else 1.0
        if len(self._lines) >= share * BUFFERED_LINES:
            self.dropped += 1
            return
        self._lines.append(text.encode())
        if self._job is None or self._job.ready():
            self._job = gevent.spawn(self._drain)

    def flush(self):
        """Does nothing: the lines are on their way."""

    def close(self, timeout_s=0.5):
        """Waits for the lines that are queued, as long as the reader takes them."""
        if self._job is not None:
            self._job.join(timeout_s)

    def _drain(self):
        while self._lines:
            data = b"".join(self._lines)
            self._lines.clear()
            try:
                while data:
                    data = data[nb_write(self._descriptor, data) :]
            except OSError:
                # Nobody reads any more; there is nowhere to say so.
                self._lines.clear()
                return


def standard_output():
    """Returns a `BufferedWriter` on the standard output."""
    return BufferedWriter(STANDARD_OUTPUT)
