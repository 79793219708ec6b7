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

__all__ = ["CONFIG_ROW_KEY", "AcceptOutcome", "accept_configuration"]

CONFIG_ROW_KEY = "config/current"
HISTORY_LENGTH = 16
PUT_TRIES = 3
RESOLVE_TRIES = 5


@dataclass(frozen=True)
class AcceptOutcome:
    """Outcome of an acceptance.

    Attributes:
        state: ``"accepted"``, ``"conflict"``, ``"not_accepted"`` or ``"unknown"``.
        version: Version that the acceptance wrote or tried to write. If it ended
            before the write, the version found in force; 0 if none was read.
    """

    state: str
    version: int


def accept_configuration(table, objects, cfg, operator, expected=None):
    """Accepts a configuration by one conditional write.

    Args:
        table: `TableService` that holds the pointer row.
        objects: `ObjectStore` for the manifest and the sections.
        cfg: `Configuration` to accept; its version is replaced by the next one.
        operator: Name of the operator, stored in the pointer.
        expected: Version that must be in force; None allows any version.

    Returns:
        `AcceptOutcome`. After ``conflict`` and ``not_accepted`` the configuration
        can no longer come into force; after ``unknown`` it still may.
    """
    reply = table.read(CONFIG_ROW_KEY)
    if reply.is_err():
        return AcceptOutcome("not_accepted", 0)
    row = reply.unwrap()
    current = msgspec.convert(row.value, ConfigPointer) if row else None
    version = current.version if current else 0
    if expected is not None and expected != version:
        return AcceptOutcome("conflict", version)
    manifest, sections = encode_sections(replace(cfg, version=version + 1))
    if not _store_objects(objects, current, manifest, sections):
        return AcceptOutcome("not_accepted", version)
    pointer = _next_pointer(current, manifest, operator)
    return _commit(table, pointer, row)


def _next_pointer(current, manifest, operator):
    attempt = uuid.uuid4().hex
    history = (attempt, *(current.history if current else ()))[:HISTORY_LENGTH]
    digest = digest_of(manifest)
    version = current.version + 1 if current else 1
    return ConfigPointer(
        version, digest, object_name(digest), attempt, operator, history
    )


def _store_objects(objects, current, manifest, sections):
    """Stores the sections that the current version lacks, then the manifest.

    Returns:
        Whether the object store confirmed all of them.
    """
    stored = _stored_names(objects, current)
    bodies = [(name, body) for name, body in sections.items() if name not in stored]
    bodies.append((object_name(digest_of(manifest)), manifest))
    return all(_put(objects, name, body) for name, body in bodies)


def _stored_names(objects, current):
    if current is None:
        return set()
    body = objects.get(current.object_name).unwrap_or(None)
    return set() if body is None else set(decode_manifest(body).names())


def _put(objects, name, body):
    # Puts are idempotent: the name is derived from the digest of the body.
    return any(objects.put(name, body).is_ok() for _ in range(PUT_TRIES))


def _commit(table, pointer, row):
    """Writes the pointer if the row is still the one that was read."""
    write = Write(
        CONFIG_ROW_KEY, msgspec.to_builtins(pointer), row.version if row else 0
    )
    state = table.commit([write]).state
    if state is CommitState.UNKNOWN:
        return _resolve_unknown(table, pointer, row)
    states = {
        CommitState.DONE: "accepted",
        CommitState.CONFLICT: "conflict",
        CommitState.NOT_DONE: "not_accepted",
    }
    return AcceptOutcome(states[state], pointer.version)


def _resolve_unknown(table, pointer, row):
    """Finds out whether a write whose reply was lost took effect.

    While the row is unchanged, the write may still take effect. Writing the old
    content again raises the version of the row, so that the condition of the lost
    write can no longer be met.
    """
    for _ in range(RESOLVE_TRIES):
        reply = table.read(CONFIG_ROW_KEY)
        if reply.is_err():
            continue
        latest = reply.unwrap()
        if latest is not None and (row is None or latest.version != row.version):
            return _outcome_from(pointer, msgspec.convert(latest.value, ConfigPointer))
        if row is None:
            # There is no old content to write; only the operator can try again.
            continue
        if table.commit([Write(CONFIG_ROW_KEY, row.value, row.version)]).state is (
            CommitState.DONE
        ):
            return AcceptOutcome("not_accepted", pointer.version)
    return AcceptOutcome("unknown", pointer.version)


def _outcome_from(pointer, latest):
    """Returns the outcome of a lost write from the pointer now in the row."""
    if pointer.attempt in latest.history:
        return AcceptOutcome("accepted", pointer.version)
    if latest.version < pointer.version:
        return AcceptOutcome("not_accepted", pointer.version)
    if latest.version - pointer.version < HISTORY_LENGTH:
        return AcceptOutcome("conflict", pointer.version)
    return AcceptOutcome("unknown", pointer.version)
