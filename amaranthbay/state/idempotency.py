"""Idempotency records: a non-idempotent call runs at most once."""

import uuid
from dataclasses import dataclass
from datetime import datetime, timedelta, timezone

import msgspec
import xxhash
from result import Err, Ok

from amaranthbay.kernel.errors import Reason, Verdict, may_have_run, not_run
from amaranthbay.observe import log_event
from amaranthbay.platform.types import CommitState, Write

__all__ = ["IdempotencyStore", "Outcome", "key_time"]

# Records are kept this long; a key that is older is refused, so that a repeat
# can't arrive after its record is gone.
RETENTION = timedelta(days=2)
# A key from the future would outlive its record.
CLOCK_TOLERANCE = timedelta(minutes=10)
RETRY_AFTER = timedelta(seconds=2)
READ_BACK_TRIES = 3


@dataclass(frozen=True)
class Outcome:
    """What a backend server answered."""

    status: int
    body: bytes
    content_type: str = "application/json"


@dataclass(frozen=True)
class _Record:
    """Value of a row: the attempt that may run the call, and its outcome."""

    attempt_id: str
    body_hash: str
    state: str
    status: int = 0
    body: str = ""


def key_time(key):
    """Returns the time of a version 7 UUID, or None if it isn't one.

    Examples:
        >>> key_time("019356e0-0000-7000-8000-000000000000").year
        2024
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return datetime.fromtimestamp((parsed.int >> 80) / 1000, timezone.utc)


class IdempotencyStore:
    """Keeps idempotency records in the table service."""

    def __init__(self, table, clock):
        self._table = table
        self._clock = clock

    def begin(self, request, attempt):
        """Records the attempt before its first byte goes out.

        Returns:
            ``Ok(None)`` if the attempt may run, ``Ok(Outcome)`` if the call has
            already run, else ``Err(Refusal)``.
        """
        checked = self._check_key(request.idempotency_key)
        if checked.is_err():
            return checked
        record = _Record(attempt.attempt_id, _body_hash(request), "started")
        write = Write(_row_key(request), msgspec.to_builtins(record), 0)
        state = self._table.commit([write]).state
        if state is CommitState.DONE:
            return Ok(None)
        if state is CommitState.NOT_DONE:
            return Err(_platform_refusal())
        return self._settle(request, record)

    def _check_key(self, key):
        at = key_time(key) if key else None
        if at is None:
            detail = "Idempotency-Key must be a version 7 UUID"
            return Err(not_run(Reason.KEY_INVALID, detail, status=400))
        age = self._clock.now() - at
        if age > RETENTION - CLOCK_TOLERANCE:
            detail = "the key is older than the records are kept"
            return Err(may_have_run(Reason.KEY_EXPIRED, detail, status=409))
        if age < -CLOCK_TOLERANCE:
            detail = "the key's time is in the future"
            return Err(not_run(Reason.KEY_INVALID, detail, status=400))
        return Ok(None)

    def _settle(self, request, record):
        """Reads the row back after a conflict or a lost reply."""
        row = None
        for _ in range(READ_BACK_TRIES):
            found = self._table.read(_row_key(request))
            if found.is_ok():
                row = found.unwrap()
                break
            self._clock.sleep(0.05)
        if row is None:
            # The write may still take effect, but this attempt sends nothing.
            return Err(_platform_refusal())
        known = msgspec.convert(row.value, _Record)
        if known.attempt_id == record.attempt_id:
            return Ok(None)
        return self._repeat(known, record)

    def _repeat(self, known, record):
        if known.body_hash != record.body_hash:
            detail = "the key was used with another body"
            return Err(not_run(Reason.KEY_REUSED, detail, status=422))
        if known.state == "done":
            return Ok(Outcome(known.status, known.body.encode()))
        detail = "an earlier call under this key has no recorded outcome"
        refusal = may_have_run(Reason.OUTCOME_UNKNOWN, detail, 409, RETRY_AFTER)
        return Err(refusal)

    def finish(self, request, attempt, outcome):
        """Records the outcome; a failure to record leaves it unknown."""
        if outcome.is_ok():
            done = outcome.unwrap()
            record = _Record(
                attempt.attempt_id,
                _body_hash(request),
                "done",
                done.status,
                done.body.decode(errors="replace"),
            )
            write = Write(_row_key(request), msgspec.to_builtins(record))
        elif outcome.unwrap_err().verdict is Verdict.NOT_RUN:
            write = Write(_row_key(request), None)
        else:
            return
        state = self._table.commit([write]).state
        if state is not CommitState.DONE:
            log_event(
                "outcome_not_recorded",
                level="warning",
                request_id=request.request_id,
                state=state,
            )


def _platform_refusal():
    detail = "the platform's table service can't record the call"
    return not_run(Reason.PLATFORM_UNAVAILABLE, detail, retry_after=RETRY_AFTER)


def _body_hash(request):
    call = request.payload
    head = f"{call.method} {call.path}\n".encode()
    return xxhash.xxh3_128_hexdigest(head + call.body)


def _row_key(request):
    day = key_time(request.idempotency_key).date().isoformat()
    owner = f"{request.service}/{request.workspace}"
    return f"idem/{day}/{owner}/{request.idempotency_key}"
