"""What a team answers about its services, callers and backend servers."""

from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec

from amaranthbay.config.types import Count, Name
from amaranthbay.utils.checking import load_checked

__all__ = [
    "Answers",
    "CallerAnswer",
    "PoolAnswer",
    "ServiceAnswer",
    "decode_answers",
]

Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=600_000)]
Call = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^(GET|POST|PUT|DELETE) /\S*$",
        description='a method and a path, like "POST /refunds"',
    ),
]
Zones = Annotated[
    dict[str, Annotated[int, msgspec.Meta(ge=1, le=10_000)]],
    msgspec.Meta(
        min_length=1,
        description="the number of instances in each availability zone,"
        ' like { "zone-a" = 2 }, each from 1 to 10000',
    ),
]


@dataclass(frozen=True)
class CallerAnswer:
    """A kind of caller.

    Attributes:
        name: Name that callers send.
        waits: Whether it waits with a target or as long as it takes.
        first_token_ms: Target for the first token or the answer of a plain call.
        between_tokens_ms: Target between the tokens of a model's answer.
    """

    name: Name
    waits: Literal["with_target", "as_long_as_it_takes"]
    first_token_ms: Milliseconds | None = None
    between_tokens_ms: Milliseconds | None = None


@dataclass(frozen=True)
class ServiceAnswer:
    """A service that callers name.

    Attributes:
        name: Name of the service; for a model also the model's name.
        kind: A language model, or a plain service.
        callers: Kinds of caller; the first is assumed if a caller names none.
        pools: Pools of backend servers that run it.
        non_idempotent: Calls that must not run twice.
    """

    name: Name
    kind: Literal["model", "plain"]
    callers: tuple[Name, ...]
    pools: tuple[Name, ...]
    non_idempotent: tuple[Call, ...] = ()


@dataclass(frozen=True)
class PoolAnswer:
    """A pool of backend servers.

    Attributes:
        name: Name of the pool in the platform's instance list.
        role: What its servers do.
        instances: Number of servers in each availability zone.
        checks_sender: Whether its servers check who gives an order.
        checks_fence: Whether its servers refuse an order with an old number.
        requests_at_once: Requests that one server holds, if known.
    """

    name: Name
    role: Literal["prefill", "decode", "plain"]
    instances: Zones
    checks_sender: bool
    checks_fence: bool
    requests_at_once: Count | None = None


@dataclass(frozen=True)
class Answers:
    """All answers of one team.

    Attributes:
        deployment: Name of the deployment.
        weigh_more: What counts more when both can't be had.
        entry_instances: Number of daemons in each availability zone.
        workspaces: Names of the workspaces; empty admits any name.
        callers: Kinds of caller.
        services: The services.
        pools: The pools.
    """

    deployment: Name
    weigh_more: Literal["goodput", "wasted_prefill", "both_alike"]
    entry_instances: Zones
    callers: tuple[CallerAnswer, ...]
    services: tuple[ServiceAnswer, ...]
    pools: tuple[PoolAnswer, ...]
    workspaces: tuple[Name, ...] = ()


def decode_answers(path):
    """Returns a `Checked` with `Answers`, or with every fault of the file."""
    from amaranthbay.config.rules import answer_faults

    return load_checked(path, Answers, answer_faults)
