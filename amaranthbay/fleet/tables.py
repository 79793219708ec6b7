"""Follows tables of the platform's store."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from amaranthbay.observe import log_event

__all__ = [
    "ChangedRow",
    "Changes",
    "HistoryGone",
    "Snapshot",
    "TableFollower",
    "TableSource",
]

# Bounds what an unnoticed loss of the feed costs; keep-alive probes find most.
FEED_WAIT_S = 15.0
# Longest pause between tries, so that a change is in force in time after an outage.
RETRY_LIMIT_S = 0.8
RETRY_BASE_S = 0.2
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
    """All rows of a table, and the store's version at that moment."""

    rows: tuple[ChangedRow, ...]
    version: int


@dataclass(frozen=True)
class Changes:
    """Rows that have changed, and the version from which to continue."""

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
        lost_at: Monotonic time since which the store gives no answer, or None.
        regained_at: Monotonic time of the last end of such a loss, or None.
    """

    def __init__(self, source, table, view, clock, rng):
        """Creates the follower.

        Args:
            source: `TableSource`.
            table: Name of the table.
            view: Object with ``replace(rows)`` and ``apply(rows)``.
            clock: `Clock`.
            rng: `random.Random`.
        """
        self._source = source
        self._table = table
        self._view = view
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self.version = None
        self.lost_at = None
        self.regained_at = None

    def run(self):
        """Follows the table until killed."""
        while True:
            pause_s = self.step()
            if pause_s:
                self._clock.sleep(pause_s)

    def step(self):
        """Makes one call and returns the seconds to wait before the next one."""
        if self.version is None:
            return self._read_all()
        found = self._source.changes(self._table, self.version, FEED_WAIT_S)
        if found.is_ok():
            self._note_answer()
            changes = found.unwrap()
            if changes.rows:
                self._view.apply(changes.rows)
            self.version = max(self.version, changes.version)
            return 0.0
        if isinstance(found.unwrap_err(), HistoryGone):
            log_event("history_gone", table=self._table, version=self.version)
            return self._read_all()
        return self._note_failure(found.unwrap_err())

    def _read_all(self):
        found = self._source.snapshot(self._table)
        if found.is_err():
            return self._note_failure(found.unwrap_err())
        self._note_answer()
        snapshot = found.unwrap()
        if self.version is not None and snapshot.version < self.version:
            log_event(
                "stale_snapshot",
                level="warning",
                table=self._table,
                version=snapshot.version,
                known_version=self.version,
            )
            return STALE_RETRY_S
        self._view.replace(snapshot.rows)
        self.version = snapshot.version
        return 0.0

    def _note_answer(self):
        self._failures = 0
        if self.lost_at is not None:
            self.regained_at = self._clock.monotonic()
            log_event(
                "store_regained",
                table=self._table,
                seconds=round(self.regained_at - self.lost_at, 3),
            )
            self.lost_at = None

    def _note_failure(self, failure):
        if self.lost_at is None:
            self.lost_at = self._clock.monotonic()
            log_event(
                "store_lost",
                level="warning",
                table=self._table,
                detail=failure.detail,
            )
        bound = min(RETRY_LIMIT_S, RETRY_BASE_S * 2**self._failures)
        self._failures += 1
        return bound * self._rng.uniform(0.5, 1.0)
