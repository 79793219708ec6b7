"""Acceptance of a configuration by one conditional write."""

import uuid
from dataclasses import dataclass, replace

import msgspec

from amaranthbay.platform.types import CommitState, Write
from amaranthbay.state.sections import (
    ConfigPointer,
    decode_manifest,
    digest_of,
    encode_sections,
    object_name,
)

__all__ = ["ROW_KEY", "AcceptState", "accept_configuration"]

ROW_KEY = "config/current"
HISTORY_LENGTH = 16
PUT_TRIES = 3
SETTLE_TRIES = 5


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
        `AcceptState`. After ``conflict`` and ``not_accepted`` the configuration
        can't come into force any more; after ``unknown`` it may.
    """
    found = table.read(ROW_KEY)
    if found.is_err():
        return AcceptState("not_accepted", 0)
    row = found.unwrap()
    before = msgspec.convert(row.value, ConfigPointer) if row else None
    version = before.version if before else 0
    if expected is not None and expected != version:
        return AcceptState("conflict", version)
    manifest, sections = encode_sections(replace(cfg, version=version + 1))
    if not _store(objects, before, manifest, sections):
        return AcceptState("not_accepted", version)
    pointer = _next_pointer(before, manifest, operator)
    return _commit(table, pointer, row)


def _next_pointer(before, manifest, operator):
    attempt = uuid.uuid4().hex
    history = (attempt, *(before.history if before else ()))[:HISTORY_LENGTH]
    digest = digest_of(manifest)
    version = before.version + 1 if before else 1
    return ConfigPointer(
        version, digest, object_name(digest), attempt, operator, history
    )


def _store(objects, before, manifest, sections):
    """Stores what the version in force doesn't have; the manifest comes last."""
    stored = _stored_names(objects, before)
    bodies = [(name, body) for name, body in sections.items() if name not in stored]
    bodies.append((object_name(digest_of(manifest)), manifest))
    return all(_put(objects, name, body) for name, body in bodies)


def _stored_names(objects, before):
    if before is None:
        return set()
    body = objects.get(before.object_name).unwrap_or(None)
    return set() if body is None else set(decode_manifest(body).names())


def _put(objects, name, body):
    # A repeated put is harmless: the name is the digest of the body.
    return any(objects.put(name, body).is_ok() for _ in range(PUT_TRIES))


def _commit(table, pointer, row):
    """Writes the row under the condition that nobody else did."""
    write = Write(ROW_KEY, msgspec.to_builtins(pointer), row.version if row else 0)
    state = table.commit([write]).state
    if state is CommitState.UNKNOWN:
        return _settle(table, pointer, row)
    names = {
        CommitState.DONE: "accepted",
        CommitState.CONFLICT: "conflict",
        CommitState.NOT_DONE: "not_accepted",
    }
    return AcceptState(names[state], pointer.version)


def _settle(table, pointer, row):
    """Finds out what became of a write whose reply was lost.

    While the row is unchanged the write may still take effect. Writing the same
    content again raises the version of the row and takes that chance away.
    """
    for _ in range(SETTLE_TRIES):
        found = table.read(ROW_KEY)
        if found.is_err():
            continue
        known = found.unwrap()
        if known is not None and (row is None or known.version != row.version):
            return _compare(pointer, msgspec.convert(known.value, ConfigPointer))
        if row is None:
            # There is no content to write again; only the operator can repeat.
            continue
        if table.commit([Write(ROW_KEY, row.value, row.version)]).state is (
            CommitState.DONE
        ):
            return AcceptState("not_accepted", pointer.version)
    return AcceptState("unknown", pointer.version)


def _compare(pointer, known):
    """Decides from a row that no longer fulfils the condition of the write."""
    if pointer.attempt in known.history:
        return AcceptState("accepted", pointer.version)
    if known.version < pointer.version:
        return AcceptState("not_accepted", pointer.version)
    if known.version - pointer.version < HISTORY_LENGTH:
        return AcceptState("conflict", pointer.version)
    return AcceptState("unknown", pointer.version)
