"""The choice of instances whose addresses lookups give to callers."""

from amaranthbay.daemon.lookup import (
    choose_addresses,
    choose_instances,
    choose_watchers,
    count_chosen,
)
from amaranthbay.fleet import Registration
from amaranthbay.utils.testing import collect


def fleet(zones=3, per_zone=29, weak=()):
    """Returns the registrations of a fleet.

    Args:
        zones: Number of availability zones.
        per_zone: Number of instances in each zone.
        weak: Pairs of zone and number of the instances that have half a core.
    """
    return [
        Registration(
            f"entry-{zone}-{number}",
            f"zone-{zone}",
            "region-1",
            f"10.{zone}.0.{number}:80",
            f"10.{zone}.0.{number}:90",
            0.5 if (zone, number) in weak else 2.0,
            100.0,
        )
        for zone in range(zones)
        for number in range(per_zone)
    ]


def test_few_instances_of_each_zone_are_chosen(case):
    """Guards against spreading work over too many instances, which learn too late of
    each other's work."""
    chosen = choose_instances(fleet())
    zones = [registration.availability_zone for registration in chosen]
    case.assertEqual({zones.count(zone) for zone in zones}, {3})
    case.assertEqual(len(chosen), 9)
    case.assertEqual(len(choose_addresses(fleet(), "zone-1", "region-1")), 3)


def test_loss_of_an_instance_moves_no_other(case):
    """Guards against moving the callers of all instances when one is lost."""
    live = fleet()
    before = choose_instances(live)
    lost = before[0]
    after = choose_instances([r for r in live if r is not lost])
    case.assertEqual(len(set(before) & set(after)), 8)


def test_weak_instances_are_chosen_last(case):
    """Guards against choosing an instance with too little processor or network."""
    weak = {(0, number) for number in range(25)}
    chosen = choose_instances(fleet(zones=1, weak=weak))
    case.assertEqual({registration.cores for registration in chosen}, {2.0})
    only_weak = choose_instances(fleet(zones=1, per_zone=2, weak=weak))
    case.assertEqual(len(only_weak), 2)


def test_no_weak_instance_is_chosen_beside_enough_strong_ones(case):
    """Guards against a third of a zone's callers at an instance with a quarter of the
    processor of the other two, and against relying on a single strong one."""
    for strong, expected in ((0, 3), (1, 3), (2, 2), (3, 3), (4, 3)):
        weak = {(0, number) for number in range(strong, 29)}
        live = fleet(zones=1, weak=weak)
        chosen = choose_instances(live)
        case.assertEqual(len(chosen), expected)
        case.assertEqual(count_chosen(live), expected)
        strong_chosen = [each for each in chosen if each.cores == 2.0]
        case.assertEqual(len(strong_chosen), min(strong, 3))


def test_callers_of_an_empty_zone_use_the_region(case):
    """Guards against an empty answer while other zones have instances."""
    case.assertEqual(len(choose_addresses(fleet(), "zone-9", "region-1")), 9)
    case.assertEqual(choose_addresses([], "zone-1", "region-1"), [])


def test_chosen_instances_are_counted_as_if_all_were_live(case):
    """Guards against an allowance of repeats that grows when instances are lost."""
    case.assertEqual(count_chosen(fleet(zones=5, per_zone=39)), 15)
    case.assertEqual(count_chosen(fleet(zones=2, per_zone=2)), 4)
    case.assertEqual(count_chosen([]), 0)


def test_one_instance_of_each_zone_watches_the_store_for_many(case):
    """Guards against calls to the store that grow with the number of chosen instances,
    and against an availability zone without a watcher."""
    many = choose_instances(fleet(zones=5))
    watchers = choose_watchers(many)
    zones = {r.availability_zone for r in many if r.instance in watchers}
    case.assertEqual((len(watchers), len(zones)), (5, 5))
    few = choose_instances(fleet(zones=3))
    case.assertEqual(choose_watchers(few), {r.instance for r in few})


load_tests = collect(globals())
