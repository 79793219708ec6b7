"""Groups single writes of concurrent requests into transactions."""

from collections import deque
from dataclasses import dataclass, field

import gevent
import gevent.event
import gevent.lock

from amaranthbay.kernel.interfaces import TableService
from amaranthbay.platform.types import CommitOutcome, CommitState, Write

__all__ = ["GroupedTable"]

GROUP_ROWS = 50
GROUP_DELAY_S = 0.005
# While these are under way further writes collect, so that a low rate limit
# makes groups larger instead of a queue of small ones.
PARALLEL_GROUPS = 4


@dataclass(frozen=True)
class _Pending:
    write: Write
    outcome: gevent.event.AsyncResult = field(default_factory=gevent.event.AsyncResult)


class GroupedTable(TableService):
    """Table service that commits the writes of several greenlets together.

    Each write keeps an outcome of its own: a write whose condition fails is taken
    out of its group and the others are committed again without it.
    """

    def __init__(self, table, rows=GROUP_ROWS, delay_s=GROUP_DELAY_S):
        self._table = table
        self._rows = rows
        self._delay_s = delay_s
        self._pending = deque()
        self._full = gevent.event.Event()
        self._collecting = False
        self._turns = gevent.lock.BoundedSemaphore(PARALLEL_GROUPS)

    def read(self, key):
        return self._table.read(key)

    def scan(self, prefix, after="", limit=1000):
        return self._table.scan(prefix, after, limit)

    def commit(self, writes):
        if len(writes) != 1:
            return self._table.commit(writes)
        pending = _Pending(writes[0])
        self._pending.append(pending)
        if len(self._pending) >= self._rows:
            self._full.set()
        if not self._collecting:
            self._collecting = True
            gevent.spawn(self._collect)
        return pending.outcome.get()

    def _collect(self):
        """Starts groups until no write waits."""
        while self._pending:
            self._full.wait(self._delay_s)
            self._turns.acquire()
            gevent.spawn(self._commit_and_leave, self._take())
        self._collecting = False

    def _take(self):
        """Takes the next group; its keys differ.

        The platform checks all conditions of a transaction before it applies any
        write, so that two writes of one absent row would both succeed.
        """
        group, later = {}, []
        while self._pending and len(group) < self._rows:
            pending = self._pending.popleft()
            if pending.write.key in group:
                later.append(pending)
            else:
                group[pending.write.key] = pending
        self._pending.extendleft(reversed(later))
        if len(self._pending) < self._rows:
            self._full.clear()
        return list(group.values())

    def _commit_and_leave(self, group):
        try:
            self._commit_group(group)
        finally:
            self._turns.release()
            for pending in group:
                if not pending.outcome.ready():
                    pending.outcome.set(CommitOutcome(CommitState.UNKNOWN, {}))

    def _commit_group(self, group):
        while group:
            outcome = self._table.commit([each.write for each in group])
            if outcome.state is not CommitState.CONFLICT or len(group) == 1:
                _resolve(group, outcome)
                return
            refused = [each for each in group if each.write.key in outcome.conflicts]
            if not refused:
                self._commit_singly(group)
                return
            _resolve(refused, outcome)
            group = [each for each in group if each not in refused]

    def _commit_singly(self, group):
        for pending in group:
            _resolve([pending], self._table.commit([pending.write]))


def _resolve(group, outcome):
    for pending in group:
        pending.outcome.set(outcome)
