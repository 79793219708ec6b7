"""Falcon resources for operators: the status and the drain of a daemon."""

from collections import Counter

from amaranthbay.gateway.operator_calls import (
    AUTH_HEADERS,
    OperatorAuthenticator,
    SignedCall,
)
from amaranthbay.gateway.replies import write_json, write_refusal
from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.observe import log_event
from amaranthbay.utils.decoding import decode_json
from amaranthbay.utils.http import exchange_whole

__all__ = ["Drain", "Status"]

MAX_LISTED_REQUESTS = 100
MAX_LISTED_ROWS = 100
PROBE_TIMEOUT_S = 1.0
# A single death may have been caused by another request.
MIN_QUARANTINE_DEATHS = 2


class Status:
    """``GET /v1/status``: state of a daemon, without prompts, answers and keys."""

    def __init__(self, daemon):
        self._daemon = daemon

    def on_get(self, req, resp):
        daemon = self._daemon
        marks = self._rows("crash/")
        document = daemon.status() | {
            "daemons": [_daemon_entry(entry) for entry in daemon.directory.daemons()],
            "workers": [
                _server_entry(server) for server in daemon.directory.backend_servers()
            ],
            "requests": [
                _request_entry(record) for record in daemon.inflight.records()
            ][:MAX_LISTED_REQUESTS],
            "leases": self._rows("lease/"),
            "crash_marks": marks,
            "quarantined": _quarantined(marks, daemon.configuration()),
        }
        write_json(resp, document)

    def _rows(self, prefix):
        """Reads the first `MAX_LISTED_ROWS` rows whose keys have a prefix.

        Returns:
            Values of the rows as mappings, each with the rest of its key added as
            ``name``; None if the table service doesn't answer.
        """
        scanned = self._daemon.table.scan(prefix, limit=MAX_LISTED_ROWS)
        if scanned.is_err():
            return None
        return [
            {"name": row.key.removeprefix(prefix)} | row.value
            for row in scanned.unwrap()
        ]


class Drain:
    """``POST /v1/drain``: drains the daemon on the order of an operator."""

    def __init__(self, daemon):
        self._daemon = daemon
        self._authenticator = OperatorAuthenticator(
            daemon.keys, daemon.settings.instance, daemon.clock
        )

    def on_post(self, req, resp):
        call = SignedCall(
            req.method,
            req.path,
            req.bounded_stream.read(),
            *(req.get_header(name, default="") for name in AUTH_HEADERS),
        )
        # A key rotation replaces the key files while the daemon runs.
        self._daemon.keys.reload()
        checked = self._authenticator.check(call)
        if checked.is_err():
            self._refuse(req, resp, checked.unwrap_err(), "")
            return
        operator = checked.unwrap().operator
        refusal = self._set_draining()
        if refusal is not None:
            self._refuse(req, resp, refusal, operator)
            return
        daemon = self._daemon
        log_event("operator_order", order="drain", operator=operator, outcome="taken")
        daemon.stop_requested.set()
        write_json(resp, {"draining": True, "active": daemon.admission.active}, 202)

    def _refuse(self, req, resp, refusal, operator):
        """Logs and writes a refusal.

        Args:
            req: Falcon request.
            resp: Falcon response.
            refusal: `Refusal` of the order.
            operator: Name of the operator; empty if not authenticated.
        """
        log_event(
            "operator_order",
            level="warning",
            order="drain",
            operator=operator,
            outcome="refused",
            detail=refusal.detail,
        )
        write_refusal(req, resp, refusal)

    def _set_draining(self):
        """Sets the daemon to draining if another daemon serves.

        The flag is set before the other daemons are probed, and reset if none of them
        serves. Two daemons that are drained at the same time thus see each other
        draining, and neither counts the other as its replacement.

        Returns:
            None if the daemon drains, also if it did before; `Refusal` otherwise.
        """
        daemon = self._daemon
        if daemon.draining:
            return None
        daemon.draining = True
        if self._another_daemon_serves():
            return None
        daemon.draining = False
        detail = "no other daemon was found to serve; this one would be the last"
        return not_run(Reason.NOT_READY, detail, status=409)

    def _another_daemon_serves(self):
        own_instance = self._daemon.settings.instance
        return any(
            _serves(entry.address)
            for entry in self._daemon.directory.daemons()
            if entry.instance != own_instance and entry.state == "live"
        )


def _serves(address):
    """Returns whether a daemon answers, has a configuration and isn't draining."""
    outcome = exchange_whole(address, "GET", "/v1/status", timeout_s=PROBE_TIMEOUT_S)
    if outcome.is_err() or outcome.unwrap()[0] != 200:
        return False
    decoded = decode_json(outcome.unwrap()[1], dict)
    if decoded.is_err():
        return False
    status = decoded.unwrap()
    return not status.get("draining", True) and status.get("config_version", 0) > 0


def _quarantined(marks, cfg):
    """Returns the fingerprints of the requests that are refused for their crashes.

    Args:
        marks: Rows of crash marks, each with one death of a backend server that a
            request may have caused; None if they are unknown.
        cfg: `Configuration` with the crash limit, or None.

    Returns:
        Sorted fingerprints with at least as many deaths as the limit; None if the
        marks or the configuration are unknown.
    """
    if marks is None or cfg is None:
        return None
    deaths = Counter(mark.get("fingerprint", mark["name"]) for mark in marks)
    limit = max(MIN_QUARANTINE_DEATHS, cfg.crash_limit)
    return sorted(
        fingerprint for fingerprint, count in deaths.items() if count >= limit
    )


def _daemon_entry(entry):
    return {
        "instance": entry.instance,
        "availability_zone": entry.availability_zone,
        "address": entry.address,
        "state": entry.state,
    }


def _server_entry(server):
    return {
        "instance": server.instance,
        "pool": server.pool,
        "role": server.role,
        "availability_zone": server.availability_zone,
        "state": "leaving" if server.leaving else "live",
    }


def _request_entry(record):
    return {
        "request_id": record.request_id,
        "attempt_id": record.attempt_id,
        "backend_servers": [server.instance for server in record.servers],
    }
