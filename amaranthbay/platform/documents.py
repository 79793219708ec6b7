"""Decodes rows of the platform's store into the types of `amaranthbay.routing`.

The rows are the operator's configuration and the entries of the backend servers. Only
the adapter uses their field names.
"""

from result import Err, Ok

from amaranthbay.platform.document_types import ConfigurationRow, ServerRow
from amaranthbay.routing import (
    BackendServer,
    CallKind,
    ClientLimits,
    Engine,
    EntryRevision,
    Route,
    RoutingTable,
    Service,
    Stage,
    WeightedService,
)
from amaranthbay.utils.decoding import decode_json
from amaranthbay.utils.http import is_ip_endpoint
from amaranthbay.utils.reading import Turn
from amaranthbay.workspaces import KeyTable, QuotaUnit, Workspace

__all__ = ["decode_configuration", "decode_server", "tenant_faults"]

MS_PER_S = 1000.0

CALL_KINDS = {
    "safe": CallKind.IDEMPOTENT,
    "unsafe": CallKind.NON_IDEMPOTENT,
    "streaming": CallKind.STREAM,
}
# Any other unit counts requests.
TOKEN_UNIT = "token_stream"
STAGES = {"prefill": Stage.PREFILL, "decode": Stage.DECODE}
IS_DRAINING_BY_STATE = {"ready": False, "draining": True}
# Longest name of a server, a version or a workspace. A report to other instances has
# room for a few.
MAX_NAME_CHARACTERS = 128
# Larger quotas are lowered to these, which no deployment reaches: sums of units must
# fit into the reports between instances.
MAX_UNITS = 1e12
MAX_PLAIN_TOKENS = 2**40
# Longer texts of other writers are cut off in messages.
MAX_SHOWN = 60


def decode_configuration(body):
    """Decodes the operator's configuration.

    Args:
        body: Bytes of the row.

    Returns:
        ``Result[RoutingTable, str]``.
    """
    decoded = decode_json(body, ConfigurationRow)
    if decoded.is_err():
        return decoded
    document = decoded.unwrap()
    workspaces = _to_key_table(document.Tenants)
    if workspaces.is_err():
        return workspaces
    services = {service.Name: _to_service(service) for service in document.Services}
    routes = tuple(_to_route(route) for route in document.Routes)
    limits = ClientLimits(
        header_bytes=document.Limits.MaxHeaderBytes,
        body_bytes=document.Limits.MaxBodyBytes,
        header_timeout_s=document.Limits.HeaderTimeoutMs / MS_PER_S,
        idle_timeout_s=document.Limits.IdleTimeoutMs / MS_PER_S,
    )
    return Ok(
        RoutingTable(document.Version, routes, services, limits, workspaces.unwrap())
    )


def _to_key_table(tenants):
    """Returns ``Result[KeyTable | None, str]``; an error names no key."""
    if tenants is None:
        return Ok(None)
    for _, detail in tenant_faults(tenants):
        return Err(detail)
    return Ok(
        KeyTable(
            (_to_workspace(tenant), tenant.ApiKeys or ())
            for tenant in _in_turns(tenants)
        )
    )


def tenant_faults(tenants):
    """Yields what is wrong with the names and the keys of workspaces.

    Args:
        tenants: Sequence of `TenantRow`.

    Yields:
        Pairs of the path of the field, as in ``Tenants[0].Name``, and a text, which
        names no key.
    """
    names, owners = set(), {}
    for index, tenant in enumerate(_in_turns(tenants)):
        path, shown = f"Tenants[{index}]", repr(tenant.Name[:MAX_SHOWN])
        if not _is_valid_name(tenant.Name):
            yield f"{path}.Name", f"{shown} can't be the name of a workspace"
        elif tenant.Name in names:
            yield f"{path}.Name", f"two workspaces have the name {shown}"
        names.add(tenant.Name)
        # No request carries an empty key.
        for key in filter(None, tenant.ApiKeys or ()):
            if owners.setdefault(key, index) != index:
                text = f"{shown} and another workspace have the same key"
                yield f"{path}.ApiKeys", text


