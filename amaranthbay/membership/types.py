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
        incarnation: Rises with each start; orders what is said about it.
        state: What is known about it.
    """

    instance: str
    availability_zone: str
    region: str
    address: str
    membership_address: str
    peer_address: str
    incarnation: int = 0
    state: MemberState = MemberState.LIVE
