"""Keys of workspaces, as the configuration names them.

Keys are secrets. The table keeps digests under a random secret of the process, so that
no text form shows a key, and a look-up takes the same time whatever part of a key
matches.
"""

from hashlib import blake2b
from secrets import token_bytes

__all__ = ["KeyTable"]

_DIGEST_SECRET = token_bytes(32)
DIGEST_BYTES = 16


class KeyTable:
    """Workspaces by key; immutable."""

    def __init__(self, workspaces=()):
        """Creates the table.

        Args:
            workspaces: Pairs of a `Workspace` and its keys, as strings.
        """
        self._by_name, self._by_digest = {}, {}
        for workspace, keys in workspaces:
            self._by_name[workspace.name] = workspace
            for key in keys:
                self._by_digest[_digest(key.encode())] = workspace

    def find(self, key):
        """Returns the `Workspace` that holds a key in bytes, or None."""
        return self._by_digest.get(_digest(key))

    def named(self, name):
        """Returns the `Workspace` of a name, or None."""
        return self._by_name.get(name)

    def all(self):
        """Returns all workspaces."""
        return tuple(self._by_name.values())

    def digests(self):
        """Returns the digests of each workspace's keys, as a set by its name.

        They can be compared with those of other tables of this process only.
        """
        by_name = {name: set() for name in self._by_name}
        for digest, workspace in self._by_digest.items():
            # No request carries an empty key.
            if digest != _digest(b""):
                by_name[workspace.name].add(digest)
        return by_name

    def __len__(self):
        return len(self._by_name)

    def __repr__(self):
        return f"KeyTable({len(self._by_name)} workspaces)"


def _digest(key):
    return blake2b(key, digest_size=DIGEST_BYTES, key=_DIGEST_SECRET).digest()
