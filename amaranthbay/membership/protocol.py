"""Membership protocol as a state machine: events and a time in, actions out."""

from amaranthbay.membership.composer import Composer
from amaranthbay.membership.events import (
    Changed,
    CheckPort,
    Heard,
    Leave,
    ListFetched,
    NoticeHeard,
    NoticeMade,
    Paused,
    PortChecked,
    Received,
    Reincarnated,
    SendDatagram,
    Tick,
    VersionSeen,
)
from amaranthbay.membership.probing import Probe, ProbeCycle, ProbeHistory
from amaranthbay.membership.relays import RelayTable
from amaranthbay.membership.types import MemberState
from amaranthbay.membership.view import View
from amaranthbay.membership.wire import DatagramKind, MemberUpdate, WireState

__all__ = ["PROBE_PERIOD_S", "SILENCE_S", "Protocol"]

PROBE_PERIOD_S = 1.0
# Many times the round trip between availability zones, and early enough for the
# indirect probes to be answered within the period.
DIRECT_TIMEOUT_S = 0.4
INDIRECT_PROBES = 3
# Proof of death by silence; a daemon treats its own streams as broken after a
# pause of 20 s, well before others act on this.
SILENCE_S = 30.0
# Shorter than the silence, so that a daemon that is cut off knows it in time.
HISTORY_S = 20.0
# A gap between two ticks that no scheduling delay explains.
PAUSE_S = 2.0
ANNOUNCE_COUNT = 5
# Members that are dead here but listed are tried, to heal a partition.
RECONNECT_S = 10.0
NUMBER_LIMIT = 2**31
PROBED = (MemberState.LIVE, MemberState.LEAVING, MemberState.SUSPECTED)


