"""Peer messages that copy in-flight records to the guards of a daemon."""

from dataclasses import dataclass

from amaranthbay.kernel.registry import register
from amaranthbay.kernel.requests import BackendServer

__all__ = ["AttemptTakenOver", "CopiedRecord", "InFlightAck", "InFlightBatch"]


@dataclass(frozen=True)
class CopiedRecord:
    """What a guard needs to cancel an attempt; kept short, as each request sends it.

    Attributes:
        attempt_id: The attempt.
        servers: ``instance@address`` of the servers that may hold memory for it.
    """

    attempt_id: str
    servers: tuple[str, ...]

    @classmethod
    def of(cls, record):
        """Returns the copy of an `InFlightRecord`."""
        names = [f"{each.instance}@{each.address}" for each in record.servers]
        return cls(record.attempt_id, tuple(names))

    def backend_servers(self):
        """Yields the `BackendServer` of each name."""
        for name in self.servers:
            instance, _, address = name.rpartition("@")
            yield BackendServer(instance, "", "", address, "")


@register("peer_message", "in_flight_batch")
@dataclass(frozen=True)
class InFlightBatch:
    """Changes of one daemon's in-flight table.

    Attributes:
        process: Random name of the sending process; a restart has a new one.
        incarnation: Incarnation of the sender.
        sequence: Rises by one with each batch to the same guard.
        snapshot: Whether the batch replaces all that the guard knew of the
            process.
        entered: Attempts that may hold engine memory from now on.
        ended: Attempts that hold nothing any more.
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
    """Reply of a guard.

    Attributes:
        resync: Whether the guard has missed a batch and needs a snapshot.
    """

    resync: bool


@register("peer_message", "attempt_taken_over")
@dataclass(frozen=True)
class AttemptTakenOver:
    """A daemon continues an attempt, so its old guards must not cancel it."""

    attempt_id: str
