"""Rate limit, circuit breaker and group commit of the platform's clients."""

import time

import gevent
from hypothesis import given, settings, strategies as st

from amaranthbay.platform.grouping import GroupedTable
from amaranthbay.platform.http import HttpTableService, HttpWeightStore
from amaranthbay.platform.limiter import CircuitBreaker, PlatformLimiter, RateShare
from amaranthbay.platform.types import CommitState, WeightInfo, Write
from amaranthbay.standins.platform import PlatformFaults, PlatformState, create_app
from amaranthbay.state.tests.fakes import MemoryTable, StepClock
from amaranthbay.utils.serving import Server
from amaranthbay.utils.testing import collect

EXAMPLES = settings(derandomize=True, deadline=None, max_examples=60)


def test_all_daemons_together_keep_the_rate(case):
    """Guards against daemons that each use the whole rate."""
    clock = StepClock()
    shares = [RateShare(300.0, lambda: 30, clock) for _ in range(30)]
    sent = 0
    for _ in range(1000):
        sent += sum(share.reserve(0.0) is not None for share in shares)
        clock.advance(0.01)
    case.assertLessEqual(sent, 300 * 10 + 30 * 10)
    case.assertGreaterEqual(sent, 300 * 9)


def test_an_open_breaker_lets_one_probe_through(case):
    """Guards against callers that wait for a platform that is down."""
    clock = StepClock()
    breaker = CircuitBreaker(clock)
    for _ in range(3):
        case.assertTrue(breaker.allows())
        breaker.record(False)
    case.assertFalse(breaker.allows())
    clock.advance(1.0)
    case.assertEqual([breaker.allows() for _ in range(5)], [True] + [False] * 4)
    breaker.record(True)
    case.assertTrue(breaker.allows())


def serve(case):
    """Starts a stand-in for the platform; returns its state and its address."""
    state = PlatformState()
    server = Server("127.0.0.1:0", create_app(state))
    address = server.start()
    case.addCleanup(server.stop)
    return state, address


def test_an_outage_costs_no_long_wait(case):
    """Guards against calls that each wait for a timeout while the platform is down."""
    state, address = serve(case)
    limiter = PlatformLimiter()
    table = HttpTableService(address, limiter)
    state.faults = PlatformFaults(outage=True)
    for number in range(3):
        outcome = table.commit([Write(f"k{number}", {}, 0)])
        case.assertIs(outcome.state, CommitState.UNKNOWN)
    state.faults = PlatformFaults(delay_s=60.0)
    started_at = time.monotonic()
    states = {table.commit([Write("k", {}, 0)]).state for _ in range(20)}
    case.assertIn(CommitState.NOT_DONE, states)
    print(f"\n20 commits in an outage: {time.monotonic() - started_at:.3f} s")
    case.assertEqual(state.counts["commits"], 0)


def test_outcomes_of_a_commit(case):
    """Guards against a lost reply that counts as done or as not done."""
    state, address = serve(case)
    table = HttpTableService(address)
    write = Write("k", {"a": 1}, 0)
    case.assertIs(table.commit([write]).state, CommitState.DONE)
    case.assertIs(table.commit([write]).state, CommitState.CONFLICT)
    state.faults = PlatformFaults(lose_replies=1)
    lost = table.commit([Write("lost", {"a": 2}, 0)])
    case.assertIs(lost.state, CommitState.UNKNOWN)
    case.assertEqual(table.read("lost").unwrap().value, {"a": 2})
    case.assertIsNone(table.read("other").unwrap())


def test_weight_store_describes_weights(case):
    """Guards against a client that doesn't match the interface of the weight store."""
    state, address = serve(case)
    state.weights["m/1"] = WeightInfo("m/1", 5, "d")
    store = HttpWeightStore(address)
    case.assertEqual(store.describe("m/1").unwrap().size_bytes, 5)
    case.assertIsNone(store.describe("m/2").unwrap())


@EXAMPLES
@given(
    keys=st.lists(st.integers(0, 12), min_size=1, max_size=60),
    taken=st.sets(st.integers(0, 12)),
    rows=st.integers(1, 10),
)
def check_groups(keys, taken, rows):
    """Checks that each write has the outcome that it would have alone."""
    table = MemoryTable()
    for key in taken:
        table.apply([Write(str(key), {}, 0)])
    grouped = GroupedTable(table, rows, 0.0)
    jobs = [
        gevent.spawn(grouped.commit, [Write(str(key), {"n": number}, 0)])
        for number, key in enumerate(keys)
    ]
    gevent.joinall(jobs, raise_error=True)
    done = [key for key, job in zip(keys, jobs) if job.value.state is CommitState.DONE]
    assert sorted(done) == sorted(set(keys) - taken)
    for number, (key, job) in enumerate(zip(keys, jobs)):
        if job.value.state is CommitState.DONE:
            assert table.rows[str(key)].value == {"n": number}
            assert job.value.versions[str(key)] == table.rows[str(key)].version


def test_a_group_gives_each_write_its_own_outcome(case):
    """Guards against a conflict that fails the whole group, and against a group with
    two writes of one row."""
    check_groups()


def test_concurrent_writes_share_a_transaction(case):
    """Guards against one transaction for each write."""
    table = MemoryTable()
    grouped = GroupedTable(table)
    jobs = [gevent.spawn(grouped.commit, [Write(str(n), {}, 0)]) for n in range(100)]
    gevent.joinall(jobs, raise_error=True)
    case.assertEqual(table.commits, 2)


load_tests = collect(globals())
