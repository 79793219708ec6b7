"""Authenticated frames: version, key id, MAC, payload."""

from enum import StrEnum

from result import Err, Ok

from amaranthbay.peering.keys import KEY_ID_BYTES, MAC_BYTES

__all__ = ["SEAL_BYTES", "FrameFault", "open_frame", "seal"]

PROTOCOL_VERSION = 1
KEY_ID_END = 1 + KEY_ID_BYTES
SEAL_BYTES = KEY_ID_END + MAC_BYTES


class FrameFault(StrEnum):
    """Reason for dropping a frame or its message."""

    OVERSIZED = "oversized"
    TRUNCATED = "truncated"
    UNKNOWN_VERSION = "unknown_version"
    UNAUTHENTICATED = "unauthenticated"
    MALFORMED = "malformed"
    UNKNOWN_MESSAGE = "unknown_message"
    WRONG_RECIPIENT = "wrong_recipient"
    REPLAYED = "replayed"
    TOO_OLD = "too_old"
    OVERLOADED = "overloaded"


def seal(keys, purpose, payload):
    """Returns an authenticated frame with a payload.

    Args:
        keys: `KeyRing` with at least one key.
        purpose: Domain separator of the MAC, see `KeyRing.sign`.
        payload: Bytes to carry; they are not encrypted.
    """
    version = bytes([PROTOCOL_VERSION])
    key_id, mac = keys.sign(purpose, version + payload)
    return version + key_id + mac + payload


def open_frame(keys, purpose, frame, limit):
    """Verifies a frame and returns its payload.

    Args:
        keys: `KeyRing` of the accepted keys.
        purpose: Purpose with which the frame was sealed.
        frame: Bytes from the network.
        limit: Length in bytes of the longest accepted frame.

    Returns:
        ``Result[bytes, FrameFault]`` with the payload.
    """
    if len(frame) > limit:
        return Err(FrameFault.OVERSIZED)
    if len(frame) < SEAL_BYTES:
        return Err(FrameFault.TRUNCATED)
    if frame[0] != PROTOCOL_VERSION:
        return Err(FrameFault.UNKNOWN_VERSION)
    payload = frame[SEAL_BYTES:]
    key_id, mac = frame[1:KEY_ID_END], frame[KEY_ID_END:SEAL_BYTES]
    if not keys.verify(purpose, key_id, frame[:1] + payload, mac):
        return Err(FrameFault.UNAUTHENTICATED)
    return Ok(payload)
