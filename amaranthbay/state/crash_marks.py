"""Crash marks: identify a request that crashes the backend servers that run it.

A mark attributes the death of a server to a request. A request with a mark is a
suspect, which runs isolated from other suspects. With as many marks as the crash limit
it is quarantined: no daemon runs it again.
"""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta

import gevent
import msgspec
from result import Err, Ok

from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.kernel.registry import register
from amaranthbay.observe import log_event
from amaranthbay.platform.types import CommitState, Write

__all__ = ["CrashMarks", "fingerprint_of"]

MARK_TTL = timedelta(days=1)
MAX_MARKS = 10_000
SCAN_INTERVAL_S = 3.0
# Longest duration of a scan, as bounded by the platform's client.
MAX_SCAN_S = 2.0
SCAN_PAGE_ROWS = 1000
# How long a new mark is kept although scans don't find it. The peer that has sent the
# mark may write it to the table only after the next scan.
UNCONFIRMED_TTL_S = 60.0
MAX_BROADCAST_PEERS = 64
BROADCAST_TIMEOUT_S = 0.25
# Value of `CrashMark.death` if the server ran no isolated suspect. The mark only makes
# the requests that ran there suspects. All such marks of a request count as one, so
# that the failure of a rack doesn't quarantine the requests that ran on several of its
# servers.
SHARED_DEATH = "shared"
KEY_PREFIX = "crash/"


def fingerprint_of(service, *parts):
    """Returns the fingerprint of a request.

    Args:
        service: Name of the service.
        *parts: Content of the request as bytes. The boundaries between the parts
            count, too.

    Examples:
        >>> fingerprint_of("m", b"a", b"bc") == fingerprint_of("m", b"ab", b"c")
        False
    """
    hasher = hashlib.blake2b(digest_size=20)
    for part in (service.encode(), *parts):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.hexdigest()


@register("peer_message", "crash_mark")
@dataclass(frozen=True)
class CrashMark:
    """Attributes the death of a server to a request, or clears a suspect.

    Attributes:
        fingerprint: Fingerprint of the request.
        death: ``"shared"``, or the ID of the attempt that was the only suspect on the
            server; empty if cleared.
        at: Time of the death or of the clearing, in ISO format.
        cleared: Whether the request has ended without a death and is no longer a
            suspect.
    """

    fingerprint: str
    death: str
    at: str
    cleared: bool = False


@register("peer_message", "crash_mark_ack")
@dataclass(frozen=True)
class CrashMarkAck:
    """Confirms that a peer has applied a mark."""

    fingerprint: str


@dataclass
class _Suspect:
    """What a daemon knows about a suspected request.

    Attributes:
        deaths: `CrashMark` by death.
        last_marked_at: Monotonic time in seconds at which the latest mark was added.
        known_everywhere_at: Monotonic time in seconds by which all daemons know the
            marks that this daemon made; 0 if it made none.
    """

    deaths: dict = field(default_factory=dict)
    last_marked_at: float = 0.0
    known_everywhere_at: float = 0.0


