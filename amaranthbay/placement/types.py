"""Snapshot, demand and outcome of a placement decision."""

from collections.abc import Sequence
from dataclasses import dataclass

from amaranthbay.kernel.requests import BackendServer

__all__ = ["Demand", "LazyViews", "Placement", "PoolTimes", "PoolView", "ServerView"]


@dataclass(frozen=True)
class ServerView:
    """What a daemon knows about one backend server.

    Attributes:
        server: The backend server.
        active: Requests that it runs, by its last report and own placements.
        waiting: Requests that wait there.
        queued_tokens: Prompt tokens that wait or run there.
        blocking_tokens: Part of them that an interactive request waits for; the
            engine takes it before patient ones that wait.
        slots: Requests that it holds.
        cached_tokens: Leading tokens of the prompt that its cache should hold.
        link_bytes_s: Estimated free rate of its KV cache transfers.
        link_queued_bytes: Bytes of own transfers that this link still has to send.
        slowdown: Measured time over expected time; 1 is as expected.
        ramp: Share of the decisions that may choose it; below 1 after its return.
    """

    server: BackendServer
    active: int = 0
    waiting: int = 0
    queued_tokens: int = 0
    blocking_tokens: int | None = None
    slots: int = 20
    cached_tokens: int = 0
    link_bytes_s: float = 2.0e9
    link_queued_bytes: float = 0.0
    slowdown: float = 1.0
    ramp: float = 1.0


class LazyViews(Sequence):
    """Builds the view of a server only when a policy looks at it.

    A policy that samples a large pool would spend most of its time on views that
    it never reads.
    """

    def __init__(self, servers, to_view):
        self._servers = servers
        self._to_view = to_view

    def __len__(self):
        return len(self._servers)

    def __getitem__(self, index):
        return self._to_view(self._servers[index])


@dataclass(frozen=True)
class PoolTimes:
    """Times of the engines as measured by the daemon.

    Attributes:
        prefill_token_s: Prefill time of one uncached token.
        decode_step_s: Time between two tokens.
        stream_s: Mean time that a stream holds a decode slot.
        kv_life_s: How long a prefill's result is kept.
        kv_bytes_token: KV cache bytes of one token.
        overhead_s: Time of the exchanges of one request.
    """

    prefill_token_s: float = 0.0002
    decode_step_s: float = 0.02
    stream_s: float = 3.0
    kv_life_s: float = 0.9
    kv_bytes_token: float = 100_000.0
    overhead_s: float = 0.03


@dataclass(frozen=True)
class PoolView:
    """Snapshot of the pools that may serve a request.

    Attributes:
        prefill: Views of the prefill servers.
        decode: Views of the decode servers.
        availability_zone: Where the daemon runs.
        times: Times of the engines.
        goodput_weight: Weight of goodput against wasted prefill, 0 to 1.
        holders: Positions of prefill servers that should hold a prefix.
    """

    prefill: Sequence[ServerView]
    decode: Sequence[ServerView]
    availability_zone: str
    times: PoolTimes = PoolTimes()
    goodput_weight: float = 0.5
    holders: tuple[int, ...] = ()


@dataclass(frozen=True)
class Demand:
    """What an attempt needs.

    Attributes:
        prompt_tokens: Estimated length of the prompt.
        max_tokens: Longest answer.
        interactive: Whether the caller waits with a target.
        remaining_s: Time until the first token is due; None if patient.
        excluded: Instances that must not be chosen.
        owed: Whether patient work has had less than its share, so that it starts
            even where interactive work would have to wait for it.
        seed: Breaks ties and selects samples, so that decisions are repeatable.
    """

    prompt_tokens: int
    max_tokens: int
    interactive: bool
    remaining_s: float | None
    excluded: frozenset[str] = frozenset()
    owed: bool = False
    seed: int = 0


@dataclass(frozen=True)
class Placement:
    """A chosen pair of backend servers.

    Attributes:
        prefill: Runs the prefill.
        decode: Runs the decode.
        first_token_s: Expected time to the first token; None if not estimated.
        reason: Why this pair.
        candidates: Names of the candidates, best first.
        prefill_s: Expected time until the prefill has ended; None if not estimated.
    """

    prefill: ServerView
    decode: ServerView
    first_token_s: float | None
    reason: str
    candidates: tuple[str, ...] = ()
    prefill_s: float | None = None
