"""Starts of streams that are recorded in the store."""

from types import SimpleNamespace

import gevent

from amaranthbay.dispatch.tests.fake_peers import MemoryTable
from amaranthbay.fleet.versions import STREAM_LIFE_S
from amaranthbay.platform.types import Write
from amaranthbay.relay.codec import CallHead
from amaranthbay.relay.origins import (
    MAX_DELETE_DELAY_S,
    MAX_ROWS,
    ORPHAN_AGE_S,
    StreamOrigins,
    record_interval_s,
)
from amaranthbay.utils.testing import ManualClock, collect, wait_until


class History:
    """History of a service with several versions."""

    def __init__(self):
        self.several = True

    def may_differ(self, service):
        return self.several

    def on_several(self, callback):
        pass


def origins(case, table, history=None):
    """Returns `StreamOrigins` that write to a table, and their clock."""
    clock = ManualClock()
    subject = StreamOrigins(
        table, history or History(), clock, clock.monotonic, lambda: 0.1, lambda: False
    )
    job = gevent.spawn(subject.run)
    case.addCleanup(job.kill)
    return subject, clock


def call(attempt="a1", **fields):
    return SimpleNamespace(
        request_id=attempt,
        head=CallHead(attempt, **fields),
        service=SimpleNamespace(name="lm"),
        route=SimpleNamespace(services=("lm",)),
    )


def test_failed_write_is_repeated(case):
    """Guards against a stream that is not recorded as the store has failed once."""
    table = MemoryTable()
    subject, _ = origins(case, table)
    table.down = True
    subject.note_began(call(), "v1")
    gevent.sleep(0.01)
    table.down = False
    wait_until(lambda: "a1" in table.rows)
    case.assertEqual(table.rows["a1"].value["version"], "v1")


def test_writes_are_rare_while_the_store_is_down(case):
    """Guards against instances that load a store which comes back with their calls."""
    table = MemoryTable()
    subject, clock = origins(case, table)
    commits, commit = [], table.commit
    table.commit = lambda writes: (commits.append(writes), commit(writes))[1]
    table.down = True
    subject.note_began(call(), "v1")
    wait_until(lambda: clock.monotonic() > STREAM_LIFE_S)
    case.assertLess(len(commits), clock.monotonic())
    table.down = False
    wait_until(lambda: "a1" in table.rows)


def test_more_streams_than_a_transaction_takes_are_recorded(case):
    """Guards against a transaction that the store refuses for its size."""
    table = MemoryTable()
    subject, _ = origins(case, table)
    sizes, commit = [], table.commit
    table.commit = lambda writes: (sizes.append(len(writes)), commit(writes))[1]
    for number in range(2 * MAX_ROWS + 1):
        subject.note_began(call(f"a{number}"), "v1")
    wait_until(lambda: len(table.rows) == 2 * MAX_ROWS + 1)
    case.assertLessEqual(max(sizes), MAX_ROWS)


def test_new_stream_is_recorded_before_those_of_calm_times(case):
    """Guards against new streams that wait for the records of many that have ended."""
    table, history = MemoryTable(), History()
    subject, _ = origins(case, table, history)
    history.several = False
    for number in range(3 * MAX_ROWS):
        subject.note_began(call(f"a{number}"), "v1")
    history.several = True
    first_writes, commit = [], table.commit
    table.commit = lambda writes: (first_writes.extend(writes), commit(writes))[1]
    subject.record_all("lm")
    subject.note_began(call("b1"), "v2")
    wait_until(lambda: table.rows)
    case.assertIn("b1", [write.key for write in first_writes[:MAX_ROWS]])
    wait_until(lambda: len(table.rows) == 3 * MAX_ROWS + 1)


def test_records_of_old_streams_are_deleted(case):
    """Guards against a table that grows for ever."""
    table = MemoryTable()
    subject, clock = origins(case, table)
    subject.note_began(call(), "v1")
    wait_until(lambda: "a1" in table.rows)
    clock.advance(STREAM_LIFE_S + 1)
    subject.sweep()
    clock.advance(MAX_DELETE_DELAY_S + 1)
    subject.sweep()
    wait_until(lambda: not table.rows)


def test_records_of_dead_instances_are_deleted(case):
    """Guards against rows that nobody deletes after their instance has died."""
    table = MemoryTable()
    dead, _ = origins(case, table)
    dead.note_began(call(), "v1")
    wait_until(lambda: "a1" in table.rows)
    subject, clock = origins(case, table)
    subject.delete_orphans()
    case.assertTrue(table.rows)
    clock.advance(ORPHAN_AGE_S + 1)
    subject.delete_orphans()
    case.assertFalse(table.rows)


def test_all_records_of_dead_instances_are_deleted_in_parts(case):
    """Guards against rows that stay for ever, or fill the memory as they are read."""
    table = MemoryTable()
    subject, clock = origins(case, table)
    old = {"service": "lm", "version": "v1", "at": clock.monotonic()}
    for number in range(5 * MAX_ROWS):
        table.commit((Write(f"a{number:03}", old),))
    sizes, scan = [], table.scan
    table.scan = lambda *args: scan(*args).inspect(lambda rows: sizes.append(len(rows)))
    clock.advance(ORPHAN_AGE_S + 1)
    table.commit((Write("a250", old | {"at": clock.monotonic()}),))
    subject.delete_orphans()
    case.assertEqual(set(table.rows), {"a250"})
    case.assertLessEqual(max(sizes), MAX_ROWS)


def test_stream_that_is_taken_up_keeps_its_id(case):
    """Guards against a second take-up that finds no record."""
    table = MemoryTable()
    subject, _ = origins(case, table)
    subject.note_began(call("b1", last_event_id=3, began_as="a1"), "v1")
    wait_until(lambda: "a1" in table.rows)
    case.assertNotIn("b1", table.rows)
    found = subject.find(call("c1", last_event_id=5, began_as="a1"))
    case.assertEqual(found.unwrap(), "v1")


def test_id_that_no_row_can_have_is_not_recorded(case):
    """Guards against a caller's id that makes each write of others fail."""
    table = MemoryTable()
    subject, _ = origins(case, table)
    for attempt in ("", "x" * 129, "a\x00b", "\xe9" * 128):
        subject.note_began(call(attempt), "v1")
    subject.note_began(call(), "v1")
    wait_until(lambda: table.rows)
    case.assertEqual(set(table.rows), {"a1"})


def test_all_instances_together_use_a_part_of_the_stores_writes(case):
    """Guards against records that use up the writes of the store."""
    case.assertEqual(record_interval_s(8, 400.0, 200.0), 0.1)
    case.assertAlmostEqual(record_interval_s(320, 400.0, 200.0), 3.2)
    case.assertEqual(record_interval_s(0, 400.0, 200.0), 0.1)


def test_records_leave_writes_of_their_part_to_other_tables(case):
    """Guards against records that use up the part of the store that all rows share."""
    case.assertAlmostEqual(record_interval_s(320, 3200.0, 200.0), 3.2)


load_tests = collect(globals())
