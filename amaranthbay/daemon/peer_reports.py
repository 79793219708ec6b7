"""What an entry process reports to its peers, and learns from their reports."""

from amaranthbay.fleet.peers import OwnReport

__all__ = ["PeerReports"]


class PeerReports:
    """Collects the reports of this instance, and merges those of others."""

    def __init__(self, ctx, era, followers, versions, configuration_version):
        """Creates the reports of a process.

        Args:
            ctx: `RelayContext` with the knowledge that is reported.
            era: Era of the store, as `StoreHealth` knows it.
            followers: Followers by table, which the process adds at its start.
            versions: Function that returns the reported versions by table.
            configuration_version: Function that returns the version in force.
        """
        self._ctx = ctx
        self._era = era
        self._followers = followers
        self._versions = versions
        self._configuration_version = configuration_version

    def own(self):
        """Returns the `OwnReport` that is sent to peers."""
        ctx, crashes = self._ctx, self._ctx.crashes
        return OwnReport(
            dict(ctx.placed_load.loads()),
            ctx.demand.own_demands(),
            ctx.switches.switching(),
            crashes.requests.report(),
            self._versions(),
            tuple(ctx.handles.own_distrusted()),
            self._era.number,
            self._configuration_version(),
            ctx.backends.leaving(),
            ctx.limits.report(),
            crashes.parts.crash_report(),
            crashes.parts.sound_report(),
            crashes.parts.block_report(),
            crashes.requests.sound_report(),
            crashes.requests.known_report(),
        )

    def merge(self, status):
        """Merges the knowledge that another instance reports into that of this one."""
        ctx = self._ctx
        ctx.quotas.merge(status)
        self._merge_crashes(status)
        for name, last_change in status.versions.items():
            if name in self._followers:
                self._followers[name].note_newer(last_change, status.era)
        if status.leaving:
            ctx.backends.merge_leaving(status.leaving)
        if status.limits:
            ctx.limits.merge(status.limits)

    def _merge_crashes(self, status):
        requests, parts = self._ctx.crashes.requests, self._ctx.crashes.parts
        if status.crashes or status.sound_requests:
            requests.merge(status.crashes, status.sound_requests)
        if status.known_crashes:
            requests.merge_known(status.known_crashes)
        if status.crashed_parts or status.sound_parts:
            parts.merge(status.crashed_parts, status.sound_parts)
        if status.blocked_parts:
            parts.merge_blocks(status.blocked_parts)
