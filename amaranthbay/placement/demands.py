"""Derives the demand of an attempt from its classified request."""

import xxhash

from amaranthbay.placement.types import Demand
from amaranthbay.utils.tokens import estimate_tokens

__all__ = ["to_demand"]


def to_demand(work, now, seed_text, below_share=False, excluded=frozenset()):
    """Returns the `Demand` of a model call.

    Args:
        work: The classified `Work`.
        now: Monotonic time in seconds.
        seed_text: Text that seeds the sampling, for example the attempt id.
        below_share: Whether patient requests have had less than their guaranteed
            share of the prompt tokens.
        excluded: Frozen set of instances that must not be chosen.
    """
    call = work.request.payload
    return Demand(
        prompt_tokens=estimate_tokens(call.prompt),
        max_tokens=call.max_tokens,
        interactive=work.interactive,
        remaining_s=None if work.deadline is None else work.deadline - now,
        excluded=excluded,
        below_share=below_share,
        seed=xxhash.xxh32_intdigest(seed_text.encode()),
    )
