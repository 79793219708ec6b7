"""Software versions that serve a service, as the platform's store records them.

Servers of several software versions may serve side by side, and a stream can go on only
at the version that began it. The store names each version of a service before
instances use it by choice. While it names a single one, every stream that a caller may
continue began there, also if all instances have lost their memory.
"""

import gevent
import gevent.event
import msgspec
from result import Err, Ok

from amaranthbay.observe import current_metrics, log_event
from amaranthbay.platform.types import CommitState, PlatformFailure, Write

__all__ = ["STREAM_LIFE_S", "VersionHistory"]

# Time after the start of a stream within which its caller may continue it. Callers give
# up after their deadline, which is 14 s today.
STREAM_LIFE_S = 60.0
# Time for which this instance counts a version that it no longer sees. The end of a
# version is recorded later than its servers leave.
VERSION_LIFE_S = STREAM_LIFE_S + 30.0
# Time for which the record keeps a version that has ended; longer than any instance
# counts it.
RECORD_LIFE_S = 2 * VERSION_LIFE_S
# Time for which no server of a version is listed before its end is recorded.
END_DELAY_S = 5.0
# Longest wait for the first read of a service's versions.
FIRST_READ_TIMEOUT_S = 0.5
# Longest delay of a read that waits for the end of the one before it.
MAX_READ_DELAY_S = 0.1
# Delay of the instances that leave the record of a new version to another one.
MIN_FOLLOWER_DELAY_S, MAX_FOLLOWER_DELAY_S = 0.1, 0.4
# Delays after a failed read or write; each further failure doubles the delay.
BASE_BACKOFF_S, MAX_BACKOFF_S = 0.1, 2.0


class _Record(msgspec.Struct, frozen=True):
    """Value of a service's row.

    Attributes:
        versions: Time on the store's steady clock at which a version's last server
            left, by version; None while it serves.
    """

    versions: dict[str, float | None] = {}


