"""Clock interface, which tests replace by a clock of their own."""

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
        """Returns the monotonic time in seconds, as a float."""

    @abstractmethod
    def sleep(self, seconds):
        """Blocks the calling greenlet for some seconds."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def now(self):
        return datetime.now(timezone.utc)

    def monotonic(self):
        return time.monotonic()

    def sleep(self, seconds):
        gevent.sleep(max(0.0, seconds))
