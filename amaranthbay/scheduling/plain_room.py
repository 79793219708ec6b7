"""The room that plain servers have, as seen by one pass over the waiting calls."""

from dataclasses import replace

from amaranthbay.scheduling.plain import (
    choose_plain,
    expected_s,
    is_free,
    service_s_of,
)

__all__ = ["PlainRoom"]

# Calls per slot that an unmeasured server may hold.
UNMEASURED_CALLS_PER_SLOT = 2
# Calls per slot that a server may hold, whatever the target. Its queue takes 4 per
# slot, and other instances place calls before they hear of these.
MAX_CALLS_PER_SLOT = 3
# Bounds of the factor by which an instance's share of the calls at the servers changes
# its bound. Instances whose calls end at a server know of a free place first and would
# take all, so the bound is lower for those that have more calls than others.
MIN_SHARE_FACTOR = 0.5
MAX_SHARE_FACTOR = 1.2
# The factor at an equal share, and its change per share more or less. With a factor of
# 1, servers hold more calls and more answers are late.
EQUAL_SHARE_FACTOR = 0.85
SHARE_GAIN = 0.6
# Share of an outdated time that is assumed to measure it again. All times of an
# instance may be too long, since the first calls after a start queue behind unknown
# ones.
OUTDATED_SHARE = 0.5
# Servers that fail more often get calls only if no other one may get them.
MAX_FAILURE_SHARE = 0.5


class PlainRoom:
    """Servers of a service, with the calls that a pass has placed on them.

    Attributes:
        service_s: Seconds of one call at the fastest server.
    """

    def __init__(self, candidates):
        """Creates the room.

        Args:
            candidates: `Candidate` of each server that may be used; not empty.
        """
        self.service_s = min(map(service_s_of, candidates))
        self._usable = _preferred(candidates)
        # See `_compute_times`; None after a placement.
        self._times = None

    def _compute_times(self):
        """Computes what depends on the calls at the servers."""
        own = max(1, sum(each.own for each in self._usable))
        running = max(own, sum(each.running for each in self._usable))
        calls_per_s = sum(
            each.server.slots / service_s_of(each) for each in self._usable
        )
        # The instance's share of the running calls is taken as its share of the
        # capacity.
        self._call_interval_s = running / own / calls_per_s
        self._times = [
            (expected_s(each, service_s_of(each)), service_s_of(each), each.full_s)
            for each in self._usable
        ]
        self._longest_s = min(total_s + full_s for total_s, _, full_s in self._times)

    def choose(self, limit_s, rng):
        """Returns the `Candidate` on which a call may be placed, or None.

        Args:
            limit_s: Seconds that the call may spend at a server, queueing included.
            rng: `random.Random` that breaks ties.
        """
        factor = self._share_factor()
        fitting = [
            each
            for each in self._usable
            if is_free(each) or self._has_short_queue(each, limit_s * factor)
        ]
        if not fitting:
            return None
        return choose_plain(fitting, rng.random(), measures=True)

    def _has_short_queue(self, candidate, limit_s):
        slots = candidate.server.slots
        if candidate.full_s:
            return False
        if not candidate.service_s:
            return candidate.running < UNMEASURED_CALLS_PER_SLOT * slots
        if candidate.running >= MAX_CALLS_PER_SLOT * slots:
            return False
        # A call measures an outdated time again, also while no slot is free.
        remeasures = candidate.outdated and not candidate.own
        service_s = candidate.service_s
        if remeasures:
            service_s = min(self.service_s, OUTDATED_SHARE * service_s)
        return expected_s(candidate, service_s) <= limit_s

    def _share_factor(self):
        """Returns the factor of the bound for the share of the calls here."""
        own = sum(each.own for each in self._usable)
        running = sum(each.running for each in self._usable)
        if not running:
            return MAX_SHARE_FACTOR
        share = own * max(each.placers for each in self._usable) / running
        factor = EQUAL_SHARE_FACTOR + SHARE_GAIN * (1 - share)
        return max(MIN_SHARE_FACTOR, min(MAX_SHARE_FACTOR, factor))

    def place(self, chosen):
        """Counts a call at a server that `choose` has returned."""
        placed = replace(chosen, running=chosen.running + 1, own=chosen.own + 1)
        self._usable[self._usable.index(chosen)] = placed
        self._times = None

    def is_surely_served(self, within_s, calls_before):
        """Returns whether `estimate` is within some seconds for any limit.

        Args:
            within_s: Seconds from now until an answer must be expected.
            calls_before: Calls of this instance that wait before the call.
        """
        if self._times is None:
            self._compute_times()
        return self._longest_s + calls_before * self._call_interval_s <= within_s

    def estimate(self, limit_s, calls_before):
        """Returns when a call in the line can be placed, and how long it takes then.

        Args:
            limit_s: Seconds that the call may spend at a server.
            calls_before: Calls of this instance that wait before it.

        Returns:
            Expected seconds until it is placed, and those from then on until its
            answer.
        """
        if self._times is None:
            self._compute_times()
        best_s, room_s, at_server_s = None, 0.0, 0.0
        for total_s, service_s, full_s in self._times:
            at_s = min(total_s, max(limit_s, service_s))
            wait_s = max(full_s, total_s - at_s)
            if best_s is None or wait_s + at_s < best_s:
                best_s, room_s, at_server_s = wait_s + at_s, wait_s, at_s
        return room_s + calls_before * self._call_interval_s, at_server_s


def _preferred(candidates):
    """Returns a list of the candidates that neither are avoided nor fail most calls.

    If there are none, returns all of them.
    """
    usable = [candidate for candidate in candidates if not candidate.avoided]
    sound = [
        candidate for candidate in usable if candidate.failure_share < MAX_FAILURE_SHARE
    ]
    return sound or usable or list(candidates)
