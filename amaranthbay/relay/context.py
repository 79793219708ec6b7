"""Shared state of the relay's parts."""

from dataclasses import dataclass

from amaranthbay.fleet.reports import ServerLoad
from amaranthbay.relay.choice import Candidate
from amaranthbay.scheduling.priorities import request_urgency

__all__ = ["HeldBack", "RelayContext"]

# Reasons for not sending a request to a server.
ASKED_TO_PAUSE = "asked_to_pause"
LIMIT_USED_UP = "limit_used_up"


@dataclass(frozen=True)
class HeldBack:
    """Why no server of a service may get a request now.

    Attributes:
        seconds: Seconds until the first server may get one.
        by_limit: Whether the limit of that server holds requests back, not its pause.
    """

    seconds: float
    by_limit: bool


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
        versions: `VersionHistory` of the services.
        origins: `StreamOrigins` with the versions at which streams began.
        quotas: `Quotas` of the workspaces.
        priorities: `ServicePriorities` of the services' requests.
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
    versions: object
    origins: object
    quotas: object
    priorities: object
    availability_zone: str

    def candidates(self, service, stage=None, excluded=frozenset(), version=None):
        """Returns a `Candidate` for each server of a service that may get requests.

        Args:
            service: Name of the service.
            stage: `Stage` of model servers; None for servers of any kind.
            excluded: Names of servers to leave out.
            version: Software version of the servers; None for any.
        """
        peer_loads, placers = self.peers.loads(), self.peers.placers()
        return [
            self._candidate(server, peer_loads, placers)
            for server in self._usable(service, stage, excluded, version)
            if self._takes_requests(server)
        ]

    def _takes_requests(self, server):
        return not self.pauses.left_s(server.name) and self.limits.has_room(server.name)

    def updated(self, candidates, names):
        """Returns candidates with the present loads of some servers.

        Args:
            candidates: `Candidate` of each server, as `candidates` returned them.
            names: Names of the servers to which requests were placed since.
        """
        peer_loads, placers = self.peers.loads(), self.peers.placers()
        result = []
        for candidate in candidates:
            if candidate.server.name not in names:
                result.append(candidate)
            elif self._takes_requests(candidate.server):
                result.append(self._candidate(candidate.server, peer_loads, placers))
        return result

    def held_back(self, service, stage=None, excluded=frozenset(), version=None):
        """Returns when the first server takes requests, if pauses and limits forbid it.

        Args:
            service: Name of the service.
            stage: `Stage` of model servers; None for servers of any kind.
            excluded: Names of servers to leave out.
            version: Software version of the servers; None for any.

        Returns:
            `HeldBack`, or None if some server may get a request or there is no server.
        """
        waits = [
            self._server_held_back(server.name)
            for server in self._usable(service, stage, excluded, version)
        ]
        first = min(waits, key=lambda held: held.seconds, default=None)
        return first if first is not None and first.seconds else None

    def _server_held_back(self, name):
        pause_s, limit_s = self.pauses.left_s(name), self.limits.wait_s(name)
        return HeldBack(max(pause_s, limit_s), limit_s > pause_s)

    def urgency_of(self, call):
        """Returns the urgency that model servers are told for a call, or None."""
        return request_urgency(call.priority, self.priorities.of(call.service.name))

    def check_send(self, server_name, placed):
        """Counts a request that is about to be sent to a server.

        Args:
            server_name: Name of the server.
            placed: Whether placement has counted the request for the server's limit.

        Returns:
            None if it may be sent, else the reason.
        """
        if not placed and not self.limits.withdraw(server_name):
            return LIMIT_USED_UP
        return None if self.pauses.may_send(server_name) else ASKED_TO_PAUSE

    def _usable(self, service, stage, excluded, version):
        unusable = (
            excluded | set(self.peers.switching()) | set(self.switches.switching())
        )
        usable = self.backends.usable(service, stage, version)
        if stage is not None and version is None:
            usable = self.versions.registered_only(service, usable)
        return [server for server in usable if server.name not in unusable]

    def _candidate(self, server, peer_loads, placers):
        full_s = self.outcomes.full_s(server.name)
        own_load = self.placed_load.loads().get(server.name, ServerLoad())
        load = own_load + peer_loads.get(server.name, ServerLoad())
        return Candidate(
            server=server,
            same_zone=server.availability_zone == self.availability_zone,
            running=load.running,
            own=own_load.running,
            placers=1 + placers.get(server.name, 0),
            memory_tokens=load.memory_tokens,
            prefill_tokens=load.prefill_tokens,
            failure_share=self.outcomes.failure_share(server.name),
            latency_s=self.outcomes.latency_s(server.name),
            service_s=self.outcomes.service_s(server.name),
            outdated=self.outcomes.is_outdated(server.name),
            avoided=self.outcomes.is_avoided(server.name),
            full=full_s > 0,
            full_s=full_s,
        )
