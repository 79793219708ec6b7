"""Copies of in-flight records at guards, cancellations, takeovers and pauses."""

import uuid
from unittest import mock

import gevent
import gevent.event
import msgspec

from amaranthbay.dispatch import guards as guards_module
from amaranthbay.dispatch.cancels import CancelQueue
from amaranthbay.dispatch.guard_messages import CopiedRecord, InFlightBatch
from amaranthbay.dispatch.guards import _GuardLink, guards_of
from amaranthbay.dispatch.inflight import InFlightRecord
from amaranthbay.dispatch.pauses import PauseWatch
from amaranthbay.dispatch.tests.fake_peers import FakePeers, member
from amaranthbay.dispatch.tests.fakes import DispatchHarness, FakeEngine, server
from amaranthbay.utils.testing import ManualClock, collect, wait_until

PREFILL = server("prefill-1", "prefill")
DECODE = server("decode-1", "decode")


def record(attempt_id):
    """Returns the in-flight record of an attempt on two servers."""
    return InFlightRecord("request", attempt_id, (PREFILL, DECODE))


def connected_daemons(case, *names):
    """Returns the `FakePeers`, the engine and the daemons by name."""
    peers = FakePeers(*names)
    engine = FakeEngine()
    daemons = {name: DispatchHarness(engine, peers, name) for name in names}
    return peers, engine, daemons


def guards_and_others(daemons, owner):
    """Returns the two guards of a daemon and the daemons that don't guard it."""
    guards = guards_of(owner, [member(name) for name in daemons])
    others = [daemons[name] for name in daemons if name not in guards and name != owner]
    return [daemons[name] for name in guards], others


def test_two_guards_know_a_record_before_the_first_engine_call(case):
    """Guards against an attempt that nobody cancels if its daemon dies early."""
    peers, _, daemons = connected_daemons(case, "a", "b", "c", "d")
    # The default timeout may pass on a busy machine.
    daemons["a"].copier._ack_timeout_s = 10.0
    case.assertTrue(daemons["a"].copier.enter(record("one")))
    guards, others = guards_and_others(daemons, "a")
    wait_until(lambda: all(len(guard.guarded) == 1 for guard in guards))
    case.assertEqual([len(other.guarded) for other in others], [0])


def test_slow_guards_do_not_block_a_request(case):
    """Guards against a request that waits without limit for silent guards."""
    peers, _, daemons = connected_daemons(case, "a", "b", "c")
    peers.silent.update(("b", "c"))
    entered = gevent.spawn(daemons["a"].copier.enter, record("one"))
    case.assertFalse(entered.get(timeout=5))
    case.assertEqual(len(daemons["a"].table), 1)


def test_lost_batch_does_not_hold_up_later_records(case):
    """Guards against records that are sent only after the timeout of a lost batch.

    The daemon may die before. The first batch is lost if it is sent before the guard
    listens.
    """
    peers, _, daemons = connected_daemons(case, "a", "b", "c")
    case.enterContext(mock.patch.object(guards_module, "REPLY_TIMEOUT_S", 3600.0))
    peers.silent.update(("b", "c"))
    daemons["a"].copier.enter(record("one"))
    peers.silent.clear()
    daemons["a"].copier.enter(record("two"))
    wait_until(
        lambda: len(daemons["b"].guarded) == 2 and len(daemons["c"].guarded) == 2
    )


def test_records_that_arrive_together_share_a_batch(case):
    """Guards against a separate peer message for each request."""
    peers, _, daemons = connected_daemons(case, "a", "b")
    jobs = [gevent.spawn(daemons["a"].copier.enter, record(str(n))) for n in range(50)]
    gevent.joinall(jobs)
    wait_until(lambda: len(daemons["b"].guarded) == 50)
    batches = [msg for _, _, msg in peers.sent if isinstance(msg, InFlightBatch)]
    case.assertLess(len(batches), 5)


