"""Leases with fencing numbers, stored in the table service.

A holder counts its lease from before it sends the write; another daemon counts it from
after it has read the row. If both clocks run at about the same speed, the lease has
always ended for its holder before another daemon can acquire it.

A table that is restored from an older copy may lack a lease that is still held, and
assigns row versions a second time. Each era, the period between two restores, therefore
has its own rows and its own range of fencing numbers, and no lease is acquired before
all leases of the previous era have ended.
"""

import uuid
from dataclasses import dataclass, replace

import msgspec

from amaranthbay.observe import log_event
from amaranthbay.platform.types import CommitState, Write
from amaranthbay.utils.decoding import Int64

__all__ = ["Lease", "LeaseStore"]

KEY_PREFIX = "lease/"
# Upper bound of the ratio between the speeds of two monotonic clocks.
MAX_CLOCK_DRIFT = 1.05
# Size of each era's range of fencing numbers; a lease of one second uses fewer in a
# week.
FENCES_PER_ERA = 1_000_000


@dataclass(frozen=True)
class _LeaseRow:
    """Value of a lease's row.

    Attributes:
        holder: Instance that holds the lease; empty after a release.
        attempt: ID of the write, by which its writer recognizes it after a lost reply.
        fence: Fencing number; rises with each change of holder and is never reused.
        duration_s: How long the holder may act after each write.
    """

    holder: str
    attempt: str
    fence: Int64
    duration_s: float


@dataclass(frozen=True)
class Lease:
    """A lease as its holder knows it.

    Attributes:
        name: Name of the lease.
        fence: Fencing number to send with each order.
        version: Version of the lease's row.
        expires_at: The holder's monotonic time in seconds after which it must not act.
        previous_duration_s: Duration in seconds that the lease had under its previous
            holder; 0 if there was none.
        era: Number of the table's era.
    """

    name: str
    fence: int
    version: int
    expires_at: float
    previous_duration_s: float = 0.0
    era: int = 0


@dataclass(frozen=True)
class _ObservedVersion:
    """A version of a row and the monotonic time at which it was first read."""

    version: int
    first_seen: float


class LeaseStore:
    """Acquires, renews and releases leases for one daemon."""

    def __init__(self, table, clock, instance):
        self._table = table
        self._clock = clock
        self._instance = instance
        self._observed = {}

    def is_held(self, lease, margin_s=0.0):
        """Returns whether the lease is held for longer than the margin."""
        if lease.era != self._table.era().number:
            return False
        return self._clock.monotonic() + margin_s < lease.expires_at

    def acquire(self, name, duration_s):
        """Acquires a lease that is free, or that its holder hasn't renewed in time.

        Args:
            name: Name of the lease.
            duration_s: How long the lease lasts without a renewal.

        Returns:
            `Lease`, or None if it was not acquired; the caller tries again later.
        """
        era = self._table.era()
        reply = self._table.read(_key(name, era.number))
        if reply.is_err() or not self._may_acquire(era, duration_s):
            return None
        row = reply.unwrap()
        current = None if row is None else _read_lease(row)
        if row is not None and (current is None or not self._has_ended(row, current)):
            return None
        fence = current.fence + 1 if current else era.number * FENCES_PER_ERA + 1
        value = _LeaseRow(self._instance, uuid.uuid4().hex, fence, duration_s)
        lease = self._write(name, era.number, value, row.version if row else 0)
        if lease is not None:
            log_event("lease_acquired", lease=name, fence=fence)
        if lease is None or current is None:
            return lease
        return replace(lease, previous_duration_s=current.duration_s)

    def _may_acquire(self, era, duration_s):
        """Returns whether all leases of the previous era have ended.

        The restored table tells neither which leases these were nor when it was
        restored. The wait therefore starts when this process first saw the era.
        """
        if era.number != self._table.era().number:
            return False
        waited_s = self._clock.monotonic() - era.seen_at
        return waited_s > duration_s * MAX_CLOCK_DRIFT

    def _has_ended(self, row, current):
        """Returns whether the lease in a row has ended for its holder.

        The age of a row version is counted from its first read by this daemon's own
        monotonic clock; wall clocks of two daemons are never compared.
        """
        if not current.holder:
            return True
        now = self._clock.monotonic()
        observed = self._observed.get(row.key)
        if observed is None or observed.version != row.version:
            self._observed[row.key] = _ObservedVersion(row.version, now)
            return False
        return now - observed.first_seen > current.duration_s * MAX_CLOCK_DRIFT

    def renew(self, lease, duration_s):
        """Extends a lease.

        Args:
            lease: `Lease` to extend.
            duration_s: How long it lasts from now on without a further renewal.

        Returns:
            The extended `Lease`, or None if it is lost.
        """
        if not self.is_held(lease):
            return None
        value = _LeaseRow(self._instance, uuid.uuid4().hex, lease.fence, duration_s)
        renewed = self._write(lease.name, lease.era, value, lease.version)
        if renewed is None:
            return None
        return replace(renewed, previous_duration_s=lease.previous_duration_s)

    def release(self, lease):
        """Releases a lease; returns whether the table service confirmed it.

        The row stays, so that the fencing numbers keep rising.
        """
        value = _LeaseRow("", uuid.uuid4().hex, lease.fence, 0.0)
        key = _key(lease.name, lease.era)
        write = Write(key, msgspec.to_builtins(value), lease.version)
        return self._table.commit([write]).state is CommitState.DONE

    def _write(self, name, era, value, if_version):
        """Writes a lease's row under a condition.

        Returns:
            The `Lease` that the row grants, or None if it was not written.
        """
        sent_at = self._clock.monotonic()
        write = Write(_key(name, era), msgspec.to_builtins(value), if_version)
        outcome = self._table.commit([write])
        version = outcome.versions.get(write.key)
        if outcome.state is CommitState.UNKNOWN:
            version = self._read_back(write.key, value)
        if version is None or era != self._table.era().number:
            return None
        expires_at = sent_at + value.duration_s
        return Lease(name, value.fence, version, expires_at, era=era)

    def _read_back(self, key, value):
        """Returns the version of a row, or None if this write isn't its latest one."""
        row = self._table.read(key).unwrap_or(None)
        if row is None:
            return None
        stored = _read_lease(row)
        is_own = stored is not None and stored.attempt == value.attempt
        return row.version if is_own else None


def _read_lease(row):
    """Returns the `_LeaseRow` of a row; None if another program has written it.

    Nobody may acquire the lease then, as its fence and its end are unknown.
    """
    try:
        return msgspec.convert(row.value, _LeaseRow)
    except msgspec.ValidationError as exc:
        log_event("lease_unreadable", level="warning", key=row.key, detail=str(exc))
        return None


def _key(name, era):
    """Returns the key of a lease's row in an era."""
    return f"{KEY_PREFIX}{name}/{era}" if era else KEY_PREFIX + name
