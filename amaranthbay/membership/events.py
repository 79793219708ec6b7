"""Events that the membership protocol handles and actions that it returns."""

from dataclasses import dataclass

from amaranthbay.membership.types import Member
from amaranthbay.membership.wire import BackendNotice, Datagram
from amaranthbay.platform.types import Instance

__all__ = [
    "CheckPort",
    "DatagramReceived",
    "Leave",
    "ListFetched",
    "MemberChanged",
    "MemberDied",
    "NoticeCreated",
    "NoticeReceived",
    "Paused",
    "PeerMessageReceived",
    "PortChecked",
    "Reincarnated",
    "SendDatagram",
    "Tick",
    "VersionSeen",
]


@dataclass(frozen=True)
class Tick:
    """Event: the protocol's timers are due for a check."""


@dataclass(frozen=True)
class DatagramReceived:
    """Event: an authenticated datagram arrived.

    Attributes:
        address: ``host:port`` that it came from.
        datagram: Decoded datagram.
        size: Bytes on the network, headers included.
    """

    address: str
    datagram: Datagram
    size: int


@dataclass(frozen=True)
class PortChecked:
    """Event: a connection to a member's TCP port was attempted.

    Attributes:
        instance: Instance of the member.
        incarnation: Incarnation of the member when the check began.
        refused: Whether the connection was refused; False after any other error.
    """

    instance: str
    incarnation: int
    refused: bool


@dataclass(frozen=True)
class ListFetched:
    """Event: the platform's instance list was read."""

    instances: tuple[Instance, ...]


@dataclass(frozen=True)
class PeerMessageReceived:
    """Event: the peer channel received an authenticated message from a daemon."""

    instance: str
    incarnation: int


@dataclass(frozen=True)
class Leave:
    """Event: this daemon begins its graceful shutdown."""


@dataclass(frozen=True)
class NoticeCreated:
    """Event: a notice about a backend server is to be gossiped to the peers."""

    notice: BackendNotice


@dataclass(frozen=True)
class SendDatagram:
    """Action: send an encoded datagram.

    Attributes:
        address: ``host:port`` of the receiver.
        payload: Encoded datagram, not yet authenticated.
    """

    address: str
    payload: bytes


@dataclass(frozen=True)
class CheckPort:
    """Action: connect to a member's TCP port and report with `PortChecked`."""

    member: Member


@dataclass(frozen=True)
class MemberDied:
    """Action: report that an incarnation of a member is dead.

    Attributes:
        member: The member as it was last known.
        proof: Evidence of the death, as logged.
    """

    member: Member
    proof: str


@dataclass(frozen=True)
class MemberChanged:
    """Action: report that a member's state changed.

    Attributes:
        member: The member after the change.
        before: State before the change; None for a new member.
        reason: Cause of the change, as logged.
    """

    member: Member
    before: str | None
    reason: str


@dataclass(frozen=True)
class Paused:
    """Action: report that this process did not run for some seconds."""

    seconds: float


@dataclass(frozen=True)
class Reincarnated:
    """Action: report that this daemon has a new incarnation.

    Peers consider the old incarnation dead, which is final, or know a higher one.
    """

    old: int
    new: int


@dataclass(frozen=True)
class VersionSeen:
    """Action: report that a member has a higher configuration version in force."""

    instance: str
    version: int


@dataclass(frozen=True)
class NoticeReceived:
    """Action: report a backend notice that a member sent."""

    notice: BackendNotice
