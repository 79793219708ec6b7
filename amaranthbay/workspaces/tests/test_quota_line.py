"""Requests that wait a moment for their quota, without a network."""

from types import SimpleNamespace

import gevent

from amaranthbay.utils.testing import collect
from amaranthbay.workspaces import Workspace
from amaranthbay.workspaces.quota_line import MAX_WAIT_S, MAX_WAITING, QuotaLine
from amaranthbay.workspaces.tests.fleets import RATE, Fleet, workspace

NAME = "entry-0"


def make_line(case, rate=RATE):
    """Returns a `QuotaLine` with an empty bucket, and the clock of its instance."""
    fleet = Fleet(1, limits=(workspace(rate),))
    line = QuotaLine(fleet.nodes[NAME].quotas, fleet.clock)
    case.enterContext(gevent.Timeout(10.0))
    return line, fleet.clock


def make_call(clock, units, priority=1, target_s=2.0, name="r"):
    """Returns a call that arrives now."""
    now = clock.monotonic()
    return SimpleNamespace(
        workspace=workspace(),
        units=units,
        priority=priority,
        arrived_at=now,
        ends_at=now + 10.0,
        request_id=name,
        route=SimpleNamespace(target_s=target_s),
    )


def test_request_waits_for_units_that_refill_soon(case):
    """Guards against a refusal of a request whose units are there a moment later."""
    line, clock = make_line(case)
    case.assertTrue(line.charge(make_call(clock, RATE // 10)).is_ok())
    case.assertLess(clock.monotonic(), MAX_WAIT_S)


def test_request_over_the_quota_is_refused_at_once(case):
    """Guards against a wait whose end is known to be too late, and against one that
    uses up the target of a request."""
    line, clock = make_line(case)
    case.assertTrue(line.charge(make_call(clock, RATE)).is_err())
    case.assertTrue(line.charge(make_call(clock, RATE // 10, target_s=0.2)).is_err())
    case.assertEqual(clock.monotonic(), 0.0)


def test_urgent_request_goes_before_those_that_wait(case):
    """Guards against an order by arrival alone, in which the urgent requests of a
    workspace beyond its quota are refused as often as the others."""
    line, clock = make_line(case)
    charged = []

    def charge(name, priority):
        if line.charge(make_call(clock, RATE // 10, priority, name=name)).is_ok():
            charged.append(name)

    jobs = [gevent.spawn(charge, f"low-{number}", 2) for number in range(3)]
    jobs.append(gevent.spawn(charge, "high", 0))
    gevent.joinall(jobs)
    case.assertEqual(charged[0], "high")
    case.assertLess(len(charged), len(jobs))


def test_refused_callers_are_told_different_times(case):
    """Guards against refused callers who come back together for the same units."""
    line, clock = make_line(case)
    times = [
        line.charge(make_call(clock, RATE // 2)).unwrap_err().retry_s for _ in range(4)
    ]
    case.assertEqual(times, sorted(times))
    case.assertGreater(times[-1], 1.5)


def test_urgent_request_finds_a_place_in_a_full_line(case):
    """Guards against a full line that refuses whoever comes last, however urgent."""
    line, clock = make_line(case)
    jobs = [
        gevent.spawn(line.charge, make_call(clock, RATE // 50, 2, name=f"r{number:03}"))
        for number in range(MAX_WAITING)
    ]
    gevent.sleep(0)
    urgent = gevent.spawn(line.charge, make_call(clock, RATE // 50, 0, name="urgent"))
    gevent.joinall([*jobs, urgent])
    case.assertTrue(urgent.get().is_ok())


def test_small_request_is_not_refused_behind_a_large_one(case):
    """Guards against a refusal below the quota, since a request that waits for more
    units than the bucket has is the first one of the line."""
    line, clock = make_line(case)
    for _ in range(2):
        clock.advance(0.1)
        line._quotas.report()
    large = gevent.spawn(line.charge, make_call(clock, RATE // 3, name="large"))
    gevent.sleep(0)
    small = make_call(clock, RATE // 1000, target_s=0.05, name="small")
    case.assertTrue(line.charge(small).is_ok())
    large.join()


def test_line_is_bounded(case):
    """Guards against requests that pile up behind a quota that is used up."""
    line, clock = make_line(case)
    jobs = [
        gevent.spawn(line.charge, make_call(clock, RATE // 20, name=f"r{number:03}"))
        for number in range(3 * MAX_WAITING)
    ]
    gevent.joinall(jobs)
    passed = [job for job in jobs if job.get().is_ok()]
    case.assertLess(len(passed), MAX_WAITING)
    case.assertEqual(line._places, {})


def test_request_larger_than_the_window_is_not_charged(case):
    """Guards against a request with absurd token counts that uses up the quota of its
    workspace for days."""
    line, clock = make_line(case)
    for _ in range(20):
        # A longer step would count as a pause of the process.
        clock.advance(0.1)
        line._quotas.report()
    refused = line.charge(make_call(clock, 100 * RATE)).unwrap_err()
    case.assertGreater(refused.level, 0.0)
    case.assertTrue(line.charge(make_call(clock, RATE // 2)).is_ok())


def test_workspace_without_a_limit_never_waits(case):
    """Guards against a wait where no quota is configured."""
    line, clock = make_line(case)
    call = make_call(clock, RATE)
    call.workspace = Workspace("free")
    case.assertTrue(line.charge(call).is_ok())
    case.assertEqual(clock.monotonic(), 0.0)


load_tests = collect(globals())
