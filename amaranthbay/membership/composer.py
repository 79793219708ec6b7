"""Builds datagrams: header, what the receiver needs, gossip, missing members."""

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
    encode_part,
)
from amaranthbay.peering.sealing import SEAL_BYTES

__all__ = ["Composer"]

# The lengths of the two lists may take two bytes more than in an empty datagram.
LIST_LENGTH_BYTES = 4


class Composer:
    """Fills datagrams within their size and the byte budget."""

    def __init__(self, view, rng, config_version):
        """Creates the composer.

        Args:
            view: `View`.
            rng: `random.Random`.
            config_version: Function that returns the version in force.
        """
        self._view = view
        self._rng = rng
        self._config_version = config_version
        self._introduced = {}
        self._known_by = {}
        self.budget = ByteBudget()

    def note_receiver(self, datagram):
        """Remembers what the sender of a datagram knows of this daemon."""
        self._introduced[datagram.sender] = datagram.introduced
        self._known_by[datagram.sender] = datagram.known

    def keep(self, instances):
        """Forgets all members but some."""
        kept = set(instances)
        for notes in (self._introduced, self._known_by):
            for instance in notes.keys() - kept:
                del notes[instance]

    def compose(self, kind, number, target, receiver, now):
        """Returns the payload of a datagram.

        Args:
            kind: `DatagramKind`.
            number: Number of the probe.
            target: Instance that is to answer or has answered.
            receiver: Instance that receives it.
            now: Monotonic time.
        """
        header = self._header(kind, number, target, receiver)
        room = MAX_DATAGRAM_BYTES - SEAL_BYTES - LIST_LENGTH_BYTES
        room -= len(encode(header))
        parts = self._needed_by(receiver)
        room -= sum(len(encode_part(part)) for part in parts)
        if self.budget.allows_urgent(now):
            ordinary = self.budget.allows_ordinary(now)
            members = len(self._view.roster)
            told, room = self._view.gossip.take(room, members, not ordinary)
            parts += told
            if ordinary:
                parts += self._missing_at(receiver, room)
        payload = encode(self._with_parts(header, parts))
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
            self._view.roster.known(),
            entry is not None and entry.detailed == entry.member.incarnation > 0,
        )

    def _needed_by(self, receiver):
        """Returns own details if the receiver lacks them, and what it must refute.

        A receiver that has said nothing yet usually has them from gossip.
        """
        parts = []
        if not self._introduced.get(receiver, True):
            parts.append(update_of(self._view.own))
        entry = self._view.roster.get(receiver)
        doubted = (MemberState.SUSPECTED, MemberState.DEAD)
        if entry is not None and entry.member.state in doubted:
            parts.append(update_of(entry.member, detailed=False))
        return parts

    def _missing_at(self, receiver, room):
        """Returns random members for a receiver that knows fewer."""
        roster = self._view.roster
        known = self._known_by.get(receiver)
        if known is None or known >= roster.known():
            return []
        live = [
            entry
            for entry in roster.in_states(MemberState.LIVE, MemberState.LEAVING)
            if entry.detailed and entry.member.instance != receiver
        ]
        self._rng.shuffle(live)
        parts = []
        for entry in live:
            update = update_of(entry.member)
            room -= len(encode_part(update))
            if room < 0:
                break
            parts.append(update)
        return parts

    @staticmethod
    def _with_parts(header, parts):
        updates = tuple(each for each in parts if isinstance(each, MemberUpdate))
        notices = tuple(each for each in parts if not isinstance(each, MemberUpdate))
        return msgspec.structs.replace(header, updates=updates, notices=notices)
