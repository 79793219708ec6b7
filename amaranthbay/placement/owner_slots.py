"""Slot allocator in which one daemon, the owner, grants the slots of a server.

The owner of a backend server is the live daemon that rendezvous hashing assigns to
it.
"""

from collections import defaultdict
from dataclasses import dataclass

from amaranthbay.kernel.registry import register
from amaranthbay.observe import log_event
from amaranthbay.placement.slot_ledger import SlotLedger
from amaranthbay.placement.slots import AllocatorContext, WaitingAllocator
from amaranthbay.utils.rendezvous import rendezvous_order

__all__ = [
    "OwnerAllocator",
    "SlotAnswer",
    "SlotAsk",
    "SlotHold",
    "SlotRelease",
    "owner_of",
]

# Shorter than a prefill, so that asking doesn't cost more than it saves.
ASK_TIMEOUT_S = 0.05
RENEW_INTERVAL_S = 2.0


@register("peer_message", "slot_ask")
@dataclass(frozen=True)
class SlotAsk:
    """Asks the owner of a server for a slot.

    Attributes:
        instance: The backend server.
        attempt_id: Attempt that needs the slot.
        interactive: Whether the request is interactive.
        slots: Slots of the server, as the sender knows them.
    """

    instance: str
    attempt_id: str
    interactive: bool
    slots: int


@register("peer_message", "slot_answer")
@dataclass(frozen=True)
class SlotAnswer:
    """Says whether a slot is granted; the reply to a `SlotAsk`."""

    granted: bool


@register("peer_message", "slot_release")
@dataclass(frozen=True)
class SlotRelease:
    """Tells the owner of a server that an attempt's slot is free."""

    instance: str
    attempt_id: str


@register("peer_message", "slot_hold")
@dataclass(frozen=True)
class SlotHold:
    """Tells the owner of a server all attempts for which the sender holds a slot."""

    instance: str
    attempt_ids: tuple[str, ...]


def owner_of(instance, members):
    """Returns the instance of the daemon that owns a server, or None."""
    order = rendezvous_order(instance, (member.instance for member in members))
    return order[0] if order else None


@register("slot_allocator", "owner")
class OwnerAllocator(WaitingAllocator):
    """Asks the owner for each slot, and decides locally if it doesn't answer in time.

    Attributes:
        ledger: `SlotLedger` of the servers that this daemon owns.
    """

    def __init__(self, ctx: AllocatorContext):
        super().__init__(ctx)
        self._held_attempts = defaultdict(set)
        self.ledger = SlotLedger(ctx.reported_active, ctx.clock)
        handlers = (
            (SlotAsk, self._on_ask),
            (SlotRelease, self._on_release),
            (SlotHold, self._on_hold),
        )
        for message_type, handler in handlers:
            ctx.channel.register_handler(message_type, handler)
        ctx.membership.on_death(self._on_death)

    def _owner(self, instance):
        return owner_of(instance, self.ctx.membership.live())

    def _is_self(self, owner):
        return owner == self.ctx.membership.own().instance

    def try_acquire(self, server, attempt, interactive):
        instance = server.instance
        # Creates the entry first: even if the caller leaves while the owner is asked,
        # the next renewal covers the server and the owner drops an unused grant.
        held = self._held_attempts[instance]
        slots = self.ctx.slots_of(server)
        message = SlotAsk(instance, attempt.attempt_id, interactive, slots)
        granted = self._ask_owner(message)
        if granted is None:
            granted = self._decide_locally(instance, slots)
        if granted:
            # A renewal may have removed the empty entry while the owner was asked.
            held.add(attempt.attempt_id)
            self._held_attempts[instance] = held
        return granted

    def _ask_owner(self, message):
        """Returns whether the owner grants the slot, or None if it doesn't answer."""
        owner = self._owner(message.instance)
        if owner is None:
            return None
        if self._is_self(owner):
            return self._on_ask(owner, message).granted
        answer = self.ctx.channel.ask(owner, message, ASK_TIMEOUT_S)
        if answer is None:
            log_event("slot_owner_silent", owner=owner, backend_server=message.instance)
            return None
        return answer.granted

    def _decide_locally(self, instance, slots):
        """Returns whether a slot is free by own grants and the newest load report."""
        reported = self.ctx.reported_active(instance)
        return max(len(self._held_attempts[instance]), reported) < slots

    def release(self, grant):
        self._held_attempts[grant.instance].discard(grant.attempt_id)
        owner = self._owner(grant.instance)
        if owner is None:
            return
        if self._is_self(owner):
            self.ledger.release(grant.instance, grant.attempt_id)
            return
        self.ctx.channel.send(owner, SlotRelease(grant.instance, grant.attempt_id))

    def renew(self):
        """Tells the present owner of each server which slots this daemon holds."""
        for instance, held in list(self._held_attempts.items()):
            owner = self._owner(instance)
            if owner is None:
                continue
            attempts = tuple(sorted(held))
            if self._is_self(owner):
                self.ledger.replace_grants(instance, attempts, owner)
                continue
            self.ledger.forget(instance)
            self.ctx.channel.send(owner, SlotHold(instance, attempts))
            if not held:
                del self._held_attempts[instance]

    def run(self):
        """Renews the grants every `RENEW_INTERVAL_S` seconds until killed."""
        while True:
            self.ctx.clock.sleep(RENEW_INTERVAL_S)
            self.renew()

    def _on_ask(self, sender, message):
        granted = self.ledger.grant(
            message.instance,
            message.attempt_id,
            sender,
            message.interactive,
            message.slots,
        )
        return SlotAnswer(granted)

    def _on_release(self, sender, message):
        self.ledger.release(message.instance, message.attempt_id)

    def _on_hold(self, sender, message):
        self.ledger.replace_grants(message.instance, message.attempt_ids, sender)

    def _on_death(self, member):
        self.ledger.release_all(member.instance)
