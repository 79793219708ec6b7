"""Decides which waiting stream starts next; pure functions.

During a burst, more streams arrive than the model servers can start in time. A late
stream would take the place of one that could still start in time. Late streams
therefore use spare capacity only. In a service whose requests have more than one
priority, less urgent streams leave room for more urgent ones.
"""

import math
from collections import Counter
from dataclasses import dataclass, replace
from enum import IntEnum

from amaranthbay.relay.speed import PrefillSpeed
from amaranthbay.scheduling.arrivals import UrgentNeed

__all__ = [
    "Pressure",
    "Urgency",
    "WaitingStart",
    "first_event_s",
    "free_places",
    "latest_start_at",
    "longest_wait_s",
    "may_start",
    "memory_need",
    "reservation_share",
    "start_order",
    "start_sequence",
    "stream_to_drop",
    "urgency_of",
]

# A stream still counts as in time if its estimate exceeds the target by this.
ESTIMATE_ERROR_S = 0.05
# Limits for late streams: the share of a decode server's memory that may be in use with
# them, and the wait at the prefill server. The latter holds for less urgent streams
# too while it isn't known which more urgent ones arrive.
LATE_MEMORY_SHARE = 0.75
LATE_PREFILL_WAIT_S = 0.25
# Most places on the decode servers that each step of priority leaves free for the more
# urgent ones, as a share of all places.
RESERVED_PLACE_SHARE = 0.04
# Streams of equal urgency start in the order of their arrival plus a delay that grows
# with their cost. This is the delay at mean cost, as a share of the target. Cheap
# streams go first because more callers then start in time; the limit on the relative
# cost keeps large streams from waiting until they are late.
COST_DELAY_SHARE = 0.1
MAX_RELATIVE_COST = 3.0
# Callers that retry after a refusal state a deadline below this share of the route's
# timeout.
RETURNED_DEADLINE_SHARE = 0.8
# Time after which callers give up a stream without an event, in targets.
GIVE_UP_TARGETS = 4.0
# Late streams of a service with several priorities start in the order of their arrival
# plus this number of targets. With the time at which callers give up (4), the least
# urgent class, whose callers stay longest, is served more often than the middle one.
LATE_ORDER_TARGETS = 5.0
# Longest wait in the queue, in targets. With several priorities, the wait is almost as
# long as callers wait: a class whose callers leave sooner is otherwise refused while
# less urgent streams still wait.
WAIT_TARGETS, MIXED_WAIT_TARGETS = 3.0, 3.5
# Memory that an answer holds on average during its run, as a share of its expected
# length.
MEAN_ANSWER_SHARE = 0.75
# Share of a decode server's memory above which it may be full, so that memory is
# reserved at the server. Placements that others have not reported yet lower it.
MAX_RESERVATION_SHARE, MIN_RESERVATION_SHARE = 0.6, 0.2
# Time until the placement of another instance is known here.
REPORT_DELAY_S = 0.05
# Ranks that precede those of all priorities.
CONTINUED_RANK, OWED_RANK = -2, -1


class Urgency(IntEnum):
    """Order in which waiting streams start; lower values first.

    Attributes:
        IN_TIME: The first event can still come within the target.
        RETURNED: Late, but the caller has come back after a refusal. With several
            priorities, all streams that have come back are late, as their callers count
            from the first attempt.
        LATE: Late, at the caller's first try.
    """

    IN_TIME = 0
    RETURNED = 1
    LATE = 2


@dataclass(frozen=True)
class Pressure:
    """Load of the servers that a stream would use.

    Attributes:
        prefill_wait_s: Seconds until the prefill server starts with the prompt.
        prefill_speed: `PrefillSpeed` of the prefill server.
        memory_share: Share of the decode server's memory in use, with the stream.
        decode_start_s: Seconds from the call of the decode server to the first event:
            transfer of the KV cache and the first decode step.
        free_places: Streams like this one that the decode servers could take.
        all_places: Streams like this one that they could take if they were empty.
        urgent_need: `UrgentNeed` of the more urgent streams that arrive; None while it
            isn't known.
    """

    prefill_wait_s: float
    prefill_speed: PrefillSpeed
    memory_share: float
    decode_start_s: float
    free_places: float = math.inf
    all_places: float = 0.0
    urgent_need: UrgentNeed | None = None


