"""Rows of the platform's store, with the field names of the platform."""

from typing import Annotated

import msgspec

from amaranthbay.utils.decoding import Count64, Int64

__all__ = [
    "ConfigurationRow",
    "EngineRow",
    "LimitsRow",
    "RouteRow",
    "ServerRow",
    "ServiceRow",
    "ShareRow",
    "TenantRow",
]

_Amount = Annotated[float, msgspec.Meta(ge=0)]


class ShareRow(msgspec.Struct):
    """Share of a service in the requests of a route."""

    Service: str
    Weight: float


class RouteRow(msgspec.Struct):
    """Route of the operator's configuration."""

    Name: str
    Host: str
    PathPrefix: str
    Kind: str
    TimeoutMs: float
    TargetLatencyMs: float
    Priority: Int64 = 1
    Service: str = ""
    # Weighted services, which replace `Service` if there are any.
    Split: list[ShareRow] = []
    MaxAttempts: Int64 = 1
    Resumable: bool = False
    # Longest intended time between two events of a stream.
    GapAimMs: float | None = None
    # Whether callers need no key.
    Public: bool | None = None


class EngineRow(msgspec.Struct):
    """Properties of the model servers of a service."""

    Slots: Int64
    # Size of the KV cache in tokens, not bytes.
    KvCapacity: Int64
    # Seconds for which the KV handle of a prefill is valid; not a hold, see `HoldMs`.
    KvHoldS: float = 0.5
    # Seconds that an engine needs to switch between prefill and decode.
    RoleSwitchS: float = 0.0
    # Longest time in milliseconds for which a hold, a reservation of a slot and of KV
    # cache, is kept.
    HoldMs: float = 0.0


class ServiceRow(msgspec.Struct):
    """Service of the operator's configuration."""

    Name: str
    MaxConnections: Int64 = 100
    Engine: EngineRow | None = None


class TenantRow(msgspec.Struct):
    """Workspace of the operator's configuration."""

    Name: str
    ApiKeys: list[str] | None = None
    Priority: Int64 | None = None
    Unit: str | None = None
    PlainTokens: Count64 | None = None
    RatePerS: _Amount | None = None
    Burst: _Amount | None = None

    def __repr__(self):
        # Its keys are secret.
        return f"TenantRow({self.Name!r})"


class LimitsRow(msgspec.Struct):
    """Limits on the requests of callers."""

    MaxHeaderBytes: Int64 = 16384
    MaxBodyBytes: Int64 = 4194304
    HeaderTimeoutMs: float = 3000.0
    IdleTimeoutMs: float = 15000.0


class ConfigurationRow(msgspec.Struct):
    """The operator's configuration."""

    Version: Int64
    Routes: list[RouteRow]
    Services: list[ServiceRow]
    Limits: LimitsRow = msgspec.field(default_factory=LimitsRow)
    # None if callers need no keys.
    Tenants: list[TenantRow] | None = None


class ServerRow(msgspec.Struct):
    """Entry of a backend server."""

    Service: str
    Address: str
    Zone: str
    State: str
    # Version of the server's software; that of the weights is in `Models`.
    Version: str = ""
    Slots: Int64 = 1
    Stage: str | None = None
    # Sequence number of the entry, counted from the start of the server.
    Sequence: Int64 = 0
    # Unix time in milliseconds at which the server started.
    born: Int64 = 0
