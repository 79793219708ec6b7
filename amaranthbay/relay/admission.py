"""Decides which waiting stream starts next; pure functions.

They answer the load of a burst: more streams arrive than the model servers can begin
in time. Each stream that begins late takes the place of one that could still begin in
time, so that late ones start only from spare room.
"""

from dataclasses import dataclass
from enum import IntEnum

from amaranthbay.relay.speed import PrefillSpeed

__all__ = [
    "Pressure",
    "Urgency",
    "first_event_s",
    "may_start",
    "start_order",
    "urgency",
]

# Error of the estimate that still counts as in time.
MARGIN_S = 0.05
# Part of a decode server's memory up to which late streams may fill it, and the
# longest prefill queue that they may join.
LATE_MEMORY_SHARE = 0.75
LATE_PREFILL_WAIT_S = 0.25
# Part of its target by which a stream of mean cost starts later than it came. Streams
# that take little let more callers start in time; the bound on the cost keeps large
# ones from waiting until they are late.
HEAD_START_SHARE = 0.1
MOST_COST = 3.0
# Callers that come back after a refusal have less time left than their route gives.
RETURNED_SHARE = 0.8


class Urgency(IntEnum):
    """Order in which waiting streams start; lower values first."""

    IN_TIME = 0
    RETURNED = 1
    LATE = 2


@dataclass(frozen=True)
class Pressure:
    """How full the servers are that a stream would use.

    Attributes:
        prefill_wait_s: Time until the prefill server begins with its prompt.
        prefill_speed: Its `PrefillSpeed`.
        memory_share: Part of the decode server's memory that is taken with it.
        first_event_s: Transfer of the KV cache and time of the decode server until
            the first event.
    """

    prefill_wait_s: float
    prefill_speed: PrefillSpeed
    memory_share: float
    first_event_s: float


def first_event_s(prompt_tokens, pressure):
    """Returns the time from a start to the first event."""
    compute_s = pressure.prefill_speed.prompt_s(prompt_tokens)
    return pressure.prefill_wait_s + compute_s + pressure.first_event_s


def urgency(call, wait_s, now):
    """Returns the `Urgency` of a waiting call.

    Args:
        call: `Call`.
        wait_s: Time from a start to its first event.
        now: Monotonic time.
    """
    if now + wait_s <= call.target_at + MARGIN_S:
        return Urgency.IN_TIME
    left_s = call.head.deadline_s
    if left_s is not None and left_s < RETURNED_SHARE * call.route.timeout_s:
        return Urgency.RETURNED
    return Urgency.LATE


def start_order(calls):
    """Returns for each waiting call the time by which it is ordered.

    A stream costs the memory that it holds for as long as it is expected to run.

    Args:
        calls: Pairs of a `Call` and the memory in tokens that it needs.
    """
    costs = [need * max(1, call.head.likely_tokens) for call, need in calls]
    mean = sum(costs) / len(costs)
    return [
        call.arrived_at
        + HEAD_START_SHARE * call.route.target_s * min(MOST_COST, cost / mean)
        for (call, _), cost in zip(calls, costs)
    ]


def may_start(rank, pressure):
    """Returns whether a stream of an `Urgency` may start under a `Pressure`."""
    if rank is Urgency.IN_TIME:
        return True
    if pressure.prefill_wait_s > LATE_PREFILL_WAIT_S:
        return False
    return pressure.memory_share <= LATE_MEMORY_SHARE
