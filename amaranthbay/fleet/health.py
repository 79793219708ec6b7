"""Tracks whether the store answers this process, its era and its time."""

import gevent.event

from amaranthbay.fleet.eras import StoreEra
from amaranthbay.fleet.store_time import StoreTime
from amaranthbay.observe import log_event

__all__ = ["StoreHealth"]

# Time after an outage within which connections that were opened while the store came
# back often break again.
RECOVERY_S = 8.0
# A shorter loss is a failure of a single connection, not an outage of the store.
MIN_OUTAGE_S = 1.0


class StoreHealth:
    """Whether the store answers this process; shared by all followers.

    The store is lost from the first failed call until a later call is answered.

    Attributes:
        era: `StoreEra` of its answers.
        time: `StoreTime` of its answers.
        lost_at: Monotonic time at which it was lost; None while it answers.
        regained_at: Monotonic time at which the last loss ended, or None.
        lost_s: Length of the last loss in seconds.
    """

    def __init__(self, clock):
        self._clock = clock
        self.era = StoreEra(clock)
        self.time = StoreTime(clock, self.era)
        self.lost_s = 0.0
        self._regained_callbacks = []
        self._lost_callbacks = []
        self._answered_at = clock.monotonic()
        self._available = gevent.event.Event()
        self._available.set()
        self.lost_at = None
        self.regained_at = None

    def on_regained(self, callback):
        """Calls ``callback()`` when the store answers again."""
        self._regained_callbacks.append(callback)

    def on_lost(self, callback):
        """Calls ``callback()`` when a call fails and the store was not lost before."""
        self._lost_callbacks.append(callback)

    def wait(self, timeout_s):
        """Waits until the store answers, for at most ``timeout_s`` seconds."""
        self._available.wait(timeout_s)

    def note_answer(self, sent_at):
        """Records an answer.

        A late answer to a call from before the loss doesn't end the loss.

        Args:
            sent_at: Monotonic time at which the call was sent.
        """
        self._answered_at = self._clock.monotonic()
        if self.lost_at is None or sent_at < self.lost_at:
            return
        self.regained_at = self._clock.monotonic()
        self.lost_s = self.regained_at - self.lost_at
        self.lost_at = None
        self._available.set()
        log_event("store_regained", seconds=round(self.lost_s, 3))
        for callback in self._regained_callbacks:
            callback()

    def is_recovering(self):
        """Returns whether the store is lost, or an outage ended within `RECOVERY_S`."""
        if self.lost_at is not None:
            return True
        if self.regained_at is None or self.lost_s < MIN_OUTAGE_S:
            return False
        return self._clock.monotonic() - self.regained_at < RECOVERY_S

    def silence_s(self):
        """Returns the seconds since the last answer, late answers included."""
        return self._clock.monotonic() - self._answered_at

    def note_failure(self, detail):
        """Records a call without a usable answer.

        Args:
            detail: Description of the failure for the log.
        """
        if self.lost_at is not None:
            return
        self.lost_at = self._clock.monotonic()
        self._available.clear()
        log_event("store_lost", level="warning", detail=detail)
        for callback in self._lost_callbacks:
            callback()
