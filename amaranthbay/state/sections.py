"""The configuration as sections: a manifest and one object per section.

A change of one workspace then sends one section and the manifest to the daemons
instead of all workspaces.
"""

from dataclasses import dataclass, replace

import msgspec
import xxhash

from amaranthbay.config.types import decode_configuration, encode_configuration

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
NO_SECTION = bytes(DIGEST_BYTES)


@dataclass(frozen=True)
class ConfigPointer:
    """Value of the row that names the configuration in force.

    Attributes:
        version: Version in force.
        digest: Digest of the encoded manifest.
        object_name: Object that holds the manifest.
        attempt: Acceptance that wrote the row.
        operator: Who accepted it.
        history: Latest acceptances, newest first; settles a lost reply after
            somebody else has accepted a further version.
    """

    version: int
    digest: str
    object_name: str
    attempt: str
    operator: str
    history: tuple[str, ...] = ()


@dataclass(frozen=True)
class Manifest:
    """Which sections make up a version.

    Attributes:
        version: Version of the configuration.
        digests: Digests of all sections one after the other, that of the base
            section first; all zero for a section without content. Text digests
            would take twice the bytes of each change.
    """

    version: int
    digests: bytes

    def names(self):
        """Returns the object names of all sections with content."""
        parts = [
            self.digests[start : start + DIGEST_BYTES]
            for start in range(0, len(self.digests), DIGEST_BYTES)
        ]
        return [object_name(part.hex()) for part in parts if part != NO_SECTION]


def digest_of(body):
    """Returns the digest under which a body is stored."""
    return xxhash.xxh3_128_hexdigest(body)


def object_name(digest):
    """Returns the name of an object; equal bodies share one object."""
    return f"config/{digest}"


def encode_sections(cfg):
    """Returns the manifest's body and the bodies of the sections by name."""
    groups = [[] for _ in range(WORKSPACE_SECTIONS)]
    for workspace in sorted(set(cfg.workspaces)):
        number = xxhash.xxh3_64_intdigest(workspace.encode()) % WORKSPACE_SECTIONS
        groups[number].append(workspace)
    base = encode_configuration(replace(cfg, version=0, workspaces=()))
    sections = [base, *(msgspec.json.encode(each) if each else b"" for each in groups)]
    digests = b"".join(
        bytes.fromhex(digest_of(each)) if each else NO_SECTION for each in sections
    )
    manifest = msgspec.msgpack.encode(Manifest(cfg.version, digests))
    return manifest, {object_name(digest_of(each)): each for each in sections if each}


def decode_manifest(body):
    """Returns a `Manifest`; raises msgspec.DecodeError on bad input."""
    return msgspec.msgpack.decode(body, type=Manifest)


def assemble(manifest, bodies):
    """Returns the `Configuration` of a manifest.

    Args:
        manifest: `Manifest`.
        bodies: Bodies of its sections by object name.

    Raises:
        msgspec.DecodeError: If a section isn't readable.
    """
    first, *others = manifest.names()
    base = decode_configuration(bodies[first])
    workspaces = []
    for name in others:
        workspaces.extend(msgspec.json.decode(bodies[name], type=list[str]))
    names = tuple(sorted(workspaces))
    return replace(base, version=manifest.version, workspaces=names)
