"""Chooses the entry instances that a caller is told of."""

__all__ = ["choose_addresses"]


def choose_addresses(live, availability_zone, region):
    """Returns caller addresses, those of the caller's availability zone if any.

    Args:
        live: `Registration` of each instance that may be used.
        availability_zone: Where the caller is.
        region: Region of the caller.
    """
    near = [each for each in live if each.availability_zone == availability_zone]
    if not near:
        near = [each for each in live if each.region == region] or live
    return sorted(each.caller_address for each in near)
