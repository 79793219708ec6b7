"""Settings of an entry instance on the users' platform."""

from dataclasses import dataclass, fields, replace

from amaranthbay.fleet.backends import ENTRY_TTL_S

__all__ = [
    "DEFAULT_PART_WRITES_PER_S",
    "DEFAULT_WRITES_PER_S",
    "EntrySettings",
    "Limits",
    "changed_fields",
    "merge",
]

DEFAULT_WRITES_PER_S = 400.0
DEFAULT_PART_WRITES_PER_S = 200.0

# Fields that apply only when a process starts, since its sockets are open and other
# instances know its names.
FIXED_FIELDS = (
    "instance",
    "ip",
    "availability_zone",
    "region",
    "caller_address",
    "ready_address",
    "lookup_address",
    "peer_port",
    "metrics_port",
    "store_address",
)


@dataclass(frozen=True)
class Limits:
    """Resources that the instance provides to the process.

    Attributes:
        descriptors: Limit of open file descriptors.
        cores: Processor cores.
        link_mbps: Rate of the network link in Mbit/s; 0 if unknown.
        memory_mb: Memory in MiB above which the process is killed; 0 if unknown.
    """

    descriptors: int = 1024
    cores: float = 1.0
    link_mbps: float = 0.0
    memory_mb: float = 0.0


@dataclass(frozen=True)
class EntrySettings:
    """Settings of one entry process.

    Attributes:
        instance: Name of the instance.
        ip: Address of the instance.
        availability_zone: Availability zone of the instance.
        region: Region of the availability zone.
        caller_address: Address to which callers connect.
        ready_address: Address at which the platform probes readiness.
        lookup_address: Address at which callers look up entry instances; empty for
            none.
        peer_port: UDP port for reports between instances, the same on all instances.
        metrics_port: TCP port at which metrics are served.
        store_address: Address of the platform's store.
        limits: Resources of the instance.
        configuration_s: Seconds within which a changed configuration must be in force.
        drain_s: Seconds within which a leaving backend server must get no more work.
        stop_s: Grace period in seconds from SIGTERM until the platform kills the
            process.
        retry_ratio: Repeats allowed per request of a service; see `relay.budget`.
        retry_window_s: Span in seconds over which repeats are counted.
        retry_allowance: Repeats that all instances together may send beyond the ratio.
        order_turn_s: Minimum time in seconds between orders of two instances to a
            server.
        lookup_ttl_s: Longest time in seconds for which callers cache a lookup's answer.
        entry_life_s: Seconds of silence after which the entry of a backend server is
            removed.
        store_writes_per_s: Writes per second that the store takes from all instances.
        store_part_writes_per_s: The same for one part of its tables.
        quota_window_s: Window in seconds over which the use of quotas is judged.
        quota_overshoot: Tolerated excess as a fraction of what the window allows.
        quota_slack_tokens: Tolerated excess in addition, for quotas in tokens.
    """

    instance: str
    ip: str
    availability_zone: str
    region: str
    caller_address: str
    ready_address: str
    lookup_address: str
    peer_port: int
    metrics_port: int
    store_address: str
    limits: Limits
    configuration_s: float
    drain_s: float
    stop_s: float
    retry_ratio: float
    retry_window_s: float
    retry_allowance: float
    order_turn_s: float
    lookup_ttl_s: float
    entry_life_s: float = ENTRY_TTL_S
    store_writes_per_s: float = DEFAULT_WRITES_PER_S
    store_part_writes_per_s: float = DEFAULT_PART_WRITES_PER_S
    quota_window_s: float = 8.0
    quota_overshoot: float = 0.1
    quota_slack_tokens: float = 0.0


def changed_fields(current, loaded):
    """Returns the names of the fields in which two `EntrySettings` differ."""
    names = [field.name for field in fields(loaded)]
    return [name for name in names if getattr(loaded, name) != getattr(current, name)]


def merge(current, loaded):
    """Returns the loaded settings with the current values of `FIXED_FIELDS`."""
    return replace(loaded, **{name: getattr(current, name) for name in FIXED_FIELDS})
