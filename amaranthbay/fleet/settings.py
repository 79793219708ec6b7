"""Settings of an entry instance on the users' platform."""

from dataclasses import dataclass, fields, replace

from amaranthbay.fleet.backends import ENTRY_LIFE_S

__all__ = ["EntrySettings", "Limits", "changed_fields", "merge"]

# Taken when a process starts: sockets are open and names are known to others.
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
    """What the instance gives to the process; zero if not stated."""

    descriptors: int = 1024
    cores: float = 1.0
    link_mbps: float = 0.0


@dataclass(frozen=True)
class EntrySettings:
    """Settings of one entry process.

    Attributes:
        instance: Name of the instance.
        ip: Address of the instance.
        availability_zone: Where it runs.
        region: Region of the availability zone.
        caller_address: Where callers connect.
        ready_address: Where the platform asks whether the process is ready.
        lookup_address: Where callers ask for addresses; empty for none.
        peer_port: UDP port for reports between daemons, the same on all instances.
        metrics_port: TCP port of the metrics.
        store_address: The platform's store.
        limits: What the instance gives.
        configuration_s: Time within which a changed configuration is in force.
        drain_s: Time within which a leaving backend server gets no more work.
        stop_s: Time from SIGTERM until the platform kills the process.
        retry_ratio: Repeats allowed for each request of a service.
        retry_window_s: Span over which repeats are counted.
        retry_allowance: Repeats of all daemons allowed beside the ratio.
        order_turn_s: Least time between orders of two instances to a server.
        lookup_ttl_s: Longest time for which callers keep a lookup's answer.
        entry_life_s: Silence of a backend server after which its entry is removed.
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
    entry_life_s: float = ENTRY_LIFE_S


def changed_fields(current, found):
    """Returns the names of the fields in which two `EntrySettings` differ."""
    names = [each.name for each in fields(found)]
    return [name for name in names if getattr(found, name) != getattr(current, name)]


def merge(current, found):
    """Returns new settings with the fixed fields of those that a process runs on."""
    return replace(found, **{name: getattr(current, name) for name in FIXED_FIELDS})
