"""Tests of priorities in the queue of patient requests, played on a manual clock."""

import random
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

import gevent

from amaranthbay.kernel.errors import Reason
from amaranthbay.placement.admission import BoundedAdmission
from amaranthbay.placement.fair_queue import FairQueue
from amaranthbay.placement.tests.samples import work
from amaranthbay.utils.testing import ManualClock, collect, wait_until
from amaranthbay.workspaces import Workspace

STARTS_PER_S = 0.5
STEP_S = 0.1
PLAY_S = 3600.0
QUEUE_LENGTH = 40
# Arrivals per second by priority. Together they exceed the starts.
LOADS = {
    "equal classes at twice the rate": {0: 0.33, 1: 0.33, 2: 0.33},
    "flood of the most urgent": {0: 2.0, 1: 0.1, 2: 0.1},
    "flood of the middle": {0: 0.1, 1: 2.0, 2: 0.1},
    "flood of the least urgent": {0: 0.1, 1: 0.1, 2: 2.0},
    "few of the least urgent": {0: 0.9, 2: 0.02},
}


def ranked(name, priority, interactive=False):
    """Returns the `Work` of a workspace with a priority."""
    workspace = Workspace(f"ws-{priority}", priority)
    access = SimpleNamespace(workspace=workspace, refusal=lambda: None)
    return replace(work(name, workspace.name, interactive), access=access)


def play(rates, seed=1):
    """Plays arrivals against a full queue.

    Args:
        rates: Arrivals per second by priority.
        seed: Seed of the arrivals.

    Returns:
        Share of the requests that start, by priority and, under None, of all.
    """
    rng, clock = random.Random(seed), ManualClock()
    queue = FairQueue(clock)
    arrived, started = Counter(), Counter()
    next_start = 0.0
    while clock.monotonic() < PLAY_S:
        for priority, rate in rates.items():
            if rng.random() < rate * STEP_S:
                arrived[priority] += 1
                request = ranked("request", priority)
                queue.note_arrival(request)
                if len(queue) >= QUEUE_LENGTH:
                    dropped = queue.ticket_to_drop(request)
                    if dropped is None:
                        continue
                    queue.remove(dropped)
                queue.enqueue(request)
        if len(queue) and clock.monotonic() >= next_start:
            started[queue.dequeue().work.priority] += 1
            next_start = clock.monotonic() + 1 / STARTS_PER_S
        clock.advance(STEP_S)
    shares = {priority: started[priority] / arrived[priority] for priority in rates}
    return shares | {None: started.total() / arrived.total()}


def test_priorities_hold_and_none_starves(case):
    """Guards against a class without its least share, or one above a more urgent."""
    for name, rates in LOADS.items():
        with case.subTest(name):
            shares = play(rates)
            total = shares.pop(None)
            print(f"\n{name}: {shares}, all {total:.3f}")
            for priority, share in shares.items():
                case.assertGreaterEqual(share, 0.25 * total)
                for urgent in (each for each in shares if each < priority):
                    case.assertLessEqual(share, shares[urgent] + 0.05)


def test_urgent_request_starts_first(case):
    """Guards against a queue that ignores the priorities."""
    queue = FairQueue(ManualClock())
    for name, priority in (("low", 5), ("middle", 3), ("high", 0), ("high-2", 0)):
        queue.enqueue(ranked(name, priority))
    order = [queue.dequeue().work.request.request_id for _ in range(4)]
    case.assertEqual(order, ["high", "high-2", "middle", "low"])


def test_waiting_requests_start_during_a_flood(case):
    """Guards against patient work that waits for the end of a more urgent flood."""
    clock = ManualClock()
    queue = FairQueue(clock)
    for number in range(3):
        queue.enqueue(ranked(f"low-{number}", 9))
    started = Counter()
    for _ in range(1000):
        urgent = ranked("high", 0)
        queue.note_arrival(urgent)
        queue.enqueue(urgent)
        clock.advance(1 / STARTS_PER_S)
        started[queue.dequeue().work.priority] += 1
    case.assertEqual(started[9], 3)


def test_urgent_request_displaces_a_waiting_one(case):
    """Guards against a full queue of less urgent work that shuts out urgent work."""
    admission = BoundedAdmission(
        10, ManualClock(), lambda request, below_share: False, rng=random.Random(1)
    )
    jobs = [gevent.spawn(admission.admit, ranked(f"p{n}", 5)) for n in range(8)]
    wait_until(lambda: len(admission.queue) == 8)
    urgent = gevent.spawn(admission.admit, ranked("urgent", 0))
    # The newest of the less urgent ones makes way.
    wait_until(jobs[-1].ready)
    refusal = jobs[-1].value.unwrap_err()
    case.assertEqual(refusal.reason, Reason.OVERLOADED)
    case.assertIsNotNone(refusal.retry_after)
    case.assertEqual((len(admission.queue), admission.active), (8, 8))
    case.assertEqual(admission.queue.peek().work.request.request_id, "urgent")
    equal = admission.admit(ranked("equal", 5))
    case.assertEqual(equal.unwrap_err().reason, Reason.OVERLOADED)
    gevent.killall([*jobs, urgent])
    case.assertEqual(admission.active, 0)


load_tests = collect(globals())
