"""Repeats that a daemon may send, as its part of what all daemons may."""

from collections import deque

from amaranthbay.observe import current_metrics

__all__ = ["RepeatBudget"]

# Kept back for repeats that several daemons count at the same time and for
# requests that moved to another daemon within the window.
SAFE_SHARE = 0.8


class RepeatBudget:
    """Counts requests and repeats of one service in a sliding window.

    The daemons share the allowance by number, so that no message is needed and the
    bound holds while they can't reach each other.
    """

    def __init__(self, service, ratio, allowance, window_s, daemons, clock):
        """Creates the budget.

        Args:
            service: Name of the service, for the metrics.
            ratio: Repeats allowed for each request of this daemon.
            allowance: Repeats of all daemons allowed beside the ratio.
            window_s: Length of the window.
            daemons: Function that returns the number of daemons.
            clock: `Clock`.
        """
        self._service = service
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._daemons = daemons
        self._clock = clock
        self._requests = deque()
        self._repeats = deque()

    def note_request(self):
        """Counts a request of a caller."""
        self._requests.append(self._clock.monotonic())

    def withdraw(self):
        """Returns whether a repeat may be sent, and counts it."""
        granted = self._take()
        current_metrics().repeat_asked(self._service, granted)
        return granted

    def _take(self):
        now = self._clock.monotonic()
        for times in (self._requests, self._repeats):
            while times and now - times[0] > self._window_s:
                times.popleft()
        own = self._allowance / max(1, self._daemons())
        allowed = SAFE_SHARE * (self._ratio * len(self._requests) + own)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True
