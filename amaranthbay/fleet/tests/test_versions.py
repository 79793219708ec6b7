"""The record of the software versions that serve a service."""

import random
from dataclasses import dataclass, field

import gevent
import gevent.event

from amaranthbay.dispatch.tests.fake_peers import MemoryTable
from amaranthbay.fleet.versions import (
    END_DELAY_S,
    STREAM_LIFE_S,
    VERSION_LIFE_S,
    VersionHistory,
)
from amaranthbay.platform.types import Write
from amaranthbay.utils.testing import ManualClock, collect, wait_until

SERVICE = "lm"


@dataclass(frozen=True)
class Server:
    version: str


@dataclass
class Instance:
    """One instance's view of the servers and their versions."""

    table: MemoryTable
    clock: ManualClock
    listed: set = field(default_factory=set)
    first: bool = True
    history: VersionHistory = None

    def use(self, *versions):
        """Lists servers of some versions, and returns those that may be used."""
        self.listed = set(versions)
        servers = [Server(version) for version in versions]
        usable = self.history.registered_only(SERVICE, servers)
        return {server.version for server in usable}

    def recorded(self):
        """Returns the versions that the store names as serving."""
        row = self.table.rows.get(SERVICE)
        versions = row.value["versions"] if row else {}
        return {name for name, ended_at in versions.items() if ended_at is None}

    def sole(self):
        return self.history.read_sole_version(SERVICE).unwrap()


def instance(table=None, clock=None, first=True):
    view = Instance(table or MemoryTable(), clock or ManualClock(), first=first)
    view.history = VersionHistory(
        view.table,
        lambda service: view.listed,
        view.clock,
        lambda: 1000.0 + view.clock.monotonic(),
        random.Random(1),
        lambda: view.first,
    )
    return view


def registered(view, *versions):
    """Returns a view whose versions the store names."""
    view.use(*versions)
    wait_until(lambda: view.recorded() >= set(versions))
    return view


def test_new_version_is_used_only_after_the_store_names_it(case):
    """Guards against streams at a version that a new process doesn't know of."""
    view = registered(instance(), "v1")
    case.assertEqual(view.use("v1", "v2"), {"v1"})
    wait_until(lambda: view.recorded() == {"v1", "v2"})
    case.assertEqual(view.use("v1", "v2"), {"v1", "v2"})


def test_versions_that_no_record_names_are_used_for_want_of_others(case):
    """Guards against refusing all streams while the store takes no writes."""
    view = registered(instance(), "v1")
    view.table.down = True
    case.assertEqual(view.use("v2"), {"v2"})
    case.addCleanup(view.history.close)


def test_old_version_counts_until_its_streams_have_ended(case):
    """Guards against a take-up at the new version while old streams may go on, and
    against refusing take-ups for ever."""
    view = registered(instance(), "v1")
    registered(view, "v1", "v2")
    case.assertIsNone(view.sole())
    view.use("v2")
    for _ in range(3):
        view.history.sweep()
        view.clock.advance(END_DELAY_S / 2)
    wait_until(lambda: view.recorded() == {"v2"})
    case.assertIsNone(view.sole())
    case.assertTrue(view.history.may_differ(SERVICE))
    view.clock.advance(STREAM_LIFE_S)
    case.assertEqual(view.sole(), "v2")
    view.clock.advance(VERSION_LIFE_S)
    view.history.sweep()
    case.assertFalse(view.history.may_differ(SERVICE))


def test_streams_are_recorded_for_longer_than_several_versions_are_read(case):
    """Guards against streams without a record while take-ups still need one."""
    view = registered(instance(), "v1", "v2")
    view.use("v2")
    view.history.sweep()
    view.clock.advance(END_DELAY_S)
    view.history.sweep()
    wait_until(lambda: view.recorded() == {"v2"})
    while view.sole() is None:
        case.assertTrue(view.history.may_differ(SERVICE))
        view.clock.advance(1.0)


def test_version_that_comes_back_is_recorded_again(case):
    """Guards against a rollback to a version whose end is recorded."""
    view = registered(instance(), "v1", "v2")
    view.use("v2")
    view.history.sweep()
    view.clock.advance(END_DELAY_S)
    view.history.sweep()
    wait_until(lambda: view.recorded() == {"v2"})
    registered(view, "v1", "v2")
    case.assertIsNone(view.sole())


