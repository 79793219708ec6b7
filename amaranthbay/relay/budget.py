"""Limits the repeats of an instance to its part of what all instances may send.

A repeat is an attempt beyond the first one of a request: a retry after a failure, or a
second copy (hedge) of a slow call. The `retry_` settings limit both kinds.
"""

from collections import deque
from dataclasses import dataclass

from amaranthbay.observe import current_metrics

__all__ = ["BudgetLimits", "RepeatBudget", "RepeatBudgets", "allowance_part"]

# Share of the allowed repeats that instances use. The rest covers repeats that several
# instances count at the same time and requests that moved to another instance within
# the window.
SAFE_SHARE = 0.8
# Share of the allowance for the chosen instances, to which callers are sent. All
# instances divide the rest, as callers also use addresses that they have cached. If all
# chosen instances are replaced within a window, the old ones, the new ones and all
# others stay within the allowance: 0.8 x (2 x 0.25 + 0.75) = 1.
CHOSEN_SHARE = 0.25


def allowance_part(instances, chosen_instances, chosen):
    """Returns the part of the allowance that one instance may use, from 0 to 1.

    Args:
        instances: Number of all instances.
        chosen_instances: Number of instances that are chosen while all are live.
        chosen: Whether this instance is chosen.

    Examples:
        >>> allowance_part(9, 9, True) * 9
        1.0
        >>> round(allowance_part(195, 15, True) * 15, 2)
        0.31
    """
    part = (1 - CHOSEN_SHARE) / max(1, instances)
    return part + CHOSEN_SHARE / max(1, chosen_instances) if chosen else part


@dataclass(frozen=True)
class BudgetLimits:
    """Limits on the repeats of a service.

    Attributes:
        ratio: Repeats allowed per request of this instance.
        allowance: Repeats that all instances together may send beyond the ratio.
        window_s: Length of the window in seconds.
    """

    ratio: float
    allowance: float
    window_s: float


class RepeatBudget:
    """Counts requests and repeats of one service in a sliding window.

    Each instance knows its part of the allowance. The limit therefore needs no messages
    and holds while instances can't reach each other.
    """

    def __init__(self, service, limits, part, clock):
        """Creates the budget.

        Args:
            service: Name of the service, for the metrics.
            limits: `BudgetLimits`; may be replaced later.
            part: Function that returns this instance's part of the allowance; see
                `allowance_part`.
            clock: `Clock`.
        """
        self.limits = limits
        self._service = service
        self._allowance_part = part
        self._clock = clock
        self._requests = deque()
        self._repeats = deque()

    def note_request(self):
        """Counts a request of a caller."""
        now = self._clock.monotonic()
        self._requests.append(now)
        # A service whose routes allow no repeat never asks for one.
        self._forget_before(now - self.limits.window_s)

    def withdraw(self):
        """Returns whether a repeat may be sent, and counts it if so."""
        granted = self._try_withdraw()
        current_metrics().repeat_requested(self._service, granted)
        return granted

    def _try_withdraw(self):
        if not self.has_left():
            return False
        self._repeats.append(self._clock.monotonic())
        return True

    def has_left(self):
        """Returns whether a repeat may be sent, without counting it."""
        self._forget_before(self._clock.monotonic() - self.limits.window_s)
        own_allowance = self.limits.allowance * self._allowance_part()
        allowed = SAFE_SHARE * (self.limits.ratio * len(self._requests) + own_allowance)
        return len(self._repeats) + 1 <= allowed

    def _forget_before(self, oldest):
        for timestamps in (self._requests, self._repeats):
            while timestamps and timestamps[0] < oldest:
                timestamps.popleft()


class RepeatBudgets:
    """The `RepeatBudget` of each service, all with the same limits."""

    def __init__(self, limits, part, clock):
        """Creates the collection; for the arguments see `RepeatBudget`."""
        self._limits = limits
        self._allowance_part = part
        self._clock = clock
        self._budgets = {}

    def get(self, service):
        """Returns the budget of a service, which is created at its first use."""
        if service not in self._budgets:
            self._budgets[service] = RepeatBudget(
                service, self._limits, self._allowance_part, self._clock
            )
        return self._budgets[service]

    def configure(self, limits):
        """Replaces the limits; requests and repeats counted so far still count."""
        self._limits = limits
        for budget in self._budgets.values():
            budget.limits = limits
