"""Cost policy: the pair of servers with the least expected time to first token."""

from dataclasses import dataclass
from datetime import timedelta

from result import Err, Ok

from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.kernel.interfaces import PlacementPolicy
from amaranthbay.kernel.registry import register
from amaranthbay.placement.types import Placement, ServerView

__all__ = ["CostPolicy", "Pair"]

# Servers of each pool that a decision looks at; a full scan of 1,300 workers
# takes milliseconds.
SAMPLE = 6
# Holders of the prompt's prefix that are looked at besides.
EXTRA = 4
# Delay of a transfer into another availability zone, and its price as time.
ZONE_DELAY_S = 0.005
ZONE_PRICE_S = 0.02
# Price of a fully loaded decode server over an idle one.
LOAD_PRICE_S = 0.02
# Share of the leaving streams whose slots are not taken by others meanwhile.
NET_LEAVING = 0.5
# Share of the life of a prefill's result that a decode server may let it wait.
KV_WAIT_SHARE = 0.5
# Extra time that a full weight on wasted prefill asks for before an interactive
# request is started.
CAUTION = 0.5
# Patient work starts only while fewer than this share of a decode server's slots
# are taken. Slots that other daemons have reserved for prefills in progress are in
# no report; at 0.9, wasted prefill was 6 to 8% and at 0.7 5%.
PATIENT_SLOT_SHARE = 0.7
# A patient prefill starts once a prefill server has less than this in its queue.
PATIENT_QUEUE_S = 0.15
# One prefill server in so many takes no patient work, since a prefill that has
# started can't be interrupted.
RESERVED_SERVERS = 3
RAMP_STEPS = 1000
MIN_RETRY_AFTER_S = 0.2
TOO_MANY_REQUESTS = 429


@dataclass(frozen=True, slots=True)
class Pair:
    """A prefill server, a decode server and what they cost.

    Attributes:
        prefill: View of the prefill server.
        decode: View of the decode server.
        wait_s: Wait for the prefill server.
        ready_s: Time until the prefill has ended.
        hold_s: Time that the result waits for link and decode slot.
        first_token_s: Expected time to the first token.
        cost_s: Expected time with the price of the link.
    """

    prefill: ServerView
    decode: ServerView
    wait_s: float
    ready_s: float
    hold_s: float
    first_token_s: float
    cost_s: float


