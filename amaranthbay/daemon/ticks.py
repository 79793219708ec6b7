"""Tells how late a signal may be handled."""

__all__ = ["MAX_REGULAR_AGE_S", "LoopTicks"]

TICK_INTERVAL_S = 0.1
# Largest age of `LoopTicks.earliest_signal` while the process runs undisturbed.
MAX_REGULAR_AGE_S = 2 * TICK_INTERVAL_S


class LoopTicks:
    """Times at which the event loop has run.

    A signal is handled late if the process was paused, or its event loop was busy. The
    system doesn't tell when it was sent.
    """

    def __init__(self, clock):
        """Starts with the current time.

        Args:
            clock: `Clock`.
        """
        self._clock = clock
        self._latest = self._previous = clock.monotonic()

    def run(self):
        """Records a time at each `TICK_INTERVAL_S`, for ever."""
        while True:
            self._previous, self._latest = self._latest, self._clock.monotonic()
            self._clock.sleep(TICK_INTERVAL_S)

    def earliest_signal(self):
        """Returns the earliest time of a signal that is handled now.

        The latest tick may be one that follows a pause, as the signal does.
        """
        return self._previous
