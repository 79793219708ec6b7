"""Counts and logs the callers that are dropped, in few lines however many they are."""

from collections import Counter

from amaranthbay.kernel.clock import SystemClock
from amaranthbay.observe import current_metrics, log_event

__all__ = ["DropLog"]

LOG_INTERVAL_S = 1.0


class DropLog:
    """Logs one line for each interval and reason."""

    def __init__(self, clock=None):
        self._clock = clock or SystemClock()
        self._counts = Counter()
        self._logged_at = {}

    def note(self, reason):
        """Counts a dropped caller.

        Args:
            reason: ``memory_full`` or ``places_full``.
        """
        current_metrics().caller_dropped(reason)
        self._counts[reason] += 1
        self.flush()

    def flush(self):
        """Logs what has been counted, unless the last line was written just now.

        It is also called regularly, so that the last callers of a burst are logged.
        """
        now = self._clock.monotonic()
        for reason, count in list(self._counts.items()):
            logged_at = self._logged_at.get(reason)
            if logged_at is not None and now - logged_at < LOG_INTERVAL_S:
                continue
            self._logged_at[reason] = now
            del self._counts[reason]
            log_event("callers_dropped", level="warning", reason=reason, count=count)
