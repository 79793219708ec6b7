"""Copies the in-flight table to two guards, which cancel for a dead daemon."""

import uuid

import gevent
import gevent.event

from amaranthbay.dispatch.guard_messages import (
    CopiedRecord,
    InFlightAck,
    InFlightBatch,
)
from amaranthbay.observe import log_event
from amaranthbay.utils.rendezvous import rendezvous_order

__all__ = ["RecordCopier", "guards_of"]

GUARD_COUNT = 2
# A slow peer must never block a request for longer.
ACK_BOUND_S = 0.025
# Records that arrive within this time share a message.
GATHER_S = 0.001
REPLY_TIMEOUT_S = 1.0
# Ended attempts wait for the next batch up to this long; a guard that knows one
# for longer only repeats a cancellation.
ENDED_DELAY_S = 1.0
# At most about 400 bytes a record and 40 an ended attempt, so that a batch stays
# below the 64 KB of a message.
BATCH_RECORDS = 80
BATCH_ENDED = 500
# How often the choice of guards is checked while no request arrives.
REVIEW_S = 1.0


def guards_of(instance, members, count=GUARD_COUNT):
    """Returns the instances that guard a daemon, in rendezvous order.

    Args:
        instance: Instance that is guarded.
        members: Candidates as `membership.types.Member`.
        count: Number of guards.
    """
    names = {each.instance for each in members} - {instance}
    return rendezvous_order(f"guard|{instance}", names)[:count]


class _Link:
    """What one guard still has to learn."""

    def __init__(self, instance):
        self.instance = instance
        self.sequence = 0
        self.snapshot = True
        self.entered = {}
        self.ended = set()
        self.changed = gevent.event.Event()
        # Time for which later records wait for the reply to a batch.
        self.patience_s = ACK_BOUND_S
        self.job = None


class RecordCopier:
    """Sends the changes of the in-flight table to the guards, in batches."""

    def __init__(self, table, membership, channel, ack_bound_s=ACK_BOUND_S):
        """Creates the copier.

        Args:
            table: `InFlightTable` of this daemon.
            membership: `Membership`.
            channel: `PeerChannel`.
            ack_bound_s: Longest wait of a request for a guard.
        """
        self._table = table
        self._membership = membership
        self._channel = channel
        self._ack_bound_s = ack_bound_s
        self._process = uuid.uuid4().hex
        self._members = ()
        self._links = {}
        self._acks = {}

    def enter(self, record):
        """Records an attempt and waits shortly until one guard knows it."""
        self._table.add(record)
        self._review()
        if not self._links:
            return False
        acked = self._acks[record.attempt_id] = gevent.event.Event()
        for link in self._links.values():
            link.entered[record.attempt_id] = record
            link.changed.set()
        try:
            known = acked.wait(self._ack_bound_s)
        finally:
            del self._acks[record.attempt_id]
        if not known:
            log_event("guard_ack_missing", attempt_id=record.attempt_id)
        return known

    def leave(self, attempt_id):
        """Removes an attempt that holds nothing any more, or is being cancelled."""
        self._table.remove(attempt_id)
        for link in self._links.values():
            if link.entered.pop(attempt_id, None) is None:
                link.ended.add(attempt_id)

    def run(self):
        """Follows changes of the guards until killed."""
        while True:
            self._review()
            gevent.sleep(REVIEW_S)

    def _review(self):
        """Opens links to new guards and closes those to former ones."""
        members = self._membership.live()
        if members == self._members:
            return
        self._members = members
        chosen = guards_of(self._membership.own().instance, members)
        for instance in set(self._links) - set(chosen):
            self._close(self._links.pop(instance))
        for instance in chosen:
            if instance not in self._links:
                link = self._links[instance] = _Link(instance)
                link.job = gevent.spawn(self._serve, link)
                link.changed.set()

    def _close(self, link):
        """Lets a former guard forget what it keeps."""
        link.job.kill(block=False)
        number = link.sequence + 1
        incarnation = self._membership.own().incarnation
        empty = InFlightBatch(self._process, incarnation, number, True, (), ())
        self._channel.send(link.instance, empty)

    def _serve(self, link):
        """Sends batches to one guard, one at a time and in order."""
        while True:
            if not link.changed.wait(ENDED_DELAY_S) and not link.ended:
                continue
            gevent.sleep(GATHER_S)
            link.changed.clear()
            batch = self._next_batch(link)
            reply = self._ask(link, batch)
            if isinstance(reply, InFlightAck):
                self._note_ack(batch)
            if not isinstance(reply, InFlightAck) or reply.resync:
                # The guard's state is not known, so it gets everything again.
                link.snapshot = True
                gevent.sleep(GATHER_S if reply else ACK_BOUND_S)
                if len(self._table) or batch.ended:
                    link.changed.set()

    def _ask(self, link, batch):
        """Returns the guard's reply, or None if there is none in time.

        A batch that is lost must not hold up the records that come after it: their
        daemon may die before the time of the reply is over. A slow guard gets twice
        the time with each batch that it leaves unanswered.
        """
        job = gevent.spawn(self._channel.ask, link.instance, batch, REPLY_TIMEOUT_S)
        gevent.wait([job], timeout=link.patience_s)
        gevent.wait([job, link.changed], timeout=REPLY_TIMEOUT_S, count=1)
        if job.ready() and job.value is not None:
            link.patience_s = ACK_BOUND_S
            return job.value
        job.kill(block=False)
        link.patience_s = min(REPLY_TIMEOUT_S, 2 * link.patience_s)
        return None

    def _next_batch(self, link):
        snapshot, link.snapshot = link.snapshot, False
        if snapshot:
            link.entered = {each.attempt_id: each for each in self._table.records()}
            link.ended.clear()
        names = list(link.entered)[:BATCH_RECORDS]
        entered = tuple(CopiedRecord.of(link.entered.pop(name)) for name in names)
        ended = tuple(list(link.ended)[:BATCH_ENDED])
        link.ended.difference_update(ended)
        if link.entered or link.ended:
            link.changed.set()
        link.sequence += 1
        incarnation = self._membership.own().incarnation
        return InFlightBatch(
            self._process, incarnation, link.sequence, snapshot, entered, ended
        )

    def _note_ack(self, batch):
        for record in batch.entered:
            acked = self._acks.get(record.attempt_id)
            if acked is not None:
                acked.set()
