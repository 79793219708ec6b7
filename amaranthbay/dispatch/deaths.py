"""Detects the death of a backend server and marks the requests that ran on it."""

import gevent
import gevent.event

from amaranthbay.observe import log_event
from amaranthbay.state.crash_marks import SHARED_DEATH
from amaranthbay.utils.http import exchange_whole

__all__ = ["DeathReporter", "refuses_connections"]

PROBE_TIMEOUT_S = 0.5
PROBE_INTERVAL_S = 0.05
PROBE_TRIES = 20


def refuses_connections(server):
    """Returns whether a server refuses connections, which proves that it died.

    A timeout proves nothing: the server may be slow or unreachable from this daemon. A
    process that is exiting accepts connections for a moment and resets them, so a
    probe that breaks is repeated.
    """
    for _ in range(PROBE_TRIES):
        outcome = exchange_whole(
            server.address, "GET", "/load", timeout_s=PROBE_TIMEOUT_S
        )
        if outcome.is_ok():
            return False
        failure = outcome.unwrap_err()
        if failure.refused or failure.timed_out:
            return failure.refused
        gevent.sleep(PROBE_INTERVAL_S)
    return False


class DeathReporter:
    """Probes servers after failures, once for all requests in flight on a server."""

    def __init__(self, table, crashes, claims, directory, is_dead=refuses_connections):
        """Creates the reporter.

        Args:
            table: `InFlightTable` of this daemon.
            crashes: `CrashMarks` that get the suspects.
            claims: `SuspectClaims` that tell whether a suspect runs on the server.
            directory: `BackendDirectory` that is informed of the death.
            is_dead: Function of a `BackendServer` that returns whether it died.
        """
        self._table = table
        self._crashes = crashes
        self._claims = claims
        self._directory = directory
        self._is_dead = is_dead
        self._pending_checks = {}

    def check(self, server):
        """Returns whether a server died; if so, its requests have been marked."""
        result = self._pending_checks.get(server.instance)
        if result is not None:
            return result.get()
        result = self._pending_checks[server.instance] = gevent.event.AsyncResult()
        greenlet = gevent.spawn(self._run_check, server, result)
        return greenlet.get()

    def _run_check(self, server, result):
        """Runs in its own greenlet, which isn't killed if the caller disconnects."""
        died = False
        try:
            died = self._is_dead(server)
            if died:
                self._mark_suspects(server)
        finally:
            del self._pending_checks[server.instance]
            result.set(died)
        return died

    def _mark_suspects(self, server):
        """Marks the requests in flight on a dead server as suspects.

        If a known suspect ran on it, only that suspect is marked, by the daemon that
        ran it. The death of a leaving server is planned, so nothing is marked.
        """
        self._directory.report_failure(server.instance)
        listed = self._directory.find(server.instance)
        if listed is not None and listed.leaving:
            return
        records = self._table.on_server(server.instance)
        suspects = [record for record in records if record.suspect]
        log_event(
            "backend_server_died",
            level="warning",
            backend_server=server.instance,
            in_flight=len(records),
            suspects=[record.fingerprint for record in suspects],
        )
        if suspects:
            for record in suspects:
                self._crashes.record_death([record.fingerprint], record.attempt_id)
            return
        fingerprints = [record.fingerprint for record in records if record.fingerprint]
        if fingerprints and self._claims.active_claim(server.instance) is None:
            self._crashes.record_death(fingerprints, SHARED_DEATH)
