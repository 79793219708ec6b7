"""What this daemon holds true about itself and the others, and who is told."""

from dataclasses import replace

import msgspec

from amaranthbay.membership.events import Changed, Died, Reincarnated
from amaranthbay.membership.gossip import GossipQueue
from amaranthbay.membership.roster import Roster, update_of
from amaranthbay.membership.types import Member, MemberState
from amaranthbay.membership.wire import MemberUpdate, WireState

__all__ = ["View"]

# A dead member that the list no longer names is forgotten after this time; its
# last updates have stopped circulating by then.
FORGET_S = 600.0
MAX_DIED = 4096
# A clock may be wrong by this much. What lies further ahead is a defect that must
# not raise incarnations without bound.
MAX_AHEAD_MS = 366 * 86_400_000
MAX_REVISION = 2**31


class View:
    """Own member and the roster; queues for gossip whatever changes.

    Every method returns the list of actions that follow from the change.
    """

    def __init__(self, own, wall_ms):
        """Creates the view.

        Args:
            own: This daemon's `Member`.
            wall_ms: Function that returns the wall-clock time in milliseconds.
        """
        self.own = own
        self.roster = Roster()
        self.gossip = GossipQueue()
        self.listed = {}
        self.listed_at = float("-inf")
        self._wall_ms = wall_ms
        self._died = {}
        self._tell_own()

    def apply(self, update, reason, now):
        """Applies what is said about a member."""
        if not self.is_plausible(update.incarnation, update.revision):
            return []
        if update.instance == self.own.instance:
            return self._apply_to_self(update)
        change = self.roster.apply(update, now)
        if change is None:
            return []
        before, after = change
        self._tell(after)
        actions = [Changed(after, before.state if before else None, reason)]
        if before and before.incarnation < after.incarnation:
            actions += self._died_once(before, "higher incarnation")
        if after.state is MemberState.DEAD:
            actions += self._died_once(after, reason)
        return actions + self._bury_at_address(after, now)

    def is_plausible(self, incarnation, revision):
        """Returns whether a process can have these numbers."""
        latest = self._wall_ms() + MAX_AHEAD_MS
        return incarnation <= latest and revision <= MAX_REVISION

    def apply_told(self, update, teller, now):
        """Applies what another member says; tells less often what is known."""
        actions = self.apply(update, f"told by {teller}", now)
        entry = self.roster.get(update.instance)
        if not actions and entry is not None:
            known = update_of(entry.member, detailed=False)
            if known == msgspec.structs.replace(update, details=None):
                self.gossip.note_heard(update.instance)
        return actions

    def suspect(self, instance, now):
        """Suspects a member that did not answer."""
        return self._restate(instance, WireState.SUSPECTED, "no answer", now)

    def prove_dead(self, instance, proof, now):
        """Holds the present incarnation of a member for dead."""
        return self._restate(instance, WireState.DEAD, proof, now)

    def leave(self):
        """Begins to leave."""
        if self.own.state is MemberState.LIVE:
            revision = self.own.revision + 1
            state = MemberState.LEAVING
            self.own = replace(self.own, revision=revision, state=state)
            self._tell_own()

    def apply_list(self, instances, now):
        """Enters the daemons of the instance list and forgets old entries."""
        entries = [each for each in instances if each.kind == "entry"]
        self.listed = {each.instance: each for each in entries}
        self.listed_at = now
        actions = []
        for each in entries:
            if each.instance != self.own.instance:
                actions += self._apply_listed(each, now)
        for entry in list(self.roster):
            if entry.member.instance not in self.listed:
                self._forget_if_old(entry, now)
        return actions

    def has_left_list(self, entry):
        """Returns whether a list newer than a suspicion omits the member."""
        missing = entry.member.instance not in self.listed
        return missing and self.listed_at > entry.suspected_at

    def _restate(self, instance, state, reason, now):
        member = self.roster.get(instance).member
        update = MemberUpdate(instance, member.incarnation, member.revision, state)
        return self.apply(update, reason, now)

    def _apply_to_self(self, update):
        """Refutes a suspicion; takes a new incarnation if held for dead."""
        own = self.own
        if update.incarnation < own.incarnation:
            return []
        is_dead = update.state is WireState.DEAD
        exhausted = max(own.revision, update.revision) >= MAX_REVISION
        if update.incarnation > own.incarnation or is_dead or exhausted:
            new = max(update.incarnation + 1, self._wall_ms())
            self.own = replace(own, incarnation=new, revision=0)
            self._tell_own()
            return [Reincarnated(own.incarnation, new)]
        suspected = update.state is WireState.SUSPECTED
        if suspected and update.revision >= own.revision:
            self.own = replace(own, revision=update.revision + 1)
            self._tell_own()
        return []

    def _apply_listed(self, listed, now):
        entry = self.roster.get(listed.instance)
        state = MemberState.LIVE if listed.state == "live" else MemberState.LEAVING
        if entry is None or entry.member.incarnation == 0:
            return self._enter_listed(entry, listed, state)
        if state is MemberState.LEAVING:
            return self._restate(
                listed.instance, WireState.LEAVING, "instance list", now
            )
        return []

    def _enter_listed(self, entry, listed, state):
        member = Member(
            listed.instance,
            listed.availability_zone,
            listed.region,
            listed.address,
            listed.membership_address,
            listed.peer_address,
            state=state,
        )
        if entry is None:
            self.roster.add(member)
            return [Changed(member, None, "instance list")]
        if entry.member.state in (MemberState.SUSPECTED, MemberState.DEAD):
            member = replace(member, state=entry.member.state)
        entry.member = member
        return []

    def _forget_if_old(self, entry, now):
        member = entry.member
        dead = member.state is MemberState.DEAD and now - entry.dead_at > FORGET_S
        if dead or member.incarnation == 0:
            self.roster.remove(member.instance)

    def _bury_at_address(self, member, now):
        """Proves members dead whose address a newer process has."""
        if member.state not in (MemberState.LIVE, MemberState.LEAVING):
            return []
        actions = []
        for entry in self.roster.at_address(member.membership_address, member.instance):
            older = entry.member.incarnation < member.incarnation
            if older and entry.member.state is not MemberState.DEAD:
                proof = "another instance at its address"
                actions += self.prove_dead(entry.member.instance, proof, now)
        return actions

    def _died_once(self, member, proof):
        """Reports a death, unless it was reported or never lived."""
        if member.incarnation <= self._died.get(member.instance, 0):
            return []
        if len(self._died) >= MAX_DIED:
            del self._died[next(iter(self._died))]
        self._died.pop(member.instance, None)
        self._died[member.instance] = member.incarnation
        return [Died(member, proof)]

    def _tell(self, member):
        entry = self.roster.get(member.instance)
        detailed = entry.detailed == member.incarnation > 0
        brief = member.state in (MemberState.SUSPECTED, MemberState.DEAD)
        update = update_of(member, detailed and not brief)
        joined = member.state is MemberState.LIVE and member.revision == 0
        self.gossip.put(member.instance, update, urgent=not joined)

    def _tell_own(self):
        self.gossip.put(self.own.instance, update_of(self.own))
