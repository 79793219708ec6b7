"""Keeps the in-flight records of other daemons and cancels for the dead ones."""

from collections import OrderedDict

import gevent

from amaranthbay.dispatch.guard_messages import (
    AttemptTakenOver,
    InFlightAck,
    InFlightBatch,
)
from amaranthbay.observe import log_event

__all__ = ["GuardedRecords"]

# A caller whose daemon died gets this long to continue at another daemon.
TAKEOVER_GRACE_S = 2.0
RECORD_LIMIT = 20_000
TAKEN_LIMIT = 10_000
# More instances than a deployment replaces within a week.
DEAD_LIMIT = 4096


class _Ward:
    """Records of one guarded process."""

    def __init__(self, instance):
        self.instance = instance
        self.incarnation = 0
        self.sequence = 0
        self.records = {}


class GuardedRecords:
    """Guard's side of the in-flight copies.

    Records belong to a process, not to an instance: a restarted daemon never
    inherits the work of its predecessor, and one that only raised its incarnation
    to refute a suspicion keeps its own.
    """

    def __init__(self, membership, channel, cancels, clock, limit=RECORD_LIMIT):
        self._cancels = cancels
        self._clock = clock
        self._limit = limit
        self._wards = {}
        self._dead = {}
        self._taken_over = OrderedDict()
        membership.on_death(self._on_death)
        channel.on(InFlightBatch, self._on_batch)
        channel.on(AttemptTakenOver, self._on_taken_over)

    def __len__(self):
        return sum(len(ward.records) for ward in self._wards.values())

    def _on_batch(self, sender, batch):
        if batch.incarnation <= self._dead.get(sender, -1):
            # The batch was on its way while its sender was proven dead.
            self._cancel_later(batch.entered)
            return InFlightAck(resync=False)
        ward = self._wards.get(batch.process)
        if ward is None:
            ward = self._wards[batch.process] = _Ward(sender)
        missed = not batch.snapshot and batch.sequence != ward.sequence + 1
        ward.sequence = max(ward.sequence, batch.sequence)
        ward.incarnation = max(ward.incarnation, batch.incarnation)
        if batch.snapshot:
            ward.records.clear()
        for attempt_id in batch.ended:
            ward.records.pop(attempt_id, None)
        room = self._limit - len(self)
        for record in batch.entered[: max(0, room)]:
            ward.records[record.attempt_id] = record
        if len(batch.entered) > room:
            log_event("guard_full", level="error", daemon=sender)
        return InFlightAck(resync=missed)

    def _on_taken_over(self, sender, message):
        self.take_over(message.attempt_id)
        return InFlightAck(resync=False)

    def take_over(self, attempt_id):
        """Notes that another daemon continues an attempt."""
        self._taken_over[attempt_id] = True
        if len(self._taken_over) > TAKEN_LIMIT:
            self._taken_over.popitem(last=False)

    def _on_death(self, member):
        """Cancels for the processes of a daemon that is proven dead."""
        known = self._dead.get(member.instance, -1)
        self._dead[member.instance] = max(known, member.incarnation)
        if len(self._dead) > DEAD_LIMIT:
            del self._dead[next(iter(self._dead))]
        for process, ward in list(self._wards.items()):
            same = ward.instance == member.instance
            if same and ward.incarnation <= member.incarnation:
                del self._wards[process]
                log_event(
                    "guard_cancels",
                    daemon=member.instance,
                    dead_incarnation=member.incarnation,
                    count=len(ward.records),
                )
                self._cancel_later(tuple(ward.records.values()))

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
