"""Types that the platform's clients exchange with their users."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "CommitOutcome",
    "CommitState",
    "Instance",
    "PlatformFailure",
    "Row",
    "WeightInfo",
    "Write",
]


@dataclass(frozen=True)
class Write:
    """One conditional write of a transaction.

    Attributes:
        key: Row key.
        value: New value; None deletes the row.
        if_version: Version that the row must have; 0 means absent, None any.
    """

    key: str
    value: dict | None
    if_version: int | None = None


@dataclass(frozen=True)
class Row:
    """A row as read; its version rises with each write."""

    key: str
    value: dict
    version: int


class CommitState(StrEnum):
    """What is known about a commit."""

    DONE = "done"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    NOT_DONE = "not_done"


@dataclass(frozen=True)
class CommitOutcome:
    """Outcome of a commit.

    Attributes:
        state: ``not_done`` if the platform can't have seen the commit.
        versions: New version of each row, if done.
        conflicts: Keys whose condition failed, if a conflict.
    """

    state: CommitState
    versions: dict[str, int]
    conflicts: tuple[str, ...] = ()


@dataclass(frozen=True)
class PlatformFailure:
    """The platform gave no usable answer to a read."""

    detail: str


@dataclass(frozen=True)
class Instance:
    """One entry of the instance list.

    Attributes:
        instance: Name of the instance.
        kind: ``"entry"`` for daemons, else ``"backend"``.
        availability_zone: Where it runs.
        region: Region of the availability zone.
        state: ``"live"`` or ``"leaving"``.
        address: Caller address of a daemon, HTTP address of a backend server.
        pool: Pool of a backend server.
        role: Role of a backend server.
        membership_address: UDP address of a daemon.
        peer_address: Address for other daemons.
    """

    instance: str
    kind: str
    availability_zone: str
    state: str
    address: str
    region: str = ""
    pool: str = ""
    role: str = ""
    membership_address: str = ""
    peer_address: str = ""


@dataclass(frozen=True)
class WeightInfo:
    """Size and digest of a set of weights."""

    name: str
    size_bytes: int
    digest: str
