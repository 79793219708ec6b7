"""Detects requests, and parts of prompts, that crash the servers that run them.

A request is suspected if its connection breaks while a server runs it and the server
then refuses connections. Every request that ran on the server is suspected, so a single
crash doesn't show which of them caused it. After a few crashes a request is refused.
Instances exchange crashes in their reports. A crash is identified by the name of its
server and the time of its start, so repeated reports of it count once.

`relay.crash_requests` decides which requests are refused, and for how long, and
`relay.crash_parts` which parts that different prompts share; `relay.crash_log` keeps
both.
"""

import gevent
import xxhash

from amaranthbay.kernel.errors import Verdict
from amaranthbay.observe import log_event
from amaranthbay.relay.crash_parts import CrashingParts
from amaranthbay.relay.crash_requests import CRASH_LIMIT, CrashingRequests
from amaranthbay.relay.exchange import ExchangeBroken, take_connection
from amaranthbay.state.crash_marks import fingerprint_of

__all__ = ["CrashRecord", "accepts_connections"]

# A crashed process refuses connections after this time at the latest.
PROBE_DELAY_S = 0.05
PROBE_TIMEOUT_S = 0.3
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
        requests: `CrashingRequests`.
        parts: `CrashingParts` of the prompts.
    """

    def __init__(self, clock, accepts_connections, on_crash=lambda: None, log=None):
        """Creates the record.

        Args:
            clock: `Clock`.
            accepts_connections: Function of a `BackendServer` that returns whether it
                accepts connections.
            on_crash: Function that is called soon after a crash was seen.
            log: `CrashLog` that keeps what this instance sees; None for none.
        """
        self.requests = CrashingRequests(clock)
        self.parts = CrashingParts(clock)
        self._log = log
        self._clock = clock
        self._accepts_connections = accepts_connections
        self._on_crash = on_crash
        self._report_job = None

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
        parts = _part_names(call) if began else ()
        self.requests.note_crash(fingerprint, crash)
        self.parts.note_crash(parts, crash)
        log_event(
            "crash_suspected",
            level="warning",
            request_id=call.request_id,
            backend_server=server.name,
            fingerprint=fingerprint,
            crashes=self.requests.crash_count(fingerprint),
            parts=parts,
        )
        if self._log is not None:
            now = self._clock.monotonic()
            self._log.note_crash(crash, now, (fingerprint,), parts)
        if not self._report_job:
            self._report_job = gevent.spawn_later(REPORT_DELAY_S, self._on_crash)

    def note_served(self, call):
        """Records that a request was answered, or that its stream goes on.

        Its server has begun to run it without a crash.
        """
        parts = self.parts.note_served(_part_names(call))
        requests = ()
        if self.requests:
            fingerprint = _fingerprint(call)
            if self.requests.note_served(fingerprint):
                requests = (fingerprint,)
        if self._log is not None and (requests or parts):
            self._log.note_sound(requests, parts)

    def replay(self, seen_at, crash, requests, parts):
        """Adds what was recorded before; must be called in the order of time.

        Args:
            seen_at: Monotonic time.
            crash: Name of a crash; empty if the rest was found sound.
            requests: Fingerprints of requests.
            parts: Parts of prompts.
        """
        for fingerprint in requests:
            if crash:
                self.requests.add(fingerprint, crash, seen_at)
            else:
                self.requests.clear(fingerprint, seen_at)
        self.parts.replay(seen_at, crash, parts)

    def record_again(self):
        """Records all crashes again, as a restored store may lack them."""
        if self._log is None:
            return
        for crash, (crashed_at, requests) in self.requests.crashes_by_name().items():
            self._log.note_crash(crash, crashed_at, requests)
        for crash, (crashed_at, parts) in self.parts.crashes_by_name().items():
            self._log.note_crash(crash, crashed_at, (), parts)

    def retell(self):
        """Tells other instances of all crashes, as one of them has started."""
        self.requests.retell()
        self.parts.retell()

    def is_quarantined(self, call):
        """Returns whether a request is refused, as it would crash its server.

        It has crashed too many servers itself, or a part of its prompt has.
        """
        parts = _part_names(call)
        if self.parts.is_blocked(parts):
            _log_quarantined(call, "prompt_part", parts=parts)
            return True
        if not self.requests:
            # The fingerprint takes longer than all other checks of a request.
            return False
        fingerprint = _fingerprint(call)
        if not self.requests.is_blocked(fingerprint):
            return False
        crashes = self.requests.crash_count(fingerprint)
        _log_quarantined(call, "request", fingerprint=fingerprint, crashes=crashes)
        return True

    def may_crash_again(self, call):
        """Returns whether a request that may have run must not be repeated.

        It, or a part of its prompt, was blocked and is now tried again.
        """
        if self.parts.was_blocked(_part_names(call)):
            return True
        if not self.requests:
            return False
        return self.requests.crash_count(_fingerprint(call)) >= CRASH_LIMIT

    def sweep(self):
        """Forgets crashes that no longer count."""
        self.requests.sweep()
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
