"""Interface through which a daemon's components report metrics.

A component calls `current_metrics` each time it reports, because the daemon selects
the implementation after the components have been imported.
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
    """Values that are sampled at each export.

    Attributes:
        QUEUE: Number of admitted or queued requests in a daemon; number of streams
            that wait for backend servers in an entry process.
        SLOTS: Number of attempts that run or are being cancelled, each of which holds
            slots on backend servers.
        CANCELS: Number of cancels that no backend server has acknowledged.
        CONFIGURATION: Version of the configuration in force; 0 before the first.
        STORE_SILENCE: Seconds since the store last answered.
        CALLERS: Number of connections of callers that have a place.
        MEMORY: Bytes that messages and connections hold.
    """

    QUEUE = "queue"
    SLOTS = "slots"
    CANCELS = "cancels"
    CONFIGURATION = "configuration"
    STORE_SILENCE = "store_silence"
    CALLERS = "callers"
    MEMORY = "memory"


class Step(StrEnum):
    """Steps of a request whose duration is recorded."""

    QUEUE = "queue"
    PREFILL = "prefill"
    FIRST_EVENT = "first_event"
    ATTEMPT = "attempt"


class Direction(StrEnum):
    """Direction of the traffic between daemons."""

    TRANSMIT = "transmit"
    RECEIVE = "receive"


class Metrics:
    """Discards all reports; base class of the implementations that export them.

    No method raises, and only `close` may block, for a limited time.
    """

    def request_ended(self, service, verdict, reason):
        """Counts an ended request by service, verdict and reason.

        Args:
            service: Name of the service.
            verdict: Whether the request ran.
            reason: Reason code of the refusal, ``answered``, or ``broken`` or
                ``closed`` for an answer that ended early.
        """

    def workspace_requested(self, workspace):
        """Counts a request of a workspace by its name; few names are told apart."""

    def workspace_refused(self, workspace, reason):
        """Counts a refused request of a workspace by its name and the reason code."""

    def goodput(self, service):
        """Counts an answer that met its latency targets."""

    def first_token(self, service, seconds):
        """Records the seconds from arrival to the first token or byte."""

    def prefill_wasted(self, tokens):
        """Counts prompt tokens computed for an attempt that yielded no output token."""

    def retried(self):
        """Counts an attempt after the first of its request."""

    def connection_opened(self, service):
        """Counts a new connection to a backend server of a service."""

    def caller_dropped(self, reason):
        """Counts a caller who loses memory or a place to others, by the reason."""

    def store_called(self, call, outcome):
        """Counts a call to the platform's store by its name and its outcome."""

    def repeat_requested(self, service, granted):
        """Counts a request for a repeat, which the retry budget granted or denied."""

    def quota_refused(self, workspace, units):
        """Counts the units of a request that was refused over its quota."""

    def step_ended(self, service, step, seconds):
        """Records the seconds that a request spent in a `Step`."""

    def control_bytes(self, direction, count):
        """Counts bytes sent to or received from other daemons, by `Direction`."""

    def observe_gauge(self, gauge, read):
        """Registers the source of a `Gauge`.

        Args:
            gauge: The `Gauge`.
            read: Function that returns its value; called at each export.
        """

    def close(self):
        """Stops the export."""


_current = [Metrics()]


def current_metrics():
    """Returns the `Metrics` in use by this process."""
    return _current[0]


def use_metrics(metrics):
    """Replaces the `Metrics` of this process, closing the old one; returns the new."""
    current_metrics().close()
    _current[0] = metrics
    return metrics
