"""Chooses the servers of plain calls; pure functions of what an instance knows.

A plain server runs some calls at once and queues a few more. Several instances place
calls on it, and each knows the calls of the others from reports that are a little old.
"""

from math import inf

from amaranthbay.relay.choice import choose_cheapest, failure_factor, reachable

__all__ = [
    "choose_plain",
    "expected_s",
    "has_free_slot",
    "is_free",
    "load_factor",
    "service_s_of",
]

# Time of one call at all servers until one is measured. From then on, an unmeasured
# server counts as fast as the fastest measured one, so it gets calls too.
ASSUMED_SERVICE_S = 0.025
# Delay and traffic cost of another availability zone, expressed as time.
ZONE_PENALTY_S = 0.012
# Calls in all slots raise the cost of a server by this share of the time of one call. A
# server that looks less busy is more likely to have a free slot on arrival.
BUSY_SHARE = 0.5
# Servers whose cost is within this share of the lowest are chosen at random. Instances
# with the same outdated view would otherwise all choose the same server.
TIE_SHARE = 0.15
# Share of the calls that may measure the outdated time of a slower server again. It
# bounds the cost at instances with few calls.
REMEASURED_SHARE = 0.1


def load_factor(ahead, slots):
    """Returns by how much the calls ahead of a call lengthen its time at a server.

    Args:
        ahead: Calls that the server runs or queues before it.
        slots: Calls that the server runs at once.

    Examples:
        >>> load_factor(5, 6), load_factor(17, 6)
        (1.0, 3.0)
    """
    return max(1.0, (ahead + 1) / slots)


def expected_s(candidate, service_s):
    """Returns the expected seconds of the next call at a server.

    Args:
        candidate: `Candidate` of the server.
        service_s: Seconds of one call that doesn't queue.
    """
    return service_s * load_factor(candidate.running, candidate.server.slots)


def choose_plain(candidates, draw, measures=False):
    """Returns the candidate with the shortest expected time, or None.

    Avoided candidates, and then full ones, are eligible only if there are no others. A
    server that has just crashed is never full.

    Args:
        candidates: `Candidate` of each server that may be used.
        draw: Random number from 0 to 1 that breaks ties.
        measures: Whether the call may go to a slower server in order to measure it.
    """
    measured = [candidate.service_s for candidate in candidates if candidate.service_s]
    assumed_s = min(measured, default=ASSUMED_SERVICE_S)

    def cost(candidate):
        return _cost_s(candidate, candidate.service_s or assumed_s)

    usable = reachable(candidates)
    eligible = [candidate for candidate in usable if not candidate.full_s] or usable
    if measures and draw < REMEASURED_SHARE:
        lowest_s = min(map(cost, eligible), default=0.0)
        outdated = [
            each for each in candidates if _needs_measuring(each, assumed_s, lowest_s)
        ]
        if outdated:
            return choose_cheapest(outdated, cost, draw / REMEASURED_SHARE, inf)
    return choose_cheapest(eligible, cost, draw, TIE_SHARE)


def _needs_measuring(candidate, fastest_s, lowest_cost_s):
    """Returns whether the instance left a server out since it measured it as slow.

    Args:
        candidate: `Candidate` of the server.
        fastest_s: Seconds of one call at the fastest server.
        lowest_cost_s: Lowest cost of a server.
    """
    is_slower = candidate.service_s > fastest_s * (1 + TIE_SHARE)
    idle = not (candidate.own or candidate.avoided or candidate.full_s)
    if not (candidate.outdated and is_slower and idle):
        return False
    # A server in another zone stays more expensive, even if it has become the fastest.
    zone_s = 0.0 if candidate.same_zone else ZONE_PENALTY_S
    return fastest_s + zone_s <= lowest_cost_s * (1 + TIE_SHARE)


def _cost_s(candidate, service_s):
    busy_s = BUSY_SHARE * service_s * candidate.running / candidate.server.slots
    cost_s = (expected_s(candidate, service_s) + busy_s) * failure_factor(candidate)
    return cost_s + (0.0 if candidate.same_zone else ZONE_PENALTY_S)


def has_free_slot(candidates):
    """Returns whether any candidate can start a call without queueing it.

    A hedged request is sent only in this case. During a burst, its second copy would
    wait at a full server and displace another caller's call.
    """
    return any(is_free(candidate) for candidate in candidates)


def is_free(candidate):
    """Returns whether a candidate can start a call without queueing it."""
    return candidate.running < candidate.server.slots and not candidate.full_s


def service_s_of(candidate):
    """Returns the seconds of one call that doesn't queue, assumed if not measured."""
    return candidate.service_s or ASSUMED_SERVICE_S
