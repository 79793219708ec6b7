"""Table of the other members and the rules for updating it."""

from dataclasses import dataclass, replace

from amaranthbay.membership.types import Member, MemberState
from amaranthbay.membership.wire import MemberDetails, MemberUpdate, WireState

__all__ = ["Roster", "RosterEntry", "details_of", "supersedes", "update_of"]

_WIRE_STATES = {state: WireState[state.name] for state in MemberState}


@dataclass
class RosterEntry:
    """A member and what this daemon observed of it.

    Times are monotonic, in seconds.

    Attributes:
        member: The member.
        details_incarnation: Incarnation that the member's addresses and zone belong
            to; 0 if they come from the instance list.
        suspected_at: Time at which this daemon learnt that the member is suspected.
        answered_at: Time of the member's last answer to this daemon.
        dead_at: Time at which this daemon learnt that the member is dead.
    """

    member: Member
    details_incarnation: int = 0
    suspected_at: float = 0.0
    answered_at: float = float("-inf")
    dead_at: float = 0.0


def supersedes(update, member):
    """Returns whether an update is newer than the known state of a member.

    A higher incarnation supersedes a lower one. The death of an incarnation is
    final. Otherwise the higher revision wins, then the state of higher precedence
    in `WireState`.
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
    """Returns the `MemberDetails` of a member."""
    return MemberDetails(
        member.availability_zone,
        member.region,
        member.address,
        member.membership_address,
        member.peer_address,
    )


def update_of(member, with_details=True):
    """Returns the `MemberUpdate` that reports a member's state to others."""
    return MemberUpdate(
        member.instance,
        member.incarnation,
        member.revision,
        _WIRE_STATES[member.state],
        details_of(member) if with_details else None,
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
        """Returns the `RosterEntry` of an instance, or None if it is unknown."""
        return self._entries.get(instance)

    def add(self, member):
        """Adds a member that is known from the instance list only."""
        self._entries[member.instance] = RosterEntry(member)

    def remove(self, instance):
        """Removes a member, if it is known."""
        self._entries.pop(instance, None)

    def in_states(self, *states):
        """Returns the entries whose member is in one of the given states."""
        return [entry for entry in self if entry.member.state in states]

    def count_not_dead(self):
        """Returns the number of members that are not dead."""
        return sum(entry.member.state is not MemberState.DEAD for entry in self)

    def others_at_address(self, membership_address, instance):
        """Returns the entries of other instances with the same UDP address."""
        return [
            entry
            for entry in self
            if entry.member.membership_address == membership_address
            and entry.member.instance != instance
        ]

    def apply(self, update, now):
        """Applies an update if it is newer than the known state.

        An update without details does not add an unknown member.

        Returns:
            The member before and after the update, or None if nothing changed. The
            member before is None if it was unknown.
        """
        entry = self._entries.get(update.instance)
        if entry is None:
            return self._add_from_update(update, now)
        self._update_details(entry, update)
        if not supersedes(update, entry.member):
            return None
        before = entry.member
        entry.member = replace(
            before,
            incarnation=update.incarnation,
            revision=update.revision,
            state=MemberState[update.state.name],
        )
        self._record_state_time(entry, now)
        return before, entry.member

    def _add_from_update(self, update, now):
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
        entry = RosterEntry(member, update.incarnation)
        self._entries[update.instance] = entry
        self._record_state_time(entry, now)
        return None, member

    def _update_details(self, entry, update):
        """Replaces a member's details by those of a newer incarnation."""
        if update.details is None or update.incarnation <= entry.details_incarnation:
            return
        if update.incarnation < entry.member.incarnation:
            return
        details = update.details
        entry.details_incarnation = update.incarnation
        entry.member = replace(
            entry.member,
            availability_zone=details.availability_zone,
            region=details.region,
            address=details.address,
            membership_address=details.membership_address,
            peer_address=details.peer_address,
        )

    def _record_state_time(self, entry, now):
        if entry.member.state is MemberState.SUSPECTED:
            entry.suspected_at = now
        if entry.member.state is MemberState.DEAD:
            entry.dead_at = now

    def discount_pause(self, seconds):
        """Excludes a pause of this process from the members' silence.

        Args:
            seconds: Length of the pause, in which nothing could be received.
        """
        for entry in self:
            entry.suspected_at += seconds
            entry.answered_at += seconds
