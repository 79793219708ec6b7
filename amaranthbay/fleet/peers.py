"""The entry instances of the fleet, and what they report to each other by UDP.

Instances find each other through a table of the store. Whether one lives, and the
work that it has placed on model servers, is learnt from its datagrams.
"""

from dataclasses import dataclass, field

import gevent
import gevent.event
import msgspec
from gevent import socket

from amaranthbay.fleet.reports import (
    PeerStatus,
    ServerLoad,
    add_datagram,
    encode_datagram,
    is_sound,
    split_report,
)
from amaranthbay.observe import log_event

__all__ = [
    "HASTY_INTERVAL_S",
    "OwnReport",
    "Peers",
    "Registration",
]

# A fleet of this size reports at the shortest interval; larger ones report less
# often, so that the datagrams of an instance do not grow with the fleet.
SMALL_FLEET = 12
REPORT_INTERVAL_S = 0.2
# Reports of changed loads keep this distance, a few round trips between zones. Several
# instances that decide on older loads choose the same server.
HASTY_INTERVAL_S = 0.02
REPORT_LIMIT_S = 2.0
# Instances that serve callers report to everybody at least this often. That mends what
# was lost of their changes, and is shorter than the time for which loads count.
SERVING_INTERVAL_S = 0.6
# Reports that may be lost in a row before an instance is left out of lookups.
MISSED_REPORTS = 4
# Loads that an instance has reported count for this long.
LOAD_LIFE_S = 1.0
# The table of instances is read at most this often for one that it does not name.
STRANGER_S = 10.0
MOST_STRANGERS = 1000
RECEIVE_BYTES = 2048


class Registration(msgspec.Struct, frozen=True):
    """Row of one instance in the store.

    Attributes:
        instance: Name of the instance.
        availability_zone: Where it runs.
        region: Region of the availability zone.
        caller_address: Where callers connect.
        peer_address: Where it takes the reports of other instances.
        cores: Processor cores that it has.
        link_mbps: Rate of its link.
    """

    instance: str
    availability_zone: str
    region: str
    caller_address: str
    peer_address: str
    cores: float = 1.0
    link_mbps: float = 0.0


@dataclass(frozen=True)
class OwnReport:
    """What a process tells of itself; the fields are those of `PeerStatus`."""

    loads: dict = field(default_factory=dict)
    demands: dict = field(default_factory=dict)
    switching: dict = field(default_factory=dict)
    crashes: dict = field(default_factory=dict)
    versions: dict = field(default_factory=dict)
    lost_handles: tuple = ()
    era: int | None = None
    configuration: int = 0
    leaving: dict = field(default_factory=dict)


