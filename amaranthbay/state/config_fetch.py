"""Fetches the objects of a configuration from the platform and from peers."""

from dataclasses import dataclass

import msgspec

from amaranthbay.config.types import Configuration
from amaranthbay.observe import log_event
from amaranthbay.state.config_messages import ConfigObjects, ConfigObjectsQuery
from amaranthbay.state.sections import (
    ConfigPointer,
    assemble,
    decode_manifest,
    digest_of,
    object_name,
)

__all__ = ["Loaded", "PeerObjects", "PlatformObjects", "answer_objects", "load"]

ASK_TIMEOUT_S = 1.0
NAMES_PER_QUERY = 64
# Leaves room for the envelope and the names within a message of 64 KB.
BYTES_PER_REPLY = 48 * 1024
# A daemon without any section would use up its share of the platform's reads.
PEERS_FIRST_FROM = 16


@dataclass(frozen=True)
class Loaded:
    """A configuration with the objects it was assembled from."""

    pointer: ConfigPointer
    configuration: Configuration
    bodies: dict[str, bytes]


class PlatformObjects:
    """Reads objects from the platform's object store."""

    def __init__(self, objects):
        self._objects = objects

    def get(self, names):
        """Returns the bodies that were found by name."""
        found = {}
        for name in names:
            body = self._objects.get(name).unwrap_or(None)
            if body is None:
                break
            found[name] = body
        return found


class PeerObjects:
    """Reads objects from other daemons."""

    def __init__(self, channel, instances):
        self._channel = channel
        self._instances = instances

    def get(self, names):
        """Returns the bodies that were found by name."""
        found = {}
        for instance in self._instances:
            missing = [name for name in names if name not in found]
            while missing:
                query = ConfigObjectsQuery(tuple(missing[:NAMES_PER_QUERY]))
                reply = self._channel.ask(instance, query, ASK_TIMEOUT_S)
                if reply is None or not reply.bodies:
                    break
                found |= reply.bodies
                missing = [name for name in missing if name not in found]
        return found


def answer_objects(query, bodies):
    """Returns the reply to a query, bounded by the size of a message."""
    reply, size = {}, 0
    for name in query.names:
        body = bodies.get(name)
        if body is None:
            continue
        size += len(body)
        if reply and size > BYTES_PER_REPLY:
            break
        reply[name] = body
    return ConfigObjects(reply)


def load(pointer, known, sources):
    """Returns the `Loaded` configuration of a pointer, or None.

    Args:
        pointer: `ConfigPointer`.
        known: Bodies that need no fetch.
        sources: `PlatformObjects` first, then peers.
    """
    fetched = _fetch([pointer.object_name], known, sources)
    raw = fetched.get(pointer.object_name)
    if raw is None:
        return None
    if digest_of(raw) != pointer.digest:
        log_event("configuration_unreadable", level="error", detail="wrong digest")
        return None
    try:
        manifest = decode_manifest(raw)
        names = manifest.names()
        bodies = _fetch(names, known, sources)
        if len(bodies) < len(set(names)) or manifest.version != pointer.version:
            return None
        configuration = assemble(manifest, bodies)
    except msgspec.DecodeError as exc:
        log_event("configuration_unreadable", level="error", detail=str(exc))
        return None
    return Loaded(pointer, configuration, bodies | {pointer.object_name: raw})


def _fetch(names, known, sources):
    """Returns the bodies by name, as far as a source has them intact."""
    found = {name: known[name] for name in names if name in known}
    missing = [name for name in names if name not in found]
    if len(missing) >= PEERS_FIRST_FROM:
        sources = sources[1:] + sources[:1]
    for source in sources:
        missing = [name for name in names if name not in found]
        if not missing:
            break
        for name, body in source.get(missing).items():
            if object_name(digest_of(body)) == name:
                found[name] = body
    return found
