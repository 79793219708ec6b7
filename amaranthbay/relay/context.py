"""What the relay's parts share."""

from dataclasses import dataclass

from amaranthbay.fleet.reports import ServerLoad
from amaranthbay.relay.choice import Candidate

__all__ = ["RelayContext"]


@dataclass(frozen=True)
class RelayContext:
    """Parts of one entry process.

    Attributes:
        clock: `Clock`.
        rng: `random.Random`.
        codec: `CallCodec`.
        backends: `BackendPool`.
        peers: `Peers`.
        connections: `ConnectionPool`.
        ledger: `WorkLedger`.
        outcomes: `ServerOutcomes`.
        budget: Function of a service's name that returns its `RepeatBudget`.
        demand: `DemandMeter`.
        crashes: `CrashRecord`.
        handles: `HandleRecord`.
        switching: Function that returns the stage of each server that this daemon
            has ordered into another pool.
        availability_zone: Where the process runs.
    """

    clock: object
    rng: object
    codec: object
    backends: object
    peers: object
    connections: object
    ledger: object
    outcomes: object
    budget: object
    demand: object
    crashes: object
    handles: object
    switching: object
    availability_zone: str

    def candidates(self, service, stage=None, without=frozenset()):
        """Returns a `Candidate` for each usable server of a service."""
        others = self.peers.loads()
        unusable = without | set(self.peers.switching()) | set(self.switching())
        found = []
        for server in self.backends.usable(service, stage):
            if server.name not in unusable:
                found.append(self._candidate(server, others))
        return found

    def _candidate(self, server, others):
        load = self.ledger.loads().get(server.name, ServerLoad())
        load += others.get(server.name, ServerLoad())
        return Candidate(
            server=server,
            near=server.availability_zone == self.availability_zone,
            running=load.running,
            memory_tokens=load.memory_tokens,
            prefill_tokens=load.prefill_tokens,
            failure=self.outcomes.failure(server.name),
            latency_s=self.outcomes.latency_s(server.name),
            avoided=self.outcomes.is_avoided(server.name),
            full=self.outcomes.is_full(server.name),
        )
