"""Operator interface of a daemon: status and drain."""

import msgspec

from amaranthbay.gateway.operator_calls import HEADERS, OperatorGate, SignedCall
from amaranthbay.gateway.replies import write_json, write_refusal
from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.observe import log_event
from amaranthbay.utils.http import json_exchange

__all__ = ["Drain", "Status"]

LISTED_REQUESTS = 100
LISTED_ROWS = 100
PROBE_TIMEOUT_S = 1.0


class Status:
    """Reports what a daemon knows and does; holds no prompt, answer or key."""

    def __init__(self, daemon):
        self._daemon = daemon

    def on_get(self, req, resp):
        daemon = self._daemon
        document = daemon.status() | {
            "daemons": [_daemon_entry(each) for each in daemon.directory.entries()],
            "workers": [_worker_entry(each) for each in daemon.directory.workers()],
            "requests": [_request_entry(each) for each in daemon.inflight.records()][
                :LISTED_REQUESTS
            ],
            "leases": self._rows("lease/"),
            "crash_marks": self._rows("crash/"),
        }
        write_json(resp, document)

    def _rows(self, prefix):
        """Returns rows of the table service, or None if it doesn't answer."""
        found = self._daemon.table.scan(prefix, limit=LISTED_ROWS)
        if found.is_err():
            return None
        return [
            {"name": row.key.removeprefix(prefix)} | row.value for row in found.unwrap()
        ]


class Drain:
    """Drains the daemon on the order of an operator."""

    def __init__(self, daemon):
        self._daemon = daemon
        self._gate = OperatorGate(daemon.keys, daemon.settings.instance, daemon.clock)

    def on_post(self, req, resp):
        call = SignedCall(
            req.method,
            req.path,
            req.bounded_stream.read(),
            *(req.get_header(name, default="") for name in HEADERS),
        )
        checked = self._gate.check(call)
        if checked.is_err():
            self._refuse(req, resp, checked.unwrap_err(), "")
            return
        operator = checked.unwrap().operator
        refusal = self._drain_safely()
        if refusal is not None:
            self._refuse(req, resp, refusal, operator)
            return
        daemon = self._daemon
        log_event("operator_order", order="drain", operator=operator, outcome="taken")
        daemon.stop_requested.set()
        write_json(resp, {"draining": True, "active": daemon.admission.active}, 202)

    def _refuse(self, req, resp, refusal, operator):
        log_event(
            "operator_order",
            level="warning",
            order="drain",
            operator=operator,
            outcome="refused",
            detail=refusal.detail,
        )
        write_refusal(req, resp, refusal)

    def _drain_safely(self):
        """Announces the drain; takes it back if no other daemon serves.

        The announcement comes before the probes, so that two daemons that are
        drained at the same time see each other's and neither takes the other for
        its replacement.
        """
        daemon = self._daemon
        if daemon.draining:
            return None
        daemon.draining = True
        if self._another_serves():
            return None
        daemon.draining = False
        detail = "no other daemon was found to serve; this one would be the last"
        return not_run(Reason.NOT_READY, detail, status=409)

    def _another_serves(self):
        own = self._daemon.settings.instance
        return any(
            _serves(each.address)
            for each in self._daemon.directory.entries()
            if each.instance != own and each.state == "live"
        )


def _serves(address):
    """Returns whether a daemon answers, has a configuration and isn't draining."""
    outcome = json_exchange(address, "GET", "/v1/status", timeout_s=PROBE_TIMEOUT_S)
    if outcome.is_err() or outcome.unwrap()[0] != 200:
        return False
    try:
        status = msgspec.json.decode(outcome.unwrap()[1], type=dict)
    except msgspec.DecodeError:
        return False
    return not status.get("draining", True) and status.get("config_version", 0) > 0


def _daemon_entry(entry):
    return {
        "instance": entry.instance,
        "availability_zone": entry.availability_zone,
        "address": entry.address,
        "state": entry.state,
    }


def _worker_entry(server):
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
        "backend_servers": [each.instance for each in record.servers],
    }
