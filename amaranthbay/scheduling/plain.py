"""Decides where plain calls go, which wait at the instance and which are refused.

A plain server runs some calls at once and queues a few more. Several instances place
calls on it, and each knows the calls of the others from reports that are a little old.
"""

from dataclasses import dataclass, replace

from amaranthbay.relay.choice import Candidate, choose_cheapest, failure_factor

__all__ = [
    "LineOutcome",
    "PlainLine",
    "WaitingCall",
    "choose_plain",
    "expected_s",
    "has_free_slot",
    "has_returned",
    "is_free",
    "load_factor",
    "retry_s",
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
# Share of the target that a call may spend at a server, queueing included. The rest
# covers outdated views, and is left for waiting at the instance.
QUEUE_SHARE = 0.5
# The same for calls that are less urgent than others of the service.
LESS_URGENT_QUEUE_SHARE = 0.3
# Share of the less urgent calls that count as urgent, so that none starve.
PROMOTED_SHARE = 0.25
# Time for which the most urgent priority of a service is remembered.
PRIORITY_MEMORY_S = 10.0
# Calls per slot that an unmeasured server may hold.
UNMEASURED_CALLS_PER_SLOT = 2
MIN_RETRY_S = 0.05
# Time over which refused callers come back, as a share of the target.
RETURN_SPREAD = 0.5
# Callers that retry after a refusal state a deadline below this share of the route's
# timeout.
RETURNED_DEADLINE_SHARE = 0.8


@dataclass(frozen=True, eq=False)
class WaitingCall:
    """A call that waits for a server.

    Attributes:
        arrived_at: Monotonic time of its arrival.
        target_s: Target for the seconds to its answer.
        priority: Rank of the call; 0 is the highest.
        returned: Whether its caller has come back after a refusal.
        draw: Random number from 0 to 1 that decides whether it is promoted.
    """

    arrived_at: float
    target_s: float
    priority: int = 0
    returned: bool = False
    draw: float = 1.0

    @property
    def target_at(self):
        """Monotonic time until which an answer is on time."""
        return self.arrived_at + self.target_s


@dataclass(frozen=True)
class LineOutcome:
    """What is decided for a waiting call.

    Attributes:
        waiting: The `WaitingCall`.
        chosen: `Candidate` that gets the call; None if the call is refused.
        wait_s: Expected seconds until a server has room for such a call.
        waited_s: Seconds for which it has waited.
    """

    waiting: WaitingCall
    chosen: Candidate | None = None
    wait_s: float = 0.0
    waited_s: float = 0.0


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


def choose_plain(candidates, draw):
    """Returns the candidate with the shortest expected time, or None.

    Full candidates are eligible only if there are no others.

    Args:
        candidates: `Candidate` of each server that may be used.
        draw: Random number from 0 to 1 that breaks ties.
    """
    measured = [candidate.service_s for candidate in candidates if candidate.service_s]
    assumed_s = min(measured, default=ASSUMED_SERVICE_S)

    def cost(candidate):
        return _cost_s(candidate, candidate.service_s or assumed_s)

    with_room = [candidate for candidate in candidates if not candidate.full_s]
    return choose_cheapest(with_room or candidates, cost, draw, TIE_SHARE)


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


def has_returned(deadline_s, timeout_s):
    """Returns whether a caller has probably come back after a refusal.

    Args:
        deadline_s: Seconds for which the caller waits; None if not stated.
        timeout_s: Timeout of the route in seconds.
    """
    return deadline_s is not None and deadline_s < RETURNED_DEADLINE_SHARE * timeout_s


def retry_s(wait_s, target_s, draw):
    """Returns the seconds after which the caller of a refused call should retry.

    Args:
        wait_s: Expected seconds until a server has room.
        target_s: Target of the call in seconds.
        draw: Random number from 0 to 1 that spreads the retries.
    """
    return max(MIN_RETRY_S, wait_s) + RETURN_SPREAD * target_s * draw


class PlainLine:
    """The calls of one service that wait at this instance."""

    def __init__(self):
        self._waiting = []
        # Time at which a call of each priority was last seen.
        self._seen_at = {}

    def __len__(self):
        return len(self._waiting)

    def add(self, waiting):
        """Adds a `WaitingCall`."""
        self._seen_at[waiting.priority] = waiting.arrived_at
        self._waiting.append(waiting)

    def discard(self, waiting):
        """Removes a `WaitingCall`, if it still waits."""
        if waiting in self._waiting:
            self._waiting.remove(waiting)

    def advance(self, now, candidates, rng):
        """Decides which of the waiting calls are placed or refused now.

        Args:
            now: Monotonic time.
            candidates: `Candidate` of each server that may be used.
            rng: `random.Random` that breaks ties.

        Returns:
            List of a `LineOutcome` for each call that waits no longer. No call waits if
            there is no server.
        """
        if not candidates:
            outcomes = [LineOutcome(waiting) for waiting in self._waiting]
            self._waiting = []
            return outcomes
        urgent = self._most_urgent(now)
        loads = {candidate.server.name: candidate for candidate in candidates}
        outcomes, still_waiting = [], []
        for waiting in sorted(self._waiting, key=lambda each: _rank(each, urgent)):
            usable = _preferred(loads.values())
            # A call doesn't overtake the ones before it.
            fitting = [] if still_waiting else _fitting(waiting, usable, urgent, now)
            chosen = choose_plain(fitting, rng.random())
            if chosen is not None:
                loads[chosen.server.name] = replace(
                    chosen, running=chosen.running + 1, own=chosen.own + 1
                )
                outcomes.append(LineOutcome(waiting, chosen))
                continue
            wait_s, at_server_s = _estimate(
                usable, _limit_s(waiting, urgent), len(still_waiting)
            )
            if now + wait_s + at_server_s > waiting.target_at:
                waited_s = now - waiting.arrived_at
                outcomes.append(LineOutcome(waiting, None, wait_s, waited_s))
            else:
                still_waiting.append(waiting)
        self._waiting = still_waiting
        return outcomes

    def _most_urgent(self, now):
        """Returns the most urgent priority that was seen lately."""
        self._seen_at = {
            priority: seen_at
            for priority, seen_at in self._seen_at.items()
            if now - seen_at < PRIORITY_MEMORY_S
        }
        return min(self._seen_at, default=0)


def _is_urgent(waiting, urgent):
    return waiting.priority <= urgent or waiting.draw < PROMOTED_SHARE


def _rank(waiting, urgent):
    """Returns the key by which waiting calls are ordered."""
    priority = urgent if _is_urgent(waiting, urgent) else waiting.priority
    return priority, not waiting.returned, waiting.target_at


def _limit_s(waiting, urgent):
    """Returns the seconds that a call may spend at a server, queueing included."""
    share = QUEUE_SHARE if _is_urgent(waiting, urgent) else LESS_URGENT_QUEUE_SHARE
    return share * waiting.target_s


def _preferred(candidates):
    """Returns the candidates that aren't avoided, or all if there are no others."""
    usable = [candidate for candidate in candidates if not candidate.avoided]
    return usable or list(candidates)


def _fitting(waiting, candidates, urgent, now):
    """Returns the candidates on which a call may be placed."""
    limit_s = min(_limit_s(waiting, urgent), waiting.target_at - now)
    return [
        candidate
        for candidate in candidates
        if is_free(candidate) or _has_short_queue(candidate, limit_s)
    ]


def _has_short_queue(candidate, limit_s):
    if candidate.full_s:
        return False
    if not candidate.service_s:
        calls = UNMEASURED_CALLS_PER_SLOT * candidate.server.slots
        return candidate.running < calls
    return expected_s(candidate, candidate.service_s) <= limit_s


def _estimate(candidates, limit_s, calls_before):
    """Returns when a call in the line can be placed, and how long it takes then.

    The instance's share of the running calls is taken as its share of the capacity.

    Args:
        candidates: `Candidate` of each server that may be used.
        limit_s: Seconds that the call may spend at a server.
        calls_before: Calls of this instance that wait before it.

    Returns:
        Expected seconds until it is placed, and those from then on until its answer.
    """
    calls_per_s = sum(
        candidate.server.slots / _service_s(candidate) for candidate in candidates
    )
    own = max(1, sum(candidate.own for candidate in candidates))
    running = max(own, sum(candidate.running for candidate in candidates))
    room_s, at_server_s = min(
        (_estimate_at(candidate, limit_s) for candidate in candidates), key=sum
    )
    return room_s + calls_before * running / own / calls_per_s, at_server_s


def _estimate_at(candidate, limit_s):
    """Returns the seconds until a server has room, and those of a call from then on."""
    total_s = expected_s(candidate, _service_s(candidate))
    at_server_s = min(total_s, max(limit_s, _service_s(candidate)))
    return max(candidate.full_s, total_s - at_server_s), at_server_s


def _service_s(candidate):
    return candidate.service_s or ASSUMED_SERVICE_S
