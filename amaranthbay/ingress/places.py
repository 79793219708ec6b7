"""The account of connections: which of them have a place."""

from abc import ABC, abstractmethod
from collections import Counter

from amaranthbay.ingress.shortage import Holder, choose_for_place
from amaranthbay.kernel.clock import SystemClock

__all__ = ["PlaceAccount", "PlaceHolder", "Succession"]

# Share of the places that are freed at once, so that a flood of connections doesn't
# cost a choice among all for each of them.
BATCH_SHARE = 1 / 16
# Share of the places that a single address can't take.
OTHERS_SHARE = 1 / 16
# Time for which an address that was refused is expected to come back.
REFUSED_S = 5.0
# Time for which no connection is looked for again that could be dropped.
BUSY_S = 0.02
# A wait for a request that is longer shows that the caller pauses between requests.
PAUSE_S = 0.001
# Requests without a pause from which a connection may lose its place although the next
# one has arrived. Most callers send one request at a time.
ENDLESS_REQUESTS = 16


class Succession:
    """Requests of one connection that follow each other without a pause."""

    def __init__(self):
        self._count = 0

    @property
    def is_endless(self):
        """Whether there have been so many that the next one is always there."""
        return self._count >= ENDLESS_REQUESTS

    def note(self, waited_s):
        """Records the arrival of a request, and for how long it was waited for."""
        self._count = 0 if waited_s > PAUSE_S else self._count + 1


class PlaceHolder(ABC):
    """A connection that has a place.

    Attributes:
        address: Address of the peer.
        reads_response: Whether the peer reads a response.
    """

    address = ""
    reads_response = False

    @abstractmethod
    def wait_s(self, now):
        """Returns the seconds until it is expected to be done; None if it is busy.

        Called for each connection in a choice, so it must not make system calls.
        """

    def has_input(self):
        """Returns whether it must not be dropped, as a request has arrived."""
        return False

    @abstractmethod
    def drop(self):
        """Ends the connection soon, without waiting."""


class PlaceAccount:
    """Places for connections; the slowest connection loses its own to a new one.

    Attributes:
        total: Number of places.
    """

    def __init__(self, total, clock=None):
        self.total = total
        self._clock = clock or SystemClock()
        self._addresses = {}
        self._counts = Counter()
        self._busy_until = 0.0
        # At most one address has so many places that it must drop its own.
        self._busy_address, self._busy_address_until = None, 0.0
        self._refused_address, self._refused_at = None, 0.0

    def __len__(self):
        return len(self._addresses)

    def enter(self, holder):
        """Gives a place to a new `PlaceHolder`.

        Returns:
            Whether there is one; if not, all others are busy.
        """
        now, address = self._clock.monotonic(), holder.address
        if len(self._addresses) >= self.total:
            most = max(1, int(BATCH_SHARE * self.total))
            has_room = now >= self._busy_until and self._make_room(
                self._addresses, now, most
            )
            if not has_room:
                self._busy_until = max(self._busy_until, now + BUSY_S)
                self._refused_address, self._refused_at = address, now
        else:
            has_room = not self._has_too_many(address, now) or self._replace_own(
                address, now
            )
        if not has_room:
            return False
        self._addresses[holder] = address
        self._counts[address] += 1
        return True

    def _has_too_many(self, address, now):
        """Returns whether the last places are for other addresses, which want some."""
        if self._counts[address] < self.total - int(OTHERS_SHARE * self.total):
            return False
        if len(self._counts) > 1:
            return True
        is_refused = now - self._refused_at < REFUSED_S
        return is_refused and self._refused_address != address

    def _replace_own(self, address, now):
        """Drops the slowest holder of an address; returns whether one was dropped."""
        if self._busy_address == address and now < self._busy_address_until:
            return False
        own = [each for each, where in self._addresses.items() if where == address]
        has_room = self._make_room(own, now, 1)
        if not has_room:
            self._busy_address, self._busy_address_until = address, now + BUSY_S
        return has_room

    def _make_room(self, candidates, now, most):
        """Drops the slowest of some holders; returns whether any could be dropped."""
        holders = [
            Holder(each, 0, wait_s, each.reads_response, self._counts[each.address])
            for each in candidates
            if (wait_s := each.wait_s(now)) is not None
        ]
        chosen = choose_for_place(holders, most, lambda owner: owner.has_input())
        for holder in chosen:
            self.leave(holder.owner)
            holder.owner.drop()
        return bool(chosen)

    def leave(self, holder):
        """Takes the place of a holder away; may be called again."""
        address = self._addresses.pop(holder, None)
        if address is not None:
            self._counts[address] -= 1
            if not self._counts[address]:
                del self._counts[address]
