"""Admission: bounds the requests that a daemon has in progress."""

from datetime import timedelta

from result import Err, Ok

from amaranthbay.kernel.errors import Reason, not_run

__all__ = ["BoundedAdmission"]

# Patient work is refused first, so that a daemon keeps room for interactive calls.
PATIENT_SHARE = 0.8
RETRY_AFTER = timedelta(seconds=1)


class BoundedAdmission:
    """Admits a bounded number of requests."""

    def __init__(self, limit):
        self._limit = limit
        self.active = 0

    def admit(self, work):
        """Returns ``Result[release function, Refusal]``."""
        limit = self._limit if work.interactive else self._limit * PATIENT_SHARE
        if self.active >= limit:
            detail = "the daemon has too many requests in progress"
            return Err(not_run(Reason.OVERLOADED, detail, 503, RETRY_AFTER))
        self.active += 1
        return Ok(self._release)

    def _release(self):
        self.active -= 1
