"""Decides which plain calls wait at the instance, are placed or are refused.

The queues at the servers stay so short that calls are answered within their target.
"""

from collections import Counter
from dataclasses import dataclass, replace
from math import inf

from amaranthbay.relay.choice import Candidate
from amaranthbay.scheduling.plain import (
    choose_plain,
    expected_s,
    is_free,
    service_s_of,
)

__all__ = [
    "FirstDeadlines",
    "LineOutcome",
    "PlainLine",
    "WaitingCall",
    "retry_s",
]

# Share of the target that a call may spend at a server, queueing included. The rest
# covers outdated views, and is left for waiting at the instance.
QUEUE_SHARE = 0.5
# The same for calls that are less urgent than others of the service.
LESS_URGENT_QUEUE_SHARE = 0.3
# The same for calls of callers that have come back, whose answer is late in any case.
LATE_QUEUE_SHARE = 0.3
# Late calls wait for as long as their target is, or this many calls take at a server
# that can't meet the target.
LATE_WAIT_CALLS = 4
# Share of the less urgent calls that count as urgent, so that none starve.
PROMOTED_SHARE = 0.25
# Share of a service's latest calls from which on a priority counts as its most urgent
# one. Rare calls, such as probes, don't make all others less urgent.
MIN_URGENT_SHARE = 0.05
# Number of calls, or of deadlines of a route, after which older ones count half.
MAX_COUNTED = 200
# Calls per slot that an unmeasured server may hold.
UNMEASURED_CALLS_PER_SLOT = 2
# Calls per slot that a server may hold, whatever the target. Its queue takes 4 per
# slot, and other instances place calls before they hear of these.
MAX_CALLS_PER_SLOT = 3
# Calls that a call may wait for at a server, whatever the share of its target, as long
# as it leaves time for outdated views.
MIN_QUEUE_CALLS = 2
MAX_QUEUE_SHARE = 0.8
# An instance without a call at a server may exceed the bound by this factor. The
# instances whose calls end there know of a free place first and would take all.
FIRST_CALL_FACTOR = 1.2
# Servers that fail more often get calls only if no other one may get them.
MAX_FAILURE_SHARE = 0.5
# Bounds of the retry time. Reported loads lapse within a second, so that a longer one
# would rest on nothing.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 2.0
# Time over which refused callers come back, as a share of the target.
RETURN_SPREAD = 0.5
# A caller whose deadline is shorter than that of others by this has come back after a
# refusal. It is less than `MIN_RETRY_S`, and more than the time of a connection.
RETURNED_AFTER_S = 0.04
# Deadlines of first tries differ by less. Those that this share of a route's callers
# state are of first tries, as returned callers have spread deadlines.
DEADLINE_STEP_S = 0.04
MIN_FIRST_SHARE = 0.25
# Callers whose deadline is shorter than that of others by a larger share haven't come
# back, but have another deadline: retries wait for at most a third of the time left.
MAX_ELAPSED_SHARE = 0.5


@dataclass(frozen=True, eq=False)
class WaitingCall:
    """A call that waits for a server.

    Attributes:
        arrived_at: Monotonic time of its arrival.
        target_s: Target for the seconds to its answer.
        priority: Rank of the call, see `Call.priority`; a lower one comes first.
        elapsed_s: Seconds since the first try of a caller that has come back after a
            refusal; 0 for a first try.
        draw: Random number from 0 to 1 that decides whether it is promoted.
        ends_at: Monotonic time of its deadline.
    """

    arrived_at: float
    target_s: float
    priority: int = 0
    elapsed_s: float = 0.0
    draw: float = 1.0
    ends_at: float = inf

    @property
    def target_at(self):
        """Monotonic time until which an answer is on time."""
        return self.arrived_at + self.target_s - self.elapsed_s


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


def retry_s(wait_s, target_s, draw):
    """Returns the seconds after which the caller of a refused call should retry.

    Args:
        wait_s: Expected seconds until a server has room.
        target_s: Target of the call in seconds.
        draw: Random number from 0 to 1 that spreads the retries.
    """
    earliest_s = min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
    return earliest_s + RETURN_SPREAD * target_s * draw


class FirstDeadlines:
    """Estimates how long ago callers made their first try, from their deadlines.

    Callers state the time that they have left. At the first try, many callers of a
    route state the same.
    """

    def __init__(self):
        # Number of callers by deadline in steps, by route.
        self._counts = {}

    def elapsed_s(self, route, deadline_s, now):
        """Returns the seconds since a caller's first try; 0 if this is the first.

        Args:
            route: Name of the route.
            deadline_s: Seconds for which the caller waits; None if not stated.
            now: Monotonic time.
        """
        if deadline_s is None:
            return 0.0
        counts = self._counts.setdefault(route, Counter())
        step = int(deadline_s / DEADLINE_STEP_S)
        _count(counts, step)
        least = MIN_FIRST_SHARE * counts.total()
        first_tries = [
            other * DEADLINE_STEP_S
            for other, count in counts.items()
            if other >= step and count >= least
        ]
        if not first_tries or counts[step] >= least:
            return 0.0
        first_s = min(first_tries)
        elapsed_s = first_s - deadline_s
        has_returned = RETURNED_AFTER_S <= elapsed_s <= MAX_ELAPSED_SHARE * first_s
        return elapsed_s if has_returned else 0.0