def test_version_that_comes_back_is_recorded_before_another_instance_uses_it(case):
    """Guards against streams at a version whose end another instance has recorded."""
    first = registered(instance(), "v1", "v2")
    other = registered(instance(first.table, first.clock, first=False), "v1", "v2")
    other.history.wait_until_read(SERVICE)
    for view in (first, other):
        view.use("v2")
        view.history.sweep()
    first.clock.advance(END_DELAY_S)
    for view in (first, other):
        view.history.sweep()
    wait_until(lambda: first.recorded() == {"v2"})
    first.table.down = True
    case.assertEqual(other.use("v1", "v2"), {"v2"})
    first.table.down = False
    wait_until(lambda: first.recorded() == {"v1", "v2"})
    case.assertEqual(other.use("v1", "v2"), {"v1", "v2"})


def test_take_ups_of_one_moment_share_reads(case):
    """Guards against using up the store's calls as all streams are taken up at once,
    and against an answer from before a take-up came."""
    view, reads = registered(instance(), "v1"), []
    read, answered = view.table.read, gevent.event.Event()

    def slow_read(key):
        reads.append(key)
        row = read(key)
        answered.wait()
        return row

    view.table.read = slow_read
    early = [gevent.spawn(view.sole) for _ in range(50)]
    wait_until(lambda: reads)
    view.table.commit((Write(SERVICE, {"versions": {"v1": None, "v2": None}}),))
    late = [gevent.spawn(view.sole) for _ in range(50)]
    gevent.sleep(0)
    answered.set()
    case.assertEqual({job.get(timeout=5.0) for job in late}, {None})
    gevent.joinall(early, timeout=5.0)
    case.assertLessEqual(len(reads), 3)


def test_record_does_not_grow_with_each_release(case):
    """Guards against a record that outgrows a row of the store after many releases."""
    view = instance()
    for number in range(20):
        registered(view, f"v{number}")
        view.history.sweep()
        view.clock.advance(END_DELAY_S)
        view.history.sweep()
        gevent.sleep(0)
        view.clock.advance(VERSION_LIFE_S)
    versions = view.table.rows[SERVICE].value["versions"]
    case.assertLess(len(versions), 5)


def test_instances_that_record_at_once_lose_no_version(case):
    """Guards against a record that one instance writes over that of another one."""
    table, clock = MemoryTable(), ManualClock()
    one, two = instance(table, clock), instance(table, clock)
    one.use("v1")
    two.use("v2")
    wait_until(lambda: one.recorded() == {"v1", "v2"})


def test_new_process_knows_versions_that_have_left(case):
    """Guards against a process that takes the version it sees for the only one."""
    old = registered(instance(), "v1", "v2")
    new = instance(old.table, old.clock)
    new.use("v2")
    case.assertIsNone(new.sole())
    case.assertTrue(new.history.may_differ(SERVICE))


def test_several_versions_are_told_on_a_machine_that_has_just_started(case):
    """Guards against a second version that goes unnoticed while clocks are near 0."""
    view, told = registered(instance(), "v1"), []
    view.history.on_several(told.append)
    registered(view, "v1", "v2")
    wait_until(lambda: told)
    case.assertEqual(told, [SERVICE])


def test_restored_store_gets_versions_that_have_left(case):
    """Guards against a restored record without a version whose streams go on."""
    view = registered(instance(), "v1", "v2")
    registered(view, "v1", "v2")
    view.table.rows.clear()
    view.history.forget_records()
    view.use("v2")
    wait_until(lambda: view.recorded() == {"v2"})
    gevent.sleep(0)
    case.assertIsNone(view.sole())


def test_version_that_a_restored_store_lacks_counts(case):
    """Guards against a take-up at an older version right after a restore."""
    view = registered(instance(), "v1", "v2")
    view.table.commit((Write(SERVICE, {"versions": {"v1": None}}),))
    view.history.forget_records()
    view.listed = {"v1"}
    case.assertIsNone(view.sole())
    view.clock.advance(STREAM_LIFE_S)
    case.assertEqual(view.sole(), "v1")


def test_listed_version_counts_before_it_is_recorded(case):
    """Guards against a take-up at the old version as the store goes away."""
    view = registered(instance(), "v1")
    case.assertEqual(view.history.known_sole_version(SERVICE), "v1")
    view.listed = {"v1", "v2"}
    case.assertIsNone(view.history.known_sole_version(SERVICE))


load_tests = collect(globals())
