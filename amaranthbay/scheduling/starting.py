"""What an instance assumes about the others until it has heard from them."""

__all__ = ["expects_unknown_load"]

# Longest time after the first stream for which unknown load is assumed. Reports come
# every 0.2 to 2 s; instances that are registered and gone never report.
START_S = 2.0


def expects_unknown_load(age_s, registered, heard):
    """Returns whether servers may have load that this instance doesn't know of.

    After a restart of all instances, each begins to place streams before it has heard
    what the others place. Placements by its own loads alone would fill the same
    servers.

    Args:
        age_s: Seconds since the first stream of this process.
        registered: Names of the other registered instances.
        heard: Names of the instances that have reported.

    Examples:
        >>> expects_unknown_load(0.1, {"b", "c", "d"}, {"b"})
        True
        >>> expects_unknown_load(0.1, {"b", "c", "d"}, {"b", "c"})
        False
        >>> expects_unknown_load(2.5, {"b", "c", "d"}, set())
        False
    """
    if age_s >= START_S:
        return False
    return 2 * len(set(registered) & set(heard)) < len(registered)
