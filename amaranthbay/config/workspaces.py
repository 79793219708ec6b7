"""Workspaces with keys, as answers and configurations list them.

A configuration that has been generated or accepted holds digests of the keys only, so
that neither the platform nor messages between daemons carry a key.
"""

from dataclasses import dataclass, field, replace
from hashlib import blake2b
from typing import Annotated, Literal

import msgspec

from amaranthbay.workspaces import KeyTable, QuotaUnit, Workspace

__all__ = [
    "KeyedWorkspace",
    "WorkspaceKeys",
    "key_digest",
    "key_table",
    "without_keys",
]

# Separates these digests from other uses of the same text.
_DIGEST_PURPOSE = b"workspace key"
_DIGEST_BYTES = 32
# The rank that engines assume if a request names none.
DEFAULT_PRIORITY = 5
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
# Digests are readable by operators, so that a key must be too long to be guessed.
# "$" in place of "\Z" would admit a line end, which no caller can send.
Key = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[A-Za-z0-9._~+/=-]{16,128}\Z",
        description="16 to 128 letters, digits or any of ._~+/=-",
    ),
]
KeyDigest = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[0-9a-f]{64}\Z", description="a digest of 64 hexadecimal digits"
    ),
]
Priority = Annotated[int, msgspec.Meta(ge=0, le=9)]
Units = Annotated[float, msgspec.Meta(ge=0)]
Tokens = Annotated[int, msgspec.Meta(ge=0)]


@dataclass(frozen=True)
class KeyedWorkspace:
    """A workspace whose requests carry a key.

    Attributes:
        name: Name of the workspace.
        keys: Its keys; left out of the text form.
        key_digests: Digests of further keys, see `key_digest`. A workspace without keys
            and digests is known, but none of its requests is admitted.
        priority: Rank of its requests, 0 is the highest.
        unit: What its quota counts: ``"requests"`` or ``"tokens"``.
        rate_per_s: Units per second in sum over all daemons; 0 for no limit.
        burst: Units that it may use beyond the rate after a calm time.
        plain_tokens: Tokens that a request counts as which names none.
    """

    name: Name
    keys: tuple[Key, ...] | None = field(
        default=None, repr=False, metadata={"secret": True}
    )
    # A key that is listed here by mistake must not be shown by the check.
    key_digests: tuple[KeyDigest, ...] = field(default=(), metadata={"secret": True})
    priority: Priority = DEFAULT_PRIORITY
    unit: Literal["requests", "tokens"] = "requests"
    rate_per_s: Units = 0.0
    burst: Units = 0.0
    plain_tokens: Tokens = 0

    def all_digests(self):
        """Returns the digests of all keys."""
        if not self.keys:
            return self.key_digests
        digests = {key_digest(key.encode()) for key in self.keys or ()}
        return tuple(sorted(digests | set(self.key_digests)))


@dataclass(frozen=True)
class WorkspaceKeys:
    """The keys of one version of the configuration, for `AccessControl`.

    Attributes:
        version: Version of the configuration.
        workspaces: `KeyTable` of key digests; None if callers need no key.
    """

    version: int
    workspaces: KeyTable | None


def key_digest(key):
    """Returns the digest of a key in bytes, as text that is safe to show."""
    return blake2b(key, digest_size=_DIGEST_BYTES, person=_DIGEST_PURPOSE).hexdigest()


def without_keys(document):
    """Returns answers or a configuration with digests in place of all keys."""
    if document.keyed_workspaces is None:
        return document
    workspaces = tuple(
        replace(each, keys=None, key_digests=each.all_digests())
        for each in document.keyed_workspaces
    )
    return replace(document, keyed_workspaces=workspaces)


def key_table(keyed_workspaces):
    """Returns the `KeyTable` of the digests of some workspaces.

    Other greenlets run in between: 26,000 workspaces with two keys each take 0.3 s.
    """
    # Commands that read a configuration don't need this module.
    from amaranthbay.utils.reading import Turn

    turn = Turn()

    def entries():
        for each in keyed_workspaces:
            turn.give_way()
            yield _to_workspace(each), each.all_digests()

    return KeyTable(entries())


def _to_workspace(entry):
    return Workspace(
        entry.name,
        entry.priority,
        entry.rate_per_s,
        entry.burst,
        QuotaUnit(entry.unit),
        entry.plain_tokens,
    )
