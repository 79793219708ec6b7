"""What the parts of a daemon report as metrics, and the default that reports none.

A part calls `current_metrics` each time it reports, since the daemon chooses the
implementation after the parts have been imported.
"""

from enum import StrEnum

__all__ = [
    "Direction",
    "Gauge",
    "Metrics",
    "Step",
    "current_metrics",
    "use_metrics",
]


class Gauge(StrEnum):
    """Values that are read when metrics are exported."""

    QUEUE = "queue"
    SLOTS = "slots"
    CANCELS = "cancels"
    CONFIGURATION = "configuration"
    STORE_SILENCE = "store_silence"


class Step(StrEnum):
    """Steps of a request whose time is recorded."""

    QUEUE = "queue"
    PREFILL = "prefill"
    FIRST_EVENT = "first_event"
    ATTEMPT = "attempt"


class Direction(StrEnum):
    """Direction of control traffic."""

    TRANSMIT = "transmit"
    RECEIVE = "receive"


class Metrics:
    """Reports nothing; the base class of implementations that do.

    No method blocks and none raises.
    """

    def request_ended(self, service, verdict, reason):
        """Counts a request by its end; the reason of an answer is ``answered``."""

    def goodput(self, service):
        """Counts an answer that met its targets."""

    def first_token(self, service, seconds):
        """Records the time from arrival to the first token or byte."""

    def prefill_wasted(self, tokens):
        """Counts prompt tokens that were computed and gave no token."""

    def retried(self):
        """Counts an attempt after the first one of its request."""

    def connection_opened(self, service):
        """Counts a new connection to a backend server of a service."""

    def store_called(self, call, outcome):
        """Counts a call to the platform's store by its outcome."""

    def repeat_asked(self, service, granted):
        """Counts a repeat that the budget has granted or denied."""

    def step_ended(self, service, step, seconds):
        """Records the time that a request spent in a `Step`."""

    def control_bytes(self, direction, count):
        """Counts bytes between daemons; direction is a `Direction`."""

    def watch(self, gauge, read):
        """Reads a `Gauge` with a function at each export."""

    def close(self):
        """Ends the export."""


_current = [Metrics()]


def current_metrics():
    """Returns the metrics of this process."""
    return _current[0]


def use_metrics(metrics):
    """Makes an implementation that of this process and returns it."""
    current_metrics().close()
    _current[0] = metrics
    return metrics
