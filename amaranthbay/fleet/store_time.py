"""Time that all instances share: an estimate of the store's steady clock."""

from collections import deque

__all__ = ["StoreTime"]

# Answers of this period determine the estimate. It covers several polls of an instance
# on standby, and is short enough for the drift of clocks not to matter.
WINDOW_S = 120.0


class StoreTime:
    """The store's steady clock, extrapolated with the local clock between answers.

    The time in an answer is too old by the unknown time that the answer has travelled.
    The estimate follows the answer that arrived fastest. It continues while the store
    is away.
    """

    def __init__(self, clock, era):
        """Creates the estimate; `now` returns None until the first answer.

        Args:
            clock: `Clock`.
            era: `StoreEra`; the clock of a restored store may have another start.
        """
        self._clock = clock
        self._offset_s = None
        self._samples = deque()
        era.on_restored(self._reset)

    def _reset(self):
        """Forgets the earlier answers; the estimate changes with the next one."""
        self._samples.clear()

    def note(self, seconds):
        """Processes the time in an answer that has just arrived, in seconds."""
        now = self._clock.monotonic()
        while self._samples and self._samples[0][0] < now - WINDOW_S:
            self._samples.popleft()
        offset_s = seconds - now
        # Only samples that can become the largest one of the window are kept.
        while self._samples and self._samples[-1][1] <= offset_s:
            self._samples.pop()
        self._samples.append((now, offset_s))
        self._offset_s = self._samples[0][1]

    def now(self):
        """Returns the store's time in seconds; None before its first answer."""
        if self._offset_s is None:
            return None
        return self._clock.monotonic() + self._offset_s