class CrashMarks:
    """Cache of the marks of all daemons; the table service holds the originals."""

    def __init__(
        self, table, membership, channel, clock, crash_limit, listed_instances
    ):
        """Creates an empty cache.

        Args:
            table: `TableService` that holds the marks.
            membership: `Membership`.
            channel: `PeerChannel` to the other daemons.
            clock: `Clock`.
            crash_limit: Function that returns how many servers one request may
                crash.
            listed_instances: Function that returns the instances of all daemons that
                the platform lists.
        """
        self._listed_instances = listed_instances
        self._table = table
        self._membership = membership
        self._channel = channel
        self._clock = clock
        self._crash_limit = crash_limit
        self._suspects = OrderedDict()
        self._pending_marks = OrderedDict()
        channel.register_handler(CrashMark, self._on_mark)

    def check_suspicion(self, fingerprint):
        """Checks whether a request is a suspect, and whether it may run.

        Returns:
            ``Ok(True)`` if it may run as a suspect, ``Ok(False)`` if it isn't one,
            ``Err(Refusal)`` if it is quarantined.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return Ok(False)
        # Another request may have caused the first death, so the limit is at least 2.
        limit = max(2, self._crash_limit())
        if len(suspect.deaths) >= limit:
            detail = "the request has taken down the backend servers that ran it"
            return Err(not_run(Reason.QUARANTINED, detail, status=422))
        return Ok(True)

    def has_mark(self, fingerprint, death):
        """Returns whether a death is attributed to a request."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and death in suspect.deaths

    def record_death(self, fingerprints, death):
        """Records the death of a server for the requests it is attributed to.

        Sends the marks to the other daemons and writes them to the table before it
        returns. Marks that can't be written stay pending.

        Args:
            fingerprints: Fingerprints of the requests that ran on the server.
            death: `SHARED_DEATH`, or the ID of the attempt that was the only suspect on
                the server.
        """
        at = self._clock.now().isoformat()
        marks = [
            CrashMark(fingerprint, death, at)
            for fingerprint in dict.fromkeys(fingerprints)
        ]
        for mark in marks:
            log_event("crash_mark", fingerprint=mark.fingerprint, death=death)
            self._add_mark(mark)
            self._pending_marks[mark.fingerprint, mark.death] = mark
        while len(self._pending_marks) > MAX_MARKS:
            self._pending_marks.popitem(last=False)
        acked_by = self._broadcast(marks)
        written = self.write_pending()
        if not acked_by and not written:
            log_event("crash_mark_kept_locally", level="warning", count=len(marks))
        self._set_known_everywhere_at(fingerprints, acked_by)

    def _set_known_everywhere_at(self, fingerprints, acked_by):
        """Records when all daemons know the marks: now, or after their next scan."""
        now = self._clock.monotonic()
        others = {*self._listed_instances(), *self._peers()} - {
            self._membership.own().instance
        }
        known_at = now if others <= acked_by else now + SCAN_INTERVAL_S + MAX_SCAN_S
        for fingerprint in fingerprints:
            suspect = self._suspects.get(fingerprint)
            if suspect is not None:
                suspect.known_everywhere_at = known_at

    def with_retry_after(self, fingerprint, refusal):
        """Sets a refusal's ``retry_after`` to when all daemons know the marks.

        The refusal itself is not delayed. A caller that retries earlier may reach a
        daemon that doesn't know yet that the request is a suspect.

        Returns:
            The `Refusal`, unchanged if all daemons already know the marks or if the
            request is quarantined.
        """
        suspect = self._suspects.get(fingerprint)
        left_s = (
            suspect.known_everywhere_at - self._clock.monotonic() if suspect else 0.0
        )
        if left_s <= 0.0 or refusal.reason is Reason.QUARANTINED:
            return refusal
        earliest = max(timedelta(seconds=left_s), refusal.retry_after or timedelta())
        return replace(refusal, retry_after=earliest)

    def clear(self, fingerprint):
        """Removes the marks of a request that has run to its end."""
        suspect = self._suspects.pop(fingerprint, None)
        if suspect is None:
            return
        log_event("crash_mark_cleared", fingerprint=fingerprint)
        for death in suspect.deaths:
            self._pending_marks.pop((fingerprint, death), None)
        writes = [Write(_key(fingerprint, death), None) for death in suspect.deaths]
        self._table.commit(writes)
        at = self._clock.now().isoformat()
        self._broadcast([CrashMark(fingerprint, "", at, cleared=True)])

    def write_pending(self):
        """Writes the pending marks to the table; returns whether none is left."""
        marks = list(self._pending_marks.values())[:50]
        while marks:
            writes = [
                Write(_key(mark.fingerprint, mark.death), msgspec.to_builtins(mark))
                for mark in marks
            ]
            # The writes are idempotent, so they are repeated after a lost reply.
            if self._table.commit(writes).state is not CommitState.DONE:
                return False
            for mark in marks:
                self._pending_marks.pop((mark.fingerprint, mark.death), None)
            marks = list(self._pending_marks.values())[:50]
        return True

    def run(self):
        """Scans the table periodically until killed."""
        while True:
            self.scan()
            gevent.sleep(SCAN_INTERVAL_S)

    def scan(self):
        """Reads all marks from the table; returns whether the table answered."""
        self.write_pending()
        started_at = self._clock.monotonic()
        marks_by_fingerprint = {}
        after = ""
        while True:
            page = self._table.scan(KEY_PREFIX, after, SCAN_PAGE_ROWS)
            if page.is_err():
                return False
            rows = page.unwrap()
            for row in rows:
                self._read_row(row, marks_by_fingerprint)
            if len(rows) < SCAN_PAGE_ROWS:
                break
            after = rows[-1].key
        self._replace_suspects(marks_by_fingerprint, started_at)
        return True

    def _read_row(self, row, marks_by_fingerprint):
        """Adds the mark in a row; removes the row if it has expired."""
        try:
            mark = msgspec.convert(row.value, CrashMark)
            expired = datetime.fromisoformat(mark.at) + MARK_TTL < self._clock.now()
        except (msgspec.ValidationError, ValueError):
            return
        if expired:
            self._table.commit([Write(row.key, None, row.version)])
        else:
            marks_by_fingerprint.setdefault(mark.fingerprint, {})[mark.death] = mark

    def _replace_suspects(self, marks_by_fingerprint, scan_started_at):
        """Replaces the suspects, except those whose marks may not be in the table."""
        suspects = OrderedDict()
        for fingerprint, suspect in self._suspects.items():
            is_pending = any(key[0] == fingerprint for key in self._pending_marks)
            if (
                is_pending
                or scan_started_at - suspect.last_marked_at < UNCONFIRMED_TTL_S
            ):
                suspects[fingerprint] = suspect
        self._suspects = suspects
        for marks in marks_by_fingerprint.values():
            for mark in marks.values():
                self._add_mark(mark)

    def _add_mark(self, mark):
        suspect = self._suspects.setdefault(mark.fingerprint, _Suspect())
        if mark.death not in suspect.deaths:
            suspect.deaths[mark.death] = mark
            suspect.last_marked_at = self._clock.monotonic()
        self._suspects.move_to_end(mark.fingerprint)
        while len(self._suspects) > MAX_MARKS:
            self._suspects.popitem(last=False)

    def _peers(self):
        own = self._membership.own().instance
        live = [member.instance for member in self._membership.live()]
        return [instance for instance in live if instance != own]

    def _broadcast(self, marks):
        """Sends marks to the peers; returns those that acknowledged all of them."""
        jobs = {
            peer: [
                gevent.spawn(self._channel.ask, peer, mark, BROADCAST_TIMEOUT_S)
                for mark in marks
            ]
            for peer in self._peers()[:MAX_BROADCAST_PEERS]
        }
        gevent.joinall(sum(jobs.values(), []), timeout=2 * BROADCAST_TIMEOUT_S)
        return {
            peer
            for peer, peer_jobs in jobs.items()
            if all(isinstance(job.value, CrashMarkAck) for job in peer_jobs)
        }

    def _on_mark(self, sender, mark):
        if mark.cleared:
            self._suspects.pop(mark.fingerprint, None)
        else:
            self._add_mark(mark)
        return CrashMarkAck(mark.fingerprint)


def _key(fingerprint, death):
    return f"{KEY_PREFIX}{fingerprint}/{death}"
