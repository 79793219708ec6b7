"""Simple placement policies that serve as baselines for the cost policy."""

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
    """Returns the views of servers that neither leave nor are excluded."""
    return [
        view
        for view in views
        if view.server.instance not in demand.excluded and not view.server.leaving
    ]


class _PairPolicy(PlacementPolicy):
    """Base of policies that choose the two servers independently of each other.

    Attributes:
        reason: Why a pair was chosen, for the decision log.
    """

    def choose(self, demand, view, now):
        prefill = allowed(view.prefill, demand)
        decode = allowed(view.decode, demand)
        if not prefill or not decode:
            detail = "no live backend server in the prefill or the decode pool"
            return Err(not_run(Reason.NO_BACKEND_SERVER, detail))
        names = tuple(candidate.server.instance for candidate in (*prefill, *decode))
        chosen = self.pick_prefill(prefill), self.pick(decode)
        return Ok(Placement(*chosen, None, self.reason, names))

    def pick(self, views):
        """Returns the view of the chosen server."""
        raise NotImplementedError

    def pick_prefill(self, views):
        """Returns the view of the chosen prefill server; by default calls `pick`."""
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
    """Chooses the servers with the least load; ties are broken at random."""

    reason = "least load"

    def __init__(self, seed=None):
        self._rng = random.Random(seed)

    def pick(self, views):
        def load(view):
            return view.active + view.waiting, view.queued_tokens, self._rng.random()

        return min(views, key=load)


@register("placement_policy", "round_robin")
class RoundRobinPolicy(_PairPolicy):
    """Chooses the servers in rotation."""

    reason = "in turn"

    def __init__(self, seed=None):
        # A random start keeps daemons that start together from choosing in step.
        self._position = random.Random(seed).randrange(1 << 16)

    def pick(self, views):
        return views[self._position % len(views)]

    def choose(self, demand, view, now):
        self._position += 1
        return super().choose(demand, view, now)


@register("placement_policy", "prefix_affinity")
class PrefixAffinityPolicy(LeastLoadedPolicy):
    """Chooses the prefill server that caches the longest prefix of the prompt.

    Among several of them, and for decode, it chooses the least loaded server.
    """

    reason = "longest prefix"

    def pick_prefill(self, views):
        longest = max(view.cached_tokens for view in views)
        return self.pick([view for view in views if view.cached_tokens == longest])
