"""Following tables while the store is slow, unreachable, stale or lacks history."""

import random

import gevent
from result import Err, Ok

from amaranthbay.fleet.health import StoreHealth
from amaranthbay.fleet.tables import (
    MAX_POLL_WAIT_S,
    MIN_BEHIND_S,
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
    """Source that returns prepared answers in order and records the calls."""

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
    source, view, health = ScriptedSource(*answers), SeenRows(), StoreHealth(clock)
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


def test_changes_follow_the_snapshot(case):
    """Guards against a gap between the snapshot and the first poll."""
    follower, view, source, _, _ = make_follower(
        Ok(Snapshot((row("a", b"1"),), 5)),
        Ok(Changes((row("a", b"2", 7), row("b", b"3", 8)), 8)),
    )
    follower.step()
    follower.step()
    case.assertEqual(source.asked, ["snapshot", 5])
    case.assertEqual((view.rows, follower.version), ({"a": b"2", "b": b"3"}, 8))


def test_lost_history_is_read_again(case):
    """Guards against missing changes that the store no longer keeps."""
    follower, view, source, _, _ = make_follower(
        Ok(Snapshot((row("a", b"1"),), 5)),
        Err(HistoryGone()),
        Ok(Snapshot((row("b", b"2"),), 9)),
    )
    follower.step()
    follower.step()
    case.assertEqual((view.rows, follower.version), ({"b": b"2"}, 9))


def test_snapshot_that_is_behind_is_not_taken(case):
    """Guards against returning to an older state after the store drops its history."""
    follower, view, source, _, _ = make_follower(
        Ok(Snapshot((row("a", b"new"),), 9)),
        Err(HistoryGone()),
        Ok(Snapshot((row("a", b"old"),), 6)),
    )
    follower.step()
    case.assertGreater(follower.step(), 0)
    case.assertEqual((view.rows, follower.version), ({"a": b"new"}, 9))


def test_table_on_demand_is_read_when_asked_and_after_an_outage(case):
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
    view, health = SeenRows(), StoreHealth(clock)
    follower = OnDemandFollower(source, "t", view, health, clock, random.Random(1))
    follower.start()
    case.addCleanup(follower.stop)
    gevent.sleep(0.1)
    case.assertEqual(source.asked, ["snapshot"])
    follower.request_read()
    wait_until(lambda: "a" in view.rows)
    case.assertEqual((source.asked, source.waits), (["snapshot", 5], [0.0]))
    follower.request_read()
    wait_until(lambda: health.lost_at is not None)
    health.note_answer(clock.monotonic())
    wait_until(lambda: "b" in view.rows)
    case.assertEqual(len(source.asked), 4)
    follower.request_read()
    wait_until(lambda: "c" in view.rows)


def test_lost_store_is_asked_with_growing_pauses(case):
    """Guards against a flood of calls to a store that is down."""
    down = Err(PlatformFailure("down"))
    follower, _, _, health, _ = make_follower(*[down] * 6)
    pauses = [follower.step() for _ in range(6)]
    case.assertLessEqual(max(pauses), 0.8)
    case.assertGreater(pauses[5], 0.3)
    case.assertIsNotNone(health.lost_at)


def test_instances_that_do_not_watch_spare_a_store_in_trouble(case):
    """Guards against hundreds of calls a second to a store that is down or has just
    recovered, and against too long a backoff of an instance that starts."""
    down = Err(PlatformFailure("down"))
    answers = [Ok(Snapshot((), 5)), *[down] * 6, Ok(Changes((), 5)), Ok(Changes((), 5))]
    follower, _, source, _, clock = make_follower(
        *answers, max_poll_wait_s=lambda: MAX_POLL_WAIT_S
    )
    follower.step()
    pauses = [follower.step() for _ in range(6)]
    case.assertGreater(max(pauses), 1.0)
    case.assertLessEqual(max(pauses), 2.0)
    clock.advance(3.0)
    follower.step()
    follower.step()
    case.assertGreaterEqual(source.waits[-1], 4.0)
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


def test_store_that_came_back_is_asked_more_often(case):
    """Guards against a long poll that is lost just after the store has returned."""
    calm = Ok(Changes((), 1))
    follower, _, source, health, clock = make_follower(Ok(Snapshot((), 1)), *[calm] * 3)
    follower.step()
    follower.step()
    health.note_failure("silent")
    clock.advance(4)
    health.note_answer(clock.monotonic())
    follower.step()
    clock.advance(9)
    follower.step()
    usual, after, later = source.waits
    case.assertLess(after, usual / 2)
    case.assertEqual(later, usual)


def test_followers_ask_again_when_the_store_is_back(case):
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
    has timed out, until the long poll of another table ends (day fresh-8fa4 of
    ekdal-ruta-grown, rule DRAIN)."""
    clock, source, view = SystemClock(), WaitingSource(), SeenRows()
    health, rng = StoreHealth(clock), random.Random(1)
    watch = TableFollower(
        source, "op", SeenRows(), health, clock, rng, max_poll_wait_s=lambda: 10.0
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


def test_slow_answer_is_not_given_up_for_ever(case):
    """Guards against an instance that replaces its poll again and again while a large
    answer is arriving, because others report that they have it."""
    clock, view = SystemClock(), SeenRows()
    follower = TableFollower(
        SlowSource(4 * MIN_BEHIND_S),
        "op",
        view,
        StoreHealth(clock),
        clock,
        random.Random(1),
        max_poll_wait_s=lambda: 10.0,
    )
    follower.start()
    case.addCleanup(follower.stop)
    report = greenlet(_report_newer, follower)
    case.enterContext(report)
    wait_until(lambda: view.rows, timeout_s=20 * MIN_BEHIND_S)


def _report_newer(follower):
    while True:
        gevent.sleep(MIN_BEHIND_S / 5)
        follower.note_newer(100)


def test_pause_after_a_change_is_asked_for_each_time(case):
    """Guards against a chosen instance that keeps the long batch delay that it had on
    standby."""
    pauses = [1.0, 0.3]
    rows = (ChangedRow("a", 2, b"1"),)
    follower, *_ = make_follower(
        Ok(Snapshot((), 1)),
        Ok(Changes(rows, 2)),
        Ok(Changes(rows, 3)),
        Ok(Changes((), 3)),
        batch_delay_s=lambda: pauses.pop(0),
    )
    case.assertEqual([follower.step() for _ in range(4)], [0.0, 1.0, 0.3, 0.0])


load_tests = collect(globals())
