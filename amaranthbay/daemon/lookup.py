"""Chooses the entry instances whose addresses lookups give to callers."""

from collections import Counter
from itertools import groupby

from amaranthbay.utils.rendezvous import rendezvous_order

__all__ = ["choose_addresses", "choose_instances", "choose_watchers", "count_chosen"]

# Number of chosen instances per availability zone, which share its callers; the others
# are on standby. A few instances learn of each other's work fast enough not to fill the
# same model server twice.
CHOSEN_PER_ZONE = 3
# Number of strong instances in a zone from which on no weak one is chosen. Each chosen
# instance gets an equal part of the callers, and weak ones are overloaded first.
ENOUGH_STRONG = 2
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

    Weak instances are chosen only where there are fewer than `ENOUGH_STRONG` others.
    All instances that know the same live instances choose the same ones.

    Args:
        live: `Registration` of each instance that callers may use.

    Returns:
        List of the `Registration` of each chosen instance.
    """
    names = rendezvous_order(
        RENDEZVOUS_KEY, [registration.instance for registration in live]
    )
    ranks = {name: rank for rank, name in enumerate(names)}

    def sort_key(registration):
        return (
            registration.availability_zone,
            _is_weak(registration),
            ranks[registration.instance],
        )

    ordered = sorted(live, key=sort_key)
    chosen = []
    for _, registrations in groupby(
        ordered, key=lambda registration: registration.availability_zone
    ):
        chosen += _choose_in_zone(list(registrations))
    return chosen


def _choose_in_zone(registrations):
    """Returns the chosen ones of a zone's instances, which are sorted strong first."""
    strong = sum(1 for registration in registrations if not _is_weak(registration))
    return registrations[: _count_in_zone(len(registrations), strong)]


def _count_in_zone(instances, strong):
    """Returns how many of a zone's instances are chosen, of which some are strong."""
    enough = strong if strong >= ENOUGH_STRONG else instances
    return min(CHOSEN_PER_ZONE, enough)


def count_chosen(registered):
    """Returns how many instances are chosen while all are live.

    Args:
        registered: `Registration` of each instance, live or not.
    """
    instances, strong = Counter(), Counter()
    for registration in registered:
        instances[registration.availability_zone] += 1
        strong[registration.availability_zone] += not _is_weak(registration)
    return sum(_count_in_zone(count, strong[zone]) for zone, count in instances.items())


def choose_watchers(chosen):
    """Returns the names of the instances that watch the store for the others.

    Args:
        chosen: `Registration` of each chosen instance, as sorted by `choose_instances`.
    """
    if len(chosen) <= MAX_ALL_WATCHING:
        return frozenset(registration.instance for registration in chosen)
    first_by_zone = {}
    for registration in chosen:
        first_by_zone.setdefault(registration.availability_zone, registration.instance)
    return frozenset(first_by_zone.values())


def _is_weak(registration):
    return registration.cores < MIN_CORES or 0 < registration.link_mbps < MIN_LINK_MBPS


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
        registration
        for registration in chosen
        if registration.availability_zone == availability_zone
    ]
    if not near:
        near = [
            registration for registration in chosen if registration.region == region
        ] or chosen
    return sorted(registration.caller_address for registration in near)
