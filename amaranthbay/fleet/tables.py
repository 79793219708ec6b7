"""Followers that keep local views of tables of the platform's store up to date.

A follower reads a snapshot of its table, then long-polls the store for changes. In each
process, one follower detects that the store is lost or back, and the others wait for it
during a loss.

Some instances are watchers of the store: they use shorter polls in that one follower,
and report newer changes to the other instances.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import gevent
import gevent.event

from amaranthbay.observe import current_metrics, log_event
from amaranthbay.utils.jobs import run_restarting

__all__ = [
    "ChangedRow",
    "Changes",
    "HistoryGone",
    "OnDemandFollower",
    "Snapshot",
    "TableFollower",
    "TableSource",
    "apply_each",
]

# Longest wait of a poll for some time after an outage. Connections that are opened
# while the store comes back often break again, and a long poll would be lost with them.
RECOVERY_WAIT_S = 0.5
# The same for instances that do not watch the store. There may be hundreds of them that
# call at the same time, and the reports of the watchers tell them of changes.
NON_WATCHER_RECOVERY_WAIT_S = 4.0
# Longest wait that the store allows for a poll. An open poll costs less than a call,
# and if one is lost, reports of peers that have seen a newer change reveal it.
MAX_POLL_WAIT_S = 30.0
# A table that is read on demand is read at least this often.
REFRESH_INTERVAL_S = 60.0
# A poll that is still open for this long after another instance reported a newer change
# is lost, or its answer arrives over a slow link. Each poll that replaces another one
# gets twice the time, up to the maximum, so that a large answer can arrive.
MIN_BEHIND_TIMEOUT_S = 0.5
MAX_BEHIND_TIMEOUT_S = 8.0
# Delays after failed calls; each further failure doubles the delay. The maximum is
# short enough for a change to be in force in time after an outage.
MAX_BACKOFF_S = 0.8
BASE_BACKOFF_S = 0.2
# The maximum for instances that do not watch the store and have read the table. It is
# shorter than the time after an outage during which the platform does not expect any
# instance to be up to date.
NON_WATCHER_MAX_BACKOFF_S = 2.0
# Delay before the next read if a snapshot is older than the view.
STALE_SNAPSHOT_RETRY_S = 0.5


@dataclass(frozen=True)
class ChangedRow:
    """One row of a table.

    Attributes:
        key: Key of the row.
        version: Version of the store at the last change of the row.
        value: Bytes of the row; None if it was removed.
    """

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True)
class Snapshot:
    """All rows of a table at one moment.

    Attributes:
        rows: `ChangedRow` of each row.
        version: Version of the store at that moment.
        era: Era that the version belongs to; None if the store reports none.
    """

    rows: tuple[ChangedRow, ...]
    version: int
    era: int | None = None


@dataclass(frozen=True)
class Changes:
    """Rows that changed after a version.

    Attributes:
        rows: `ChangedRow` of each changed row.
        version: Version after which to ask for the next changes.
    """

    rows: tuple[ChangedRow, ...]
    version: int


@dataclass(frozen=True)
class HistoryGone:
    """Failure of a call for changes that the store no longer keeps."""

    detail: str = "the history is no longer available"


def apply_each(rows, apply_row):
    """Applies rows one by one; an exception at one of them doesn't affect the others.

    Args:
        rows: Sequence of `ChangedRow`.
        apply_row: Function of one `ChangedRow`.
    """
    for row in rows:
        try:
            apply_row(row)
        except Exception as exc:
            # Otherwise, the table would stay as it was before this row.
            log_event("row_failed", level="error", exc=exc, key=row.key)


class TableSource(ABC):
    """Client of the store that reads and writes tables."""

    @abstractmethod
    def snapshot(self, table):
        """Reads all rows and returns ``Result[Snapshot, PlatformFailure]``."""

    @abstractmethod
    def changes(self, table, after, wait_s):
        """Reads changes, waiting for one if there are none yet.

        Args:
            table: Name of the table.
            after: Version after which changes are wanted.
            wait_s: Longest wait for a change, in seconds.

        Returns:
            ``Result[Changes, PlatformFailure | HistoryGone]``.
        """

    @abstractmethod
    def put(self, table, key, value):
        """Writes a row unconditionally and returns the `CommitState`."""


class TableFollower:
    """Keeps a view of one table up to date.

    Attributes:
        version: Version of the store up to which the view is complete; None
            before the first snapshot.
        era: Era that the versions belong to; None if the store reports none.
        last_change: Version of the last change in the view.
    """

    def __init__(
        self,
        source,
        table,
        view,
        health,
        clock,
        rng,
        max_poll_wait_s=None,
        batch_delay_s=lambda: 0.0,
    ):
        """Creates the follower.

        Args:
            source: `TableSource` to read from.
            table: Name of the table.
            view: Object with ``replace(rows, restored)``, which gets a snapshot and
                whether it follows a restore of the store, and ``apply(rows)``, which
                gets changed rows.
            health: `StoreHealth` that gets the outcome of each call.
            clock: `Clock`.
            rng: `random.Random` for the jitter of the backoff.
            max_poll_wait_s: Function that returns the longest wait of a poll in
                seconds, for the follower that detects the loss and the return of the
                store. A poll that is open when the store stops answering is never
                answered, and reveals the loss only after its wait. None for the other
                followers, which wait for this one during a loss.
            batch_delay_s: Function that returns the seconds to wait after a change,
                so that the next call reads several changes at once.
        """
        self._batch_delay_s = batch_delay_s
        self._source = source
        self._table = table
        self._view = view
        self._health = health
        self._clock = clock
        self._rng = rng
        self._max_poll_wait_s = max_poll_wait_s
        self._failures = 0
        self._job = None
        self._polling = False
        self._behind_since = None
        self._behind_timeout_s = MIN_BEHIND_TIMEOUT_S
        self.version = None
        self.era = None
        self.last_change = 0
        # Last change that another instance has reported, and its era.
        self._reported = (0, None)
        health.era.on_restored(self._restart)
        if max_poll_wait_s is None:
            health.on_regained(self._restart)
        else:
            health.on_lost(self._probe_store)

    def start(self):
        """Starts to follow the table in a greenlet."""
        self._job = gevent.spawn(
            run_restarting, self._clock, f"follow_{self._table}", self._run
        )

    def stop(self):
        """Kills the greenlet."""
        if self._job is not None:
            self._job.kill()
            self._job = None

    def _restart(self):
        """Restarts the greenlet with a new poll.

        A poll from before a loss or a restore of the store may never be answered.
        """
        if self._job is not None and self._job is not gevent.getcurrent():
            self._job.kill(block=False)
            self.start()

    def poll_again(self):
        """Replaces an open poll after the longest wait of polls has changed."""
        if self._polling:
            self._restart()

    def note_newer(self, last_change, era=None):
        """Replaces the open poll if another instance has long known a newer change.

        Args:
            last_change: Version of the last change that the other instance has seen.
            era: Era of the version; None if the store reports none.
        """
        if self._is_newer(last_change, era):
            self._reported = last_change, era
        # A peer that has seen no newer change proves nothing about this poll.
        if not self._polling or not self._is_newer(last_change, era):
            return
        now = self._clock.monotonic()
        if self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since > self._behind_timeout_s:
            log_event(
                "table_behind",
                level="warning",
                table=self._table,
                version=self.last_change,
                era=self.era,
                known_version=last_change,
                known_era=era,
            )
            self._behind_timeout_s = min(
                MAX_BEHIND_TIMEOUT_S, 2 * self._behind_timeout_s
            )
            self._restart()

    def is_behind(self):
        """Returns whether another instance has reported a newer change."""
        return self._is_newer(*self._reported)

    def _is_newer(self, last_change, era):
        """Returns whether a change is newer than the view.

        A removal leaves no row, so the version of the last change alone may be older.

        Versions of different eras can't be compared; the higher era is newer.
        """
        if era != self.era:
            return era is not None and (self.era is None or era > self.era)
        return last_change > max(self.last_change, self.version or 0)

    def _probe_store(self):
        """Calls the store at once after another follower has reported it lost.

        The other followers wait for the answer, and the open poll may take seconds.
        """
        self._restart()

    def _run(self):
        while True:
            delay_s = self.step()
            if delay_s and self._max_poll_wait_s is None:
                self._health.wait(MAX_POLL_WAIT_S)
            if delay_s:
                self._clock.sleep(delay_s)

    def step(self):
        """Reads the table or its changes once.

        Returns:
            Seconds to wait before the next step.
        """
        if self.version is None or self.era != self._health.era.number:
            return self._read_snapshot()
        sent_at = self._clock.monotonic()
        wait_s = self._wait_s()
        self._polling = True
        self._behind_since = None
        try:
            reply = self._source.changes(self._table, self.version, wait_s)
        finally:
            self._polling = False
        current_metrics().store_called("changes", _outcome(reply))
        if reply.is_ok():
            self._note_answer(sent_at)
            changes = reply.unwrap()
            if changes.rows:
                self._view.apply(changes.rows)
                self._note_last_change(changes.rows)
            self.version = max(self.version, changes.version)
            return self._batch_delay_s() if changes.rows else 0.0
        if isinstance(reply.unwrap_err(), HistoryGone):
            log_event("history_gone", table=self._table, version=self.version)
            self._note_answer(sent_at)
            return self._read_snapshot()
        return self._note_failure(reply.unwrap_err())

    def _wait_s(self):
        if self._max_poll_wait_s is None:
            return MAX_POLL_WAIT_S
        if self._health.is_recovering():
            return (
                RECOVERY_WAIT_S if self._is_watching() else NON_WATCHER_RECOVERY_WAIT_S
            )
        return self._max_poll_wait_s()

    def _is_watching(self):
        """Returns whether other instances rely on this follower to watch the store."""
        return (
            self._max_poll_wait_s is not None
            and self._max_poll_wait_s() < MAX_POLL_WAIT_S
        )

    def _read_snapshot(self):
        sent_at = self._clock.monotonic()
        reply = self._source.snapshot(self._table)
        current_metrics().store_called("snapshot", _outcome(reply))
        if reply.is_err():
            return self._note_failure(reply.unwrap_err())
        self._note_answer(sent_at)
        snapshot = reply.unwrap()
        restored = self.version is not None and snapshot.era not in (None, self.era)
        if not restored and snapshot.version < (self.version or 0):
            log_event(
                "stale_snapshot",
                level="warning",
                table=self._table,
                version=snapshot.version,
                known_version=self.version,
            )
            return STALE_SNAPSHOT_RETRY_S
        self._view.replace(snapshot.rows, restored)
        if restored:
            self.last_change = 0
        self._note_last_change(snapshot.rows)
        self.version = snapshot.version
        known_era = self._health.era.number
        self.era = known_era if snapshot.era is None else snapshot.era
        return 0.0

    def _note_last_change(self, rows):
        self.last_change = max([self.last_change, *(row.version for row in rows)])

    def _note_answer(self, sent_at):
        self._failures = 0
        self._behind_timeout_s = MIN_BEHIND_TIMEOUT_S
        self._health.note_answer(sent_at)

    def _note_failure(self, failure):
        """Records a failed call and returns the backoff in seconds."""
        self._health.note_failure(f"{self._table}: {failure.detail}")
        urgent = self.version is None or self._is_watching()
        limit_s = MAX_BACKOFF_S if urgent else NON_WATCHER_MAX_BACKOFF_S
        backoff_s = min(limit_s, BASE_BACKOFF_S * 2**self._failures)
        self._failures += 1
        return backoff_s * self._rng.uniform(0.5, 1.0)


class OnDemandFollower(TableFollower):
    """Reads the changes of a table on request, and once per `REFRESH_INTERVAL_S`.

    It suits a table whose changes also show elsewhere, as in the reports of peers.
    """

    def __init__(self, *args, **options):
        """Creates the follower; see `TableFollower`."""
        super().__init__(*args, **options)
        self._read_requested = gevent.event.Event()

    def request_read(self):
        """Requests that the changes are read soon; returns at once."""
        self._read_requested.set()

    def _run(self):
        while True:
            delay_s = self.step()
            if self._failures:
                self._health.wait(MAX_POLL_WAIT_S)
                self._clock.sleep(delay_s)
                continue
            # Requests that arrive during the delay share the next read.
            self._clock.sleep(self._batch_delay_s())
            self._read_requested.wait(REFRESH_INTERVAL_S)
            self._read_requested.clear()

    def _wait_s(self):
        return 0.0


def _outcome(reply):
    """Returns the outcome of a call as a metric label."""
    if reply.is_ok():
        return "ok"
    return "history_gone" if isinstance(reply.unwrap_err(), HistoryGone) else "failed"
