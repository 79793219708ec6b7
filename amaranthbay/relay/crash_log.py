"""Keeps crashes in the platform's store, as they outlive the processes that saw them.

Each instance appends what it has seen itself: crashes with the requests and the parts
of prompts that were present at them, and those of them that it has found sound. Rows
are never changed. A new process reads all rows and replays them in order of time. While
the store is away, what was seen waits in memory, and instances tell each other.
"""

import itertools
from dataclasses import dataclass

import gevent.event
import msgspec

from amaranthbay.observe import current_metrics, log_event
from amaranthbay.platform.types import CommitState, Write
from amaranthbay.relay.crash_requests import CRASH_LIFE_S

__all__ = ["CrashLog"]

# Time over which crashes are collected for one write, as all exchanges of a server
# break at the same moment, and longest delay of what is only found sound.
CRASH_DELAY_S = 0.05
SOUND_DELAY_S = 2.0
# Delays after a failed call; each further failure doubles the delay.
RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.3, 4.8
# Largest numbers of entries in a row and of names in an entry; a row has 64 KiB.
MAX_ENTRIES = 3
MAX_NAMES = 500
# Largest number of entries that wait for the store; the oldest go first.
MAX_PENDING = 500
# Largest number of rows that are read; they hold the crashes of a day.
MAX_ROWS = 5000
MAX_ROWS_PER_WRITE = 100


class _Entry(msgspec.Struct, frozen=True):
    """What an instance has seen at one moment.

    Attributes:
        at: Time on the store's steady clock in seconds.
        crash: Name of a crash; empty if the rest was found sound.
        requests: Fingerprints of requests.
        parts: Names of parts of prompts.
    """

    at: float
    crash: str = ""
    requests: tuple[str, ...] = ()
    parts: tuple[str, ...] = ()


class _Row(msgspec.Struct, frozen=True):
    """Value of a row: entries in the order in which they were seen."""

    entries: tuple[_Entry, ...]


@dataclass(frozen=True)
class _Note:
    """An entry that waits for the store; `seen_at` is its monotonic time."""

    seen_at: float
    crash: str
    requests: tuple
    parts: tuple

    def joined(self, other):
        """Returns one note for this and a later one; None if that isn't possible."""
        requests = tuple(dict.fromkeys(self.requests + other.requests))
        parts = tuple(dict.fromkeys(self.parts + other.parts))
        if self.crash != other.crash or max(len(requests), len(parts)) > MAX_NAMES:
            return None
        # What was found sound last is sound at all earlier crashes.
        seen_at = self.seen_at if self.crash else other.seen_at
        return _Note(seen_at, self.crash, requests, parts)


