"""Tests of admission: order, fairness, bounds, and callers that leave."""

import random
from dataclasses import replace

import gevent

from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.placement.admission import TICK_S, BoundedAdmission, TokenShare
from amaranthbay.placement.fair_queue import FairQueue
from amaranthbay.placement.tests.samples import work
from amaranthbay.utils.testing import ManualClock, collect, greenlet, wait_until

DENIED = not_run(Reason.UNAUTHENTICATED, "the key is unknown", 401)


def make_admission(may_start, limit=100):
    """Returns the admission of a single daemon."""
    clock = ManualClock()
    return BoundedAdmission(limit, clock, may_start, lambda: 1, random.Random(1))


def count_starts(ticks, servers, daemons):
    """Returns the patient starts of one daemon whose queue is full.

    Args:
        ticks: Ticks that the daemon runs, and requests in its queue.
        servers: Number of prefill servers.
        daemons: Number of daemons.
    """
    clock = ManualClock()
    admission = BoundedAdmission(
        1000,
        clock,
        lambda request, below_share: True,
        lambda: daemons,
        random.Random(1),
        lambda: servers,
    )
    for number in range(ticks):
        admission.queue.enqueue(work(f"patient-{number}"))
    before = len(admission.queue)
    for _ in range(ticks):
        admission.tick()
        clock.advance(TICK_S)
    return before - len(admission.queue)


def test_patient_starts_grow_with_the_pool(case):
    """Guards against a fixed rate that starves patient work on a large pool."""
    few = count_starts(600, servers=3, daemons=9)
    many = count_starts(600, servers=520, daemons=320)
    # 600 ticks are 30 s: a ninth of 120 starts, and a 320th of 20,800.
    case.assertTrue(5 <= few <= 25, few)
    case.assertTrue(45 <= many <= 85, many)


def test_single_patient_request_starts_at_once(case):
    """Guards against patient work that waits for credit on an idle system."""
    case.assertEqual(count_starts(1, servers=2, daemons=9), 1)


def test_workspaces_are_served_in_turn(case):
    """Guards against a workspace whose long queue delays all others."""
    queue = FairQueue()
    names = [("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b"), ("c1", "c")]
    for name, workspace in names:
        queue.enqueue(work(name, workspace))
    order = [queue.dequeue().work.request.request_id for _ in names]
    case.assertEqual(order, ["a1", "b1", "c1", "a2", "a3"])
    case.assertIsNone(queue.peek())


def test_interactive_passes_waiting_patient_work(case):
    """Guards against an interactive request that waits behind patient ones."""
    admission = make_admission(lambda request, below_share: False)
    with greenlet(admission.admit, work("patient")):
        wait_until(lambda: len(admission.queue))
        case.assertTrue(admission.admit(work("now", interactive=True)).is_ok())
        case.assertEqual(len(admission.queue), 1)


def test_patient_waits_until_it_may_start(case):
    """Guards against patient work that starts too early, or never."""
    may_start = []
    admission = make_admission(lambda request, below_share: bool(may_start))
    with greenlet(admission.admit, work("patient")) as job:
        wait_until(lambda: len(admission.queue))
        admission.tick()
        case.assertFalse(job.ready())
        may_start.append(True)
        wait_until(job.ready)
        case.assertTrue(job.value.is_ok())
        job.value.unwrap()()
    case.assertEqual(admission.active, 0)


def test_caller_that_leaves_frees_its_place(case):
    """Guards against queued and active counts kept for a caller that has gone."""
    admission = make_admission(lambda request, below_share: False)
    job = gevent.spawn(admission.admit, work("patient"))
    wait_until(lambda: len(admission.queue))
    job.kill()
    case.assertEqual(len(admission.queue), 0)
    case.assertEqual(admission.active, 0)


class RevocableAccess:
    """Access that ends when `removed` is set."""

    def __init__(self):
        self.workspace = None
        self.removed = False

    def refusal(self):
        return DENIED if self.removed else None


def test_removed_key_ends_the_wait(case):
    """Guards against a request that waits for minutes under a removed key."""
    access = RevocableAccess()
    admission = make_admission(lambda request, below_share: False)
    with (
        greenlet(admission.admit, work("other")),
        greenlet(admission.admit, replace(work("patient"), access=access)) as job,
    ):
        wait_until(lambda: len(admission.queue) == 2)
        access.removed = True
        wait_until(job.ready)
        case.assertEqual(job.value.unwrap_err(), DENIED)
        case.assertEqual((len(admission.queue), admission.active), (1, 1))


def test_removed_key_is_noticed_at_the_start(case):
    """Guards against a start between the removal of a key and the next check."""
    access = RevocableAccess()
    admission = make_admission(lambda request, below_share: access.removed)
    with greenlet(admission.admit, replace(work("patient"), access=access)) as job:
        wait_until(lambda: len(admission.queue))
        access.removed = True
        admission.queue.dequeue()
        wait_until(job.ready)
        case.assertEqual(job.value.unwrap_err(), DENIED)
        case.assertEqual(admission.active, 0)


def test_newest_patient_work_is_refused_first(case):
    """Guards against an unbounded queue, and refusing interactive work first."""
    admission = make_admission(lambda request, below_share: False, limit=10)
    jobs = [gevent.spawn(admission.admit, work(f"p{n}")) for n in range(8)]
    wait_until(lambda: len(admission.queue) == 8)
    refused = admission.admit(work("newest")).unwrap_err()
    case.assertEqual(refused.reason, Reason.OVERLOADED)
    case.assertIsNotNone(refused.retry_after)
    case.assertTrue(admission.admit(work("now", interactive=True)).is_ok())
    case.assertEqual(len(admission.queue), 8)
    gevent.killall(jobs)


def test_patient_is_below_share_under_a_fifth(case):
    """Guards against patient work that starves or gets more than its share."""
    share = TokenShare()
    share.add(True, 900, 0.0)
    case.assertTrue(share.is_patient_below_share())
    share.add(False, 300, 0.0)
    case.assertFalse(share.is_patient_below_share())
    share.add(True, 900, 1.0)
    case.assertTrue(share.is_patient_below_share())


load_tests = collect(globals())
