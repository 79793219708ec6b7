"""Following tables while the store is slow, silent, forgetful or behind."""

import random

import gevent
from result import Err, Ok

from amaranthbay.fleet.health import StoreHealth
from amaranthbay.fleet.tables import (
    BEHIND_S,
    FEED_WAIT_S,
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
    """Answers in the order of a script."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = []
        self.waits = []

    def snapshot(self, table):
        self.asked.append("snapshot")
        return self.answers.pop(0)

    def changes(self, table, after, wait_s):
        self.asked.append(after)
        self.waits.append(wait_s)
        return self.answers.pop(0)

    def put(self, table, key, value):
        raise NotImplementedError


class SeenRows:
    """View that notes what it is given."""

    def __init__(self):
        self.rows = {}

    def replace(self, rows, restored=False):
        self.rows = {}
        self.apply(rows)

    def apply(self, rows):
        for row in rows:
            self.rows[row.key] = row.value


def follower(*answers, watch_s=lambda: 1.9, **options):
    """Returns a follower, its view, its source and its health."""
    clock = ManualClock()
    source, view, health = ScriptedSource(*answers), SeenRows(), StoreHealth(clock)
    made = TableFollower(
        source, "t", view, health, clock, random.Random(1), watch_s=watch_s, **options
    )
    return made, view, source, health, clock


def row(key, value, version=1):
    return ChangedRow(key, version, value)


def test_changes_follow_the_snapshot(case):
    """Guards against a gap between the snapshot and the first poll."""
    made, view, source, _, _ = follower(
        Ok(Snapshot((row("a", b"1"),), 5)),
        Ok(Changes((row("a", b"2", 7), row("b", b"3", 8)), 8)),
    )
    made.step()
    made.step()
    case.assertEqual(source.asked, ["snapshot", 5])
    case.assertEqual((view.rows, made.version), ({"a": b"2", "b": b"3"}, 8))


def test_lost_history_is_read_again(case):
    """Guards against changes that the store has forgotten."""
    made, view, source, _, _ = follower(
        Ok(Snapshot((row("a", b"1"),), 5)),
        Err(HistoryGone()),
        Ok(Snapshot((row("b", b"2"),), 9)),
    )
    made.step()
    made.step()
    case.assertEqual((view.rows, made.version), ({"b": b"2"}, 9))


def test_snapshot_that_is_behind_is_not_taken(case):
    """Guards against going back to an older state after a compaction."""
    made, view, source, _, _ = follower(
        Ok(Snapshot((row("a", b"new"),), 9)),
        Err(HistoryGone()),
        Ok(Snapshot((row("a", b"old"),), 6)),
    )
    made.step()
    case.assertGreater(made.step(), 0)
    case.assertEqual((view.rows, made.version), ({"a": b"new"}, 9))


def test_table_on_demand_is_read_when_asked_and_after_an_outage(case):
    """Guards against calls for a table that nobody misses, against a demand that is
    lost, and against a gap after the store was away."""
    source = ScriptedSource(
        Ok(Snapshot((), 5)),
        Ok(Changes((row("a", b"1", 6),), 6)),
        Err(PlatformFailure("down")),
        Ok(Changes((row("b", b"2", 8),), 8)),
        Ok(Changes((row("c", b"3", 9),), 9)),
    )
    clock = SystemClock()
    view, health = SeenRows(), StoreHealth(clock)
    made = OnDemandFollower(source, "t", view, health, clock, random.Random(1))
    made.start()
    case.addCleanup(made.stop)
    gevent.sleep(0.1)
    case.assertEqual(source.asked, ["snapshot"])
    made.ask()
    wait_until(lambda: "a" in view.rows)
    case.assertEqual((source.asked, source.waits), (["snapshot", 5], [0.0]))
    made.ask()
    wait_until(lambda: health.lost_at is not None)
    health.answered(clock.monotonic())
    wait_until(lambda: "b" in view.rows)
    case.assertEqual(len(source.asked), 4)
    made.ask()
    wait_until(lambda: "c" in view.rows)


def test_lost_store_is_asked_with_growing_pauses(case):
    """Guards against a storm of calls on a store that is down."""
    down = Err(PlatformFailure("down"))
    made, _, _, health, _ = follower(*[down] * 6)
    pauses = [made.step() for _ in range(6)]
    case.assertLessEqual(max(pauses), 0.8)
    case.assertGreater(pauses[5], 0.3)
    case.assertIsNotNone(health.lost_at)


def test_instances_that_do_not_watch_spare_a_store_in_trouble(case):
    """Guards against hundreds of calls a second to a store that is down or has just
    come back, and against an instance that starts and then waits for too long."""
    down = Err(PlatformFailure("down"))
    answers = [Ok(Snapshot((), 5)), *[down] * 6, Ok(Changes((), 5)), Ok(Changes((), 5))]
    made, _, source, _, clock = follower(*answers, watch_s=lambda: FEED_WAIT_S)
    made.step()
    pauses = [made.step() for _ in range(6)]
    case.assertGreater(max(pauses), 1.0)
    case.assertLessEqual(max(pauses), 2.0)
    clock.advance(3.0)
    made.step()
    made.step()
    case.assertGreaterEqual(source.waits[-1], 4.0)
    starting, *_ = follower(*[down] * 6, watch_s=lambda: FEED_WAIT_S)
    case.assertLessEqual(max(starting.step() for _ in range(6)), 0.8)


def test_answer_to_a_call_from_before_the_loss_proves_nothing(case):
    """Guards against taking a late answer for the return of the store."""
    clock = ManualClock()
    health = StoreHealth(clock)
    clock.advance(5)
    health.failed("down")
    health.answered(sent_at=4.0)
    case.assertIsNotNone(health.lost_at)
    clock.advance(1)
    health.answered(sent_at=5.5)
    case.assertIsNone(health.lost_at)
    case.assertEqual(health.regained_at, 6.0)


def test_store_that_came_back_is_asked_more_often(case):
    """Guards against a poll that is lost just after the store has returned."""
    calm = Ok(Changes((), 1))
    made, _, source, health, clock = follower(Ok(Snapshot((), 1)), *[calm] * 3)
    made.step()
    made.step()
    health.failed("silent")
    clock.advance(4)
    health.answered(clock.monotonic())
    made.step()
    clock.advance(9)
    made.step()
    usual, after, later = source.waits
    case.assertLess(after, usual / 2)
    case.assertEqual(later, usual)


def test_followers_ask_again_when_the_store_is_back(case):
    """Guards against a poll that waits at the store since before its silence."""
    made, _, _, health, clock = follower(
        Ok(Snapshot((), 1)), Ok(Changes((), 1)), watch_s=None
    )
    restarted = []
    made._restart = lambda: restarted.append(True)
    health.on_regained(made._restart)
    health.failed("silent")
    clock.advance(3)
    health.answered(sent_at=clock.monotonic())
    case.assertEqual(restarted, [True])


class WaitingSource(TableSource):
    """Lets polls for ``op`` wait; the first one for ``servers`` fails."""

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
    """Guards against a single connection to the store that times out and leaves a table
    unread until the long poll for another one has ended (day fresh-8fa4 of
    ekdal-ruta-grown, rule DRAIN)."""
    clock, source, view = SystemClock(), WaitingSource(), SeenRows()
    health, rng = StoreHealth(clock), random.Random(1)
    watch = TableFollower(
        source, "op", SeenRows(), health, clock, rng, watch_s=lambda: 10.0
    )
    other = TableFollower(
        source, "servers", view, health, clock, rng, pause_s=lambda: 5.0
    )
    for each in (watch, other):
        each.start()
        case.addCleanup(each.stop)
    wait_until(lambda: view.rows, timeout_s=3 * RECOVERY_WAIT_S + 1.0)
    case.assertIsNone(health.lost_at)


class SlowSource(TableSource):
    """Answers each poll after some time, as over a slow link."""

    def __init__(self, seconds):
        self._seconds = seconds

    def snapshot(self, table):
        return Ok(Snapshot((), 1))

    def changes(self, table, after, wait_s):
        gevent.sleep(self._seconds)
        return Ok(Changes((ChangedRow("a", after + 1, b"1"),), after + 1))

    def put(self, table, key, value):
        raise NotImplementedError


def test_slow_answer_is_not_given_up_for_ever(case):
    """Guards against an instance that replaces its poll again and again while a large
    answer is on its way, since others have it already."""
    clock, view = SystemClock(), SeenRows()
    made = TableFollower(
        SlowSource(4 * BEHIND_S),
        "op",
        view,
        StoreHealth(clock),
        clock,
        random.Random(1),
        watch_s=lambda: 10.0,
    )
    made.start()
    case.addCleanup(made.stop)
    report = greenlet(_report_newer, made)
    case.enterContext(report)
    wait_until(lambda: view.rows, timeout_s=20 * BEHIND_S)


def _report_newer(follower):
    while True:
        gevent.sleep(BEHIND_S / 5)
        follower.note_newer(100)


def test_pause_after_a_change_is_asked_for_each_time(case):
    """Guards against an instance that serves and still gathers changes for as long as
    one that stands by."""
    pauses = [1.0, 0.3]
    rows = (ChangedRow("a", 2, b"1"),)
    made, *_ = follower(
        Ok(Snapshot((), 1)),
        Ok(Changes(rows, 2)),
        Ok(Changes(rows, 3)),
        Ok(Changes((), 3)),
        pause_s=lambda: pauses.pop(0),
    )
    case.assertEqual([made.step() for _ in range(4)], [0.0, 1.0, 0.3, 0.0])


load_tests = collect(globals())
