"""The configuration as sections: a manifest and one object per section.

When one workspace changes, daemons fetch only the manifest and the changed section
instead of the whole list of workspaces.
"""

from dataclasses import dataclass, replace

import msgspec
import xxhash

from amaranthbay.config.types import decode_configuration, encode_configuration
from amaranthbay.config.workspaces import KeyedWorkspace, without_keys
from amaranthbay.utils.reading import Turn

__all__ = [
    "ConfigPointer",
    "Manifest",
    "assemble",
    "decode_manifest",
    "digest_of",
    "encode_sections",
    "object_name",
]

WORKSPACE_SECTIONS = 256
DIGEST_BYTES = 16
EMPTY_SECTION_DIGEST = bytes(DIGEST_BYTES)


@dataclass(frozen=True)
class ConfigPointer:
    """Value of the row that names the configuration in force.

    Attributes:
        version: Version in force.
        digest: Digest of the encoded manifest.
        object_name: Name of the object that holds the manifest.
        attempt: ID of the acceptance that wrote the row.
        operator: Name of the operator who accepted the version.
        history: IDs of the latest acceptances, newest first. An acceptance whose
            reply was lost finds its ID here even after a later acceptance.
    """

    version: int
    digest: str
    object_name: str
    attempt: str
    operator: str
    history: tuple[str, ...] = ()


@dataclass(frozen=True)
class Manifest:
    """Lists the sections of a version.

    Attributes:
        version: Version of the configuration.
        digests: Concatenated digests of all sections, the base section first; all
            zero for an empty section. They are binary because text digests would
            double the bytes that each change sends.
    """

    version: int
    digests: bytes

    def names(self):
        """Returns the object names of all sections that aren't empty."""
        digests = [
            self.digests[start : start + DIGEST_BYTES]
            for start in range(0, len(self.digests), DIGEST_BYTES)
        ]
        return [
            object_name(digest.hex())
            for digest in digests
            if digest != EMPTY_SECTION_DIGEST
        ]


def digest_of(body):
    """Returns the digest of an object's body as hexadecimal text."""
    return xxhash.xxh3_128_hexdigest(body)


def object_name(digest):
    """Returns the name of the object with a digest; equal bodies share one object."""
    return f"config/{digest}"


def encode_sections(cfg):
    """Encodes a configuration.

    Returns:
        The encoded manifest, and the bodies of the sections by object name. The
        base section is the configuration without version and workspaces; the
        others hold the workspaces, distributed by hash: names as texts, then
        workspaces with keys as objects, with digests in place of the keys. A release
        that doesn't know keys can't decode such a section. It keeps its earlier version
        and refuses new work, where ignoring the keys would admit anybody.
    """
    cfg = without_keys(cfg)
    groups = [[] for _ in range(WORKSPACE_SECTIONS)]
    for workspace in sorted(set(cfg.workspaces)):
        groups[_section_of(workspace)].append(workspace)
    for workspace in sorted(cfg.keyed_workspaces or (), key=lambda each: each.name):
        groups[_section_of(workspace.name)].append(workspace)
    base = encode_configuration(
        replace(cfg, version=0, workspaces=(), keyed_workspaces=None)
    )
    sections = [
        base,
        *(msgspec.json.encode(group) if group else b"" for group in groups),
    ]
    digests = b"".join(
        bytes.fromhex(digest_of(body)) if body else EMPTY_SECTION_DIGEST
        for body in sections
    )
    manifest = msgspec.msgpack.encode(Manifest(cfg.version, digests))
    return manifest, {object_name(digest_of(body)): body for body in sections if body}


def _section_of(name):
    return xxhash.xxh3_64_intdigest(name.encode()) % WORKSPACE_SECTIONS


def decode_manifest(body):
    """Returns the `Manifest` that a body encodes.

    Raises:
        msgspec.DecodeError: If the body isn't a manifest.
    """
    return msgspec.msgpack.decode(body, type=Manifest)


def assemble(manifest, bodies):
    """Returns the `Configuration` of a manifest.

    Other greenlets run in between.

    Args:
        manifest: `Manifest` of the version.
        bodies: Bodies of its sections by object name.

    Raises:
        msgspec.DecodeError: If a section can't be decoded.
    """
    base_name, *workspace_section_names = manifest.names()
    base = decode_configuration(bodies[base_name])
    names, keyed = [], []
    turn = Turn()
    for name in workspace_section_names:
        turn.give_way()
        for each in msgspec.json.decode(bodies[name], type=list[str | KeyedWorkspace]):
            (names if isinstance(each, str) else keyed).append(each)
    return replace(
        base,
        version=manifest.version,
        workspaces=tuple(sorted(names)),
        keyed_workspaces=tuple(sorted(keyed, key=lambda each: each.name)) or None,
    )