@dataclass(frozen=True)
class WaitingStart:
    """A waiting stream in the order of starts.

    Attributes:
        stream: The stream as the queue knows it.
        call: `Call` of the stream.
        urgency: `Urgency` of the stream.
        order_time: Time by which streams of equal rank are ordered; see `start_order`.
        continued: Whether the caller already has events of the stream.
        rank: Position of its priority among those of its service, 0 for the highest;
            None if the service has only one.
        returned: Whether the caller has probably come back after a refusal; see
            `ClassArrivals.has_returned`. Only read with a rank.
    """

    stream: object
    call: object
    urgency: Urgency
    order_time: float
    continued: bool = False
    rank: int | None = None
    returned: bool = False


def memory_need(head):
    """Returns the tokens of KV cache that a stream holds on average over its run.

    Counting memory for the longest answer would leave much of a server unused: answers
    in progress are at different points and most stay below their limit.

    Args:
        head: `CallHead` of the stream.
    """
    return head.prompt_tokens + int(MEAN_ANSWER_SHARE * head.likely_tokens)


def first_event_s(prompt_tokens, pressure):
    """Returns the seconds from the start of a stream to its first event.

    Args:
        prompt_tokens: Length of the prompt.
        pressure: `Pressure` of the servers.
    """
    compute_s = pressure.prefill_speed.prompt_s(prompt_tokens)
    return pressure.prefill_wait_s + compute_s + pressure.decode_start_s


def urgency_of(call, first_s, now):
    """Returns the `Urgency` of a waiting call.

    Args:
        call: `Call` that waits.
        first_s: Seconds from its start to its first event.
        now: Monotonic time.
    """
    if now + first_s <= call.target_at + ESTIMATE_ERROR_S:
        return Urgency.IN_TIME
    return Urgency.RETURNED if _has_returned(call) else Urgency.LATE


def _has_returned(call):
    """Returns whether the caller of a stream has probably come back after a refusal."""
    left_s = call.head.deadline_s
    return (
        left_s is not None and left_s < RETURNED_DEADLINE_SHARE * call.route.timeout_s
    )


def latest_start_at(call, first_s, rank=None):
    """Returns the monotonic time until which it is of use to start a stream.

    Its first event can then still come while its caller waits. With several priorities,
    others can use the servers, so that an error of the estimate isn't allowed for.

    Args:
        call: `Call` of the stream.
        first_s: Seconds from its start to its first event.
        rank: Its `WaitingStart.rank`.
    """
    gives_up_at = call.arrived_at + GIVE_UP_TARGETS * call.route.target_s
    error_s = ESTIMATE_ERROR_S if rank is None else 0.0
    return min(call.ends_at, gives_up_at) + error_s - first_s


def longest_wait_s(call, rank):
    """Returns the seconds from the arrival of a stream until its wait is given up.

    Args:
        call: `Call` of the stream.
        rank: Its `WaitingStart.rank`.
    """
    targets = WAIT_TARGETS if rank is None else MIXED_WAIT_TARGETS
    return targets * call.route.target_s


def start_order(calls):
    """Returns, for each waiting call, the monotonic time by which it is ordered.

    The cost of a stream is the memory that it holds times its expected length.

    Args:
        calls: Pairs of a `Call` and the KV cache tokens that it needs.
    """
    memory_costs = [need * max(1, call.head.likely_tokens) for call, need in calls]
    # Streams that name no tokens cost nothing.
    mean_cost = sum(memory_costs) / len(memory_costs) or 1.0
    return [
        call.arrived_at
        + COST_DELAY_SHARE
        * call.route.target_s
        * min(MAX_RELATIVE_COST, cost / mean_cost)
        for (call, _), cost in zip(calls, memory_costs)
    ]


def start_sequence(starts, owed):
    """Returns waiting streams in the order in which they start.

    Args:
        starts: `WaitingStart` of each stream.
        owed: Function of the name of a service and a priority that returns the number
            of starts that the priority is owed; see `ClassCredits`.

    Returns:
        The `WaitingStart` of each stream; those that are owed a start, and those whose
        callers have events, have a rank below 0.
    """
    ordered = sorted((_as_of_mixed_service(start) for start in starts), key=_sort_key)
    granted = Counter()
    sequence = []
    for start in ordered:
        if start.rank is not None and start.rank >= 0:
            key = start.call.service.name, start.call.priority
            if start.urgency is Urgency.IN_TIME and granted[key] < owed(*key):
                granted[key] += 1
                start = replace(start, rank=OWED_RANK)
        sequence.append(start)
    return sorted(sequence, key=_sort_key) if granted else sequence


