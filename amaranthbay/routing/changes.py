"""Describes the differences of two routing configurations in sentences."""

from dataclasses import fields

from amaranthbay.utils.differences import (
    capitalize,
    entry_differences,
    value_difference,
)

__all__ = ["describe_changes"]

LABELS = {
    "host": "the host",
    "prefix": "the path prefix",
    "kind": "the kind of its requests",
    "services": "the division of its requests",
    "timeout_s": "the timeout in seconds",
    "target_s": "the target in seconds",
    "max_attempts": "the number of attempts",
    "resumable": "whether a broken stream may continue",
    "max_gap_s": "the longest gap between events in seconds",
    "priority": "the priority",
    "public": "whether callers need no key",
    "max_connections": "the number of connections of a server",
    "slots": "the number of requests that one server runs at once",
    "memory_tokens": "the size of a server's KV cache in tokens",
    "handle_ttl_s": "the time in seconds for which a prefill is kept",
    "stage_switch_s": "the time in seconds that a change of the stage takes",
    "hold_ttl_s": "the longest time in seconds of a hold",
    "header_bytes": "the largest size of a header in bytes",
    "body_bytes": "the largest size of a body in bytes",
    "header_timeout_s": "the longest time in seconds for a header",
    "idle_timeout_s": "the longest idle time of a connection in seconds",
    "rate_per_s": "the rate of the quota in units per second",
    "burst": "the burst of the quota in units",
    "unit": "the unit of the quota",
    "plain_tokens": "the tokens of a request that names none",
}


def describe_changes(old, new):
    """Returns a sentence for each difference between two `RoutingTable`.

    Versions are not compared, and keys are not shown.
    """
    sentences = [
        *entry_differences("route", _by_name(old.routes), _by_name(new.routes), _route),
        *_precedence(old.routes, new.routes),
        *entry_differences("service", old.services, new.services, _service),
        *_field_differences("requests of callers: ", old.limits, new.limits),
    ]
    sentences.extend(_workspaces(old.workspaces, new.workspaces))
    return sentences


def _by_name(entries):
    return {each.name: each for each in entries}


def _precedence(old, new):
    """Yields a sentence if another of the routes with one host and prefix is used."""
    before, after = _first_routes(old), _first_routes(new)
    old_names, new_names = set(_by_name(old)), set(_by_name(new))
    for match in sorted(before.keys() & after.keys()):
        first, second = before[match], after[match]
        if first != second and first in new_names and second in old_names:
            yield f"The route {second} takes precedence over the route {first}."


def _first_routes(routes):
    """Returns the name of the first route by host and prefix."""
    first = {}
    for route in routes:
        first.setdefault((route.host, route.prefix), route.name)
    return first


def _field_differences(prefix, old, new, skip=("name",)):
    """Yields a sentence for each field of two data classes that differs."""
    for field in fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if field.name not in skip and before != after:
            yield value_difference(prefix, LABELS[field.name], before, after)


def _route(prefix, old, new):
    yield from _field_differences(prefix, old, new, {"name", "services"})
    if old.services != new.services:
        before, after = _shares_text(old), _shares_text(new)
        yield value_difference(prefix, LABELS["services"], before, after)


def _shares_text(route):
    if len(route.services) == 1:
        return route.services[0].service
    return ", ".join(f"{each.service} {each.weight:g}" for each in route.services)


def _service(prefix, old, new):
    yield from _field_differences(prefix, old, new, {"name", "engine"})
    if old.engine is None and new.engine is not None:
        yield capitalize(f"{prefix}it becomes a service of model servers.")
    elif old.engine is not None and new.engine is None:
        yield capitalize(f"{prefix}it becomes a service of plain servers.")
    elif old.engine is not None:
        yield from _field_differences(prefix, old.engine, new.engine)


def _workspaces(old, new):
    """Yields the differences of two `KeyTable`; either may be None."""
    if old is None and new is not None:
        yield "Callers need keys from now on."
    elif old is not None and new is None:
        yield "Callers need no keys any more."
    before, after = _keyed(old), _keyed(new)
    yield from entry_differences("workspace", before, after, _workspace)


def _keyed(table):
    """Returns each `Workspace` and the digests of its keys by its name."""
    if table is None:
        return {}
    digests = table.digests()
    return {each.name: (each, digests[each.name]) for each in table.all()}


def _workspace(prefix, old, new):
    (before, old_keys), (after, new_keys) = old, new
    yield from _field_differences(prefix, before, after)
    for verb, keys in (
        ("added", new_keys - old_keys),
        ("removed", old_keys - new_keys),
    ):
        if keys:
            count = "1 key is" if len(keys) == 1 else f"{len(keys)} keys are"
            yield capitalize(f"{prefix}{count} {verb}.")
