"""Finds mistakes in a routing configuration that can be decoded.

The paths of the findings consist of names of attributes and positions; an adapter
turns them into the field names that operators write.
"""

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum

from amaranthbay.routing.changes import describe_changes
from amaranthbay.routing.types import CallKind
from amaranthbay.workspaces import QuotaUnit

__all__ = ["Finding", "FindingKind", "find_mistakes"]


class FindingKind(StrEnum):
    """How serious a finding is.

    Attributes:
        ERROR: The configuration can't be used, or refuses requests that it names.
        UNUSED: An entry can never match or be used.
        CONTRADICTION: Two limits contradict each other.
    """

    ERROR = "error"
    UNUSED = "unused"
    CONTRADICTION = "contradiction"


@dataclass(frozen=True)
class Finding:
    """A mistake in a configuration.

    Attributes:
        kind: `FindingKind`.
        path: Attributes, positions of routes, shares and workspaces, and names of
            services that lead from the `RoutingTable` to the value.
        text: What is wrong, without the name of a field.
    """

    kind: FindingKind
    path: tuple
    text: str


def find_mistakes(table, in_force=None):
    """Yields a `Finding` for each mistake in a routing configuration.

    Args:
        table: `RoutingTable` to check.
        in_force: `RoutingTable` in force; None to compare with none.
    """
    if in_force is not None:
        yield from _version(table, in_force)
    yield from _duplicate_route_names(table)
    for index, route in enumerate(table.routes):
        yield from _route_target(("routes", index), route, table)
        yield from _route_match(("routes", index), route)
        yield from _route_limits(("routes", index), route)
    yield from _hidden_routes(table)
    yield from _services(table)
    yield from _client_limits(table.limits)
    yield from _workspaces(table)


def _error(path, text):
    return Finding(FindingKind.ERROR, path, text)


def _unused(path, text):
    return Finding(FindingKind.UNUSED, path, text)


def _contradiction(path, text):
    return Finding(FindingKind.CONTRADICTION, path, text)


def _version(table, in_force):
    """Yields a finding if instances would ignore the configuration."""
    newest = in_force.version
    if table.version < newest or (
        table.version == newest and describe_changes(in_force, table)
    ):
        text = f"version {newest} is in force, and only higher ones are adopted"
        yield _error(("version",), text)


def _duplicate_route_names(table):
    names = Counter()
    for index, route in enumerate(table.routes):
        names[route.name] += 1
        if names[route.name] == 2:
            text = f"two routes have the name {route.name!r}"
            yield _error(("routes", index, "name"), text)


def _route_target(path, route, table):
    """Yields findings on the services of a route and their shares."""
    weights = [share.weight for share in route.services]
    if min(weights) >= 0 and not any(weights):
        # The last service then takes all requests.
        yield _error((*path, "services"), "the shares of all services are zero")
    for index, share in enumerate(route.services):
        share_path = (*path, "services", index)
        service = table.services.get(share.service)
        if service is None:
            text = f"there is no service {share.service!r}"
            yield _error((*share_path, "service"), text)
        elif route.kind is CallKind.STREAM and service.engine is None:
            text = f"the service {share.service!r} has no model servers for streams"
            yield _error((*share_path, "service"), text)
        if share.weight < 0:
            yield _error((*share_path, "weight"), "the share is negative")
        elif share.weight == 0 and any(weights):
            text = f"the service {share.service!r} gets no request of this route"
            yield _unused((*share_path, "weight"), text)


def _route_match(path, route):
    """Yields findings on a host or a prefix that no request has.

    An empty host is that of requests without one. Targets of requests may also be ``*``
    or a whole URL.
    """
    name, colon, port = route.host.rpartition(":")
    if colon and port.isdigit() and "]" not in port and ":" not in name:
        text = f"the host {route.host!r} has a port, which is ignored in requests"
        yield _unused((*path, "host"), text)
    is_url = "://" in route.prefix
    if route.prefix and not is_url and not route.prefix.startswith(("/", "*")):
        text = f"no path begins with {route.prefix!r}, which has no slash at its start"
        yield _unused((*path, "prefix"), text)


