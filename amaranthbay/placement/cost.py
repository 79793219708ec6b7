"""Cost policy: chooses the pair of servers with the least expected cost in time."""

from dataclasses import dataclass
from datetime import timedelta

from result import Err, Ok

from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.kernel.interfaces import PlacementPolicy
from amaranthbay.kernel.registry import register
from amaranthbay.placement.types import Placement, ServerView

__all__ = ["CostPolicy", "Pair"]

# Servers of each pool that a decision considers; a full scan of 1,300 servers takes
# milliseconds.
SAMPLE_SIZE = 6
# Servers that cache the start of the prompt and are considered beyond the sample.
MAX_EXTRA_PREFIX_HOLDERS = 4
# Delay of a transfer into another availability zone, and the penalty added to it so
# that a crossing happens only for a gain.
ZONE_DELAY_S = 0.005
ZONE_PENALTY_S = 0.02
# Penalty of a fully loaded decode server over an idle one.
LOAD_PENALTY_S = 0.02
# Share of the decode slots freed during a prefill that no other request takes.
NET_FREED_SHARE = 0.5
# Share of `PoolTimes.kv_life_s` that the KV cache of a finished prefill may spend
# waiting for the link and a decode slot.
MAX_KV_WAIT_SHARE = 0.5
# Safety margin on the expected time to the first token at a goodput weight of 0,
# as a share of that time; it falls to 0 at a weight of 1.
MAX_FIRST_TOKEN_MARGIN = 0.5
# Patient requests start only while less than this share of the decode server's slots
# is taken. Load reports don't include slots that other daemons have reserved for
# prefills in progress; at 0.9, wasted prefill was 6 to 8% and at 0.7 5%.
PATIENT_MAX_OCCUPANCY = 0.7
# A patient prefill starts only if it would wait no longer than this in the queue of
# the prefill server.
PATIENT_MAX_PREFILL_WAIT_S = 0.15
# One of this many prefill servers takes no patient requests, since a prefill that
# has started can't be interrupted.
SERVERS_PER_RESERVED = 3
# Resolution of the draw from the seed that is compared with `ServerView.ramp`.
RAMP_STEPS = 1000
MIN_RETRY_AFTER_S = 0.2
TOO_MANY_REQUESTS = 429


@dataclass(frozen=True, slots=True)
class Pair:
    """A prefill server and a decode server with the estimates for one request.

    All times are in seconds.

    Attributes:
        prefill: View of the prefill server.
        decode: View of the decode server.
        wait_s: Wait in the queue of the prefill server.
        prefill_end_s: Time until the prefill ends, including its wait in the queue.
        kv_wait_s: How long the KV cache waits for the link and the decode slot after
            the prefill.
        first_token_s: Expected time to the first token.
        cost_s: Value that the policy minimizes: expected times, with the penalties
            for load and for crossing zones.
    """

    prefill: ServerView
    decode: ServerView
    wait_s: float
    prefill_end_s: float
    kv_wait_s: float
    first_token_s: float
    cost_s: float


