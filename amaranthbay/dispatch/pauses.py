"""Detects pauses of the whole daemon by the monotonic clock."""

import gevent

from amaranthbay.observe import log_event

__all__ = ["PauseWatch"]

# Guards consider a daemon dead after 30 s of silence and cancel its attempts. A pause
# shorter than this can't lead to that; 10 s are left for the delay of their probes.
LONG_PAUSE_S = 20.0
CHECK_INTERVAL_S = 1.0


class PauseWatch:
    """Counts the pauses in which guards may have cancelled this daemon's attempts."""

    def __init__(self, clock, long_pause_s=LONG_PAUSE_S):
        """Creates the watch.

        Args:
            clock: `Clock` whose monotonic time is checked.
            long_pause_s: Gap between two checks, in seconds, above which the daemon
                counts as paused.
        """
        self._clock = clock
        self._long_pause_s = long_pause_s
        self._last_check = clock.monotonic()
        self._count = 0

    def count(self):
        """Returns how often guards may have cancelled this daemon's attempts.

        This is the number of long pauses and of calls of `count_interruption`.

        Checks the clock itself, so that a greenlet that runs right after a pause,
        before `run` does, gets the right number too.
        """
        now = self._clock.monotonic()
        elapsed_s = now - self._last_check
        self._last_check = now
        if elapsed_s > self._long_pause_s:
            self._count += 1
            log_event("daemon_was_paused", level="warning", paused_s=round(elapsed_s))
        return self._count

    def count_interruption(self):
        """Adds one without a pause, for example if peers considered it dead."""
        self._count += 1

    def run(self):
        """Checks the clock until killed, so that idle time doesn't count as a pause."""
        while True:
            self.count()
            gevent.sleep(CHECK_INTERVAL_S)