def sample(views, seed, extra=()):
    """Returns some views, spread evenly over the pool from a seeded start."""
    size = len(views)
    if size <= SAMPLE:
        return list(views)
    positions = {(seed + size * n // SAMPLE) % size for n in range(SAMPLE)}
    positions.update(extra[:EXTRA])
    return [views[position] for position in sorted(positions)]


def reserved(views):
    """Returns the instances of a pool that take no patient prefills.

    Every daemon reserves the same servers, without any message.
    """
    names = sorted(view.server.instance for view in views)
    if len(names) < 2:
        return frozenset()
    return frozenset(names[: max(1, len(names) // RESERVED_SERVERS)])


def usable(views, demand):
    """Returns the views of servers that the demand may use.

    Servers that have just returned take part in a share of the decisions only.
    """
    found = [
        view
        for view in views
        if view.server.instance not in demand.excluded and not view.server.leaving
    ]
    chance = demand.seed % RAMP_STEPS / RAMP_STEPS
    return [view for view in found if chance < view.ramp] or found


def prefill_time(view, demand, times):
    """Returns wait and end of a prefill, in seconds from now."""
    token_s = times.prefill_token_s * view.slowdown
    ahead = view.queued_tokens
    if demand.interactive and view.blocking_tokens is not None:
        ahead = view.blocking_tokens
    wait_s = ahead * token_s
    uncached = max(0, demand.prompt_tokens - view.cached_tokens)
    return wait_s, wait_s + uncached * token_s


def decode_wait(view, ready_s, times):
    """Returns the wait for a decode slot at the moment the prefill ends."""
    running = view.active + view.waiting
    leaving = NET_LEAVING * min(running, view.slots) * ready_s / times.stream_s
    missing = running - leaving + 1 - view.slots
    if missing <= 0:
        return 0.0
    return missing * times.stream_s / view.slots


def decode_cost(view, ready_s, times):
    """Returns the part of a pair's cost that depends on the decode server.

    It never rises with ``ready_s``: streams leave while the prefill runs.
    """
    # The load spreads requests over decode servers that are all free.
    load = (view.active + view.waiting) / view.slots
    step_s = times.decode_step_s * view.slowdown
    return decode_wait(view, ready_s, times) + step_s + LOAD_PRICE_S * load


def link_time(view, demand, times):
    """Returns queue and transfer time of a prefill server's link."""
    size = demand.prompt_tokens * times.kv_bytes_token
    return view.link_queued_bytes / view.link_bytes_s, size / view.link_bytes_s


def zone_cost(prefill, decode):
    """Returns what a transfer between two servers costs more across zones."""
    if prefill.server.availability_zone == decode.server.availability_zone:
        return 0.0
    return ZONE_DELAY_S + ZONE_PRICE_S


def make_pair(prefill, decode, demand, times):
    """Returns the `Pair` of two servers."""
    wait_s, ready_s = prefill_time(prefill, demand, times)
    queue_s, move_s = link_time(prefill, demand, times)
    wait_slot_s = decode_wait(decode, ready_s, times)
    zone_s = zone_cost(prefill, decode)
    cost_s = ready_s + queue_s + move_s + zone_s + decode_cost(decode, ready_s, times)
    first_s = ready_s + queue_s + move_s + wait_slot_s + times.overhead_s
    first_s += times.decode_step_s * decode.slowdown + min(zone_s, ZONE_DELAY_S)
    hold_s = queue_s + wait_slot_s
    return Pair(prefill, decode, wait_s, ready_s, hold_s, first_s, cost_s)


def scan_pairs(prefills, decodes, demand, times):
    """Returns the cheapest `Pair` by looking at every pair."""
    pairs = [make_pair(p, d, demand, times) for p in prefills for d in decodes]
    return min(pairs, key=lambda pair: pair.cost_s)


def join_pairs(prefills, decodes, demand, times):
    """Returns the cheapest `Pair` and the prefill candidates, best first.

    A top-1 rank join: both sides are sorted by a lower bound of their part of the
    cost, and the join stops when no unseen pair can be cheaper than the best one.
    """
    left = []
    latest_s = 0.0
    for position, view in enumerate(prefills):
        ready_s = prefill_time(view, demand, times)[1]
        latest_s = max(latest_s, ready_s)
        bound_s = ready_s + sum(link_time(view, demand, times))
        left.append((bound_s, position, ready_s, view))
    left.sort()
    right = sorted(
        (decode_cost(view, latest_s, times), position, view)
        for position, view in enumerate(decodes)
    )
    best = (float("inf"), None, None)
    for prefill_s, _, ready_s, prefill in left:
        if prefill_s + right[0][0] >= best[0]:
            break
        for bound_s, _, decode in right:
            if prefill_s + bound_s >= best[0]:
                break
            cost_s = prefill_s + zone_cost(prefill, decode)
            cost_s += decode_cost(decode, ready_s, times)
            if cost_s < best[0]:
                best = cost_s, prefill, decode
    pair = make_pair(best[1], best[2], demand, times)
    return pair, tuple(each[3].server.instance for each in left)


@register("placement_policy", "cost")
class CostPolicy(PlacementPolicy):
    """Chooses the pair with the least expected time to the first token."""

    queues_patient = True

    def choose(self, demand, view, now):
        found = self._find(demand, view)
        if found is None:
            detail = "no live backend server in the prefill or the decode pool"
            return Err(not_run(Reason.NO_BACKEND_SERVER, detail))
        pair, names = found
        if demand.remaining_s is not None:
            needed_s = self._needed(pair, view)
            late_s = max(needed_s - demand.remaining_s, self._excess_hold(pair, view))
            if late_s > 0.0:
                return Err(_would_miss(needed_s, demand.remaining_s, late_s))
        reason = (
            f"wait {pair.wait_s:.3f} s, prefill {pair.ready_s - pair.wait_s:.3f} s,"
            f" hold {pair.hold_s:.3f} s, first token {pair.first_token_s:.3f} s"
        )
        return Ok(
            Placement(
                pair.prefill,
                pair.decode,
                pair.first_token_s,
                reason,
                names,
                pair.ready_s,
            )
        )

    def may_start(self, demand, view, now):
        """Returns whether a patient request's result would be taken in time."""
        found = self._find(demand, view)
        if found is None:
            return False
        pair = found[0]
        if self._excess_hold(pair, view) > 0.0:
            return False
        running = pair.decode.active + pair.decode.waiting
        limit = pair.decode.slots * PATIENT_SLOT_SHARE
        is_clear = pair.wait_s <= PATIENT_QUEUE_S and running + 1 <= limit
        return is_clear or demand.owed

    def _find(self, demand, view):
        prefills = usable(sample(view.prefill, demand.seed, view.holders), demand)
        decodes = usable(sample(view.decode, demand.seed), demand)
        if not demand.interactive:
            kept = reserved(prefills)
            prefills = [v for v in prefills if v.server.instance not in kept]
        if not prefills or not decodes:
            return None
        return join_pairs(prefills, decodes, demand, view.times)

    def _needed(self, pair, view):
        caution = 1.0 + CAUTION * (1.0 - view.goodput_weight)
        return pair.first_token_s * caution

    def _excess_hold(self, pair, view):
        return pair.hold_s - KV_WAIT_SHARE * view.times.kv_life_s


def _would_miss(needed_s, remaining_s, late_s):
    detail = (
        f"the first token is expected in {needed_s:.2f} s and is due in"
        f" {remaining_s:.2f} s"
    )
    retry_after = timedelta(seconds=round(max(MIN_RETRY_AFTER_S, late_s), 2))
    return not_run(Reason.WOULD_MISS_TARGET, detail, TOO_MANY_REQUESTS, retry_after)