def test_largest_batch_fits_a_message(case):
    """Guards against a batch that is too large for the peer channel."""
    name = "n" * 64
    servers = [server(name, "decode"), server(name, "decode")]
    peers, _, daemons = connected_daemons(case, "a", "b")
    copier = daemons["a"].copier
    for _ in range(1000):
        copier._table.add(InFlightRecord("r" * 128, uuid.uuid4().hex, servers))
    link = _GuardLink("b")
    link.ended.update(uuid.uuid4().hex for _ in range(5000))
    sizes = []
    copier._next_batch(link)
    while link.entered:
        link.ended.update(uuid.uuid4().hex for _ in range(5000))
        sizes.append(len(msgspec.msgpack.encode(copier._next_batch(link))))
    case.assertGreater(len(sizes), 5)
    case.assertLess(max(sizes), 60_000)


def test_guards_cancel_on_both_engines_after_proof_of_death(case):
    """Guards against engine memory that is never released after a daemon is killed."""
    peers, engine, daemons = connected_daemons(case, "a", "b", "c")
    daemons["a"].copier.enter(record("one"))
    wait_until(lambda: len(daemons["b"].guarded) and len(daemons["c"].guarded))
    peers.die("a")
    wait_until(lambda: len(engine.cancelled) >= 4)
    expected = {("prefill-1", "one"), ("decode-1", "one")}
    case.assertEqual(set(engine.cancelled), expected)
    case.assertEqual(len(daemons["b"].guarded), 0)


def test_guards_do_not_cancel_what_has_ended(case):
    """Guards against records of ended attempts that stay at the guards."""
    peers, engine, daemons = connected_daemons(case, "a", "b", "c")
    daemons["a"].copier.enter(record("one"))
    wait_until(lambda: len(daemons["b"].guarded) and len(daemons["c"].guarded))
    daemons["a"].copier.leave("one")
    wait_until(lambda: not len(daemons["b"].guarded) and not len(daemons["c"].guarded))
    peers.die("a")
    gevent.idle()
    case.assertEqual(engine.cancelled, [])


def test_attempts_of_a_silent_daemon_are_not_cancelled(case):
    """Guards against attempts that are cancelled without a proven death."""
    peers, engine, daemons = connected_daemons(case, "a", "b", "c")
    daemons["a"].copier.enter(record("one"))
    wait_until(lambda: len(daemons["b"].guarded) and len(daemons["c"].guarded))
    peers.silent.add("a")
    daemons["b"].clock.advance(3600)
    gevent.idle()
    case.assertEqual(engine.cancelled, [])


def test_lost_batch_is_replaced_by_a_snapshot(case):
    """Guards against a record that is never sent again after a lost batch."""
    peers, _, daemons = connected_daemons(case, "a", "b")
    peers.silent.add("b")
    daemons["a"].copier.enter(record("one"))
    peers.silent.clear()
    wait_until(lambda: len(daemons["b"].guarded) == 1)


def test_new_guard_learns_all_records(case):
    """Guards against records that only a dead guard had."""
    peers, _, daemons = connected_daemons(case, "a", "b")
    daemons["a"].copier.enter(record("one"))
    peers.die("b")
    peers.members["c"] = member("c")
    new_guard = DispatchHarness(FakeEngine(), peers, "c")
    daemons["a"].copier.enter(record("two"))
    wait_until(lambda: len(new_guard.guarded) == 2)


def test_restarted_daemon_does_not_inherit_old_attempts(case):
    """Guards against old attempts that aren't cancelled after a restart."""
    peers, engine, daemons = connected_daemons(case, "a", "b")
    daemons["a"].copier.enter(record("old"))
    wait_until(lambda: len(daemons["b"].guarded) == 1)
    peers.members["a"] = member("a", 2)
    restarted = DispatchHarness(engine, peers, "a")
    restarted.copier.enter(record("new"))
    wait_until(lambda: len(daemons["b"].guarded) == 2)
    for callback in peers.callbacks:
        callback(member("a", 1))
    wait_until(lambda: ("decode-1", "old") in engine.cancelled)
    case.assertNotIn(("decode-1", "new"), engine.cancelled)
    case.assertEqual(len(daemons["b"].guarded), 1)


