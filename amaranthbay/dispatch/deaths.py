"""Finds out whether a backend server died, and marks what ran on it."""

import gevent.event

from amaranthbay.observe import log_event
from amaranthbay.state.crash_marks import SHARED
from amaranthbay.utils.http import json_exchange

__all__ = ["DeathReporter", "refuses_connections"]

PROBE_TIMEOUT_S = 0.5


def refuses_connections(server):
    """Returns whether nothing listens at a server's address any more.

    Silence is no proof: the server may be slow or cut off from this daemon.
    """
    outcome = json_exchange(server.address, "GET", "/load", timeout_s=PROBE_TIMEOUT_S)
    return outcome.is_err() and outcome.unwrap_err().refused


class DeathReporter:
    """Reports the death of a server once, for all requests in flight on it."""

    def __init__(self, table, crashes, claims, directory, is_dead=refuses_connections):
        """Creates the reporter.

        Args:
            table: `InFlightTable`.
            crashes: `CrashMarks`.
            claims: `SuspectClaims`.
            directory: `BackendDirectory`.
            is_dead: Function of a server.
        """
        self._table = table
        self._crashes = crashes
        self._claims = claims
        self._directory = directory
        self._is_dead = is_dead
        self._running = {}

    def check(self, server):
        """Returns whether a server died; its marks are written by then."""
        pending = self._running.get(server.instance)
        if pending is not None:
            return pending.get()
        pending = self._running[server.instance] = gevent.event.AsyncResult()
        job = gevent.spawn(self._report, server, pending)
        return job.get()

    def _report(self, server, pending):
        """Runs in a greenlet of its own, which a leaving caller can't interrupt."""
        died = False
        try:
            died = self._is_dead(server)
            if died:
                self._blame(server)
        finally:
            del self._running[server.instance]
            pending.set(died)
        return died

    def _blame(self, server):
        self._directory.report_failure(server.instance)
        known = self._directory.find(server.instance)
        if known is not None and known.leaving:
            return
        records = self._table.on_server(server.instance)
        alone = [each for each in records if each.suspect]
        log_event(
            "backend_server_died",
            level="warning",
            backend_server=server.instance,
            in_flight=len(records),
            suspects=[each.fingerprint for each in alone],
        )
        if alone:
            for each in alone:
                self._crashes.blame([each.fingerprint], each.attempt_id)
            return
        fingerprints = [each.fingerprint for each in records if each.fingerprint]
        if fingerprints and self._claims.holder(server.instance) is None:
            self._crashes.blame(fingerprints, SHARED)
