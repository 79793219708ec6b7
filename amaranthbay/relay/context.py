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
        pauses: `ServerPauses`.
        switches: `SwitchRecord`.
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
    pauses: object
    switches: object
    availability_zone: str

    def candidates(self, service, stage=None, excluded=frozenset()):
        """Returns a `Candidate` for each usable server of a service."""
        others = self.peers.loads()
        return [
            self._candidate(server, others)
            for server in self._usable(service, stage, excluded)
            if not self.pauses.left_s(server.name)
        ]

    def pause_left_s(self, service, stage=None, excluded=frozenset()):
        """Returns the seconds until a paused server of a service takes requests.

        Returns:
            None if there is a server that is not paused, or none at all.
        """
        names = [each.name for each in self._usable(service, stage, excluded)]
        left = [self.pauses.left_s(name) for name in names]
        return min(left) if left and all(left) else None

    def _usable(self, service, stage, excluded):
        unusable = excluded | set(self.peers.switching()) | set(self.switches.current())
        usable = self.backends.usable(service, stage)
        return [each for each in usable if each.name not in unusable]

    def _candidate(self, server, others):
        load = self.ledger.loads().get(server.name, ServerLoad())
        load += others.get(server.name, ServerLoad())
        return Candidate(
            server=server,
            same_zone=server.availability_zone == self.availability_zone,
            running=load.running,
            memory_tokens=load.memory_tokens,
            prefill_tokens=load.prefill_tokens,
            failure_share=self.outcomes.failure(server.name),
            latency_s=self.outcomes.latency_s(server.name),
            avoided=self.outcomes.is_avoided(server.name),
            full=self.outcomes.is_full(server.name),
        )
