"""Followers of a store that is restored from an older copy."""

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

POLL_WAIT_S = 1.9


class RestoredStore(TableSource):
    """Store of one table that can be restored from an older copy.

    Attributes:
        rows: `ChangedRow` by key.
        version: Version of the last change.
        history: `ChangedRow` of each change, in order.
        era_number: Number of the era that answers name.
    """

    def __init__(self, era):
        self.rows, self.version, self.history, self.era_number = {}, 0, [], 1
        self._era = era

    def write(self, key, value):
        self.version += 1
        row = ChangedRow(key, self.version, value)
        self.history.append(row)
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = row

    def backup(self):
        return dict(self.rows), self.version, list(self.history)

    def restore(self, backup):
        rows, self.version, history = backup
        self.rows, self.history = dict(rows), list(history)
        self.era_number += 1

    def _deliver(self, era_number, answer):
        if not self._era.observe(era_number):
            return Err(PlatformFailure("of an earlier era"))
        return answer

    def snapshot(self, table):
        rows = tuple(self.rows.values())
        return self._deliver(
            self.era_number, Ok(Snapshot(rows, self.version, self.era_number))
        )

    def changes(self, table, after, wait_s):
        if after > self.version:
            return self._deliver(self.era_number, Err(HistoryGone()))
        rows = tuple(row for row in self.history if row.version > after)
        return self._deliver(self.era_number, Ok(Changes(rows, self.version)))

    def put(self, table, key, value):
        raise NotImplementedError


class View:
    """Keeps rows and records for each replacement whether a restore caused it."""

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


def make_follower():
    """Returns a follower, its view and its store."""
    clock = ManualClock()
    health, view = StoreHealth(clock), View()
    store = RestoredStore(health.era)
    follower = TableFollower(
        store, "t", view, health, clock, random.Random(1), lambda: POLL_WAIT_S
    )
    return follower, view, store


def test_answer_of_an_earlier_era_does_not_count(case):
    """Guards against a late answer with changes that a restore has undone."""
    era, restored_eras = StoreEra(ManualClock()), []
    era.on_restored(lambda: restored_eras.append(era.number))
    case.assertTrue(era.observe(None))
    case.assertTrue(era.observe(4))
    case.assertEqual(restored_eras, [])
    case.assertTrue(era.observe(5))
    case.assertFalse(era.observe(4))
    case.assertTrue(era.observe(None))
    case.assertEqual((restored_eras, era.number), ([5], 5))


def test_implausible_era_does_not_hide_the_store(case):
    """Guards against a corrupt number after which all answers would be dropped."""
    era = StoreEra(ManualClock())
    era.observe(5)
    case.assertFalse(era.observe(6 + MAX_ERA_STEP))
    case.assertTrue(era.observe(5))


def test_versions_that_are_assigned_again_hide_no_change(case):
    """Guards against a follower that continues from a version of the previous era."""
    follower, view, store = make_follower()
    store.write("a", b"1")
    follower.step()
    backup = store.backup()
    store.write("a", b"2")
    store.write("b", b"2")
    follower.step()
    case.assertEqual(view.rows, {"a": b"2", "b": b"2"})
    store.restore(backup)
    store.write("c", b"3")
    store.write("d", b"3")
    follower.step()
    follower.step()
    case.assertEqual(view.rows, {"a": b"1", "c": b"3", "d": b"3"})
    case.assertEqual(view.restores, [False, True])


def test_restored_store_with_lower_versions_is_read(case):
    """Guards against waiting forever for a version that a restore has undone."""
    follower, view, store = make_follower()
    backup = store.backup()
    for number in range(5):
        store.write("a", str(number).encode())
    follower.step()
    store.restore(backup)
    follower.step()
    case.assertEqual((view.rows, follower.version, follower.era), ({}, 0, 2))


def test_versions_of_different_eras_are_not_compared(case):
    """Guards against replacing a poll because another instance reports a higher version
    from before the restore, and against missing a restore that others report."""
    follower, _, store = make_follower()
    store.write("a", b"1")
    follower.step()
    case.assertTrue(follower._is_newer(2, 1))
    case.assertFalse(follower._is_newer(1, 1))
    case.assertTrue(follower._is_newer(0, 2))
    store.restore(store.backup())
    follower.step()
    follower.step()
    case.assertFalse(follower._is_newer(99, 1))


OPERATIONS = st.lists(
    st.sampled_from(("write", "drop", "copy", "restore", "poll")), max_size=40
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(OPERATIONS)
def check_view_equals_store(operations):
    follower, view, store = make_follower()
    backup, number = store.backup(), 0
    for operation in operations:
        number += 1
        if operation == "write":
            store.write(f"k{number % 3}", str(number).encode())
        elif operation == "drop":
            store.write(f"k{number % 3}", None)
        elif operation == "copy":
            backup = store.backup()
        elif operation == "restore":
            store.restore(backup)
        else:
            follower.step()
    for _ in range(3):
        follower.step()
    assert view.rows == {key: row.value for key, row in store.rows.items()}


def test_view_is_right_after_any_series_of_restores(case):
    """Guards against rows that stay wrong after any order of writes, copies, restores
    and polls."""
    check_view_equals_store()


load_tests = collect(globals())
