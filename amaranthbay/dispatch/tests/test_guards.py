"""In-flight copies: batches, guards, proof of death, takeover, pauses."""

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
from amaranthbay.dispatch.tests.fakes import FakeEngine, FakeNode, server
from amaranthbay.utils.testing import ManualClock, collect, wait_until

PREFILL = server("prefill-1", "prefill")
DECODE = server("decode-1", "decode")


def record(name):
    """Returns a record of an attempt on two servers."""
    return InFlightRecord("request", name, (PREFILL, DECODE))


def nodes(case, *names):
    """Returns connected daemons and their engine."""
    peers = FakePeers(*names)
    engine = FakeEngine()
    made = {name: FakeNode(engine, peers, name) for name in names}
    return peers, engine, made


def guards(made, owner):
    """Returns the two guards of a daemon and the daemons that guard it not."""
    chosen = guards_of(owner, [member(name) for name in made])
    others = [made[name] for name in made if name not in chosen and name != owner]
    return [made[name] for name in chosen], others


def test_two_guards_know_a_record_before_the_first_engine_call(case):
    """Guards against work that nobody cancels when its daemon dies at once."""
    peers, _, made = nodes(case, "a", "b", "c", "d")
    # The usual bound may pass on a busy machine.
    made["a"].copier._ack_timeout_s = 10.0
    case.assertTrue(made["a"].copier.enter(record("one")))
    chosen, others = guards(made, "a")
    wait_until(lambda: all(len(each.guarded) == 1 for each in chosen))
    case.assertEqual([len(each.guarded) for each in others], [0])


def test_slow_guards_do_not_block_a_request(case):
    """Guards against a request that waits for a silent peer without a bound."""
    peers, _, made = nodes(case, "a", "b", "c")
    peers.silent.update(("b", "c"))
    entered = gevent.spawn(made["a"].copier.enter, record("one"))
    case.assertFalse(entered.get(timeout=5))
    case.assertEqual(len(made["a"].table), 1)


def test_lost_batch_does_not_hold_up_later_records(case):
    """Guards against a daemon that dies while its guards wait for a record behind a
    batch that was lost, as the first one is that is sent before a guard listens."""
    peers, _, made = nodes(case, "a", "b", "c")
    case.enterContext(mock.patch.object(guards_module, "REPLY_TIMEOUT_S", 3600.0))
    peers.silent.update(("b", "c"))
    made["a"].copier.enter(record("one"))
    peers.silent.clear()
    made["a"].copier.enter(record("two"))
    wait_until(lambda: len(made["b"].guarded) == 2 and len(made["c"].guarded) == 2)


def test_records_that_arrive_together_share_a_batch(case):
    """Guards against one peer message for each request."""
    peers, _, made = nodes(case, "a", "b")
    jobs = [gevent.spawn(made["a"].copier.enter, record(str(n))) for n in range(50)]
    gevent.joinall(jobs)
    wait_until(lambda: len(made["b"].guarded) == 50)
    batches = [each for _, _, each in peers.sent if isinstance(each, InFlightBatch)]
    case.assertLess(len(batches), 5)


def test_largest_batch_fits_a_message(case):
    """Guards against a batch that the peer channel drops for its size."""
    name = "n" * 64
    servers = [server(name, "decode"), server(name, "decode")]
    peers, _, made = nodes(case, "a", "b")
    copier = made["a"].copier
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
    """Guards against memory that stays held when a daemon is killed."""
    peers, engine, made = nodes(case, "a", "b", "c")
    made["a"].copier.enter(record("one"))
    wait_until(lambda: len(made["b"].guarded) and len(made["c"].guarded))
    peers.die("a")
    wait_until(lambda: len(engine.cancelled) >= 4)
    expected = {("prefill-1", "one"), ("decode-1", "one")}
    case.assertEqual(set(engine.cancelled), expected)
    case.assertEqual(len(made["b"].guarded), 0)


def test_guards_do_not_cancel_what_has_ended(case):
    """Guards against records of finished work that pile up at guards."""
    peers, engine, made = nodes(case, "a", "b", "c")
    made["a"].copier.enter(record("one"))
    wait_until(lambda: len(made["b"].guarded) and len(made["c"].guarded))
    made["a"].copier.leave("one")
    wait_until(lambda: not len(made["b"].guarded) and not len(made["c"].guarded))
    peers.die("a")
    gevent.idle()
    case.assertEqual(engine.cancelled, [])


def test_silent_daemon_keeps_its_work(case):
    """Guards against a live request that is cancelled for a slow daemon."""
    peers, engine, made = nodes(case, "a", "b", "c")
    made["a"].copier.enter(record("one"))
    wait_until(lambda: len(made["b"].guarded) and len(made["c"].guarded))
    peers.silent.add("a")
    made["b"].clock.advance(3600)
    gevent.idle()
    case.assertEqual(engine.cancelled, [])


