"""Decodes and checks the settings file of a daemon."""

import ipaddress
import os
from dataclasses import dataclass, field
from typing import Annotated, Literal

import msgspec

from amaranthbay import placement  # noqa: F401  (registers plug-ins)
from amaranthbay.kernel.errors import SettingsError
from amaranthbay.kernel.registry import names
from amaranthbay.peering.keys import KeyRing
from amaranthbay.utils.checking import TreeFault, load_checked
from amaranthbay.utils.http import split_address

__all__ = [
    "DaemonSettings",
    "KeySettings",
    "LimitSettings",
    "check_settings",
    "load_settings",
]

MAX_KEYS = 2
ADDRESS_WORDS = "an IP number and a port from 1 to 65535, like 127.0.0.1:8000"

Address = Annotated[
    str,
    msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$", description=ADDRESS_WORDS),
]
Endpoint = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^(http://[0-9.]+:[0-9]{1,5}(/\S*)?)?$",
        description="empty, or an HTTP address of a collector with an IP number,"
        " like http://127.0.0.1:4318/v1/metrics",
    ),
]
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
        limits: Limits that bound the daemon's memory.
        placement_policy: Registered placement policy.
        slot_allocator: Registered slot allocator.
        log_level: Least important level that is logged.
        metrics_endpoint: Where metrics are sent; empty sends none.
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
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    metrics_endpoint: Endpoint = ""


def check_settings(path):
    """Returns a `Checked` with `DaemonSettings`, or with every fault of the file."""
    return load_checked(path, DaemonSettings, _contradictions)


def load_settings(path):
    """Returns the checked settings of a daemon.

    Args:
        path: TOML file.

    Raises:
        SettingsError: If the file can't be read or holds a fault.
    """
    checked = check_settings(path)
    if checked.faults:
        raise SettingsError(checked.faults)
    return checked.value


def _contradictions(settings):
    """Yields a `TreeFault` for each value that doesn't fit the others."""
    for name in ("caller", "membership", "peer", "platform"):
        key = f"{name}_address"
        value = getattr(settings, key)
        if not _is_address(value):
            yield TreeFault(key, value, ADDRESS_WORDS)
    if settings.caller_address == settings.peer_address:
        allowed = "another TCP address than caller_address"
        yield TreeFault("peer_address", settings.peer_address, allowed)
    for kind, value in (
        ("placement_policy", settings.placement_policy),
        ("slot_allocator", settings.slot_allocator),
    ):
        if value not in names(kind):
            allowed = "one of " + ", ".join(names(kind))
            yield TreeFault(kind, value, allowed)
    faults = list(_key_faults(settings.keys))
    yield from faults or _secret_faults(settings.keys)


def _secret_faults(keys):
    try:
        KeyRing(keys)
    except SettingsError as exc:
        found = [each.id for each in keys]
        yield TreeFault("keys", found, f"keys of at least 16 bytes ({exc})")


def _key_faults(keys):
    if len(keys) > MAX_KEYS:
        found = [each.id for each in keys]
        allowed = f"at most {MAX_KEYS} keys: the new and the old one of a rotation"
        yield TreeFault("keys", found, allowed)
    known = set()
    for index, each in enumerate(keys):
        path = f"keys[{index}]"
        if each.id in known:
            yield TreeFault(f"{path}.id", each.id, "an id that no other key has")
        known.add(each.id)
        if bool(each.file) == bool(each.environment):
            value = each.file or None
            allowed = "either file or environment, not both and not neither"
            yield TreeFault(f"{path}.file", value, allowed)
        elif each.file and not os.access(each.file, os.R_OK):
            yield TreeFault(f"{path}.file", each.file, "a file that can be read")
        elif each.environment and not os.environ.get(each.environment):
            allowed = "an environment variable that is set"
            yield TreeFault(f"{path}.environment", each.environment, allowed)


def _is_address(value):
    host, port = split_address(value)
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 1 <= port <= 65535