def _as_of_mixed_service(start):
    if start.rank is None:
        return start
    if start.continued:
        return replace(start, rank=CONTINUED_RANK)
    if start.urgency is Urgency.IN_TIME and not start.returned:
        return start
    # `urgency_of` doesn't know which deadlines are usual.
    urgency = Urgency.RETURNED if start.returned else Urgency.LATE
    call = start.call
    order_time = call.arrived_at + LATE_ORDER_TARGETS * call.route.target_s
    return replace(start, urgency=urgency, order_time=order_time)


def _sort_key(start):
    # Late answers of all priorities are worth about the same, so that the streams whose
    # callers give up first go first.
    rank = start.rank or 0
    if start.urgency is not Urgency.IN_TIME:
        rank = 0
    return start.urgency, rank, start.order_time


def may_start(urgency, pressure, rank=None):
    """Returns whether a stream may start.

    Args:
        urgency: `Urgency` of the stream.
        pressure: `Pressure` of the servers that it would use.
        rank: Its `WaitingStart.rank`.
    """
    if urgency is Urgency.IN_TIME and (rank or 0) <= 0:
        return True
    if urgency is Urgency.IN_TIME:
        return _leaves_room(pressure, rank)
    if pressure.prefill_wait_s > LATE_PREFILL_WAIT_S:
        return False
    # If a returned stream is refused again, its caller is lost. Streams in time go
    # before it, and memory that they leave would be unused.
    if urgency is Urgency.RETURNED and rank is not None:
        return True
    # A stream that was held back while it could be in time is so once it is late.
    if rank and not _leaves_room(pressure, rank):
        return False
    return pressure.memory_share <= LATE_MEMORY_SHARE


def _leaves_room(pressure, rank):
    """Returns whether more urgent streams still find servers after a start."""
    reserved = RESERVED_PLACE_SHARE * rank * pressure.all_places
    need = pressure.urgent_need or UrgentNeed(reserved, LATE_PREFILL_WAIT_S)
    if pressure.prefill_wait_s > need.prefill_wait_s:
        return False
    return pressure.free_places - 1 >= min(reserved, need.places)


def free_places(used_tokens, need_tokens, limit_tokens):
    """Returns the number of equal streams that servers could take.

    Args:
        used_tokens: Memory in use on each server.
        need_tokens: Memory that one stream needs.
        limit_tokens: Usable memory of a server.
    """
    need_tokens = max(1, need_tokens)
    return sum(max(0, limit_tokens - used) // need_tokens for used in used_tokens)


def stream_to_drop(waiting, call, now, has_events=False):
    """Returns the stream that makes way for a more urgent one in a full queue, or None.

    Among those of the lowest priority, callers who have come back are spared, and late
    streams go first.

    Args:
        waiting: Waiting streams, with `call` and whether they are `continued`.
        call: `Call` of the new stream.
        now: Monotonic time.
        has_events: Whether the caller of the new stream has events of it, so that it is
            more urgent than all streams that have not begun.
    """
    less_urgent = [
        stream
        for stream in waiting
        if stream.call.service.name == call.service.name
        and (has_events or stream.call.priority > call.priority)
        and not stream.continued
    ]
    return max(
        less_urgent, key=lambda stream: _drop_key(stream.call, now), default=None
    )


def _drop_key(call, now):
    is_late = now > call.target_at
    return call.priority, not _has_returned(call), is_late, call.arrived_at


def reservation_share(own_tokens_per_s, others, memory_tokens):
    """Returns the share of a server's memory from which memory is reserved there.

    The other instances are assumed to place as much as this one.

    Args:
        own_tokens_per_s: Memory that this instance places per second.
        others: Number of other instances that place streams.
        memory_tokens: Memory of a decode server.
    """
    unreported_share = own_tokens_per_s * others * REPORT_DELAY_S / memory_tokens
    return max(MIN_RESERVATION_SHARE, min(MAX_RESERVATION_SHARE, 1 - unreported_share))
