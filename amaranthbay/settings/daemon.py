"""Decodes and checks the settings file of a daemon."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import msgspec

from amaranthbay.kernel.errors import SettingsError

__all__ = ["DaemonSettings", "KeySettings", "LimitSettings", "load_settings"]

Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]


@dataclass(frozen=True)
class LimitSettings:
    """Limits that bound a daemon's memory."""

    body_bytes: Annotated[int, msgspec.Meta(ge=1024, le=64 * 2**20)] = 4 * 2**20
    header_bytes: Annotated[int, msgspec.Meta(ge=1024, le=65536)] = 16384
    connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 4096
    queue_length: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 2048


@dataclass(frozen=True)
class KeySettings:
    """Key with which daemons and operators authenticate.

    Attributes:
        id: Name of the key, sent with each message.
        file: File that holds the key.
        environment: Environment variable that holds the key.
    """

    id: Name
    file: str = ""
    environment: str = ""


@dataclass(frozen=True)
class DaemonSettings:
    """Settings of one daemon.

    Attributes:
        instance: Name of the instance.
        availability_zone: Where it runs.
        region: Region of the availability zone.
        caller_address: Where callers and operators connect (TCP).
        membership_address: Where probes arrive (UDP).
        peer_address: Where other daemons connect (TCP).
        platform_address: Where the platform answers.
        keys: Keys that are valid; the first one signs.
    """

    instance: Name
    availability_zone: Name
    region: Name
    caller_address: Address
    membership_address: Address
    peer_address: Address
    platform_address: Address
    keys: tuple[KeySettings, ...] = ()
    limits: LimitSettings = field(default_factory=LimitSettings)
    placement_policy: str = "cost"
    slot_allocator: str = "independent"
    log_level: str = "info"
    metrics_endpoint: str = ""


def load_settings(path):
    """Returns the checked settings of a daemon.

    Args:
        path: TOML file.

    Raises:
        SettingsError: If the file can't be read or holds a fault.
    """
    try:
        body = Path(path).read_bytes()
    except OSError as exc:
        raise SettingsError([f"{path}: {exc.strerror}"]) from exc
    try:
        return msgspec.toml.decode(body, type=DaemonSettings)
    except msgspec.DecodeError as exc:
        raise SettingsError([f"{path}: {exc}"]) from exc