class Protocol:
    """Probes, suspects, refutes and proves; performs no input or output."""

    def __init__(self, own, rng, wall_ms, config_version=lambda: 0):
        """Creates the state machine.

        Args:
            own: This daemon's `Member`, with its incarnation.
            rng: `random.Random`.
            wall_ms: Function that returns the wall-clock time in milliseconds.
            config_version: Function that returns the version in force.
        """
        self.view = View(own, wall_ms)
        self.composer = Composer(self.view, rng, config_version)
        self._rng = rng
        self._config_version = config_version
        self._cycle = ProbeCycle(rng)
        self._history = ProbeHistory(HISTORY_S)
        self._probe = None
        self._next_probe_at = None
        self._next_reconnect_at = 0.0
        self._majority_since = None
        self._ticked_at = None
        self._relays = RelayTable()
        self._version_seen = 0
        self.peer_heard_at = None
        self._handlers = {
            Tick: self._on_tick,
            Received: self._on_received,
            PortChecked: self._on_port_checked,
            ListFetched: self._on_list,
            Heard: self._on_heard,
            Leave: self._on_leave,
            NoticeMade: self._on_notice,
        }

    def handle(self, event, now):
        """Returns the actions that follow from an event at a monotonic time."""
        actions = self._handlers[type(event)](event, now)
        for action in actions:
            if isinstance(action, Changed) and action.before is None:
                self._cycle.add(action.member.instance)
        if any(isinstance(action, Reincarnated) for action in actions):
            actions += self._announce(now)
        return actions

    def _on_tick(self, event, now):
        actions = self._notice_pause(now)
        if self._next_probe_at is None:
            self._next_probe_at = now + self._rng.random() * PROBE_PERIOD_S
        if self._probe and now >= self._probe.started + DIRECT_TIMEOUT_S:
            actions += self._probe_indirectly(now)
        if now >= self._next_probe_at:
            actions += self._finish_probe(now)
            actions += self._start_probe(now)
            actions += self._prove_silence(now)
        if now >= self._next_reconnect_at:
            self._next_reconnect_at = now + RECONNECT_S
            actions += self._reconnect(now)
        return actions

    def _notice_pause(self, now):
        """Discounts a time in which this process did not run."""
        gap = now - self._ticked_at if self._ticked_at is not None else 0.0
        self._ticked_at = now
        if gap <= PAUSE_S:
            return []
        self.view.roster.shift(gap)
        self._history.clear()
        self._majority_since = None
        self._probe = None
        self._next_probe_at = now
        return [Paused(gap)]

    def _start_probe(self, now):
        self._next_probe_at = max(self._next_probe_at + PROBE_PERIOD_S, now)
        probed = self.view.roster.in_states(*PROBED)
        instance = self._cycle.next([each.member.instance for each in probed])
        if instance is None:
            self._probe = None
            return []
        self._probe = Probe(instance, self._number(), now)
        return [self._ping(self._entry_member(instance), self._probe.number, now)]

    def _probe_indirectly(self, now):
        probe = self._probe
        if (
            probe.answered
            or probe.indirect
            or not self.composer.budget.allows_urgent(now)
        ):
            return []
        probe.indirect = True
        helpers = [
            entry.member
            for entry in self.view.roster.in_states(MemberState.LIVE)
            if entry.member.instance != probe.instance
        ]
        count = min(INDIRECT_PROBES, len(helpers))
        return [
            self._send(
                DatagramKind.PING_REQUEST,
                probe.number,
                probe.instance,
                helper.instance,
                helper.membership_address,
                now,
            )
            for helper in self._rng.sample(helpers, count)
        ]

    def _finish_probe(self, now):
        """Suspects the probed member if nobody reached it."""
        probe, self._probe = self._probe, None
        entry = self.view.roster.get(probe.instance) if probe else None
        if entry is None or entry.member.state not in PROBED:
            return []
        self._history.add(probe.instance, probe.answered, now)
        if probe.answered:
            return []
        actions = self.view.suspect(probe.instance, now)
        return actions + [CheckPort(entry.member)]

    def _prove_silence(self, now):
        """Proves members dead that were silent to everyone for long."""
        if not self._history.has_majority(now):
            self._majority_since = None
        elif self._majority_since is None:
            self._majority_since = now
        actions = []
        for entry in self.view.roster.in_states(MemberState.SUSPECTED):
            since = max(entry.suspected_at, entry.answered_at)
            if not self.view.has_left_list(entry):
                if self._majority_since is None:
                    continue
                since = max(since, self._majority_since)
            if now - since >= SILENCE_S:
                instance = entry.member.instance
                actions += self.view.prove_dead(instance, "silence", now)
        return actions

    def _reconnect(self, now):
        """Probes a member that is dead here although the list names it."""
        roster = self.view.roster
        dead = [
            self.view.listed[each.member.instance]
            for each in roster.in_states(MemberState.DEAD)
            if each.member.instance in self.view.listed
        ]
        if not dead:
            return []
        return [self._ping(self._rng.choice(dead), self._number(), now)]

    def _on_received(self, event, now):
        datagram = event.datagram
        self.composer.budget.spend(event.size, now)
        if not self.view.is_plausible(datagram.incarnation, datagram.revision):
            return []
        own_word = MemberUpdate(
            datagram.sender, datagram.incarnation, datagram.revision, datagram.state
        )
        actions = self.view.apply(own_word, "its own word", now)
        if datagram.sender == self.view.own.instance:
            return actions
        for update in datagram.updates:
            actions += self.view.apply_told(update, datagram.sender, now)
        actions += [NoticeHeard(notice) for notice in datagram.notices]
        self.peer_heard_at = now
        if self.view.roster.get(datagram.sender) is not None:
            self.composer.note_receiver(datagram)
        actions += self._see_version(datagram)
        return actions + self._answer(event, now)

    def _answer(self, event, now):
        datagram = event.datagram
        if datagram.kind is DatagramKind.PING:
            kind = DatagramKind.ACK
            own = self.view.own.instance
            number = datagram.number
            return [self._send(kind, number, own, datagram.sender, event.address, now)]
        if datagram.kind is DatagramKind.PING_REQUEST:
            return self._relay_ping(event, now)
        answered = datagram.sender
        if datagram.kind is DatagramKind.RELAYED_ACK:
            answered = datagram.target
        self._note_answer(datagram.number, answered, now)
        return self._relay_answer(datagram, now)

    def _note_answer(self, number, instance, now):
        probe = self._probe
        if probe and probe.number == number and probe.instance == instance:
            probe.answered = True
            self.view.roster.get(instance).answered_at = now

    def _relay_ping(self, event, now):
        target = self.view.roster.get(event.datagram.target)
        if target is None or not self.composer.budget.allows_urgent(now):
            return []
        number = self._number()
        if not self._relays.add(number, event.address, event.datagram, now):
            return []
        return [self._ping(target.member, number, now)]

    def _relay_answer(self, datagram, now):
        relay = self._relays.take(datagram.number, datagram.sender)
        if relay is None:
            return []
        kind = DatagramKind.RELAYED_ACK
        return [
            self._send(
                kind, relay.number, relay.target, relay.requester, relay.address, now
            )
        ]

    def _see_version(self, datagram):
        known = max(self._config_version(), self._version_seen)
        if datagram.config_version <= known:
            return []
        self._version_seen = datagram.config_version
        return [VersionSeen(datagram.sender, datagram.config_version)]

    def _on_port_checked(self, event, now):
        entry = self.view.roster.get(event.instance)
        same = entry is not None and entry.member.incarnation == event.incarnation
        if not event.refused or not same:
            return []
        return self.view.prove_dead(event.instance, "connection refused", now)

    def _on_list(self, event, now):
        known = len(self.view.roster)
        actions = self.view.apply_list(event.instances, now)
        self.composer.keep(entry.member.instance for entry in self.view.roster)
        if known == 0:
            actions += self._announce(now)
        return actions

    def _on_heard(self, event, now):
        if event.instance == self.view.own.instance:
            return []
        self.peer_heard_at = now
        update = MemberUpdate(event.instance, event.incarnation, 0, WireState.LIVE)
        entry = self.view.roster.get(event.instance)
        if entry is not None and entry.member.incarnation >= event.incarnation:
            return []
        return self.view.apply(update, "peer message", now)

    def _on_leave(self, event, now):
        self.view.leave()
        return self._announce(now)

    def _on_notice(self, event, now):
        self.view.gossip.put(f"backend/{event.notice.instance}", event.notice)
        return []

    def _announce(self, now):
        """Tells some members at once what changed about this daemon."""
        live = [entry.member for entry in self.view.roster.in_states(MemberState.LIVE)]
        chosen = self._rng.sample(live, min(ANNOUNCE_COUNT, len(live)))
        return [self._ping(member, self._number(), now) for member in chosen]

    def _entry_member(self, instance):
        return self.view.roster.get(instance).member

    def _ping(self, member, number, now):
        return self._send(
            DatagramKind.PING,
            number,
            member.instance,
            member.instance,
            member.membership_address,
            now,
        )

    def _send(self, kind, number, target, receiver, address, now):
        payload = self.composer.compose(kind, number, target, receiver, now)
        return SendDatagram(address, payload)

    def _number(self):
        return self._rng.randrange(NUMBER_LIMIT)
