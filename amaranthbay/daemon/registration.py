"""Keeps the row by which the other instances find this one."""

import gevent.event
import msgspec

from amaranthbay.observe import log_event
from amaranthbay.platform.types import CommitState

__all__ = ["RowWriter"]

RETRY_S = 0.5
# Time over which the instances write their rows again after a restore of the store: 160
# writes a second at the target size, of the 3,200 that the largest store takes today.
REWRITE_SPREAD_S = 2.0


class RowWriter:
    """Writes an instance's row at its start, and after each restore of the store."""

    def __init__(self, store, table, own, era, clock, rng, on_written):
        """Creates the writer; `run` writes.

        Args:
            store: `TableSource`.
            table: Table of the instances.
            own: `Registration` of this instance.
            era: `StoreEra`.
            clock: `Clock`.
            rng: `random.Random`.
            on_written: Function that is called after each write. Of two instances
                that start together, at least one finds the other by reading the table
                then, and reports to it.
        """
        self._store = store
        self._table = table
        self._own = own
        self._clock = clock
        self._rng = rng
        self._on_written = on_written
        self._restored = gevent.event.Event()
        era.on_restored(self._restored.set)

    def run(self):
        """Writes the row, again after each restore, until killed."""
        while True:
            self._write()
            self._on_written()
            self._restored.wait()
            self._restored.clear()
            # All instances notice the restore at about the same time.
            self._clock.sleep(self._rng.uniform(0.0, REWRITE_SPREAD_S))

    def _write(self):
        row = msgspec.json.encode(self._own)
        state = CommitState.UNKNOWN
        while state is not CommitState.DONE:
            state = self._store.put(self._table, self._own.instance, row)
            log_event("member_row_written", state=state)
            if state is not CommitState.DONE:
                self._clock.sleep(RETRY_S * self._rng.uniform(0.5, 1.5))
