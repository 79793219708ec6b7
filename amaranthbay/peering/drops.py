"""Rate-limited log of dropped messages."""

from collections import Counter

from amaranthbay.observe import log_event

__all__ = ["DropLog"]

# A flood of bad messages must not become a flood of log lines.
LINES_PER_S = 5.0
BURST_LINES = 10.0


class DropLog:
    """Counts dropped messages and logs them up to a rate limit.

    Attributes:
        counts: Number of dropped messages by fault.
    """

    def __init__(self, event_name, clock):
        self._event_name = event_name
        self._clock = clock
        self._tokens = BURST_LINES
        self._filled_at = clock.monotonic()
        self._unlogged = 0
        self.counts = Counter()

    def add(self, fault, **fields):
        """Counts a dropped message and logs it unless the rate limit is reached.

        Args:
            fault: `FrameFault` or another reason for the drop.
            **fields: Further fields of the log line.
        """
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
            self._event_name,
            level="warning",
            fault=fault,
            unlogged=self._unlogged,
            **fields,
        )
        self._unlogged = 0
