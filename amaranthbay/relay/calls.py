"""A caller's request in the relay."""

from dataclasses import dataclass, field

from amaranthbay.relay.codec import CallHead, ForwardOptions
from amaranthbay.routing import Route, Service
from amaranthbay.workspaces import Workspace
from amaranthbay.workspaces.access import CallerAccess
from amaranthbay.workspaces.quotas import Charge

__all__ = ["Call"]


@dataclass(frozen=True)
class Call:
    """One request of a caller.

    Attributes:
        request_id: Id for logs: the caller's attempt id, or a generated one.
        method: Method in bytes.
        target: Path and query in bytes, as the caller sent them.
        headers: Pairs of name and value in bytes, as the caller sent them; left out of
            the text form, as they may have a key.
        body: The whole body.
        declares_body: Whether the headers declare a body, even an empty one.
        head: `CallHead` read from the headers.
        route: Route of the request.
        service: Service that the route has selected.
        arrived_at: Monotonic time at which the request was read.
        ends_at: Monotonic time of the deadline, at which the relay ends the request.
        workspace: `Workspace` of the caller's key; None if there is none.
        access: `CallerAccess` with which the request was admitted; None for a request
            that needs none.
        charge: `Charge` to its quota; None if there is none.
    """

    request_id: str
    method: bytes
    target: bytes
    headers: tuple = field(repr=False)
    body: bytes
    declares_body: bool
    head: CallHead
    route: Route
    service: Service
    arrived_at: float
    ends_at: float
    workspace: Workspace | None = None
    access: CallerAccess | None = None
    charge: Charge | None = None

    @property
    def units(self):
        """Units of its workspace's quota that the request counts as."""
        head = self.head
        return self.workspace.units_of(head.prompt_tokens, head.max_output_tokens)

    def refund(self):
        """Gives back what was charged, as the request did not run and never will."""
        if self.charge is not None:
            self.charge.refund()

    @property
    def priority(self):
        """Rank of the request as a pair; a lower one comes first.

        That of its workspace, if it has one, comes before that of its route, which
        ranks the requests of workspaces of equal rank.
        """
        rank = self.route.priority
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority, rank
        return rank, rank

    def access_refusal(self):
        """Returns the `Refusal` if the caller's key no longer holds, else None."""
        return None if self.access is None else self.access.refusal()

    def forward_options(self, server, now, **options):
        """Returns the `ForwardOptions` of a send to a server.

        Args:
            server: Name of the server.
            now: Monotonic time.
            **options: Further fields.
        """
        workspace = None if self.access is None else self.access.forwarded_name()
        return ForwardOptions(server, self.left_s(now), workspace=workspace, **options)

    def left_s(self, now):
        """Returns the seconds until the deadline, at least 0."""
        return max(0.0, self.ends_at - now)

    @property
    def target_at(self):
        """Monotonic time until which an answer or a first event is on time."""
        return self.arrived_at + self.route.target_s