class CrashLog:
    """Writes what this instance sees of crashes, and reads what was written before.

    Attributes:
        loaded: Whether the rows of earlier processes have been read.
    """

    def __init__(self, table, clock, store_time, writer):
        """Creates the log; `run` reads and writes it.

        Args:
            table: `TableService` of the rows.
            clock: `Clock`.
            store_time: Function that returns the store's steady time in seconds, or
                None while it is unknown.
            writer: Name of this process, which no other process has had.
        """
        self.loaded = False
        self._table = table
        self._clock = clock
        self._store_time = store_time
        self._writer = writer
        self._row_numbers = itertools.count()
        self._pending = []
        self._wanted = gevent.event.Event()
        self._crash_noted = gevent.event.Event()

    def note_crash(self, crash, crashed_at, requests, parts=()):
        """Appends a crash.

        Args:
            crash: Name of the crash.
            crashed_at: Monotonic time of the crash.
            requests: Fingerprints of requests that ran on the server.
            parts: Parts of their prompts that may have caused it.
        """
        self._append(crashed_at, crash, tuple(requests), tuple(parts))
        self._crash_noted.set()

    def note_sound(self, requests=(), parts=()):
        """Appends requests and parts that are suspected no longer."""
        self._append(self._clock.monotonic(), "", tuple(requests), tuple(parts))

    def _append(self, seen_at, crash, requests, parts):
        note = _Note(seen_at, crash, requests[:MAX_NAMES], parts[:MAX_NAMES])
        # The exchanges of a crashed server break one after the other.
        joined = self._pending and self._pending[-1].joined(note)
        if joined:
            self._pending[-1] = joined
        else:
            self._pending.append(note)
        del self._pending[:-MAX_PENDING]
        self._wanted.set()

    def run(self, replay):
        """Reads the rows of earlier processes, then writes; runs until killed.

        Args:
            replay: Function that is called with the monotonic time, the name of the
                crash (empty if found sound), the requests and the parts of each entry
                that counts, in the order of their time.
        """
        self._retry(lambda: self._load(replay))
        self.loaded = True
        while True:
            self._wanted.wait()
            self._crash_noted.wait(SOUND_DELAY_S)
            self._clock.sleep(CRASH_DELAY_S)
            self._crash_noted.clear()
            self._wanted.clear()
            self._retry(self._flush)

    def _retry(self, attempt):
        """Repeats an attempt until it succeeds."""
        delay_s = RETRY_DELAY_S
        while not attempt():
            self._clock.sleep(delay_s)
            delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)

    def _load(self, replay):
        """Reads and replays all rows; returns whether the store has answered."""
        entries = []
        rows = self._table.scan("", limit=MAX_ROWS)
        current_metrics().store_called("crashes_read", "failed" if rows.err() else "ok")
        now = self._store_time()
        if rows.is_err() or now is None:
            return False
        for row in rows.unwrap():
            entries += _decode(row)
        entries = sorted(entries, key=lambda entry: entry.at)
        counting = [entry for entry in entries if now - entry.at < CRASH_LIFE_S]
        for entry in counting:
            seen_at = self._clock.monotonic() - max(0.0, now - entry.at)
            replay(seen_at, entry.crash, entry.requests, entry.parts)
        crashes = len({entry.crash for entry in counting if entry.crash})
        log_event("crashes_loaded", rows=len(rows.unwrap()), crashes=crashes)
        return True

    def _flush(self):
        """Writes what waits; returns whether all is written."""
        while self._pending:
            if not self._write_row():
                return False
        return True

    def _write_row(self):
        """Writes the oldest entries that wait; returns whether they are written."""
        now = self._store_time()
        if now is None:
            return False
        batch = self._pending[:MAX_ENTRIES]
        entries = [
            {
                "at": round(now - (self._clock.monotonic() - note.seen_at), 3),
                "crash": note.crash,
                "requests": note.requests,
                "parts": note.parts,
            }
            for note in batch
        ]
        self._pending = self._pending[len(batch) :]
        key = f"{self._writer}/{next(self._row_numbers)}"
        state = self._table.commit([Write(key, {"entries": entries})]).state
        current_metrics().store_called("crashes_write", state)
        log_event("crashes_recorded", entries=len(entries), state=state)
        if state is not CommitState.DONE:
            # Two rows with the same entries do no harm.
            self._pending = batch + self._pending
        return state is CommitState.DONE

    def delete_expired(self):
        """Deletes rows whose entries no longer count."""
        now = self._store_time()
        rows = self._table.scan("", limit=MAX_ROWS).unwrap_or(())
        if now is None:
            return
        expired = [row.key for row in rows if _is_expired(row, now)]
        for start in range(0, len(expired), MAX_ROWS_PER_WRITE):
            keys = expired[start : start + MAX_ROWS_PER_WRITE]
            state = self._table.commit([Write(key, None) for key in keys]).state
            current_metrics().store_called("crashes_write", state)
            log_event("crash_rows_deleted", rows=len(keys), state=state)
            if state is not CommitState.DONE:
                return


def _decode(row):
    """Returns the `_Entry` of a stored `Row`; none if another program wrote it."""
    try:
        return msgspec.convert(row.value, _Row).entries
    except msgspec.ValidationError as exc:
        log_event("crash_row_unreadable", level="warning", key=row.key, detail=str(exc))
        return ()


def _is_expired(row, now):
    entries = _decode(row)
    return bool(entries) and all(now - entry.at >= CRASH_LIFE_S for entry in entries)
