"""Leases with fencing numbers, kept in the table service.

A holder counts its lease from before it sent the write; a claimant counts from
after it has read the row. With clocks that run at about the same speed, the
holder's lease has always ended before somebody else can take it.
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
    """

    name: str
    fence: int
    version: int
    expires: float
    previous_s: float = 0.0


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
        return self._clock.monotonic() + margin_s < lease.expires

    def acquire(self, name, duration_s):
        """Takes a lease if it is free or was not renewed for its duration.

        Returns:
            A `Lease`, or None; the caller asks again later.
        """
        found = self._table.read(PREFIX + name)
        if found.is_err():
            return None
        row = found.unwrap()
        known = None if row is None else msgspec.convert(row.value, _LeaseRow)
        if known is not None and not self._has_ended(name, row, known):
            return None
        fence = known.fence + 1 if known else 1
        value = _LeaseRow(self._instance, uuid.uuid4().hex, fence, duration_s)
        lease = self._write(name, value, row.version if row else 0)
        if lease is not None:
            log_event("lease_acquired", lease=name, fence=fence)
        if lease is None or known is None:
            return lease
        return replace(lease, previous_s=known.duration_s)

    def _has_ended(self, name, row, known):
        """Returns whether the holder of a row can't act any more.

        The age of a row is counted from its first sighting by this daemon's own
        monotonic clock; wall clocks of two daemons are never compared.
        """
        if not known.holder:
            return True
        now = self._clock.monotonic()
        seen = self._sightings.get(name)
        if seen is None or seen.version != row.version:
            self._sightings[name] = _Sighting(row.version, now)
            return False
        return now - seen.first_seen > known.duration_s * CLOCK_DRIFT

    def renew(self, lease, duration_s):
        """Extends a lease; returns the extended `Lease`, or None if it is lost."""
        if not self.is_held(lease):
            return None
        value = _LeaseRow(self._instance, uuid.uuid4().hex, lease.fence, duration_s)
        renewed = self._write(lease.name, value, lease.version)
        if renewed is None:
            return None
        return replace(renewed, previous_s=lease.previous_s)

    def release(self, lease):
        """Frees a lease; its row stays, so that fencing numbers keep rising."""
        value = _LeaseRow("", uuid.uuid4().hex, lease.fence, 0.0)
        write = Write(PREFIX + lease.name, msgspec.to_builtins(value), lease.version)
        return self._table.commit([write]).state is CommitState.DONE

    def _write(self, name, value, if_version):
        """Returns the `Lease` that a conditional write gives, or None."""
        sent_at = self._clock.monotonic()
        write = Write(PREFIX + name, msgspec.to_builtins(value), if_version)
        outcome = self._table.commit([write])
        version = outcome.versions.get(write.key)
        if outcome.state is CommitState.UNKNOWN:
            version = self._read_back(write.key, value)
        if version is None:
            return None
        return Lease(name, value.fence, version, sent_at + value.duration_s)

    def _read_back(self, key, value):
        """Returns the version of the row if it holds this very write."""
        row = self._table.read(key).unwrap_or(None)
        if row is None:
            return None
        known = msgspec.convert(row.value, _LeaseRow)
        return row.version if known.attempt == value.attempt else None
