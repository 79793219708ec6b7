"""SWIM-like membership protocol as a state machine.

It takes events with a monotonic time and returns the resulting actions.
"""

from amaranthbay.membership.composer import Composer
from amaranthbay.membership.events import (
    CheckPort,
    DatagramReceived,
    Leave,
    ListFetched,
    MemberChanged,
    NoticeCreated,
    NoticeReceived,
    Paused,
    PeerMessageReceived,
    PortChecked,
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

__all__ = ["PROBE_PERIOD_S", "SILENCE_TIMEOUT_S", "Protocol"]

PROBE_PERIOD_S = 1.0
# Many times the round trip between availability zones, and short enough for the
# indirect probes to be answered within the probe period.
DIRECT_PROBE_TIMEOUT_S = 0.4
INDIRECT_PROBE_COUNT = 3
# A suspected member that has been silent for this long is dead. A daemon treats its
# own streams as broken after a pause of 20 s, well before others act on its death.
SILENCE_TIMEOUT_S = 30.0
# Shorter than the silence timeout, so that a daemon that is cut off from the majority
# notices it before it declares others dead.
HISTORY_WINDOW_S = 20.0
# A longer gap between two ticks is a pause of the process, not a scheduling delay.
MIN_PAUSE_S = 2.0
# Number of members to which an announcement of this daemon's own state is sent.
ANNOUNCEMENT_RECEIVERS = 5
# Interval of probes to listed members that this daemon considers dead; the probes
# reconnect the sides of a healed partition.
RECONNECT_INTERVAL_S = 10.0
PROBE_NUMBER_LIMIT = 2**31
PROBED_STATES = (MemberState.LIVE, MemberState.LEAVING, MemberState.SUSPECTED)


class Protocol:
    """Probes members, suspects silent ones and declares them dead.

    It performs no input or output.

    Attributes:
        view: `View` of the members.
        composer: `Composer` of the datagrams, with the byte budget.
        peer_heard_at: Monotonic time in seconds of the last message from a peer;
            None before the first one.
    """

    def __init__(self, own, rng, wall_ms, config_version=lambda: 0):
        """Creates the state machine.

        Args:
            own: This daemon's `Member`, with its incarnation.
            rng: `random.Random` for probe order, probe numbers and receivers.
            wall_ms: Function that returns the wall-clock time in Unix milliseconds.
            config_version: Function that returns the configuration version in force.
        """
        self.view = View(own, wall_ms)
        self.composer = Composer(self.view, rng, config_version)
        self._rng = rng
        self._config_version = config_version
        self._cycle = ProbeCycle(rng)
        self._history = ProbeHistory(HISTORY_WINDOW_S)
        self._probe = None
        self._next_probe_at = None
        self._next_reconnect_at = 0.0
        self._majority_since = None
        self._ticked_at = None
        self._pending_relays = RelayTable()
        self._highest_version_seen = 0
        self.peer_heard_at = None
        self._handlers = {
            Tick: self._on_tick,
            DatagramReceived: self._on_datagram,
            PortChecked: self._on_port_checked,
            ListFetched: self._on_list_fetched,
            PeerMessageReceived: self._on_peer_message,
            Leave: self._on_leave,
            NoticeCreated: self._on_notice_created,
        }

    def handle(self, event, now):
        """Handles an event.

        Args:
            event: Event of `membership.events`.
            now: Monotonic time in seconds.

        Returns:
            A list of actions of `membership.events`.
        """
        actions = self._handlers[type(event)](event, now)
        for action in actions:
            if isinstance(action, MemberChanged) and action.before is None:
                self._cycle.add(action.member.instance)
        if any(isinstance(action, Reincarnated) for action in actions):
            actions += self._announce(now)
        return actions

    def _on_tick(self, event, now):
        actions = self._detect_pause(now)
        if self._next_probe_at is None:
            self._next_probe_at = now + self._rng.random() * PROBE_PERIOD_S
        if self._probe and now >= self._probe.started_at + DIRECT_PROBE_TIMEOUT_S:
            actions += self._probe_indirectly(now)
        if now >= self._next_probe_at:
            actions += self._finish_probe(now)
            actions += self._start_probe(now)
            actions += self._declare_silent_dead(now)
        if now >= self._next_reconnect_at:
            self._next_reconnect_at = now + RECONNECT_INTERVAL_S
            actions += self._reconnect(now)
        return actions

    def _detect_pause(self, now):
        """Detects a pause of this process, which must not count as members' silence."""
        gap = now - self._ticked_at if self._ticked_at is not None else 0.0
        self._ticked_at = now
        if gap <= MIN_PAUSE_S:
            return []
        self.view.roster.discount_pause(gap)
        self._history.clear()
        self._majority_since = None
        self._probe = None
        self._next_probe_at = now
        return [Paused(gap)]

    def _start_probe(self, now):
        self._next_probe_at = max(self._next_probe_at + PROBE_PERIOD_S, now)
        probed_entries = self.view.roster.in_states(*PROBED_STATES)
        instance = self._cycle.next([entry.member.instance for entry in probed_entries])
        if instance is None:
            self._probe = None
            return []
        self._probe = Probe(instance, self._new_number(), now)
        return [self._ping(self._member(instance), self._probe.number, now)]

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
        count = min(INDIRECT_PROBE_COUNT, len(helpers))
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
        """Suspects the probed member if it answered neither directly nor indirectly."""
        probe, self._probe = self._probe, None
        entry = self.view.roster.get(probe.instance) if probe else None
        if entry is None or entry.member.state not in PROBED_STATES:
            return []
        self._history.add(probe.instance, probe.answered, now)
        if probe.answered:
            return []
        actions = self.view.suspect(probe.instance, now)
        return actions + [CheckPort(entry.member)]

    def _declare_silent_dead(self, now):
        """Declares suspected members dead after the silence timeout.

        Unless a member has left the instance list, this daemon must have heard a
        majority during the whole timeout.
        """
        if not self._history.has_majority(now):
            self._majority_since = None
        elif self._majority_since is None:
            self._majority_since = now
        actions = []
        for entry in self.view.roster.in_states(MemberState.SUSPECTED):
            silent_since = max(entry.suspected_at, entry.answered_at)
            if not self.view.has_left_list(entry):
                if self._majority_since is None:
                    continue
                silent_since = max(silent_since, self._majority_since)
            if now - silent_since >= SILENCE_TIMEOUT_S:
                instance = entry.member.instance
                actions += self.view.declare_dead(instance, "silence", now)
        return actions

    def _reconnect(self, now):
        """Probes a member that is on the instance list but considered dead."""
        roster = self.view.roster
        listed_dead = [
            self.view.listed_daemons[entry.member.instance]
            for entry in roster.in_states(MemberState.DEAD)
            if entry.member.instance in self.view.listed_daemons
        ]
        if not listed_dead:
            return []
        return [self._ping(self._rng.choice(listed_dead), self._new_number(), now)]

    def _on_datagram(self, event, now):
        datagram = event.datagram
        self.composer.budget.spend(event.size, now)
        if not self.view.is_plausible(datagram.incarnation, datagram.revision):
            return []
        sender_update = MemberUpdate(
            datagram.sender, datagram.incarnation, datagram.revision, datagram.state
        )
        actions = self.view.apply(sender_update, "its own datagram", now)
        if datagram.sender == self.view.own.instance:
            return actions
        for update in datagram.updates:
            actions += self.view.apply_gossip(update, datagram.sender, now)
        actions += [NoticeReceived(notice) for notice in datagram.notices]
        self.peer_heard_at = now
        if self.view.roster.get(datagram.sender) is not None:
            self.composer.record_sender_knowledge(datagram)
        actions += self._check_version(datagram)
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
        answering_instance = datagram.sender
        if datagram.kind is DatagramKind.RELAYED_ACK:
            answering_instance = datagram.target
        self._record_answer(datagram.number, answering_instance, now)
        return self._relay_answer(datagram, now)

    def _record_answer(self, number, instance, now):
        probe = self._probe
        if probe and probe.number == number and probe.instance == instance:
            probe.answered = True
            self.view.roster.get(instance).answered_at = now

    def _relay_ping(self, event, now):
        target = self.view.roster.get(event.datagram.target)
        if target is None or not self.composer.budget.allows_urgent(now):
            return []
        number = self._new_number()
        if not self._pending_relays.add(number, event.address, event.datagram, now):
            return []
        return [self._ping(target.member, number, now)]

    def _relay_answer(self, datagram, now):
        relay = self._pending_relays.take(datagram.number, datagram.sender)
        if relay is None:
            return []
        kind = DatagramKind.RELAYED_ACK
        return [
            self._send(
                kind, relay.number, relay.target, relay.requester, relay.address, now
            )
        ]

    def _check_version(self, datagram):
        known_version = max(self._config_version(), self._highest_version_seen)
        if datagram.config_version <= known_version:
            return []
        self._highest_version_seen = datagram.config_version
        return [VersionSeen(datagram.sender, datagram.config_version)]

    def _on_port_checked(self, event, now):
        entry = self.view.roster.get(event.instance)
        same_incarnation = (
            entry is not None and entry.member.incarnation == event.incarnation
        )
        if not event.refused or not same_incarnation:
            return []
        return self.view.declare_dead(event.instance, "connection refused", now)

    def _on_list_fetched(self, event, now):
        member_count_before = len(self.view.roster)
        actions = self.view.apply_list(event.instances, now)
        self.composer.retain(entry.member.instance for entry in self.view.roster)
        if member_count_before == 0:
            actions += self._announce(now)
        return actions

    def _on_peer_message(self, event, now):
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

    def _on_notice_created(self, event, now):
        self.view.gossip.put(f"backend/{event.notice.instance}", event.notice)
        return []

    def _announce(self, now):
        """Pings some live members at once; the pings carry this daemon's new state."""
        live = [entry.member for entry in self.view.roster.in_states(MemberState.LIVE)]
        receivers = self._rng.sample(live, min(ANNOUNCEMENT_RECEIVERS, len(live)))
        return [self._ping(member, self._new_number(), now) for member in receivers]

    def _member(self, instance):
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

    def _new_number(self):
        return self._rng.randrange(PROBE_NUMBER_LIMIT)
