"""Answers of a team about its services, callers and backend servers."""

from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec

from amaranthbay.config.types import Count, Name
from amaranthbay.config.workspaces import KeyedWorkspace
from amaranthbay.utils.checking import load_checked

__all__ = [
    "Answers",
    "CallerAnswer",
    "PoolAnswer",
    "ServiceAnswer",
    "load_answers",
]

Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=600_000)]
Call = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^(GET|POST|PUT|DELETE) /\S*$",
        description='a method and a path, like "POST /refunds"',
    ),
]
InstancesByZone = Annotated[
    dict[str, Annotated[int, msgspec.Meta(ge=1, le=10_000)]],
    msgspec.Meta(
        min_length=1,
        description="the number of instances in each availability zone,"
        ' like { "zone-a" = 2 }, each from 1 to 10000',
    ),
]


@dataclass(frozen=True)
class CallerAnswer:
    """Answers about a kind of caller.

    Attributes:
        name: Name of the kind, as callers send it in the ``X-Caller`` header.
        waits: Whether it has latency targets (``"with_target"``) or is patient
            (``"as_long_as_it_takes"``).
        first_token_ms: Target for the time to the first token, or to the answer of a
            plain service, in milliseconds; None if patient.
        between_tokens_ms: Target for the time between tokens, in milliseconds; None
            if patient or if the caller uses no model.
    """

    name: Name
    waits: Literal["with_target", "as_long_as_it_takes"]
    first_token_ms: Milliseconds | None = None
    between_tokens_ms: Milliseconds | None = None


@dataclass(frozen=True)
class ServiceAnswer:
    """Answers about a service.

    Attributes:
        name: Name of the service; for a model also the model's name.
        kind: ``"model"`` for a language model or ``"plain"``.
        callers: Kinds of caller that use it; the first is the default for callers
            that name none.
        pools: Names of the pools of backend servers that run it.
        non_idempotent: Calls that must not run twice, such as ``"POST /refunds"``.
    """

    name: Name
    kind: Literal["model", "plain"]
    callers: tuple[Name, ...]
    pools: tuple[Name, ...]
    non_idempotent: tuple[Call, ...] = ()


@dataclass(frozen=True)
class PoolAnswer:
    """Answers about a pool of backend servers.

    Attributes:
        name: Name of the pool in the platform's instance list.
        role: ``"prefill"``, ``"decode"`` or ``"plain"``.
        instances: Number of servers by availability zone.
        checks_sender: Whether its servers verify the sender of an order.
        checks_fence: Whether its servers refuse orders, such as a change of role,
            with an outdated fencing number.
        requests_at_once: Number of concurrent requests per server; None if unknown.
    """

    name: Name
    role: Literal["prefill", "decode", "plain"]
    instances: InstancesByZone
    checks_sender: bool
    checks_fence: bool
    requests_at_once: Count | None = None


@dataclass(frozen=True)
class Answers:
    """All answers of one team.

    Attributes:
        deployment: Name of the deployment.
        weigh_more: Which goal weighs more if goodput and low prefill waste conflict.
        entry_instances: Number of daemons by availability zone.
        callers: Kinds of caller.
        services: Services of the deployment.
        pools: Pools of backend servers.
        workspaces: Names of the admitted workspaces; empty admits any.
        keyed_workspaces: Workspaces with keys; None if callers need no key.
    """

    deployment: Name
    weigh_more: Literal["goodput", "wasted_prefill", "both_alike"]
    entry_instances: InstancesByZone
    callers: tuple[CallerAnswer, ...]
    services: tuple[ServiceAnswer, ...]
    pools: tuple[PoolAnswer, ...]
    workspaces: tuple[Name, ...] = ()
    keyed_workspaces: tuple[KeyedWorkspace, ...] | None = None


def load_answers(path):
    """Returns a `CheckResult` with `Answers`, or with all faults of the file."""
    from amaranthbay.config.rules import answer_faults

    return load_checked(path, Answers, answer_faults)
