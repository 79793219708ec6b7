"""Decides which plain calls wait at the instance, are placed or are refused.

The queues at the servers stay so short that calls are answered within their target.
"""

from bisect import insort
from collections import Counter
from dataclasses import dataclass
from math import inf
from operator import attrgetter

from amaranthbay.relay.choice import Candidate
from amaranthbay.scheduling.first_deadlines import count_recent
from amaranthbay.scheduling.plain_room import PlainRoom

__all__ = [
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
# Share of the target by which an answer must be expected earlier. Estimates are too
# short where other instances have placed calls that aren't known yet.
MARGIN_SHARE = 0.1
# Share of its remaining time within which the answer of a waiting call must be expected
# while calls with a longer target overtake it.
OVERTAKEN_SHARE = 0.7
# Late calls wait for as long as their target is, or this many calls take at a server
# that can't meet the target.
LATE_WAIT_CALLS = 4
# Share of the less urgent calls that count as urgent, so that none starve.
PROMOTED_SHARE = 0.25
# Share of a service's latest calls from which on a priority counts as its most urgent
# one. Rare calls, such as probes, don't make all others less urgent.
MIN_URGENT_SHARE = 0.05
# Interval at which all waiting calls are ordered and may be refused. Passes between
# only place calls, and look at calls that have arrived since. With 10 ms, up to 0.4 in
# 100 more answers are late in overload.
ORDER_INTERVAL_S = 0.002
# Addition to the interval for each waiting call, which bounds the calls that are
# ordered per second.
ORDER_INTERVAL_PER_CALL_S = 0.0001
# Calls that a call may wait for at a server, whatever the share of its target, as long
# as it leaves time for outdated views.
MIN_QUEUE_CALLS = 2
MAX_QUEUE_SHARE = 0.8
# Bounds of the retry time. Reported loads lapse within a second, so that a longer one
# would rest on nothing.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 2.0
# Time over which refused callers come back, as a share of the target.
RETURN_SPREAD = 0.5


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


class PlainLine:
    """The calls of one service that wait at this instance."""

    def __init__(self):
        # `_Terms` of the waiting calls in their order, and calls without terms so far.
        self._ordered = []
        self._arrived = []
        self._ordered_at = -inf
        self._longest_limit_s = 0.0
        # Number of the latest calls by priority.
        self._counts = Counter()

    def __len__(self):
        return len(self._ordered) + len(self._arrived)

    def add(self, waiting):
        """Adds a `WaitingCall`."""
        count_recent(self._counts, waiting.priority)
        self._arrived.append(waiting)

    def discard(self, waiting):
        """Removes a `WaitingCall`, if it still waits."""
        self._arrived = [each for each in self._arrived if each is not waiting]
        self._ordered = [each for each in self._ordered if each.waiting is not waiting]

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
            outcomes = [LineOutcome(waiting) for waiting in self._take_all()]
            self._ordered = []
            return outcomes
        room = PlainRoom(candidates)
        checked = self._order(now, room)
        outcomes, still_waiting = [], []
        # Calls with the same limit as a waiting one, or a lower one, don't fit either.
        blocked_s = 0.0
        for index, terms in enumerate(self._ordered):
            if still_waiting and not checked and blocked_s >= self._longest_limit_s:
                still_waiting += self._ordered[index:]
                break
            outcome, limit_s = None, terms.limit_at(now)
            if not still_waiting or (
                limit_s > blocked_s and _may_overtake(terms, still_waiting, room, now)
            ):
                outcome = _placed(terms, room, now, rng)
            if terms in checked:
                checked.discard(terms)
                if outcome is None:
                    outcome = _refused(terms, room, len(still_waiting), now)
            if outcome is None:
                still_waiting.append(terms)
                blocked_s = max(blocked_s, limit_s)
            else:
                outcomes.append(outcome)
        self._ordered = still_waiting
        return outcomes

    def _take_all(self):
        """Returns all waiting calls."""
        taken = [terms.waiting for terms in self._ordered] + self._arrived
        self._arrived = []
        return taken

    def _order(self, now, room):
        """Orders the waiting calls, all of them or those that have arrived.

        Returns:
            Set of the `_Terms` that may be refused.
        """
        urgent, by_rank = self._most_urgent(), attrgetter("rank")
        interval_s = ORDER_INTERVAL_S + ORDER_INTERVAL_PER_CALL_S * len(self)
        if not 0 <= now - self._ordered_at < interval_s:
            self._ordered_at = now
            self._ordered = sorted(
                (
                    _terms(each, urgent, room.service_s, now)
                    for each in self._take_all()
                ),
                key=by_rank,
            )
            self._longest_limit_s = max(
                (terms.limit_s for terms in self._ordered), default=0.0
            )
            return set(self._ordered)
        arrived, self._arrived = self._arrived, []
        arrived = [_terms(each, urgent, room.service_s, now) for each in arrived]
        for terms in arrived:
            insort(self._ordered, terms, key=by_rank)
            self._longest_limit_s = max(self._longest_limit_s, terms.limit_s)
        return set(arrived)

    def _most_urgent(self):
        """Returns the most urgent priority that is not rare."""
        least = MIN_URGENT_SHARE * self._counts.total()
        return min(
            (priority for priority, count in self._counts.items() if count >= least),
            default=0,
        )


@dataclass(frozen=True, eq=False)
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

    def limit_at(self, now):
        """Returns the seconds that the call may spend at a server from now on."""
        return min(self.limit_s, self.ends_at - now)


def _may_overtake(terms, waiting, room, now):
    """Returns whether a call may be placed while others before it wait.

    A call with a longer target takes room that those with a shorter one can't use. It
    must leave them enough time, so that their wait doesn't make them late.

    Args:
        terms: `_Terms` of the call.
        waiting: `_Terms` of the calls that wait before it; not empty.
        room: `PlainRoom`.
        now: Monotonic time.
    """
    first = waiting[0]
    if terms.rank[:2] != first.rank[:2]:
        return False
    expected_s = sum(room.estimate(first.limit_at(now), len(waiting)))
    return expected_s <= OVERTAKEN_SHARE * (first.ends_at - now)


def _placed(terms, room, now, rng):
    """Returns the `LineOutcome` of a call that is placed now; None if none is free."""
    chosen = room.choose(terms.limit_at(now), rng)
    if chosen is None:
        return None
    room.place(chosen)
    return LineOutcome(terms.waiting, chosen)


def _refused(terms, room, calls_before, now):
    """Returns the `LineOutcome` of a call that can't be in time; None if it can."""
    ends_at = terms.ends_at - MARGIN_SHARE * terms.waiting.target_s
    if room.is_surely_served(ends_at - now, calls_before):
        return None
    wait_s, at_server_s = room.estimate(terms.limit_at(now), calls_before)
    if now + wait_s + at_server_s <= ends_at:
        return None
    return LineOutcome(terms.waiting, None, wait_s, now - terms.waiting.arrived_at)


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
        limit_s,
        ends_at,
    )
