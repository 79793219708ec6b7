"""Arguments and results of the platform's clients."""

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
        if_version: Version that the row must have; 0 if it must be absent, None for no
            condition.
    """

    key: str
    value: dict | None
    if_version: int | None = None


@dataclass(frozen=True)
class Row:
    """A row as it was read.

    Attributes:
        key: Row key.
        value: Decoded JSON object.
        version: Version, which increases with each write.
    """

    key: str
    value: dict
    version: int


class CommitState(StrEnum):
    """What the client knows about the result of a commit.

    Attributes:
        DONE: All writes took effect.
        CONFLICT: A condition failed; no write took effect.
        UNKNOWN: The commit was sent, but no answer says whether it took effect.
        NOT_DONE: No write took effect, for another reason than a condition.
    """

    DONE = "done"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    NOT_DONE = "not_done"


@dataclass(frozen=True)
class CommitOutcome:
    """Outcome of a commit.

    Attributes:
        state: What is known about the commit.
        versions: New version of each row by key; empty unless ``done``.
        conflicts: Keys whose condition failed; empty unless ``conflict``.
    """

    state: CommitState
    versions: dict[str, int]
    conflicts: tuple[str, ...] = ()


@dataclass(frozen=True)
class PlatformFailure:
    """A call to the platform failed or got an unusable answer.

    Attributes:
        detail: Reason, for logs and error messages.
    """

    detail: str


@dataclass(frozen=True)
class Instance:
    """One entry of the instance list.

    Attributes:
        instance: Name of the instance.
        kind: ``"entry"`` for daemons, else ``"backend"``.
        availability_zone: Availability zone in which it runs.
        region: Region of the availability zone.
        state: ``"live"`` or ``"leaving"``.
        address: Caller address of a daemon, HTTP address of a backend server.
        pool: Pool of a backend server; empty for a daemon.
        role: Role of a backend server; empty for a daemon.
        membership_address: UDP address of a daemon.
        peer_address: Address for messages from other daemons.
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
    """Metadata of a set of model weights.

    Attributes:
        name: Name in the weight store.
        size_bytes: Total size.
        digest: Digest of the content.
    """

    name: str
    size_bytes: int
    digest: str
