"""Follows tables of the platform's store."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import gevent
import gevent.event

from amaranthbay.observe import current_metrics, log_event

__all__ = [
    "ChangedRow",
    "Changes",
    "HistoryGone",
    "OnDemandFollower",
    "Snapshot",
    "TableFollower",
    "TableSource",
]

# Connections that were made as the store came back are often lost once more, so that
# for some time after a loss the table is asked more often.
RECOVERY_WAIT_S = 0.5
# The same for instances that do not watch the store: each call is one of hundreds, and
# the reports of those that watch tell them of changes.
IDLE_RECOVERY_WAIT_S = 4.0
# The other tables wait as long as the store allows; a call costs more than an open
# poll, and peers that know a newer change tell of a lost one.
FEED_WAIT_S = 30.0
# Time after which a table that is read on demand is read without one.
REFRESH_S = 60.0
# A poll that is open for this long although another instance has seen a newer change
# is lost, or its answer is on its way over a slow link. Each poll that replaces another
# one gets twice the time, so that a large answer arrives.
BEHIND_S = 0.5
BEHIND_LIMIT_S = 8.0
# Longest pause between tries, so that a change is in force in time after an outage.
RETRY_LIMIT_S = 0.8
RETRY_BASE_S = 0.2
# The same for instances that do not watch the store and know its tables. Shorter than
# the time for which the platform takes no instance to be up to date after an outage.
IDLE_RETRY_LIMIT_S = 2.0
# A snapshot older than what is known is asked for again after this time.
STALE_RETRY_S = 0.5


@dataclass(frozen=True)
class ChangedRow:
    """A row as read.

    Attributes:
        key: Key of the row.
        version: Version of its last change.
        value: Bytes of the row; None if it was removed.
    """

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True)
class Snapshot:
    """All rows of a table at one moment.

    Attributes:
        rows: The rows.
        version: The store's version.
        era: Era in which the version counts; None if the store names none.
    """

    rows: tuple[ChangedRow, ...]
    version: int
    era: int | None = None


@dataclass(frozen=True)
class Changes:
    """Rows that have changed.

    Attributes:
        rows: The rows.
        version: Version from which to continue.
    """

    rows: tuple[ChangedRow, ...]
    version: int


@dataclass(frozen=True)
class HistoryGone:
    """The store no longer has the changes that were asked for."""

    detail: str = "the history is no longer available"


class TableSource(ABC):
    """Reads and writes tables."""

    @abstractmethod
    def snapshot(self, table):
        """Returns ``Result[Snapshot, PlatformFailure]``."""

    @abstractmethod
    def changes(self, table, after, wait_s):
        """Returns ``Result[Changes, PlatformFailure | HistoryGone]``.

        Args:
            table: Name of the table.
            after: Version after which changes are wanted.
            wait_s: Longest wait for a change.
        """

    @abstractmethod
    def put(self, table, key, value):
        """Writes a row without a condition and returns the `CommitState`."""


class TableFollower:
    """Keeps a view of one table up to date.

    Attributes:
        version: Version of the store up to which the view is complete; None
            before the first snapshot.
        era: Era in which the versions count; None if the store names none.
        changed: Version of the last change in the view.
    """

    def __init__(
        self,
        source,
        table,
        view,
        health,
        clock,
        rng,
        watch_s=None,
        pause_s=lambda: 0.0,
    ):
        """Creates the follower.

        Args:
            source: `TableSource`.
            table: Name of the table.
            view: Object with ``replace(rows, restored)`` and ``apply(rows)``.
            health: `StoreHealth`.
            clock: `Clock`.
            rng: `random.Random`.
            watch_s: Function that returns the longest wait of a poll, for the
                follower that finds out whether the store is lost and back. A store
                that falls silent loses the polls that wait at it. None for the
                others, which wait for this one meanwhile.
            pause_s: Function that returns the time after a change in which further
                ones gather.
        """
        self._pause_s = pause_s
        self._source = source
        self._table = table
        self._view = view
        self._health = health
        self._clock = clock
        self._rng = rng
        self._watch_s = watch_s
        self._failures = 0
        self._job = None
        self._polling = False
        self._behind_since = None
        self._behind_s = BEHIND_S
        self.version = None
        self.era = None
        self.changed = 0
        health.era.on_restored(self._restart)
        if watch_s is None:
            health.on_regained(self._restart)
        else:
            health.on_lost(self._verify)

    def start(self):
        """Follows the table in a greenlet."""
        self._job = gevent.spawn(self._run)

    def stop(self):
        """Ends the greenlet."""
        if self._job is not None:
            self._job.kill()
            self._job = None

    def _restart(self):
        """Asks again: a poll from before a loss or a restore may never be answered."""
        if self._job is not None and self._job is not gevent.getcurrent():
            self._job.kill(block=False)
            self.start()

    def poll_again(self):
        """Replaces an open poll, as its longest wait has changed."""
        if self._polling:
            self._restart()

    def note_newer(self, changed, era=None):
        """Notes the last change that another instance has seen.

        Args:
            changed: Version of the change.
            era: Era of the version; None if the store names none.
        """
        # An instance that is behind itself says nothing about this one.
        if not self._polling or not self._is_newer(changed, era):
            return
        now = self._clock.monotonic()
        if self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since > self._behind_s:
            log_event(
                "table_behind",
                level="warning",
                table=self._table,
                version=self.changed,
                era=self.era,
                known_version=changed,
                known_era=era,
            )
            self._behind_s = min(BEHIND_LIMIT_S, 2 * self._behind_s)
            self._restart()

    def _is_newer(self, changed, era):
        if era != self.era:
            return era is not None and (self.era is None or era > self.era)
        return changed > self.changed

    def _verify(self):
        """Asks at once whether the store is lost, as another follower has noted.

        The others wait for the answer, and the poll that is open may take seconds.
        """
        self._restart()

    def _run(self):
        while True:
            pause_s = self.step()
            if pause_s and self._watch_s is None:
                self._health.wait(FEED_WAIT_S)
            if pause_s:
                self._clock.sleep(pause_s)

    def step(self):
        """Makes one call and returns the seconds to wait before the next one."""
        if self.version is None or self.era != self._health.era.number:
            return self._read_all()
        sent_at = self._clock.monotonic()
        wait_s = self._wait_s()
        self._polling = True
        self._behind_since = None
        try:
            found = self._source.changes(self._table, self.version, wait_s)
        finally:
            self._polling = False
        current_metrics().store_called("changes", _outcome(found))
        if found.is_ok():
            self._note_answer(sent_at)
            changes = found.unwrap()
            if changes.rows:
                self._view.apply(changes.rows)
                self._note_changed(changes.rows)
            self.version = max(self.version, changes.version)
            return self._pause_s() if changes.rows else 0.0
        if isinstance(found.unwrap_err(), HistoryGone):
            log_event("history_gone", table=self._table, version=self.version)
            self._note_answer(sent_at)
            return self._read_all()
        return self._note_failure(found.unwrap_err())

    def _wait_s(self):
        if self._watch_s is None:
            return FEED_WAIT_S
        if self._health.is_recovering():
            return RECOVERY_WAIT_S if self._is_watching() else IDLE_RECOVERY_WAIT_S
        return self._watch_s()

    def _is_watching(self):
        """Returns whether others learn from this follower how the store is."""
        return self._watch_s is not None and self._watch_s() < FEED_WAIT_S

    def _read_all(self):
        sent_at = self._clock.monotonic()
        found = self._source.snapshot(self._table)
        current_metrics().store_called("snapshot", _outcome(found))
        if found.is_err():
            return self._note_failure(found.unwrap_err())
        self._note_answer(sent_at)
        snapshot = found.unwrap()
        restored = self.version is not None and snapshot.era not in (None, self.era)
        if not restored and snapshot.version < (self.version or 0):
            log_event(
                "stale_snapshot",
                level="warning",
                table=self._table,
                version=snapshot.version,
                known_version=self.version,
            )
            return STALE_RETRY_S
        self._view.replace(snapshot.rows, restored)
        if restored:
            self.changed = 0
        self._note_changed(snapshot.rows)
        self.version = snapshot.version
        known_era = self._health.era.number
        self.era = known_era if snapshot.era is None else snapshot.era
        return 0.0

    def _note_changed(self, rows):
        self.changed = max([self.changed, *(row.version for row in rows)])

    def _note_answer(self, sent_at):
        self._failures = 0
        self._behind_s = BEHIND_S
        self._health.answered(sent_at)

    def _note_failure(self, failure):
        self._health.failed(f"{self._table}: {failure.detail}")
        hurry = self.version is None or self._is_watching()
        limit_s = RETRY_LIMIT_S if hurry else IDLE_RETRY_LIMIT_S
        bound = min(limit_s, RETRY_BASE_S * 2**self._failures)
        self._failures += 1
        return bound * self._rng.uniform(0.5, 1.0)


class OnDemandFollower(TableFollower):
    """Reads a table's changes when asked to, and now and then.

    It suits a table whose changes are noticed elsewhere, too.
    """

    def __init__(self, *args, **options):
        """Creates the follower; see `TableFollower`."""
        super().__init__(*args, **options)
        self._asked = gevent.event.Event()

    def ask(self):
        """Lets the changes be read soon."""
        self._asked.set()

    def _run(self):
        while True:
            pause_s = self.step()
            if self._failures:
                self._health.wait(FEED_WAIT_S)
                self._clock.sleep(pause_s)
                continue
            # Further demands gather.
            self._clock.sleep(self._pause_s())
            self._asked.wait(REFRESH_S)
            self._asked.clear()

    def _wait_s(self):
        return 0.0


def _outcome(found):
    """Returns the outcome of a call in one word."""
    if found.is_ok():
        return "ok"
    return "history_gone" if isinstance(found.unwrap_err(), HistoryGone) else "failed"