def sample(views, seed, extra_positions=()):
    """Returns a sample of the views of a pool.

    The sample is spread evenly over the pool and begins at a seeded position. A pool
    of up to `SAMPLE_SIZE` servers is returned whole.

    Args:
        views: Sequence of `ServerView`.
        seed: Selects the start of the sample.
        extra_positions: Indexes of servers that are added to the sample; those beyond
            the first `MAX_EXTRA_PREFIX_HOLDERS` are ignored.
    """
    size = len(views)
    if size <= SAMPLE_SIZE:
        return list(views)
    positions = {(seed + size * n // SAMPLE_SIZE) % size for n in range(SAMPLE_SIZE)}
    positions.update(extra_positions[:MAX_EXTRA_PREFIX_HOLDERS])
    return [views[position] for position in sorted(positions)]


def reserved_instances(views):
    """Returns the instances that take no patient prefills.

    Daemons that consider the same servers reserve the same ones without exchanging
    messages.
    """
    names = sorted(view.server.instance for view in views)
    if len(names) < 2:
        return frozenset()
    return frozenset(names[: max(1, len(names) // SERVERS_PER_RESERVED)])


def usable(views, demand):
    """Returns the views of servers that this decision may choose.

    A server that has just returned takes part only in the share of the decisions
    given by its ramp, unless no other server is left.
    """
    allowed = [
        view
        for view in views
        if view.server.instance not in demand.excluded and not view.server.leaving
    ]
    draw = demand.seed % RAMP_STEPS / RAMP_STEPS
    return [view for view in allowed if draw < view.ramp] or allowed


def prefill_time(view, demand, times):
    """Returns the wait before a prefill and the time until it ends, in seconds."""
    token_s = times.prefill_token_s * view.slowdown
    tokens_ahead = view.queued_tokens
    if demand.interactive and view.blocking_tokens is not None:
        tokens_ahead = view.blocking_tokens
    wait_s = tokens_ahead * token_s
    uncached = max(0, demand.prompt_tokens - view.cached_tokens)
    return wait_s, wait_s + uncached * token_s


def decode_wait(view, prefill_end_s, times):
    """Returns the wait for a decode slot, in seconds from the end of the prefill.

    Args:
        view: `ServerView` of the decode server.
        prefill_end_s: Time until the prefill ends, in seconds.
        times: `PoolTimes`.
    """
    running = view.active + view.waiting
    freed = NET_FREED_SHARE * min(running, view.slots) * prefill_end_s / times.stream_s
    missing = running - freed + 1 - view.slots
    if missing <= 0:
        return 0.0
    return missing * times.stream_s / view.slots


def decode_cost(view, prefill_end_s, times):
    """Returns the part of a pair's cost that depends on the decode server.

    It never rises with ``prefill_end_s``, since streams end while the prefill runs.
    """
    # The load term spreads requests over decode servers that all have free slots.
    load = (view.active + view.waiting) / view.slots
    step_s = times.decode_step_s * view.slowdown
    return decode_wait(view, prefill_end_s, times) + step_s + LOAD_PENALTY_S * load


def link_time(view, demand, times):
    """Returns the wait for a prefill server's link and the transfer, in seconds."""
    size = demand.prompt_tokens * times.kv_bytes_per_token
    return view.link_queued_bytes / view.link_bytes_s, size / view.link_bytes_s


def zone_cost(prefill, decode):
    """Returns the extra cost, in seconds, of a transfer between two zones."""
    if prefill.server.availability_zone == decode.server.availability_zone:
        return 0.0
    return ZONE_DELAY_S + ZONE_PENALTY_S


def make_pair(prefill, decode, demand, times):
    """Returns the `Pair` of two servers with its estimates."""
    wait_s, prefill_end_s = prefill_time(prefill, demand, times)
    link_wait_s, transfer_s = link_time(prefill, demand, times)
    slot_wait_s = decode_wait(decode, prefill_end_s, times)
    zone_s = zone_cost(prefill, decode)
    cost_s = (
        prefill_end_s
        + link_wait_s
        + transfer_s
        + zone_s
        + decode_cost(decode, prefill_end_s, times)
    )
    first_token_s = (
        prefill_end_s + link_wait_s + transfer_s + slot_wait_s + times.overhead_s
    )
    first_token_s += times.decode_step_s * decode.slowdown + min(zone_s, ZONE_DELAY_S)
    kv_wait_s = link_wait_s + slot_wait_s
    return Pair(
        prefill, decode, wait_s, prefill_end_s, kv_wait_s, first_token_s, cost_s
    )


def scan_pairs(prefills, decodes, demand, times):
    """Returns the cheapest `Pair` of all; tests compare `join_pairs` with it."""
    pairs = [make_pair(p, d, demand, times) for p in prefills for d in decodes]
    return min(pairs, key=lambda pair: pair.cost_s)


def join_pairs(prefills, decodes, demand, times):
    """Returns the cheapest `Pair` and the prefill instances, best first.

    This is a top-1 rank join: both sides are sorted by a lower bound of their part
    of the cost, and the search stops when no remaining pair can be cheaper than the
    best one found.
    """
    ranked_prefills = []
    latest_end_s = 0.0
    for position, view in enumerate(prefills):
        prefill_end_s = prefill_time(view, demand, times)[1]
        latest_end_s = max(latest_end_s, prefill_end_s)
        bound_s = prefill_end_s + sum(link_time(view, demand, times))
        ranked_prefills.append((bound_s, position, prefill_end_s, view))
    ranked_prefills.sort()
    # A decode server costs least for the prefill that ends last.
    ranked_decodes = sorted(
        (decode_cost(view, latest_end_s, times), position, view)
        for position, view in enumerate(decodes)
    )
    best = (float("inf"), None, None)
    for prefill_bound_s, _, prefill_end_s, prefill in ranked_prefills:
        if prefill_bound_s + ranked_decodes[0][0] >= best[0]:
            break
        for decode_bound_s, _, decode in ranked_decodes:
            if prefill_bound_s + decode_bound_s >= best[0]:
                break
            cost_s = prefill_bound_s + zone_cost(prefill, decode)
            cost_s += decode_cost(decode, prefill_end_s, times)
            if cost_s < best[0]:
                best = cost_s, prefill, decode
    pair = make_pair(best[1], best[2], demand, times)
    return pair, tuple(ranked[3].server.instance for ranked in ranked_prefills)


@register("placement_policy", "cost")
class CostPolicy(PlacementPolicy):
    """Chooses the pair with the least expected cost.

    An interactive request is refused if its first token is expected too late, or if
    its KV cache would wait too long for the link and a decode slot.
    """

    queues_patient = True

    def choose(self, demand, view, now):
        best = self._best_pair(demand, view)
        if best is None:
            detail = "no live backend server in the prefill or the decode pool"
            return Err(not_run(Reason.NO_BACKEND_SERVER, detail))
        pair, names = best
        if demand.remaining_s is not None:
            needed_s = self._needed_time(pair, view)
            excess_s = max(
                needed_s - demand.remaining_s, self._excess_kv_wait(pair, view)
            )
            if excess_s > 0.0:
                return Err(_would_miss_target(needed_s, demand.remaining_s, excess_s))
        reason = (
            f"wait {pair.wait_s:.3f} s,"
            f" prefill {pair.prefill_end_s - pair.wait_s:.3f} s,"
            f" KV wait {pair.kv_wait_s:.3f} s, first token {pair.first_token_s:.3f} s"
        )
        return Ok(
            Placement(
                pair.prefill,
                pair.decode,
                pair.first_token_s,
                reason,
                names,
                pair.prefill_end_s,
            )
        )

    def may_start(self, demand, view, now):
        """Returns whether a patient request may start now.

        It may not while its KV cache would wait too long. Otherwise it may if the
        servers have room, or if patient requests are below their share.
        """
        best = self._best_pair(demand, view)
        if best is None:
            return False
        pair = best[0]
        if self._excess_kv_wait(pair, view) > 0.0:
            return False
        running = pair.decode.active + pair.decode.waiting
        limit = pair.decode.slots * PATIENT_MAX_OCCUPANCY
        has_room = pair.wait_s <= PATIENT_MAX_PREFILL_WAIT_S and running + 1 <= limit
        return has_room or demand.below_share

    def _best_pair(self, demand, view):
        """Returns the cheapest `Pair` and the prefill candidates, or None."""
        prefills = usable(
            sample(view.prefill, demand.seed, view.prefix_holders), demand
        )
        decodes = usable(sample(view.decode, demand.seed), demand)
        if not demand.interactive:
            reserved = reserved_instances(prefills)
            prefills = [v for v in prefills if v.server.instance not in reserved]
        if not prefills or not decodes:
            return None
        return join_pairs(prefills, decodes, demand, view.times)

    def _needed_time(self, pair, view):
        """Returns the expected time to the first token with the safety margin."""
        factor = 1.0 + MAX_FIRST_TOKEN_MARGIN * (1.0 - view.goodput_weight)
        return pair.first_token_s * factor

    def _excess_kv_wait(self, pair, view):
        """Returns by how many seconds the KV cache would wait too long, if positive."""
        return pair.kv_wait_s - MAX_KV_WAIT_SHARE * view.times.kv_life_s


def _would_miss_target(needed_s, remaining_s, excess_s):
    """Returns the refusal of a request that can't be served in time.

    Args:
        needed_s: Expected time to the first token with the safety margin, in seconds.
        remaining_s: Seconds until the first token is due.
        excess_s: Seconds by which the first token or the KV cache would be too late.
    """
    detail = (
        f"the first token is expected in {needed_s:.2f} s and is due in"
        f" {remaining_s:.2f} s"
    )
    retry_after = timedelta(seconds=round(max(MIN_RETRY_AFTER_S, excess_s), 2))
    return not_run(Reason.WOULD_MISS_TARGET, detail, TOO_MANY_REQUESTS, retry_after)
