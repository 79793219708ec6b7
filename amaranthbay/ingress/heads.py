"""Turns of request heads that take long to parse."""

from gevent.lock import Semaphore

from amaranthbay.kernel.clock import SystemClock

__all__ = ["MANY_LINES", "ParseTurns"]

# Lines from which a head waits for its turn. Parsing 3,000 lines, which fit into a
# legal head, takes 6 ms. Without turns, an ordinary request waited 10 s beside 900 of
# them.
MANY_LINES = 100
# Time for which others run after a long parse, as a multiple of its own.
PAUSE_FACTOR = 3.0
# Longest pause. The time of a parse includes that for which the process was frozen:
# after a freeze of 1.5 s, the next request waited until its head timed out.
MAX_PAUSE_S = 0.03


class ParseTurns:
    """Lets heads of many lines be parsed one at a time, with pauses for the others."""

    def __init__(self, clock=None):
        self._clock = clock or SystemClock()
        self._lock = Semaphore()
        self._free_at = 0.0

    def parse(self, parse):
        """Returns the result of a function that parses a head of `MANY_LINES`."""
        with self._lock:
            wait_s = self._free_at - self._clock.monotonic()
            if wait_s > 0:
                self._clock.sleep(wait_s)
            started_at = self._clock.monotonic()
            try:
                return parse()
            finally:
                ended_at = self._clock.monotonic()
                pause_s = min(MAX_PAUSE_S, PAUSE_FACTOR * (ended_at - started_at))
                self._free_at = ended_at + pause_s
