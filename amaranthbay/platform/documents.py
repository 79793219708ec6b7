"""Decodes the platform's documents into the product's types.

The operator's configuration and the entries of the backend servers are rows of the
platform's store. Their field names appear only here.
"""

import msgspec
from result import Err, Ok

from amaranthbay.routing import (
    BackendServer,
    CallKind,
    ClientLimits,
    Engine,
    EntryRevision,
    Route,
    RoutingTable,
    Service,
    Stage,
    WeightedService,
)

__all__ = ["decode_configuration", "decode_server"]

MS_PER_S = 1000.0

KINDS = {
    "safe": CallKind.IDEMPOTENT,
    "unsafe": CallKind.NON_IDEMPOTENT,
    "streaming": CallKind.STREAM,
}
STAGES = {"prefill": Stage.PREFILL, "decode": Stage.DECODE}
DRAINING_STATES = {"ready": False, "draining": True}


class _Share(msgspec.Struct):
    Service: str
    Weight: float


class _Route(msgspec.Struct):
    Name: str
    Host: str
    PathPrefix: str
    Kind: str
    TimeoutMs: float
    TargetLatencyMs: float
    Priority: int = 1
    Service: str = ""
    Split: list[_Share] = []
    MaxAttempts: int = 1
    Resumable: bool = False
    GapAimMs: float | None = None


class _Engine(msgspec.Struct):
    Slots: int
    # Tokens of KV cache, not bytes.
    KvCapacity: int
    # Seconds for which a prefill's handle is valid.
    KvHoldS: float = 0.5
    RoleSwitchS: float = 0.0
    # Longest life of a reservation.
    HoldMs: float = 0.0


class _Service(msgspec.Struct):
    Name: str
    MaxConnections: int = 100
    Engine: _Engine | None = None


class _Limits(msgspec.Struct):
    MaxHeaderBytes: int = 16384
    MaxBodyBytes: int = 4194304
    HeaderTimeoutMs: float = 3000.0
    IdleTimeoutMs: float = 15000.0


class _Configuration(msgspec.Struct):
    Version: int
    Routes: list[_Route]
    Services: list[_Service]
    Limits: _Limits = msgspec.field(default_factory=_Limits)


class _Server(msgspec.Struct):
    Service: str
    Address: str
    Zone: str
    State: str
    Slots: int = 1
    Stage: str | None = None
    # Number of what the server has written since its start.
    Sequence: int = 0
    # Unix time of its start in milliseconds.
    born: int = 0


def decode_configuration(body):
    """Returns ``Result[RoutingTable, str]`` for the operator's row."""
    try:
        found = msgspec.json.decode(body, type=_Configuration)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Err(str(exc))
    services = {each.Name: _service(each) for each in found.Services}
    routes = tuple(_route(each) for each in found.Routes)
    limits = ClientLimits(
        header_bytes=found.Limits.MaxHeaderBytes,
        body_bytes=found.Limits.MaxBodyBytes,
        header_timeout_s=found.Limits.HeaderTimeoutMs / MS_PER_S,
        idle_timeout_s=found.Limits.IdleTimeoutMs / MS_PER_S,
    )
    return Ok(RoutingTable(found.Version, routes, services, limits))


def _route(found):
    shares = tuple(WeightedService(each.Service, each.Weight) for each in found.Split)
    return Route(
        name=found.Name,
        host=found.Host.lower(),
        prefix=found.PathPrefix,
        # A kind that is not known here is one that must not be repeated.
        kind=KINDS.get(found.Kind, CallKind.NON_IDEMPOTENT),
        services=shares or (WeightedService(found.Service, 1.0),),
        timeout_s=found.TimeoutMs / MS_PER_S,
        target_s=found.TargetLatencyMs / MS_PER_S,
        max_attempts=max(1, found.MaxAttempts),
        resumable=found.Resumable,
        max_gap_s=None if found.GapAimMs is None else found.GapAimMs / MS_PER_S,
        priority=found.Priority,
    )


def _service(found):
    engine = found.Engine
    if engine is None:
        return Service(found.Name, found.MaxConnections)
    return Service(
        found.Name,
        found.MaxConnections,
        Engine(
            slots=engine.Slots,
            memory_tokens=engine.KvCapacity,
            handle_life_s=engine.KvHoldS,
            stage_switch_s=engine.RoleSwitchS,
            hold_life_s=engine.HoldMs / MS_PER_S,
        ),
    )


def decode_server(name, body):
    """Returns ``Result[BackendServer, str]`` for a backend server's entry.

    An entry of another writer may be anything; it names no server to use.
    """
    try:
        found = msgspec.json.decode(body, type=_Server)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Err(str(exc))
    if found.State not in DRAINING_STATES:
        return Err(f"unknown state {found.State!r}")
    if found.Stage is not None and found.Stage not in STAGES:
        return Err(f"unknown stage {found.Stage!r}")
    host, _, port = found.Address.rpartition(":")
    if not host or not port.isdigit():
        return Err(f"unusable address {found.Address!r}")
    return Ok(
        BackendServer(
            name=name,
            service=found.Service,
            address=found.Address,
            availability_zone=found.Zone,
            slots=max(1, found.Slots),
            draining=DRAINING_STATES[found.State],
            stage=STAGES.get(found.Stage),
            revision=EntryRevision(found.born, found.Sequence),
        )
    )
