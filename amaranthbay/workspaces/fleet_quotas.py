"""Connects the quotas to the parts of an entry process."""

from amaranthbay.workspaces.buckets import QuotaBounds
from amaranthbay.workspaces.quotas import Quotas
from amaranthbay.workspaces.shares import FleetShares

__all__ = ["create_quotas"]


def create_quotas(daemon, process_number, choose):
    """Creates the `Quotas` of an entry process.

    Args:
        daemon: `EntryDaemon` with its settings, clock, configuration and peers.
        process_number: Number that identifies the process among its peers.
        choose: Function of all registrations that returns the chosen instances.
    """

    def bounds():
        settings = daemon.settings
        return QuotaBounds(
            settings.quota_window_s,
            settings.quota_overshoot,
            settings.quota_slack_tokens,
        )

    def find_workspace(name):
        table = daemon.configuration.table
        if table is None or table.workspaces is None:
            return None
        return table.workspaces.named(name)

    return Quotas(
        daemon.clock,
        FleetShares(daemon.clock, daemon.peers, choose, lambda: daemon.settings.stop_s),
        process_number,
        bounds,
        find_workspace,
        daemon.rng,
        daemon.health.time.now,
        daemon.peers.report_soon,
        daemon.peers.join,
    )
