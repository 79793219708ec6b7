"""Records that the platform has not yet taken, and their repeated writes."""

from dataclasses import dataclass, replace

import gevent
import msgspec

from amaranthbay.observe import log_event
from amaranthbay.platform.types import CommitState, Write
from amaranthbay.state.records import Record, RecordState

__all__ = ["UnsettledRecords"]

RETRY_S = 0.5
# Bounds the memory of a daemon during an outage; the rows of dropped records
# keep the state started, which is safe.
MAX_RECORDS = 2000
# Bounds how long a graceful stop waits for a platform that is down.
MAX_AGE_S = 120.0


@dataclass(frozen=True)
class _Unsettled:
    key: str
    record: Record
    if_version: int
    expires: float


class UnsettledRecords:
    """Writes the final state of this daemon's own attempts until it is kept."""

    def __init__(self, table, clock):
        self._table = table
        self._clock = clock
        self._waiting = {}

    def __len__(self):
        return len(self._waiting)

    def add(self, key, record, if_version):
        """Adds a record.

        Args:
            key: Row.
            record: Final state of the attempt that the record names.
            if_version: Version of the row that the attempt started from.
        """
        expires = self._clock.monotonic() + MAX_AGE_S
        entry = _Unsettled(key, record, if_version, expires)
        self._waiting[record.attempt_id] = entry
        if len(self._waiting) > MAX_RECORDS:
            dropped = self._waiting.pop(next(iter(self._waiting)))
            log_event("record_dropped", level="error", state=dropped.record.state)

    def run(self):
        """Tries again until killed."""
        while True:
            self.retry()
            gevent.sleep(RETRY_S)

    def retry(self):
        """Writes each waiting record once; stops when the platform is down."""
        for attempt_id, entry in list(self._waiting.items()):
            state = self._write(entry)
            if state is CommitState.NOT_DONE:
                break
            if state is CommitState.CONFLICT:
                self._follow(entry)
            elif state is CommitState.DONE:
                self._waiting.pop(attempt_id, None)
        self._drop_old()

    def _write(self, entry):
        value = msgspec.to_builtins(entry.record)
        return self._table.commit([Write(entry.key, value, entry.if_version)]).state

    def _follow(self, entry):
        """Continues from the attempt's own row, or ends if it has none."""
        attempt_id = entry.record.attempt_id
        found = self._table.read(entry.key)
        if found.is_err():
            return
        row = found.unwrap()
        known = None if row is None else msgspec.convert(row.value, Record)
        is_own = known is not None and known.attempt_id == attempt_id
        if is_own and known.state is RecordState.STARTED:
            self._waiting[attempt_id] = replace(entry, if_version=row.version)
        else:
            self._waiting.pop(attempt_id, None)

    def _drop_old(self):
        now = self._clock.monotonic()
        for attempt_id, entry in list(self._waiting.items()):
            if entry.expires <= now:
                del self._waiting[attempt_id]
                log_event("record_dropped", level="error", state=entry.record.state)