def _hidden_routes(table):
    """Yields a finding for each route behind one of the same host and prefix.

    The longest prefix decides, so that no other route matches all that a route does.
    """
    first = {}
    for index, route in enumerate(table.routes):
        other = first.setdefault((route.host, route.prefix), route)
        if other is not route:
            text = f"the route {other.name!r} before it matches the same requests"
            yield _unused(("routes", index, "prefix"), text)


def _route_limits(path, route):
    """Yields findings on the times and attempts of a route."""
    for name, seconds in (("timeout_s", route.timeout_s), ("target_s", route.target_s)):
        if seconds <= 0:
            yield _error((*path, name), "the time must be positive")
    if route.timeout_s <= 0:
        return
    timeout = f"the timeout of {route.timeout_s:g} s"
    if route.target_s > route.timeout_s:
        text = f"the target of {route.target_s:g} s is longer than {timeout}"
        yield _contradiction((*path, "target_s"), text)
    elif (route.max_attempts - 1) * route.target_s >= route.timeout_s:
        text = (
            f"if each of {route.max_attempts} attempts takes the target of "
            f"{route.target_s:g} s, the last begins after {timeout}"
        )
        yield _contradiction((*path, "max_attempts"), text)
    if route.max_gap_s is None:
        return
    if route.max_gap_s <= 0:
        yield _error((*path, "max_gap_s"), "the time must be positive")
    elif route.max_gap_s > route.timeout_s:
        text = f"the longest gap of {route.max_gap_s:g} s is longer than {timeout}"
        yield _contradiction((*path, "max_gap_s"), text)


def _services(table):
    used = {share.service for route in table.routes for share in route.services}
    for name, service in table.services.items():
        path = ("services", name)
        if name not in used:
            yield _unused(path, f"no route leads to the service {name!r}")
        if service.max_connections <= 0:
            text = "without a connection, servers get no request"
            yield _error((*path, "max_connections"), text)
        engine = service.engine
        if engine is None:
            continue
        if engine.slots <= 0:
            text = "without a slot, servers run no request"
            yield _error((*path, "engine", "slots"), text)
        if engine.memory_tokens <= 0:
            text = "without a KV cache, servers run no request"
            yield _error((*path, "engine", "memory_tokens"), text)


def _client_limits(limits):
    for name in ("header_bytes", "header_timeout_s", "idle_timeout_s"):
        if getattr(limits, name) <= 0:
            yield _error(("limits", name), "the limit must be positive")
    if limits.body_bytes < 0:
        yield _error(("limits", "body_bytes"), "the limit is negative")


def _workspaces(table):
    if table.workspaces is None:
        return
    digests = table.workspaces.digests()
    any_public = any(route.public for route in table.routes)
    if not len(table.workspaces) and not any_public:
        text = "there is no workspace and no public route: every request is refused"
        yield _error(("workspaces",), text)
    for index, workspace in enumerate(table.workspaces.all()):
        path = ("workspaces", index)
        if not any_public and not digests[workspace.name]:
            text = (
                f"the workspace {workspace.name!r} has no key, and no route is public"
            )
            yield _unused((*path, "keys"), text)
        yield from _quota(path, workspace)


def _quota(path, workspace):
    """Yields findings on the rate and the burst of a `Workspace`."""
    if not workspace.rate_per_s:
        if workspace.burst:
            text = f"the burst of {workspace.burst:g} limits nothing without a rate"
            yield _contradiction((*path, "burst"), text)
        return
    unit = workspace.unit
    if not workspace.burst:
        rate = f"{workspace.rate_per_s:g} {unit} per second"
        text = f"the quota has a rate of {rate} and a burst of zero"
        yield _contradiction((*path, "burst"), text)
        return
    cost = workspace.units_of(0, 0)
    if workspace.burst < cost:
        text = (
            f"the burst of {workspace.burst:g} {unit} is below the cost of one "
            f"request, {cost} {unit}"
        )
        yield _contradiction((*path, "burst"), text)
    if unit is QuotaUnit.TOKENS and not cost:
        text = "requests that name no number of tokens are not counted"
        yield _contradiction((*path, "plain_tokens"), text)
    if unit is QuotaUnit.REQUESTS and workspace.plain_tokens:
        text = "the quota counts requests, so a number of tokens has no effect"
        yield _contradiction((*path, "plain_tokens"), text)