class VersionHistory:
    """The software versions at which streams of each service may have begun."""

    def __init__(self, table, listed, clock, store_time, rng, records_first):
        """Creates an empty history.

        Args:
            table: `TableService` with one row for each service.
            listed: Function of a service's name that returns the set of the versions of
                its listed servers.
            clock: `Clock`.
            store_time: Function that returns the store's steady time in seconds, or
                None while it is unknown.
            rng: `random.Random` that spreads the reads and writes of instances.
            records_first: Function that returns whether this instance records versions
                before the others do.
        """
        self._table = table
        self._listed = listed
        self._clock = clock
        self._store_time = store_time
        self._rng = rng
        self._records_first = records_first
        self._several_callbacks = []
        # Version of the row and the last record read, by service.
        self._records = {}
        # Monotonic time until which each version is known to have served, by service.
        self._seen = {}
        # Monotonic time from which a registered version is not listed, by service.
        self._unlisted_since = {}
        self._first_reads = {}
        # Greenlets that read the row of a service, and that do so after those.
        self._reads, self._next_reads = {}, {}
        # Greenlets that write the record of a service.
        self._writers = {}

    def on_several(self, callback):
        """Calls ``callback(service)`` when a further version comes into use."""
        self._several_callbacks.append(callback)

    def wait_until_read(self, service):
        """Waits a moment for the first read of a service's versions."""
        if service not in self._records:
            self._start(service, self._register)
            if not self._first_read(service).wait(FIRST_READ_TIMEOUT_S):
                # Further streams don't wait for a store that doesn't answer.
                self._first_read(service).set()

    def _first_read(self, service):
        return self._first_reads.setdefault(service, gevent.event.Event())

    def registered_only(self, service, servers):
        """Returns the servers whose version the store is known to name.

        All of them are returned if the store names none of their versions: it is better
        to serve, and streams that began at a version that the store doesn't name are
        not continued elsewhere.
        """
        registered = self._registered(service)
        named = [server for server in servers if server.version in registered]
        if len(named) < len(servers):
            self._start(service, self._register)
        return named or servers

    def _start(self, service, function, *args):
        if service not in self._writers:
            greenlet = gevent.spawn(self._run, service, function, *args)
            self._writers[service] = greenlet

    def _run(self, service, function, *args):
        try:
            function(service, *args)
        except Exception as exc:
            log_event("defect", level="error", exc=exc, message="versions not recorded")
        finally:
            self._writers.pop(service, None)

    def close(self):
        """Stops writing."""
        gevent.killall(list(self._writers.values()))

    def _registered(self, service):
        _, record = self._records.get(service, (0, _Record()))
        return {name for name, ended_at in record.versions.items() if ended_at is None}

    def may_differ(self, service):
        """Returns whether recent streams may have begun at more than one version."""
        return service not in self._records or len(self._possible(service)) != 1

    def _possible(self, service):
        """Returns the versions that this instance knows of, listed ones included."""
        return self._listed(service).union(self._recent(service))

    def _recent(self, service, life_s=VERSION_LIFE_S):
        oldest = self._clock.monotonic() - life_s
        seen = self._seen.get(service, {})
        return [version for version, seen_at in seen.items() if seen_at > oldest]

    def known_sole_version(self, service):
        """Returns the only recent version as far as this instance knows, or None."""
        return None if self.may_differ(service) else self._possible(service).pop()

    def read_sole_version(self, service):
        """Reads from the store whether all recent streams began at one version.

        Returns:
            ``Result[str | None, PlatformFailure]`` with that version, or None if the
            store names several or none.
        """
        read = self._read_shared(service)
        if read.is_err():
            return read
        _, record = read.unwrap()
        possible = {
            version
            for version, ended_at in record.versions.items()
            if self._age_s(ended_at) < STREAM_LIFE_S
        }
        # A restored store may lack versions that this instance has seen.
        possible |= self._listed(service).union(self._recent(service, STREAM_LIFE_S))
        return Ok(possible.pop() if len(possible) == 1 else None)

    def _read_shared(self, service):
        """Reads a service's row once for all that wait for it; see `_read`.

        A read that is in progress may have been answered before this call.
        """
        job = self._next_reads.get(service)
        if job is None:
            previous = self._reads.get(service)
            job = gevent.spawn(self._read_after, previous, service)
            self._next_reads[service] = job
        return job.get()

    def _read_after(self, previous, service):
        if previous is not None:
            previous.join(MAX_READ_DELAY_S)
        self._reads[service] = self._next_reads.pop(service)
        return self._read(service)

    def _age_s(self, ended_at):
        """Returns the seconds since the end of a version; 0 while it serves."""
        now = self._store_time()
        return 0.0 if ended_at is None or now is None else now - ended_at

    def sweep(self):
        """Notes the listed versions, and records the end of those that have left."""
        now = self._clock.monotonic()
        for service in tuple(self._records):
            for version in self._listed(service):
                self._note_seen(service, version, now)
            gone = self._gone(service, now)
            if gone and self._records_first():
                self._start(service, self._record_end, gone)
            elif gone:
                self._forget_registration(service, gone)

    def _gone(self, service, now):
        """Returns the registered versions whose servers left some time ago."""
        unlisted = self._registered(service) - self._listed(service)
        since = self._unlisted_since.get(service, {})
        since = {version: since.get(version, now) for version in unlisted}
        self._unlisted_since[service] = since
        return {version for version in unlisted if now - since[version] >= END_DELAY_S}

    def _forget_registration(self, service, gone):
        """Lets versions be looked up again before they are used, if they come back.

        Another instance records their end.
        """
        row_version, record = self._records[service]
        kept = {name: at for name, at in record.versions.items() if name not in gone}
        self._records[service] = row_version, _Record(kept)

    def forget_records(self):
        """Reads and writes all records again, as a restored store may lack some."""
        self._records.clear()

    def _note_seen(self, service, version, seen_at):
        seen = self._seen.setdefault(service, {})
        is_new = version not in self._recent(service)
        seen[version] = max(seen_at, seen.get(version, seen_at))
        if is_new and len(self._recent(service)) > 1:
            log_event(
                "versions_differ",
                service=service,
                software_versions=sorted(self._recent(service)),
            )
            for callback in self._several_callbacks:
                callback(service)

    def _register(self, service):
        """Records the listed versions that the store doesn't name."""
        wait_s = 0.0
        if not self._records_first():
            wait_s = self._rng.uniform(MIN_FOLLOWER_DELAY_S, MAX_FOLLOWER_DELAY_S)
        if service in self._records:
            self._clock.sleep(wait_s)
            wait_s = 0.0
        backoff_s = BASE_BACKOFF_S
        while True:
            if self._read(service).is_ok():
                if not self._unrecorded(service):
                    return
                if not wait_s and self._write_unrecorded(service):
                    return
            self._clock.sleep(wait_s or backoff_s * self._rng.uniform(0.5, 1.0))
            wait_s, backoff_s = 0.0, min(MAX_BACKOFF_S, 2 * backoff_s)

    def _unrecorded(self, service):
        """Returns the versions in use, or recently used, that the record lacks."""
        _, record = self._records[service]
        lost = set(self._recent(service)) - record.versions.keys()
        return lost | (self._listed(service) - self._registered(service))

    def _write_unrecorded(self, service):
        row_version, record = self._records[service]
        listed = dict.fromkeys(self._listed(service))
        versions = self._with_recent(service, record.versions) | listed
        return self._write(service, row_version, versions)

    def _with_recent(self, service, versions):
        """Returns versions with those that a restored store has lost."""
        now, store_time = self._clock.monotonic(), self._store_time()
        ended = {
            version: (store_time or 0.0) - (now - self._seen[service][version])
            for version in self._recent(service)
        }
        return ended | versions

    def _record_end(self, service, gone):
        now = self._store_time()
        if now is None or self._read(service).is_err():
            return
        row_version, record = self._records[service]
        ended = dict.fromkeys(
            gone & self._registered(service) - self._listed(service), now
        )
        if ended:
            self._write(service, row_version, record.versions | ended)

    def _read(self, service):
        """Reads a service's row.

        Returns:
            ``Result[tuple[int, _Record], PlatformFailure]`` with the row's version.
        """
        reply = self._table.read(service)
        current_metrics().store_called(
            "versions_read", "failed" if reply.err() else "ok"
        )
        if reply.is_err():
            return reply
        row = reply.unwrap()
        row_version, record = 0, _Record()
        if row is not None:
            row_version = row.version
            try:
                record = msgspec.convert(row.value, _Record)
            except msgspec.ValidationError as exc:
                log_event("versions_unreadable", level="error", detail=str(exc))
                return Err(PlatformFailure(f"unreadable versions: {exc}"))
        self._adopt(service, row_version, record)
        return Ok((row_version, record))

    def _adopt(self, service, row_version, record):
        now = self._clock.monotonic()
        self._records[service] = row_version, record
        for version, ended_at in record.versions.items():
            self._note_seen(service, version, now - self._age_s(ended_at))
        self._first_read(service).set()

    def _write(self, service, row_version, versions):
        """Writes a service's row if it is unchanged; returns whether it was written."""
        versions = {
            version: ended_at
            for version, ended_at in versions.items()
            if self._age_s(ended_at) < RECORD_LIFE_S
        }
        write = Write(service, {"versions": versions}, if_version=row_version)
        outcome = self._table.commit((write,))
        current_metrics().store_called("versions_write", outcome.state)
        log_event(
            "versions_recorded",
            service=service,
            software_versions=versions,
            state=outcome.state,
        )
        if outcome.state is not CommitState.DONE:
            return False
        self._adopt(service, outcome.versions[service], _Record(versions))
        return True
