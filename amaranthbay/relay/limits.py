"""Limits that backend servers name for the requests of all instances together.

`relay.limit_slots` divides a limit among the instances. They report its start and its
end to each other; one that misses the end learns of it from the answer to its next
request.
"""

from dataclasses import dataclass
from math import inf

from amaranthbay.fleet.reports import LimitNotice
from amaranthbay.observe import log_event
from amaranthbay.relay.limit_slots import LimitSlots

__all__ = ["ServerLimits"]

# Time for which the limit of a server that is no longer listed is kept, as its entry
# may return.
RETENTION_S = 120.0
# Time for which an instance reports what an answer has said. The reports of this time
# reach the others also if several are lost.
PUBLISH_S = 10.0
# Largest number of servers in a report, which also has to hold the loads.
MAX_REPORTED = 8
# Shared times of instances differ by less. A known time that is further ahead is from
# before the clock of the store went back.
MAX_SKEW_S = 1.0


@dataclass
class _KnownLimit:
    """A limit in force; changed in place.

    Attributes:
        slots: `LimitSlots` of this instance.
        named_at: Shared time of the last answer that named it, in seconds.
        heard_at: Monotonic time at which this instance got that answer or heard of it.
        own: Whether that answer was one to this instance.
    """

    slots: LimitSlots
    named_at: float
    heard_at: float
    own: bool


