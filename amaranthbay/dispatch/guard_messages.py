"""Peer messages that copy in-flight records to the guards of a daemon."""

from dataclasses import dataclass

from amaranthbay.dispatch.inflight import InFlightRecord
from amaranthbay.kernel.registry import register

__all__ = ["AttemptTakenOver", "InFlightAck", "InFlightBatch"]


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
    entered: tuple[InFlightRecord, ...]
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
