"""Slot allocators, which bound the requests that daemons send to a backend server."""

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

RETRY_INTERVAL_S = 0.05
RETRY_AFTER = timedelta(seconds=0.5)


@dataclass(frozen=True)
class SlotGrant:
    """A slot that an attempt holds on a backend server."""

    instance: str
    attempt_id: str


@dataclass(frozen=True)
class AllocatorContext:
    """Dependencies of slot allocators.

    Attributes:
        slots_of: Function that takes a `BackendServer` and returns the number of its
            slots.
        clock: `Clock` for waits and for the age of grants.
        reported_active: Function that takes an instance and returns the requests that
            run or wait on it by its newest load report.
        daemon_count: Function that returns the number of daemons.
        membership: `Membership`, or None if the allocator needs none.
        channel: `PeerChannel`, or None if the allocator needs none.
    """

    slots_of: object
    clock: object
    reported_active: object = lambda instance: 0
    daemon_count: object = lambda: 1
    membership: object = None
    channel: object = None


class WaitingAllocator(SlotAllocator):
    """Base of allocators in which patient attempts wait for a slot without a timeout.

    An interactive attempt is refused at once if no slot is free.
    """

    def __init__(self, ctx):
        self.ctx = ctx
        self._rng = random.Random()

    def acquire(self, server, attempt, interactive, tokens):
        while not self.try_acquire(server, attempt, interactive):
            if interactive:
                detail = f"backend server {server.instance} has no free slot"
                return Err(not_run(Reason.OVERLOADED, detail, 503, RETRY_AFTER))
            self.ctx.clock.sleep(
                self._rng.uniform(RETRY_INTERVAL_S, 2 * RETRY_INTERVAL_S)
            )
        return Ok(SlotGrant(server.instance, attempt.attempt_id))

    @abstractmethod
    def try_acquire(self, server, attempt, interactive):
        """Takes a slot of the server if one is free; returns whether it did."""


@register("slot_allocator", "independent")
class IndependentAllocator(WaitingAllocator):
    """Bounds this daemon's requests only, without regard to other daemons."""

    def __init__(self, ctx):
        super().__init__(ctx)
        self._held_counts = Counter()

    def limit(self, server):
        """Returns the number of slots of a server that this daemon may hold."""
        return self.ctx.slots_of(server)

    def try_acquire(self, server, attempt, interactive):
        if self._held_counts[server.instance] >= self.limit(server):
            return False
        self._held_counts[server.instance] += 1
        return True

    def release(self, grant):
        self._held_counts[grant.instance] -= 1


@register("slot_allocator", "static_share")
class StaticShareAllocator(IndependentAllocator):
    """Gives each daemon an equal share of the slots, rounded up."""

    def limit(self, server):
        return -(-self.ctx.slots_of(server) // max(1, self.ctx.daemon_count()))
