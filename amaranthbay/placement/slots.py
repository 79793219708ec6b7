"""Slot allocators: who may send a request to a backend server."""

from collections import Counter
from dataclasses import dataclass

from result import Err, Ok

from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.kernel.interfaces import SlotAllocator
from amaranthbay.kernel.registry import register

__all__ = ["IndependentAllocator", "SlotGrant"]


@dataclass(frozen=True)
class SlotGrant:
    """A slot held on a backend server."""

    instance: str
    attempt_id: str


@register("slot_allocator", "independent")
class IndependentAllocator(SlotAllocator):
    """Counts the daemon's own requests; knows nothing of other daemons."""

    def __init__(self, slots_of):
        """Creates the allocator.

        Args:
            slots_of: Function of a `BackendServer` that returns its slots.
        """
        self._slots_of = slots_of
        self._held = Counter()

    def acquire(self, server, attempt, interactive, tokens):
        if self._held[server.instance] >= self._slots_of(server):
            detail = f"backend server {server.instance} has no free slot"
            return Err(not_run(Reason.OVERLOADED, detail))
        self._held[server.instance] += 1
        return Ok(SlotGrant(server.instance, attempt.attempt_id))

    def release(self, grant):
        self._held[grant.instance] -= 1
