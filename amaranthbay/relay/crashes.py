"""Requests that crash the backend servers that run them.

A request whose connection breaks while a server runs it is a suspect if that server
then refuses connections. Other requests that ran beside it are suspects too, so that
one crash says little. After a few crashes the request is refused. Instances tell each
other of crashes in their reports; a crash is named by its server, whose name changes
with each start, so that a report may be heard any number of times.
"""

import gevent

from amaranthbay.kernel.errors import Verdict
from amaranthbay.observe import log_event
from amaranthbay.relay.exchange import ExchangeBroken, take_connection
from amaranthbay.state.crash_marks import fingerprint_of

__all__ = ["CrashRecord", "answers_connections"]

# The platform allows three crashes of one request.
CRASH_LIMIT = 3
# Crashed servers are back after some seconds; callers give a request up after a
# minute at the latest.
LIFE_S = 60.0
# A process that has crashed refuses connections from this time on.
PROBE_DELAY_S = 0.05
PROBE_TIMEOUT_S = 0.3
# Crashes that fit into a report to other instances, beside the loads.
REPORTED = 8
KEPT = 1000
# Characters of a fingerprint; enough to tell a thousand requests apart.
FINGERPRINT_LENGTH = 16
BREAKS = frozenset(("connection_reset", "connection_closed", "answer_cut"))


class CrashRecord:
    """Crashes by request, of this instance and of others."""

    def __init__(self, clock, answers):
        """Creates the record.

        Args:
            clock: `Clock`.
            answers: Function of a `BackendServer` that returns whether it takes
                connections.
        """
        self._clock = clock
        self._answers = answers
        self._crashes = {}
        self._own = {}

    def note_broken(self, call, server, exc):
        """Looks whether a server has crashed under a request.

        Args:
            call: `Call`.
            server: `BackendServer`.
            exc: `ExchangeBroken` of the request.
        """
        if exc.verdict is Verdict.MAY_HAVE_RUN and exc.reason in BREAKS:
            gevent.spawn_later(PROBE_DELAY_S, self._look, call, server)

    def _look(self, call, server):
        if self._answers(server):
            return
        fingerprint = _fingerprint(call)
        log_event(
            "crash_suspected",
            level="warning",
            request_id=call.request_id,
            backend_server=server.name,
            fingerprint=fingerprint,
        )
        self._own[fingerprint, server.name] = self._clock.monotonic()
        self.learn({fingerprint: (server.name,)})

    def learn(self, crashes):
        """Takes crashes that an instance reports.

        Args:
            crashes: Names of crashed servers by fingerprint of a request.
        """
        now = self._clock.monotonic()
        for fingerprint, servers in crashes.items():
            known = self._crashes.setdefault(fingerprint, {})
            for server in servers:
                known.setdefault(server, now)
        while len(self._crashes) > KEPT:
            self._crashes.pop(next(iter(self._crashes)))

    def is_dangerous(self, call):
        """Returns whether a request has crashed as many servers as it may."""
        if not self._crashes:
            return False
        known = self._crashes.get(_fingerprint(call), {})
        oldest = self._clock.monotonic() - LIFE_S
        return sum(at >= oldest for at in known.values()) >= CRASH_LIMIT

    def report(self):
        """Returns the latest own crashes, as `learn` takes them."""
        oldest = self._clock.monotonic() - LIFE_S
        self._own = {key: at for key, at in self._own.items() if at >= oldest}
        found = {}
        for fingerprint, server in list(self._own)[-REPORTED:]:
            found[fingerprint] = (*found.get(fingerprint, ()), server)
        return found

    def sweep(self):
        """Forgets crashes that no longer count."""
        oldest = self._clock.monotonic() - LIFE_S
        for fingerprint, known in list(self._crashes.items()):
            if max(known.values()) < oldest:
                del self._crashes[fingerprint]


def answers_connections(connections, server):
    """Returns whether a server is there: a kept connection is open, or a new one made.

    Args:
        connections: `ConnectionPool`.
        server: `BackendServer`.
    """
    try:
        conn = take_connection(connections, server, False, PROBE_TIMEOUT_S)
    except ExchangeBroken:
        # Refused, or without an answer in time: the process is gone.
        return False
    connections.give_back(conn, None)
    return True


def _fingerprint(call):
    found = fingerprint_of(call.service.name, call.method, call.target, call.body)
    return found[:FINGERPRINT_LENGTH]
