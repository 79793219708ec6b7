"""Chooses backend servers; pure functions of the state that an instance knows."""

from dataclasses import dataclass

__all__ = [
    "Candidate",
    "choose_cheapest",
    "choose_decode",
    "choose_prefill",
    "failure_factor",
    "reachable",
]

# Extra cost of a server that fails all requests, as a multiple of its own cost. It
# grows with the square of the failure share.
FAILURE_FACTOR = 30.0
# Extra load of a server in another availability zone, since prompts, KV cache and
# events that cross zones cost money: KV cache tokens of a decode server, and prompt
# tokens of a prefill server (30 ms of its work).
ZONE_PENALTY_TOKENS = 4000
ZONE_PENALTY_PROMPT_TOKENS = 1000
# Fixed work of a prefill server for each prompt, expressed as prompt tokens.
PROMPT_BASE_TOKENS = 500
# Share of a decode server's memory that placement uses. The rest covers partly filled
# blocks and placements that other instances have not reported yet.
USABLE_MEMORY_SHARE = 0.94


@dataclass(frozen=True)
class Candidate:
    """A backend server with its load and recent outcomes.

    Attributes:
        server: `BackendServer`.
        same_zone: Whether it is in the instance's availability zone.
        running: Requests placed on it.
        own: Those of them that this instance has placed.
        placers: Instances that have placed requests on it, this one included.
        memory_tokens: Tokens of KV cache placed on it.
        prefill_tokens: Prompt tokens placed on it that are not computed yet.
        failure_share: Share of recent requests that failed, from 0 to 1.
        latency_s: Mean seconds to an answer; 0 if unknown.
        service_s: Seconds of one plain call that doesn't queue; 0 if unknown.
        outdated: Whether these were measured too long ago.
        avoided: Whether it was unreachable or silent a moment ago.
        full: Whether it refused a request a moment ago, usually because its memory or
            its queue was full.
        full_s: Seconds for which it still counts as full.
    """

    server: object
    same_zone: bool
    running: int = 0
    own: int = 0
    placers: int = 1
    memory_tokens: int = 0
    prefill_tokens: int = 0
    failure_share: float = 0.0
    latency_s: float = 0.0
    service_s: float = 0.0
    outdated: bool = False
    avoided: bool = False
    full: bool = False
    full_s: float = 0.0


def choose_prefill(candidates, draw):
    """Returns the candidate with the least queued prefill work, or None.

    Args:
        candidates: `Candidate` of each prefill server.
        draw: Random number from 0 to 1 that breaks ties.
    """
    return choose_cheapest(candidates, _prefill_cost, draw)


def _prefill_cost(candidate):
    cost = PROMPT_BASE_TOKENS + candidate.prefill_tokens
    zone_tokens = 0 if candidate.same_zone else ZONE_PENALTY_PROMPT_TOKENS
    return cost * failure_factor(candidate) + zone_tokens


def choose_decode(candidates, need_tokens, memory_tokens, draw):
    """Returns the candidate with the most free memory that fits the request, or None.

    A server that was unreachable or silent looks empty once its streams have broken
    off. It isn't used while there are others, even if these are full: a prompt for it
    would be computed in vain.

    Args:
        candidates: `Candidate` of each decode server.
        need_tokens: KV cache tokens that the request needs; see `memory_need`.
        memory_tokens: KV cache tokens that a server holds.
        draw: Random number from 0 to 1 that breaks ties.
    """
    limit = USABLE_MEMORY_SHARE * memory_tokens
    fitting = [
        candidate
        for candidate in reachable(candidates)
        if candidate.memory_tokens + need_tokens <= limit
        and candidate.running < candidate.server.slots
        and not candidate.full
    ]
    return choose_cheapest(fitting, _decode_cost, draw)


def _decode_cost(candidate):
    cost = 2000 + candidate.memory_tokens
    return cost * failure_factor(candidate) + (
        0 if candidate.same_zone else ZONE_PENALTY_TOKENS
    )


def failure_factor(candidate):
    """Returns by how much recent failures raise the cost of a candidate."""
    return 1 + FAILURE_FACTOR * candidate.failure_share**2


def reachable(candidates):
    """Returns the candidates that aren't avoided; all if there are no others.

    Args:
        candidates: Iterable of the `Candidate` of each server.
    """
    candidates = list(candidates)
    return [
        candidate for candidate in candidates if not candidate.avoided
    ] or candidates


def choose_cheapest(candidates, cost, draw, tie_share=0.02):
    """Returns one of the candidates of about the lowest cost, or None.

    Avoided candidates are eligible only if there are no others.

    Args:
        candidates: `Candidate` of each server.
        cost: Function of a `Candidate` that returns its cost.
        draw: Random number from 0 to 1 that breaks ties.
        tie_share: Excess over the lowest cost, as a share of it, that counts as a tie.
    """
    eligible = reachable(candidates)
    if not eligible:
        return None
    costs = [cost(candidate) for candidate in eligible]
    lowest = min(costs)
    cheapest = [
        candidate
        for candidate, value in zip(eligible, costs)
        if value <= lowest * (1 + tie_share)
    ]
    return cheapest[min(len(cheapest) - 1, int(draw * len(cheapest)))]
