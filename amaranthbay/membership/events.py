"""Events that the membership protocol takes and actions that it returns."""

from dataclasses import dataclass

from amaranthbay.membership.types import Member
from amaranthbay.membership.wire import BackendNotice, Datagram
from amaranthbay.platform.types import Instance

__all__ = [
    "Changed",
    "CheckPort",
    "Died",
    "Heard",
    "Leave",
    "ListFetched",
    "NoticeHeard",
    "NoticeMade",
    "Paused",
    "PortChecked",
    "Received",
    "Reincarnated",
    "SendDatagram",
    "Tick",
    "VersionSeen",
]


@dataclass(frozen=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True)
class Received:
    """An authenticated datagram arrived from an address."""

    address: str
    datagram: Datagram
    size: int


@dataclass(frozen=True)
class PortChecked:
    """A member's TCP port was tried."""

    instance: str
    incarnation: int
    refused: bool


@dataclass(frozen=True)
class ListFetched:
    """The platform's instance list was read."""

    instances: tuple[Instance, ...]


@dataclass(frozen=True)
class Heard:
    """Another protocol received an authenticated message of an incarnation."""

    instance: str
    incarnation: int


@dataclass(frozen=True)
class Leave:
    """This daemon begins its graceful shutdown."""


@dataclass(frozen=True)
class NoticeMade:
    """Something about a backend server is to be spread."""

    notice: BackendNotice


@dataclass(frozen=True)
class SendDatagram:
    """Send an encoded datagram."""

    address: str
    payload: bytes


@dataclass(frozen=True)
class CheckPort:
    """Try a member's TCP port and report with `PortChecked`."""

    member: Member


@dataclass(frozen=True)
class Died:
    """An incarnation is proven dead.

    Attributes:
        member: The member as it was last known.
        proof: What proves it.
    """

    member: Member
    proof: str


@dataclass(frozen=True)
class Changed:
    """A member's state changed.

    Attributes:
        member: The member now.
        before: Its state before; None if it was not known.
        reason: Why.
    """

    member: Member
    before: str | None
    reason: str


@dataclass(frozen=True)
class Paused:
    """This process did not run for some seconds."""

    seconds: float


@dataclass(frozen=True)
class Reincarnated:
    """Others hold this incarnation for dead, so a new one was taken."""

    old: int
    new: int


@dataclass(frozen=True)
class VersionSeen:
    """A member has a higher configuration version in force."""

    instance: str
    version: int


@dataclass(frozen=True)
class NoticeHeard:
    """A member said something about a backend server."""

    notice: BackendNotice
