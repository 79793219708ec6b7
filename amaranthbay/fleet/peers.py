"""The entry instances of the fleet, which report their status to each other by UDP.

Instances find each other through a table of the store. The reports show which ones are
live, and the work that each has placed on model servers. Lookups give callers the
addresses of a few chosen instances; the others are on standby.

An instance is one entry process, and its peers are the other instances. The table of
instances and the log events call an instance a member.
"""

from amaranthbay.fleet.own_reports import OwnReport, OwnReports
from amaranthbay.fleet.peer_view import (
    MAX_REPORTING,
    MIN_REPORT_INTERVAL_S,
    REPORT_INTERVAL_S,
)
from amaranthbay.fleet.recipients import ReportRecipients
from amaranthbay.fleet.registrations import Registration
from amaranthbay.fleet.report_socket import ReportSocket
from amaranthbay.fleet.reports import (
    Usage,
    add_datagram,
    encode_datagram,
    has_valid_part,
)
from amaranthbay.observe import log_event

__all__ = [
    "MIN_REPORT_INTERVAL_S",
    "OwnReport",
    "Peers",
    "Registration",
]

# Silence of an instance after which it may lack what others have reported.
LONG_SILENCE_S = 5.0
# Shortest time between two reads of the table of instances for the same unknown peer.
READ_COOLDOWN_S = 10.0
# Unknown peers whose last read is remembered; foreign datagrams may have any names.
MAX_UNKNOWN_PEERS = 1000


class Peers(ReportRecipients):
    """View of the other instances, with the exchange of reports with them.

    A status that arrives after a newer one is dropped.
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
        super().__init__(own, clock, has_work, choose, process_number)
        self._on_status = on_status
        self._on_unknown_peer = on_unknown_peer
        self._on_heard_anew = on_heard_anew
        self._own_report = own_report
        self._own_usage = own_usage
        self._unknown_peers = {}
        self._own_reports = OwnReports(own.instance, process_number, self._next_usage)
        self._socket = ReportSocket(
            clock,
            # Looked up for each datagram, as `receive` may be wrapped later.
            lambda status, sender: self.receive(status, sender),
            self.interval_s,
        )

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
        self._keep(merged)
        # Usage that did not fit beside a full report is no report of changes, and its
        # sender doesn't wait.
        has_changes = status.only_changes and not merged.has_report(status.sequence)
        if (has_changes and status.usage.charged) or (
            status.usage.joins and self.is_busy()
        ):
            self._waiting.add(status.instance)
            self.report_soon(only_answers=True)
        self._note_charging(status.instance, status.usage, now)
        self._note_relayed(status, now)
        if len(self._received) > MAX_REPORTING:
            self._usage_paths.forget(self._forget_most_silent())
        if previous is None and self._has_work():
            # A new process doesn't know the loads of this one yet.
            self.report_now({status.instance})
        self._on_status(status)

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
        loads = self._own_report().loads if with_loads else None
        return self._own_reports.changes(loads, self.serving, self.interval_s())

    def next_report(self):
        """Creates the next full report as a `PeerStatus`."""
        report = self._own_report()
        return self._own_reports.full(report, self.serving, self.interval_s())

    def start(self, jobs):
        """Opens the socket and starts to send and receive reports.

        Args:
            jobs: `JobGroup` that runs the jobs which send and receive.
        """
        self._socket.open(self.own.peer_address)
        jobs.start("receive_reports", self._socket.receive_loop)
        jobs.start("send_reports", self._report_loop)

    def close(self):
        """Closes the socket."""
        self._socket.close()

    def report_now(self, names=None):
        """Sends a full report at once, as after a change of `serving`.

        Args:
            names: Names of the recipients; all registered instances if None.
        """
        if self._socket.is_open():
            self._send_report(names, self.next_report())

    def _send_report(self, names, status):
        """Sends a report to registered instances; to all if ``names`` is None."""
        if status.only_changes and not (status.loads or status.usage.has_news()):
            # What was placed since the last report has ended already.
            return
        names = self._registered if names is None else names
        for recipients, datagrams in self.split_by_recipients(names, status):
            frames = [encode_datagram(datagram) for datagram in datagrams]
            for name, registration in tuple(self._registered.items()):
                if name != self.own.instance and name in recipients:
                    for frame in frames:
                        self._socket.send(frame, registration.peer_address)

    def take_changes(self):
        """Returns the recipients' names and the `PeerStatus` of a report of changes."""
        recipients, with_loads = self.take_recipients()
        return recipients, self.next_changes(with_loads)

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
