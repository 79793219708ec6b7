"""Detects requests, and parts of prompts, that crash the servers that run them.

A request is suspected if its connection breaks while a server runs it and the server
then refuses connections. Every request that ran on the server is suspected, so a single
crash doesn't show which of them caused it. After a few crashes a request is refused.
Instances exchange crashes in their reports. A crash is identified by the name of its
server and the time of its start, so repeated reports of it count once. Parts that
different prompts share are suspected by `relay.crash_parts`.
"""

import gevent
import xxhash

from amaranthbay.kernel.errors import Verdict
from amaranthbay.observe import log_event
from amaranthbay.relay.crash_parts import CrashingParts
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
# Characters of a fingerprint; enough to tell a thousand requests or parts apart.
FINGERPRINT_LENGTH = 16
PART_FINGERPRINT_LENGTH = 10
CRASH_NAME_LENGTH = 8
# Delay before a crash is reported to other instances, as all streams on the server
# break at the same moment.
REPORT_DELAY_S = 0.02
# Reasons of an `ExchangeBroken` that a crash of the server can cause.
CRASH_REASONS = frozenset(("connection_reset", "connection_closed", "answer_cut"))


class CrashRecord:
    """Crashes by request, seen by this instance or reported by others.

    Attributes:
        parts: `CrashingParts` of the prompts.
    """

    def __init__(self, clock, accepts_connections, on_crash=lambda: None):
        """Creates the record.

        Args:
            clock: `Clock`.
            accepts_connections: Function of a `BackendServer` that returns whether it
                accepts connections.
            on_crash: Function that is called soon after a crash was seen.
        """
        self.parts = CrashingParts(clock)
        self._clock = clock
        self._accepts_connections = accepts_connections
        self._on_crash = on_crash
        self._report_job = None
        self._crashes = {}
        self._own_crashes = {}

    def note_broken(self, call, server, exc, began=False):
        """Checks in the background whether a broken exchange is due to a crash.

        Args:
            call: `Call` of the exchange.
            server: `BackendServer` that ran it.
            exc: `ExchangeBroken` that was raised.
            began: Whether the exchange is a stream that had just begun, so that a part
                of its prompt may have caused a crash.
        """
        if exc.verdict is Verdict.MAY_HAVE_RUN and exc.reason in CRASH_REASONS:
            gevent.spawn_later(PROBE_DELAY_S, self._probe_server, call, server, began)

    def _probe_server(self, call, server, began):
        if self._accepts_connections(server):
            return
        fingerprint = _fingerprint(call)
        crash = _crash_name(server)
        log_event(
            "crash_suspected",
            level="warning",
            request_id=call.request_id,
            backend_server=server.name,
            fingerprint=fingerprint,
            parts=_part_names(call) if began else (),
        )
        self._own_crashes[fingerprint, crash] = self._clock.monotonic()
        self.merge({fingerprint: (crash,)})
        if began:
            self.parts.note_crash(_part_names(call), crash)
        if not self._report_job:
            self._report_job = gevent.spawn_later(REPORT_DELAY_S, self._on_crash)

    def note_served(self, call):
        """Records that a stream has completed, or goes on after its beginning."""
        self.parts.note_served(_part_names(call))

    def merge(self, crashes):
        """Adds crashes that this or another instance has seen.

        A crash that is already known keeps the time at which it was first recorded.

        Args:
            crashes: Names of crashes by fingerprint of the request.
        """
        now = self._clock.monotonic()
        for fingerprint, names in crashes.items():
            for crash in names:
                self._crashes.setdefault(fingerprint, {}).setdefault(crash, now)
        while len(self._crashes) > MAX_SUSPECTED_REQUESTS:
            self._crashes.pop(next(iter(self._crashes)))

    def is_quarantined(self, call):
        """Returns whether a request is refused, as it would crash its server.

        It has crashed too many servers itself, or a part of its prompt has.
        """
        parts = _part_names(call)
        if self.parts.is_blocked(parts):
            _log_quarantined(call, "prompt_part", parts=parts)
            return True
        if not self._crashes:
            # The fingerprint takes longer than all other checks of a request.
            return False
        fingerprint = _fingerprint(call)
        crashed_at = self._crashes.get(fingerprint, {})
        oldest = self._clock.monotonic() - CRASH_LIFE_S
        count = sum(timestamp >= oldest for timestamp in crashed_at.values())
        if count < CRASH_LIMIT:
            return False
        _log_quarantined(call, "request", fingerprint=fingerprint, crashes=count)
        return True

    def may_crash_again(self, call):
        """Returns whether a request that may have run must not be repeated.

        A part of its prompt was blocked, and is now tried with this request.
        """
        return self.parts.was_blocked(_part_names(call))

    def report(self):
        """Returns the latest crashes seen by this instance, in the form of `merge`."""
        oldest = self._clock.monotonic() - CRASH_LIFE_S
        self._own_crashes = {
            key: timestamp
            for key, timestamp in self._own_crashes.items()
            if timestamp >= oldest
        }
        report = {}
        for fingerprint, crash in list(self._own_crashes)[-MAX_REPORTED_CRASHES:]:
            report[fingerprint] = (*report.get(fingerprint, ()), crash)
        return report

    def sweep(self):
        """Forgets crashes that no longer count."""
        oldest = self._clock.monotonic() - CRASH_LIFE_S
        for fingerprint, crashed_at in list(self._crashes.items()):
            if max(crashed_at.values()) < oldest:
                del self._crashes[fingerprint]
        self.parts.sweep()


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
    connections.give_back_unused(conn)
    return True


def _fingerprint(call):
    fingerprint = fingerprint_of(call.service.name, call.method, call.target, call.body)
    return fingerprint[:FINGERPRINT_LENGTH]


def _log_quarantined(call, cause, **fields):
    log_event("request_quarantined", request_id=call.request_id, cause=cause, **fields)


def _part_names(call):
    """Returns a short name for each shared part of a call's prompt."""
    names = (f"{call.service.name}/{part}" for part in call.head.shared_parts)
    return tuple(
        xxhash.xxh64_hexdigest(name.encode())[:PART_FINGERPRINT_LENGTH]
        for name in names
    )


def _crash_name(server):
    """Returns a name that is the same at all instances and new with each start."""
    start = f"{server.name}/{server.revision.started_ms}"
    return xxhash.xxh64_hexdigest(start.encode())[:CRASH_NAME_LENGTH]
