"""Snapshot, demand and outcome of a placement decision."""

from dataclasses import dataclass

from amaranthbay.kernel.requests import BackendServer

__all__ = ["Demand", "Placement", "PoolView", "ServerView"]


@dataclass(frozen=True)
class ServerView:
    """What a daemon knows about one backend server.

    Attributes:
        server: The backend server.
        active: Requests that it runs, by its last report and own placements.
        waiting: Requests that wait there.
        queued_tokens: Prompt tokens that wait or run there.
        slots: Requests that it holds.
        cached_tokens: Leading tokens of the prompt that its cache should hold.
        link_bytes_s: Estimated free rate of its KV cache transfers.
        slowdown: Measured time over expected time; 1 is as expected.
    """

    server: BackendServer
    active: int = 0
    waiting: int = 0
    queued_tokens: int = 0
    slots: int = 20
    cached_tokens: int = 0
    link_bytes_s: float = 2.0e9
    slowdown: float = 1.0


@dataclass(frozen=True)
class PoolView:
    """Snapshot of the pools that may serve a request."""

    prefill: tuple[ServerView, ...]
    decode: tuple[ServerView, ...]
    availability_zone: str


@dataclass(frozen=True)
class Demand:
    """What an attempt needs.

    Attributes:
        prompt_tokens: Estimated length of the prompt.
        max_tokens: Longest answer.
        interactive: Whether the caller waits with a target.
        remaining_s: Time until the first token is due; None if patient.
        excluded: Instances that must not be chosen.
    """

    prompt_tokens: int
    max_tokens: int
    interactive: bool
    remaining_s: float | None
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Placement:
    """A chosen pair of backend servers.

    Attributes:
        prefill: Runs the prefill.
        decode: Runs the decode.
        first_token_s: Expected time to the first token; None if not estimated.
        reason: Why this pair.
        candidates: Names of the candidates, best first.
    """

    prefill: ServerView
    decode: ServerView
    first_token_s: float | None
    reason: str
    candidates: tuple[str, ...] = ()
