"""The instances that callers are told of."""

from amaranthbay.daemon.lookup import choose_addresses, serving_instances
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
    chosen = serving_instances(fleet())
    zones = [each.availability_zone for each in chosen]
    case.assertEqual({zones.count(zone) for zone in zones}, {3})
    case.assertEqual(len(chosen), 9)
    case.assertEqual(len(choose_addresses(fleet(), "zone-1", "region-1")), 3)


def test_loss_of_an_instance_moves_no_other(case):
    """Guards against moving all callers when one instance is lost."""
    live = fleet()
    before = serving_instances(live)
    lost = before[0]
    after = serving_instances([each for each in live if each is not lost])
    case.assertEqual(len(set(before) & set(after)), 8)


def test_weak_instances_stand_by(case):
    """Guards against callers at an instance whose core or link is too small."""
    weak = {(0, number) for number in range(25)}
    chosen = serving_instances(fleet(zones=1, weak=weak))
    case.assertEqual({each.cores for each in chosen}, {2.0})
    only_weak = serving_instances(fleet(zones=1, each=2, weak=weak))
    case.assertEqual(len(only_weak), 2)


def test_callers_of_an_empty_zone_use_the_region(case):
    """Guards against an empty answer while other zones serve."""
    case.assertEqual(len(choose_addresses(fleet(), "zone-9", "region-1")), 9)
    case.assertEqual(choose_addresses([], "zone-1", "region-1"), [])


load_tests = collect(globals())
