"""Bounds on the volume of logs and metrics."""

from collections import Counter, deque

import gevent
from gevent.os import make_nonblocking, nb_write

__all__ = ["BoundedLabels", "BufferedWriter", "LineLimiter", "standard_output"]

STANDARD_OUTPUT = 1
# Rate and burst of the lines of one event. The busiest daemon at target load serves
# 17 requests a second with about six lines each.
LINES_PER_S = 100.0
BURST_LINES = 400.0
# Bounds the memory of the lines that wait for a stalled reader.
MAX_BUFFERED_LINES = 4000
# Part of the buffer that info and debug lines may fill; the rest is kept for warnings
# and errors.
INFO_SHARE = 0.75


class LineLimiter:
    """Rate limiter with one token bucket per event.

    A frequent event doesn't use up the lines of the others.
    """

    def __init__(self, clock):
        self._clock = clock
        self._buckets = {}
        self._suppressed = Counter()

    def allows(self, event):
        """Returns whether a line of the event may be written; counts it if not."""
        now = self._clock.monotonic()
        tokens, updated_at = self._buckets.get(event, (BURST_LINES, now))
        tokens = min(BURST_LINES, tokens + (now - updated_at) * LINES_PER_S)
        allowed = tokens >= 1.0
        self._buckets[event] = (tokens - 1.0 if allowed else tokens, now)
        if not allowed:
            self._suppressed[event] += 1
        return allowed

    def take_suppressed(self):
        """Returns the number of suppressed lines by event since the last call."""
        suppressed, self._suppressed = dict(self._suppressed), Counter()
        return suppressed


class BoundedLabels:
    """Labels of a metric, bounded in number as each takes memory until the end.

    Examples:
        >>> labels = BoundedLabels(2)
        >>> [labels.label_of(name) for name in ("a", "b", "c", "a")]
        ['a', 'b', 'other', 'a']
    """

    OTHER = "other"

    def __init__(self, max_names):
        """Creates the labels.

        Args:
            max_names: Number of names that have labels of their own.
        """
        self._max_names = max_names
        self._names = set()

    def label_of(self, name):
        """Returns a name if it is among the first ones, else `OTHER`."""
        if name not in self._names:
            if len(self._names) >= self._max_names:
                return self.OTHER
            self._names.add(name)
        return name


class BufferedWriter:
    """Text stream whose lines a greenlet writes to a file descriptor.

    A stalled reader never blocks a request: lines that don't fit into the buffer are
    dropped and counted.

    Attributes:
        dropped: Number of lines dropped because the buffer was full.
    """

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self._lines = deque()
        self._greenlet = None
        self.dropped = 0
        make_nonblocking(descriptor)

    def write(self, text):
        """Queues a line, or drops it if the buffer is full; never blocks."""
        is_info_or_debug = '"level":"info"' in text or '"level":"debug"' in text
        share = INFO_SHARE if is_info_or_debug else 1.0
        if len(self._lines) >= share * MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._lines.append(text.encode())
        if self._greenlet is None or self._greenlet.ready():
            self._greenlet = gevent.spawn(self._write_queued)

    def flush(self):
        """Does nothing: the greenlet writes queued lines on its own."""

    def close(self, timeout_s=0.5):
        """Waits until the queued lines are written, at most for the timeout."""
        if self._greenlet is not None:
            self._greenlet.join(timeout_s)

    def _write_queued(self):
        while self._lines:
            data = b"".join(self._lines)
            self._lines.clear()
            try:
                while data:
                    data = data[nb_write(self._descriptor, data) :]
            except OSError:
                # The reader is gone, and there is no other place to log this.
                self._lines.clear()
                return


def standard_output():
    """Returns a `BufferedWriter` for standard output."""
    return BufferedWriter(STANDARD_OUTPUT)