def _count(counts, key):
    """Adds one to a counter, in which older entries count less and less."""
    counts[key] += 1
    if counts.total() > MAX_COUNTED:
        for other in list(counts):
            counts[other] //= 2
            if not counts[other]:
                del counts[other]


class PlainLine:
    """The calls of one service that wait at this instance."""

    def __init__(self):
        self._waiting = []
        # Number of the latest calls by priority.
        self._counts = Counter()

    def __len__(self):
        return len(self._waiting)

    def add(self, waiting):
        """Adds a `WaitingCall`."""
        _count(self._counts, waiting.priority)
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
        urgent = self._most_urgent()
        loads = {candidate.server.name: candidate for candidate in candidates}
        service_s = min(map(service_s_of, candidates))
        ordered = sorted(
            (_terms(waiting, urgent, service_s, now) for waiting in self._waiting),
            key=lambda terms: terms.rank,
        )
        outcomes, still_waiting = [], []
        for terms in ordered:
            waiting, calls_before = terms.waiting, len(still_waiting)
            usable = _preferred(loads.values())
            # A call doesn't overtake the ones before it.
            fitting = [] if calls_before else _fitting(usable, terms.limit_s)
            chosen = choose_plain(fitting, rng.random(), measures=True)
            wait_s, at_server_s = _estimate(usable, terms.limit_s, calls_before)
            if chosen is not None:
                loads[chosen.server.name] = replace(
                    chosen, running=chosen.running + 1, own=chosen.own + 1
                )
                outcomes.append(LineOutcome(waiting, chosen))
            elif now + wait_s + at_server_s > terms.ends_at:
                waited_s = now - waiting.arrived_at
                outcomes.append(LineOutcome(waiting, None, wait_s, waited_s))
            else:
                still_waiting.append(waiting)
        self._waiting = still_waiting
        return outcomes

    def _most_urgent(self):
        """Returns the most urgent priority that is not rare."""
        least = MIN_URGENT_SHARE * self._counts.total()
        return min(
            (priority for priority, count in self._counts.items() if count >= least),
            default=0,
        )


@dataclass(frozen=True)
class _Terms:
    """On which terms a call waits.

    Attributes:
        waiting: The `WaitingCall`.
        rank: Key by which waiting calls are ordered.
        limit_s: Seconds that it may spend at a server, queueing included.
        ends_at: Monotonic time until which an answer must be expected.
    """

    waiting: WaitingCall
    rank: tuple
    limit_s: float
    ends_at: float


def _terms(waiting, urgent, service_s, now):
    """Returns the `_Terms` of a call.

    Args:
        waiting: `WaitingCall`.
        urgent: Most urgent priority of the service.
        service_s: Seconds of one call at the fastest server.
        now: Monotonic time.
    """
    is_urgent = waiting.priority <= urgent or waiting.draw < PROMOTED_SHARE
    priority = urgent if is_urgent else waiting.priority
    share = QUEUE_SHARE if is_urgent else LESS_URGENT_QUEUE_SHARE
    ends_at = waiting.target_at
    late = now + service_s > ends_at
    if late:
        share = min(share, LATE_QUEUE_SHARE)
        longest_wait_s = max(waiting.target_s, LATE_WAIT_CALLS * service_s)
        ends_at = min(waiting.arrived_at + longest_wait_s, waiting.ends_at)
    limit_s = max(
        share * waiting.target_s,
        min(MIN_QUEUE_CALLS * service_s, MAX_QUEUE_SHARE * waiting.target_s),
    )
    return _Terms(
        waiting,
        (priority, late, not waiting.elapsed_s, ends_at),
        min(limit_s, ends_at - now),
        ends_at,
    )


def _preferred(candidates):
    """Returns the candidates that neither are avoided nor fail most calls.

    If there are none, returns all of them.
    """
    candidates = list(candidates)
    usable = [candidate for candidate in candidates if not candidate.avoided]
    sound = [
        candidate for candidate in usable if candidate.failure_share < MAX_FAILURE_SHARE
    ]
    return sound or usable or candidates


def _fitting(candidates, limit_s):
    """Returns the candidates on which a call may be placed."""
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
    if candidate.running >= MAX_CALLS_PER_SLOT * candidate.server.slots:
        return False
    if not candidate.own:
        limit_s *= FIRST_CALL_FACTOR
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
        candidate.server.slots / service_s_of(candidate) for candidate in candidates
    )
    own = max(1, sum(candidate.own for candidate in candidates))
    running = max(own, sum(candidate.running for candidate in candidates))
    room_s, at_server_s = min(
        (_estimate_at(candidate, limit_s) for candidate in candidates), key=sum
    )
    return room_s + calls_before * running / own / calls_per_s, at_server_s


def _estimate_at(candidate, limit_s):
    """Returns the seconds until a server has room, and those of a call from then on."""
    total_s = expected_s(candidate, service_s_of(candidate))
    at_server_s = min(total_s, max(limit_s, service_s_of(candidate)))
    return max(candidate.full_s, total_s - at_server_s), at_server_s
