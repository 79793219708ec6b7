"""Authentication of operators' calls: a keyed MAC over the whole call."""

import uuid
from collections import OrderedDict
from dataclasses import dataclass
from datetime import datetime

import msgspec
from result import Err, Ok

from amaranthbay.kernel.errors import Reason, not_run

__all__ = ["HEADERS", "OperatorBody", "OperatorGate", "SignedCall", "sign_call"]

PURPOSE = b"operator call"
# Longer than a call takes and than instances' clocks differ.
TIME_TOLERANCE_S = 60.0
# A call that would overflow the memory of nonces is refused.
MAX_NONCES = 4096
MAX_NONCE_LENGTH = 64
HEADERS = ("X-Key-Id", "X-Mac", "X-Time", "X-Nonce")


class OperatorBody(msgspec.Struct):
    """Body of every operator's call: who calls, and which daemon is meant."""

    operator: str
    instance: str


@dataclass(frozen=True)
class SignedCall:
    """A call with the headers that authenticate it."""

    method: str
    path: str
    body: bytes
    key_id: str
    mac: str
    time: str
    nonce: str

    def headers(self):
        """Returns the authenticating headers as pairs."""
        values = (self.key_id, self.mac, self.time, self.nonce)
        return tuple(zip(HEADERS, values, strict=True))

    def signed_bytes(self):
        """Returns the bytes that the MAC covers, without ambiguity."""
        fields = (self.method, self.path, self.time, self.nonce, self.body)
        return msgspec.msgpack.encode(fields)


def sign_call(keys, method, path, body, now):
    """Returns a `SignedCall`.

    Args:
        keys: `peering.keys.KeyRing`.
        method: HTTP method.
        path: Path without query.
        body: Body of the call.
        now: Wall-clock time as an aware datetime.
    """
    nonce = uuid.uuid4().hex
    bare = SignedCall(method, path, body, "", "", now.isoformat(), nonce)
    key_id, mac = keys.sign(PURPOSE, bare.signed_bytes())
    return SignedCall(
        method, path, body, key_id.hex(), mac.hex(), bare.time, bare.nonce
    )


class OperatorGate:
    """Checks who gives an order; refuses on any doubt."""

    def __init__(self, keys, instance, clock):
        self._keys = keys
        self._instance = instance
        self._clock = clock
        self._nonces = OrderedDict()

    def check(self, call):
        """Returns ``Result[OperatorBody, Refusal]``."""
        if not self._keys:
            return _refuse("the daemon has no keys, so it takes no orders")
        if not self._is_authentic(call):
            return _refuse("the call's MAC is missing or made with another key")
        sent = _parse_time(call.time)
        now = self._clock.now()
        if sent is None or abs((now - sent).total_seconds()) > TIME_TOLERANCE_S:
            return _refuse("the call's time is too far from the daemon's")
        if not self._is_new(call.nonce, now.timestamp()):
            return _refuse("the call was received before")
        return self._check_body(call.body)

    def _is_authentic(self, call):
        try:
            key_id, mac = bytes.fromhex(call.key_id), bytes.fromhex(call.mac)
        except ValueError:
            return False
        return self._keys.verify(PURPOSE, key_id, call.signed_bytes(), mac)

    def _is_new(self, nonce, now_s):
        """Remembers a nonce for as long as its call's time could be accepted."""
        while self._nonces and next(iter(self._nonces.values())) < now_s:
            self._nonces.popitem(last=False)
        if not 0 < len(nonce) <= MAX_NONCE_LENGTH or nonce in self._nonces:
            return False
        if len(self._nonces) >= MAX_NONCES:
            return False
        self._nonces[nonce] = now_s + 2 * TIME_TOLERANCE_S
        return True

    def _check_body(self, raw):
        try:
            body = msgspec.json.decode(raw, type=OperatorBody)
        except msgspec.DecodeError as exc:
            return Err(not_run(Reason.BAD_REQUEST, str(exc), status=400))
        if not body.operator.strip():
            return _refuse("the call names no operator")
        if body.instance != self._instance:
            return _refuse(f"the call is for {body.instance}, not {self._instance}")
        return Ok(body)


def _refuse(detail):
    return Err(not_run(Reason.UNAUTHENTICATED, detail, status=403))


def _parse_time(text):
    try:
        parsed = datetime.fromisoformat(text)
    except ValueError:
        return None
    return parsed if parsed.tzinfo else None
