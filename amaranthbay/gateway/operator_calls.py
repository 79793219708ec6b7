"""Authentication of operators' calls by a message authentication code (MAC)."""

import uuid
from collections import OrderedDict
from dataclasses import dataclass
from datetime import datetime

import msgspec
from result import Err, Ok

from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.utils.decoding import decode_json

__all__ = [
    "AUTH_HEADERS",
    "OperatorAuthenticator",
    "OperatorBody",
    "SignedCall",
    "sign_call",
]

MAC_PURPOSE = b"operator call"
# Exceeds the duration of a call and the clock difference between instances.
TIME_TOLERANCE_S = 60.0
# Number of remembered nonces; calls with further nonces are refused.
MAX_NONCES = 4096
MAX_NONCE_LENGTH = 64  # characters
AUTH_HEADERS = ("X-Key-Id", "X-Mac", "X-Time", "X-Nonce")


class OperatorBody(msgspec.Struct):
    """Body of each operator's call.

    Attributes:
        operator: Name of the operator.
        instance: Instance of the daemon that the call is meant for.
    """

    operator: str
    instance: str


@dataclass(frozen=True)
class SignedCall:
    """An operator's call with the headers that authenticate it.

    Attributes:
        method: HTTP method.
        path: Path without query.
        body: Encoded `OperatorBody`.
        key_id: Id of the signing key, in hexadecimal.
        mac: MAC of the other fields except the key id, in hexadecimal.
        time: Wall-clock time of the call in ISO 8601 format with a time zone.
        nonce: Text that no other call uses.
    """

    method: str
    path: str
    body: bytes
    key_id: str
    mac: str
    time: str
    nonce: str

    def headers(self):
        """Returns the authentication headers as pairs of name and value."""
        values = (self.key_id, self.mac, self.time, self.nonce)
        return tuple(zip(AUTH_HEADERS, values, strict=True))

    def signed_bytes(self):
        """Returns the bytes that the MAC covers.

        MessagePack encodes the length of each field, so that no two different calls
        give the same bytes.
        """
        fields = (self.method, self.path, self.time, self.nonce, self.body)
        return msgspec.msgpack.encode(fields)


def sign_call(keys, method, path, body, now):
    """Signs an operator's call.

    Args:
        keys: `peering.keys.KeyRing` whose first key signs.
        method: HTTP method.
        path: Path without query.
        body: Encoded `OperatorBody`.
        now: Wall-clock time as an aware datetime.

    Returns:
        `SignedCall` with a new nonce.
    """
    nonce = uuid.uuid4().hex
    unsigned = SignedCall(method, path, body, "", "", now.isoformat(), nonce)
    key_id, mac = keys.sign(MAC_PURPOSE, unsigned.signed_bytes())
    return SignedCall(
        method, path, body, key_id.hex(), mac.hex(), unsigned.time, unsigned.nonce
    )


class OperatorAuthenticator:
    """Authenticates operators' calls.

    It refuses replayed calls and all that it can't verify completely.
    """

    def __init__(self, keys, instance, clock):
        """Creates an authenticator without remembered nonces.

        Args:
            keys: `peering.keys.KeyRing`; if it is empty, all calls are refused.
            instance: Instance of this daemon; calls for others are refused.
            clock: `Clock` that the times of calls are compared with.
        """
        self._keys = keys
        self._instance = instance
        self._clock = clock
        # Wall-clock time in seconds at which each nonce may be forgotten.
        self._nonces = OrderedDict()

    def check(self, call):
        """Returns ``Result[OperatorBody, Refusal]`` for a `SignedCall`."""
        if not self._keys:
            return _refuse("the daemon has no keys, so it takes no orders")
        if not self._is_authentic(call):
            return _refuse("the call's MAC is missing or made with another key")
        sent_at = _parse_time(call.time)
        now = self._clock.now()
        if sent_at is None or abs((now - sent_at).total_seconds()) > TIME_TOLERANCE_S:
            return _refuse("the call's time is too far from the daemon's")
        if not self._accept_nonce(call.nonce, now.timestamp()):
            return _refuse("the call was received before")
        return self._check_body(call.body)

    def _is_authentic(self, call):
        try:
            key_id, mac = bytes.fromhex(call.key_id), bytes.fromhex(call.mac)
        except ValueError:
            return False
        return self._keys.verify(MAC_PURPOSE, key_id, call.signed_bytes(), mac)

    def _accept_nonce(self, nonce, now_s):
        """Returns whether a nonce is valid and new, and remembers it.

        It is remembered for as long as the time of its call could be accepted.
        """
        while self._nonces and next(iter(self._nonces.values())) < now_s:
            self._nonces.popitem(last=False)
        if not 0 < len(nonce) <= MAX_NONCE_LENGTH or nonce in self._nonces:
            return False
        if len(self._nonces) >= MAX_NONCES:
            return False
        self._nonces[nonce] = now_s + 2 * TIME_TOLERANCE_S
        return True

    def _check_body(self, raw):
        decoded = decode_json(raw, OperatorBody)
        if decoded.is_err():
            detail = decoded.unwrap_err()
            return Err(not_run(Reason.BAD_REQUEST, detail, status=400))
        body = decoded.unwrap()
        if not body.operator.strip():
            return _refuse("the call names no operator")
        if body.instance != self._instance:
            return _refuse(f"the call is for {body.instance}, not {self._instance}")
        return Ok(body)


def _refuse(detail):
    return Err(not_run(Reason.UNAUTHENTICATED, detail, status=403))


def _parse_time(text):
    """Returns an aware datetime, or None if the text isn't a time with a time zone."""
    try:
        parsed = datetime.fromisoformat(text)
    except ValueError:
        return None
    return parsed if parsed.tzinfo else None
