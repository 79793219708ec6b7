"""Client-side rate limit and circuit breaker for calls to the platform."""

import random

from amaranthbay.kernel.clock import SystemClock

__all__ = ["CircuitBreaker", "PlatformLimiter", "RateShare"]

# The platform serves several hundred writes and about 2,000 reads a second for all its
# clients. The daemons together stay within these limits.
WRITES_PER_S = 300.0
READS_PER_S = 1800.0
# Lets a daemon send a few calls at once, even if its share is one call a second.
BURST_CALLS = 10
# A call that would have to wait longer for the rate limit is refused. Non-idempotent
# requests of callers wait for such calls.
MAX_WAIT_S = 1.5
FAILURES_TO_OPEN = 3
MEAN_PROBE_INTERVAL_S = 0.5


class RateShare:
    """Rate limiter of one daemon, for its equal share of the rate of all daemons."""

    def __init__(self, total_per_s, count_daemons, clock):
        """Creates the limiter.

        Args:
            total_per_s: Calls per second of all daemons together.
            count_daemons: Function that returns the number of live daemons.
            clock: `Clock` whose monotonic time schedules the calls.
        """
        self._total_per_s = total_per_s
        self._count_daemons = count_daemons
        self._clock = clock
        self._next_at = 0.0

    def reserve(self, max_wait_s):
        """Reserves the earliest time at which the next call may be sent.

        Args:
            max_wait_s: Longest acceptable wait, in seconds.

        Returns:
            Seconds until that time; None, without a reservation, if the wait would be
            longer than acceptable.
        """
        now = self._clock.monotonic()
        interval_s = max(1, self._count_daemons()) / self._total_per_s
        earliest_at = now - (BURST_CALLS - 1) * interval_s
        send_at = max(self._next_at, earliest_at)
        if send_at - now > max_wait_s:
            return None
        self._next_at = send_at + interval_s
        return max(0.0, send_at - now)


class CircuitBreaker:
    """Rejects calls at once while the platform is down.

    After `FAILURES_TO_OPEN` failures in a row the breaker opens: it lets one call
    through as a probe, about once in `MEAN_PROBE_INTERVAL_S`. The first success closes
    it again.
    """

    def __init__(self, clock, rng=None):
        """Creates a closed breaker.

        Args:
            clock: `Clock` whose monotonic time schedules the probes.
            rng: `random.Random` that draws the intervals; a new one if None.
        """
        self._clock = clock
        self._rng = rng or random.Random()
        self._failures = 0
        self._probe_at = 0.0

    @property
    def is_open(self):
        """Whether calls other than probes are rejected."""
        return self._failures >= FAILURES_TO_OPEN

    def allows(self):
        """Returns whether a call may be sent now.

        If the breaker is open, the call is a probe, and the next one is scheduled.
        """
        if not self.is_open:
            return True
        now = self._clock.monotonic()
        if now < self._probe_at:
            return False
        self._schedule_probe(now)
        return True

    def record(self, succeeded):
        """Records whether a call that was sent succeeded."""
        if succeeded:
            self._failures = 0
            return
        self._failures += 1
        if self._failures == FAILURES_TO_OPEN:
            self._schedule_probe(self._clock.monotonic())

    def _schedule_probe(self, now):
        # The jitter keeps 320 daemons from probing at the same instant.
        self._probe_at = now + MEAN_PROBE_INTERVAL_S * self._rng.uniform(0.5, 1.5)


class PlatformLimiter:
    """Rate limit and circuit breaker shared by all platform clients of a daemon."""

    def __init__(self, clock=None, count_daemons=lambda: 1):
        """Creates the limiter.

        Args:
            clock: `Clock`; the system's clock if None.
            count_daemons: Function that returns the number of live daemons, which
                share the rates.
        """
        self._clock = clock or SystemClock()
        self._writes = RateShare(WRITES_PER_S, count_daemons, self._clock)
        self._reads = RateShare(READS_PER_S, count_daemons, self._clock)
        self.breaker = CircuitBreaker(self._clock)

    def admit(self, is_write):
        """Waits for the rate limit, or refuses a call at once.

        A call is refused if the circuit breaker is open, or if it would have to wait
        longer than `MAX_WAIT_S`.

        Args:
            is_write: Whether the call counts against the rate of writes or of reads.

        Returns:
            None if the call may be sent, else the reason for the refusal.
        """
        if not self.breaker.allows():
            return "the circuit breaker is open: the platform is down"
        share = self._writes if is_write else self._reads
        wait_s = share.reserve(MAX_WAIT_S)
        if wait_s is None:
            return "the daemon's share of the platform's rate limit is used up"
        if wait_s > 0:
            self._clock.sleep(wait_s)
        return None
