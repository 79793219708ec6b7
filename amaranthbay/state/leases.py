"""Leases with fencing numbers, kept in the table service.

A holder counts its lease from before it sent the write; a claimant counts from
after it has read the row. With clocks that run at about the same speed, the
holder's lease has always ended before somebody else can take it.

A table that is restored from an older copy may forget a lease that somebody holds, and
gives out the versions of rows again. Each era of the table therefore has a row and a
range of fencing numbers of its own, and nobody takes a lease before those of the era
before have ended.
"""

import uuid
from dataclasses import dataclass, replace

import msgspec

from amaranthbay.observe import log_event
from amaranthbay.platform.types import CommitState, Write

__all__ = ["Lease", "LeaseStore"]

PREFIX = "lease/"
# Bounds how much faster one monotonic clock may run than another.
CLOCK_DRIFT = 1.05
# Fencing numbers of one era; more than a lease of a second needs in a week.
ERA_FENCES = 1_000_000


@dataclass(frozen=True)
class _LeaseRow:
    """Value of a row.

    Attributes:
        holder: Instance that holds the lease; empty after a release.
        attempt: Names the write; settles a lost reply.
        fence: Rises with each change of holder and is never reused.
        duration_s: How long the holder may act after each write.
    """

    holder: str
    attempt: str
    fence: int
    duration_s: float


@dataclass(frozen=True)
class Lease:
    """A lease as its holder knows it.

    Attributes:
        name: Name of the lease.
        fence: Fencing number to send with each order.
        version: Version of the row.
        expires: Monotonic time of the holder after which it must not act.
        previous_s: Duration of the lease before it; 0 if there was none.
        era: Number of the table's era.
    """

    name: str
    fence: int
    version: int
    expires: float
    previous_s: float = 0.0
    era: int = 0


@dataclass(frozen=True)
class _Sighting:
    version: int
    first_seen: float


class LeaseStore:
    """Acquires, renews and releases leases for one daemon."""

    def __init__(self, table, clock, instance):
        self._table = table
        self._clock = clock
        self._instance = instance
        self._sightings = {}

    def is_held(self, lease, margin_s=0.0):
        """Returns whether the lease lasts for at least the margin."""
        if lease.era != self._table.era().number:
            return False
        return self._clock.monotonic() + margin_s < lease.expires

    def acquire(self, name, duration_s):
        """Takes a lease if it is free or was not renewed for its duration.

        Returns:
            A `Lease`, or None; the caller asks again later.
        """
        era = self._table.era()
        found = self._table.read(_key(name, era.number))
        if found.is_err() or not self._may_claim(era, duration_s):
            return None
        row = found.unwrap()
        known = None if row is None else msgspec.convert(row.value, _LeaseRow)
        if known is not None and not self._has_ended(row, known):
            return None
        fence = known.fence + 1 if known else era.number * ERA_FENCES + 1
        value = _LeaseRow(self._instance, uuid.uuid4().hex, fence, duration_s)
        lease = self._write(name, era.number, value, row.version if row else 0)
        if lease is not None:
            log_event("lease_acquired", lease=name, fence=fence)
        if lease is None or known is None:
            return lease
        return replace(lease, previous_s=known.duration_s)

    def _may_claim(self, era, duration_s):
        """Returns whether the leases of an earlier era have ended.

        Their rows are not to be relied on, and neither is the time of the restore: a
        process that starts sees the era for the first time.
        """
        if era.number != self._table.era().number:
            return False
        waited_s = self._clock.monotonic() - era.seen_at
        return waited_s > duration_s * CLOCK_DRIFT

    def _has_ended(self, row, known):
        """Returns whether the holder of a row can't act any more.

        The age of a row is counted from its first sighting by this daemon's own
        monotonic clock; wall clocks of two daemons are never compared.
        """
        if not known.holder:
            return True
        now = self._clock.monotonic()
        seen = self._sightings.get(row.key)
        if seen is None or seen.version != row.version:
            self._sightings[row.key] = _Sighting(row.version, now)
            return False
        return now - seen.first_seen > known.duration_s * CLOCK_DRIFT

    def renew(self, lease, duration_s):
        """Extends a lease; returns the extended `Lease`, or None if it is lost."""
        if not self.is_held(lease):
            return None
        value = _LeaseRow(self._instance, uuid.uuid4().hex, lease.fence, duration_s)
        renewed = self._write(lease.name, lease.era, value, lease.version)
        if renewed is None:
            return None
        return replace(renewed, previous_s=lease.previous_s)

    def release(self, lease):
        """Frees a lease; its row stays, so that fencing numbers keep rising."""
        value = _LeaseRow("", uuid.uuid4().hex, lease.fence, 0.0)
        key = _key(lease.name, lease.era)
        write = Write(key, msgspec.to_builtins(value), lease.version)
        return self._table.commit([write]).state is CommitState.DONE

    def _write(self, name, era, value, if_version):
        """Returns the `Lease` that a conditional write gives, or None."""
        sent_at = self._clock.monotonic()
        write = Write(_key(name, era), msgspec.to_builtins(value), if_version)
        outcome = self._table.commit([write])
        version = outcome.versions.get(write.key)
        if outcome.state is CommitState.UNKNOWN:
            version = self._read_back(write.key, value)
        if version is None or era != self._table.era().number:
            return None
        expires = sent_at + value.duration_s
        return Lease(name, value.fence, version, expires, era=era)

    def _read_back(self, key, value):
        """Returns the version of the row if it holds this very write."""
        row = self._table.read(key).unwrap_or(None)
        if row is None:
            return None
        known = msgspec.convert(row.value, _LeaseRow)
        return row.version if known.attempt == value.attempt else None


def _key(name, era):
    """Returns the key of a lease's row in an era."""
    return f"{PREFIX}{name}/{era}" if era else PREFIX + name
