"""Claims of servers by suspects, so that no server runs two of them."""

from dataclasses import dataclass
from datetime import datetime, timedelta

import gevent
import msgspec
from result import Err, Ok

from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.observe import log_event
from amaranthbay.platform.types import CommitState, Write

__all__ = ["Claim", "Isolation", "SuspectClaims"]

# Long enough to outlast a short outage of the platform; a claim whose daemon died
# blocks other suspects, and only those, for this long.
CLAIM_LIFE = timedelta(seconds=60)
RENEW_S = 20.0
RETRY_AFTER = timedelta(seconds=5)
PREFIX = "crash-run/"


@dataclass(frozen=True)
class Claim:
    """Row of a server that runs a suspect.

    Attributes:
        fingerprint: The suspect.
        attempt_id: Its attempt.
        until: When the claim ends unless it is renewed, in ISO format.
    """

    fingerprint: str
    attempt_id: str
    until: str


class SuspectClaims:
    """Grants servers to suspects through the table service's transactions."""

    def __init__(self, table, clock):
        self._table = table
        self._clock = clock

    def isolate(self, fingerprint, attempt_id, instances):
        """Claims servers for one attempt of a suspect, all or none.

        Returns:
            ``Result[Isolation, Refusal]``. With the platform down a suspect
            doesn't run, as nothing else can tell which servers are free.
        """
        instances = tuple(dict.fromkeys(instances))
        versions = dict.fromkeys(instances, 0)
        for _ in range(2):
            claim = self._claim(fingerprint, attempt_id)
            outcome = self._table.commit(_writes(claim, versions))
            if outcome.state is CommitState.DONE:
                return Ok(Isolation(self, claim, self._own(outcome.versions)))
            read = self._read(instances)
            if read is None:
                return Err(_platform_refusal())
            if all(_is_of(read[each], attempt_id) for each in instances):
                held = {each: read[each][1] for each in instances}
                return Ok(Isolation(self, claim, held))
            if any(self._is_held(each, attempt_id) for each in read.values()):
                break
            versions = {each: read[each][1] for each in instances}
        detail = "the chosen backend server runs another suspected request"
        return Err(not_run(Reason.SUSPECT_WAITING, detail, retry_after=RETRY_AFTER))

    def holder(self, instance):
        """Returns the `Claim` of a server, or None if there is none known."""
        read = self._read((instance,))
        if read is None or not self._is_held(read[instance], ""):
            return None
        return read[instance][0]

    def _claim(self, fingerprint, attempt_id):
        until = self._clock.now() + CLAIM_LIFE
        return Claim(fingerprint, attempt_id, until.isoformat())

    def _own(self, versions):
        return {key.removeprefix(PREFIX): each for key, each in versions.items()}

    def _read(self, instances):
        """Returns pairs of claim and version by instance; None on failure."""
        found = {}
        for instance in instances:
            row = self._table.read(PREFIX + instance)
            if row.is_err():
                return None
            known = row.unwrap()
            if known is None:
                found[instance] = (None, 0)
            else:
                found[instance] = (msgspec.convert(known.value, Claim), known.version)
        return found

    def _is_held(self, entry, attempt_id):
        claim, _ = entry
        if claim is None or claim.attempt_id == attempt_id:
            return False
        return datetime.fromisoformat(claim.until) > self._clock.now()

    def renew(self, isolation):
        """Extends a claim; returns whether it is still held."""
        claim = self._claim(isolation.claim.fingerprint, isolation.claim.attempt_id)
        outcome = self._table.commit(_writes(claim, isolation.versions))
        if outcome.state is CommitState.DONE:
            isolation.versions = self._own(outcome.versions)
        return outcome.state is not CommitState.CONFLICT

    def release(self, versions):
        """Gives servers back."""
        writes = [Write(PREFIX + name, None, each) for name, each in versions.items()]
        self._table.commit(writes)


class Isolation:
    """Servers that one attempt of a suspect shares with no other suspect."""

    def __init__(self, claims, claim, versions):
        self._claims = claims
        self.claim = claim
        self.versions = versions
        self._job = gevent.spawn(self._keep)

    def _keep(self):
        while True:
            gevent.sleep(RENEW_S)
            if not self._claims.renew(self):
                log_event("claim_lost", level="warning", claim=self.claim.attempt_id)
                return

    def release(self, dead=()):
        """Ends the claim.

        Args:
            dead: Instances that died. Their rows stay until they expire, for
                other daemons that ask whom the death is put down to.
        """
        self._job.kill(block=False)
        alive = {
            name: version for name, version in self.versions.items() if name not in dead
        }
        if alive:
            gevent.spawn(self._claims.release, alive)


def _writes(claim, versions):
    value = msgspec.to_builtins(claim)
    return [Write(PREFIX + name, value, each) for name, each in versions.items()]


def _is_of(entry, attempt_id):
    return entry[0] is not None and entry[0].attempt_id == attempt_id


def _platform_refusal():
    detail = "the platform's table service can't isolate a suspected request"
    return not_run(Reason.PLATFORM_UNAVAILABLE, detail, retry_after=RETRY_AFTER)