def test_lost_batch_is_made_up_by_a_snapshot(case):
    """Guards against a record that a guard never learns after a lost message."""
    peers, _, made = nodes(case, "a", "b")
    peers.silent.add("b")
    made["a"].copier.enter(record("one"))
    peers.silent.clear()
    wait_until(lambda: len(made["b"].guarded) == 1)


def test_new_guard_learns_all_records(case):
    """Guards against records that only a dead guard knew."""
    peers, _, made = nodes(case, "a", "b")
    made["a"].copier.enter(record("one"))
    peers.die("b")
    peers.members["c"] = member("c")
    late = FakeNode(FakeEngine(), peers, "c")
    made["a"].copier.enter(record("two"))
    wait_until(lambda: len(late.guarded) == 2)


def test_restarted_daemon_does_not_inherit_old_work(case):
    """Guards against a new incarnation whose records keep old work alive."""
    peers, engine, made = nodes(case, "a", "b")
    made["a"].copier.enter(record("old"))
    wait_until(lambda: len(made["b"].guarded) == 1)
    peers.members["a"] = member("a", 2)
    again = FakeNode(engine, peers, "a")
    again.copier.enter(record("new"))
    wait_until(lambda: len(made["b"].guarded) == 2)
    for callback in peers.callbacks:
        callback(member("a", 1))
    wait_until(lambda: ("decode-1", "old") in engine.cancelled)
    case.assertNotIn(("decode-1", "new"), engine.cancelled)
    case.assertEqual(len(made["b"].guarded), 1)


def test_raised_incarnation_keeps_its_work(case):
    """Guards against a refuted suspicion that costs a daemon its streams."""
    peers, engine, made = nodes(case, "a", "b")
    made["a"].copier.enter(record("one"))
    peers.members["a"] = member("a", 2)
    made["a"].copier.enter(record("two"))
    wait_until(lambda: len(made["b"].guarded) == 2)
    for callback in peers.callbacks:
        callback(member("a", 1))
    gevent.idle()
    case.assertEqual(engine.cancelled, [])
    case.assertEqual(len(made["b"].guarded), 2)


def test_batch_after_the_death_is_cancelled(case):
    """Guards against a copy that arrives after its daemon's proven death."""
    peers, engine, made = nodes(case, "a", "b")
    peers.die("a")
    batch = InFlightBatch("process", 1, 1, True, (CopiedRecord.of(record("late")),), ())
    made["b"].guarded._on_batch("a", batch)
    wait_until(lambda: ("decode-1", "late") in engine.cancelled)


def test_attempt_taken_over_is_not_cancelled(case):
    """Guards against a guard that ends an answer another daemon continues."""
    peers, engine, made = nodes(case, "a", "b")
    made["a"].copier.enter(record("one"))
    made["a"].copier.enter(record("two"))
    wait_until(lambda: len(made["b"].guarded) == 2)
    made["b"].guarded.take_over("one")
    peers.die("a")
    wait_until(lambda: ("decode-1", "two") in engine.cancelled)
    case.assertNotIn(("decode-1", "one"), engine.cancelled)


def test_cancel_is_repeated_while_the_server_is_listed(case):
    """Guards against a cancellation that a short failure drops."""

    class DeafEngine(FakeEngine):
        def cancel(self, server, attempt_id):
            super().cancel(server, attempt_id)
            return len(self.cancelled) >= 50

    engine = DeafEngine()
    done = gevent.event.Event()
    queue = CancelQueue(engine, ManualClock(), lambda server: False)
    queue.cancel(DECODE, "one", on_finished=done.set)
    case.assertTrue(done.wait(10))
    case.assertEqual(len(engine.cancelled), 50)
    case.assertEqual(queue.outstanding, 0)


def test_cancel_ends_for_a_server_that_left_the_list(case):
    """Guards against a daemon that can't stop because a server is gone."""
    engine = FakeEngine()
    engine.cancel = lambda server, attempt_id: False
    clock = ManualClock()
    queue = CancelQueue(engine, clock, lambda server: True)
    queue.cancel(DECODE, "one")
    wait_until(lambda: queue.outstanding == 0)
    case.assertGreaterEqual(clock.monotonic(), 10.0)


def test_cancel_that_overtook_its_request_is_repeated(case):
    """Guards against a request that arrives after its own cancellation."""
    engine = FakeEngine()
    queue = CancelQueue(engine, ManualClock(), lambda server: False)
    queue.cancel(DECODE, "one", unanswered=True)
    wait_until(lambda: queue.outstanding == 0)
    case.assertEqual(engine.cancelled, [("decode-1", "one")] * 3)


def test_cancel_queue_is_bounded(case):
    """Guards against memory that grows while a server is unreachable."""
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


def test_long_pause_is_noticed_before_the_ticker_runs(case):
    """Guards against a stream that goes on after guards may have cancelled it."""
    clock = ManualClock()
    watch = PauseWatch(clock)
    clock.advance(19)
    case.assertEqual(watch.pauses(), 0)
    clock.advance(21)
    case.assertEqual(watch.pauses(), 1)
    case.assertEqual(watch.pauses(), 1)


load_tests = collect(globals())
