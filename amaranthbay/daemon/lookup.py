"""Chooses the entry instances whose addresses lookups give to callers."""

from collections import Counter
from itertools import groupby

from amaranthbay.utils.rendezvous import rendezvous_order

__all__ = ["choose_addresses", "choose_instances", "choose_watchers", "count_chosen"]

# Chosen instances per availability zone, which share its callers; the others are on
# standby. A few instances learn of each other's work fast enough not to fill the same
# model server twice.
CHOSEN_PER_ZONE = 3
# Up to this number of chosen instances, all of them watch the store. Beyond it, one in
# each availability zone does, and the others learn of changes from its reports a moment
# later.
MAX_ALL_WATCHING = 9
# Every instance uses the same key, and so gets the same order.
RENDEZVOUS_KEY = "callers"
# An instance below one of these limits is chosen only if its zone has too few others.
MIN_CORES = 0.9
MIN_LINK_MBPS = 20.0


def choose_instances(live):
    """Chooses up to `CHOSEN_PER_ZONE` instances in each availability zone.

    All instances that know the same live instances choose the same ones.

    Args:
        live: `Registration` of each instance that callers may use.

    Returns:
        List of the `Registration` of each chosen instance.
    """
    names = rendezvous_order(RENDEZVOUS_KEY, [member.instance for member in live])
    ranks = {name: rank for rank, name in enumerate(names)}

    def sort_key(member):
        return member.availability_zone, _is_weak(member), ranks[member.instance]

    ordered = sorted(live, key=sort_key)
    chosen = []
    for _, members in groupby(ordered, key=lambda member: member.availability_zone):
        chosen += list(members)[:CHOSEN_PER_ZONE]
    return chosen


def count_chosen(registered):
    """Returns how many instances are chosen while all are live.

    Args:
        registered: `Registration` of each instance, live or not.
    """
    zones = Counter(member.availability_zone for member in registered)
    return sum(min(CHOSEN_PER_ZONE, count) for count in zones.values())


def choose_watchers(chosen):
    """Returns the names of the instances that watch the store for the others.

    Args:
        chosen: `Registration` of each chosen instance, as sorted by `choose_instances`.
    """
    if len(chosen) <= MAX_ALL_WATCHING:
        return frozenset(member.instance for member in chosen)
    first = {}
    for member in chosen:
        first.setdefault(member.availability_zone, member.instance)
    return frozenset(first.values())


def _is_weak(member):
    return member.cores < MIN_CORES or 0 < member.link_mbps < MIN_LINK_MBPS


def choose_addresses(live, availability_zone, region):
    """Returns the addresses of the chosen instances that are near a caller.

    These are the instances of the caller's availability zone; if it has none, those of
    its region; if that has none, all.

    Args:
        live: `Registration` of each instance that callers may use.
        availability_zone: Availability zone of the caller.
        region: Region of the caller.

    Returns:
        Sorted list of caller addresses.
    """
    chosen = choose_instances(live)
    near = [
        member for member in chosen if member.availability_zone == availability_zone
    ]
    if not near:
        near = [member for member in chosen if member.region == region] or chosen
    return sorted(member.caller_address for member in near)
