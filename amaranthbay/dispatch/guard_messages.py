"""Peer messages that copy in-flight records to the guards of a daemon."""

from dataclasses import dataclass

from amaranthbay.kernel.registry import register
from amaranthbay.kernel.requests import BackendServer

__all__ = ["AttemptTakenOver", "CopiedRecord", "InFlightAck", "InFlightBatch"]


@dataclass(frozen=True)
class CopiedRecord:
    """What a guard needs to cancel an attempt; small because each request sends one.

    Attributes:
        attempt_id: Id of the attempt.
        servers: ``instance@address`` of the servers that may hold memory for it.
    """

    attempt_id: str
    servers: tuple[str, ...]

    @classmethod
    def of(cls, record):
        """Returns the copy of an `InFlightRecord`."""
        servers = [f"{srv.instance}@{srv.address}" for srv in record.servers]
        return cls(record.attempt_id, tuple(servers))

    def backend_servers(self):
        """Yields each server as a `BackendServer` with instance and address only."""
        for server in self.servers:
            instance, _, address = server.rpartition("@")
            yield BackendServer(instance, "", "", address, "")


@register("peer_message", "in_flight_batch")
@dataclass(frozen=True)
class InFlightBatch:
    """Changes of one daemon's in-flight table.

    Attributes:
        process: Random id of the sending process; a restart has a new one.
        incarnation: Membership incarnation of the sender.
        sequence: Number of the batch; rises by one with each batch to the same guard.
        snapshot: Whether the batch replaces all records that the guard has of the
            process.
        entered: Attempts that may hold engine memory from now on.
        ended: Ids of attempts that no longer hold engine memory.
    """

    process: str
    incarnation: int
    sequence: int
    snapshot: bool
    entered: tuple[CopiedRecord, ...]
    ended: tuple[str, ...]


@register("peer_message", "in_flight_ack")
@dataclass(frozen=True)
class InFlightAck:
    """Reply of a guard to an `InFlightBatch` or an `AttemptTakenOver`.

    Attributes:
        resync: Whether the guard has missed a batch and needs a snapshot.
    """

    resync: bool


@register("peer_message", "attempt_taken_over")
@dataclass(frozen=True)
class AttemptTakenOver:
    """Tells guards that a daemon continues an attempt, so they must not cancel it."""

    attempt_id: str
