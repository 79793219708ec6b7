"""Time slots that divide the limit of a backend server among all instances.

Each slot allows one request to the server. Rendezvous hashing assigns it to one
instance. Instances that know each other and share a clock never use the same slot, so
that the limit holds for any number of them without a message, also while neither the
store nor other instances can be reached.
"""

from collections import deque
from math import floor

from amaranthbay.utils.rendezvous import rendezvous_first

__all__ = ["LimitSlots"]

# Shortest slot. A slot of a server with a higher limit allows several requests, as each
# slot costs the hashes of all instances.
MIN_SLOT_S = 0.1
# Lowest limit that is applied: a request now and then finds out whether a server that
# takes nothing takes requests again.
MIN_RATE_PER_S = 0.1
# Time for which a slot may be used after its end. Of a limit of N requests a second, a
# server then gets at most (4 + 1) N + 2 requests in 4 s. The platform allows 6 N + 5,
# which leaves room for requests that are on their way and for instances that do not
# know of each other yet.
SLOT_GRACE_S = 1.0
# Number of slots that are searched for the next one of this instance.
MAX_SLOTS_AHEAD = 64
# Rounding error of sums of requests and of times in seconds.
ROUNDING = 1e-9


class LimitSlots:
    """The slots of one server that belong to this instance.

    All times are in seconds on the clock that the instances share.

    Attributes:
        rate_per_s: Limit that the server has named, in requests per second.
    """

    def __init__(self, server_name, rate_per_s, own_name, known_names, now):
        """Creates the slots, of which the first one begins after ``now``.

        Args:
            server_name: Name of the server.
            rate_per_s: Requests per second that it takes from all instances together.
            own_name: Name of this instance.
            known_names: Function that returns a frozenset with the names of all
                instances that may send requests, this one included.
            now: Shared time.
        """
        self.rate_per_s = rate_per_s
        self._server_name = server_name
        self._own_name = own_name
        self._known_names = known_names
        applied_rate = max(rate_per_s, MIN_RATE_PER_S)
        self._slot_s = max(MIN_SLOT_S, 1.0 / applied_rate)
        # At least 1, not always a whole number.
        self._requests_per_slot = applied_rate * self._slot_s
        # The slot that has begun may have been used under another limit.
        self._next_slot = floor(now / self._slot_s) + 1
        # Time at which the slot expires, and number of requests that it still allows,
        # for each own slot that has begun.
        self._begun = deque()
        # Instances, and the next own slot if these are the instances.
        self._upcoming = (frozenset(), 0)

    def available(self):
        """Returns the number of requests that the slots allow that have begun."""
        return sum(requests for _, requests in self._begun)

    def has_room(self, now):
        """Returns whether a request may be sent now."""
        self._advance(now)
        return self.available() >= 1.0 - ROUNDING

    def wait_s(self, now):
        """Returns the seconds until a request may be sent; 0 if one may be sent now.

        A wait whose end is not in sight counts as the least that it will take.
        """
        if self.has_room(now):
            return 0.0
        return max(ROUNDING, self._next_own_slot() * self._slot_s - now)

    def take(self, now):
        """Returns whether a request may be sent, and counts it if so."""
        if not self.has_room(now):
            return False
        missing = 1.0
        while missing > ROUNDING and self._begun:
            expires_at, requests = self._begun.popleft()
            if requests > missing + ROUNDING:
                self._begun.appendleft((expires_at, requests - missing))
            missing -= requests
        return True

    def _advance(self, now):
        """Adds the own slots that have begun, and drops those that have expired."""
        slot, current = self._next_slot, floor(now / self._slot_s)
        if slot > current + 1:
            # The clock of the store went back.
            self._begun.clear()
            slot = current + 1
        slot = max(slot, floor((now - SLOT_GRACE_S) / self._slot_s))
        names = self._known_names() if slot <= current else frozenset()
        while slot <= current:
            if self._owns(slot, names):
                expires_at = (slot + 1) * self._slot_s + SLOT_GRACE_S
                self._begun.append((expires_at, self._requests_per_slot))
            slot += 1
        self._next_slot = slot
        while self._begun and self._begun[0][0] <= now:
            self._begun.popleft()

    def _owns(self, slot, names):
        return rendezvous_first(f"{self._server_name} {slot}", names) == self._own_name

    def _next_own_slot(self):
        """Returns the number of the next own slot.

        If it is none of the next `MAX_SLOTS_AHEAD`, returns the one after them.
        """
        names, first = self._known_names(), self._next_slot
        searched_names, slot = self._upcoming
        if searched_names != names or slot < first:
            slot = first
            while slot < first + MAX_SLOTS_AHEAD and not self._owns(slot, names):
                slot += 1
            self._upcoming = (names, slot)
        return slot
