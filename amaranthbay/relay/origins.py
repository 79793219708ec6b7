"""Software versions at which streams began, for callers that continue them.

An instance remembers the streams that it began. While streams may have begun at several
versions, it also records them in the platform's store, as a stream may outlive all
instances.
"""

from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from itertools import islice

import gevent.event
import msgspec
from result import Err, Ok

from amaranthbay.fleet.versions import STREAM_LIFE_S
from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.observe import current_metrics, log_event
from amaranthbay.platform.types import CommitState, Write

__all__ = ["StreamOrigins", "record_interval_s"]

# Shortest time over which streams are collected for one write. A stream that began
# later before the death of its instance is not recorded.
MIN_RECORD_INTERVAL_S = 0.1
MAX_RECORD_INTERVAL_S = 5.0
# Shares of the write rates of the store, and of one part of its tables, that the
# records of all instances may use.
WRITE_SHARE = 0.25
PART_WRITE_SHARE = 0.5
# Delays after a failed write; each further failure doubles the delay.
RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.3, 2.4
# Largest number of rows in one transaction of the store.
MAX_ROWS = 100
# Longest attempt id that the store can keep as a key.
MAX_ID_CHARACTERS = 128
MAX_ORIGINS = 20_000
# Deleted rows share the writes of new ones, or have one of their own after this time.
MAX_DELETE_DELAY_S = 30.0
# Age of rows that their instance would have deleted.
ORPHAN_AGE_S = 2 * STREAM_LIFE_S + MAX_DELETE_DELAY_S
RETRY_UNKNOWN = timedelta(seconds=1)
UNAVAILABLE = "store_unavailable"


class _Row(msgspec.Struct, frozen=True):
    """Value of a stream's row.

    Attributes:
        service: Name of the service.
        version: Software version at which the stream began.
        at: Time of its first event on the store's steady clock.
    """

    service: str
    version: str
    at: float = 0.0


@dataclass(frozen=True)
class _Origin:
    """Start of a stream.

    Attributes:
        service: Name of the service.
        version: Software version of the server that sent the first event.
        began_at: Monotonic time of the first event.
    """

    service: str
    version: str
    began_at: float


def record_interval_s(instances, writes_per_s, part_writes_per_s):
    """Returns the seconds over which an instance collects streams for one write.

    Args:
        instances: Number of instances that record streams.
        writes_per_s: Writes per second that the store takes from all of them.
        part_writes_per_s: Writes per second that one part of its tables takes.

    Examples:
        >>> record_interval_s(8, 400.0, 200.0), record_interval_s(320, 400.0, 200.0)
        (0.1, 3.2)
    """
    records_per_s = min(
        WRITE_SHARE * writes_per_s, PART_WRITE_SHARE * part_writes_per_s
    )
    shared_s = instances / max(1.0, records_per_s)
    return min(MAX_RECORD_INTERVAL_S, max(MIN_RECORD_INTERVAL_S, shared_s))