class Peers:
    """View of the table of instances, kept alive by their reports.

    A status that arrives after a newer one is dropped.
    """

    def __init__(
        self,
        own,
        clock,
        report,
        has_work,
        process,
        chosen=lambda live: live,
        on_status=lambda status: None,
        on_stranger=lambda: None,
    ):
        """Creates the view.

        Args:
            own: `Registration` of this process.
            clock: `Clock`.
            report: Function that returns the `OwnReport` of this process.
            has_work: Function that returns whether the report has loads. It is asked
                for each report, and the whole report costs more.
            process: Random number of this process. The time of its start would
                not do, since clocks step back.
            chosen: Function of the live instances that returns those which lookups
                name.
            on_status: Function that takes each new `PeerStatus` of another instance.
            on_stranger: Function that is called when an instance reports that is not
                known, or not at this address.
        """
        self.own = own
        self.serving = False
        self._clock = clock
        self._report_own = report
        self._has_work = has_work
        self._chosen = chosen
        self._choice = None
        self._on_status = on_status
        self._on_stranger = on_stranger
        self._strangers = {}
        self._reported = {}
        self._registered = {own.instance: own}
        self._heard = {}
        self._sequence = 0
        self._process = process
        self._socket = None
        self._changed = gevent.event.Event()

    def replace(self, rows, restored=False):
        """Takes the whole table.

        Instances whose rows a restore has undone stay known while they report; they
        write their rows again.
        """
        kept = {status.instance for status in self._reporting()} if restored else ()
        self._registered = {
            name: each for name, each in self._registered.items() if name in kept
        }
        self._registered[self.own.instance] = self.own
        self.apply(rows)

    def apply(self, rows):
        """Takes changed rows."""
        for row in rows:
            if row.key == self.own.instance:
                continue
            if row.value is None:
                self._registered.pop(row.key, None)
                continue
            try:
                found = msgspec.json.decode(row.value, type=Registration)
            except msgspec.DecodeError as exc:
                log_event(
                    "registration_unreadable",
                    level="warning",
                    member=row.key,
                    detail=str(exc),
                )
                continue
            self._registered[row.key] = found
            log_event("member_registered", member=row.key, address=found.caller_address)

    def registrations(self):
        """Returns the `Registration` of each instance that the store names."""
        return self._registered.values()

    def interval_s(self):
        """Returns the seconds between two reports to everybody."""
        share = max(1.0, len(self._registered) / SMALL_FLEET)
        interval_s = min(REPORT_LIMIT_S, REPORT_INTERVAL_S * share)
        return min(interval_s, SERVING_INTERVAL_S) if self.is_busy() else interval_s

    def is_busy(self):
        """Returns whether callers are sent here, or work is left."""
        return self._has_work() or self.own.instance in self._busy_names()

    def is_chosen(self):
        """Returns whether callers are sent here."""
        return self.own.instance in self.serving_names()

    def serving_names(self):
        """Returns the names of the instances that callers are sent to."""
        return self._serving_choice()[1]

    def serving_instances(self):
        """Returns the `Registration` of each instance that callers are sent to."""
        return self._serving_choice()[0]

    def _serving_choice(self):
        """Returns the chosen instances and their names.

        The choice is kept while the live instances stay the same: it costs more than
        a report in a large fleet, and each report asks for it.
        """
        live = self.live()
        if self._choice is None or self._choice[:2] != (self._chosen, live):
            chosen = tuple(self._chosen(live))
            names = frozenset(each.instance for each in chosen)
            self._choice = (self._chosen, live, (chosen, names))
        return self._choice[2]

    def _busy_names(self):
        """Returns the instances that callers are sent to, or that have work."""
        working = {each.instance for each in self.statuses() if each.loads}
        return self.serving_names() | working

    def live(self):
        """Returns the `Registration` of each instance that callers may use."""
        found = [self.own] if self.serving else []
        for status in self._reporting():
            if status.instance in self._registered and status.serving:
                found.append(self._registered[status.instance])
        return found

    def _reporting(self):
        """Returns the newest `PeerStatus` of each peer that still reports."""
        now = self._clock.monotonic()
        return [
            heard.status
            for heard in self._heard.values()
            if now - heard.at <= MISSED_REPORTS * heard.status.interval_s
        ]

    def statuses(self):
        """Returns the newest `PeerStatus` of each peer with a load that counts."""
        now = self._clock.monotonic()
        return [
            heard.status
            for heard in self._heard.values()
            if now - heard.at <= LOAD_LIFE_S
        ]

    def loads(self):
        """Returns the sum of `ServerLoad` that peers report, by server."""
        total = {}
        for status in self.statuses():
            for server, load in status.loads.items():
                total[server] = total.get(server, ServerLoad()) + load
        return total

    def switching(self):
        """Returns the stage of each model server that peers have ordered to switch.

        A switch takes longer than loads count, so that each peer's last report holds
        until it should have sent several.
        """
        found = {}
        for status in self._reporting():
            found |= status.switching
        return found

    def lost_handles(self):
        """Returns the prefill servers whose KV cache peers could not fetch."""
        found = set()
        for status in self.statuses():
            found.update(status.lost_handles)
        return frozenset(found)

    def newest_configuration(self):
        """Returns the highest version of a configuration in force that peers report."""
        return max((each.configuration for each in self._reporting()), default=0)

    def demands(self, service):
        """Returns the `MeasuredDemand` of each peer that has one."""
        found = [status.demands.get(service) for status in self.statuses()]
        return [each for each in found if each is not None]

    def hear(self, status, sender=None):
        """Takes a peer's status.

        Args:
            status: `PeerStatus`.
            sender: Address that it came from, if known.
        """
        if status.instance == self.own.instance:
            return
        if not is_sound(status):
            detail = f"datagram {status.part} of {status.parts}"
            log_event("status_unreadable", level="warning", detail=detail)
            return
        self._note_stranger(status.instance, sender)
        known = self._heard.get(status.instance)
        if known is not None and known.status.process != status.process:
            known = None
        heard = add_datagram(known, status, self._clock.monotonic())
        if heard is None:
            return
        if known is None or known.status.serving != status.serving:
            log_event("member_heard", member=status.instance, serving=status.serving)
        self._heard[status.instance] = heard
        if known is None and self._has_work():
            # A new process knows no loads yet.
            self.announce({status.instance})
        self._on_status(status)

    def _note_stranger(self, name, sender):
        known = self._registered.get(name)
        if known is not None and sender in (None, known.peer_address):
            return
        now = self._clock.monotonic()
        if now - self._strangers.get(name, -STRANGER_S) < STRANGER_S:
            return
        if len(self._strangers) >= MOST_STRANGERS:
            self._strangers.clear()
        self._strangers[name] = now
        log_event("stranger_heard", member=name, address=sender)
        self._on_stranger()

    def changes(self):
        """Returns the next status of this process, with changed loads only."""
        self._sequence += 1
        loads = self._report_own().loads
        changed = {
            name: each
            for name, each in loads.items()
            if each != self._reported.get(name)
        }
        ended = {name: ServerLoad() for name in self._reported if name not in loads}
        self._reported = dict(loads)
        return PeerStatus(
            instance=self.own.instance,
            process=self._process,
            sequence=self._sequence,
            serving=self.serving,
            loads=changed | ended,
            interval_s=self.interval_s(),
            only_changes=True,
        )

    def status(self):
        """Returns the next status of this process."""
        self._sequence += 1
        own = self._report_own()
        self._reported = dict(own.loads)
        return PeerStatus(
            instance=self.own.instance,
            process=self._process,
            sequence=self._sequence,
            serving=self.serving,
            loads=own.loads,
            demands=own.demands,
            switching=own.switching,
            interval_s=self.interval_s(),
            crashes=own.crashes,
            versions=own.versions,
            lost_handles=own.lost_handles,
            era=own.era,
            configuration=own.configuration,
            leaving=own.leaving,
        )

    def start(self):
        """Opens the socket and returns the jobs to run."""
        host, port = self.own.peer_address.rsplit(":", 1)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, int(port)))
        return (gevent.spawn(self._receive), gevent.spawn(self._report))

    def close(self):
        """Closes the socket."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def announce(self, names=None, only_changes=False):
        """Reports at once, as after a change of `serving`.

        Args:
            names: Instances to report to; all if None.
            only_changes: Whether only changed loads are reported.
        """
        if self._socket is None:
            return
        status = self.changes() if only_changes else self.status()
        frames = [encode_datagram(each) for each in split_report(status)]
        for name, each in tuple(self._registered.items()):
            if name != self.own.instance and (names is None or name in names):
                for frame in frames:
                    self._send(frame, each.peer_address)

    def _send(self, frame, address):
        host, port = address.rsplit(":", 1)
        try:
            self._socket.sendto(frame, (host, int(port)))
        except OSError as exc:
            log_event("status_not_sent", level="debug", address=address, code=exc.errno)

    def _audience(self):
        """Returns the names of those that get a regular report; None for all.

        An instance that stands by matters to its own availability zone, where lookups
        may name it next, and to those that serve.
        """
        if self.is_busy():
            return None
        zone = self.own.availability_zone
        near = {
            name
            for name, each in self._registered.items()
            if each.availability_zone == zone
        }
        return near | self._busy_names()

    def hasten(self):
        """Lets the next report follow soon, as after a change of the loads."""
        self._changed.set()

    def _report(self):
        reported_at = self._clock.monotonic()
        while True:
            self._changed.wait(REPORT_INTERVAL_S - HASTY_INTERVAL_S)
            changed = self._changed.is_set()
            self._changed.clear()
            now = self._clock.monotonic()
            if now - reported_at >= self.interval_s():
                self.announce(self._audience())
                reported_at = now
            elif changed:
                self.announce(self._busy_names(), only_changes=True)
            self._clock.sleep(HASTY_INTERVAL_S)

    def _receive(self):
        while True:
            try:
                frame, (host, port) = self._socket.recvfrom(RECEIVE_BYTES)
                status = msgspec.msgpack.decode(frame, type=PeerStatus)
                self.hear(status, f"{host}:{port}")
            except OSError as exc:
                log_event("status_receive_failed", level="warning", code=exc.errno)
                self._clock.sleep(self.interval_s())
            except msgspec.DecodeError as exc:
                log_event("status_unreadable", level="warning", detail=str(exc))
