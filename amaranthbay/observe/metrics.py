"""What the parts of a daemon report as metrics, and the default that reports none.

A part calls `current_metrics` each time it reports, since the daemon chooses the
implementation after the parts have been imported.
"""

from enum import StrEnum

__all__ = [
    "Direction",
    "Gauge",
    "Metrics",
    "configure_metrics",
    "current_metrics",
]


class Gauge(StrEnum):
    """Values that are read when metrics are exported."""

    QUEUE = "queue"
    SLOTS = "slots"
    CANCELS = "cancels"
    CONFIGURATION = "configuration"


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


def configure_metrics(endpoint, **identity):
    """Starts the export to a collector; without an endpoint nothing is reported.

    Args:
        endpoint: HTTP address of the collector, or an empty text.
        **identity: ``instance``, ``availability_zone`` and ``incarnation``.

    Returns:
        The `Metrics` of this process.
    """
    current_metrics().close()
    _current[0] = Metrics()
    if endpoint:
        # Imported only if used: the library takes several MB of memory.
        from amaranthbay.observe.otel import OtelMetrics

        _current[0] = OtelMetrics(endpoint, identity)
    return _current[0]
