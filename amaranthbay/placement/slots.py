"""Slot allocators: who may send a request to a backend server."""

import random
from abc import abstractmethod
from collections import Counter
from dataclasses import dataclass
from datetime import timedelta

from result import Err, Ok

from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.kernel.interfaces import SlotAllocator
from amaranthbay.kernel.registry import register

__all__ = [
    "AllocatorContext",
    "IndependentAllocator",
    "SlotGrant",
    "StaticShareAllocator",
    "WaitingAllocator",
]

RETRY_S = 0.05
RETRY_AFTER = timedelta(seconds=0.5)


@dataclass(frozen=True)
class SlotGrant:
    """A slot held on a backend server."""

    instance: str
    attempt_id: str


@dataclass(frozen=True)
class AllocatorContext:
    """What slot allocators are made of.

    Attributes:
        slots_of: Function of a `BackendServer` that returns its slots.
        clock: `Clock`.
        reported_active: Function of an instance that returns the requests it
            runs by its newest report.
        daemons: Function that returns the number of daemons.
        membership: `Membership`; None where there is none.
        channel: `PeerChannel`; None where there is none.
    """

    slots_of: object
    clock: object
    reported_active: object = lambda instance: 0
    daemons: object = lambda: 1
    membership: object = None
    channel: object = None


class WaitingAllocator(SlotAllocator):
    """Lets patient attempts wait for a slot, however long."""

    def __init__(self, ctx):
        self.ctx = ctx
        self._rng = random.Random()

    def acquire(self, server, attempt, interactive, tokens):
        while not self.take(server, attempt, interactive):
            if interactive:
                detail = f"backend server {server.instance} has no free slot"
                return Err(not_run(Reason.OVERLOADED, detail, 503, RETRY_AFTER))
            self.ctx.clock.sleep(self._rng.uniform(RETRY_S, 2 * RETRY_S))
        return Ok(SlotGrant(server.instance, attempt.attempt_id))

    @abstractmethod
    def take(self, server, attempt, interactive):
        """Returns whether the attempt now holds a slot of the server."""


@register("slot_allocator", "independent")
class IndependentAllocator(WaitingAllocator):
    """Counts the daemon's own requests; knows nothing of other daemons."""

    def __init__(self, ctx):
        super().__init__(ctx)
        self._held = Counter()

    def limit(self, server):
        """Returns how many slots of a server this daemon may hold."""
        return self.ctx.slots_of(server)

    def take(self, server, attempt, interactive):
        if self._held[server.instance] >= self.limit(server):
            return False
        self._held[server.instance] += 1
        return True

    def release(self, grant):
        self._held[grant.instance] -= 1


@register("slot_allocator", "static_share")
class StaticShareAllocator(IndependentAllocator):
    """Gives each daemon an equal part of the slots, rounded up."""

    def limit(self, server):
        return -(-self.ctx.slots_of(server) // max(1, self.ctx.daemons()))