class StreamOrigins:
    """The version at which each resumable stream began."""

    def __init__(self, table, history, clock, store_time, interval_s, is_behind):
        """Creates an empty record; `run` writes it to the store.

        Args:
            table: `TableService` with one row for each recorded stream.
            history: `VersionHistory` of the services.
            clock: `Clock`.
            store_time: Function that returns the store's steady time in seconds, or
                None while it is unknown.
            interval_s: Function that returns the seconds over which streams are
                collected for one write.
            is_behind: Function that returns whether this instance's list of servers may
                be older than that of others; it may wait for their reports.
        """
        self._table = table
        self._clock = clock
        self._store_time = store_time
        self._interval_s = interval_s
        self._is_behind = is_behind
        self._history = history
        self._origins = OrderedDict()
        # Ids to write, and recorded ids to delete.
        self._pending = OrderedDict()
        self._recorded = set()
        self._expired = []
        self._expired_since = None
        self._wanted = gevent.event.Event()
        history.on_several(self.record_all)

    def note_began(self, call, version):
        """Records that the first event of a stream is about to reach its caller.

        Args:
            call: `Call` of the stream.
            version: Software version of the server that has sent the event.
        """
        stream_id = call.head.stream_id
        if not _is_valid_id(stream_id):
            return
        service = call.service.name
        is_known = stream_id in self._origins
        origin = _Origin(service, version, self._clock.monotonic())
        self._origins[stream_id] = origin
        self._origins.move_to_end(stream_id)
        if len(self._origins) > MAX_ORIGINS:
            self._forget_oldest()
        is_split = len(call.route.services) > 1
        if not is_known and (is_split or self._history.may_differ(service)):
            self._request_record(stream_id)

    def record_all(self, service):
        """Records all streams of a service, as a further version comes into use."""
        for stream_id, origin in self._origins.items():
            if origin.service == service and stream_id not in self._recorded:
                self._request_record(stream_id)

    def record_again(self):
        """Records all streams again, as a restored store may lack them."""
        self._recorded.clear()
        for service in {origin.service for origin in self._origins.values()}:
            if self._history.may_differ(service):
                self.record_all(service)

    def _request_record(self, stream_id):
        self._pending[stream_id] = None
        self._wanted.set()

    def find_service(self, head):
        """Returns the name of the service at which a stream began; None if unknown.

        Args:
            head: `CallHead` of a caller that continues a stream.
        """
        origin = self._origins.get(head.began_as)
        if origin is None:
            origin, _ = self._find_record(head.began_as)
        return origin and origin.service

    def find(self, call):
        """Returns the software version at which a stream goes on.

        Args:
            call: `Call` of a caller that continues a stream.

        Returns:
            ``Result[str, Refusal]``; a refusal if nobody can know the version.
        """
        stream_id, service = call.head.began_as, call.service.name
        origin, source = self._origins.get(stream_id), "memory"
        if origin is None:
            origin, source = self._find_in_store(call)
        log_event(
            "stream_origin",
            request_id=call.request_id,
            began_as=stream_id or None,
            source=source,
            software_version=origin and origin.version,
        )
        if origin is None:
            detail = "the software version at which the stream began is unknown"
            return Err(_cannot_go_on(detail))
        if origin.service != service:
            return Err(_cannot_go_on("the stream began at another service"))
        return Ok(origin.version)

    def _find_in_store(self, call):
        """Returns the `_Origin` of a stream, or None, and where it was found."""
        service = call.service.name
        finders = [
            partial(self._find_sole_version, service),
            partial(self._find_record, call.head.began_as),
        ]
        if len(call.route.services) > 1:
            # The sole version of one service doesn't tell which one began the stream.
            finders = finders[1:]
        elif self._history.may_differ(service):
            finders.reverse()
        source = "nowhere"
        for find in finders:
            origin, source = find()
            if origin is not None or source == UNAVAILABLE:
                return origin, source
        return None, source

    def _find_sole_version(self, service):
        sole = self._history.read_sole_version(service)
        source = "sole_version" if sole.is_ok() else UNAVAILABLE
        version = sole.ok()
        if sole.is_err() and not self._is_behind():
            # A store that is away for all instances names no further version.
            version = self._history.known_sole_version(service)
        if version is None:
            return None, "several_versions" if sole.is_ok() else source
        return _Origin(service, version, self._clock.monotonic()), source

    def _find_record(self, stream_id):
        if not _is_valid_id(stream_id):
            return None, "no_id"
        reply = self._read(stream_id)
        if reply.is_err():
            return None, UNAVAILABLE
        row = reply.unwrap()
        if row is None:
            return None, "no_record"
        return _Origin(row.service, row.version, self._clock.monotonic()), "record"

    def _read(self, stream_id):
        """Returns ``Result[_Row | None, PlatformFailure]`` of a stream's row."""
        reply = self._table.read(stream_id)
        current_metrics().store_called("stream_read", "failed" if reply.err() else "ok")
        return reply.map(lambda row: None if row is None else _decode(stream_id, row))

    def sweep(self):
        """Forgets streams that no caller continues any more."""
        oldest = self._clock.monotonic() - STREAM_LIFE_S
        while self._origins and next(iter(self._origins.values())).began_at < oldest:
            self._forget_oldest()
        if self._expired and self._clock.monotonic() - self._expired_since > (
            MAX_DELETE_DELAY_S
        ):
            self._wanted.set()

    def _forget_oldest(self):
        stream_id, _ = self._origins.popitem(last=False)
        self._pending.pop(stream_id, None)
        if stream_id in self._recorded:
            self._recorded.discard(stream_id)
            if not self._expired:
                self._expired_since = self._clock.monotonic()
            self._expired.append(stream_id)

    def run(self):
        """Writes records; runs until killed."""
        retry_s = RETRY_DELAY_S
        while True:
            self._wanted.wait()
            self._clock.sleep(self._interval_s())
            self._wanted.clear()
            if self._flush():
                retry_s = RETRY_DELAY_S
            else:
                self._clock.sleep(retry_s)
                retry_s = min(MAX_RETRY_DELAY_S, 2 * retry_s)
            if self._pending:
                self._wanted.set()

    def _flush(self):
        """Writes one transaction of records; returns whether it was written."""
        # Of many streams, most have ended; the newest ones are still in progress.
        ids = tuple(islice(reversed(self._pending), MAX_ROWS))
        deletes = self._expired[: MAX_ROWS - len(ids)]
        writes = [Write(stream_id, self._row_value(stream_id)) for stream_id in ids]
        writes += [Write(stream_id, None) for stream_id in deletes]
        if not writes:
            return True
        state = self._table.commit(writes).state
        current_metrics().store_called("streams_write", state)
        log_event(
            "streams_recorded", streams=len(ids), deleted=len(deletes), state=state
        )
        if state is not CommitState.DONE:
            return False
        for stream_id in ids:
            self._pending.pop(stream_id, None)
            if stream_id in self._origins:
                self._recorded.add(stream_id)
            else:
                self._expired.append(stream_id)
        del self._expired[: len(deletes)]
        return True

    def delete_orphans(self):
        """Deletes rows that instances have left behind which no longer run."""
        after = ""
        while (now := self._store_time()) is not None:
            rows = self._table.scan("", after, MAX_ROWS).unwrap_or(())
            if not rows:
                return
            after = rows[-1].key
            if not self._delete([row.key for row in rows if _is_orphan(row, now)]):
                return
            self._clock.sleep(MIN_RECORD_INTERVAL_S)

    def _delete(self, keys):
        """Deletes rows; returns whether they are deleted."""
        if not keys:
            return True
        state = self._table.commit([Write(key, None) for key in keys]).state
        current_metrics().store_called("streams_write", state)
        log_event("stream_rows_deleted", rows=len(keys), state=state)
        return state is CommitState.DONE

    def _row_value(self, stream_id):
        origin = self._origins[stream_id]
        age_s = self._clock.monotonic() - origin.began_at
        began_at = (self._store_time() or 0.0) - age_s
        return {
            "service": origin.service,
            "version": origin.version,
            "at": round(began_at, 3),
        }


def _decode(stream_id, row):
    """Returns the `_Row` of a stored `Row`; None if another program wrote it."""
    try:
        return msgspec.convert(row.value, _Row)
    except msgspec.ValidationError as exc:
        log_event(
            "stream_row_unreadable", level="warning", key=stream_id, detail=str(exc)
        )
        return None


def _is_orphan(row, now):
    """Returns whether the instance of a stored `Row` would have deleted it.

    Args:
        row: `Row` of a stream.
        now: Time on the store's steady clock.
    """
    origin = _decode(row.key, row)
    return origin is not None and now - origin.at > ORPHAN_AGE_S


def _is_valid_id(stream_id):
    is_text = stream_id.isascii() and stream_id.isprintable()
    return is_text and 0 < len(stream_id) <= MAX_ID_CHARACTERS


def _cannot_go_on(detail):
    return not_run(Reason.ORIGIN_UNKNOWN, detail, 503, RETRY_UNKNOWN)
