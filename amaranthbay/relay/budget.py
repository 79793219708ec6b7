"""Repeats that a daemon may send, as its part of what all daemons may."""

from collections import deque
from dataclasses import dataclass

from amaranthbay.observe import current_metrics

__all__ = ["BudgetLimits", "RepeatBudget", "RepeatBudgets", "allowance_part"]

# Kept back for repeats that several daemons count at the same time and for
# requests that moved to another daemon within the window.
SAFE_SHARE = 0.8
# Part of the allowance for the daemons that callers are sent to. The rest is for all:
# callers come to others with addresses that they have kept. If all of the former are
# replaced within a window, both sets and everybody else stay within the allowance:
# 0.8 x (2 x 0.25 + 0.75) = 1.
SERVING_SHARE = 0.25


def allowance_part(daemons, places, serving):
    """Returns the part of the allowance that one daemon may use.

    Args:
        daemons: Number of all daemons.
        places: Number of daemons that callers are sent to while all live.
        serving: Whether callers are sent to this one.

    Examples:
        >>> allowance_part(9, 9, True) * 9
        1.0
        >>> round(allowance_part(195, 15, True) * 15, 2)
        0.31
    """
    part = (1 - SERVING_SHARE) / max(1, daemons)
    return part + SERVING_SHARE / max(1, places) if serving else part


@dataclass(frozen=True)
class BudgetLimits:
    """Repeats that a service may get.

    Attributes:
        ratio: Repeats allowed for each request of this daemon.
        allowance: Repeats of all daemons allowed beside the ratio.
        window_s: Length of the window in seconds.
    """

    ratio: float
    allowance: float
    window_s: float


class RepeatBudget:
    """Counts requests and repeats of one service in a sliding window.

    Each daemon knows its part of the allowance, so that no message is needed and the
    bound holds while they can't reach each other.
    """

    def __init__(self, service, limits, part, clock):
        """Creates the budget.

        Args:
            service: Name of the service, for the metrics.
            limits: `BudgetLimits`; another one may be set later.
            part: Function that returns this daemon's part of the allowance, see
                `allowance_part`.
            clock: `Clock`.
        """
        self.limits = limits
        self._service = service
        self._part = part
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
            while times and now - times[0] > self.limits.window_s:
                times.popleft()
        own = self.limits.allowance * self._part()
        allowed = SAFE_SHARE * (self.limits.ratio * len(self._requests) + own)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True


class RepeatBudgets:
    """The `RepeatBudget` of each service, all with the same limits."""

    def __init__(self, limits, part, clock):
        """Creates no budget yet; see `RepeatBudget`."""
        self._limits = limits
        self._part = part
        self._clock = clock
        self._budgets = {}

    def of(self, service):
        """Returns the budget of a service."""
        if service not in self._budgets:
            self._budgets[service] = RepeatBudget(
                service, self._limits, self._part, self._clock
            )
        return self._budgets[service]

    def configure(self, limits):
        """Takes other limits; what was counted goes on to count."""
        self._limits = limits
        for budget in self._budgets.values():
            budget.limits = limits
