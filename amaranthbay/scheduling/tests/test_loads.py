"""Loads with priorities, against first come first served; played without a network."""

import random

from amaranthbay.scheduling.tests.player import (
    FirstComeFirstServed,
    Load,
    Scheduled,
    shares,
)
from amaranthbay.utils.testing import collect

CLASSES = {0: (0.8, 1.0), 1: (1.0, 1.0), 2: (2.0, 1.0)}
# Value of a response in time, by priority, and of a late one.
VALUES, LATE_VALUE = {0: 17.0, 1: 9.2, 2: 4.6}, 1.6
SEEDS = range(2)
# No less urgent class may be served more often, or in time, by more than these shares.
SERVED_MARGIN, IN_TIME_MARGIN = 0.05, 0.15


def play(player, load):
    """Returns the callers of a load with each of the seeds."""
    return [c for seed in SEEDS for c in player(load, random.Random(seed)).run()]


def value(callers):
    """Returns what the responses are worth to the callers."""
    return sum(
        VALUES[caller.priority] if caller.in_time else LATE_VALUE
        for caller in callers
        if caller.served
    )


def check_load(case, load, least_value=1.5):
    """Checks a load against first come first served; returns the shares by class.

    Args:
        case: Test case.
        load: `Load` to play.
        least_value: Least value of the responses, in that of the baseline.
    """
    callers, baseline = play(Scheduled, load), play(FirstComeFirstServed, load)
    case.assertGreater(value(callers), least_value * value(baseline))
    served = sum(caller.served for caller in callers)
    case.assertGreaterEqual(served, sum(caller.served for caller in baseline))
    by_class = shares(callers)
    for priority, share in by_class.items():
        case.assertGreaterEqual(share.served, 0.25 * served / len(callers))
        for urgent in [by_class[p] for p in by_class if p < priority]:
            case.assertLessEqual(share.served, urgent.served + SERVED_MARGIN)
            case.assertLessEqual(share.in_time, urgent.in_time + IN_TIME_MARGIN)
    return by_class


def test_burst_of_twice_the_capacity(case):
    """Guards against a burst in which the class with the shortest target gets least."""
    by_class = check_load(case, Load(CLASSES, burst_per_s=80.0))
    case.assertGreater(by_class[0].in_time, 0.8)


def test_workspace_that_floods_the_least_urgent_class(case):
    """Guards against a workspace that takes the places of more urgent ones."""
    load = Load({0: (0.8, 1.0), 1: (1.0, 1.0), 2: (2.0, 5.0)})
    by_class = check_load(case, load)
    case.assertGreater(by_class[0].in_time, 0.95)
    case.assertGreater(by_class[1].in_time, 0.8)


def test_workspace_that_floods_the_most_urgent_class(case):
    """Guards against a class that starves beside a more urgent one whose streams alone
    are more than the servers can take, against a middle class that is served less often
    than the least urgent one, whose callers wait for longer, and against refused
    callers whose late streams take the places of others that could be in time."""
    load = Load({0: (0.8, 6.0), 1: (1.0, 1.0), 2: (2.0, 1.0)}, burst_per_s=80.0)
    by_class = check_load(case, load, least_value=2.3)
    case.assertGreater(by_class[1].in_time, 0.2)


def test_workspace_that_floods_the_middle_class(case):
    """Guards against a flood that delays the class above it."""
    load = Load({0: (0.8, 1.0), 1: (1.0, 6.0), 2: (2.0, 1.0)}, burst_per_s=80.0)
    by_class = check_load(case, load)
    case.assertGreater(by_class[0].in_time, 0.9)


def test_priorities_that_hardly_arrive_keep_no_capacity(case):
    """Guards against streams that wait until they are late beside free servers, since
    workspaces with few streams have more urgent priorities."""
    rare = {0: (0.8, 0.01), 1: (1.0, 0.01), 2: (2.0, 0.01)}
    usual = {3: (0.8, 1.0), 4: (1.0, 1.0), 5: (2.0, 1.0)}
    loads = [Load(classes, burst_per_s=40.0) for classes in (usual, rare | usual)]
    alone, beside_rare = (shares(play(Scheduled, load)) for load in loads)
    for priority in usual:
        least = alone[priority].in_time - 0.05
        case.assertGreater(beside_rare[priority].in_time, least)


def test_lost_decode_servers_and_uneven_prefill_servers(case):
    """Guards against urgent streams that wait behind others after a loss, or at slow
    prefill servers."""
    speeds = tuple(factor * 40_000.0 for factor in (0.7, 0.7, 1.7))
    check_load(case, Load(CLASSES, burst_per_s=40.0, lost_at=5.0))
    check_load(case, Load(CLASSES, prefill_speeds=speeds))


def test_measured_retry_times_serve_more_callers_than_random_ones(case):
    """Guards against refused callers who come back while there is no room."""

    class RandomTimes(Scheduled):
        """Uses random retry times."""

        _retry_s = FirstComeFirstServed._retry_s

    for load in (Load({1: (1.0, 1.0)}), Load(CLASSES, burst_per_s=80.0)):
        measured, drawn = play(Scheduled, load), play(RandomTimes, load)
        lost = [sum(not c.served for c in callers) for callers in (measured, drawn)]
        case.assertLess(lost[0], lost[1])


load_tests = collect(globals())
