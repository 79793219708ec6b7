"""A store that was restored from an older copy, as its followers see it."""

import random

from hypothesis import given, settings, strategies as st
from result import Err, Ok

from amaranthbay.fleet.eras import MAX_ERA_STEP, StoreEra
from amaranthbay.fleet.health import StoreHealth
from amaranthbay.fleet.tables import (
    ChangedRow,
    Changes,
    HistoryGone,
    Snapshot,
    TableFollower,
    TableSource,
)
from amaranthbay.platform.types import PlatformFailure
from amaranthbay.utils.testing import ManualClock, collect

WATCH_S = 1.9


class RestoredStore(TableSource):
    """Store of one table that can go back to an older copy.

    Attributes:
        held: Answers that the store has made and that are delivered later.
    """

    def __init__(self, era):
        self.rows, self.version, self.history, self.number = {}, 0, [], 1
        self._era = era

    def write(self, key, value):
        self.version += 1
        row = ChangedRow(key, self.version, value)
        self.history.append(row)
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = row

    def copy(self):
        return dict(self.rows), self.version, list(self.history)

    def restore(self, copy):
        rows, self.version, history = copy
        self.rows, self.history = dict(rows), list(history)
        self.number += 1

    def _deliver(self, number, answer):
        if not self._era.observe(number):
            return Err(PlatformFailure("of an earlier era"))
        return answer

    def snapshot(self, table):
        rows = tuple(self.rows.values())
        return self._deliver(self.number, Ok(Snapshot(rows, self.version, self.number)))

    def changes(self, table, after, wait_s):
        if after > self.version:
            return self._deliver(self.number, Err(HistoryGone()))
        rows = tuple(row for row in self.history if row.version > after)
        return self._deliver(self.number, Ok(Changes(rows, self.version)))

    def put(self, table, key, value):
        raise NotImplementedError


class View:
    """Keeps rows and notes which whole reads came after a restore."""

    def __init__(self):
        self.rows, self.restores = {}, []

    def replace(self, rows, restored=False):
        self.rows = {}
        self.restores.append(restored)
        self.apply(rows)

    def apply(self, rows):
        for row in rows:
            if row.value is None:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row.value


def follower():
    """Returns a follower, its view and its store."""
    clock = ManualClock()
    health, view = StoreHealth(clock), View()
    store = RestoredStore(health.era)
    made = TableFollower(
        store, "t", view, health, clock, random.Random(1), lambda: WATCH_S
    )
    return made, view, store


def test_answer_of_an_earlier_era_does_not_count(case):
    """Guards against changes that a restore has undone and a late answer tells of."""
    era, told = StoreEra(ManualClock()), []
    era.on_restored(lambda: told.append(era.number))
    case.assertTrue(era.observe(None))
    case.assertTrue(era.observe(4))
    case.assertEqual(told, [])
    case.assertTrue(era.observe(5))
    case.assertFalse(era.observe(4))
    case.assertTrue(era.observe(None))
    case.assertEqual((told, era.number), ([5], 5))


def test_era_from_elsewhere_does_not_hide_the_store(case):
    """Guards against a damaged number after which no answer counts any more."""
    era = StoreEra(ManualClock())
    era.observe(5)
    case.assertFalse(era.observe(6 + MAX_ERA_STEP))
    case.assertTrue(era.observe(5))


def test_versions_that_are_given_out_again_hide_no_change(case):
    """Guards against a follower that goes on from a version of the era before."""
    made, view, store = follower()
    store.write("a", b"1")
    made.step()
    copy = store.copy()
    store.write("a", b"2")
    store.write("b", b"2")
    made.step()
    case.assertEqual(view.rows, {"a": b"2", "b": b"2"})
    store.restore(copy)
    store.write("c", b"3")
    store.write("d", b"3")
    made.step()
    made.step()
    case.assertEqual(view.rows, {"a": b"1", "c": b"3", "d": b"3"})
    case.assertEqual(view.restores, [False, True])


def test_restored_store_with_lower_versions_is_read(case):
    """Guards against waiting for ever for a version that is gone."""
    made, view, store = follower()
    copy = store.copy()
    for number in range(5):
        store.write("a", str(number).encode())
    made.step()
    store.restore(copy)
    made.step()
    case.assertEqual((view.rows, made.version, made.era), ({}, 0, 2))


def test_versions_of_different_eras_are_not_compared(case):
    """Guards against a poll that is given up since another instance has seen a higher
    version before the restore, and against missing a restore that others know."""
    made, _, store = follower()
    store.write("a", b"1")
    made.step()
    case.assertTrue(made._is_newer(2, 1))
    case.assertFalse(made._is_newer(1, 1))
    case.assertTrue(made._is_newer(0, 2))
    store.restore(store.copy())
    made.step()
    made.step()
    case.assertFalse(made._is_newer(99, 1))


OPERATIONS = st.lists(
    st.sampled_from(("write", "drop", "copy", "restore", "poll")), max_size=40
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(OPERATIONS)
def check_view_is_right(operations):
    made, view, store = follower()
    copy, number = store.copy(), 0
    for operation in operations:
        number += 1
        if operation == "write":
            store.write(f"k{number % 3}", str(number).encode())
        elif operation == "drop":
            store.write(f"k{number % 3}", None)
        elif operation == "copy":
            copy = store.copy()
        elif operation == "restore":
            store.restore(copy)
        else:
            made.step()
    for _ in range(3):
        made.step()
    assert view.rows == {key: row.value for key, row in store.rows.items()}


def test_view_is_right_after_any_series_of_restores(case):
    """Guards against rows that stay wrong after writes, restores and polls in any
    order, and restores within one another."""
    check_view_is_right()


load_tests = collect(globals())