class ServerLimits:
    """Limits in force, by server, and the part of this instance in them.

    A server in trouble names its limit in each answer for as long as the limit holds.
    """

    def __init__(self, clock, store_now, own_name, known_names, on_change=lambda: None):
        """Creates the collection, without limits.

        Args:
            clock: `Clock`.
            store_now: Function that returns the time that all instances share in
                seconds; None if it is unknown.
            own_name: Name of this instance.
            known_names: Function that returns a frozenset with the names of all
                instances that may send requests, this one included.
            on_change: Function without arguments that is called after an answer to
                this instance has named, changed or ended a limit.
        """
        self._clock = clock
        self._store_now = store_now
        self._own_name = own_name
        self._known_names = known_names
        self._on_change = on_change
        self._limits = {}
        # Shared time of the end of a limit, and whether this instance has seen it.
        self._ended = {}

    def rate_per_s(self, server_name):
        """Returns the requests per second that a server takes; None for no limit."""
        limit = self._limits.get(server_name)
        return None if limit is None else limit.slots.rate_per_s

    def in_force(self):
        """Returns whether any server has a limit."""
        return bool(self._limits)

    def note_limit(self, server_name, rate_per_s):
        """Records the limit in an answer to this instance.

        Args:
            server_name: Name of the server.
            rate_per_s: Requests per second that it takes from all instances together.
        """
        if self._set_limit(server_name, rate_per_s, self._slot_time(), own=True):
            self._on_change()

    def _set_limit(self, server_name, rate_per_s, named_at, own):
        """Records a limit; returns whether it is new or has changed."""
        now = self._clock.monotonic()
        self._ended.pop(server_name, None)
        known = self._limits.get(server_name)
        known_rate = known and known.slots.rate_per_s
        if known_rate == rate_per_s:
            known.named_at, known.heard_at, known.own = named_at, now, own
            return False
        slots = LimitSlots(
            server_name,
            rate_per_s,
            self._own_name,
            self._known_names,
            self._slot_time(),
        )
        self._limits[server_name] = _KnownLimit(slots, named_at, now, own)
        log_event(
            "limit_named",
            level="warning",
            backend_server=server_name,
            limit_per_s=rate_per_s,
            previous=known_rate,
            instances=len(self._known_names()),
            own=own,
        )
        return True

    def note_unlimited(self, server_name, sent_at):
        """Records an answer to this instance that names no limit.

        Answers may overtake each other. The limit ends only if the request was sent
        after the last answer that named it.

        Args:
            server_name: Name of the server.
            sent_at: Monotonic time at which the request was sent.
        """
        limit = self._limits.get(server_name)
        if limit is None or sent_at <= limit.heard_at:
            return
        age_s = self._clock.monotonic() - sent_at
        self._end_limit(server_name, self._slot_time() - age_s, own=True)
        self._on_change()

    def _end_limit(self, server_name, ended_at, own):
        limit = self._limits.pop(server_name)
        self._ended[server_name] = (ended_at, own)
        log_event(
            "limit_ended",
            backend_server=server_name,
            limit_per_s=limit.slots.rate_per_s,
            last_named_s=round(self._clock.monotonic() - limit.heard_at, 3),
            own=own,
        )

    def report(self):
        """Returns the `LimitNotice` of each server from answers to this instance.

        Each instance reports only what answers to itself have said, so that a notice
        ends some time after the last such answer.
        """
        if self._store_now() is None:
            return {}
        oldest = self._slot_time() - PUBLISH_S
        notices = [
            (limit.named_at, name, limit.slots.rate_per_s)
            for name, limit in self._limits.items()
            if limit.own and limit.named_at >= oldest
        ]
        notices += [
            (ended_at, name, None)
            for name, (ended_at, own) in self._ended.items()
            if own and ended_at >= oldest
        ]
        latest = sorted(notices, key=lambda notice: notice[0])[-MAX_REPORTED:]
        return {
            name: LimitNotice(round(noted_at, 3), rate_per_s)
            for noted_at, name, rate_per_s in latest
        }

    def merge(self, notices):
        """Applies what another instance reports, unless something newer is known.

        Args:
            notices: `LimitNotice` by server.
        """
        for name, notice in notices.items():
            if notice.noted_at <= self._noted_at(name):
                continue
            if notice.rate_per_s is not None:
                rate_per_s = notice.rate_per_s
                self._set_limit(name, rate_per_s, notice.noted_at, own=False)
            elif name in self._limits:
                self._end_limit(name, notice.noted_at, own=False)

    def _noted_at(self, name):
        """Returns the shared time of what is known of a server's limit."""
        noted_at, _ = self._ended.get(name, (-inf, False))
        if name in self._limits:
            noted_at = self._limits[name].named_at
        return noted_at if noted_at < self._slot_time() + MAX_SKEW_S else -inf

    def has_room(self, server_name):
        """Returns whether a server may get a request now."""
        limit = self._limits.get(server_name)
        return limit is None or limit.slots.has_room(self._slot_time())

    def wait_s(self, server_name):
        """Returns the seconds until a server may get a request; 0 if it may now."""
        limit = self._limits.get(server_name)
        return 0.0 if limit is None else limit.slots.wait_s(self._slot_time())

    def withdraw(self, server_name):
        """Returns whether a request may be sent to a server, and counts it if so."""
        limit = self._limits.get(server_name)
        if limit is None:
            return True
        if not limit.slots.take(self._slot_time()):
            return False
        log_event(
            "limit_slot_used",
            backend_server=server_name,
            limit_per_s=limit.slots.rate_per_s,
            available=round(limit.slots.available(), 2),
            named_s=round(self._clock.monotonic() - limit.heard_at, 3),
            instances=len(self._known_names()),
        )
        return True

    def sweep(self, is_listed):
        """Forgets the limits of servers that are gone, and limits that ended long ago.

        Args:
            is_listed: Function of a server's name that returns whether it is listed.
        """
        oldest = self._clock.monotonic() - RETENTION_S
        for name, limit in list(self._limits.items()):
            if limit.heard_at < oldest and not is_listed(name):
                del self._limits[name]
        oldest = self._slot_time() - RETENTION_S
        self._ended = {
            name: (ended_at, own)
            for name, (ended_at, own) in self._ended.items()
            if ended_at >= oldest
        }

    def _slot_time(self):
        """Returns the time that determines the slots, in seconds.

        An instance that doesn't know the shared time uses its own; its slots are then
        as many, but not apart from those of the others.
        """
        store_now = self._store_now()
        return self._clock.monotonic() if store_now is None else store_now
