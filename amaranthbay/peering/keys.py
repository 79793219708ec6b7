"""Shared keys that authenticate the messages between daemons."""

import hashlib
import hmac
import os
from pathlib import Path

from amaranthbay.kernel.errors import SettingsError
from amaranthbay.observe import log_event

__all__ = ["KEY_ID_BYTES", "MAC_BYTES", "KeyRing"]

# 128 bits can't be guessed over a network and keep probe datagrams short.
MAC_BYTES = 16
KEY_ID_BYTES = 4
# BLAKE2b takes keys of up to 64 bytes; longer secrets are hashed first.
MAX_KEY_BYTES = 64
MIN_KEY_BYTES = 16
# During a rotation the old and the new key are valid.
MAX_KEYS = 2


class KeyRing:
    """Up to two valid keys, of which the first one signs; falsy without a key.

    A key file holds one key per line. Keys can be rotated without a restart: replace
    the file of every daemon by one with the old and the new key, then by one with the
    new and the old key, then by one with the new key alone. The key id on the wire is
    derived from the key, so that a receiver accepts its keys in any order.
    """

    def __init__(self, settings, environ=None):
        """Reads the keys.

        Args:
            settings: Sequence of `settings.daemon.KeySettings`.
            environ: Environment variables; those of the process if None.

        Raises:
            SettingsError: If a key is missing or too short, or there are too many.
        """
        self._settings = tuple(settings)
        self._environ = os.environ if environ is None else environ
        self._keys = _unique_keys([self._read(setting) for setting in self._settings])

    def __repr__(self):
        names = ", ".join(setting.id for setting in self._settings)
        return f"KeyRing({names})"

    def __bool__(self):
        return bool(self._keys)

    def reload(self):
        """Reads the keys again; keeps the old ones if that fails."""
        try:
            keys = _unique_keys([self._read(setting) for setting in self._settings])
        except SettingsError as exc:
            log_event("keys_not_read", level="warning", detail=str(exc))
            return
        if keys != self._keys:
            self._keys = keys
            log_event(
                "keys_changed",
                keys=[setting.id for setting in self._settings],
            )

    def sign(self, purpose, data):
        """Returns the id of the signing key and the MAC of ``data``.

        Args:
            purpose: Domain separator of up to 16 bytes. A MAC is valid only for the
                protocol that it was made for.
            data: Bytes to authenticate.
        """
        key = self._keys[0]
        return _key_id(key), _mac(key, purpose, data)

    def verify(self, purpose, key_id, data, mac):
        """Returns whether ``mac`` is the MAC of ``data`` under a valid key."""
        return any(
            _key_id(key) == key_id
            and hmac.compare_digest(_mac(key, purpose, data), mac)
            for key in self._keys
        )

    def _read(self, setting):
        if setting.file:
            try:
                secrets = Path(setting.file).read_bytes().split()
            except OSError as exc:
                raise SettingsError([f"key {setting.id}: {exc.strerror}"]) from exc
        else:
            secrets = self._environ.get(setting.environment, "").encode().split()
        if not secrets or min(map(len, secrets)) < MIN_KEY_BYTES:
            detail = f"key {setting.id}: missing or shorter than {MIN_KEY_BYTES} bytes"
            raise SettingsError([detail])
        return tuple(_normalized_key(secret) for secret in secrets)


def _unique_keys(key_groups):
    """Returns the distinct keys in order.

    Raises:
        SettingsError: If there are more than `MAX_KEYS`.
    """
    keys = tuple(dict.fromkeys(key for key_group in key_groups for key in key_group))
    if len(keys) > MAX_KEYS:
        raise SettingsError([f"at most {MAX_KEYS} keys may be valid"])
    return keys


def _normalized_key(secret):
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
