"""Shared state of the relay's parts."""

from dataclasses import dataclass

from amaranthbay.fleet.reports import ServerLoad
from amaranthbay.relay.choice import Candidate

__all__ = ["RelayContext"]


@dataclass(frozen=True)
class RelayContext:
    """Shared objects of one entry process.

    Attributes:
        clock: `Clock` for all times.
        rng: `random.Random` that breaks ties and spreads retries.
        codec: `CallCodec` of the platform.
        backends: `BackendPool` with the listed servers.
        peers: `Peers` with the reports of other instances.
        connections: `ConnectionPool` to backend servers.
        placed_load: `PlacedLoad` of the load placed by this instance.
        outcomes: `ServerOutcomes` of recent requests.
        budget: Function of a service's name that returns its `RepeatBudget`.
        demand: `DemandMeter` of the services' streams.
        crashes: `CrashRecord` of requests that crash servers.
        handles: `HandleRecord` of KV cache that could not be fetched.
        pauses: `ServerPauses` that servers have asked for.
        limits: `ServerLimits` that servers have named.
        switches: `SwitchRecord` of servers that change their pool.
        availability_zone: Availability zone in which the process runs.
    """

    clock: object
    rng: object
    codec: object
    backends: object
    peers: object
    connections: object
    placed_load: object
    outcomes: object
    budget: object
    demand: object
    crashes: object
    handles: object
    pauses: object
    limits: object
    switches: object
    availability_zone: str

    def candidates(self, service, stage=None, excluded=frozenset()):
        """Returns a `Candidate` for each server of a service that may get requests.

        Args:
            service: Name of the service.
            stage: `Stage` of model servers; None for servers of any kind.
            excluded: Names of servers to leave out.
        """
        peer_loads = self.peers.loads()
        return [
            self._candidate(server, peer_loads)
            for server in self._usable(service, stage, excluded)
            if not self.pauses.left_s(server.name)
        ]

    def pause_left_s(self, service, stage=None, excluded=frozenset()):
        """Returns the seconds until the first paused server takes requests again.

        Args:
            service: Name of the service.
            stage: `Stage` of model servers; None for servers of any kind.
            excluded: Names of servers to leave out.

        Returns:
            None if some server is not paused or there is no server.
        """
        names = [server.name for server in self._usable(service, stage, excluded)]
        pauses_s = [self.pauses.left_s(name) for name in names]
        return min(pauses_s) if pauses_s and all(pauses_s) else None

    def _usable(self, service, stage, excluded):
        unusable = (
            excluded | set(self.peers.switching()) | set(self.switches.switching())
        )
        usable = self.backends.usable(service, stage)
        return [server for server in usable if server.name not in unusable]

    def _candidate(self, server, peer_loads):
        load = self.placed_load.loads().get(server.name, ServerLoad())
        load += peer_loads.get(server.name, ServerLoad())
        return Candidate(
            server=server,
            same_zone=server.availability_zone == self.availability_zone,
            running=load.running,
            memory_tokens=load.memory_tokens,
            prefill_tokens=load.prefill_tokens,
            failure_share=self.outcomes.failure_share(server.name),
            latency_s=self.outcomes.latency_s(server.name),
            avoided=self.outcomes.is_avoided(server.name),
            full=self.outcomes.is_full(server.name),
        )
