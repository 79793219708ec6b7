"""Idempotency records: a non-idempotent call runs at most once.

The right to run a call belongs to the attempt that its row names. It passes to another
attempt only after the first one has recorded that its call did not run.
"""

from dataclasses import dataclass, replace
from datetime import timedelta

import msgspec
from result import Err, Ok

from amaranthbay.kernel.errors import Reason, Refusal, Verdict, may_have_run, not_run
from amaranthbay.observe import log_event
from amaranthbay.platform.types import CommitState, Write
from amaranthbay.state.records import (
    CLOCK_TOLERANCE,
    RETENTION,
    Outcome,
    Record,
    RecordState,
    body_hash,
    key_time,
    row_key,
)
from amaranthbay.state.unsettled import UnsettledRecords

__all__ = ["IdempotencyStore", "Outcome", "Permit", "key_time"]

RETRY_AFTER = timedelta(seconds=2)
UNKNOWN_RETRY_AFTER = timedelta(seconds=60)
# Longer than the timeout of a call; a younger record may belong to a running call.
MAX_RUN_S = 45.0
READ_BACK_TRIES = 3
READ_BACK_PAUSE_S = 0.05
# Keeps rows small, because up to 50 of them are written in one transaction.
MAX_KEPT_BODY_BYTES = 16 * 1024


@dataclass(frozen=True)
class Permit:
    """The right of one attempt to run a call.

    Attributes:
        key: Key of the row that names the attempt.
        record: Content of the row.
        version: Version of the row.
    """

    key: str
    record: Record
    version: int


