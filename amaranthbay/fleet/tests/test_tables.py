"""Following tables while the store is slow, unreachable, stale or lacks history."""

import random

import gevent
from result import Err, Ok

from amaranthbay.fleet.health import StoreHealth
from amaranthbay.fleet.tables import (
    MAX_POLL_WAIT_S,
    MIN_BEHIND_TIMEOUT_S,
    RECOVERY_WAIT_S,
    ChangedRow,
    Changes,
    HistoryGone,
    OnDemandFollower,
    Snapshot,
    TableFollower,
    TableSource,
)
from amaranthbay.kernel.clock import SystemClock
from amaranthbay.platform.types import PlatformFailure
from amaranthbay.utils.testing import ManualClock, collect, greenlet, wait_until


class ScriptedSource(TableSource):
    """Source that returns prepared answers in order and records the calls.

    Attributes:
        answers: Answers that are left.
        calls: ``"snapshot"`` or the version after which changes were asked for, by
            call.
        waits_s: Longest wait in seconds of each call for changes.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self.waits_s = []

    def snapshot(self, table):
        self.calls.append("snapshot")
        return self.answers.pop(0)

    def changes(self, table, after, wait_s):
        self.calls.append(after)
        self.waits_s.append(wait_s)
        return self.answers.pop(0)

    def put(self, table, key, value):
        raise NotImplementedError


class RowValues:
    """View that keeps the values of rows by key."""

    def __init__(self):
        self.rows = {}

    def replace(self, rows, restored=False):
        self.rows = {}
        self.apply(rows)

    def apply(self, rows):
        for row in rows:
            self.rows[row.key] = row.value


def make_follower(*answers, max_poll_wait_s=lambda: 1.9, **options):
    """Returns a follower, its view, its source, its health and its clock."""
    clock = ManualClock()
    source, view, health = ScriptedSource(*answers), RowValues(), StoreHealth(clock)
    follower = TableFollower(
        source,
        "t",
        view,
        health,
        clock,
        random.Random(1),
        max_poll_wait_s=max_poll_wait_s,
        **options,
    )
    return follower, view, source, health, clock


def row(key, value, version=1):
    return ChangedRow(key, version, value)


def test_follower_goes_on_after_a_defect(case):
    """Guards against a table that is no longer followed after one exception."""
    follower, view, source, _, _ = make_follower(
        Ok(Snapshot((row("a", b"1"),), 5)),
        None,
        Ok(Changes((row("a", b"2", 7),), 7)),
    )
    # The second answer is none, which raises.
    follower.start()
    case.addCleanup(follower.stop)
    wait_until(lambda: view.rows == {"a": b"2"}, timeout_s=2.0)


def test_changes_follow_the_snapshot(case):
    """Guards against a gap between the snapshot and the first poll."""
    follower, view, source, _, _ = make_follower(
        Ok(Snapshot((row("a", b"1"),), 5)),
        Ok(Changes((row("a", b"2", 7), row("b", b"3", 8)), 8)),
    )
    follower.step()
    follower.step()
    case.assertEqual(source.calls, ["snapshot", 5])
    case.assertEqual((view.rows, follower.version), ({"a": b"2", "b": b"3"}, 8))


def test_snapshot_is_read_after_history_is_gone(case):
    """Guards against missing changes that the store no longer keeps."""
    follower, view, source, _, _ = make_follower(
        Ok(Snapshot((row("a", b"1"),), 5)),
        Err(HistoryGone()),
        Ok(Snapshot((row("b", b"2"),), 9)),
    )
    follower.step()
    follower.step()
    case.assertEqual((view.rows, follower.version), ({"b": b"2"}, 9))


def test_stale_snapshot_is_not_applied(case):
    """Guards against returning to an older state after the store drops its history."""
    follower, view, source, _, _ = make_follower(
        Ok(Snapshot((row("a", b"new"),), 9)),
        Err(HistoryGone()),
        Ok(Snapshot((row("a", b"old"),), 6)),
    )
    follower.step()
    case.assertGreater(follower.step(), 0)
    case.assertEqual((view.rows, follower.version), ({"a": b"new"}, 9))


def test_table_on_demand_is_read_on_request_and_after_an_outage(case):
    """Guards against calls for a table that nobody needs, against a lost request to
    read it, and against missed changes after an outage of the store."""
    source = ScriptedSource(
        Ok(Snapshot((), 5)),
        Ok(Changes((row("a", b"1", 6),), 6)),
        Err(PlatformFailure("down")),
        Ok(Changes((row("b", b"2", 8),), 8)),
        Ok(Changes((row("c", b"3", 9),), 9)),
    )
    clock = SystemClock()
    view, health = RowValues(), StoreHealth(clock)
    follower = OnDemandFollower(source, "t", view, health, clock, random.Random(1))
    follower.start()
    case.addCleanup(follower.stop)
    gevent.sleep(0.1)
    case.assertEqual(source.calls, ["snapshot"])
    follower.request_read()
    wait_until(lambda: "a" in view.rows)
    case.assertEqual((source.calls, source.waits_s), (["snapshot", 5], [0.0]))
    follower.request_read()
    wait_until(lambda: health.lost_at is not None)
    health.note_answer(clock.monotonic())
    wait_until(lambda: "b" in view.rows)
    case.assertEqual(len(source.calls), 4)
    follower.request_read()
    wait_until(lambda: "c" in view.rows)


def test_lost_store_is_called_with_growing_backoff(case):
    """Guards against a flood of calls to a store that is down."""
    down = Err(PlatformFailure("down"))
    follower, _, _, health, _ = make_follower(*[down] * 6)
    backoffs_s = [follower.step() for _ in range(6)]
    case.assertLessEqual(max(backoffs_s), 0.8)
    case.assertGreater(backoffs_s[5], 0.3)
    case.assertIsNotNone(health.lost_at)


def test_non_watchers_call_a_lost_or_recovering_store_less_often(case):
    """Guards against hundreds of calls a second to a store that is down or has just
    recovered, and against too long a backoff of an instance that starts."""
    down = Err(PlatformFailure("down"))
    answers = [Ok(Snapshot((), 5)), *[down] * 6, Ok(Changes((), 5)), Ok(Changes((), 5))]
    follower, _, source, _, clock = make_follower(
        *answers, max_poll_wait_s=lambda: MAX_POLL_WAIT_S
    )
    follower.step()
    backoffs_s = [follower.step() for _ in range(6)]
    case.assertGreater(max(backoffs_s), 1.0)
    case.assertLessEqual(max(backoffs_s), 2.0)
    clock.advance(3.0)
    follower.step()
    follower.step()
    case.assertGreaterEqual(source.waits_s[-1], 4.0)
    starting, *_ = make_follower(*[down] * 6, max_poll_wait_s=lambda: MAX_POLL_WAIT_S)
    case.assertLessEqual(max(starting.step() for _ in range(6)), 0.8)


def test_answer_to_a_call_from_before_the_loss_proves_nothing(case):
    """Guards against mistaking a late answer for the return of the store."""
    clock = ManualClock()
    health = StoreHealth(clock)
    clock.advance(5)
    health.note_failure("down")
    health.note_answer(sent_at=4.0)
    case.assertIsNotNone(health.lost_at)
    clock.advance(1)
    health.note_answer(sent_at=5.5)
    case.assertIsNone(health.lost_at)
    case.assertEqual(health.regained_at, 6.0)


def test_polls_are_shorter_after_an_outage(case):
    """Guards against a long poll that is lost just after the store has returned."""
    no_changes = Ok(Changes((), 1))
    follower, _, source, health, clock = make_follower(
        Ok(Snapshot((), 1)), *[no_changes] * 3
    )
    follower.step()
    follower.step()
    health.note_failure("silent")
    clock.advance(4)
    health.note_answer(clock.monotonic())
    follower.step()
    clock.advance(9)
    follower.step()
    before_s, recovering_s, recovered_s = source.waits_s
    case.assertLess(recovering_s, before_s / 2)
    case.assertEqual(recovered_s, before_s)


def test_followers_poll_again_when_the_store_is_back(case):
    """Guards against a poll from before the outage that is never answered."""
    follower, _, _, health, clock = make_follower(
        Ok(Snapshot((), 1)), Ok(Changes((), 1)), max_poll_wait_s=None
    )
    restarted = []
    follower._restart = lambda: restarted.append(True)
    health.on_regained(follower._restart)
    health.note_failure("silent")
    clock.advance(3)
    health.note_answer(sent_at=clock.monotonic())
    case.assertEqual(restarted, [True])


class WaitingSource(TableSource):
    """Source whose polls of ``op`` wait, and whose first poll of ``servers`` fails."""

    def __init__(self):
        self.failures = 1

    def snapshot(self, table):
        return Ok(Snapshot((), 1))

    def changes(self, table, after, wait_s):
        if table == "op":
            gevent.sleep(wait_s)
            return Ok(Changes((), after))
        if self.failures:
            self.failures -= 1
            return Err(PlatformFailure("timed out"))
        return Ok(Changes((ChangedRow("a", after + 1, b"1"),), after + 1))

    def put(self, table, key, value):
        raise NotImplementedError


def test_lost_connection_delays_no_table_for_long(case):
    """Guards against a table that stays unread after a single connection to the store
    has timed out, until the long poll of another table ends.

    Seen in a simulation: day fresh-8fa4 of the deployment ekdal-ruta-grown broke the
    rule DRAIN of docs/platform-rules.md.
    """
    clock, source, view = SystemClock(), WaitingSource(), RowValues()
    health, rng = StoreHealth(clock), random.Random(1)
    watch = TableFollower(
        source, "op", RowValues(), health, clock, rng, max_poll_wait_s=lambda: 10.0
    )
    other = TableFollower(
        source, "servers", view, health, clock, rng, batch_delay_s=lambda: 5.0
    )
    for follower in (watch, other):
        follower.start()
        case.addCleanup(follower.stop)
    wait_until(lambda: view.rows, timeout_s=3 * RECOVERY_WAIT_S + 1.0)
    case.assertIsNone(health.lost_at)


class SlowSource(TableSource):
    """Source that answers each poll after a delay, as over a slow link."""

    def __init__(self, seconds):
        self._seconds = seconds

    def snapshot(self, table):
        return Ok(Snapshot((), 1))

    def changes(self, table, after, wait_s):
        gevent.sleep(self._seconds)
        return Ok(Changes((ChangedRow("a", after + 1, b"1"),), after + 1))

    def put(self, table, key, value):
        raise NotImplementedError


def test_slow_answer_arrives_although_polls_are_replaced(case):
    """Guards against an instance that replaces its poll again and again while a large
    answer is arriving, because others report that they have it."""
    clock, view = SystemClock(), RowValues()
    follower = TableFollower(
        SlowSource(4 * MIN_BEHIND_TIMEOUT_S),
        "op",
        view,
        StoreHealth(clock),
        clock,
        random.Random(1),
        max_poll_wait_s=lambda: 10.0,
    )
    follower.start()
    case.addCleanup(follower.stop)
    reporting = greenlet(_report_newer, follower)
    case.enterContext(reporting)
    wait_until(lambda: view.rows, timeout_s=20 * MIN_BEHIND_TIMEOUT_S)


def _report_newer(follower):
    while True:
        gevent.sleep(MIN_BEHIND_TIMEOUT_S / 5)
        follower.note_newer(100)


def test_removal_before_the_snapshot_is_no_newer_change(case):
    """Guards against a table that counts as out of date until its next change."""
    follower, *_ = make_follower(Ok(Snapshot((row("a", b"1", 95),), 100)))
    follower.step()
    follower.note_newer(100)
    case.assertFalse(follower.is_behind())
    follower.note_newer(101)
    case.assertTrue(follower.is_behind())


def test_batch_delay_is_determined_after_each_change(case):
    """Guards against a chosen instance that keeps the long batch delay that it had on
    standby."""
    batch_delays_s = [1.0, 0.3]
    rows = (ChangedRow("a", 2, b"1"),)
    follower, *_ = make_follower(
        Ok(Snapshot((), 1)),
        Ok(Changes(rows, 2)),
        Ok(Changes(rows, 3)),
        Ok(Changes((), 3)),
        batch_delay_s=lambda: batch_delays_s.pop(0),
    )
    case.assertEqual([follower.step() for _ in range(4)], [0.0, 1.0, 0.3, 0.0])


load_tests = collect(globals())
