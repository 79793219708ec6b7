"""The instances that callers are told of."""

from amaranthbay.daemon.lookup import (
    choose_addresses,
    choose_instances,
    choose_watchers,
    count_chosen,
)
from amaranthbay.fleet import Registration
from amaranthbay.utils.testing import collect


def fleet(zones=3, each=29, weak=()):
    """Returns registrations; those in ``weak`` have half a core."""
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
        for number in range(each)
    ]


def test_few_instances_of_each_zone_serve(case):
    """Guards against work that is spread over instances that don't know of it."""
    chosen = choose_instances(fleet())
    zones = [each.availability_zone for each in chosen]
    case.assertEqual({zones.count(zone) for zone in zones}, {3})
    case.assertEqual(len(chosen), 9)
    case.assertEqual(len(choose_addresses(fleet(), "zone-1", "region-1")), 3)


def test_loss_of_an_instance_moves_no_other(case):
    """Guards against moving all callers when one instance is lost."""
    live = fleet()
    before = choose_instances(live)
    lost = before[0]
    after = choose_instances([each for each in live if each is not lost])
    case.assertEqual(len(set(before) & set(after)), 8)


def test_weak_instances_stand_by(case):
    """Guards against callers at an instance whose core or link is too small."""
    weak = {(0, number) for number in range(25)}
    chosen = choose_instances(fleet(zones=1, weak=weak))
    case.assertEqual({each.cores for each in chosen}, {2.0})
    only_weak = choose_instances(fleet(zones=1, each=2, weak=weak))
    case.assertEqual(len(only_weak), 2)


def test_callers_of_an_empty_zone_use_the_region(case):
    """Guards against an empty answer while other zones serve."""
    case.assertEqual(len(choose_addresses(fleet(), "zone-9", "region-1")), 9)
    case.assertEqual(choose_addresses([], "zone-1", "region-1"), [])


def test_places_are_counted_without_the_dead(case):
    """Guards against an allowance that grows as instances are lost."""
    case.assertEqual(count_chosen(fleet(zones=5, each=39)), 15)
    case.assertEqual(count_chosen(fleet(zones=2, each=2)), 4)
    case.assertEqual(count_chosen([]), 0)


def test_one_instance_of_each_zone_watches_the_store_for_many(case):
    """Guards against calls to the store that grow with the instances that serve, and
    against an availability zone whose instances watch nothing."""
    many = choose_instances(fleet(zones=5))
    watchers = choose_watchers(many)
    zones = {each.availability_zone for each in many if each.instance in watchers}
    case.assertEqual((len(watchers), len(zones)), (5, 5))
    few = choose_instances(fleet(zones=3))
    case.assertEqual(choose_watchers(few), {each.instance for each in few})


load_tests = collect(globals())