def _in_turns(tenants):
    """Yields each tenant; other greenlets run in between if that takes long."""
    turn = Turn()
    for tenant in tenants:
        turn.give_way()
        yield tenant


def _to_workspace(tenant):
    by_tokens = tenant.Unit == TOKEN_UNIT
    return Workspace(
        name=tenant.Name,
        priority=tenant.Priority,
        rate_per_s=min(tenant.RatePerS or 0.0, MAX_UNITS),
        burst=min(tenant.Burst or 0.0, MAX_UNITS),
        unit=QuotaUnit.TOKENS if by_tokens else QuotaUnit.REQUESTS,
        plain_tokens=min(tenant.PlainTokens or 0, MAX_PLAIN_TOKENS),
    )


def _to_route(route):
    shares = tuple(
        WeightedService(share.Service, share.Weight) for share in route.Split
    )
    return Route(
        name=route.Name,
        host=route.Host.lower(),
        prefix=route.PathPrefix,
        # Calls of an unknown kind must not be repeated.
        kind=CALL_KINDS.get(route.Kind, CallKind.NON_IDEMPOTENT),
        services=shares or (WeightedService(route.Service, 1.0),),
        timeout_s=route.TimeoutMs / MS_PER_S,
        target_s=route.TargetLatencyMs / MS_PER_S,
        max_attempts=max(1, route.MaxAttempts),
        resumable=route.Resumable,
        max_gap_s=None if route.GapAimMs is None else route.GapAimMs / MS_PER_S,
        priority=route.Priority,
        public=bool(route.Public),
    )


def _to_service(service):
    engine = service.Engine
    if engine is None:
        return Service(service.Name, service.MaxConnections)
    return Service(
        service.Name,
        service.MaxConnections,
        Engine(
            slots=engine.Slots,
            memory_tokens=engine.KvCapacity,
            handle_ttl_s=engine.KvHoldS,
            stage_switch_s=engine.RoleSwitchS,
            hold_ttl_s=engine.HoldMs / MS_PER_S,
        ),
    )


def decode_server(name, body):
    """Decodes the entry of a backend server.

    The table may also hold rows of other programs; these yield an error. So do values
    that no server can have, such as a port out of range.

    Args:
        name: Name of the server, which is the key of the row.
        body: Bytes of the row.

    Returns:
        ``Result[BackendServer, str]``.
    """
    decoded = decode_json(body, ServerRow)
    if decoded.is_err():
        return decoded
    entry = decoded.unwrap()
    if entry.State not in IS_DRAINING_BY_STATE:
        return Err(f"unknown state {entry.State!r}")
    if entry.Stage is not None and entry.Stage not in STAGES:
        return Err(f"unknown stage {entry.Stage!r}")
    # The resolution of a name blocks the whole process.
    if not is_ip_endpoint(entry.Address):
        return Err(f"address {entry.Address[:MAX_SHOWN]!r} is not an IP address:port")
    if not _is_valid_name(name):
        return Err(f"the key {name[:MAX_SHOWN]!r} can't be the name of a server")
    if len(entry.Version) > MAX_NAME_CHARACTERS:
        return Err(f"the version {entry.Version[:MAX_SHOWN]!r}... is too long")
    return Ok(
        BackendServer(
            name=name,
            service=entry.Service,
            address=entry.Address,
            availability_zone=entry.Zone,
            slots=max(1, entry.Slots),
            draining=IS_DRAINING_BY_STATE[entry.State],
            stage=STAGES.get(entry.Stage),
            version=entry.Version,
            revision=EntryRevision(entry.born, entry.Sequence),
        )
    )


def _is_valid_name(name):
    """Returns whether a text can be a name of a server or workspace in headers."""
    if not 0 < len(name) <= MAX_NAME_CHARACTERS:
        return False
    return name.isprintable() and name == name.strip()
