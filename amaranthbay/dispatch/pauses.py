"""Notices that the whole daemon was paused, by the monotonic clock."""

import gevent

from amaranthbay.observe import log_event

__all__ = ["PauseWatch"]

# Guards take 30 s of silence as proof of death. A daemon that was paused for
# less than that, with room for the delay of its probes, has lost nothing.
PAUSE_BOUND_S = 20.0
TICK_S = 1.0


class PauseWatch:
    """Counts the pauses that were long enough for guards to have acted."""

    def __init__(self, clock, bound_s=PAUSE_BOUND_S):
        self._clock = clock
        self._bound_s = bound_s
        self._last = clock.monotonic()
        self._pauses = 0

    def pauses(self):
        """Returns the number of long pauses so far, the latest included.

        A greenlet that runs before the ticker, right after a pause, gets the
        right number too.
        """
        now = self._clock.monotonic()
        silent_s = now - self._last
        self._last = now
        if silent_s > self._bound_s:
            self._pauses += 1
            log_event("daemon_was_paused", level="warning", paused_s=round(silent_s))
        return self._pauses

    def note(self):
        """Counts a time in which guards may have acted without a pause."""
        self._pauses += 1

    def run(self):
        """Ticks until killed, so that idle time doesn't count as a pause."""
        while True:
            self.pauses()
            gevent.sleep(TICK_S)
