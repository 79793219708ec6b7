"""Types of the membership package."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Member", "MemberState"]


class MemberState(StrEnum):
    """State of a daemon in this daemon's view."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECTED = "suspected"
    DEAD = "dead"


@dataclass(frozen=True)
class Member:
    """A daemon that takes part in the membership protocol.

    Attributes:
        instance: Name of the instance.
        availability_zone: Availability zone that it runs in.
        region: Region of the availability zone.
        address: ``host:port`` for callers.
        membership_address: UDP ``host:port`` for probes.
        peer_address: ``host:port`` of its peer channel.
        incarnation: Start time of the process in Unix milliseconds, or a higher
            number if the process had to take a new one; 0 if the daemon is known
            from the instance list only. Updates of a higher incarnation supersede
            those of a lower one.
        revision: Number that only the process itself raises, when it changes its
            state or refutes a suspicion.
        state: State of the daemon.
    """

    instance: str
    availability_zone: str
    region: str
    address: str
    membership_address: str
    peer_address: str
    incarnation: int = 0
    revision: int = 0
    state: MemberState = MemberState.LIVE
