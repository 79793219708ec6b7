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

__all__ = [
    "LoadedConfiguration",
    "PeerObjects",
    "PlatformObjects",
    "load_configuration",
    "objects_reply",
]

ASK_TIMEOUT_S = 1.0
MAX_NAMES_PER_QUERY = 64
# Leaves room for the envelope and the names within a message of 64 KB.
MAX_BYTES_PER_REPLY = 48 * 1024
# With at least this many objects missing, peers are asked before the platform: a
# daemon without any section would use up its share of the platform's reads.
PEERS_FIRST_MIN_MISSING = 16


@dataclass(frozen=True)
class LoadedConfiguration:
    """A configuration and the objects that it was assembled from.

    Attributes:
        pointer: Pointer to the version.
        configuration: Assembled configuration.
        bodies: Bodies of the manifest and the sections by object name.
    """

    pointer: ConfigPointer
    configuration: Configuration
    bodies: dict[str, bytes]


class PlatformObjects:
    """Reads objects from the platform's object store."""

    def __init__(self, objects):
        self._objects = objects

    def get(self, names):
        """Returns bodies by name; stops at the first object that isn't available."""
        bodies = {}
        for name in names:
            body = self._objects.get(name).unwrap_or(None)
            if body is None:
                break
            bodies[name] = body
        return bodies


class PeerObjects:
    """Reads objects from other daemons."""

    def __init__(self, channel, instances):
        """Creates the source.

        Args:
            channel: `PeerChannel` that carries the queries.
            instances: Daemons to ask, in this order, until no object is missing.
        """
        self._channel = channel
        self._instances = instances

    def get(self, names):
        """Returns the bodies that the daemons have, by name."""
        bodies = {}
        for instance in self._instances:
            missing = [name for name in names if name not in bodies]
            while missing:
                query = ConfigObjectsQuery(tuple(missing[:MAX_NAMES_PER_QUERY]))
                reply = self._channel.ask(instance, query, ASK_TIMEOUT_S)
                if reply is None or not reply.bodies:
                    break
                bodies |= reply.bodies
                missing = [name for name in missing if name not in bodies]
        return bodies


def objects_reply(query, bodies):
    """Returns the reply to a `ConfigObjectsQuery`.

    Args:
        query: `ConfigObjectsQuery`.
        bodies: Bodies that this daemon has, by object name.

    Returns:
        `ConfigObjects` of at most `MAX_BYTES_PER_REPLY`, or with a single larger
        body.
    """
    reply, size = {}, 0
    for name in query.names:
        body = bodies.get(name)
        if body is None:
            continue
        size += len(body)
        if reply and size > MAX_BYTES_PER_REPLY:
            break
        reply[name] = body
    return ConfigObjects(reply)


def load_configuration(pointer, cached, sources):
    """Fetches and assembles the configuration that a pointer names.

    Args:
        pointer: `ConfigPointer` of the version.
        cached: Bodies that need no fetch, by object name.
        sources: `PlatformObjects`, followed by `PeerObjects` if there are peers.

    Returns:
        `LoadedConfiguration`, or None if an object is missing or can't be decoded.
    """
    fetched = _fetch([pointer.object_name], cached, sources)
    raw = fetched.get(pointer.object_name)
    if raw is None:
        return None
    if digest_of(raw) != pointer.digest:
        log_event(
            "configuration_unreadable",
            level="error",
            detail="the manifest does not match the digest in the pointer",
        )
        return None
    try:
        manifest = decode_manifest(raw)
        names = manifest.names()
        bodies = _fetch(names, cached, sources)
        if len(bodies) < len(set(names)) or manifest.version != pointer.version:
            return None
        configuration = assemble(manifest, bodies)
        # Made before the adoption, so that no request has to wait for it.
        configuration.workspace_keys
    except msgspec.DecodeError as exc:
        log_event("configuration_unreadable", level="error", detail=str(exc))
        return None
    return LoadedConfiguration(
        pointer, configuration, bodies | {pointer.object_name: raw}
    )


def _fetch(names, cached, sources):
    """Returns the available bodies by name; drops those with a wrong digest."""
    bodies = {name: cached[name] for name in names if name in cached}
    missing = [name for name in names if name not in bodies]
    if len(missing) >= PEERS_FIRST_MIN_MISSING:
        sources = sources[1:] + sources[:1]
    for source in sources:
        missing = [name for name in names if name not in bodies]
        if not missing:
            break
        for name, body in source.get(missing).items():
            if object_name(digest_of(body)) == name:
                bodies[name] = body
    return bodies
