"""Copies a daemon's in-flight records to its guards.

Guards are two other daemons. When the daemon is proven dead, they cancel its attempts
on the engines.
"""

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
# Longest time that a request waits for a guard, so that slow guards can't block it.
ACK_TIMEOUT_S = 0.025
# Records that are added within this time share a message.
BATCH_DELAY_S = 0.001
REPLY_TIMEOUT_S = 1.0
# Longest time that ended attempts wait for the next batch. A guard that learns late of
# the end of an attempt at most sends a needless cancellation.
ENDED_DELAY_S = 1.0
# A record takes at most about 400 bytes and an ended attempt 40, so a batch stays
# below the 64 KB of a message.
MAX_RECORDS_PER_BATCH = 80
MAX_ENDED_PER_BATCH = 500
# Interval at which the choice of guards is checked while no request arrives.
GUARD_CHECK_INTERVAL_S = 1.0


def guards_of(instance, members, count=GUARD_COUNT):
    """Returns the instances that guard a daemon, in rendezvous order.

    Args:
        instance: Instance of the guarded daemon.
        members: Candidates as `membership.types.Member`; may include the daemon.
        count: Largest number of guards.
    """
    candidates = {member.instance for member in members} - {instance}
    return rendezvous_order(f"guard|{instance}", candidates)[:count]


class _GuardLink:
    """Changes that are still to be sent to one guard.

    Attributes:
        instance: Instance of the guard.
        sequence: Number of the latest batch.
        snapshot: Whether the next batch holds all records.
        entered: Records to send, by attempt id.
        ended: Attempt ids to send as ended.
        changed: Event that is set when there is something to send.
        reply_wait_s: Time for which later records wait for the reply to a batch.
        job: Greenlet that sends the batches.
    """

    def __init__(self, instance):
        self.instance = instance
        self.sequence = 0
        self.snapshot = True
        self.entered = {}
        self.ended = set()
        self.changed = gevent.event.Event()
        self.reply_wait_s = ACK_TIMEOUT_S
        self.job = None


class RecordCopier:
    """Sends the changes of the in-flight table to the guards, in batches."""

    def __init__(self, table, membership, channel, ack_timeout_s=ACK_TIMEOUT_S):
        """Creates the copier.

        Args:
            table: `InFlightTable` of this daemon.
            membership: `Membership` from which the guards are chosen.
            channel: `PeerChannel` to the guards.
            ack_timeout_s: Longest time that a request waits for a guard.
        """
        self._table = table
        self._membership = membership
        self._channel = channel
        self._ack_timeout_s = ack_timeout_s
        self._process = uuid.uuid4().hex
        self._members = ()
        self._links = {}
        self._acks = {}

    def enter(self, record):
        """Records an attempt and waits until one guard has acknowledged the record.

        Args:
            record: `InFlightRecord`.

        Returns:
            Whether a guard acknowledged it within ``ack_timeout_s``; False if there
            is no guard.
        """
        self._table.add(record)
        self._update_links()
        if not self._links:
            return False
        acked = self._acks[record.attempt_id] = gevent.event.Event()
        for link in self._links.values():
            link.entered[record.attempt_id] = record
            link.changed.set()
        try:
            acknowledged = acked.wait(self._ack_timeout_s)
        finally:
            del self._acks[record.attempt_id]
        if not acknowledged:
            log_event("guard_ack_missing", attempt_id=record.attempt_id)
        return acknowledged

    def leave(self, attempt_id):
        """Removes an attempt that no longer holds anything on engines."""
        self._table.remove(attempt_id)
        for link in self._links.values():
            if link.entered.pop(attempt_id, None) is None:
                link.ended.add(attempt_id)

    def run(self):
        """Updates the choice of guards until killed."""
        while True:
            self._update_links()
            gevent.sleep(GUARD_CHECK_INTERVAL_S)

    def _update_links(self):
        """Opens links to new guards and closes the links to former ones."""
        members = self._membership.live()
        if members == self._members:
            return
        self._members = members
        guards = guards_of(self._membership.own().instance, members)
        for instance in set(self._links) - set(guards):
            self._close_link(self._links.pop(instance))
        for instance in guards:
            if instance not in self._links:
                link = self._links[instance] = _GuardLink(instance)
                link.job = gevent.spawn(self._send_batches, link)
                link.changed.set()

    def _close_link(self, link):
        """Makes a former guard delete this daemon's records, by an empty snapshot."""
        link.job.kill(block=False)
        sequence = link.sequence + 1
        incarnation = self._membership.own().incarnation
        empty = InFlightBatch(self._process, incarnation, sequence, True, (), ())
        self._channel.send(link.instance, empty)

    def _send_batches(self, link):
        """Sends batches to one guard, one at a time and in order."""
        while True:
            if not link.changed.wait(ENDED_DELAY_S) and not link.ended:
                continue
            gevent.sleep(BATCH_DELAY_S)
            link.changed.clear()
            batch = self._next_batch(link)
            reply = self._ask(link, batch)
            if isinstance(reply, InFlightAck):
                self._signal_acks(batch)
            if not isinstance(reply, InFlightAck) or reply.resync:
                # Which records the guard has is unknown, so it gets a snapshot.
                link.snapshot = True
                gevent.sleep(BATCH_DELAY_S if reply else ACK_TIMEOUT_S)
                if len(self._table) or batch.ended:
                    link.changed.set()

    def _ask(self, link, batch):
        """Returns the guard's reply, or None if there is none in time.

        If later records are pending, the wait ends after ``link.reply_wait_s``: a lost
        batch must not delay them until `REPLY_TIMEOUT_S`, as this daemon may die
        before. The wait doubles with each unanswered batch, for guards that are slow.
        """
        job = gevent.spawn(self._channel.ask, link.instance, batch, REPLY_TIMEOUT_S)
        gevent.wait([job], timeout=link.reply_wait_s)
        gevent.wait([job, link.changed], timeout=REPLY_TIMEOUT_S, count=1)
        if job.ready() and job.value is not None:
            link.reply_wait_s = ACK_TIMEOUT_S
            return job.value
        job.kill(block=False)
        link.reply_wait_s = min(REPLY_TIMEOUT_S, 2 * link.reply_wait_s)
        return None

    def _next_batch(self, link):
        snapshot, link.snapshot = link.snapshot, False
        if snapshot:
            link.entered = {rec.attempt_id: rec for rec in self._table.records()}
            link.ended.clear()
        attempt_ids = list(link.entered)[:MAX_RECORDS_PER_BATCH]
        entered = tuple(CopiedRecord.of(link.entered.pop(key)) for key in attempt_ids)
        ended = tuple(list(link.ended)[:MAX_ENDED_PER_BATCH])
        link.ended.difference_update(ended)
        if link.entered or link.ended:
            link.changed.set()
        link.sequence += 1
        incarnation = self._membership.own().incarnation
        return InFlightBatch(
            self._process, incarnation, link.sequence, snapshot, entered, ended
        )

    def _signal_acks(self, batch):
        for record in batch.entered:
            acked = self._acks.get(record.attempt_id)
            if acked is not None:
                acked.set()
