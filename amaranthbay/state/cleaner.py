"""Removes idempotency records of days whose keys are no longer accepted."""

from datetime import timedelta

import gevent

from amaranthbay.observe import log_event
from amaranthbay.platform.types import CommitState, Write
from amaranthbay.state.records import CLOCK_TOLERANCE, KEY_PREFIX, RETENTION, row_day
from amaranthbay.utils.rendezvous import rendezvous_order

__all__ = ["RecordCleaner"]

CLEAN_INTERVAL_S = 60.0
BATCH_ROWS = 50
# Leaves most of the platform's write rate to the calls.
BATCH_PAUSE_S = 0.25
ONE_DAY = timedelta(days=1)


class RecordCleaner:
    """Removes expired rows while this daemon is the one chosen to do so.

    Each hour, a daemon is chosen by rendezvous hashing over the live members. Two
    daemons that see different members may both clean. Removals are therefore
    unconditional, which is safe because no daemon accepts the keys of expired rows.
    """

    def __init__(self, table, clock, instance, live_instances):
        """Creates the cleaner.

        Args:
            table: `TableService` that holds the records.
            clock: `Clock`.
            instance: Name of this daemon's instance.
            live_instances: Function that returns the instances of the live daemons.
        """
        self._table = table
        self._clock = clock
        self._instance = instance
        self._live_instances = live_instances

    def run(self):
        """Cleans periodically until killed."""
        while True:
            gevent.sleep(CLEAN_INTERVAL_S)
            if self.is_chosen():
                removed_count = self.clean()
                log_event("records_removed", count=removed_count)

    def is_chosen(self):
        """Returns whether this daemon cleans in the current hour."""
        hour = self._clock.now().strftime("%Y-%m-%dT%H")
        names = (*self._live_instances(), self._instance)
        return rendezvous_order(hour, names)[0] == self._instance

    def clean(self):
        """Removes expired rows until none is left or a commit fails.

        Returns:
            Number of rows removed.
        """
        removed_count = 0
        while True:
            keys = self._expired_keys()
            if not keys:
                return removed_count
            writes = [Write(key, None) for key in keys]
            if self._table.commit(writes).state is not CommitState.DONE:
                return removed_count
            removed_count += len(keys)
            self._clock.sleep(BATCH_PAUSE_S)

    def _expired_keys(self):
        """Returns the keys of the oldest expired rows, at most one batch.

        The scan starts with the oldest rows, because row keys begin with the day.
        """
        latest_day = self._clock.now() - RETENTION - CLOCK_TOLERANCE - ONE_DAY
        rows = self._table.scan(KEY_PREFIX, limit=BATCH_ROWS).unwrap_or(())
        return [row.key for row in rows if row_day(row.key) <= latest_day]
