"""Backend servers that may get work, according to their entries in the store.

A backend server renews its entry by heartbeats. The store removes an entry as expired
after its server has missed several heartbeats.
"""

from dataclasses import dataclass, replace

from amaranthbay.fleet.departures import Departures
from amaranthbay.fleet.tables import apply_each
from amaranthbay.observe import log_event
from amaranthbay.routing import BackendServer, EntryRevision

__all__ = ["BackendPool"]

# Entries that expired while the store was unreachable reappear within about 2 s of its
# return.
REAPPEAR_GRACE_S = 2.0
# Entries expire after three missed heartbeats. A shorter outage, such as one lost
# packet, doesn't explain a missing entry.
MIN_EXPIRY_OUTAGE_S = 2.0
# A server whose entry is removed, or whose answers say that it leaves, may still serve
# for a moment. It is used only if its service has no other server, and for less than
# the shortest drain limit of 2 s.
DEPARTED_GRACE_S = 1.0
# Default time after which the entry of a silent server expires.
ENTRY_TTL_S = 3.6
# Time beyond the TTL of an entry within which servers have rewritten the entries that a
# restore of the store has undone.
REWRITE_GRACE_S = 2.0


@dataclass(frozen=True)
class _Entry:
    """The last entry that was read of a server.

    Attributes:
        server: `BackendServer` that the entry describes.
        removed_at: Monotonic time at which the entry was seen to be removed; None while
            it is listed.
        untrusted_until: Monotonic time until which the entry may come from an old copy
            of the store, made before the server left.
    """

    server: BackendServer
    removed_at: float | None = None
    untrusted_until: float = 0.0


