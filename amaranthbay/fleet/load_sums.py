"""Sums of the loads that peers report, kept up to date with each report.

A busy instance reads the sums several hundred times a second, and the reports of nine
peers hold more than six hundred loads.
"""

from amaranthbay.fleet.reports import ServerLoad

__all__ = ["LoadSums"]

NO_LOAD = ServerLoad()


class LoadSums:
    """Sum of the `ServerLoad` of several instances, by server."""

    def __init__(self):
        self._sums = {}
        self._loads = {}
        # Number of instances with running requests, by server.
        self._placers = {}

    def sums(self):
        """Returns the sums by name of the server; callers don't change them."""
        return self._sums

    def placers(self):
        """Returns the number of instances with requests by name of the server."""
        return self._placers

    def names(self):
        """Returns the names of the instances whose loads are in the sums."""
        return self._loads.keys()

    def replace(self, instance, loads):
        """Replaces the loads of an instance.

        Args:
            instance: Name of the instance.
            loads: `ServerLoad` by server; empty to drop the instance.
        """
        previous = self._loads.pop(instance, {})
        if loads:
            self._loads[instance] = loads
        for server, load in loads.items():
            known = previous.get(server, NO_LOAD)
            if load != known:
                self._add(server, load, known)
        for server, known in previous.items():
            if server not in loads:
                self._add(server, NO_LOAD, known)

    def _add(self, server, added, removed):
        placers = self._placers.pop(server, 0) + bool(added.running)
        placers -= bool(removed.running)
        if placers:
            self._placers[server] = placers
        total = self._sums.get(server, NO_LOAD)
        total = ServerLoad(
            total.running + added.running - removed.running,
            total.memory_tokens + added.memory_tokens - removed.memory_tokens,
            total.prefill_tokens + added.prefill_tokens - removed.prefill_tokens,
        )
        if total == NO_LOAD:
            self._sums.pop(server, None)
        else:
            self._sums[server] = total
