"""A caller's request in the relay."""

from dataclasses import dataclass

from amaranthbay.relay.codec import CallHead
from amaranthbay.routing import Route, Service

__all__ = ["Call"]


@dataclass(frozen=True)
class Call:
    """One request of a caller.

    Attributes:
        request_id: Id for logs: the caller's attempt id, or a generated one.
        method: Method in bytes.
        target: Path and query in bytes, as the caller sent them.
        headers: Pairs of name and value in bytes, as the caller sent them.
        body: The whole body.
        declares_body: Whether the headers declare a body, even an empty one.
        head: `CallHead` read from the headers.
        route: Route of the request.
        service: Service that the route has selected.
        arrived_at: Monotonic time at which the request was read.
        ends_at: Monotonic time of the deadline, at which the relay ends the request.
    """

    request_id: str
    method: bytes
    target: bytes
    headers: tuple
    body: bytes
    declares_body: bool
    head: CallHead
    route: Route
    service: Service
    arrived_at: float
    ends_at: float

    def left_s(self, now):
        """Returns the seconds until the deadline, at least 0."""
        return max(0.0, self.ends_at - now)

    @property
    def target_at(self):
        """Monotonic time until which an answer or a first event is on time."""
        return self.arrived_at + self.route.target_s
