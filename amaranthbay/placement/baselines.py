"""Simple placement policies, kept to measure the cost policy against."""

import random

from result import Err, Ok

from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.kernel.interfaces import PlacementPolicy
from amaranthbay.kernel.registry import register
from amaranthbay.placement.types import Placement

__all__ = [
    "LeastLoadedPolicy",
    "PrefixAffinityPolicy",
    "RandomPolicy",
    "RoundRobinPolicy",
    "allowed",
]


def allowed(views, demand):
    """Returns the views of servers that the demand doesn't exclude."""
    return [
        view
        for view in views
        if view.server.instance not in demand.excluded and not view.server.leaving
    ]


class _PairPolicy(PlacementPolicy):
    """Chooses each server of the pair by itself."""

    def choose(self, demand, view, now):
        prefill = allowed(view.prefill, demand)
        decode = allowed(view.decode, demand)
        if not prefill or not decode:
            detail = "no live backend server in the prefill or the decode pool"
            return Err(not_run(Reason.NO_BACKEND_SERVER, detail))
        names = tuple(each.server.instance for each in (*prefill, *decode))
        chosen = self.pick_prefill(prefill), self.pick(decode)
        return Ok(Placement(*chosen, None, self.reason, names))

    def pick(self, views):
        """Returns one of the views."""
        raise NotImplementedError

    def pick_prefill(self, views):
        """Returns the prefill server; like any other unless overridden."""
        return self.pick(views)


@register("placement_policy", "random")
class RandomPolicy(_PairPolicy):
    """Chooses at random."""

    reason = "random"

    def __init__(self, seed=None):
        self._rng = random.Random(seed)

    def pick(self, views):
        return self._rng.choice(views)


@register("placement_policy", "least_loaded")
class LeastLoadedPolicy(_PairPolicy):
    """Chooses the servers with the least reported load."""

    reason = "least load"

    def __init__(self, seed=None):
        self._rng = random.Random(seed)

    def pick(self, views):
        def load(view):
            return view.active + view.waiting, view.queued_tokens, self._rng.random()

        return min(views, key=load)


@register("placement_policy", "round_robin")
class RoundRobinPolicy(_PairPolicy):
    """Chooses the servers in turn."""

    reason = "in turn"

    def __init__(self, seed=None):
        # Daemons that start together must not walk the pool in step.
        self._next = random.Random(seed).randrange(1 << 16)

    def pick(self, views):
        return views[self._next % len(views)]

    def choose(self, demand, view, now):
        self._next += 1
        return super().choose(demand, view, now)


@register("placement_policy", "prefix_affinity")
class PrefixAffinityPolicy(LeastLoadedPolicy):
    """Chooses the prefill server that holds most of the prompt."""

    reason = "longest prefix"

    def pick_prefill(self, views):
        longest = max(view.cached_tokens for view in views)
        return self.pick([view for view in views if view.cached_tokens == longest])
