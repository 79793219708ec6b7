"""Data classes of the request path: requests, attempts, answers, backend servers."""

from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = ["Answer", "Attempt", "BackendServer", "CallerRequest", "Work"]


@dataclass(frozen=True)
class BackendServer:
    """One live backend server of a pool.

    Attributes:
        instance: Name of the instance that runs it.
        pool: Name of its pool in the configuration.
        role: ``"prefill"``, ``"decode"`` or ``"plain"``.
        address: ``host:port`` of its HTTP interface.
        availability_zone: Availability zone of the instance.
        leaving: Whether it is shutting down and must get no new work.
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
        request_id: Id of the request, chosen by the caller or else by the daemon.
        service: Name of the service.
        workspace: Name of the workspace.
        caller: Kind of caller, as named in the configuration.
        payload: `ModelCall` or `PlainCall`.
        idempotency_key: Key of a non-idempotent call, if any.
        gone: Event that is set when the caller disconnects.
        credentials: Digests of the keys that the request carries, in bytes; left out of
            the text form.
    """

    request_id: str
    service: str
    workspace: str
    caller: str
    payload: object
    idempotency_key: str | None = None
    gone: object = field(default=None, compare=False)
    credentials: tuple[bytes, ...] = field(default=(), repr=False)


@dataclass(frozen=True)
class Work:
    """A classified request.

    Attributes:
        request: The caller's request.
        interactive: Whether the caller has a target for the first token; else the
            request is patient and may be queued.
        deadline: Monotonic time in seconds at which the first token or byte is due;
            None if the request is patient.
        idempotent: Whether the call may run more than once.
        arrived: Monotonic time of arrival in seconds.
        access: `workspaces.access.CallerAccess` that the request was admitted with;
            None if that wasn't checked.
    """

    request: CallerRequest
    interactive: bool
    deadline: float | None
    idempotent: bool
    arrived: float
    access: object = field(default=None, repr=False, compare=False)

    @property
    def workspace(self):
        """`workspaces.Workspace` of the request's key; None if it needs no key."""
        return None if self.access is None else self.access.workspace

    @property
    def priority(self):
        """Rank of the request by its workspace, 0 is the highest.

        Without keys all requests have the same rank.
        """
        return 0 if self.workspace is None else self.workspace.priority

    def refusal(self):
        """Returns the `Refusal` if the configuration in force no longer admits it."""
        return None if self.access is None else self.access.refusal()


@dataclass(frozen=True)
class Attempt:
    """One attempt to run a request.

    Attributes:
        request_id: Id of the request.
        attempt_id: Id that is unique over all daemons and incarnations.
        number: Number of the attempt, from 1.
    """

    request_id: str
    attempt_id: str
    number: int


@dataclass(frozen=True)
class Answer:
    """HTTP response to the caller.

    Attributes:
        status: HTTP status.
        content_type: Media type of the body.
        chunks: Iterator over the parts of the body; releases its resources when it ends
            or is closed.
        headers: Further HTTP headers.
    """

    status: int
    content_type: str
    chunks: Iterator
    headers: tuple[tuple[str, str], ...] = ()
