"""Estimates for how long a caller will go on holding what it holds."""

import math

__all__ = ["SOON_S", "Progress"]

# Time over which the rate of a caller is averaged. A longer one would still credit a
# sender that has stopped with the rate at which it began.
RATE_SPAN_S = 1.0
# Shortest time for which a rate counts as measured.
MIN_RATE_S = 0.05
# A caller that is expected to be done within this time is soon complete. It is several
# round trips between continents.
SOON_S = 1.0
# Bytes per second below which a caller makes no progress.
MIN_BYTES_PER_S = 1.0


class Progress:
    """Progress of a caller that sends a request, reads a response or waits."""

    __slots__ = (
        "_began_at",
        "_noted_at",
        "_recent_bytes",
        "_left_bytes",
        "_credit_bytes",
    )

    def __init__(self, now, left_bytes=None):
        self.begin(now, left_bytes)

    def begin(self, now, left_bytes=None):
        """Begins a new task of the caller.

        Args:
            now: Monotonic time.
            left_bytes: Bytes to its end; None if unknown.
        """
        self._began_at = self._noted_at = now
        self._recent_bytes = 0.0
        self._left_bytes = left_bytes
        self._credit_bytes = left_bytes or 0

    def note(self, now, count):
        """Records that bytes were transferred."""
        fading = math.exp((self._noted_at - now) / RATE_SPAN_S)
        self._recent_bytes = self._recent_bytes * fading + count
        self._noted_at = now
        if self._left_bytes is not None:
            self._left_bytes -= count

    def wait_s(self, now):
        """Returns in how many seconds the caller is expected to be done.

        It will be silent for as long again as it has been, and then go on at its latest
        rate. A task of unknown size is expected to last as long again as it has lasted.

        Examples:
            >>> progress = Progress(0.0, left_bytes=3000)
            >>> progress.note(1.0, 1000)
            >>> progress.wait_s(1.0)
            2.0
        """
        return self._wait_s(now, 0.0)

    def wait_for_place_s(self, now):
        """Returns `wait_s`, but credits a task that has just begun with its whole size.

        Without the credit, which fades like the rate, a fresh upload looks slower than
        a sender that has been stuck for long. Memory is chosen without it, as a flood
        of uploads that all look soon done would displace the answers of servers.
        """
        fading = math.exp((self._began_at - now) / RATE_SPAN_S)
        return self._wait_s(now, self._credit_bytes * fading)

    def _wait_s(self, now, credit_bytes):
        silence_s = now - self._noted_at
        if self._left_bytes is None:
            return now - self._began_at
        if self._left_bytes <= 0:
            return silence_s
        span_s = min(RATE_SPAN_S, max(MIN_RATE_S, now - self._began_at))
        recent_bytes = self._recent_bytes * math.exp(-silence_s / RATE_SPAN_S)
        bytes_per_s = (recent_bytes + credit_bytes) / span_s
        return silence_s + self._left_bytes / max(MIN_BYTES_PER_S, bytes_per_s)
