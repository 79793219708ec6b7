"""Membership over UDP: input and output around the protocol state machine."""

import random

import gevent
from gevent import socket

from amaranthbay.kernel.interfaces import Membership
from amaranthbay.membership.events import (
    CheckPort,
    DatagramReceived,
    Leave,
    ListFetched,
    MemberChanged,
    MemberDied,
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
from amaranthbay.membership.protocol import Protocol
from amaranthbay.membership.types import Member, MemberState
from amaranthbay.membership.wire import (
    IP_UDP_HEADER_BYTES,
    MAX_DATAGRAM_BYTES,
    open_datagram,
    seal_datagram,
)
from amaranthbay.observe import log_event
from amaranthbay.peering.drops import DropLog
from amaranthbay.utils.http import split_address

__all__ = ["ProbedMembership", "wall_clock_ms"]

TICK_INTERVAL_S = 0.1
PORT_CHECK_TIMEOUT_S = 1.0


def wall_clock_ms(clock):
    """Returns the wall-clock time in Unix milliseconds."""
    return int(clock.now().timestamp() * 1000)


class ProbedMembership(Membership):
    """Membership that starts from the instance list and probes the listed daemons.

    Without a key there are no probes, and the instance list alone decides which
    daemons are live. Each callback runs in a greenlet of its own.

    Attributes:
        drops: `DropLog` of the datagrams that were dropped or could not be sent.
    """

    def __init__(self, settings, keys, clock, config_version=lambda: 0, rng=None):
        """Creates the membership; `start` opens the socket.

        Args:
            settings: `DaemonSettings` with this daemon's name, zone and addresses.
            keys: `KeyRing` that authenticates the datagrams.
            clock: Clock for wall-clock and monotonic time.
            config_version: Function that returns the configuration version in force.
            rng: `random.Random` for the probes; a new one if None.
        """
        own = Member(
            settings.instance,
            settings.availability_zone,
            settings.region,
            settings.caller_address,
            settings.membership_address,
            settings.peer_address,
            wall_clock_ms(clock),
        )
        self._keys = keys
        self._clock = clock
        self._protocol = Protocol(
            own,
            rng or random.Random(),
            lambda: wall_clock_ms(clock),
            config_version,
        )
        self._callbacks = {
            action_type: []
            for action_type in (
                MemberDied,
                Paused,
                Reincarnated,
                VersionSeen,
                NoticeReceived,
            )
        }
        self._action_handlers = {
            SendDatagram: self._send,
            CheckPort: lambda action: gevent.spawn(self._check_port, action.member),
            MemberChanged: _log_change,
        }
        self._socket = None
        self._greenlets = []
        self._started_at = clock.monotonic()
        self.drops = DropLog("datagram_dropped", clock)

    def start(self):
        """Opens the socket and starts to receive and to probe."""
        self._started_at = self._clock.monotonic()
        if not self._keys:
            log_event("membership_without_key", level="warning")
            return
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(split_address(self.own().membership_address))
        self._greenlets = [gevent.spawn(self._receive), gevent.spawn(self._tick)]

    def stop(self):
        """Stops the probes and closes the socket."""
        gevent.killall(self._greenlets)
        if self._socket is not None:
            self._socket.close()

    def own(self):
        return self._protocol.view.own

    def live(self):
        entries = self._protocol.view.roster.in_states(MemberState.LIVE)
        members = tuple(entry.member for entry in entries)
        own = self.own()
        return (own, *members) if own.state is MemberState.LIVE else members

    def members(self):
        """Returns the members in all states, this daemon first."""
        roster = self._protocol.view.roster
        return (self.own(), *(entry.member for entry in roster))

    def member(self, instance):
        if instance == self.own().instance:
            return self.own()
        entry = self._protocol.view.roster.get(instance)
        return entry.member if entry else None

    def on_death(self, callback):
        self._add_callback(MemberDied, lambda action: callback(action.member))

    def on_pause(self, callback):
        """Calls ``callback(seconds)`` after this process was paused."""
        self._add_callback(Paused, lambda action: callback(action.seconds))

    def on_reincarnation(self, callback):
        """Calls ``callback(old, new)`` when this daemon takes a new incarnation.

        It does so when peers consider the old one dead or know a higher one.
        """
        self._add_callback(
            Reincarnated, lambda action: callback(action.old, action.new)
        )

    def on_version(self, callback):
        """Calls ``callback(instance, version)`` for a higher configuration version."""
        self._add_callback(
            VersionSeen, lambda action: callback(action.instance, action.version)
        )

    def on_notice(self, callback):
        """Calls ``callback(notice)`` for each `BackendNotice` from a peer."""
        self._add_callback(NoticeReceived, lambda action: callback(action.notice))

    def apply_list(self, instances):
        """Applies a newly read instance list, a sequence of `Instance`."""
        self._handle(ListFetched(tuple(instances)))

    def note_peer_message(self, instance, incarnation):
        """Records that an authenticated peer message of an incarnation arrived."""
        self._handle(PeerMessageReceived(instance, incarnation))

    def gossip_notice(self, notice):
        """Gossips a `BackendNotice` to the peers."""
        self._handle(NoticeCreated(notice))

    def leave(self):
        """Tells the peers to take this daemon out of their lookups; probes continue."""
        self._handle(Leave())

    def peer_silence_s(self):
        """Returns the seconds since the last message from any peer.

        Before the first message it returns the seconds since the start.
        """
        last_heard_at = self._protocol.peer_heard_at
        if last_heard_at is None:
            last_heard_at = self._started_at
        return self._clock.monotonic() - last_heard_at

    def traffic(self):
        """Returns the numbers of bytes, headers included, and of datagrams.

        Both count what was sent and received since the start.
        """
        budget = self._protocol.composer.budget
        return budget.bytes_total, budget.datagrams_total

    def _add_callback(self, action_type, callback):
        self._callbacks[action_type].append(callback)

    def _handle(self, event):
        for action in self._protocol.handle(event, self._clock.monotonic()):
            handler = self._action_handlers.get(type(action))
            if handler is not None:
                handler(action)
                continue
            _log_action(action)
            for callback in self._callbacks[type(action)]:
                gevent.spawn(callback, action)

    def _tick(self):
        while True:
            self._handle(Tick())
            gevent.sleep(TICK_INTERVAL_S)

    def _receive(self):
        while True:
            try:
                frame, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError as exc:
                log_event("membership_receive_failed", level="warning", code=exc.errno)
                gevent.sleep(TICK_INTERVAL_S)
                continue
            self._on_frame(frame, f"{source[0]}:{source[1]}")

    def _on_frame(self, frame, address):
        size = len(frame) + IP_UDP_HEADER_BYTES
        opened = open_datagram(self._keys, frame)
        if opened.is_err():
            now = self._clock.monotonic()
            self._protocol.composer.budget.spend(size, now)
            self.drops.add(opened.unwrap_err(), source=address)
            return
        self._handle(DatagramReceived(address, opened.unwrap(), size))

    def _send(self, action):
        if self._socket is None:
            return
        frame = seal_datagram(self._keys, action.payload)
        try:
            self._socket.sendto(frame, split_address(action.address))
        except OSError as exc:
            self.drops.add("not_sent", address=action.address, code=exc.errno)

    def _check_port(self, member):
        refused = False
        try:
            address = split_address(member.address)
            socket.create_connection(address, PORT_CHECK_TIMEOUT_S).close()
        except ConnectionRefusedError:
            refused = True
        except OSError:
            pass
        self._handle(PortChecked(member.instance, member.incarnation, refused))


def _log_change(action):
    log_event(
        "member_changed",
        member=action.member.instance,
        member_incarnation=action.member.incarnation,
        state=action.member.state,
        before=action.before,
        reason=action.reason,
    )


def _log_action(action):
    if isinstance(action, MemberDied):
        log_event(
            "member_died",
            member=action.member.instance,
            member_incarnation=action.member.incarnation,
            proof=action.proof,
        )
    elif isinstance(action, Paused):
        log_event("paused", level="warning", seconds=action.seconds)
    elif isinstance(action, Reincarnated):
        log_event("reincarnated", level="warning", old=action.old, new=action.new)
