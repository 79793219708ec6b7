"""Lagging load reports of the engines, and snapshots for placement."""

from dataclasses import dataclass

import gevent
import msgspec

from amaranthbay.placement.types import PoolView, ServerView
from amaranthbay.utils.http import json_exchange

__all__ = ["LoadReports"]

POLL_S = 0.5
REPORT_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class LoadReport:
    """Load of an engine as it reports it."""

    active: int
    waiting: int
    queued_tokens: int
    slots: int
    prefilling: int = 0


class LoadReports:
    """Polls the engines and keeps their newest reports."""

    def __init__(self, directory, availability_zone):
        self._directory = directory
        self._availability_zone = availability_zone
        self._reports = {}

    def view(self, service):
        """Returns the `PoolView` of a service's pools."""
        return PoolView(
            self._views(service.pools, "prefill"),
            self._views(service.pools, "decode"),
            self._availability_zone,
        )

    def _views(self, pools, role):
        servers = self._directory.servers(pools, role)
        return tuple(self._to_view(server) for server in servers)

    def _to_view(self, server):
        report = self._reports.get(server.instance)
        if report is None:
            return ServerView(server)
        return ServerView(
            server,
            active=report.active,
            waiting=report.waiting,
            queued_tokens=report.queued_tokens,
            slots=report.slots,
        )

    def run(self, pools):
        """Polls all engines of some pools until killed.

        Args:
            pools: Function that returns the names of the pools.
        """
        while True:
            for server in self._directory.servers(pools()):
                if server.role != "plain":
                    gevent.spawn(self._poll, server)
            gevent.sleep(POLL_S)

    def _poll(self, server):
        outcome = json_exchange(
            server.address, "GET", "/load", timeout_s=REPORT_TIMEOUT_S
        )
        if outcome.is_err() or outcome.unwrap()[0] != 200:
            return
        try:
            report = msgspec.json.decode(outcome.unwrap()[1], type=LoadReport)
        except msgspec.DecodeError:
            return
        self._reports[server.instance] = report
