"""Decides which waiting stream starts next; pure functions.

During a burst, more streams arrive than the model servers can start in time. A late
stream would take the place of one that could still start in time. Late streams
therefore use spare capacity only.
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
    "urgency_of",
]

# A stream still counts as in time if its estimate exceeds the target by this.
ESTIMATE_ERROR_S = 0.05
# Limits for late streams: the share of a decode server's memory that may be in use with
# them, and the wait at the prefill server.
LATE_MEMORY_SHARE = 0.75
LATE_PREFILL_WAIT_S = 0.25
# Streams of equal urgency start in the order of their arrival plus a delay that grows
# with their cost. This is the delay at mean cost, as a share of the target. Cheap
# streams go first because more callers then start in time; the limit on the relative
# cost keeps large streams from waiting until they are late.
COST_DELAY_SHARE = 0.1
MAX_RELATIVE_COST = 3.0
# Callers that retry after a refusal state a deadline below this share of the route's
# timeout.
RETURNED_DEADLINE_SHARE = 0.8


class Urgency(IntEnum):
    """Order in which waiting streams start; lower values first.

    Attributes:
        IN_TIME: The first event can still come within the target.
        RETURNED: Late, but the caller has come back after a refusal.
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
    """

    prefill_wait_s: float
    prefill_speed: PrefillSpeed
    memory_share: float
    decode_start_s: float


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
    left_s = call.head.deadline_s
    if left_s is not None and left_s < RETURNED_DEADLINE_SHARE * call.route.timeout_s:
        return Urgency.RETURNED
    return Urgency.LATE


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


def may_start(urgency, pressure):
    """Returns whether a stream may start.

    Args:
        urgency: `Urgency` of the stream.
        pressure: `Pressure` of the servers that it would use.
    """
    if urgency is Urgency.IN_TIME:
        return True
    if pressure.prefill_wait_s > LATE_PREFILL_WAIT_S:
        return False
    return pressure.memory_share <= LATE_MEMORY_SHARE
