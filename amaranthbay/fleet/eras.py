"""Tracks the era of the store: a number that rises with each restore from a copy."""

from amaranthbay.kernel.interfaces import Era
from amaranthbay.observe import log_event

__all__ = ["StoreEra"]

# Largest step by which an answer may raise the era. Each restore raises it by one; a
# larger step doesn't come from the store. If it counted, all later answers would be
# dropped.
MAX_ERA_STEP = 1000


class StoreEra:
    """The newest era that an answer of the store has named.

    A restored store has lost what was written since the copy was made, and assigns the
    versions of the lost changes again. Versions are comparable within one era only.

    Attributes:
        restored_at: Monotonic time at which the last restore was noticed, or None.
    """

    def __init__(self, clock):
        self._clock = clock
        self._number = None
        self._seen_at = None
        self._restored_callbacks = []
        self.restored_at = None

    @property
    def number(self):
        """Number of the era; None while no answer has named one."""
        return self._number

    def current(self):
        """Returns the `Era`; the lowest one while no answer has named one."""
        return Era() if self._number is None else Era(self._number, self._seen_at)

    def on_restored(self, callback):
        """Calls ``callback()`` when a restore is noticed."""
        self._restored_callbacks.append(callback)

    def observe(self, number):
        """Checks and records the era that an answer names.

        Args:
            number: Number of the era; None if the answer names none.

        Returns:
            Whether the answer is valid. An answer of an earlier era describes changes
            that a restore has undone.
        """
        if number is None or number == self._number:
            return True
        if self._number is None:
            self._set_number(number)
            return True
        if not self._number < number <= self._number + MAX_ERA_STEP:
            log_event(
                "store_answer_of_other_era",
                level="warning",
                era=number,
                known_era=self._number,
            )
            return False
        log_event("store_restored", level="warning", era=number, known_era=self._number)
        self._set_number(number)
        self.restored_at = self._seen_at
        for callback in self._restored_callbacks:
            callback()
        return True

    def _set_number(self, number):
        self._number = number
        self._seen_at = self._clock.monotonic()