class IdempotencyStore:
    """Keeps idempotency records in the table service.

    Attributes:
        unsettled: Records whose final state the table service hasn't confirmed yet.
    """

    def __init__(self, table, clock):
        self._table = table
        self._clock = clock
        self.unsettled = UnsettledRecords(table, clock)

    @property
    def outstanding(self):
        """Number of unsettled records."""
        return len(self.unsettled)

    def run(self):
        """Retries the writes of unsettled records until killed."""
        self.unsettled.run()

    def begin(self, request, attempt):
        """Claims the right to run a call, before any byte of it is sent.

        Args:
            request: `CallerRequest` with an idempotency key.
            attempt: `Attempt` that is to run the call.

        Returns:
            ``Ok(Permit)`` if the attempt may run, ``Ok(Outcome)`` if the call has
            already run, else ``Err(Refusal)``.
        """
        refusal = self._check_key(request.idempotency_key)
        if refusal is not None:
            return Err(refusal)
        record = Record(
            attempt.attempt_id, body_hash(request), RecordState.STARTED, self._now_s()
        )
        claimed = self._claim(row_key(request), record, 0)
        if claimed.is_err() or not isinstance(claimed.unwrap(), Permit):
            return claimed
        # If the daemon was paused for long after the first check, the row of an
        # earlier run may have been removed before this one was written.
        refusal = self._check_key(request.idempotency_key)
        if refusal is not None:
            self._settle(claimed.unwrap(), RecordState.NOT_RUN)
            return Err(refusal)
        return claimed

    def _now_s(self):
        return self._clock.now().timestamp()

    def _check_key(self, key):
        """Returns a `Refusal` of a malformed or expired key, or None if it is valid."""
        created_at = key_time(key) if key else None
        if created_at is None:
            detail = "Idempotency-Key must be a version 7 UUID"
            return not_run(Reason.KEY_INVALID, detail, status=400)
        age = self._clock.now() - created_at
        if age > RETENTION - CLOCK_TOLERANCE:
            detail = "the key is older than the records are kept"
            return may_have_run(Reason.KEY_EXPIRED, detail, status=409)
        if age < -CLOCK_TOLERANCE:
            detail = "the key's time is in the future"
            return not_run(Reason.KEY_INVALID, detail, status=400)
        return None

    def _claim(self, key, record, if_version):
        """Writes a record if its row still has a given version.

        Args:
            key: Key of the row.
            record: `Record` that names the attempt.
            if_version: Version that the row must have; 0 means that it must not exist.

        Returns:
            As `begin`.
        """
        write = Write(key, msgspec.to_builtins(record), if_version)
        outcome = self._table.commit([write])
        if outcome.state is CommitState.DONE:
            return Ok(Permit(key, record, outcome.versions[key]))
        if outcome.state is CommitState.NOT_DONE:
            return Err(_platform_refusal())
        reply = self._read_back(key)
        row = reply.unwrap_or(None)
        # Either no read succeeded, or the write hasn't taken effect yet.
        if row is None or row.version == if_version:
            if outcome.state is CommitState.UNKNOWN:
                self._abandon(key, record, if_version)
            return Err(_platform_refusal())
        stored = msgspec.convert(row.value, Record)
        if stored.attempt_id == record.attempt_id:
            return Ok(Permit(key, record, row.version))
        if stored.body_hash != record.body_hash:
            detail = "the key was used with another body"
            return Err(not_run(Reason.KEY_REUSED, detail, status=422))
        if stored.state is RecordState.NOT_RUN and if_version == 0:
            return self._claim(key, record, row.version)
        return self._answer_repeat(stored)

    def _read_back(self, key):
        """Returns ``Result[Row | None, PlatformFailure]`` after up to three reads."""
        for _ in range(READ_BACK_TRIES - 1):
            reply = self._table.read(key)
            if reply.is_ok():
                return reply
            self._clock.sleep(READ_BACK_PAUSE_S)
        return self._table.read(key)

    def _abandon(self, key, record, if_version):
        """Gives up a claim whose commit may still take effect.

        The call was not sent. A ``not_run`` record is written under the condition of
        the claim. If it is written first, the claim's condition can no longer be met;
        if the claim was first, a retry replaces the claim by the ``not_run`` record.
        """
        abandoned = replace(record, state=RecordState.NOT_RUN)
        self.unsettled.add(key, abandoned, if_version)

    def _answer_repeat(self, stored):
        """Answers a repeated call from the record of another attempt."""
        if stored.state is RecordState.DONE and not stored.dropped_bytes:
            return Ok(Outcome(stored.status, stored.body, stored.content_type))
        if stored.state is RecordState.DONE:
            detail = (
                f"the call ran and was answered with status {stored.status}; the"
                f" answer of {stored.dropped_bytes} bytes was too large to keep"
            )
            return Err(Refusal(Verdict.RAN, Reason.TOO_LARGE, detail, 409))
        age_s = self._now_s() - stored.at
        if stored.state is not RecordState.UNKNOWN and age_s < MAX_RUN_S:
            detail = "another attempt under this key is in progress"
            reason = Reason.KEY_IN_PROGRESS
            return Err(may_have_run(reason, detail, 409, RETRY_AFTER))
        detail = "an earlier call under this key has no recorded outcome"
        reason = Reason.OUTCOME_UNKNOWN
        return Err(may_have_run(reason, detail, 409, UNKNOWN_RETRY_AFTER))

    def finish(self, permit, outcome):
        """Records the outcome of the attempt that holds the permit.

        Args:
            permit: `Permit` that `begin` returned.
            outcome: ``Result[Outcome, Refusal]``. After a ``not_run`` refusal the
                attempt must send nothing more, because another one may then run.
        """
        if outcome.is_ok():
            self._settle(permit, RecordState.DONE, outcome.unwrap())
        elif outcome.unwrap_err().verdict is Verdict.NOT_RUN:
            self._settle(permit, RecordState.NOT_RUN)
        else:
            self._settle(permit, RecordState.UNKNOWN)

    def _settle(self, permit, state, answer=None):
        """Writes the final state once; leaves a failed write to `unsettled`."""
        record = replace(permit.record, state=state, at=self._now_s())
        if answer is not None:
            record = _with_answer(record, answer)
        write = Write(permit.key, msgspec.to_builtins(record), permit.version)
        commit_state = self._table.commit([write]).state
        if commit_state is CommitState.DONE:
            return
        self.unsettled.add(permit.key, record, permit.version)
        log_event("record_unsettled", state=commit_state)


def _with_answer(record, answer):
    size = len(answer.body)
    fits = size <= MAX_KEPT_BODY_BYTES
    return replace(
        record,
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body if fits else b"",
        dropped_bytes=0 if fits else size,
    )


def _platform_refusal():
    detail = "the platform's table service can't record the call"
    return not_run(Reason.PLATFORM_UNAVAILABLE, detail, retry_after=RETRY_AFTER)
