"""Configuration of a deployment, as daemons enforce it."""

from dataclasses import dataclass
from functools import cached_property
from typing import Annotated, Literal

import msgspec

from amaranthbay.config.workspaces import (
    KeyedWorkspace,
    Name,
    WorkspaceKeys,
    key_table,
)

__all__ = [
    "CallPattern",
    "CallerKind",
    "Configuration",
    "Pool",
    "Service",
    "decode_configuration",
    "encode_configuration",
]

Seconds = Annotated[float, msgspec.Meta(gt=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1, le=10_000)]
Method = Literal["GET", "POST", "PUT", "DELETE"]


@dataclass(frozen=True)
class CallerKind:
    """A kind of caller and its latency targets.

    Attributes:
        name: Name of the kind, as callers send it in the ``X-Caller`` header.
        interactive: Whether it has latency targets. A caller without targets is
            patient: it waits as long as it takes.
        first_token_s: Target for the time to the first token or byte, in seconds;
            None if patient.
        between_tokens_s: Target for the time between tokens, in seconds; None if
            patient or if the caller uses no model.
    """

    name: Name
    interactive: bool
    first_token_s: Seconds | None = None
    between_tokens_s: Seconds | None = None


@dataclass(frozen=True)
class CallPattern:
    """Matches calls of a plain service by method and path prefix."""

    method: Method
    path_prefix: str = "/"


@dataclass(frozen=True)
class Pool:
    """A pool of backend servers that do the same work.

    Attributes:
        name: Name of the pool in the platform's instance list.
        role: ``"prefill"``, ``"decode"`` or ``"plain"``.
        slots: Number of concurrent requests per server.
        checks_fence: Whether its servers refuse orders, such as a change of role,
            with an outdated fencing number.
        checks_sender: Whether its servers verify the sender of an order.
    """

    name: Name
    role: Literal["prefill", "decode", "plain"]
    slots: Count = 20
    checks_fence: bool = False
    checks_sender: bool = False


@dataclass(frozen=True)
class Service:
    """A service that callers use.

    Attributes:
        name: Name of the service; for a model also the model's name.
        kind: ``"model"`` or ``"plain"``; both are registered service kinds.
        pools: Names of the pools that run it.
        callers: Names of the kinds of caller that may use it; the first is the
            default.
        non_idempotent: Calls that run at most once.
    """

    name: Name
    kind: Literal["model", "plain"]
    pools: tuple[str, ...]
    callers: tuple[str, ...]
    non_idempotent: tuple[CallPattern, ...] = ()


@dataclass(frozen=True)
class Configuration:
    """Services, callers, pools and goals of a deployment.

    Attributes:
        version: 0 until accepted; increases by one with each accepted configuration.
        deployment: Name of the deployment.
        services: Services of the deployment.
        callers: Kinds of caller.
        pools: Pools of backend servers.
        workspaces: Names of the admitted workspaces; empty admits any.
        goodput_weight: Weight of goodput relative to wasted prefill, from 0 to 1.
        lookup_ttl_s: Time for which callers cache the daemon addresses that a lookup
            returns, in seconds.
        crash_limit: Number of backend servers that one request may crash before it
            is refused; 1 has the effect of 2.
        keyed_workspaces: Workspaces with keys. If there are any, each request needs
            a key; None if callers need no key.
    """

    version: Annotated[int, msgspec.Meta(ge=0)]
    deployment: Name
    services: tuple[Service, ...]
    callers: tuple[CallerKind, ...]
    pools: tuple[Pool, ...]
    workspaces: tuple[str, ...] = ()
    goodput_weight: Share = 0.5
    lookup_ttl_s: Seconds = 30.0
    crash_limit: Count = 2
    keyed_workspaces: tuple[KeyedWorkspace, ...] | None = None

    @cached_property
    def workspace_keys(self):
        """`WorkspaceKeys` of this version, made at the first use."""
        entries = self.keyed_workspaces
        return WorkspaceKeys(self.version, key_table(entries) if entries else None)

    @cached_property
    def _workspace_names(self):
        return frozenset(self.workspaces)

    def admits(self, workspace):
        """Returns whether requests of a workspace are admitted."""
        return not self.workspaces or workspace in self._workspace_names

    def service(self, name):
        """Returns the service with a name, or None."""
        return next((each for each in self.services if each.name == name), None)

    def caller(self, name):
        """Returns the kind of caller with a name, or None."""
        return next((each for each in self.callers if each.name == name), None)

    def pool(self, name):
        """Returns the pool with a name, or None."""
        return next((each for each in self.pools if each.name == name), None)


def encode_configuration(cfg):
    """Returns the configuration as canonical JSON bytes.

    Without workspaces with keys the bytes are those of releases that don't know them.
    """
    document = msgspec.to_builtins(cfg)
    if cfg.keyed_workspaces is None:
        del document["keyed_workspaces"]
    # Not sorted: earlier releases write the fields in the order of the class.
    return msgspec.json.encode(document)


def decode_configuration(body):
    """Returns the `Configuration` that JSON bytes encode.

    Raises:
        msgspec.DecodeError: If the bytes are not JSON.
        msgspec.ValidationError: If a value is missing or not allowed.
    """
    return msgspec.json.decode(body, type=Configuration)
