"""Routing configuration and the lookup of the route of a request."""

from dataclasses import dataclass, field

from amaranthbay.routing.types import ClientLimits, Route, Service
from amaranthbay.workspaces.keys import KeyTable

__all__ = ["RoutingTable", "choose_service"]


@dataclass(frozen=True)
class RoutingTable:
    """One version of the routing configuration.

    Attributes:
        version: Number that increases with each new configuration.
        routes: All routes, in any order.
        services: Services by name.
        limits: Limits on the requests of callers.
        workspaces: `KeyTable` of the workspaces; None if the deployment has none, so
            that callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ClientLimits = ClientLimits()
    workspaces: KeyTable | None = None
    _by_host: dict = field(init=False, repr=False, compare=False)

    def __post_init__(self):
        by_host = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        object.__setattr__(self, "_by_host", by_host)

    def find(self, host, path):
        """Returns the route of the host with the longest matching prefix, or None.

        Args:
            host: Value of the ``Host`` header; case and port are ignored.
            path: Path of the request without its query.
        """
        name = host.rsplit(":", 1)[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


def choose_service(route, draw):
    """Returns the name of the service that takes a request, chosen by weight.

    Args:
        route: `Route` of the request.
        draw: Random number in the interval [0, 1).

    Examples:
        >>> from amaranthbay.routing.types import CallKind, WeightedService
        >>> shares = (WeightedService("a", 90), WeightedService("b", 10))
        >>> route = Route("r", "h", "/", CallKind.IDEMPOTENT, shares, 1.0, 0.1)
        >>> choose_service(route, 0.89), choose_service(route, 0.91)
        ('a', 'b')
    """
    total = sum(share.weight for share in route.services)
    position = draw * total
    for share in route.services:
        position -= share.weight
        if position < 0:
            return share.service
    return route.services[-1].service
