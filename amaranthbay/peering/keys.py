"""Keys with which daemons authenticate their messages to each other."""

import hashlib
import hmac
import os
from pathlib import Path

from amaranthbay.kernel.errors import SettingsError
from amaranthbay.observe import log_event

__all__ = ["KEY_ID_BYTES", "MAC_BYTES", "KeyRing"]

# 128 bits can't be guessed over a network and keep a probe short.
MAC_BYTES = 16
KEY_ID_BYTES = 4
# BLAKE2b takes keys of up to 64 bytes; longer secrets are hashed first.
MAX_KEY_BYTES = 64
MIN_KEY_BYTES = 16
# One key signs and the key before or after it is still accepted.
MAX_KEYS = 2


class KeyRing:
    """One or two valid keys; the first one signs.

    A key file holds a key on each line. A rotation needs no stop: replace the
    file of every daemon by one with the old and the new key, then by one with the
    new and the old key, then by one with the new key alone. The key id on the
    wire is derived from the key, so that the order of the keys doesn't matter to
    a receiver.
    """

    def __init__(self, settings, environ=None):
        """Reads the keys.

        Args:
            settings: Sequence of `settings.daemon.KeySettings`.
            environ: Environment; that of the process if None.

        Raises:
            SettingsError: If a key is missing, too short, or one too many.
        """
        self._settings = tuple(settings)
        self._environ = os.environ if environ is None else environ
        self._keys = _join([self._read(each) for each in self._settings])

    def __repr__(self):
        names = ", ".join(each.id for each in self._settings)
        return f"KeyRing({names})"

    def __bool__(self):
        return bool(self._keys)

    def reload(self):
        """Reads the keys again; keys that can't be read stay as they were."""
        try:
            keys = _join([self._read(each) for each in self._settings])
        except SettingsError as exc:
            log_event("keys_not_read", level="warning", detail=str(exc))
            return
        if keys != self._keys:
            self._keys = keys
            log_event("keys_changed", keys=[each.id for each in self._settings])

    def sign(self, purpose, data):
        """Returns the id of the signing key and the MAC of some data.

        Args:
            purpose: Up to 16 bytes that keep the MACs of one protocol from being
                accepted in another.
            data: Bytes to authenticate.
        """
        key = self._keys[0]
        return _key_id(key), _mac(key, purpose, data)

    def verify(self, purpose, key_id, data, mac):
        """Returns whether a MAC was made with a valid key."""
        return any(
            _key_id(key) == key_id
            and hmac.compare_digest(_mac(key, purpose, data), mac)
            for key in self._keys
        )

    def _read(self, setting):
        if setting.file:
            try:
                lines = Path(setting.file).read_bytes().split()
            except OSError as exc:
                raise SettingsError([f"key {setting.id}: {exc.strerror}"]) from exc
        else:
            lines = self._environ.get(setting.environment, "").encode().split()
        if not lines or min(map(len, lines)) < MIN_KEY_BYTES:
            fault = f"key {setting.id}: shorter than {MIN_KEY_BYTES} bytes"
            raise SettingsError([fault])
        return tuple(_to_key(line) for line in lines)


def _join(groups):
    """Returns the distinct keys in order; raises SettingsError if too many."""
    keys = tuple(dict.fromkeys(key for group in groups for key in group))
    if len(keys) > MAX_KEYS:
        raise SettingsError([f"at most {MAX_KEYS} keys may be valid"])
    return keys


def _to_key(secret):
    if len(secret) > MAX_KEY_BYTES:
        return hashlib.blake2b(secret).digest()
    return secret


def _mac(key, purpose, data):
    return hashlib.blake2b(
        data, key=key, person=purpose, digest_size=MAC_BYTES
    ).digest()


def _key_id(key):
    return hashlib.blake2b(
        b"", key=key, person=b"key id", digest_size=KEY_ID_BYTES
    ).digest()