def test_raised_incarnation_keeps_its_attempts(case):
    """Guards against cancelled streams of a daemon that refuted a suspicion."""
    peers, engine, daemons = connected_daemons(case, "a", "b")
    daemons["a"].copier.enter(record("one"))
    peers.members["a"] = member("a", 2)
    daemons["a"].copier.enter(record("two"))
    wait_until(lambda: len(daemons["b"].guarded) == 2)
    for callback in peers.callbacks:
        callback(member("a", 1))
    gevent.idle()
    case.assertEqual(engine.cancelled, [])
    case.assertEqual(len(daemons["b"].guarded), 2)


def test_batch_after_the_death_is_cancelled(case):
    """Guards against attempts in a batch that arrives after the proven death."""
    peers, engine, daemons = connected_daemons(case, "a", "b")
    peers.die("a")
    batch = InFlightBatch("process", 1, 1, True, (CopiedRecord.of(record("late")),), ())
    daemons["b"].guarded._on_batch("a", batch)
    wait_until(lambda: ("decode-1", "late") in engine.cancelled)


def test_attempt_taken_over_is_not_cancelled(case):
    """Guards against a guard that cancels an attempt that was resumed elsewhere."""
    peers, engine, daemons = connected_daemons(case, "a", "b")
    daemons["a"].copier.enter(record("one"))
    daemons["a"].copier.enter(record("two"))
    wait_until(lambda: len(daemons["b"].guarded) == 2)
    daemons["b"].guarded.take_over("one")
    peers.die("a")
    wait_until(lambda: ("decode-1", "two") in engine.cancelled)
    case.assertNotIn(("decode-1", "one"), engine.cancelled)


def test_cancel_is_repeated_while_the_server_is_listed(case):
    """Guards against a cancellation that is dropped after failures."""

    class UnacknowledgingEngine(FakeEngine):
        def cancel(self, server, attempt_id):
            super().cancel(server, attempt_id)
            return len(self.cancelled) >= 50

    engine = UnacknowledgingEngine()
    done = gevent.event.Event()
    queue = CancelQueue(engine, ManualClock(), lambda server: False)
    queue.cancel(DECODE, "one", on_finished=done.set)
    case.assertTrue(done.wait(10))
    case.assertEqual(len(engine.cancelled), 50)
    case.assertEqual(queue.outstanding, 0)


def test_cancel_ends_for_a_server_that_left_the_list(case):
    """Guards against a daemon that can't stop while it cancels on a removed server."""
    engine = FakeEngine()
    engine.cancel = lambda server, attempt_id: False
    clock = ManualClock()
    queue = CancelQueue(engine, clock, lambda server: True)
    queue.cancel(DECODE, "one")
    wait_until(lambda: queue.outstanding == 0)
    case.assertGreaterEqual(clock.monotonic(), 10.0)


def test_cancel_that_overtook_its_request_is_repeated(case):
    """Guards against an engine call that arrives after its cancellation."""
    engine = FakeEngine()
    queue = CancelQueue(engine, ManualClock(), lambda server: False)
    queue.cancel(DECODE, "one", unanswered=True)
    wait_until(lambda: queue.outstanding == 0)
    case.assertEqual(engine.cancelled, [("decode-1", "one")] * 3)


def test_cancel_queue_is_bounded(case):
    """Guards against a queue that grows without limit for an unreachable server."""
    engine = FakeEngine()
    engine.cancel = lambda server, attempt_id: gevent.sleep(0) or False
    ended = []
    queue = CancelQueue(engine, ManualClock(), lambda server: False, limit=10)
    for number in range(100):
        queue.cancel(DECODE, str(number), on_finished=lambda: ended.append(1))
    case.assertEqual(queue.outstanding, 10)
    case.assertEqual(len(ended), 90)
    engine.cancel = lambda server, attempt_id: True
    wait_until(lambda: queue.outstanding == 0)


def test_long_pause_is_noticed_before_the_next_check(case):
    """Guards against a stream that continues after guards may have cancelled it."""
    clock = ManualClock()
    pause_watch = PauseWatch(clock)
    clock.advance(19)
    case.assertEqual(pause_watch.count(), 0)
    clock.advance(21)
    case.assertEqual(pause_watch.count(), 1)
    case.assertEqual(pause_watch.count(), 1)


load_tests = collect(globals())
