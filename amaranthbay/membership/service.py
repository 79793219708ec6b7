"""Membership over UDP: a thin loop of input and output around the protocol."""

import random

import gevent
from gevent import socket

from amaranthbay.kernel.interfaces import Membership
from amaranthbay.membership.events import (
    Changed,
    CheckPort,
    Died,
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

__all__ = ["ProbedMembership", "start_incarnation"]

TICK_S = 0.1
PORT_TIMEOUT_S = 1.0


def start_incarnation(clock):
    """Returns the incarnation of a process that starts now."""
    return int(clock.now().timestamp() * 1000)


class ProbedMembership(Membership):
    """Members by probes, starting from the instance list.

    Without a key there are no probes and the instance list alone counts.
    Callbacks run in greenlets of their own.
    """

    def __init__(self, settings, keys, clock, config_version=lambda: 0, rng=None):
        """Creates the membership; `start` opens the socket.

        Args:
            settings: `DaemonSettings`.
            keys: `KeyRing`.
            clock: Clock.
            config_version: Function that returns the version in force.
            rng: `random.Random`.
        """
        own = Member(
            settings.instance,
            settings.availability_zone,
            settings.region,
            settings.caller_address,
            settings.membership_address,
            settings.peer_address,
            start_incarnation(clock),
        )
        self._keys = keys
        self._clock = clock
        self._protocol = Protocol(
            own,
            rng or random.Random(),
            lambda: start_incarnation(clock),
            config_version,
        )
        self._callbacks = {
            kind: [] for kind in (Died, Paused, Reincarnated, VersionSeen, NoticeHeard)
        }
        self._performers = {
            SendDatagram: self._send,
            CheckPort: lambda action: gevent.spawn(self._check_port, action.member),
            Changed: _log_change,
        }
        self._socket = None
        self._jobs = []
        self._started_at = clock.monotonic()
        self.drops = DropLog("datagram_dropped", clock)

    def start(self):
        """Opens the socket and starts the jobs."""
        self._started_at = self._clock.monotonic()
        if not self._keys:
            log_event("membership_without_key", level="warning")
            return
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(split_address(self.own().membership_address))
        self._jobs = [gevent.spawn(self._receive), gevent.spawn(self._tick)]

    def stop(self):
        """Ends the jobs and closes the socket."""
        gevent.killall(self._jobs)
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
        """Returns all members in any state, this one first."""
        roster = self._protocol.view.roster
        return (self.own(), *(entry.member for entry in roster))

    def member(self, instance):
        if instance == self.own().instance:
            return self.own()
        entry = self._protocol.view.roster.get(instance)
        return entry.member if entry else None

    def on_death(self, callback):
        self._on(Died, lambda action: callback(action.member))

    def on_pause(self, callback):
        """Calls ``callback(seconds)`` after this process was paused."""
        self._on(Paused, lambda action: callback(action.seconds))

    def on_reincarnation(self, callback):
        """Calls ``callback(old, new)`` when others held this daemon for dead."""
        self._on(Reincarnated, lambda action: callback(action.old, action.new))

    def on_version(self, callback):
        """Calls ``callback(instance, version)`` for a higher configuration."""
        self._on(VersionSeen, lambda each: callback(each.instance, each.version))

    def on_notice(self, callback):
        """Calls ``callback(notice)`` for what a peer says of a backend server."""
        self._on(NoticeHeard, lambda action: callback(action.notice))

    def apply_list(self, instances):
        """Takes a newly read instance list."""
        self._handle(ListFetched(tuple(instances)))

    def heard(self, instance, incarnation):
        """Takes note of an authenticated message of another protocol."""
        self._handle(Heard(instance, incarnation))

    def spread(self, notice):
        """Tells the peers about a backend server."""
        self._handle(NoticeMade(notice))

    def leave(self):
        """Leaves the lookup of all daemons at once; the probes go on."""
        self._handle(Leave())

    def peer_silence_s(self):
        """Returns the seconds since any peer was heard, or since the start."""
        heard_at = self._protocol.peer_heard_at
        if heard_at is None:
            heard_at = self._started_at
        return self._clock.monotonic() - heard_at

    def traffic(self):
        """Returns the bytes with headers and the datagrams so far, both ways."""
        budget = self._protocol.composer.budget
        return budget.bytes_total, budget.datagrams_total

    def _on(self, kind, callback):
        self._callbacks[kind].append(callback)

    def _handle(self, event):
        for action in self._protocol.handle(event, self._clock.monotonic()):
            performer = self._performers.get(type(action))
            if performer is not None:
                performer(action)
                continue
            _log_action(action)
            for callback in self._callbacks[type(action)]:
                gevent.spawn(callback, action)

    def _tick(self):
        while True:
            self._handle(Tick())
            gevent.sleep(TICK_S)

    def _receive(self):
        while True:
            try:
                frame, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError as exc:
                log_event("membership_receive_failed", level="warning", code=exc.errno)
                gevent.sleep(TICK_S)
                continue
            self._take(frame, f"{source[0]}:{source[1]}")

    def _take(self, frame, address):
        size = len(frame) + IP_UDP_HEADER_BYTES
        opened = open_datagram(self._keys, frame)
        if opened.is_err():
            now = self._clock.monotonic()
            self._protocol.composer.budget.spend(size, now)
            self.drops.add(opened.unwrap_err(), source=address)
            return
        self._handle(Received(address, opened.unwrap(), size))

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
            socket.create_connection(address, PORT_TIMEOUT_S).close()
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
    if isinstance(action, Died):
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
