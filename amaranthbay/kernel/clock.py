"""Clock interface, so that time-dependent code can be tested."""

import time
from abc import ABC, abstractmethod
from datetime import datetime, timezone

import gevent

__all__ = ["Clock", "SystemClock"]


class Clock(ABC):
    """Source of time for every component."""

    @abstractmethod
    def now(self):
        """Returns the wall-clock time as an aware UTC datetime."""

    @abstractmethod
    def monotonic(self):
        """Returns seconds that never go back, as a float."""

    @abstractmethod
    def sleep(self, seconds):
        """Blocks the calling greenlet."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def now(self):
        return datetime.now(timezone.utc)

    def monotonic(self):
        return time.monotonic()

    def sleep(self, seconds):
        gevent.sleep(max(0.0, seconds))
