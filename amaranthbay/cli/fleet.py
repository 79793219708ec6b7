"""Queries the platform and the daemons for addresses, status and configuration."""

from dataclasses import dataclass

from result import Err, Ok

from amaranthbay.config.types import Configuration
from amaranthbay.kernel.clock import SystemClock
from amaranthbay.platform.http import (
    HttpInstanceList,
    HttpObjectStore,
    HttpTableService,
)
from amaranthbay.state.config_store import CONFIG_ROW_KEY, ConfigStore
from amaranthbay.utils.decoding import decode_json
from amaranthbay.utils.http import exchange_whole

__all__ = [
    "Accepted",
    "DaemonVersion",
    "accepted_configuration",
    "daemon_addresses",
    "fetch_status",
    "versions_in_force",
]

STATUS_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class Accepted:
    """Accepted configuration, as the platform stores it.

    Attributes:
        version: Version of the configuration.
        operator: Name of the operator who accepted it.
        configuration: The configuration itself.
    """

    version: int
    operator: str
    configuration: Configuration


@dataclass(frozen=True)
class DaemonVersion:
    """Configuration version that one daemon has in force.

    Attributes:
        instance: Instance of the daemon.
        version: Version in force; None if the daemon gave no answer.
        lags: Whether the version is unknown or below the accepted one.
    """

    instance: str
    version: int | None
    lags: bool


def accepted_configuration(platform):
    """Fetches the accepted configuration from the platform.

    Args:
        platform: Address of the platform.

    Returns:
        ``Result[Accepted, str]``; the error is a message for the operator.
    """
    table = HttpTableService(platform)
    row = table.read(CONFIG_ROW_KEY)
    if row.is_err():
        return Err(f"the platform at {platform} doesn't answer")
    if row.unwrap() is None:
        return Err("no configuration has been accepted")
    store = ConfigStore(table, HttpObjectStore(platform), SystemClock())
    if not store.refresh() or store.current is None:
        return Err("the accepted configuration can't be read")
    operator = row.unwrap().value.get("operator", "")
    return Ok(Accepted(store.version, operator, store.current))


def daemon_addresses(platform):
    """Fetches the addresses of all daemons from the platform's instance list.

    Args:
        platform: Address of the platform.

    Returns:
        ``Result[dict[str, str], str]`` with an address for each daemon's instance.
    """
    listed = HttpInstanceList(platform).fetch()
    if listed.is_err():
        return Err(f"the platform at {platform} doesn't answer")
    daemons = [instance for instance in listed.unwrap() if instance.kind == "entry"]
    return Ok({daemon.instance: daemon.address for daemon in daemons})


def fetch_status(address):
    """Returns the status of the daemon at an address as ``Result[dict, str]``."""
    outcome = exchange_whole(address, "GET", "/v1/status", timeout_s=STATUS_TIMEOUT_S)
    if outcome.is_err():
        return Err(outcome.unwrap_err().detail)
    status, body = outcome.unwrap()
    if status != 200:
        return Err(f"{address} answered with HTTP status {status}")
    return decode_json(body, dict).map_err(
        lambda detail: f"{address} answered with a body that is not a JSON object"
    )


def versions_in_force(platform, accepted_version):
    """Returns the `DaemonVersion` of each daemon in the platform's instance list.

    Args:
        platform: Address of the platform.
        accepted_version: Version of the accepted configuration.
    """
    versions = []
    for instance, address in sorted(daemon_addresses(platform).unwrap_or({}).items()):
        status = fetch_status(address)
        version = status.unwrap()["config_version"] if status.is_ok() else None
        lags = version is None or version < accepted_version
        versions.append(DaemonVersion(instance, version, lags))
    return versions
