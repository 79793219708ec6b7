"""Finds mistakes in an operator's configuration, with the paths of its fields."""

from dataclasses import dataclass

from amaranthbay.platform.document_types import ConfigurationRow
from amaranthbay.platform.documents import (
    CALL_KINDS,
    MAX_SHOWN,
    decode_configuration,
    tenant_faults,
)
from amaranthbay.routing.checks import FindingKind, find_mistakes
from amaranthbay.utils.decoding import decode_json

__all__ = ["FieldFinding", "check_configuration"]

# Fields by the attributes of `amaranthbay.routing` and `amaranthbay.workspaces`.
FIELD_NAMES = {
    "version": "Version",
    "routes": "Routes",
    "services": "Services",
    "name": "Name",
    "host": "Host",
    "prefix": "PathPrefix",
    "timeout_s": "TimeoutMs",
    "target_s": "TargetLatencyMs",
    "max_attempts": "MaxAttempts",
    "max_gap_s": "GapAimMs",
    "service": "Service",
    "weight": "Weight",
    "max_connections": "MaxConnections",
    "engine": "Engine",
    "slots": "Slots",
    "memory_tokens": "KvCapacity",
    "limits": "Limits",
    "header_bytes": "MaxHeaderBytes",
    "body_bytes": "MaxBodyBytes",
    "header_timeout_s": "HeaderTimeoutMs",
    "idle_timeout_s": "IdleTimeoutMs",
    "workspaces": "Tenants",
    "keys": "ApiKeys",
    "burst": "Burst",
    "plain_tokens": "PlainTokens",
}
# Separates the text of an error of msgspec from the path of the field.
PATH_MARK = " - at `$"


@dataclass(frozen=True)
class FieldFinding:
    """A mistake in a configuration as an operator wrote it.

    Attributes:
        kind: `FindingKind`.
        path: Path of the field, for example ``Routes[0].TimeoutMs``; empty for the
            whole configuration.
        text: What is wrong; it names no key.
    """

    kind: FindingKind
    path: str
    text: str

    def __str__(self):
        return f"{self.path}: {self.text}" if self.path else self.text


def check_configuration(body, in_force=None):
    """Returns a `FieldFinding` for each mistake in an operator's configuration.

    Args:
        body: Bytes of the configuration.
        in_force: `RoutingTable` in force; None to compare with none.
    """
    decoded = decode_json(body, ConfigurationRow)
    if decoded.is_err():
        return [_undecodable(decoded.unwrap_err())]
    document = decoded.unwrap()
    findings = [_error(*fault) for fault in tenant_faults(document.Tenants or ())]
    findings += _ignored_values(document)
    table = decode_configuration(body)
    if table.is_ok():
        # A later service replaces an earlier one of the same name.
        positions = {each.Name: index for index, each in enumerate(document.Services)}
        for finding in find_mistakes(table.unwrap(), in_force):
            path = _field_path(finding.path, document.Routes, positions)
            findings.append(FieldFinding(finding.kind, path, finding.text))
    return findings


def _error(path, text):
    return FieldFinding(FindingKind.ERROR, path, text)


def _undecodable(detail):
    text, _, path = detail.partition(PATH_MARK)
    return _error(path.rstrip("`").lstrip("."), text)


def _ignored_values(document):
    """Yields findings on values for which the decoder silently uses others."""
    for index, route in enumerate(document.Routes):
        path = f"Routes[{index}]"
        if route.Kind not in CALL_KINDS:
            text = f"{route.Kind[:MAX_SHOWN]!r} is none of {', '.join(CALL_KINDS)}"
            yield _error(f"{path}.Kind", text)
        if route.MaxAttempts < 1:
            yield _error(f"{path}.MaxAttempts", "there must be at least one attempt")
        if route.Split and route.Service:
            text = "the split replaces this service"
            yield FieldFinding(FindingKind.UNUSED, f"{path}.Service", text)
    names = set()
    for index, service in enumerate(document.Services):
        if service.Name in names:
            text = f"two services have the name {service.Name[:MAX_SHOWN]!r}"
            yield _error(f"Services[{index}].Name", text)
        names.add(service.Name)


def _field_path(path, routes, service_positions):
    """Returns the path of a field, as operators write it.

    Args:
        path: Path of a `Finding`.
        routes: Each `RouteRow`.
        service_positions: Position of each service by its name.
    """
    names = list(path)
    if names[0] == "routes" and "services" in names:
        names[2:] = _share_path(names[2:], routes[names[1]])
    text = ""
    for name in names:
        if isinstance(name, int):
            text += f"[{name}]"
        elif text == "Services":
            # Services are found by name.
            text += f"[{service_positions[name]}]"
        else:
            text += f".{FIELD_NAMES.get(name, name)}"
        text = text.lstrip(".")
    return text


def _share_path(names, route):
    """Returns the part of a path within a route that leads to one of its services."""
    if route.Split:
        return ["Split", *names[1:]]
    return ["service"]
