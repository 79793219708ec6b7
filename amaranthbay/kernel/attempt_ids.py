"""Ids of attempts, which are bound to the workspace of the request's key."""

import uuid
from hashlib import blake2b
from secrets import token_bytes

__all__ = ["is_bound_to", "new_attempt_id"]

# An id has the 32 hexadecimal digits of a UUID, which resume tokens require.
RANDOM_BYTES = 10
TAG_BYTES = 6
_TAG_PURPOSE = b"attempt id"


def new_attempt_id(workspace=None):
    """Returns a unique id.

    Args:
        workspace: `workspaces.Workspace` that the id is bound to; None if callers need
            no key.
    """
    if workspace is None:
        return uuid.uuid4().hex
    random_part = token_bytes(RANDOM_BYTES)
    return (random_part + _tag(random_part, workspace.name)).hex()


def is_bound_to(attempt_id, workspace):
    """Returns whether an attempt belongs to a workspace.

    The status of a daemon shows ids of attempts without a key, so that knowing an id
    proves nothing. An id with another tag is unknown to the servers.

    Args:
        attempt_id: Id of 32 hexadecimal digits.
        workspace: `workspaces.Workspace` of a caller's key.

    Examples:
        >>> from amaranthbay.workspaces import Workspace
        >>> attempt_id = new_attempt_id(Workspace("a"))
        >>> [is_bound_to(attempt_id, Workspace(name)) for name in ("a", "b")]
        [True, False]
    """
    raw = bytes.fromhex(attempt_id)
    random_part, tag = raw[:RANDOM_BYTES], raw[RANDOM_BYTES:]
    return tag == _tag(random_part, workspace.name)


def _tag(random_part, name):
    return blake2b(
        name.encode(), digest_size=TAG_BYTES, key=random_part, person=_TAG_PURPOSE
    ).digest()
