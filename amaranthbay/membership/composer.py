"""Builds datagrams: header, items that the receiver needs, gossip, missing members."""

import msgspec

from amaranthbay.membership.gossip import ByteBudget
from amaranthbay.membership.roster import update_of
from amaranthbay.membership.types import MemberState
from amaranthbay.membership.wire import (
    MAX_DATAGRAM_BYTES,
    Datagram,
    MemberUpdate,
    WireState,
    datagram_bytes,
    encode,
    encode_item,
)
from amaranthbay.peering.sealing import SEAL_BYTES

__all__ = ["Composer"]

# Each of the two list lengths may take two bytes more than in an empty datagram.
LIST_PREFIX_BYTES = 4


class Composer:
    """Builds datagrams within the size limit and the byte budget."""

    def __init__(self, view, rng, config_version):
        """Creates the composer.

        Args:
            view: `View` of the members, with the gossip queue.
            rng: `random.Random` that selects among missing members.
            config_version: Function that returns the configuration version in force.
        """
        self._view = view
        self._rng = rng
        self._config_version = config_version
        self._peer_has_own_details = {}
        self._peer_member_counts = {}
        self.budget = ByteBudget()

    def record_sender_knowledge(self, datagram):
        """Records what the sender of a datagram knows about the members."""
        self._peer_has_own_details[datagram.sender] = datagram.introduced
        self._peer_member_counts[datagram.sender] = datagram.known

    def retain(self, instances):
        """Forgets the peers that are not in ``instances``."""
        retained = set(instances)
        for by_peer in (self._peer_has_own_details, self._peer_member_counts):
            for instance in by_peer.keys() - retained:
                del by_peer[instance]

    def compose(self, kind, number, target, receiver, now):
        """Returns the payload of a datagram and charges it to the byte budget.

        Args:
            kind: `DatagramKind`.
            number: Probe number.
            target: Instance that is to answer or has answered.
            receiver: Instance that receives the datagram.
            now: Monotonic time in seconds.
        """
        header = self._header(kind, number, target, receiver)
        free_bytes = MAX_DATAGRAM_BYTES - SEAL_BYTES - LIST_PREFIX_BYTES
        free_bytes -= len(encode(header))
        items = self._required_items(receiver)
        free_bytes -= sum(len(encode_item(item)) for item in items)
        if self.budget.allows_urgent(now):
            allows_ordinary = self.budget.allows_ordinary(now)
            member_count = len(self._view.roster)
            gossip_items, free_bytes = self._view.gossip.take(
                free_bytes, member_count, not allows_ordinary
            )
            items += gossip_items
            if allows_ordinary:
                items += self._members_missing_at(receiver, free_bytes)
        payload = encode(self._with_items(header, items))
        self.budget.spend(datagram_bytes(len(payload)), now)
        return payload

    def _header(self, kind, number, target, receiver):
        own = self._view.own
        entry = self._view.roster.get(receiver)
        return Datagram(
            kind,
            own.instance,
            own.incarnation,
            own.revision,
            WireState[own.state.name],
            number,
            target,
            self._config_version(),
            self._view.roster.count_not_dead(),
            entry is not None
            and entry.details_incarnation == entry.member.incarnation > 0,
        )

    def _required_items(self, receiver):
        """Returns the updates that the receiver can't do without.

        These are this daemon's details if the receiver lacks them, and a suspicion
        or death of the receiver, so that it can refute it. A receiver that has sent
        nothing yet is assumed to have the details from gossip.
        """
        items = []
        if not self._peer_has_own_details.get(receiver, True):
            items.append(update_of(self._view.own))
        entry = self._view.roster.get(receiver)
        refutable_states = (MemberState.SUSPECTED, MemberState.DEAD)
        if entry is not None and entry.member.state in refutable_states:
            items.append(update_of(entry.member, with_details=False))
        return items

    def _members_missing_at(self, receiver, free_bytes):
        """Returns random members if the receiver knows fewer than this daemon."""
        roster = self._view.roster
        receiver_member_count = self._peer_member_counts.get(receiver)
        if (
            receiver_member_count is None
            or receiver_member_count >= roster.count_not_dead()
        ):
            return []
        candidates = [
            entry
            for entry in roster.in_states(MemberState.LIVE, MemberState.LEAVING)
            if entry.details_incarnation and entry.member.instance != receiver
        ]
        self._rng.shuffle(candidates)
        items = []
        for entry in candidates:
            update = update_of(entry.member)
            free_bytes -= len(encode_item(update))
            if free_bytes < 0:
                break
            items.append(update)
        return items

    @staticmethod
    def _with_items(header, items):
        updates = tuple(item for item in items if isinstance(item, MemberUpdate))
        notices = tuple(item for item in items if not isinstance(item, MemberUpdate))
        return msgspec.structs.replace(header, updates=updates, notices=notices)
