"""Configuration in force: acceptance by operators, adoption by daemons."""

import uuid
from dataclasses import dataclass, replace

import gevent
import gevent.event
import msgspec
import xxhash

from amaranthbay.config.types import decode_configuration, encode_configuration
from amaranthbay.observe import log_event
from amaranthbay.platform.types import CommitState, Write

__all__ = ["AcceptState", "ConfigPointer", "ConfigStore", "accept_configuration"]

ROW_KEY = "config/current"
POLL_S = 2.0


@dataclass(frozen=True)
class ConfigPointer:
    """Value of the row that names the configuration in force."""

    version: int
    digest: str
    object_name: str
    attempt: str
    operator: str


class ConfigStore:
    """Holds the highest configuration that this daemon has adopted."""

    def __init__(self, table, objects, clock):
        self._table = table
        self._objects = objects
        self._clock = clock
        self._current = None
        self._confirmed_at = None
        self.adopted = gevent.event.Event()

    @property
    def current(self):
        """Configuration in force, or None."""
        return self._current

    @property
    def version(self):
        """Version in force; 0 if none."""
        return self._current.version if self._current else 0

    def refresh(self):
        """Asks the platform once; returns whether it answered."""
        found = self._table.read(ROW_KEY)
        if found.is_err():
            return False
        row = found.unwrap()
        if row is not None:
            self._follow(msgspec.convert(row.value, ConfigPointer))
        self._confirmed_at = self._clock.monotonic()
        return True

    def _follow(self, pointer):
        if pointer.version <= self.version:
            return
        fetched = self._objects.get(pointer.object_name)
        if fetched.is_ok() and fetched.unwrap() is not None:
            self.adopt(pointer, fetched.unwrap())

    def adopt(self, pointer, body):
        """Adopts a configuration if it is newer and matches its digest."""
        if xxhash.xxh3_128_hexdigest(body) != pointer.digest:
            log_event("configuration_digest_mismatch", level="error")
            return False
        if pointer.version <= self.version:
            return False
        self._current = replace(decode_configuration(body), version=pointer.version)
        self.adopted.set()
        log_event("configuration_adopted", version=pointer.version)
        return True

    def run(self):
        """Asks the platform until killed."""
        while True:
            self.refresh()
            gevent.sleep(POLL_S)


@dataclass(frozen=True)
class AcceptState:
    """Outcome of an acceptance: accepted, conflict, not_accepted or unknown."""

    state: str
    version: int


def accept_configuration(table, objects, cfg, operator, expected=None):
    """Accepts a configuration by one conditional write.

    Args:
        table: `TableService`.
        objects: `ObjectStore`.
        cfg: `Configuration` to accept.
        operator: Who accepts it.
        expected: Version that must be in force; None takes the one found.

    Returns:
        `AcceptState`.
    """
    found = table.read(ROW_KEY)
    if found.is_err():
        return AcceptState("not_accepted", 0)
    row = found.unwrap()
    before = msgspec.convert(row.value, ConfigPointer).version if row else 0
    if expected is not None and expected != before:
        return AcceptState("conflict", before)
    version = before + 1
    body = encode_configuration(replace(cfg, version=version))
    digest = xxhash.xxh3_128_hexdigest(body)
    name = f"config/{version}-{digest}"
    if objects.put(name, body).is_err():
        return AcceptState("not_accepted", before)
    pointer = ConfigPointer(version, digest, name, uuid.uuid4().hex, operator)
    if_version = row.version if row else 0
    write = Write(ROW_KEY, msgspec.to_builtins(pointer), if_version)
    state = table.commit([write]).state
    if state is CommitState.UNKNOWN:
        return _read_back(table, pointer)
    names = {
        CommitState.DONE: "accepted",
        CommitState.CONFLICT: "conflict",
        CommitState.NOT_DONE: "not_accepted",
    }
    return AcceptState(names[state], version)


def _read_back(table, pointer):
    found = table.read(ROW_KEY)
    if found.is_err() or found.unwrap() is None:
        return AcceptState("unknown", pointer.version)
    known = msgspec.convert(found.unwrap().value, ConfigPointer)
    if known.attempt == pointer.attempt:
        return AcceptState("accepted", pointer.version)
    return AcceptState("unknown", pointer.version)
