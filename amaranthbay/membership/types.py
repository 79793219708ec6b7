"""Types of the membership package."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Member", "MemberState"]


class MemberState(StrEnum):
    """What is known about a daemon."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECTED = "suspected"
    DEAD = "dead"


@dataclass(frozen=True)
class Member:
    """One daemon.

    Attributes:
        instance: Name of the instance.
        availability_zone: Where it runs.
        region: Region of the availability zone.
        address: Caller address.
        membership_address: UDP address for probes.
        peer_address: Address of its peer channel.
        incarnation: Start time of the process in milliseconds; 0 if only the
            instance list has named it. Orders what is said about the instance.
        revision: Rises when the process itself changes or corrects its state.
        state: What is known about it.
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
