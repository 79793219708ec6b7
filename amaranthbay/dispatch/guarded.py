"""Keeps in-flight records of other daemons, to cancel the attempts of dead ones."""

from collections import OrderedDict

import gevent

from amaranthbay.dispatch.guard_messages import (
    AttemptTakenOver,
    InFlightAck,
    InFlightBatch,
)
from amaranthbay.observe import log_event

__all__ = ["GuardedRecords"]

# Time in which a caller whose daemon died can resume its answer at another daemon.
TAKEOVER_GRACE_S = 2.0
RECORD_LIMIT = 20_000
TAKEOVER_LIMIT = 10_000
# Largest number of dead daemons to remember; more than a deployment replaces within a
# week.
DEAD_LIMIT = 4096


class _ProcessCopies:
    """Copies of the in-flight records of one guarded process.

    Attributes:
        instance: Instance of the daemon.
        incarnation: Its highest incarnation seen in a batch.
        sequence: Highest sequence number of a batch.
        records: `CopiedRecord` by attempt id.
    """

    def __init__(self, instance):
        self.instance = instance
        self.incarnation = 0
        self.sequence = 0
        self.records = {}


class GuardedRecords:
    """Copies of the in-flight records of the daemons that this daemon guards.

    Records are kept by process, not by instance: a restarted daemon never inherits the
    attempts of the process before it, and a daemon that only raised its incarnation to
    refute a suspicion keeps its attempts.
    """

    def __init__(self, membership, channel, cancels, clock, limit=RECORD_LIMIT):
        """Registers the message handlers and the callback for deaths.

        Args:
            membership: `Membership` that reports proven deaths.
            channel: `PeerChannel` that receives the records.
            cancels: `CancelQueue`.
            clock: `Clock` for the grace time before cancellations.
            limit: Largest number of records of all processes together.
        """
        self._cancels = cancels
        self._clock = clock
        self._limit = limit
        self._by_process = {}
        self._dead_incarnations = {}
        self._taken_over = OrderedDict()
        membership.on_death(self._on_death)
        channel.register_handler(InFlightBatch, self._on_batch)
        channel.register_handler(AttemptTakenOver, self._on_taken_over)

    def __len__(self):
        return sum(len(copies.records) for copies in self._by_process.values())

    def _on_batch(self, sender, batch):
        if batch.incarnation <= self._dead_incarnations.get(sender, -1):
            # The sender was proven dead before its batch arrived.
            self._cancel_later(batch.entered)
            return InFlightAck(resync=False)
        copies = self._by_process.get(batch.process)
        if copies is None:
            copies = self._by_process[batch.process] = _ProcessCopies(sender)
        missed = not batch.snapshot and batch.sequence != copies.sequence + 1
        copies.sequence = max(copies.sequence, batch.sequence)
        copies.incarnation = max(copies.incarnation, batch.incarnation)
        if batch.snapshot:
            copies.records.clear()
        for attempt_id in batch.ended:
            copies.records.pop(attempt_id, None)
        free = self._limit - len(self)
        for record in batch.entered[: max(0, free)]:
            copies.records[record.attempt_id] = record
        if len(batch.entered) > free:
            log_event("guard_full", level="error", daemon=sender)
        return InFlightAck(resync=missed)

    def _on_taken_over(self, sender, message):
        self.take_over(message.attempt_id)
        return InFlightAck(resync=False)

    def take_over(self, attempt_id):
        """Records that another daemon has resumed an attempt, so it isn't cancelled."""
        self._taken_over[attempt_id] = True
        if len(self._taken_over) > TAKEOVER_LIMIT:
            self._taken_over.popitem(last=False)

    def _on_death(self, member):
        """Cancels the attempts of a daemon that is proven dead."""
        latest = self._dead_incarnations.get(member.instance, -1)
        self._dead_incarnations[member.instance] = max(latest, member.incarnation)
        if len(self._dead_incarnations) > DEAD_LIMIT:
            del self._dead_incarnations[next(iter(self._dead_incarnations))]
        for process, copies in list(self._by_process.items()):
            same_instance = copies.instance == member.instance
            if same_instance and copies.incarnation <= member.incarnation:
                del self._by_process[process]
                log_event(
                    "guard_cancels",
                    daemon=member.instance,
                    dead_incarnation=member.incarnation,
                    count=len(copies.records),
                )
                self._cancel_later(tuple(copies.records.values()))

    def _cancel_later(self, records):
        if records:
            gevent.spawn(self._cancel, records)

    def _cancel(self, records):
        self._clock.sleep(TAKEOVER_GRACE_S)
        for record in records:
            if self._taken_over.pop(record.attempt_id, None) is not None:
                continue
            for server in record.backend_servers():
                self._cancels.cancel(server, record.attempt_id, unanswered=True)
