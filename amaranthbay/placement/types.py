"""Input and result of a placement decision.

A policy gets a `Demand` and a `PoolView` and returns a `Placement`. An interactive
request has a deadline for its first token; a patient one has none and may be queued.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from amaranthbay.kernel.requests import BackendServer

__all__ = ["Demand", "LazyViews", "Placement", "PoolTimes", "PoolView", "ServerView"]


@dataclass(frozen=True)
class ServerView:
    """What a daemon knows about one backend server.

    Attributes:
        server: The backend server.
        active: Requests that run or wait on it, estimated from its last report and
            this daemon's placements.
        waiting: Further requests that wait for one of its slots; 0 in the views of
            `LoadTracker`, which counts them in ``active``.
        queued_tokens: Prompt tokens of the prefills that run or wait on it.
        blocking_tokens: Part of ``queued_tokens`` that runs before a new
            interactive request, which the engine starts before waiting patient
            ones. None if unknown; all of ``queued_tokens`` then counts.
        slots: Requests that it can run at once.
        cached_tokens: Leading tokens of the prompt that are expected in its cache.
        link_bytes_s: Estimated rate of its KV cache transfers, in bytes per second.
        link_queued_bytes: Bytes of this daemon's transfers that the link still has
            to send.
        slowdown: Ratio of measured to expected prefill time; 1 is as expected.
        ramp: Share of the decisions, 0 to 1, that may choose the server. It is 0
            while the server doesn't report, and rises to 1 after its return.
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
    """Sequence of server views, each built when it is accessed.

    A policy reads only a sample of a large pool; building all views would take most
    of the time of a decision.
    """

    def __init__(self, servers, make_view):
        """Creates the sequence.

        Args:
            servers: Sequence of `BackendServer`.
            make_view: Function that takes a `BackendServer` and returns its
                `ServerView`.
        """
        self._servers = servers
        self._make_view = make_view

    def __len__(self):
        return len(self._servers)

    def __getitem__(self, index):
        return self._make_view(self._servers[index])


@dataclass(frozen=True)
class PoolTimes:
    """Engine times that the estimates are based on, in seconds.

    Attributes:
        prefill_token_s: Prefill time of one uncached token.
        decode_step_s: Time between two tokens of a stream.
        stream_s: Mean time that a stream holds a decode slot.
        kv_life_s: Time for which a prefill server keeps the KV cache of a finished
            prefill.
        kv_bytes_per_token: Size of the KV cache of one token, in bytes.
        overhead_s: Time that one request spends on the HTTP exchanges with the
            engines.
    """

    prefill_token_s: float = 0.0002
    decode_step_s: float = 0.02
    stream_s: float = 3.0
    kv_life_s: float = 0.9
    kv_bytes_per_token: float = 100_000.0
    overhead_s: float = 0.03


@dataclass(frozen=True)
class PoolView:
    """Snapshot of the pools that can serve a request.

    Attributes:
        prefill: Views of the prefill servers.
        decode: Views of the decode servers.
        availability_zone: Availability zone of the daemon.
        times: Engine times of the pools.
        goodput_weight: Weight of goodput against wasted prefill, 0 to 1.
        prefix_holders: Indexes in ``prefill`` of the servers that are expected to
            cache the start of the prompt.
    """

    prefill: Sequence[ServerView]
    decode: Sequence[ServerView]
    availability_zone: str
    times: PoolTimes = PoolTimes()
    goodput_weight: float = 0.5
    prefix_holders: tuple[int, ...] = ()


@dataclass(frozen=True)
class Demand:
    """What an attempt needs from its backend servers.

    Attributes:
        prompt_tokens: Estimated length of the prompt.
        max_tokens: Most tokens that the answer may have.
        interactive: Whether the caller has a target for the first token; otherwise
            the request is patient.
        remaining_s: Seconds until the first token is due; None if patient.
        excluded: Instances that must not be chosen.
        below_share: Whether patient requests have had less than their guaranteed
            share of the prompt tokens. They may then start even if interactive
            requests have to wait for them.
        seed: Seeds the sampling and the draw that is compared with
            `ServerView.ramp`, so that a decision can be reproduced.
    """

    prompt_tokens: int
    max_tokens: int
    interactive: bool
    remaining_s: float | None
    excluded: frozenset[str] = frozenset()
    below_share: bool = False
    seed: int = 0


@dataclass(frozen=True)
class Placement:
    """A chosen pair of backend servers.

    Attributes:
        prefill: View of the server that runs the prefill.
        decode: View of the server that runs the decode.
        first_token_s: Expected time to the first token in seconds; None if not
            estimated.
        reason: Why the pair was chosen, for the decision log.
        candidates: Instances that were considered; a policy that ranks them names
            the best first.
        prefill_end_s: Expected time until the prefill ends in seconds, including its
            wait in the queue; None if not estimated.
    """

    prefill: ServerView
    decode: ServerView
    first_token_s: float | None
    reason: str
    candidates: tuple[str, ...] = ()
    prefill_end_s: float | None = None
