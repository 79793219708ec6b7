"""Group commit: one transaction for the single writes of concurrent requests."""

from collections import deque
from dataclasses import dataclass, field

import gevent
import gevent.event
import gevent.lock

from amaranthbay.kernel.interfaces import TableService
from amaranthbay.platform.types import CommitOutcome, CommitState, Write

__all__ = ["GroupedTable"]

MAX_GROUP_ROWS = 50
GROUP_DELAY_S = 0.005
# While this many groups are in flight, further writes accumulate. A low rate limit thus
# leads to larger groups instead of a queue of small ones.
MAX_GROUPS_IN_FLIGHT = 4


@dataclass(frozen=True)
class _PendingWrite:
    """A write that waits for the commit of its group."""

    write: Write
    outcome: gevent.event.AsyncResult = field(default_factory=gevent.event.AsyncResult)


class GroupedTable(TableService):
    """Table service that commits the writes of several greenlets in one transaction.

    Each write still gets its own outcome: a write whose condition fails is removed
    from its group, and the group is committed again without it.
    """

    def __init__(self, table, max_rows=MAX_GROUP_ROWS, delay_s=GROUP_DELAY_S):
        """Creates the service.

        Args:
            table: `TableService` that commits the groups.
            max_rows: Maximum number of writes in a group.
            delay_s: Seconds to wait for further writes before a group is committed.
        """
        self._table = table
        self._max_rows = max_rows
        self._delay_s = delay_s
        self._pending = deque()
        self._group_is_full = gevent.event.Event()
        self._collecting = False
        self._permits = gevent.lock.BoundedSemaphore(MAX_GROUPS_IN_FLIGHT)

    def read(self, key):
        return self._table.read(key)

    def scan(self, prefix, after="", limit=1000):
        return self._table.scan(prefix, after, limit)

    def commit(self, writes):
        if len(writes) != 1:
            return self._table.commit(writes)
        pending = _PendingWrite(writes[0])
        self._pending.append(pending)
        if len(self._pending) >= self._max_rows:
            self._group_is_full.set()
        if not self._collecting:
            self._collecting = True
            gevent.spawn(self._collect)
        return pending.outcome.get()

    def _collect(self):
        """Forms groups and starts their commits until no write is pending."""
        while self._pending:
            self._group_is_full.wait(self._delay_s)
            self._permits.acquire()
            gevent.spawn(self._commit_and_release, self._take_group())
        self._collecting = False

    def _take_group(self):
        """Removes the next group from the pending writes; its keys are distinct.

        The platform checks all conditions of a transaction before it applies any
        write, so two writes that both require a row to be absent would both succeed.
        """
        group, deferred = {}, []
        while self._pending and len(group) < self._max_rows:
            pending = self._pending.popleft()
            if pending.write.key in group:
                deferred.append(pending)
            else:
                group[pending.write.key] = pending
        self._pending.extendleft(reversed(deferred))
        if len(self._pending) < self._max_rows:
            self._group_is_full.clear()
        return list(group.values())

    def _commit_and_release(self, group):
        try:
            self._commit_group(group)
        finally:
            self._permits.release()
            for pending in group:
                if not pending.outcome.ready():
                    # After an exception, the write may have taken effect.
                    pending.outcome.set(CommitOutcome(CommitState.UNKNOWN, {}))

    def _commit_group(self, group):
        while group:
            outcome = self._table.commit([pending.write for pending in group])
            if outcome.state is not CommitState.CONFLICT or len(group) == 1:
                _set_outcome(group, outcome)
                return
            conflicting = [
                pending for pending in group if pending.write.key in outcome.conflicts
            ]
            if not conflicting:
                self._commit_one_by_one(group)
                return
            _set_outcome(conflicting, outcome)
            group = [pending for pending in group if pending not in conflicting]

    def _commit_one_by_one(self, group):
        """Commits the writes of a group whose conflict named none of its keys."""
        for pending in group:
            _set_outcome([pending], self._table.commit([pending.write]))


def _set_outcome(group, outcome):
    for pending in group:
        pending.outcome.set(outcome)
