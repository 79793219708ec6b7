"""Reads the boot file: the settings that the platform writes for each instance."""

import os
import tomllib

import msgspec
from result import Err, Ok

from amaranthbay.fleet.settings import (
    DEFAULT_PART_WRITES_PER_S,
    DEFAULT_WRITES_PER_S,
    EntrySettings,
    Limits,
)

__all__ = ["load_boot_settings"]

BOOT_PATH_VARIABLE = "AMARANTHBAY_BOOT"
MS_PER_S = 1000.0
# A backend server that misses this many heartbeats in a row loses its entry.
MISSED_HEARTBEATS = 3


class _Listen(msgspec.Struct):
    # Address to which callers connect.
    Front: str
    # Address of the readiness endpoint.
    Ready: str
    # Address at which callers look up entry instances.
    Directory: str = ""


class _Platform(msgspec.Struct):
    # Host and port of the store.
    Address: str
    # Writing calls that the store takes from all instances together.
    WritesPerS: float = DEFAULT_WRITES_PER_S
    # The same for one part of the tables; all rows of the instances are in one.
    PartWritesS: float = DEFAULT_PART_WRITES_PER_S


class _Machine(msgspec.Struct):
    # File descriptors of the process, sockets included.
    MaxFds: int = 1024
    CpuShare: float = 1.0
    Cores: float = 1.0
    LinkMbps: float = 0.0
    MemoryMb: float = 0.0


class _Bounds(msgspec.Struct):
    """Limits that the platform sets; the fields of `EntrySettings` explain them."""

    ConfigApplyMs: float = 2000.0
    DrainMs: float = 2000.0
    GraceS: float = 8.0
    RetryBudgetRatio: float = 0.2
    BudgetWindowS: float = 10.0
    BudgetSlack: float = 0.0
    LeaseMs: float = 3000.0
    QuotaWindowS: float = 8.0
    QuotaOvershoot: float = 0.1
    QuotaSlack: float = 0.0
    # Callers cache the answer to a lookup no longer than this, in seconds.
    ttl_max_s: float = 5.0


class _Boot(msgspec.Struct):
    NodeName: str
    Ip: str
    Zone: str
    Region: str
    # Only the first port is used, for messages between instances. Metrics are served at
    # the port after it.
    InternalPorts: tuple[int, int]
    Listen: _Listen
    Platform: _Platform
    Limits: _Machine = msgspec.field(default_factory=_Machine)
    Bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    # Interval at which a backend server writes its entry.
    HeartbeatMs: float = 1200.0


def load_boot_settings(path=None):
    """Reads a boot file and returns ``Result[EntrySettings, str]``.

    Unknown fields are ignored. The error names the fault and the file, or
    `BOOT_PATH_VARIABLE` if no file is named.

    Args:
        path: The file; if None, the one that `BOOT_PATH_VARIABLE` names in the
            environment.
    """
    path = path or os.environ.get(BOOT_PATH_VARIABLE, "")
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
        return Ok(_to_settings(msgspec.convert(document, _Boot)))
    except (OSError, ValueError) as exc:
        return Err(f"{path or BOOT_PATH_VARIABLE}: {exc}")


def _to_settings(boot):
    bounds, machine = boot.Bounds, boot.Limits
    return EntrySettings(
        instance=boot.NodeName,
        ip=boot.Ip,
        availability_zone=boot.Zone,
        region=boot.Region,
        caller_address=boot.Listen.Front,
        ready_address=boot.Listen.Ready,
        lookup_address=boot.Listen.Directory,
        peer_port=boot.InternalPorts[0],
        metrics_port=boot.InternalPorts[0] + 1,
        store_address=boot.Platform.Address,
        limits=Limits(
            descriptors=machine.MaxFds,
            cores=machine.CpuShare * machine.Cores,
            link_mbps=machine.LinkMbps,
            memory_mb=machine.MemoryMb,
        ),
        configuration_s=bounds.ConfigApplyMs / MS_PER_S,
        drain_s=bounds.DrainMs / MS_PER_S,
        stop_s=bounds.GraceS,
        retry_ratio=bounds.RetryBudgetRatio,
        retry_window_s=bounds.BudgetWindowS,
        retry_allowance=bounds.BudgetSlack,
        order_turn_s=bounds.LeaseMs / MS_PER_S,
        lookup_ttl_s=bounds.ttl_max_s,
        store_writes_per_s=boot.Platform.WritesPerS,
        store_part_writes_per_s=boot.Platform.PartWritesS,
        quota_window_s=bounds.QuotaWindowS,
        quota_overshoot=bounds.QuotaOvershoot,
        quota_slack_tokens=bounds.QuotaSlack,
        entry_life_s=MISSED_HEARTBEATS * boot.HeartbeatMs / MS_PER_S,
    )
