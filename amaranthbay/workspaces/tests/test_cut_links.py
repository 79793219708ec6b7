"""Quotas of a simulated fleet in which single links are cut."""

from amaranthbay.utils.testing import collect
from amaranthbay.workspaces.tests.fleets import RATE, Fleet
from amaranthbay.workspaces.tests.test_quotas import FLOOD, Demand, used

PAIR = ["entry-0", "entry-1"]
OTHERS = [f"entry-{index}" for index in range(2, 9)]
ONE_LINK = [("entry-0", "entry-1")]
SEVERAL_LINKS = [
    ("entry-0", "entry-1"),
    ("entry-2", "entry-3"),
    ("entry-0", "entry-4"),
    ("entry-5", "entry-8"),
]
# Each instance hears its neighbours only, so that nobody hears both ends.
CHAIN = [
    (f"entry-{one}", f"entry-{other}")
    for one in range(5)
    for other in range(one + 2, 5)
]


def both_ways(links):
    """Returns the directions of links that are cut in both."""
    return [*links, *((other, one) for one, other in links)]


def flooded(cut, names=None, count=9, seconds=20):
    """Returns a fleet whose instances have been flooded while links were cut."""
    fleet = Fleet(count, seed=3)
    fleet.run(3)
    demand = Demand(fleet, load=0.9, names=names)
    fleet.run(5, demand)
    fleet.cut_links(cut)
    demand.load = FLOOD
    fleet.run(seconds, demand)
    return fleet


def mean_rate(fleet, since, names=None):
    """Returns the units a second that some instances used, as a part of the rate."""
    units = sum(
        charge.units
        for charge in fleet.charges
        if charge.at >= since and (names is None or charge.name in names)
    )
    return units / (fleet.clock.monotonic() - since) / RATE


def test_cut_link_keeps_the_bound(case):
    """Guards against instances without a link that each use what the other does."""
    for cut in (both_ways(ONE_LINK), ONE_LINK, both_ways(SEVERAL_LINKS), SEVERAL_LINKS):
        for names in (None, PAIR, PAIR[:1], PAIR[1:]):
            with case.subTest(cut=cut, names=names):
                case.assertLessEqual(used(flooded(cut, names), 0.0), 1.0)


def test_instances_that_nobody_hears_together_keep_the_bound(case):
    """Guards against instances at the ends of a chain, of which no third one hears both,
    that each use what the other does."""
    for names in (None, ["entry-0", "entry-4"], ["entry-0", "entry-3"]):
        with case.subTest(names=names):
            fleet = flooded(both_ways(CHAIN), names, count=5)
            case.assertLessEqual(used(fleet, 0.0), 1.0)


def test_process_that_starts_while_its_link_is_cut_keeps_the_bound(case):
    """Guards against a process that never heard the one which it can't reach."""
    fleet = flooded(both_ways(ONE_LINK), PAIR, seconds=4)
    for name in PAIR:
        fleet.restart(name)
        fleet.run(8, Demand(fleet, load=FLOOD, names=PAIR))
    case.assertLessEqual(used(fleet, 0.0), 1.0)


def test_instances_without_a_link_use_the_whole_rate(case):
    """Guards against instances that are stopped, or that slow down the others, while a
    link is cut."""
    for cut in (both_ways(ONE_LINK), ONE_LINK):
        for names in (PAIR, PAIR[:1], PAIR[1:], OTHERS, None):
            with case.subTest(cut=cut, names=names):
                fleet = flooded(cut, names, seconds=5)
                since = fleet.clock.monotonic()
                fleet.run(20, Demand(fleet, load=FLOOD, names=names))
                case.assertGreater(mean_rate(fleet, since), 0.95)
                if names is None:
                    fair = mean_rate(fleet, since) / len(fleet.nodes)
                    for name in PAIR:
                        case.assertGreater(mean_rate(fleet, since, [name]), fair / 2)


def test_load_under_the_quota_is_not_refused_for_a_cut_link(case):
    """Guards against refusals under the limit at either end of a link that is cut."""
    for cut in (both_ways(ONE_LINK), ONE_LINK, both_ways(SEVERAL_LINKS)):
        with case.subTest(cut=cut):
            fleet = Fleet(9, seed=3)
            fleet.run(3)
            fleet.cut_links(cut)
            fleet.run(3)
            fleet.run(40, Demand(fleet, load=0.9))
            total = len(fleet.passed) + len(fleet.refused)
            case.assertLess(len(fleet.refused) / total, 0.03)


def test_restored_link_causes_no_jump(case):
    """Guards against charges that count twice when a link is restored, and against
    units of the time before that all instances use at once."""
    for names in (PAIR, None):
        with case.subTest(names=names):
            fleet = flooded(both_ways(ONE_LINK), names)
            demand = Demand(fleet, load=FLOOD, names=names)
            fleet.cut_links([])
            fleet.run(2, demand)
            since = fleet.clock.monotonic()
            fleet.run(2, demand)
            case.assertGreater(mean_rate(fleet, since), 0.9)
            fleet.run(8, demand)
            case.assertLessEqual(used(fleet, 0.0), 1.0)
            levels = {
                round(node.quotas._buckets["north"].level / RATE, 1)
                for node in fleet.nodes.values()
            }
            case.assertLessEqual(max(levels) - min(levels), 0.2)


load_tests = collect(globals())
