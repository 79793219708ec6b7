"""Detects requests that crash the backend servers that run them.

A request is suspected if its connection breaks while a server runs it and the server
then refuses connections. Every request that ran on the server is suspected, so a single
crash doesn't show which of them caused it. After a few crashes a request is refused.
Instances exchange crashes in their reports. A crash is identified by the name of its
server, which changes with each start, so repeated reports of it count once.
"""

import gevent

from amaranthbay.kernel.errors import Verdict
from amaranthbay.observe import log_event
from amaranthbay.relay.exchange import ExchangeBroken, take_connection
from amaranthbay.state.crash_marks import fingerprint_of

__all__ = ["CrashRecord", "accepts_connections"]

# The platform allows three crashes of one request.
CRASH_LIMIT = 3
# Time for which a crash counts. Crashed servers are back after some seconds, and
# callers give up a request after a minute at the latest.
CRASH_LIFE_S = 60.0
# A crashed process refuses connections after this time at the latest.
PROBE_DELAY_S = 0.05
PROBE_TIMEOUT_S = 0.3
# Largest number of crashes in a report to other instances, which also has to hold the
# loads.
MAX_REPORTED_CRASHES = 8
# Largest number of suspected requests that are kept; the one known longest goes first.
MAX_SUSPECTED_REQUESTS = 1000
# Characters of a fingerprint; enough to tell a thousand requests apart.
FINGERPRINT_LENGTH = 16
# Reasons of an `ExchangeBroken` that a crash of the server can cause.
CRASH_REASONS = frozenset(("connection_reset", "connection_closed", "answer_cut"))


class CrashRecord:
    """Crashes by request, seen by this instance or reported by others."""

    def __init__(self, clock, accepts_connections):
        """Creates the record.

        Args:
            clock: `Clock`.
            accepts_connections: Function of a `BackendServer` that returns whether it
                accepts connections.
        """
        self._clock = clock
        self._accepts_connections = accepts_connections
        self._crashes = {}
        self._own_crashes = {}

    def note_broken(self, call, server, exc):
        """Checks in the background whether a broken exchange is due to a crash.

        Args:
            call: `Call` of the exchange.
            server: `BackendServer` that ran it.
            exc: `ExchangeBroken` that was raised.
        """
        if exc.verdict is Verdict.MAY_HAVE_RUN and exc.reason in CRASH_REASONS:
            gevent.spawn_later(PROBE_DELAY_S, self._probe_server, call, server)

    def _probe_server(self, call, server):
        if self._accepts_connections(server):
            return
        fingerprint = _fingerprint(call)
        log_event(
            "crash_suspected",
            level="warning",
            request_id=call.request_id,
            backend_server=server.name,
            fingerprint=fingerprint,
        )
        self._own_crashes[fingerprint, server.name] = self._clock.monotonic()
        self.merge({fingerprint: (server.name,)})

    def merge(self, crashes):
        """Adds crashes that this or another instance has seen.

        A crash that is already known keeps the time at which it was first recorded.

        Args:
            crashes: Names of crashed servers by fingerprint of the request.
        """
        now = self._clock.monotonic()
        for fingerprint, servers in crashes.items():
            for server in servers:
                self._crashes.setdefault(fingerprint, {}).setdefault(server, now)
        while len(self._crashes) > MAX_SUSPECTED_REQUESTS:
            self._crashes.pop(next(iter(self._crashes)))

    def is_quarantined(self, call):
        """Returns whether a request is refused, as it has crashed too many servers."""
        if not self._crashes:
            return False
        crashed_at = self._crashes.get(_fingerprint(call), {})
        oldest = self._clock.monotonic() - CRASH_LIFE_S
        return (
            sum(timestamp >= oldest for timestamp in crashed_at.values()) >= CRASH_LIMIT
        )

    def report(self):
        """Returns the latest crashes seen by this instance, in the form of `merge`."""
        oldest = self._clock.monotonic() - CRASH_LIFE_S
        self._own_crashes = {
            key: timestamp
            for key, timestamp in self._own_crashes.items()
            if timestamp >= oldest
        }
        report = {}
        for fingerprint, server in list(self._own_crashes)[-MAX_REPORTED_CRASHES:]:
            report[fingerprint] = (*report.get(fingerprint, ()), server)
        return report

    def sweep(self):
        """Forgets crashes that no longer count."""
        oldest = self._clock.monotonic() - CRASH_LIFE_S
        for fingerprint, crashed_at in list(self._crashes.items()):
            if max(crashed_at.values()) < oldest:
                del self._crashes[fingerprint]


def accepts_connections(connections, server):
    """Returns whether a server has an open idle connection or accepts a new one.

    Args:
        connections: `ConnectionPool` with the idle connections.
        server: `BackendServer` to check.
    """
    try:
        conn = take_connection(connections, server, False, PROBE_TIMEOUT_S)
    except ExchangeBroken:
        # The process is gone if it refuses the connection or doesn't answer in time.
        return False
    connections.give_back(conn, None)
    return True


def _fingerprint(call):
    fingerprint = fingerprint_of(call.service.name, call.method, call.target, call.body)
    return fingerprint[:FINGERPRINT_LENGTH]
