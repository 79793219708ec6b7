"""Idempotency records: their content, and the keys of their rows."""

import uuid
from dataclasses import dataclass
from datetime import datetime, timedelta, timezone
from enum import StrEnum
from urllib.parse import quote

import xxhash

__all__ = [
    "CLOCK_TOLERANCE",
    "KEY_PREFIX",
    "Outcome",
    "RETENTION",
    "Record",
    "RecordState",
    "body_hash",
    "key_time",
    "row_day",
    "row_key",
]

KEY_PREFIX = "idem/"
# How long a record is kept. Older idempotency keys are refused, so that no call is
# repeated after its record is gone.
RETENTION = timedelta(days=2)
# Largest difference between the clocks of a caller, a daemon and the platform that
# the retention allows for.
CLOCK_TOLERANCE = timedelta(minutes=10)


class RecordState(StrEnum):
    """What is known about the call under an idempotency key.

    Attributes:
        STARTED: An attempt has the right to run the call and may be running it.
        DONE: The call ran and was answered.
        NOT_RUN: The attempt did not run the call; another attempt may.
        UNKNOWN: The call may have run; its outcome is not known.
    """

    STARTED = "started"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Outcome:
    """Answer of a backend server to a call.

    Attributes:
        status: HTTP status.
        body: Body of the answer.
        content_type: Media type of the body.
    """

    status: int
    body: bytes
    content_type: str = "application/json"


@dataclass(frozen=True)
class Record:
    """Value of a row: the attempt that may run the call, and its outcome.

    Attributes:
        attempt_id: Attempt that has the right to run the call.
        body_hash: Hash of the call's method, path and body.
        state: What is known about the call.
        at: Unix time of the last change in seconds; decides whether the call may
            still be running.
        status: HTTP status of the answer.
        content_type: Media type of the answer.
        body: Body of the answer; empty if it was too large to keep.
        dropped_bytes: Size of a body that was too large to keep, else 0.
    """

    attempt_id: str
    body_hash: str
    state: RecordState
    at: float
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    dropped_bytes: int = 0


def key_time(key):
    """Returns the time in a version 7 UUID, or None if the key isn't one.

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
    try:
        return datetime.fromtimestamp((parsed.int >> 80) / 1000, timezone.utc)
    except (OverflowError, ValueError):
        return None


def body_hash(request):
    """Returns a hash of the call, which a repeat must share with the first request."""
    call = request.payload
    head = f"{call.method} {call.path}\n".encode()
    return xxhash.xxh3_128_hexdigest(head + call.body)


def row_key(request):
    """Returns the key of the row that holds a request's record.

    All spellings of one UUID share a row.
    """
    key = str(uuid.UUID(request.idempotency_key))
    day = key_time(key).date().isoformat()
    service, workspace = quote(request.service, ""), quote(request.workspace, "")
    return f"{KEY_PREFIX}{day}/{service}/{workspace}/{key}"


def row_day(key):
    """Returns the start of the day (UTC) that a row's key names.

    Examples:
        >>> row_day("idem/2026-01-02/ledger/ws/k").day
        2
    """
    day = key.split("/")[1]
    return datetime.fromisoformat(day).replace(tzinfo=timezone.utc)
