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
    """Whether requests of a route may run more than once, and how they are answered.

    Attributes:
        IDEMPOTENT: A request may run more than once.
        NON_IDEMPOTENT: A request must run at most once.
        STREAM: The answer is a stream of events. Whether a request may run more than
            once depends on `Route.resumable`.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Stage(StrEnum):
    """Stage of inference that a model server runs."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True)
class WeightedService:
    """A service that takes a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Share of the service, relative to the sum of the route's weights.
    """

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Rules for the requests of one host whose path begins with a prefix.

    Attributes:
        name: Name of the route.
        host: Host name in the ``Host`` header, in lower case.
        prefix: Path prefix; begins and ends with a slash.
        kind: Whether a request may run more than once, and how it is answered.
        services: Services that share the requests by weight.
        timeout_s: Longest time that a request may be kept waiting.
        target_s: Target for the time to the answer, or to the first event of a
            stream.
        max_attempts: Most backend servers to which one request is sent.
        resumable: Whether a broken stream may continue on another server.
        max_gap_s: Longest gap between events that still counts as on time; None for
            no limit.
        priority: Rank of the route; 0 is the highest.
        public: Whether callers need no key, although the configuration has workspaces.
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
    public: bool = False

    @property
    def repeatable(self):
        """Whether a request may run more than once; a stream may if resumable."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT


@dataclass(frozen=True)
class Engine:
    """Properties that all model servers of a service share.

    Attributes:
        slots: Requests that a server runs at once.
        memory_tokens: Size of a server's KV cache in tokens.
        handle_ttl_s: Time for which a prefill server keeps the KV cache of a prompt.
        stage_switch_s: Time that a server needs to change its stage.
        hold_ttl_s: Longest time for which a server keeps a hold (reserved slot and
            memory); 0 if servers offer none.
    """

    slots: int
    memory_tokens: int
    handle_ttl_s: float = 0.5
    stage_switch_s: float = 0.0
    hold_ttl_s: float = 0.0


@dataclass(frozen=True)
class Service:
    """A group of backend servers that answer the same requests.

    Attributes:
        name: Name of the service.
        max_connections: Connections that each server accepts from all instances
            together.
        engine: Properties of its model servers; None for a plain service.
    """

    name: str
    max_connections: int
    engine: Engine | None = None


@dataclass(frozen=True)
class ClientLimits:
    """Limits on the size of a caller's request and on the time that it may take.

    Attributes:
        header_bytes: Largest size of a request's header.
        body_bytes: Largest size of a request's body.
        header_timeout_s: Longest time in which the header must arrive.
        idle_timeout_s: Longest time that a connection may wait for a request, and in
            which the body must arrive.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, order=True)
class EntryRevision:
    """Revision of a server's entry in the server list; a later one compares greater.

    Attributes:
        started_ms: Unix time of the server's start in milliseconds; 0 if not stated.
        sequence: Number that increases with each write of the entry after that start.
    """

    started_ms: int = 0
    sequence: int = 0


@dataclass(frozen=True)
class BackendServer:
    """One running backend server.

    Attributes:
        name: Name of this incarnation of the server. A request carries the expected
            name, and a server with another name refuses it.
        service: Name of the service that it belongs to.
        address: ``host:port`` of its HTTP interface.
        availability_zone: Availability zone in which it runs.
        slots: Requests that it can run at once.
        draining: Whether it takes no new work.
        stage: Stage that a model server runs; None for a plain service.
        version: Version of its software, not of the weights.
        revision: `EntryRevision` of the entry that this was read from.
    """

    name: str
    service: str
    address: str
    availability_zone: str
    slots: int = 1
    draining: bool = False
    stage: Stage | None = None
    version: str = ""
    revision: EntryRevision = field(default=EntryRevision(), compare=False)
