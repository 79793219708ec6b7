"""The generated configuration that daemons enforce."""

from dataclasses import dataclass
from functools import cached_property
from typing import Annotated, Literal

import msgspec

__all__ = [
    "CallPattern",
    "CallerKind",
    "Configuration",
    "Pool",
    "Service",
    "decode_configuration",
    "encode_configuration",
]

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1, le=10_000)]
Method = Literal["GET", "POST", "PUT", "DELETE"]


@dataclass(frozen=True)
class CallerKind:
    """A kind of caller and how long it waits.

    Attributes:
        name: Name that callers send.
        interactive: Whether it waits with a target.
        first_token_s: Target for the first token or byte; None if patient.
        between_tokens_s: Target between tokens; None if patient.
    """

    name: Name
    interactive: bool
    first_token_s: Seconds | None = None
    between_tokens_s: Seconds | None = None


@dataclass(frozen=True)
class CallPattern:
    """Calls of a plain service, by method and path prefix."""

    method: Method
    path_prefix: str = "/"


@dataclass(frozen=True)
class Pool:
    """Backend servers that do the same work.

    Attributes:
        name: Name that the instance list uses.
        role: ``"prefill"``, ``"decode"`` or ``"plain"``.
        slots: Requests that one server holds.
        checks_fence: Whether its servers refuse orders with an old number.
        checks_sender: Whether its servers check who gives an order.
    """

    name: Name
    role: Literal["prefill", "decode", "plain"]
    slots: Count = 20
    checks_fence: bool = False
    checks_sender: bool = False


@dataclass(frozen=True)
class Service:
    """A service that callers name.

    Attributes:
        name: Name of the service; for a model also the model's name.
        kind: ``"model"`` or ``"plain"``, a registered service kind.
        pools: Names of its pools.
        callers: Kinds of caller that may use it; the first is the default.
        non_idempotent: Calls that run at most once.
    """

    name: Name
    kind: Literal["model", "plain"]
    pools: tuple[str, ...]
    callers: tuple[str, ...]
    non_idempotent: tuple[CallPattern, ...] = ()


@dataclass(frozen=True)
class Configuration:
    """Everything that the daemons need to know about the users' aims.

    Attributes:
        version: 0 until accepted; rises by one with each acceptance.
        deployment: Name of the deployment.
        services: The services.
        callers: Kinds of caller.
        pools: Pools of backend servers.
        workspaces: Names of the workspaces; empty admits any name.
        goodput_weight: Weight of goodput against wasted prefill, 0 to 1.
        lookup_ttl_s: How long callers keep a lookup's answer.
        crash_limit: Backend servers that one request may take down.
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

    @cached_property
    def _workspace_names(self):
        return frozenset(self.workspaces)

    def admits(self, workspace):
        """Returns whether a workspace may send requests."""
        return not self.workspaces or workspace in self._workspace_names

    def service(self, name):
        """Returns a service by name, or None."""
        return next((each for each in self.services if each.name == name), None)

    def caller(self, name):
        """Returns a kind of caller by name, or None."""
        return next((each for each in self.callers if each.name == name), None)

    def pool(self, name):
        """Returns a pool by name, or None."""
        return next((each for each in self.pools if each.name == name), None)


def encode_configuration(cfg):
    """Returns the configuration as canonical JSON bytes."""
    return msgspec.json.encode(cfg, order="deterministic")


def decode_configuration(body):
    """Returns a `Configuration`; raises msgspec.ValidationError on bad input."""
    return msgspec.json.decode(body, type=Configuration)
