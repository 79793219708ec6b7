"""Reads and checks the settings file of a daemon."""

import ipaddress
import os
from dataclasses import dataclass, field
from typing import Annotated, Literal

import msgspec

from amaranthbay import placement  # noqa: F401  (registers plug-ins)
from amaranthbay.kernel.errors import SettingsError
from amaranthbay.kernel.registry import registered_names
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
ADDRESS_DESCRIPTION = "an IPv4 address and a port from 1 to 65535, like 127.0.0.1:8000"

Address = Annotated[
    str,
    msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$", description=ADDRESS_DESCRIPTION),
]
Endpoint = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^(http://[0-9.]+:[0-9]{1,5}(/\S*)?)?$",
        description="empty, or the HTTP URL of a collector with an IPv4 address,"
        " like http://127.0.0.1:4318/v1/metrics",
    ),
]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]


@dataclass(frozen=True)
class LimitSettings:
    """Limits that bound a daemon's memory.

    Attributes:
        body_bytes: Largest size of a request's body.
        header_bytes: Largest size of a request's headers.
        connections: Largest number of connections from callers.
        queue_length: Largest number of queued requests.
    """

    body_bytes: Annotated[int, msgspec.Meta(ge=1024, le=64 * 2**20)] = 4 * 2**20
    header_bytes: Annotated[int, msgspec.Meta(ge=1024, le=65536)] = 16384
    connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 4096
    queue_length: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 2048


@dataclass(frozen=True)
class KeySettings:
    """Key that authenticates the messages of daemons and operators.

    Attributes:
        id: Id of the key, sent with each message.
        file: Path of the file with the key; empty if the key is in ``environment``.
        environment: Name of the environment variable with the key; empty if the key
            is in ``file``.
    """

    id: Name
    file: str = ""
    environment: str = ""


@dataclass(frozen=True)
class DaemonSettings:
    """Settings of one daemon.

    Attributes:
        instance: Name of the instance.
        availability_zone: Availability zone in which the instance runs.
        region: Region of the availability zone.
        caller_address: ``host:port`` for callers and operators (TCP).
        membership_address: ``host:port`` for probes of other daemons (UDP).
        peer_address: ``host:port`` for messages of other daemons (TCP).
        platform_address: ``host:port`` of the platform.
        keys: Valid keys, at most two; the first one signs.
        limits: Limits that bound the daemon's memory.
        placement_policy: Name of a registered placement policy.
        slot_allocator: Name of a registered slot allocator.
        log_level: Lowest severity that is logged.
        metrics_endpoint: HTTP URL of the metrics collector; empty disables metrics.
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
    """Returns a `CheckResult` with `DaemonSettings`, or with all faults of the file."""
    return load_checked(path, DaemonSettings, _contradiction_faults)


def load_settings(path):
    """Returns the `DaemonSettings` of a file.

    Args:
        path: Path of the TOML file.

    Raises:
        SettingsError: If the file is unreadable or has faults.
    """
    checked = check_settings(path)
    if checked.faults:
        raise SettingsError(checked.faults)
    return checked.value


def _contradiction_faults(settings):
    """Yields a `TreeFault` for each value that its type allows but that can't work."""
    for name in ("caller", "membership", "peer", "platform"):
        key = f"{name}_address"
        value = getattr(settings, key)
        if not _is_valid_address(value):
            yield TreeFault(key, value, ADDRESS_DESCRIPTION)
    if settings.caller_address == settings.peer_address:
        allowed = "a TCP address other than caller_address"
        yield TreeFault("peer_address", settings.peer_address, allowed)
    for kind, value in (
        ("placement_policy", settings.placement_policy),
        ("slot_allocator", settings.slot_allocator),
    ):
        if value not in registered_names(kind):
            allowed = "one of " + ", ".join(registered_names(kind))
            yield TreeFault(kind, value, allowed)
    faults = list(_key_faults(settings.keys))
    yield from faults or _secret_faults(settings.keys)


def _secret_faults(keys):
    """Yields a `TreeFault` if the secret of a key can't be used."""
    try:
        KeyRing(keys)
    except SettingsError as exc:
        key_ids = [each.id for each in keys]
        yield TreeFault("keys", key_ids, f"keys of at least 16 bytes ({exc})")


def _key_faults(keys):
    """Yields a `TreeFault` if there are too many keys, and for each invalid key.

    A valid key has a unique id and exactly one source, which is readable.
    """
    if len(keys) > MAX_KEYS:
        key_ids = [each.id for each in keys]
        allowed = f"at most {MAX_KEYS} keys: the new and the old key of a rotation"
        yield TreeFault("keys", key_ids, allowed)
    seen_ids = set()
    for index, key in enumerate(keys):
        path = f"keys[{index}]"
        if key.id in seen_ids:
            yield TreeFault(f"{path}.id", key.id, "an id that is unique among the keys")
        seen_ids.add(key.id)
        if bool(key.file) == bool(key.environment):
            value = key.file or None
            allowed = "either file or environment, exactly one of the two"
            yield TreeFault(f"{path}.file", value, allowed)
        elif key.file and not os.access(key.file, os.R_OK):
            yield TreeFault(f"{path}.file", key.file, "a readable file")
        elif key.environment and not os.environ.get(key.environment):
            allowed = "an environment variable that is set"
            yield TreeFault(f"{path}.environment", key.environment, allowed)


def _is_valid_address(value):
    host, port = split_address(value)
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 1 <= port <= 65535
