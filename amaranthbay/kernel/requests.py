"""Requests as the kernel sees them, and what travels with them."""

from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = ["Answer", "Attempt", "BackendServer", "CallerRequest", "Work"]


@dataclass(frozen=True)
class BackendServer:
    """One live backend server of a pool.

    Attributes:
        instance: Name of the instance that runs it.
        pool: Pool of the configuration it belongs to.
        role: ``"prefill"``, ``"decode"`` or ``"plain"``.
        address: ``host:port`` of its HTTP interface.
        availability_zone: Where it runs.
        leaving: Whether it must receive no new work.
    """

    instance: str
    pool: str
    role: str
    address: str
    availability_zone: str
    leaving: bool = False


@dataclass(frozen=True)
class CallerRequest:
    """A request as a caller sent it, decoded and checked.

    Attributes:
        request_id: Identity of the request, chosen by the caller or the daemon.
        service: Name of the service.
        workspace: Name of the workspace.
        caller: Kind of caller, as named in the configuration.
        payload: `ModelCall` or `PlainCall`.
        idempotency_key: Key of a non-idempotent call, if any.
        gone: Event that is set when the caller's connection closes.
    """

    request_id: str
    service: str
    workspace: str
    caller: str
    payload: object
    idempotency_key: str | None = None
    gone: object = field(default=None, compare=False)


@dataclass(frozen=True)
class Work:
    """A classified request.

    Attributes:
        request: The caller's request.
        interactive: Whether the caller waits with a target.
        deadline: Monotonic time by which the first byte is due; None if patient.
        idempotent: Whether the call may run more than once.
        arrived: Monotonic time of arrival.
    """

    request: CallerRequest
    interactive: bool
    deadline: float | None
    idempotent: bool
    arrived: float


@dataclass(frozen=True)
class Attempt:
    """One try of a request.

    Attributes:
        request_id: The request it belongs to.
        attempt_id: Unique over all daemons and incarnations.
        number: 1 for the first try.
    """

    request_id: str
    attempt_id: str
    number: int


@dataclass(frozen=True)
class Answer:
    """What goes back to the caller.

    Attributes:
        status: HTTP status.
        content_type: Media type of the body.
        chunks: Body parts; closing the iterator releases what it holds.
        headers: Further HTTP headers.
    """

    status: int
    content_type: str
    chunks: Iterator
    headers: tuple[tuple[str, str], ...] = ()
