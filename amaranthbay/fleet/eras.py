"""How often the store was restored from an older copy, as its answers say."""

from amaranthbay.kernel.interfaces import Era
from amaranthbay.observe import log_event

__all__ = ["StoreEra"]

# Eras by which an answer may be ahead. Each restore raises the era by one, so that a
# larger step comes from something else than the store, and would hide all its answers.
MOST_STEPS = 1000


class StoreEra:
    """The newest era that the store has named to this process.

    A restored store has lost what was written since the copy, and gives out the
    versions of the lost changes again. A version says something in its era only.
    """

    def __init__(self, clock):
        self._clock = clock
        self._number = None
        self._seen_at = None
        self._callbacks = []
        # Monotonic time at which a restore was noticed, or None.
        self.restored_at = None

    @property
    def number(self):
        """Number of the era; None while the store has named none."""
        return self._number

    def current(self):
        """Returns the `Era`; the one before all if the store has named none."""
        return Era() if self._number is None else Era(self._number, self._seen_at)

    def on_restored(self, callback):
        """Calls ``callback()`` when a restore is noticed."""
        self._callbacks.append(callback)

    def observe(self, number):
        """Notes the era that an answer names.

        Args:
            number: The era; None if the answer names none.

        Returns:
            Whether the answer counts; one of an earlier era tells of lost changes.
        """
        if number is None or number == self._number:
            return True
        if self._number is None:
            self._take(number)
            return True
        if not self._number < number <= self._number + MOST_STEPS:
            log_event(
                "store_answer_of_other_era",
                level="warning",
                era=number,
                known_era=self._number,
            )
            return False
        log_event("store_restored", level="warning", era=number, known_era=self._number)
        self._take(number)
        self.restored_at = self._seen_at
        for callback in self._callbacks:
            callback()
        return True

    def _take(self, number):
        self._number = number
        self._seen_at = self._clock.monotonic()
