"""Retries of record writes that the table service hasn't confirmed."""

from dataclasses import dataclass, replace

import gevent
import msgspec

from amaranthbay.observe import log_event
from amaranthbay.platform.types import CommitState, Write
from amaranthbay.state.records import Record, RecordState

__all__ = ["UnsettledRecords"]

RETRY_INTERVAL_S = 0.5
# Bounds the memory of a daemon during an outage. The rows of dropped records keep the
# state "started", so that their calls don't run again.
MAX_RECORDS = 2000
# Bounds how long a graceful stop waits for a platform that is down.
MAX_AGE_S = 120.0


@dataclass(frozen=True)
class _UnsettledRecord:
    """A record to write.

    Attributes:
        key: Key of its row.
        record: `Record` with the final state.
        if_version: Version that the row must have.
        expires_at: Monotonic time in seconds at which the record is dropped.
    """

    key: str
    record: Record
    if_version: int
    expires_at: float


class UnsettledRecords:
    """Retries the final writes of this daemon's attempts until they are confirmed."""

    def __init__(self, table, clock):
        self._table = table
        self._clock = clock
        self._pending = {}

    def __len__(self):
        return len(self._pending)

    def add(self, key, record, if_version):
        """Adds a record; drops the oldest one if there are too many.

        Args:
            key: Key of its row.
            record: `Record` with the final state of the attempt that it names.
            if_version: Version of the row that the attempt has written, or under
                whose condition it tried to write.
        """
        expires_at = self._clock.monotonic() + MAX_AGE_S
        entry = _UnsettledRecord(key, record, if_version, expires_at)
        self._pending[record.attempt_id] = entry
        if len(self._pending) > MAX_RECORDS:
            dropped = self._pending.pop(next(iter(self._pending)))
            log_event("record_dropped", level="error", state=dropped.record.state)

    def run(self):
        """Retries periodically until killed."""
        while True:
            self.retry()
            gevent.sleep(RETRY_INTERVAL_S)

    def retry(self):
        """Writes each pending record once; stops if the platform is down."""
        for attempt_id, entry in list(self._pending.items()):
            state = self._write(entry)
            if state is CommitState.NOT_DONE:
                break
            if state is CommitState.CONFLICT:
                self._resolve_conflict(entry)
            elif state is CommitState.DONE:
                self._pending.pop(attempt_id, None)
        self._drop_expired()

    def _write(self, entry):
        value = msgspec.to_builtins(entry.record)
        return self._table.commit([Write(entry.key, value, entry.if_version)]).state

    def _resolve_conflict(self, entry):
        """Retries from the row's new version if its record is this attempt's claim.

        Otherwise the record is no longer pending: the attempt has already settled it,
        or the row belongs to another attempt or is gone.
        """
        attempt_id = entry.record.attempt_id
        reply = self._table.read(entry.key)
        if reply.is_err():
            return
        row = reply.unwrap()
        stored = None if row is None else msgspec.convert(row.value, Record)
        is_own = stored is not None and stored.attempt_id == attempt_id
        if is_own and stored.state is RecordState.STARTED:
            self._pending[attempt_id] = replace(entry, if_version=row.version)
        else:
            self._pending.pop(attempt_id, None)

    def _drop_expired(self):
        now = self._clock.monotonic()
        for attempt_id, entry in list(self._pending.items()):
            if entry.expires_at <= now:
                del self._pending[attempt_id]
                log_event("record_dropped", level="error", state=entry.record.state)
