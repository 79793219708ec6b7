"""Limits that backend servers name for the requests of all instances together.

Time is divided into slots, each of which allows one request to the server. Rendezvous
hashing assigns each slot to one instance. Instances that know each other and share a
clock never use the same slot, so that the limit holds for any number of them without a
message, also while neither the store nor other instances can be reached.
"""

from collections import deque
from dataclasses import dataclass, field
from math import floor

from amaranthbay.observe import log_event
from amaranthbay.utils.rendezvous import rendezvous_first

__all__ = ["ServerLimits"]

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
# Time for which the limit of a server that is no longer listed is kept, as its entry
# may return.
RETENTION_S = 120.0
# Rounding error of sums of requests and of times in seconds.
ROUNDING = 1e-9


@dataclass
class _LimitedServer:
    """A server with a limit, and the slots of this instance; changed in place.

    Attributes:
        name: Name of the server.
        rate_per_s: Limit that the server has named.
        named_at: Monotonic time of the last answer that named it.
        next_slot: Number of the first slot that has not been looked at.
        granted: Time at which the slot expires, and number of requests that it still
            allows, for each unused slot of this instance.
        upcoming: Instances, and number of the next slot that may belong to this one
            if these are the instances; None if it was not searched.
    """

    name: str
    rate_per_s: float
    named_at: float
    next_slot: int = 0
    granted: deque = field(default_factory=deque)
    upcoming: tuple | None = None

    @property
    def slot_s(self):
        """Length of a slot in seconds."""
        return max(MIN_SLOT_S, 1.0 / max(self.rate_per_s, MIN_RATE_PER_S))

    @property
    def requests_per_slot(self):
        """Number of requests that a slot allows; at least 1, not always whole."""
        return max(self.rate_per_s, MIN_RATE_PER_S) * self.slot_s

    def available(self):
        """Returns the number of requests that the granted slots allow."""
        return sum(requests for _, requests in self.granted)


class ServerLimits:
    """Limits in force, by server, and the part of this instance in them.

    A server in trouble names its limit in each answer for as long as the limit holds.
    """

    def __init__(self, clock, store_now, own_name, known_names):
        """Creates the collection, without limits.

        Args:
            clock: `Clock`.
            store_now: Function that returns the time that all instances share in
                seconds; None if it is unknown.
            own_name: Name of this instance.
            known_names: Function that returns a frozenset with the names of all
                instances that may send requests, this one included.
        """
        self._clock = clock
        self._store_now = store_now
        self._own_name = own_name
        self._known_names = known_names
        self._limited = {}

    def rate_per_s(self, server_name):
        """Returns the requests per second that a server takes; None for no limit."""
        limited = self._limited.get(server_name)
        return None if limited is None else limited.rate_per_s

    def in_force(self):
        """Returns whether any server has a limit."""
        return bool(self._limited)

    def note_limit(self, server_name, rate_per_s):
        """Records a limit that a server has named.

        Args:
            server_name: Name of the server.
            rate_per_s: Requests per second that it takes from all instances together.
        """
        now = self._clock.monotonic()
        known = self._limited.get(server_name)
        if known is not None and known.rate_per_s == rate_per_s:
            known.named_at = now
            return
        limited = _LimitedServer(server_name, rate_per_s, now)
        # The slot that has begun may have been used under another limit.
        limited.next_slot = floor(self._slot_time() / limited.slot_s) + 1
        self._limited[server_name] = limited
        log_event(
            "limit_named",
            level="warning",
            backend_server=server_name,
            limit_per_s=rate_per_s,
            previous=known and known.rate_per_s,
            instances=len(self._known_names()),
        )

    def note_unlimited(self, server_name, sent_at):
        """Records that a server has answered without a limit.

        Answers may overtake each other. The limit ends only if the request was sent
        after the last answer that named it.

        Args:
            server_name: Name of the server.
            sent_at: Monotonic time at which the request was sent.
        """
        limited = self._limited.get(server_name)
        if limited is None or sent_at <= limited.named_at:
            return
        del self._limited[server_name]
        log_event(
            "limit_ended",
            backend_server=server_name,
            limit_per_s=limited.rate_per_s,
            last_named_s=round(self._clock.monotonic() - limited.named_at, 3),
        )

    def wait_s(self, server_name):
        """Returns the seconds until a server may get a request; 0 if it may now.

        The time of a wait without an end in sight is the least that it will take.
        """
        limited = self._limited.get(server_name)
        if limited is None:
            return 0.0
        now = self._slot_time()
        if self._has_room(limited, now):
            return 0.0
        return max(ROUNDING, self._next_own_slot(limited) * limited.slot_s - now)

    def withdraw(self, server_name):
        """Returns whether a request may be sent to a server, and counts it if so."""
        limited = self._limited.get(server_name)
        if limited is None:
            return True
        if not self._has_room(limited, self._slot_time()):
            return False
        log_event(
            "limit_slot_used",
            backend_server=server_name,
            limit_per_s=limited.rate_per_s,
            available=round(limited.available(), 2),
            named_s=round(self._clock.monotonic() - limited.named_at, 3),
            instances=len(self._known_names()),
        )
        missing = 1.0
        while missing > ROUNDING and limited.granted:
            expires_at, requests = limited.granted.popleft()
            if requests > missing + ROUNDING:
                limited.granted.appendleft((expires_at, requests - missing))
            missing -= requests
        return True

    def sweep(self, is_listed):
        """Forgets the limits of servers that are gone.

        Args:
            is_listed: Function of a server's name that returns whether it is listed.
        """
        oldest = self._clock.monotonic() - RETENTION_S
        for name, limited in list(self._limited.items()):
            if limited.named_at < oldest and not is_listed(name):
                del self._limited[name]

    def _slot_time(self):
        """Returns the time that determines the slots, in seconds.

        An instance that doesn't know the shared time uses its own; its slots are then
        as many, but not apart from those of the others.
        """
        store_now = self._store_now()
        return self._clock.monotonic() if store_now is None else store_now

    def _has_room(self, limited, now):
        self._grant(limited, now)
        return limited.available() >= 1.0 - ROUNDING

    def _owns(self, limited, slot, names):
        return rendezvous_first(f"{limited.name} {slot}", names) == self._own_name

    def _grant(self, limited, now):
        """Adds the slots of this instance that have begun, and drops expired ones."""
        slot_s, slot = limited.slot_s, limited.next_slot
        current = floor(now / slot_s)
        if slot > current + 1:
            # The clock of the store went back.
            limited.granted.clear()
            slot = current + 1
        slot = max(slot, floor((now - SLOT_GRACE_S) / slot_s))
        if slot <= current:
            names = self._known_names()
            while slot <= current:
                if self._owns(limited, slot, names):
                    expires_at = (slot + 1) * slot_s + SLOT_GRACE_S
                    limited.granted.append((expires_at, limited.requests_per_slot))
                slot += 1
        limited.next_slot = slot
        while limited.granted and limited.granted[0][0] <= now:
            limited.granted.popleft()

    def _next_own_slot(self, limited):
        """Returns the number of the next slot of this instance.

        If it is none of the next `MAX_SLOTS_AHEAD`, returns the one after them.
        """
        names, first = self._known_names(), limited.next_slot
        if limited.upcoming is not None:
            searched_names, slot = limited.upcoming
            if searched_names == names and slot >= first:
                return slot
        slot = first
        while slot < first + MAX_SLOTS_AHEAD and not self._owns(limited, slot, names):
            slot += 1
        limited.upcoming = (names, slot)
        return slot