class BackendPool:
    """View of the table of backend servers; see `TableFollower`."""

    def __init__(self, decode, clock, health, entry_ttl_s=ENTRY_TTL_S):
        """Creates an empty pool.

        Args:
            decode: Function of the name of a server and the bytes of its entry that
                returns ``Result[BackendServer, str]``.
            clock: `Clock`.
            health: `StoreHealth`, which knows of outages and restores of the store.
            entry_ttl_s: Seconds of silence after which the entry of a server expires.
        """
        self._decode = decode
        self._clock = clock
        self._entries = {}
        self._health = health
        self._entry_ttl_s = entry_ttl_s
        self._departures = Departures(clock)

    def replace(self, rows, restored=False):
        """Applies the whole table; servers without a row count as removed."""
        listed = {row.key for row in rows}
        for name in [name for name in self._entries if name not in listed]:
            self._remove(name)
        self.apply(rows)

    def apply(self, rows):
        """Applies changed rows."""
        apply_each(rows, self._apply_row)

    def _apply_row(self, row):
        if row.value is None:
            self._remove(row.key)
        else:
            self._put(row.key, row.value)

    def _put(self, name, value):
        decoded = self._decode(name, value)
        if decoded.is_err():
            log_event(
                "backend_entry_unusable",
                level="warning",
                backend_server=name,
                detail=decoded.unwrap_err(),
            )
            self._entries.pop(name, None)
            return
        server = decoded.unwrap()
        previous = self._entries.get(name)
        untrusted_until = 0.0
        if server.draining:
            self._departures.note_ended(server)
        elif self._may_be_outdated(server):
            untrusted_until = self._clock.monotonic() + self._rewrite_period_s()
            log_event("backend_entry_doubted", level="warning", backend_server=name)
        else:
            self._departures.clear_ended(name)
        self._entries[name] = _Entry(server, untrusted_until=untrusted_until)
        if (
            previous is None
            or previous.server != server
            or previous.removed_at is not None
        ):
            log_event(
                "backend_changed",
                backend_server=name,
                address=server.address,
                service=server.service,
                stage=server.stage,
                software_version=server.version,
                draining=server.draining,
            )

    def _remove(self, name):
        entry = self._entries.get(name)
        if entry is None or entry.removed_at is not None:
            return
        self._entries[name] = replace(entry, removed_at=self._clock.monotonic())
        if not self._may_have_expired():
            self._departures.note_ended(entry.server)
        log_event(
            "backend_removed", backend_server=name, lapsed=self._may_have_expired()
        )

    def _may_be_outdated(self, server):
        """Returns whether an entry may be older than the departure of its server.

        Only a restored store shows an older entry after a newer one.
        """
        restored_at = self._health.era.restored_at
        if restored_at is None or not self._departures.is_outdated(server):
            return False
        return self._clock.monotonic() - restored_at < self._rewrite_period_s()

    def _rewrite_period_s(self):
        """Returns the seconds after a restore until servers have rewritten entries."""
        return self._entry_ttl_s + REWRITE_GRACE_S

    def mark_leaving(self, name):
        """Marks a server as leaving after one of its answers said so.

        Returns:
            Whether the server was not marked before.
        """
        entry = self._entries.get(name)
        revision = entry.server.revision if entry else EntryRevision()
        return self._departures.note_announced(name, revision)

    def leaving(self):
        """Returns the servers that recently announced that they leave.

        Returns:
            Start of the process in Unix milliseconds, by name of the server; see
            `EntryRevision`.
        """
        return self._departures.announced()

    def merge_leaving(self, started_ms_by_name):
        """Marks the servers as leaving that another instance reports so.

        Args:
            started_ms_by_name: Start of the process in Unix milliseconds, by name of
                the server.
        """
        for name, started_ms in started_ms_by_name.items():
            self._departures.note_announced(name, EntryRevision(started_ms))

    def forget(self, name):
        """Removes a server whose address now belongs to another server."""
        if self._entries.pop(name, None) is not None:
            log_event("backend_replaced", level="warning", backend_server=name)

    def _may_have_expired(self):
        """Returns whether missing entries may be due to an outage or a restore.

        Their servers may still run: they couldn't send heartbeats during an outage, and
        a restored store may lack their entries until they write them again.
        """
        health = self._health
        now = self._clock.monotonic()
        restored_at = health.era.restored_at
        if restored_at is not None and now - restored_at < REAPPEAR_GRACE_S:
            return True
        if health.lost_at is not None:
            return now - health.lost_at >= MIN_EXPIRY_OUTAGE_S
        if health.regained_at is None or health.lost_s < MIN_EXPIRY_OUTAGE_S:
            return False
        return now - health.regained_at < REAPPEAR_GRACE_S

    def versions(self, service):
        """Returns the software versions of a service's servers, leaving ones included.

        Args:
            service: Name of the service.
        """
        expiry_possible = self._may_have_expired()
        return {
            entry.server.version
            for entry in self._entries.values()
            if entry.server.service == service
            and (entry.removed_at is None or expiry_possible)
        }

    def is_listed(self, name):
        """Returns whether the entry of a server is known."""
        return name in self._entries

    def stage_of(self, name):
        """Returns the `Stage` that a server's entry names; None if it is unknown."""
        entry = self._entries.get(name)
        return entry.server.stage if entry is not None else None

    def usable(self, service, stage=None, version=None):
        """Returns the servers that may get new work, sorted by name.

        Servers that departed a moment ago are returned only if there are no others.

        Args:
            service: Name of the service.
            stage: `Stage` whose model servers are wanted; None for any.
            version: Software version that is wanted; None for any.
        """
        now = self._clock.monotonic()
        present, departed = [], []
        expiry_possible = self._may_have_expired()
        for name, entry in sorted(self._entries.items()):
            server = entry.server
            if server.service != service or (stage and server.stage is not stage):
                continue
            if version not in (None, server.version):
                continue
            if server.draining or now < entry.untrusted_until:
                continue
            left_at = self._departures.announced_at(server)
            if left_at is None and entry.removed_at is not None and not expiry_possible:
                left_at = entry.removed_at
            if left_at is None:
                present.append(server)
            elif now - left_at < DEPARTED_GRACE_S:
                departed.append(server)
        self._purge(now, expiry_possible)
        return tuple(present or departed)

    def _purge(self, now, expiry_possible):
        """Forgets removed servers and old departures, unless entries may return."""
        if expiry_possible:
            return
        self._departures.sweep()
        departed = [
            name
            for name, entry in self._entries.items()
            if entry.removed_at is not None
            and now - entry.removed_at >= DEPARTED_GRACE_S
        ]
        for name in departed:
            self._departures.note_ended(self._entries.pop(name).server)
