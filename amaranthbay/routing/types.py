"""Types of the routing configuration and of the backend servers."""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "BackendServer",
    "CallKind",
    "ClientLimits",
    "Engine",
    "EntryRevision",
    "Route",
    "Service",
    "Stage",
    "WeightedService",
]


class CallKind(StrEnum):
    """What may be repeated on a route, and how it is answered."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Stage(StrEnum):
    """Pool of a model server."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True)
class WeightedService:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Requests of one host whose path begins with a prefix.

    Attributes:
        name: Name of the route.
        host: Host that the request names, in lower case.
        prefix: Begins and ends with a slash.
        kind: What may be repeated.
        services: Services that share the requests by weight.
        timeout_s: Longest time that a request may be kept waiting.
        target_s: Time to the answer, or to the first event, that is aimed at.
        max_attempts: Backend servers to which one request may be sent.
        resumable: Whether a broken stream may continue at another server.
        max_gap_s: Longest pause between events that is still on time.
        priority: Rank of the route; 0 is the highest.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    target_s: float
    max_attempts: int = 1
    resumable: bool = False
    max_gap_s: float | None = None
    priority: int = 1

    @property
    def repeatable(self):
        """Whether a request may run more than once."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT


@dataclass(frozen=True)
class Engine:
    """What the model servers of a service have in common.

    Attributes:
        slots: Requests that a server runs at once.
        memory_tokens: Tokens of KV cache that a server holds.
        handle_life_s: Time for which a prefill's KV cache is kept.
        stage_switch_s: Time that a change of the stage takes.
        hold_life_s: Longest life of a reservation; 0 if servers take none.
    """

    slots: int
    memory_tokens: int
    handle_life_s: float = 0.5
    stage_switch_s: float = 0.0
    hold_life_s: float = 0.0


@dataclass(frozen=True)
class Service:
    """A group of backend servers that answer the same requests.

    Attributes:
        name: Name of the service.
        max_connections: Connections that each server accepts from all daemons.
        engine: Traits of its model servers; None for a plain service.
    """

    name: str
    max_connections: int
    engine: Engine | None = None


@dataclass(frozen=True)
class ClientLimits:
    """Bounds on what a caller may send and how slowly."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, order=True)
class EntryRevision:
    """Age of what a server's entry says; a later one is greater.

    Attributes:
        started_ms: Unix time of the server's start in milliseconds; 0 if not stated.
        sequence: Rises with what the server writes after a start.
    """

    started_ms: int = 0
    sequence: int = 0


@dataclass(frozen=True)
class BackendServer:
    """One running backend server.

    Attributes:
        name: Identity of this incarnation; a server that finds another one
            expected refuses the request.
        service: Service that it belongs to.
        address: Host and port.
        availability_zone: Where it runs.
        slots: Requests that it runs at once.
        draining: Whether it takes no new work.
        stage: Pool of a model server; None for a plain service.
        revision: `EntryRevision` of the entry that says so.
    """

    name: str
    service: str
    address: str
    availability_zone: str
    slots: int = 1
    draining: bool = False
    stage: Stage | None = None
    revision: EntryRevision = field(default=EntryRevision(), compare=False)
