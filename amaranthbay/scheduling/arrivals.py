"""Arrivals of streams by priority, and what more urgent streams will need soon."""

import math
from dataclasses import dataclass

from amaranthbay.scheduling.rates import DecayingSum

__all__ = ["ClassArrivals", "UrgentNeed"]

# Half-life of the counts from which the rate and the mean prompt of a priority are
# measured.
ARRIVED_HALF_LIFE_S = 2.0
# A priority without a stream for this time no longer counts as arriving. An instance
# sees one stream in twelve of the larger deployments, so that a second without any is
# common.
ARRIVING_S = 5.0
# Time from the first stream until the arrivals are known.
LEARNING_S = 1.0
# A stream with less than this share of the longest deadline that callers of its
# priority have stated lately has probably come back after a refusal.
RETURNED_DEADLINE_SHARE = 0.8
# Time for which a stated deadline counts, at least.
DEADLINE_LIFE_S = 15.0
# Places are kept for the more urgent streams of this time. Until then, the loads of all
# instances are known, and streams that end have freed other places.
PLACES_S = 0.25
# Share of the time that more urgent streams can spare which less urgent ones may use at
# the prefill servers. Longer prompts and placements of other instances need the rest.
SPARE_TIME_SHARE = 0.5


@dataclass(frozen=True)
class UrgentNeed:
    """What less urgent streams leave to the more urgent ones that arrive.

    Attributes:
        places: Places on the decode servers that these take soon.
        prefill_wait_s: Longest wait at a prefill server that keeps them in time.
    """

    places: float = 0.0
    prefill_wait_s: float = math.inf


class _Class:
    """Arrivals of one priority of a service.

    Attributes:
        count: `DecayingSum` of the streams.
        tokens: `DecayingSum` of their prompt tokens.
        target_s: Target of the latest stream.
        last_at: Monotonic time of its arrival.
        longest: `_RecentMaximum` of the deadlines in seconds.
    """

    def __init__(self):
        self.count = DecayingSum(ARRIVED_HALF_LIFE_S)
        self.tokens = DecayingSum(ARRIVED_HALF_LIFE_S)
        self.target_s = 0.0
        self.last_at = -math.inf
        self.longest = _RecentMaximum()


class _RecentMaximum:
    """Maximum of the values of the last `DEADLINE_LIFE_S` to twice that time."""

    def __init__(self):
        self._began_at = -math.inf
        self._previous = self._current = 0.0

    def add(self, value, now):
        """Adds a value at a monotonic time."""
        if now - self._began_at > DEADLINE_LIFE_S:
            # After a time without values, the latest ones are too old as well.
            is_recent = now - self._began_at <= 2 * DEADLINE_LIFE_S
            self._previous = self._current if is_recent else 0.0
            self._current, self._began_at = 0.0, now
        self._current = max(self._current, value)

    def value(self):
        """Returns the maximum as of the latest value."""
        return max(self._previous, self._current)


class ClassArrivals:
    """Streams that have arrived lately at this instance, by service and priority."""

    def __init__(self):
        self._classes = {}
        # Time of the first stream, by service.
        self._since = {}

    def note(self, call, now):
        """Records a new stream.

        Args:
            call: `Call` of the stream.
            now: Monotonic time.
        """
        service, route = call.service.name, call.route
        self._since.setdefault(service, now)
        classes = self._classes.setdefault(service, {})
        arrived = classes.setdefault(call.priority, _Class())
        arrived.count.add(1.0, now)
        arrived.tokens.add(call.head.prompt_tokens, now)
        arrived.target_s, arrived.last_at = route.target_s, now
        if call.head.deadline_s is not None:
            arrived.longest.add(call.head.deadline_s, now)

    def has_returned(self, call):
        """Returns whether the caller of a noted stream has probably come back.

        Args:
            call: `Call` of the stream.
        """
        deadline_s = call.head.deadline_s
        if deadline_s is None:
            return False
        arrived = self._classes[call.service.name][call.priority]
        longest_s = min(call.route.timeout_s, arrived.longest.value())
        return deadline_s < RETURNED_DEADLINE_SHARE * longest_s

    def urgent_need(self, service, priority, instances, first_event_s, now):
        """Returns the `UrgentNeed` of the streams that are more urgent than a priority.

        The other instances are assumed to get as many as this one.

        Args:
            service: Name of the service.
            priority: Priority of the streams that leave room.
            instances: Number of instances that place streams, this one included.
            first_event_s: Function of the length of a prompt that returns the seconds
                until its first event if it doesn't wait.
            now: Monotonic time.

        Returns:
            None while the arrivals are not known.
        """
        if now - self._since.get(service, now) < LEARNING_S:
            return None
        places, wait_s = 0.0, math.inf
        for other, arrived in self._classes.get(service, {}).items():
            if other >= priority or now - arrived.last_at > ARRIVING_S:
                continue
            places += instances * arrived.count.per_s(now) * PLACES_S
            mean_tokens = arrived.tokens.value(now) / arrived.count.value(now)
            spare_s = arrived.target_s - first_event_s(mean_tokens)
            wait_s = min(wait_s, max(0.0, SPARE_TIME_SHARE * spare_s))
        return UrgentNeed(places, wait_s)
