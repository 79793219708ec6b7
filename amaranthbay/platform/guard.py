"""Client-side rate limit and circuit breaker of the platform's clients."""

import random

from amaranthbay.kernel.clock import SystemClock

__all__ = ["CircuitBreaker", "PlatformGuard", "RateShare"]

# The platform takes several hundred writes and about 2,000 reads a second from
# all its users; these are the parts that the daemons claim together.
WRITES_PER_S = 300.0
READS_PER_S = 1800.0
# Lets a daemon send a few calls at once although its share is one a second.
BURST_CALLS = 10
# Callers of non-idempotent calls wait this long for a turn before a refusal.
MAX_WAIT_S = 1.5
FAILURES_TO_OPEN = 3
OPEN_S = 0.5


class RateShare:
    """One daemon's share of a rate that all daemons have together."""

    def __init__(self, total_per_s, daemons, clock):
        """Creates the share.

        Args:
            total_per_s: Calls per second of all daemons.
            daemons: Function that returns the number of live daemons.
            clock: `Clock`.
        """
        self._total_per_s = total_per_s
        self._daemons = daemons
        self._clock = clock
        self._next_at = 0.0

    def reserve(self, max_wait_s):
        """Returns the seconds until the reserved turn.

        Returns None, and reserves nothing, if that is longer than the limit.
        """
        now = self._clock.monotonic()
        interval_s = max(1, self._daemons()) / self._total_per_s
        earliest = now - (BURST_CALLS - 1) * interval_s
        turn = max(self._next_at, earliest)
        if turn - now > max_wait_s:
            return None
        self._next_at = turn + interval_s
        return max(0.0, turn - now)


class CircuitBreaker:
    """Fails calls at once while the platform is down.

    After some failures in a row one call in each period is let through as a
    probe; the first success lets all calls through again.
    """

    def __init__(self, clock, rng=None):
        self._clock = clock
        self._rng = rng or random.Random()
        self._failures = 0
        self._probe_at = 0.0

    @property
    def is_open(self):
        """Whether calls fail without being sent."""
        return self._failures >= FAILURES_TO_OPEN

    def allows(self):
        """Returns whether a call may be sent now."""
        if not self.is_open:
            return True
        now = self._clock.monotonic()
        if now < self._probe_at:
            return False
        self._schedule_probe(now)
        return True

    def record(self, succeeded):
        """Counts the outcome of a call that was sent."""
        if succeeded:
            self._failures = 0
            return
        self._failures += 1
        if self._failures == FAILURES_TO_OPEN:
            self._schedule_probe(self._clock.monotonic())

    def _schedule_probe(self, now):
        # The jitter keeps 320 daemons from probing in the same instant.
        self._probe_at = now + OPEN_S * self._rng.uniform(0.5, 1.5)


class PlatformGuard:
    """Rate limit and circuit breaker that all clients of one daemon share."""

    def __init__(self, clock=None, daemons=lambda: 1):
        self._clock = clock or SystemClock()
        self._writes = RateShare(WRITES_PER_S, daemons, self._clock)
        self._reads = RateShare(READS_PER_S, daemons, self._clock)
        self.breaker = CircuitBreaker(self._clock)

    def enter(self, is_write):
        """Waits for the call's turn.

        Returns:
            None if the call may be sent, else why not.
        """
        if not self.breaker.allows():
            return "the platform is down"
        share = self._writes if is_write else self._reads
        wait_s = share.reserve(MAX_WAIT_S)
        if wait_s is None:
            return "the daemon's share of the platform's rate is used up"
        if wait_s > 0:
            self._clock.sleep(wait_s)
        return None
