"""Decodes bytes that another process has written."""

from typing import Annotated

import msgspec
from result import Err, Ok

__all__ = ["Count64", "Int64", "decode_json", "decode_msgpack", "decode_with"]

# An integer that every format and every other process can hold. Without the bounds,
# JSON integers of any length are decoded, which MessagePack can't encode again.
Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]

# The same for numbers of things.
Count64 = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]

# Deeply nested values raise a RecursionError, also in fields that are skipped. The
# other errors are not expected, but bytes of another process must not end a job.
FAILURES = (msgspec.DecodeError, RecursionError, ValueError, OverflowError)


def decode_json(body, target):
    """Decodes JSON.

    Args:
        body: Bytes of another process.
        target: Type to decode into.

    Returns:
        ``Result[target, str]``: the value, or why the bytes can't be read.
    """
    return _attempt(msgspec.json.decode, body, type=target)


def decode_msgpack(body, target):
    """Decodes MessagePack; for the arguments and the result see `decode_json`."""
    return _attempt(msgspec.msgpack.decode, body, type=target)


def decode_with(decoder, body):
    """Decodes with a decoder of msgspec that is kept for many calls.

    Args:
        decoder: Decoder for one type.
        body: Bytes of another process.

    Returns:
        ``Result``: the value, or why the bytes can't be read.
    """
    return _attempt(decoder.decode, body)


def _attempt(decode, body, **options):
    try:
        return Ok(decode(body, **options))
    except FAILURES as exc:
        return Err(str(exc))
