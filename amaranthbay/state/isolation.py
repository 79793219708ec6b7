"""Claims of servers for suspects, so that no server runs two suspects at a time.

A suspect is a request that may have crashed a backend server (see `CrashMarks`). If it
is the only suspect on a server that dies, the death is attributed to it alone.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta

import gevent
import msgspec
from result import Err, Ok

from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.observe import log_event
from amaranthbay.platform.types import CommitState, Write

__all__ = ["Claim", "Isolation", "SuspectClaims"]

# Long enough to outlast a short outage of the platform. If a daemon dies, its claims
# keep other suspects, but no other requests, off the servers for this long.
CLAIM_TTL = timedelta(seconds=60)
RENEW_INTERVAL_S = 20.0
RETRY_AFTER = timedelta(seconds=5)
KEY_PREFIX = "crash-run/"


@dataclass(frozen=True)
class Claim:
    """Value of the row of a server that runs a suspect.

    Attributes:
        fingerprint: Fingerprint of the suspect.
        attempt_id: Attempt of the suspect that runs on the server.
        until: When the claim ends unless it is renewed, in ISO format.
    """

    fingerprint: str
    attempt_id: str
    until: str


class SuspectClaims:
    """Claims servers for suspects by transactions of the table service."""

    def __init__(self, table, clock):
        self._table = table
        self._clock = clock

    def isolate(self, fingerprint, attempt_id, instances):
        """Claims all given servers for one attempt of a suspect, or none of them.

        Args:
            fingerprint: Fingerprint of the suspect.
            attempt_id: Attempt that is to run on the servers.
            instances: Instances of the servers.

        Returns:
            ``Result[Isolation, Refusal]``. While the platform is down, suspects are
            refused, because only the table tells which servers are free.
        """
        instances = tuple(dict.fromkeys(instances))
        versions = dict.fromkeys(instances, 0)
        # The first try expects no rows; the second one replaces expired claims.
        for _ in range(2):
            claim = self._new_claim(fingerprint, attempt_id)
            outcome = self._table.commit(_writes(claim, versions))
            if outcome.state is CommitState.DONE:
                return Ok(Isolation(self, claim, self._by_instance(outcome.versions)))
            entries = self._read(instances)
            if entries is None:
                return Err(_platform_refusal())
            # The commit took effect, but its reply was lost.
            if all(_is_of_attempt(entries[name], attempt_id) for name in instances):
                held_versions = {name: entries[name][1] for name in instances}
                return Ok(Isolation(self, claim, held_versions))
            if any(
                self._is_held_by_other(entry, attempt_id) for entry in entries.values()
            ):
                break
            versions = {name: entries[name][1] for name in instances}
        detail = "the chosen backend server runs another suspected request"
        return Err(not_run(Reason.SUSPECT_WAITING, detail, retry_after=RETRY_AFTER))

    def active_claim(self, instance):
        """Returns the `Claim` of a server.

        Returns None if the server isn't claimed, if the claim has expired or if the
        table can't be read.
        """
        entries = self._read((instance,))
        if entries is None or not self._is_held_by_other(entries[instance], ""):
            return None
        return entries[instance][0]

    def _new_claim(self, fingerprint, attempt_id):
        until = self._clock.now() + CLAIM_TTL
        return Claim(fingerprint, attempt_id, until.isoformat())

    def _by_instance(self, versions):
        """Returns versions by instance, given by row key."""
        return {
            key.removeprefix(KEY_PREFIX): version for key, version in versions.items()
        }

    def _read(self, instances):
        """Reads the rows of servers.

        Returns:
            Claim and row version by instance, ``(None, 0)`` without a row; None if
            the table can't be read.
        """
        entries = {}
        for instance in instances:
            reply = self._table.read(KEY_PREFIX + instance)
            if reply.is_err():
                return None
            row = reply.unwrap()
            if row is None:
                entries[instance] = (None, 0)
            else:
                entries[instance] = (msgspec.convert(row.value, Claim), row.version)
        return entries

    def _is_held_by_other(self, entry, attempt_id):
        """Returns whether another attempt holds a claim that has not expired."""
        claim, _ = entry
        if claim is None or claim.attempt_id == attempt_id:
            return False
        return datetime.fromisoformat(claim.until) > self._clock.now()

    def renew(self, isolation):
        """Extends the claims of an `Isolation`.

        Returns:
            False if the claims are lost. True does not mean that they were extended:
            the platform may be down or its reply may be lost.
        """
        claim = self._new_claim(isolation.claim.fingerprint, isolation.claim.attempt_id)
        outcome = self._table.commit(_writes(claim, isolation.versions))
        if outcome.state is CommitState.DONE:
            isolation.versions = self._by_instance(outcome.versions)
        return outcome.state is not CommitState.CONFLICT

    def release(self, versions):
        """Releases servers.

        Args:
            versions: Versions of the claimed rows by instance.
        """
        writes = [
            Write(KEY_PREFIX + instance, None, version)
            for instance, version in versions.items()
        ]
        self._table.commit(writes)


class Isolation:
    """Servers that one attempt of a suspect shares with no other suspect.

    The claims are renewed until `release` is called.

    Attributes:
        claim: `Claim` under which the servers are held.
        versions: Versions of the claimed rows by instance.
    """

    def __init__(self, claims, claim, versions):
        self._claims = claims
        self.claim = claim
        self.versions = versions
        self._job = gevent.spawn(self._renew_periodically)

    def _renew_periodically(self):
        while True:
            gevent.sleep(RENEW_INTERVAL_S)
            if not self._claims.renew(self):
                log_event("claim_lost", level="warning", claim=self.claim.attempt_id)
                return

    def release(self, dead=()):
        """Ends the renewal and releases the servers.

        Args:
            dead: Instances that died. Their rows stay until they expire, because other
                daemons read from them which request the death is attributed to.
        """
        self._job.kill(block=False)
        alive = {
            instance: version
            for instance, version in self.versions.items()
            if instance not in dead
        }
        if alive:
            gevent.spawn(self._claims.release, alive)


def _writes(claim, versions):
    value = msgspec.to_builtins(claim)
    return [
        Write(KEY_PREFIX + instance, value, version)
        for instance, version in versions.items()
    ]


def _is_of_attempt(entry, attempt_id):
    return entry[0] is not None and entry[0].attempt_id == attempt_id


def _platform_refusal():
    detail = "the platform's table service can't isolate a suspected request"
    return not_run(Reason.PLATFORM_UNAVAILABLE, detail, retry_after=RETRY_AFTER)
