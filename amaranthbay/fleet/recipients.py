"""Who gets which reports of this process, and when one is requested."""

import gevent.event
import msgspec

from amaranthbay.fleet.peer_view import PeerView
from amaranthbay.fleet.reports import split_report
from amaranthbay.fleet.usage_paths import UsagePaths

__all__ = ["ReportRecipients"]


class ReportRecipients(PeerView):
    """View of the other instances, with the reports that they wait for."""

    def __init__(self, own, clock, has_work, choose, process_number):
        """Creates it; no report is requested.

        Args:
            own: `Registration` of this process.
            clock: `Clock`.
            has_work: Function that returns whether this process has loads.
            choose: Function of the live instances that returns those whose addresses
                lookups give to callers.
            process_number: Number that identifies this process among its peers.
        """
        super().__init__(own, clock, has_work, choose)
        self._usage_paths = UsagePaths(clock, process_number)
        self._report_requested = gevent.event.Event()
        self._has_changes = False
        # Instances whose reports of changes have charges that were not answered yet.
        self._waiting = set()
        self._joins = False

    def split_by_recipients(self, names, status):
        """Returns pairs of recipients and the datagrams of a report for them.

        Only instances that take part in quotas wait to hear that their charges are
        known, and only those that take part are waited for. Full reports to or from
        others leave out the confirmations, as bytes between availability zones cost
        money.
        """
        if status.usage.relayed:
            asking = self._usage_paths.asking_names().intersection(names)
            usage = msgspec.structs.replace(status.usage, relayed=())
            rest = msgspec.structs.replace(status, usage=usage)
            return [
                *self._split_by_confirmations(asking, status),
                *self._split_by_confirmations(set(names) - asking, rest),
            ]
        return self._split_by_confirmations(names, status)

    def _split_by_confirmations(self, names, status):
        usage = status.usage
        if status.only_changes and not (status.loads or usage.has_news()):
            return []
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

    def take_recipients(self):
        """Returns the recipients' names of a report of changes, and if it has loads.

        It goes to the busy instances, to those that charge, and to those that wait to
        hear that their charges are known here. If nothing else was requested, it goes
        to the latter only.
        """
        waiting = self._waiting | self._usage_paths.asking_names()
        waiting |= self._usage_paths.helpers_for(waiting)
        self._waiting = set()
        if not self._has_changes:
            return waiting, False
        self._has_changes = False
        return self.busy_names() | self.charging_names() | waiting, True

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

    def _note_relayed(self, status, now):
        """Notes who asks for the usage of others, and whose usage is passed on.

        The latter take part in quotas, although this instance doesn't hear them, if
        they charge or are usually chosen.
        """
        paths = self._usage_paths
        paths.note(status.instance, status.usage, self._name_of)
        for relayed in status.usage.relayed:
            # Usage goes to all who asked, also to its own sender.
            if relayed.instance == self.own.instance:
                continue
            if relayed.instance not in self._registered:
                continue
            paths.note_helper(relayed.instance, relayed, self._name_of)
            if relayed.charged or relayed.instance in self.usually_chosen_names():
                self._charging[relayed.instance] = now
            if relayed.charged:
                self._waiting |= {status.instance, relayed.instance}
                self.report_soon(only_answers=True)

    def _name_of(self, process):
        """Returns the name of the peer with this process; None if unknown."""
        for name, merged in self._received.items():
            if merged.status.process == process:
                return name
        return None
