"""The entry instances of the fleet, which report their status to each other by UDP.

Instances find each other through a table of the store. The reports show which ones are
live, and the work that each has placed on model servers. Lookups give callers the
addresses of a few chosen instances; the others are on standby.

An instance is one entry process, and its peers are the other instances. The table of
instances and the log events call an instance a member.
"""

from dataclasses import dataclass, field

import gevent.event
import msgspec
from gevent import socket
from result import Err

from amaranthbay.fleet.load_sums import LoadSums
from amaranthbay.fleet.reports import (
    PeerStatus,
    ServerLoad,
    Usage,
    add_datagram,
    encode_datagram,
    has_valid_part,
    split_report,
)
from amaranthbay.fleet.tables import apply_each
from amaranthbay.observe import log_event
from amaranthbay.utils.decoding import decode_json, decode_msgpack
from amaranthbay.utils.http import is_ip_endpoint, is_valid_address, split_address
from amaranthbay.utils.reading import Turn

__all__ = [
    "MIN_REPORT_INTERVAL_S",
    "OwnReport",
    "Peers",
    "Registration",
]

# Up to this size of the fleet, instances send a full report every `REPORT_INTERVAL_S`.
# In larger fleets they do so less often, so that the rate of datagrams that each
# instance sends doesn't grow with the fleet.
SMALL_FLEET_SIZE = 12
REPORT_INTERVAL_S = 0.2
# Shortest interval between reports of changed loads, a few round trips between zones.
# Several instances that decide on outdated loads would choose the same server.
MIN_REPORT_INTERVAL_S = 0.02
MAX_REPORT_INTERVAL_S = 2.0
# Busy instances send a full report to everybody at least this often. Full reports make
# up for lost reports of changes, and the interval is shorter than the TTL of loads.
MAX_BUSY_INTERVAL_S = 0.6
# Time within which the reports are read that waited in the socket during a pause of
# this process, and the time that a regular report may be late.
QUEUED_S = 0.1
REPORT_MARGIN_S = 0.1
# Number of successive full reports that may be lost before lookups leave out an
# instance.
MAX_MISSED_REPORTS = 4
# Time for which the reported loads of an instance count.
LOAD_TTL_S = 1.0
# Time for which an instance takes part in quotas after its last reported charge. Full
# reports repeat charges, so that one lost report doesn't end it.
CHARGING_S = 3.0
# Silence of an instance after which it may lack what others have reported.
LONG_SILENCE_S = 5.0
# Shortest time between two reads of the table of instances for the same unknown peer.
READ_COOLDOWN_S = 10.0
# Unknown peers whose last read is remembered; foreign datagrams may have any names.
MAX_UNKNOWN_PEERS = 1000
MAX_RECEIVE_BYTES = 2048
# Instances whose reports are kept; three times as many as at the target size.
MAX_REPORTING = 1000


class Registration(msgspec.Struct, frozen=True):
    """Row of one instance in the store.

    Attributes:
        instance: Name of the instance.
        availability_zone: Availability zone of the instance.
        region: Region of the availability zone.
        caller_address: Address to which callers connect.
        peer_address: UDP address at which it receives the reports of other instances.
        cores: Number of its processor cores.
        link_mbps: Rate of its network link in Mbit/s; 0 if unknown.
    """

    instance: str
    availability_zone: str
    region: str
    caller_address: str
    peer_address: str
    cores: float = 1.0
    link_mbps: float = 0.0


def decode_registration(key, body):
    """Decodes the row of an instance; other programs may have written it.

    Args:
        key: Key of the row, which is the name of the instance.
        body: Bytes of the row.

    Returns:
        ``Result[Registration, str]``.
    """
    decoded = decode_json(body, Registration)
    if decoded.is_err():
        return decoded
    registration = decoded.unwrap()
    if registration.instance != key:
        return Err("the row is that of another instance")
    if not is_valid_address(registration.caller_address):
        return Err("the address for callers is not host:port")
    # The resolution of a name blocks the whole process.
    if not is_ip_endpoint(registration.peer_address):
        return Err("the address for reports is not an IP address and a port")
    return decoded


