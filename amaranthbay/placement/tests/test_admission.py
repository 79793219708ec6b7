"""Admission: order, fairness, bounds, and callers that leave."""

import random

import gevent

from amaranthbay.kernel.errors import Reason
from amaranthbay.placement.admission import TICK_S, BoundedAdmission, TokenShare
from amaranthbay.placement.fair_queue import FairQueue
from amaranthbay.placement.tests.samples import work
from amaranthbay.utils.testing import ManualClock, collect, greenlet, wait_until


def admission(may_start, limit=100):
    """Returns an admission of a single daemon."""
    clock = ManualClock()
    return BoundedAdmission(limit, clock, may_start, lambda: 1, random.Random(1))


def starts_in(ticks, servers, daemons):
    """Returns the patient starts of one of several daemons with work waiting."""
    clock = ManualClock()
    gate = BoundedAdmission(
        1000,
        clock,
        lambda each, owed: True,
        lambda: daemons,
        random.Random(1),
        lambda: servers,
    )
    for number in range(ticks):
        gate.queue.join(work(f"patient-{number}"))
    before = len(gate.queue)
    for _ in range(ticks):
        gate.tick()
        clock.advance(TICK_S)
    return before - len(gate.queue)


def test_patient_starts_grow_with_the_pool(case):
    """Guards against a fixed rate that starves patient work of a large pool."""
    few = starts_in(600, servers=3, daemons=9)
    many = starts_in(600, servers=520, daemons=320)
    # 600 ticks are 30 s: a ninth of 120 starts, and a 320th of 20,800.
    case.assertTrue(5 <= few <= 25, few)
    case.assertTrue(45 <= many <= 85, many)


def test_single_patient_request_starts_at_once(case):
    """Guards against patient work that waits for its turn on an idle system."""
    case.assertEqual(starts_in(1, servers=2, daemons=9), 1)


def test_workspaces_are_served_in_turn(case):
    """Guards against one workspace that fills the queue of all others."""
    queue = FairQueue()
    names = [("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b"), ("c1", "c")]
    for name, workspace in names:
        queue.join(work(name, workspace))
    order = [queue.call_head().work.request.request_id for _ in names]
    case.assertEqual(order, ["a1", "b1", "c1", "a2", "a3"])
    case.assertIsNone(queue.head())


def test_interactive_passes_waiting_patient_work(case):
    """Guards against an interactive request behind patient ones."""
    gate = admission(lambda each, owed: False)
    with greenlet(gate.admit, work("patient")):
        wait_until(lambda: len(gate.queue))
        case.assertTrue(gate.admit(work("now", interactive=True)).is_ok())
        case.assertEqual(len(gate.queue), 1)


def test_patient_waits_until_it_may_start(case):
    """Guards against patient work that starts too early, or never."""
    allowed = []
    gate = admission(lambda each, owed: bool(allowed))
    with greenlet(gate.admit, work("patient")) as job:
        wait_until(lambda: len(gate.queue))
        gate.tick()
        case.assertFalse(job.ready())
        allowed.append(True)
        wait_until(job.ready)
        case.assertTrue(job.value.is_ok())
        job.value.unwrap()()
    case.assertEqual(gate.active, 0)


def test_caller_that_leaves_frees_its_place(case):
    """Guards against places that are held for callers who have gone."""
    gate = admission(lambda each, owed: False)
    job = gevent.spawn(gate.admit, work("patient"))
    wait_until(lambda: len(gate.queue))
    job.kill()
    case.assertEqual(len(gate.queue), 0)
    case.assertEqual(gate.active, 0)


def test_newest_patient_work_is_refused_first(case):
    """Guards against unbounded memory, and refusing interactive work before."""
    gate = admission(lambda each, owed: False, limit=10)
    jobs = [gevent.spawn(gate.admit, work(f"p{n}")) for n in range(8)]
    wait_until(lambda: len(gate.queue) == 8)
    refused = gate.admit(work("newest")).unwrap_err()
    case.assertEqual(refused.reason, Reason.OVERLOADED)
    case.assertIsNotNone(refused.retry_after)
    case.assertTrue(gate.admit(work("now", interactive=True)).is_ok())
    case.assertEqual(len(gate.queue), 8)
    gevent.killall(jobs)


def test_patient_share_is_owed_below_a_fifth(case):
    """Guards against patient work that starves, or takes more than its share."""
    share = TokenShare()
    share.add(True, 900, 0.0)
    case.assertTrue(share.is_patient_owed())
    share.add(False, 300, 0.0)
    case.assertFalse(share.is_patient_owed())
    share.add(True, 900, 1.0)
    case.assertTrue(share.is_patient_owed())


load_tests = collect(globals())
