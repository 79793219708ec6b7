"""Table of the other members and the rules by which it changes."""

from dataclasses import dataclass, replace

from amaranthbay.membership.types import Member, MemberState
from amaranthbay.membership.wire import MemberDetails, MemberUpdate, WireState

__all__ = ["Entry", "Roster", "details_of", "supersedes", "update_of"]

_WIRE_STATES = {state: WireState[state.name] for state in MemberState}


@dataclass
class Entry:
    """A member and what this daemon observed of it.

    Attributes:
        member: The member.
        detailed: Incarnation that the details belong to; 0 if from the list.
        suspected_at: Monotonic time at which this daemon learnt the suspicion.
        answered_at: Monotonic time of its last answer to this daemon.
        dead_at: Monotonic time at which this daemon learnt its death.
    """

    member: Member
    detailed: int = 0
    suspected_at: float = 0.0
    answered_at: float = float("-inf")
    dead_at: float = 0.0


def supersedes(update, member):
    """Returns whether an update is newer than what is known of a member.

    A higher incarnation is another process. Death of an incarnation is final.
    Otherwise the process's own revision decides, then the worse state.
    """
    if update.incarnation != member.incarnation:
        return update.incarnation > member.incarnation
    if member.state is MemberState.DEAD:
        return False
    if update.state is WireState.DEAD:
        return True
    if update.revision != member.revision:
        return update.revision > member.revision
    return update.state > _WIRE_STATES[member.state]


def details_of(member):
    """Returns a member's details for the wire."""
    return MemberDetails(
        member.availability_zone,
        member.region,
        member.address,
        member.membership_address,
        member.peer_address,
    )


def update_of(member, detailed=True):
    """Returns the update that tells others what is known of a member."""
    return MemberUpdate(
        member.instance,
        member.incarnation,
        member.revision,
        _WIRE_STATES[member.state],
        details_of(member) if detailed else None,
    )


class Roster:
    """The other members, by instance."""

    def __init__(self):
        self._entries = {}

    def __len__(self):
        return len(self._entries)

    def __iter__(self):
        return iter(self._entries.values())

    def get(self, instance):
        """Returns an `Entry` or None."""
        return self._entries.get(instance)

    def add(self, member):
        """Enters a member that only the instance list has named."""
        self._entries[member.instance] = Entry(member)

    def remove(self, instance):
        """Forgets a member."""
        self._entries.pop(instance, None)

    def in_states(self, *states):
        """Returns the entries whose member is in one of some states."""
        return [each for each in self if each.member.state in states]

    def known(self):
        """Returns how many members are not dead."""
        return sum(each.member.state is not MemberState.DEAD for each in self)

    def at_address(self, membership_address, instance):
        """Returns the entries of other instances with the same UDP address."""
        return [
            each
            for each in self
            if each.member.membership_address == membership_address
            and each.member.instance != instance
        ]

    def apply(self, update, now):
        """Applies an update if it is newer.

        Returns:
            The member before and after; None if nothing changed. The member
            before is None if it was not known. An unknown member without details
            can't be entered.
        """
        entry = self._entries.get(update.instance)
        if entry is None:
            return self._enter(update, now)
        self._complete(entry, update)
        if not supersedes(update, entry.member):
            return None
        before = entry.member
        entry.member = replace(
            before,
            incarnation=update.incarnation,
            revision=update.revision,
            state=MemberState[update.state.name],
        )
        self._note_time(entry, now)
        return before, entry.member

    def _enter(self, update, now):
        if update.details is None:
            return None
        details = update.details
        member = Member(
            update.instance,
            details.availability_zone,
            details.region,
            details.address,
            details.membership_address,
            details.peer_address,
            update.incarnation,
            update.revision,
            MemberState[update.state.name],
        )
        entry = Entry(member, update.incarnation)
        self._entries[update.instance] = entry
        self._note_time(entry, now)
        return None, member

    def _complete(self, entry, update):
        """Takes the details of a newer incarnation."""
        if update.details is None or update.incarnation <= entry.detailed:
            return
        if update.incarnation < entry.member.incarnation:
            return
        details = update.details
        entry.detailed = update.incarnation
        entry.member = replace(
            entry.member,
            availability_zone=details.availability_zone,
            region=details.region,
            address=details.address,
            membership_address=details.membership_address,
            peer_address=details.peer_address,
        )

    def _note_time(self, entry, now):
        if entry.member.state is MemberState.SUSPECTED:
            entry.suspected_at = now
        if entry.member.state is MemberState.DEAD:
            entry.dead_at = now

    def shift(self, seconds):
        """Discounts a time in which this process could not hear anything."""
        for entry in self:
            entry.suspected_at += seconds
            entry.answered_at += seconds