@dataclass(frozen=True)
class OwnReport:
    """Content of a full report of this process; see `PeerStatus` for the fields."""

    loads: dict = field(default_factory=dict)
    demands: dict = field(default_factory=dict)
    switching: dict = field(default_factory=dict)
    crashes: dict = field(default_factory=dict)
    versions: dict = field(default_factory=dict)
    lost_handles: tuple = ()
    era: int | None = None
    configuration: int = 0
    leaving: dict = field(default_factory=dict)
    limits: dict = field(default_factory=dict)
    crashed_parts: dict = field(default_factory=dict)
    sound_parts: tuple = ()
    blocked_parts: dict = field(default_factory=dict)
    sound_requests: tuple = ()
    known_crashes: dict = field(default_factory=dict)


class Peers:
    """View of the table of instances, with the reports that they send.

    A status that arrives after a newer one is dropped.

    Attributes:
        own: `Registration` of this process.
        serving: Whether callers may be sent to this process.
        is_table_read: Whether the table of instances has been read. Before, this
            process is the only registered instance.
    """

    def __init__(
        self,
        own,
        clock,
        own_report,
        has_work,
        process_number,
        choose=lambda live: live,
        on_status=lambda status: None,
        on_unknown_peer=lambda: None,
        on_heard_anew=lambda: None,
        own_usage=lambda only_changes: Usage(),
    ):
        """Creates the view.

        Args:
            own: `Registration` of this process.
            clock: `Clock`.
            own_report: Function that returns the `OwnReport` of this process.
            has_work: Function that returns whether this process has loads. It is called
                for each report, and costs less than ``own_report``.
            process_number: Random number that identifies this process. The time of its
                start would not be unique, since clocks may step back.
            choose: Function of the live instances that returns those whose addresses
                lookups give to callers.
            on_status: Function that is called with each new `PeerStatus` of a peer.
            on_unknown_peer: Function that is called without arguments when a report
                comes from an unregistered instance, or from another address than the
                registered one.
            on_heard_anew: Function that is called without arguments when a new process
                is heard, or one that was silent for `LONG_SILENCE_S`.
            own_usage: Function that returns the `Usage` of this process. Its argument
                tells whether only charges that peers have not heard of are needed.
        """
        self.own = own
        self.serving = False
        self.is_table_read = False
        self._clock = clock
        self._own_report = own_report
        self._has_work = has_work
        self._choose = choose
        self._choice_cache = None
        self._on_status = on_status
        self._on_unknown_peer = on_unknown_peer
        self._on_heard_anew = on_heard_anew
        self._own_usage = own_usage
        self._unknown_peers = {}
        self._reported_loads = {}
        self._registered = {own.instance: own}
        self._received = {}
        self._load_sums = LoadSums()
        # Names of the peers whose last report is not in the sums yet.
        self._unsummed = set()
        self._sequence = 0
        self._process_number = process_number
        self._socket = None
        self._report_requested = gevent.event.Event()
        self._has_changes = False
        # Instances whose reports of changes have charges that were not answered yet.
        self._waiting = set()
        # Time of the last report with charges of each instance, this one included.
        self._charging = {}
        self._joins = False

    def replace(self, rows, restored=False):
        """Applies the whole table.

        After a restore, instances whose rows are gone stay registered while they
        report; they write their rows again.
        """
        reporting = (
            {status.instance for status in self._reporting_statuses()}
            if restored
            else ()
        )
        self._registered = {
            name: registration
            for name, registration in self._registered.items()
            if name in reporting
        }
        self._registered[self.own.instance] = self.own
        self.is_table_read = True
        self.apply(rows)

    def apply(self, rows):
        """Applies changed rows."""
        apply_each(rows, self._apply_row)

    def _apply_row(self, row):
        if row.key == self.own.instance:
            return
        if row.value is None:
            self._registered.pop(row.key, None)
            return
        decoded = decode_registration(row.key, row.value)
        if decoded.is_err():
            log_event(
                "registration_unreadable",
                level="warning",
                member=row.key,
                detail=decoded.unwrap_err(),
            )
            return
        registration = decoded.unwrap()
        self._registered[row.key] = registration
        log_event(
            "member_registered", member=row.key, address=registration.caller_address
        )

    def registrations(self):
        """Returns the `Registration` of each instance that the store names."""
        return self._registered.values()

    def known_names(self):
        """Returns the names of all instances that may run, this one included.

        Instances that the store names stay registered while they are silent. Others are
        known by their reports alone, as the store has not been read since they came.
        """
        reporting = {status.instance for status in self._reporting_statuses()}
        return frozenset(self._registered) | reporting

    def wait_for_majority(self):
        """Waits for new reports of most registered instances.

        Earlier reports say nothing of what the others know now: this instance may have
        been cut off since, or paused while reports waited in its socket.

        Returns:
            Whether they have arrived within the time between two regular reports.
        """
        since = self._clock.monotonic() + QUEUED_S
        ends_at = since + self._idle_interval_s() + REPORT_MARGIN_S
        while not self._hears_majority(since):
            if self._clock.monotonic() >= ends_at:
                return False
            self._clock.sleep(MIN_REPORT_INTERVAL_S)
        return True

    def _hears_majority(self, since):
        """Returns whether most registered instances have reported since a time."""
        heard = {
            name
            for name, merged in self._received.items()
            if merged.received_at > since
        }
        heard = heard.intersection(self._registered) | {self.own.instance}
        return 2 * len(heard) > len(self._registered)

    def interval_s(self):
        """Returns the seconds between two regular full reports."""
        interval_s = self._idle_interval_s()
        return min(interval_s, MAX_BUSY_INTERVAL_S) if self.is_busy() else interval_s

    def _idle_interval_s(self):
        size_factor = max(1.0, len(self._registered) / SMALL_FLEET_SIZE)
        return min(MAX_REPORT_INTERVAL_S, REPORT_INTERVAL_S * size_factor)

    def is_busy(self):
        """Returns whether callers are sent to this instance, or it has work left."""
        own = self.own.instance
        return self._has_work() or own in self.busy_names() | self.charging_names()

    def is_chosen(self):
        """Returns whether lookups give callers the address of this instance."""
        return self.own.instance in self.chosen_names()

    def chosen_names(self):
        """Returns the names of the instances that lookups give to callers."""
        return self._choice()[1]

    def chosen_instances(self):
        """Returns the `Registration` of each instance that lookups give to callers."""
        return self._choice()[0]

    def _choice(self):
        """Returns the chosen instances and their names.

        Each report needs the choice, and in a large fleet it costs more than a report.
        It is cached while the live instances stay the same.
        """
        live = self.live()
        if self._choice_cache is None or self._choice_cache[:2] != (self._choose, live):
            chosen = tuple(self._choose(live))
            names = frozenset(registration.instance for registration in chosen)
            self._choice_cache = (self._choose, live, (chosen, names))
        return self._choice_cache[2]

    def received(self):
        """Returns the `MergedReport` of each peer by name, whatever its age."""
        return self._received

    def busy_names(self):
        """Returns the names of the chosen instances and of those that report loads."""
        loaded = {status.instance for status in self.fresh_statuses() if status.loads}
        return self.chosen_names() | loaded

    def charging_names(self):
        """Returns the names of the instances that have charged quotas lately."""
        now = self._clock.monotonic()
        return {
            name
            for name, charged_at in self._charging.items()
            if now - charged_at <= CHARGING_S
        }

    def live(self):
        """Returns the `Registration` of each instance that callers may use."""
        registrations = [self.own] if self.serving else []
        for status in self._reporting_statuses():
            if status.instance in self._registered and status.serving:
                registrations.append(self._registered[status.instance])
        return registrations

    def _reporting_statuses(self):
        """Returns the newest `PeerStatus` of each peer whose reports still arrive."""
        now = self._clock.monotonic()
        return [
            merged.status
            for merged in self._received.values()
            if now - merged.received_at <= MAX_MISSED_REPORTS * merged.status.interval_s
        ]

    def fresh_statuses(self):
        """Returns the `PeerStatus` of each peer that is younger than `LOAD_TTL_S`."""
        now = self._clock.monotonic()
        return [
            merged.status
            for merged in self._received.values()
            if now - merged.received_at <= LOAD_TTL_S
        ]

    def loads(self):
        """Returns the sum of the `ServerLoad` of all peers, by server.

        Callers don't change it.
        """
        now = self._clock.monotonic()
        for name in self._unsummed:
            merged = self._received.get(name)
            self._load_sums.replace(name, merged.status.loads if merged else {})
        self._unsummed.clear()
        for name in tuple(self._load_sums.names()):
            merged = self._received.get(name)
            if merged is None or now - merged.received_at > LOAD_TTL_S:
                self._load_sums.replace(name, {})
        return self._load_sums.sums()

    def placers(self):
        """Returns the number of peers that `loads` contains, by server."""
        return self._load_sums.placers()

    def switching(self):
        """Returns the target stage of each server that peers have ordered to switch.

        A switch takes longer than `LOAD_TTL_S`. The last report of a peer counts until
        the peer has missed several reports.
        """
        switching = {}
        for status in self._reporting_statuses():
            switching |= status.switching
        return switching

    def lost_handles(self):
        """Returns the prefill servers whose KV cache peers could not fetch."""
        servers = set()
        for status in self.fresh_statuses():
            servers.update(status.lost_handles)
        return frozenset(servers)

    def newest_configuration(self):
        """Returns the highest version that peers report as in force; 0 if none."""
        return max(
            (status.configuration for status in self._reporting_statuses()), default=0
        )

    def demands(self, service):
        """Returns the `MeasuredDemand` of a service from each peer that has one."""
        demands = [status.demands.get(service) for status in self.fresh_statuses()]
        return [demand for demand in demands if demand is not None]

    def receive(self, status, sender=None):
        """Processes one datagram of a peer.

        Args:
            status: `PeerStatus` of the datagram.
            sender: Address that it came from; None if unknown.
        """
        if status.instance == self.own.instance:
            return
        if not has_valid_part(status):
            detail = f"part {status.part} of {status.parts} is out of range"
            log_event("status_unreadable", level="warning", detail=detail)
            return
        self._check_registration(status.instance, sender)
        previous = self._received.get(status.instance)
        if previous is not None and previous.status.process != status.process:
            previous = None
        now = self._clock.monotonic()
        merged = add_datagram(previous, status, now)
        if merged is None:
            return
        if previous is None or now - previous.received_at > LONG_SILENCE_S:
            self._on_heard_anew()
        if previous is None or previous.status.serving != status.serving:
            log_event("member_heard", member=status.instance, serving=status.serving)
        self._received[status.instance] = merged
        self._unsummed.add(status.instance)
        # Usage that did not fit beside a full report is no report of changes, and its
        # sender doesn't wait.
        has_changes = status.only_changes and not merged.has_report(status.sequence)
        if (has_changes and status.usage.charged) or (
            status.usage.joins and self.is_busy()
        ):
            self._waiting.add(status.instance)
            self.report_soon(only_answers=True)
        self._note_charging(status.instance, status.usage, now)
        if len(self._received) > MAX_REPORTING:
            self._forget_silent()
        if previous is None and self._has_work():
            # A new process doesn't know the loads of this one yet.
            self.report_now({status.instance})
        self._on_status(status)

    def _forget_silent(self):
        """Forgets the instance that has been silent for longest."""
        silent = min(self._received, key=lambda name: self._received[name].received_at)
        del self._received[silent]
        self._charging.pop(silent, None)

    def _note_charging(self, name, usage, now):
        if usage.charged or usage.joins:
            self._charging[name] = now

    def _next_usage(self, only_changes):
        usage = self._own_usage(only_changes)
        self._note_charging(self.own.instance, usage, self._clock.monotonic())
        return usage

    def _check_registration(self, name, sender):
        """Calls ``on_unknown_peer`` if no instance has registered with this address.

        It does so at most once per `READ_COOLDOWN_S` for each name.
        """
        registration = self._registered.get(name)
        if registration is not None and sender in (None, registration.peer_address):
            return
        now = self._clock.monotonic()
        if now - self._unknown_peers.get(name, -READ_COOLDOWN_S) < READ_COOLDOWN_S:
            return
        if len(self._unknown_peers) >= MAX_UNKNOWN_PEERS:
            self._unknown_peers.clear()
        self._unknown_peers[name] = now
        log_event("stranger_heard", member=name, address=sender)
        self._on_unknown_peer()

    def next_changes(self, with_loads=True):
        """Creates the next report as a `PeerStatus`, with changes only.

        Args:
            with_loads: Whether it has the changed loads; it must then go to all busy
                instances.
        """
        self._sequence += 1
        loads = self._own_report().loads if with_loads else self._reported_loads
        changed = {
            name: load
            for name, load in loads.items()
            if load != self._reported_loads.get(name)
        }
        ended = {
            name: ServerLoad() for name in self._reported_loads if name not in loads
        }
        self._reported_loads = dict(loads)
        return PeerStatus(
            instance=self.own.instance,
            process=self._process_number,
            sequence=self._sequence,
            serving=self.serving,
            loads=changed | ended,
            interval_s=self.interval_s(),
            only_changes=True,
            usage=self._next_usage(True),
        )

    def next_report(self):
        """Creates the next full report as a `PeerStatus`."""
        self._sequence += 1
        report = self._own_report()
        self._reported_loads = dict(report.loads)
        return PeerStatus(
            instance=self.own.instance,
            process=self._process_number,
            sequence=self._sequence,
            serving=self.serving,
            loads=report.loads,
            demands=report.demands,
            switching=report.switching,
            interval_s=self.interval_s(),
            crashes=report.crashes,
            versions=report.versions,
            lost_handles=report.lost_handles,
            era=report.era,
            configuration=report.configuration,
            leaving=report.leaving,
            limits=report.limits,
            crashed_parts=report.crashed_parts,
            sound_parts=report.sound_parts,
            blocked_parts=report.blocked_parts,
            sound_requests=report.sound_requests,
            known_crashes=report.known_crashes,
            usage=self._next_usage(False),
        )

    def start(self, jobs):
        """Opens the socket and starts to send and receive reports.

        Args:
            jobs: `JobGroup` that runs the jobs which send and receive.
        """
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(split_address(self.own.peer_address))
        jobs.start("receive_reports", self._receive_loop)
        jobs.start("send_reports", self._report_loop)

    def close(self):
        """Closes the socket."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def report_now(self, names=None):
        """Sends a full report at once, as after a change of `serving`.

        Args:
            names: Names of the recipients; all registered instances if None.
        """
        if self._socket is not None:
            self._send_report(names, self.next_report())

    def _send_report(self, names, status):
        """Sends a report to registered instances; to all if ``names`` is None."""
        usage = status.usage
        if status.only_changes and not (status.loads or usage.charged or usage.heard):
            # What was placed since the last report has ended already.
            return
        names = self._registered if names is None else names
        for recipients, datagrams in self.split_by_recipients(names, status):
            frames = [encode_datagram(datagram) for datagram in datagrams]
            for name, registration in tuple(self._registered.items()):
                if name != self.own.instance and name in recipients:
                    for frame in frames:
                        self._send(frame, registration.peer_address)

    def split_by_recipients(self, names, status):
        """Returns pairs of recipients and the datagrams of a report for them.

        Only instances that take part in quotas wait to hear that their charges are
        known, and only those that take part are waited for. Full reports to or from
        others leave out the confirmations, as bytes between availability zones cost
        money.
        """
        usage = status.usage
        if status.only_changes or not usage.heard:
            return [(names, split_report(status))]
        taking_part = self.busy_names() | self.charging_names()
        waiting = taking_part.intersection(names) if self.is_busy() else set()
        usage = msgspec.structs.replace(usage, heard={})
        pairs = [
            (waiting, status),
            (set(names) - waiting, msgspec.structs.replace(status, usage=usage)),
        ]
        return [(group, split_report(report)) for group, report in pairs if group]

    def _send(self, frame, address):
        try:
            self._socket.sendto(frame, split_address(address))
        except OSError as exc:
            log_event("status_not_sent", level="debug", address=address, code=exc.errno)

    def _recipients(self):
        """Returns the names of the recipients of full reports; None for all.

        An instance on standby reports to its own availability zone, where it may be
        chosen next, and to the busy instances.
        """
        if self.is_busy():
            return None
        zone = self.own.availability_zone
        in_zone = {
            name
            for name, registration in self._registered.items()
            if registration.availability_zone == zone
        }
        return in_zone | self.busy_names()

    def take_changes(self):
        """Returns the recipients' names and the `PeerStatus` of a report of changes.

        It goes to the busy instances, to those that charge, and to those that wait to
        hear that their charges are known here. If nothing else was requested, it goes
        to the latter only.
        """
        waiting, self._waiting = self._waiting, set()
        if not self._has_changes:
            return waiting, self.next_changes(with_loads=False)
        self._has_changes = False
        recipients = self.busy_names() | self.charging_names() | waiting
        return recipients, self.next_changes()

    def report_soon(self, only_answers=False):
        """Requests a report of changes; returns at once.

        Args:
            only_answers: Whether only those need it that have reported charges.
        """
        self._has_changes |= not only_answers
        self._report_requested.set()

    def join(self):
        """Requests a full report to all; returns at once.

        Instances on standby in different availability zones have no reports of each
        other, and a report of changes alone would be dropped.
        """
        self._joins = True
        self._report_requested.set()

    def take_join(self):
        """Returns whether a full report to all was requested since the last call."""
        joins, self._joins = self._joins, False
        return joins

    def _report_loop(self):
        reported_at = self._clock.monotonic()
        while True:
            self._report_requested.wait(REPORT_INTERVAL_S - MIN_REPORT_INTERVAL_S)
            requested = self._report_requested.is_set()
            self._report_requested.clear()
            now = self._clock.monotonic()
            joins = self.take_join()
            if joins or now - reported_at >= self.interval_s():
                self.report_now(None if joins else self._recipients())
                reported_at = now
            elif requested:
                self._send_report(*self.take_changes())
            self._clock.sleep(MIN_REPORT_INTERVAL_S)

    def _receive_loop(self):
        turn = Turn(self._clock)
        while True:
            turn.give_way()
            try:
                frame, (host, port) = turn.wait(
                    self._socket.recvfrom, MAX_RECEIVE_BYTES
                )
            except OSError as exc:
                log_event("status_receive_failed", level="warning", code=exc.errno)
                self._clock.sleep(self.interval_s())
                continue
            decoded = decode_msgpack(frame, PeerStatus)
            if decoded.is_err():
                detail = decoded.unwrap_err()
                log_event("status_unreadable", level="warning", detail=detail)
                continue
            self.receive(decoded.unwrap(), f"{host}:{port}")
