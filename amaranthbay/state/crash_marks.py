"""Crash marks: finds the request that takes down the servers that run it."""

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

MARK_LIFE = timedelta(days=1)
MARK_LIMIT = 10_000
SCAN_S = 3.0
# Longest time that a scan itself may take, as the platform's client bounds it.
SCAN_SLACK_S = 2.0
SCAN_ROWS = 1000
# A mark that a peer has sent may reach the table later than the next scan.
UNCONFIRMED_S = 60.0
SPREAD_LIMIT = 64
SPREAD_BOUND_S = 0.25
# A death beside other requests gives suspicion only, and only one such death
# counts: a rack that fails must not quarantine what ran on it.
SHARED = "shared"
PREFIX = "crash/"


def fingerprint_of(service, *parts):
    """Returns the fingerprint of a service and the content of a request.

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
    """One death that is put down to a request, or the end of a suspicion.

    Attributes:
        fingerprint: Request.
        death: ``"shared"`` or the attempt that ran without another suspect.
        at: Time of the death, in ISO format.
        cleared: Whether the request has ended without a death.
    """

    fingerprint: str
    death: str
    at: str
    cleared: bool = False


@register("peer_message", "crash_mark_ack")
@dataclass(frozen=True)
class CrashMarkAck:
    """A peer knows a mark."""

    fingerprint: str


@dataclass
class _Suspect:
    deaths: dict = field(default_factory=dict)
    learned_at: float = 0.0
    known_at: float = 0.0


class CrashMarks:
    """Marks of all daemons, cached; the table service is their owner."""

    def __init__(self, table, membership, channel, clock, crash_limit, listed):
        """Creates the marks.

        Args:
            table: `TableService`.
            membership: `Membership`.
            channel: `PeerChannel`.
            clock: `Clock`.
            crash_limit: Function that returns how many servers one request may
                take down.
            listed: Function that returns the instances of all daemons that the
                platform lists.
        """
        self._listed = listed
        self._table = table
        self._membership = membership
        self._channel = channel
        self._clock = clock
        self._crash_limit = crash_limit
        self._suspects = OrderedDict()
        self._unwritten = OrderedDict()
        channel.on(CrashMark, self._on_mark)

    def admit(self, fingerprint):
        """Returns ``Result[bool, Refusal]``: whether the request is a suspect."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return Ok(False)
        # The first death may have been another's fault, so one is never enough.
        limit = max(2, self._crash_limit())
        if len(suspect.deaths) >= limit:
            detail = "the request has taken down the backend servers that ran it"
            return Err(not_run(Reason.QUARANTINED, detail, status=422))
        return Ok(True)

    def has_mark(self, fingerprint, death):
        """Returns whether a death is put down to a request."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and death in suspect.deaths

    def blame(self, fingerprints, death):
        """Marks requests for a death; returns once table or a peer has the marks.

        Args:
            fingerprints: Requests that ran on the server.
            death: ``SHARED``, or the attempt that was the server's only suspect.
        """
        at = self._clock.now().isoformat()
        marks = [CrashMark(each, death, at) for each in dict.fromkeys(fingerprints)]
        for mark in marks:
            log_event("crash_mark", fingerprint=mark.fingerprint, death=death)
            self._learn(mark)
            self._unwritten[mark.fingerprint, mark.death] = mark
        while len(self._unwritten) > MARK_LIMIT:
            self._unwritten.popitem(last=False)
        acked = self._spread(marks)
        written = self.write_pending()
        if not acked and not written:
            log_event("crash_mark_kept_locally", level="warning", count=len(marks))
        self._note_known(fingerprints, acked)

    def _note_known(self, fingerprints, acked):
        """Notes when all daemons know: at once by messages, or after a scan."""
        now = self._clock.monotonic()
        others = {*self._listed(), *self._peers()} - {self._membership.own().instance}
        known_at = now if others <= acked else now + SCAN_S + SCAN_SLACK_S
        for fingerprint in fingerprints:
            suspect = self._suspects.get(fingerprint)
            if suspect is not None:
                suspect.known_at = known_at

    def name_return(self, fingerprint, refusal):
        """Returns a refusal that names when all daemons know the request's marks.

        The answer itself is not held back. A caller that comes back earlier may
        reach a daemon that runs the request like any other.
        """
        suspect = self._suspects.get(fingerprint)
        left = suspect.known_at - self._clock.monotonic() if suspect else 0.0
        if left <= 0.0 or refusal.reason is Reason.QUARANTINED:
            return refusal
        earliest = max(timedelta(seconds=left), refusal.retry_after or timedelta())
        return replace(refusal, retry_after=earliest)

    def clear(self, fingerprint):
        """Ends the suspicion of a request that has run to its end."""
        suspect = self._suspects.pop(fingerprint, None)
        if suspect is None:
            return
        log_event("crash_mark_cleared", fingerprint=fingerprint)
        for death in suspect.deaths:
            self._unwritten.pop((fingerprint, death), None)
        writes = [Write(_key(fingerprint, death), None) for death in suspect.deaths]
        self._table.commit(writes)
        at = self._clock.now().isoformat()
        self._spread([CrashMark(fingerprint, "", at, cleared=True)])

    def write_pending(self):
        """Writes marks that the table lacks; returns whether none is left."""
        marks = list(self._unwritten.values())[:50]
        while marks:
            writes = [
                Write(_key(each.fingerprint, each.death), msgspec.to_builtins(each))
                for each in marks
            ]
            # Repeating the write after a lost reply changes nothing.
            if self._table.commit(writes).state is not CommitState.DONE:
                return False
            for each in marks:
                self._unwritten.pop((each.fingerprint, each.death), None)
            marks = list(self._unwritten.values())[:50]
        return True

    def run(self):
        """Follows the table until killed."""
        while True:
            self.scan()
            gevent.sleep(SCAN_S)

    def scan(self):
        """Reads all marks; returns whether the table answered."""
        self.write_pending()
        started = self._clock.monotonic()
        found = {}
        after = ""
        while True:
            page = self._table.scan(PREFIX, after, SCAN_ROWS)
            if page.is_err():
                return False
            rows = page.unwrap()
            for row in rows:
                self._take_row(row, found)
            if len(rows) < SCAN_ROWS:
                break
            after = rows[-1].key
        self._replace(found, started)
        return True

    def _take_row(self, row, found):
        try:
            mark = msgspec.convert(row.value, CrashMark)
            expired = datetime.fromisoformat(mark.at) + MARK_LIFE < self._clock.now()
        except (msgspec.ValidationError, ValueError):
            return
        if expired:
            self._table.commit([Write(row.key, None, row.version)])
        else:
            found.setdefault(mark.fingerprint, {})[mark.death] = mark

    def _replace(self, found, now):
        kept = OrderedDict()
        for fingerprint, suspect in self._suspects.items():
            unwritten = any(key[0] == fingerprint for key in self._unwritten)
            if unwritten or now - suspect.learned_at < UNCONFIRMED_S:
                kept[fingerprint] = suspect
        self._suspects = kept
        for marks in found.values():
            for mark in marks.values():
                self._learn(mark)

    def _learn(self, mark):
        suspect = self._suspects.setdefault(mark.fingerprint, _Suspect())
        if mark.death not in suspect.deaths:
            suspect.deaths[mark.death] = mark
            suspect.learned_at = self._clock.monotonic()
        self._suspects.move_to_end(mark.fingerprint)
        while len(self._suspects) > MARK_LIMIT:
            self._suspects.popitem(last=False)

    def _peers(self):
        own = self._membership.own().instance
        live = [each.instance for each in self._membership.live()]
        return [each for each in live if each != own]

    def _spread(self, marks):
        """Tells other daemons; returns those that know all of the marks."""
        jobs = {
            peer: [
                gevent.spawn(self._channel.ask, peer, mark, SPREAD_BOUND_S)
                for mark in marks
            ]
            for peer in self._peers()[:SPREAD_LIMIT]
        }
        gevent.joinall(sum(jobs.values(), []), timeout=2 * SPREAD_BOUND_S)
        return {
            peer
            for peer, asked in jobs.items()
            if all(isinstance(job.value, CrashMarkAck) for job in asked)
        }

    def _on_mark(self, sender, mark):
        if mark.cleared:
            self._suspects.pop(mark.fingerprint, None)
        else:
            self._learn(mark)
        return CrashMarkAck(mark.fingerprint)


def _key(fingerprint, death):
    return f"{PREFIX}{fingerprint}/{death}"
