"""This daemon's view of itself and the other members, and the updates to gossip."""

from dataclasses import replace

import msgspec

from amaranthbay.membership.events import MemberChanged, MemberDied, Reincarnated
from amaranthbay.membership.gossip import GossipQueue
from amaranthbay.membership.roster import Roster, update_of
from amaranthbay.membership.types import Member, MemberState
from amaranthbay.membership.wire import MemberUpdate, WireState

__all__ = ["View"]

# Time after which a dead member that is not on the instance list is forgotten. Its
# last updates have stopped circulating by then.
FORGET_DEAD_AFTER_S = 600.0
# Bounds the memory of the deaths that have been reported.
MAX_REPORTED_DEATHS = 4096
# Tolerated clock error. An incarnation further in the future comes from a defect and
# is ignored, so that it can't raise incarnations without bound.
MAX_CLOCK_ERROR_MS = 366 * 86_400_000
MAX_REVISION = 2**31


class View:
    """This daemon's own member and the roster; queues every change for gossip.

    Methods that change the state of another member return the resulting actions.

    Attributes:
        own: This daemon's `Member`.
        roster: `Roster` of the other members.
        gossip: `GossipQueue` of the updates to send.
        listed_daemons: Daemons of the last instance list, by instance.
        list_read_at: Monotonic time in seconds of the last instance list.
    """

    def __init__(self, own, wall_ms):
        """Creates the view.

        Args:
            own: This daemon's `Member`.
            wall_ms: Function that returns the wall-clock time in Unix milliseconds.
        """
        self.own = own
        self.roster = Roster()
        self.gossip = GossipQueue()
        self.listed_daemons = {}
        self.list_read_at = float("-inf")
        self._wall_ms = wall_ms
        self._reported_deaths = {}
        self._queue_own_update()

    def apply(self, update, reason, now):
        """Applies an update about any member, this daemon included.

        Args:
            update: `MemberUpdate`.
            reason: Source of the update, for the log; the proof of a death.
            now: Monotonic time in seconds.
        """
        if not self.is_plausible(update.incarnation, update.revision):
            return []
        if update.instance == self.own.instance:
            return self._apply_to_self(update)
        change = self.roster.apply(update, now)
        if change is None:
            return []
        before, after = change
        self._queue_update(after)
        actions = [MemberChanged(after, before.state if before else None, reason)]
        if before and before.incarnation < after.incarnation:
            actions += self._report_death_once(before, "higher incarnation")
        if after.state is MemberState.DEAD:
            actions += self._report_death_once(after, reason)
        return actions + self._declare_dead_at_address(after, now)

    def is_plausible(self, incarnation, revision):
        """Returns whether an incarnation and a revision are within their limits."""
        max_incarnation = self._wall_ms() + MAX_CLOCK_ERROR_MS
        return incarnation <= max_incarnation and revision <= MAX_REVISION

    def apply_gossip(self, update, sender, now):
        """Applies an update from another member's gossip.

        An update that equals the known state shows that other members send it, too. It
        counts as a transmission by this daemon, which then sends it less often.
        """
        actions = self.apply(update, f"told by {sender}", now)
        entry = self.roster.get(update.instance)
        if not actions and entry is not None:
            known_update = update_of(entry.member, with_details=False)
            if known_update == msgspec.structs.replace(update, details=None):
                self.gossip.count_transmission(update.instance)
        return actions

    def suspect(self, instance, now):
        """Marks a member that did not answer as suspected."""
        return self._apply_state(instance, WireState.SUSPECTED, "no answer", now)

    def declare_dead(self, instance, proof, now):
        """Marks the current incarnation of a member as dead.

        Args:
            instance: The member.
            proof: Evidence of the death, for the log.
            now: Monotonic time in seconds.
        """
        return self._apply_state(instance, WireState.DEAD, proof, now)

    def leave(self):
        """Marks this daemon as leaving."""
        if self.own.state is MemberState.LIVE:
            revision = self.own.revision + 1
            state = MemberState.LEAVING
            self.own = replace(self.own, revision=revision, state=state)
            self._queue_own_update()

    def apply_list(self, instances, now):
        """Adds the daemons of an instance list.

        Members that it omits are forgotten if they are known from an earlier list
        only, or have been dead for `FORGET_DEAD_AFTER_S`.
        """
        daemons = [listed for listed in instances if listed.kind == "entry"]
        self.listed_daemons = {listed.instance: listed for listed in daemons}
        self.list_read_at = now
        actions = []
        for listed in daemons:
            if listed.instance != self.own.instance:
                actions += self._apply_listed(listed, now)
        for entry in list(self.roster):
            if entry.member.instance not in self.listed_daemons:
                self._forget_if_obsolete(entry, now)
        return actions

    def has_left_list(self, entry):
        """Returns whether the last list omits a member and postdates its suspicion."""
        is_missing = entry.member.instance not in self.listed_daemons
        return is_missing and self.list_read_at > entry.suspected_at

    def _apply_state(self, instance, state, reason, now):
        member = self.roster.get(instance).member
        update = MemberUpdate(instance, member.incarnation, member.revision, state)
        return self.apply(update, reason, now)

    def _apply_to_self(self, update):
        """Refutes a suspicion; takes a new incarnation if this one is dead.

        It also takes a new one if the update has a higher incarnation than its own,
        or if the revisions are used up.
        """
        own = self.own
        if update.incarnation < own.incarnation:
            return []
        is_dead = update.state is WireState.DEAD
        revisions_exhausted = max(own.revision, update.revision) >= MAX_REVISION
        if update.incarnation > own.incarnation or is_dead or revisions_exhausted:
            new_incarnation = max(update.incarnation + 1, self._wall_ms())
            self.own = replace(own, incarnation=new_incarnation, revision=0)
            self._queue_own_update()
            return [Reincarnated(own.incarnation, new_incarnation)]
        is_suspected = update.state is WireState.SUSPECTED
        if is_suspected and update.revision >= own.revision:
            self.own = replace(own, revision=update.revision + 1)
            self._queue_own_update()
        return []

    def _apply_listed(self, listed, now):
        entry = self.roster.get(listed.instance)
        state = MemberState.LIVE if listed.state == "live" else MemberState.LEAVING
        if entry is None or entry.member.incarnation == 0:
            return self._add_listed(entry, listed, state)
        if state is MemberState.LEAVING:
            return self._apply_state(
                listed.instance, WireState.LEAVING, "instance list", now
            )
        return []

    def _add_listed(self, entry, listed, state):
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
            return [MemberChanged(member, None, "instance list")]
        if entry.member.state in (MemberState.SUSPECTED, MemberState.DEAD):
            member = replace(member, state=entry.member.state)
        entry.member = member
        return []

    def _forget_if_obsolete(self, entry, now):
        member = entry.member
        is_long_dead = (
            member.state is MemberState.DEAD
            and now - entry.dead_at > FORGET_DEAD_AFTER_S
        )
        if is_long_dead or member.incarnation == 0:
            self.roster.remove(member.instance)

    def _declare_dead_at_address(self, member, now):
        """Declares other members dead if a newer process uses their UDP address."""
        if member.state not in (MemberState.LIVE, MemberState.LEAVING):
            return []
        actions = []
        for entry in self.roster.others_at_address(
            member.membership_address, member.instance
        ):
            is_older = entry.member.incarnation < member.incarnation
            if is_older and entry.member.state is not MemberState.DEAD:
                proof = "another instance at its address"
                actions += self.declare_dead(entry.member.instance, proof, now)
        return actions

    def _report_death_once(self, member, proof):
        """Returns a `MemberDied` unless this death was reported before.

        No death is reported for a member that is known from the instance list only.
        """
        if member.incarnation <= self._reported_deaths.get(member.instance, 0):
            return []
        if len(self._reported_deaths) >= MAX_REPORTED_DEATHS:
            del self._reported_deaths[next(iter(self._reported_deaths))]
        self._reported_deaths.pop(member.instance, None)
        self._reported_deaths[member.instance] = member.incarnation
        return [MemberDied(member, proof)]

    def _queue_update(self, member):
        entry = self.roster.get(member.instance)
        with_details = entry.details_incarnation == member.incarnation > 0
        is_suspected_or_dead = member.state in (MemberState.SUSPECTED, MemberState.DEAD)
        update = update_of(member, with_details and not is_suspected_or_dead)
        has_just_joined = member.state is MemberState.LIVE and member.revision == 0
        self.gossip.put(member.instance, update, urgent=not has_just_joined)

    def _queue_own_update(self):
        self.gossip.put(self.own.instance, update_of(self.own))
