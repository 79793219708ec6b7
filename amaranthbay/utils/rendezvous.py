"""Rendezvous hashing: ranks names so that adding or removing one moves few keys."""

import xxhash

__all__ = ["rendezvous_first", "rendezvous_order"]


def rendezvous_order(key, names):
    """Returns the names, ranked for the key.

    Adding or removing a name leaves the order of the others unchanged. The first name
    therefore changes only for keys that rank the added or removed name first.

    Args:
        key: Text, for example a workspace or a backend server.
        names: Names to rank; duplicates are dropped.

    Examples:
        >>> order = rendezvous_order("ws-1", ["a", "b", "c"])
        >>> rendezvous_order("ws-1", order[1:]) == order[1:]
        True
    """
    return tuple(sorted(set(names), key=_weight(key), reverse=True))


def rendezvous_first(key, names):
    """Returns the name that ranks first for the key, as in `rendezvous_order`.

    Args:
        key: Text.
        names: Names to rank, at least one.

    Examples:
        >>> rendezvous_first("ws-1", ["a", "b"]) == rendezvous_order("ws-1", "ab")[0]
        True
    """
    return max(names, key=_weight(key))


def _weight(key):
    """Returns the function that a ranking for the key sorts names by."""
    seed = xxhash.xxh3_64_intdigest(key.encode())
    return lambda name: (xxhash.xxh3_64_intdigest(name.encode(), seed=seed), name)
