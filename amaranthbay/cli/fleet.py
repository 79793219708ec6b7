"""What the platform and the daemons say about the configuration."""

from dataclasses import dataclass

import msgspec
from result import Err, Ok

from amaranthbay.config.types import Configuration
from amaranthbay.kernel.clock import SystemClock
from amaranthbay.platform.http import (
    HttpInstanceList,
    HttpObjectStore,
    HttpTableService,
)
from amaranthbay.state.config_store import ROW_KEY, ConfigStore
from amaranthbay.utils.http import json_exchange

__all__ = [
    "Accepted",
    "DaemonVersion",
    "accepted_configuration",
    "entry_addresses",
    "fetch_status",
    "versions_in_force",
]

STATUS_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class Accepted:
    """The configuration that the platform holds, and who accepted it."""

    version: int
    operator: str
    configuration: Configuration


@dataclass(frozen=True)
class DaemonVersion:
    """Version that one daemon has in force; None if it gave no answer."""

    instance: str
    version: int | None
    lags: bool


def accepted_configuration(platform):
    """Returns ``Result[Accepted, str]``."""
    table = HttpTableService(platform)
    found = table.read(ROW_KEY)
    if found.is_err():
        return Err(f"the platform at {platform} doesn't answer")
    if found.unwrap() is None:
        return Err("no configuration has been accepted")
    store = ConfigStore(table, HttpObjectStore(platform), SystemClock())
    if not store.refresh() or store.current is None:
        return Err("the accepted configuration can't be read")
    operator = found.unwrap().value.get("operator", "")
    return Ok(Accepted(store.version, operator, store.current))


def entry_addresses(platform):
    """Returns ``Result[dict[str, str], str]``: address of each daemon."""
    found = HttpInstanceList(platform).fetch()
    if found.is_err():
        return Err(f"the platform at {platform} doesn't answer")
    entries = [each for each in found.unwrap() if each.kind == "entry"]
    return Ok({each.instance: each.address for each in entries})


def fetch_status(address):
    """Returns ``Result[dict, str]``: the status of a daemon."""
    outcome = json_exchange(address, "GET", "/v1/status", timeout_s=STATUS_TIMEOUT_S)
    if outcome.is_err():
        return Err(outcome.unwrap_err().detail)
    status, body = outcome.unwrap()
    if status != 200:
        return Err(f"{address} answered {status}")
    try:
        return Ok(msgspec.json.decode(body, type=dict))
    except msgspec.DecodeError:
        return Err(f"{address} answered with something else than a status")


def versions_in_force(platform, accepted):
    """Returns the `DaemonVersion` of each daemon in the instance list."""
    versions = []
    for instance, address in sorted(entry_addresses(platform).unwrap_or({}).items()):
        status = fetch_status(address)
        known = status.unwrap()["config_version"] if status.is_ok() else None
        lags = known is None or known < accepted
        versions.append(DaemonVersion(instance, known, lags))
    return versions
