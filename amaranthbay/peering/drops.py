"""Log lines for dropped messages, bounded in number."""

from collections import Counter

from amaranthbay.observe import log_event

__all__ = ["DropLog"]

# A flood of bad messages must not become a flood of log lines.
LINES_PER_S = 5.0
BURST_LINES = 10.0


class DropLog:
    """Writes a line for each dropped message while the rate allows it."""

    def __init__(self, event, clock):
        self._event = event
        self._clock = clock
        self._tokens = BURST_LINES
        self._filled_at = clock.monotonic()
        self._unlogged = 0
        self.counts = Counter()

    def add(self, fault, **fields):
        """Counts a dropped message and logs it, unless too many were logged."""
        self.counts[str(fault)] += 1
        now = self._clock.monotonic()
        gained = (now - self._filled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1:
            self._unlogged += 1
            return
        self._tokens -= 1
        log_event(
            self._event, level="warning", fault=fault, unlogged=self._unlogged, **fields
        )
        self._unlogged = 0
