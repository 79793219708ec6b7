"""Sums and rates over the last seconds; times are passed in."""

import math
from collections import deque

__all__ = ["DecayingSum", "RecentRate"]

# Parts into which the window of a rate is divided.
PARTS = 16
# Smallest number of parts over which a rate is taken, so that a few amounts at once
# after a calm time don't look like a high rate.
MIN_PARTS = 4


class DecayingSum:
    """Sum whose past amounts count half after each half-life."""

    def __init__(self, half_life_s):
        self._half_life_s = half_life_s
        self._value = 0.0
        self._at = 0.0

    def add(self, amount, now):
        """Adds an amount at a monotonic time."""
        self._value = self.value(now) + amount
        self._at = now

    def value(self, now):
        """Returns the sum at a monotonic time."""
        return self._value * 0.5 ** ((now - self._at) / self._half_life_s)

    def per_s(self, now):
        """Returns the amount per second that would keep the sum at its value."""
        return self.value(now) * math.log(2) / self._half_life_s


class RecentRate:
    """Amount per second over a moving window, in memory that doesn't grow."""

    def __init__(self, window_s, min_count=1):
        """Creates the rate.

        Args:
            window_s: Length of the window in seconds.
            min_count: Smallest number of amounts in the window that make a rate.
        """
        self._part_s = window_s / PARTS
        self._min_count = min_count
        # Number of the part, sum and count of the amounts in it.
        self._parts = deque()
        self._since = None

    def note(self, amount, now):
        """Records an amount at a monotonic time."""
        part = int(now / self._part_s)
        self._forget(part)
        if not self._parts:
            self._since = part
        if not self._parts or self._parts[-1][0] != part:
            self._parts.append([part, 0.0, 0])
        self._parts[-1][1] += amount
        self._parts[-1][2] += 1

    def per_s(self, now):
        """Returns the amount per second, or None after too few amounts.

        After a window without any amount, the time before the next one doesn't count.
        """
        part = int(now / self._part_s)
        self._forget(part)
        if not self._parts or sum(p[2] for p in self._parts) < self._min_count:
            return None
        parts = max(MIN_PARTS, min(PARTS, part - self._since + 1))
        return sum(p[1] for p in self._parts) / (parts * self._part_s)

    def _forget(self, part):
        while self._parts and self._parts[0][0] <= part - PARTS:
            self._parts.popleft()
