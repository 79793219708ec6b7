"""The planned stop of an entry process within the platform's grace period."""

from amaranthbay.daemon.ticks import MAX_REGULAR_AGE_S
from amaranthbay.kernel.errors import ProcessStops
from amaranthbay.observe import log_event

__all__ = ["CHECK_INTERVAL_S", "PlannedStop", "lookup_ttl_s", "serve_s"]

# Fraction of the grace period in which new requests are still served after SIGTERM,
# since callers use cached addresses for a while.
SERVE_FRACTION = 0.38
# A long request that is sent later must not be cut at the end, however long the grace
# period is.
MAX_SERVE_S = 3.0
# Some callers cache the answer of a lookup for up to this many times its TTL.
MAX_TTL_OVERRUN = 3.0
# Fraction of the grace period after which the process ends with requests in progress.
STOP_FRACTION = 0.92
# Fraction of the grace period by which the last answers must be written.
ANSWER_FRACTION = 0.97
# Interval of checks whether an instance is ready, or its last requests have ended.
CHECK_INTERVAL_S = 0.05


def serve_s(settings):
    """Returns for how many seconds new requests are served after SIGTERM."""
    return min(MAX_SERVE_S, SERVE_FRACTION * settings.stop_s)


def lookup_ttl_s(settings):
    """Returns the TTL in seconds of the answers of lookups.

    Callers that exceed it by the factor `MAX_TTL_OVERRUN` still leave this instance
    before it closes its listener in a planned stop.
    """
    shortest_s = max(0.0, serve_s(settings) - MAX_REGULAR_AGE_S)
    return min(settings.lookup_ttl_s, shortest_s / MAX_TTL_OVERRUN)


class PlannedStop:
    """Drains a listener.

    New requests are served first, then refused while the others end. Those that don't
    end in time are answered, unless a part of their answer was sent.

    The process may have been paused since the signal was sent. What has to happen
    before it is killed counts from the earliest time of the signal.

    Attributes:
        serves_until: Monotonic time until which new requests are served.
    """

    def __init__(self, listener, clock, settings, signalled_at):
        """Begins the stop now.

        Args:
            listener: `Listener` to drain.
            clock: `Clock`.
            settings: Function that returns the `EntrySettings` in force.
            signalled_at: Earliest monotonic time of the signal.
        """
        self._listener = listener
        self._clock = clock
        self._settings = settings
        self._signalled_at = signalled_at
        self._began_at = clock.monotonic()
        self.serves_until = signalled_at + serve_s(settings())

    def run(self):
        """Drains the listener; returns when the process has to end."""
        self._listener.draining = True
        age_s = round(self._began_at - self._signalled_at, 3)
        requests = len(self._listener.busy)
        log_event("draining", requests=requests, signal_age_s=age_s)
        self._clock.sleep(max(0.0, self.serves_until - self._began_at))
        self._close_listener()
        self._end_requests()
        log_event("stopped", requests=len(self._listener.busy))

    def _close_listener(self):
        self._listener.close()
        self._listener.close_idle()
        # Requests may have arrived that no greenlet has begun to read.
        self._clock.sleep(CHECK_INTERVAL_S)
        self._listener.close_idle()

    def _end_requests(self):
        """Waits for the requests in progress, and answers those that don't end."""
        lasts_s = STOP_FRACTION * self._settings().stop_s
        self._wait_for_requests(self._signalled_at + lasts_s)
        self._listener.interrupt_busy(ProcessStops("the daemon has to stop"))
        self._wait_for_requests(self._began_at + lasts_s)
        answers_by = self._began_at + ANSWER_FRACTION * self._settings().stop_s
        while self._listener.has_unanswered() and self._clock.monotonic() < answers_by:
            self._clock.sleep(CHECK_INTERVAL_S)

    def _wait_for_requests(self, ends_at):
        while self._listener.has_requests() and self._clock.monotonic() < ends_at:
            self._clock.sleep(CHECK_INTERVAL_S)
            self._listener.close_idle()
