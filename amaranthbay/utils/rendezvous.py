"""Rendezvous hashing: ranks names so that adding or removing one moves few keys."""

import xxhash

__all__ = ["rendezvous_order"]


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
    seed = xxhash.xxh3_64_intdigest(key.encode())

    def weight(name):
        return xxhash.xxh3_64_intdigest(name.encode(), seed=seed), name

    return tuple(sorted(set(names), key=weight, reverse=True))
