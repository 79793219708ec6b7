"""A caller's request as it is relayed."""

from dataclasses import dataclass

from amaranthbay.relay.codec import CallHead
from amaranthbay.routing import Route, Service

__all__ = ["Call"]


@dataclass(frozen=True)
class Call:
    """One request of a caller.

    Attributes:
        request_id: Id for logs: the caller's, or one of our own.
        method: Method in bytes.
        target: Path and query in bytes, as the caller sent them.
        headers: Pairs of name and value in bytes, as the caller sent them.
        body: The whole body.
        framed: Whether the caller stated a body, if only an empty one.
        head: What the headers say.
        route: Route of the request.
        service: Service that takes it.
        arrived_at: Monotonic time at which its head was read.
        ends_at: Monotonic time at which the caller gets a final answer.
    """

    request_id: str
    method: bytes
    target: bytes
    headers: tuple
    body: bytes
    framed: bool
    head: CallHead
    route: Route
    service: Service
    arrived_at: float
    ends_at: float

    def left_s(self, now):
        """Returns the seconds that are left."""
        return max(0.0, self.ends_at - now)

    @property
    def target_at(self):
        """Monotonic time until which an answer earns its full value."""
        return self.arrived_at + self.route.target_s
