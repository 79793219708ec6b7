"""Whether the store answers this process, and of which era its answers are."""

import gevent.event

from amaranthbay.fleet.eras import StoreEra
from amaranthbay.observe import log_event

__all__ = ["StoreHealth"]

# Time after a loss in which connections that were made as the store came back are often
# lost once more.
RECOVERY_S = 8.0
# A shorter loss is that of a single connection.
OUTAGE_S = 1.0


class StoreHealth:
    """Whether the store answers this process; shared by all followers.

    Attributes:
        era: `StoreEra`.
        lost_at: Monotonic time since which it gives no answer, or None.
        regained_at: Monotonic time of the end of the last loss, or None.
        lost_s: Length of the last loss in seconds.
    """

    def __init__(self, clock):
        self._clock = clock
        self.era = StoreEra(clock)
        self.lost_s = 0.0
        self._callbacks = []
        self._loss_callbacks = []
        self._answered_at = clock.monotonic()
        self._available = gevent.event.Event()
        self._available.set()
        self.lost_at = None
        self.regained_at = None

    def on_regained(self, callback):
        """Calls ``callback()`` when the store answers again."""
        self._callbacks.append(callback)

    def on_lost(self, callback):
        """Calls ``callback()`` when a call has failed and none before it."""
        self._loss_callbacks.append(callback)

    def wait(self, timeout_s):
        """Waits until the store answers, or until the time is over."""
        self._available.wait(timeout_s)

    def answered(self, sent_at):
        """Notes an answer to a call that was sent at a monotonic time."""
        self._answered_at = self._clock.monotonic()
        if self.lost_at is None or sent_at < self.lost_at:
            return
        self.regained_at = self._clock.monotonic()
        self.lost_s = self.regained_at - self.lost_at
        self.lost_at = None
        self._available.set()
        log_event("store_regained", seconds=round(self.lost_s, 3))
        for callback in self._callbacks:
            callback()

    def is_recovering(self):
        """Returns whether the store is lost, or was until a moment ago."""
        if self.lost_at is not None:
            return True
        if self.regained_at is None or self.lost_s < OUTAGE_S:
            return False
        return self._clock.monotonic() - self.regained_at < RECOVERY_S

    def silence_s(self):
        """Returns the seconds since the last answer."""
        return self._clock.monotonic() - self._answered_at

    def failed(self, detail):
        """Notes a call without a usable answer."""
        if self.lost_at is not None:
            return
        self.lost_at = self._clock.monotonic()
        self._available.clear()
        log_event("store_lost", level="warning", detail=detail)
        for callback in self._loss_callbacks:
            callback()
