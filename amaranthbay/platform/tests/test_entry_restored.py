"""An entry daemon whose store is restored from an older copy."""

import random

import msgspec

from amaranthbay.daemon.entry import EntryDaemon
from amaranthbay.fleet.eras import StoreEra
from amaranthbay.fleet.reports import PeerStatus
from amaranthbay.platform.adapter import PlatformAdapter
from amaranthbay.platform.rows import RowStore, RowTable
from amaranthbay.platform.tests.fixtures import (
    call,
    configuration,
    entry_fixture,
    make_settings,
)
from amaranthbay.platform.tests.standins import Reply, StoreStandin, serve_http
from amaranthbay.platform.types import CommitState
from amaranthbay.state.leases import LeaseStore
from amaranthbay.utils.testing import ManualClock, collect, wait_until

LEASE_S = 5.0


def name_era(fixture):
    """Makes the store name era 1 and waits until the daemon knows it."""
    fixture.store.era = 1
    fixture.store.put("op", "other", {})
    wait_until(lambda: fixture.daemon.health.era.number == 1)


def own_row(fixture):
    """Returns the row with which the daemon registers, or None."""
    return fixture.store.rows.get(("members", "entry-1"))


def test_instance_rewrites_its_row_after_a_restore(case):
    """Guards against an instance that others can't find after a restore."""
    fixture = case.enterContext(entry_fixture())
    name_era(fixture)
    wait_until(lambda: own_row(fixture))
    copy = fixture.store.copy()
    del copy.rows["members", "entry-1"]
    fixture.store.restore(copy)
    case.assertIsNone(own_row(fixture))
    wait_until(lambda: own_row(fixture))


def test_configuration_in_force_survives_a_restore(case):
    """Guards against applying an older configuration after a restore, and against
    missing a newer one whose row has a lower version."""
    fixture = case.enterContext(entry_fixture())
    name_era(fixture)
    copy = fixture.store.copy()
    for number in range(5):
        fixture.store.put("op", "config", configuration(version=10 + number))
    active = fixture.daemon.configuration
    wait_until(lambda: active.table.version == 14)
    fixture.store.restore(copy)
    wait_until(lambda: fixture.daemon.health.era.number == 2)
    case.assertEqual(active.table.version, 14)
    fixture.store.put("op", "config", configuration(version=20))
    case.assertLess(fixture.store.version, 20)
    wait_until(lambda: active.table.version == 20)


def test_instance_is_not_ready_before_it_has_the_configuration_of_others(case):
    """Guards against an instance that is ready with a configuration which the others
    have replaced."""
    fixture = case.enterContext(entry_fixture())
    status = PeerStatus("entry-2", 7, 1, True, {}, configuration=9)
    case.assertTrue(fixture.daemon.is_ready())
    fixture.daemon.peers.receive(status)
    case.assertFalse(fixture.daemon.is_ready())
    fixture.store.put("op", "config", configuration(version=9))
    wait_until(fixture.daemon.is_ready)


def test_calls_are_served_through_a_restore(case):
    """Guards against an interruption of the service while the store is restored."""
    fixture = case.enterContext(entry_fixture())
    name_era(fixture)
    copy = fixture.store.copy()
    fixture.store.remove("servers", "desk-1")
    fixture.write_entry("desk-1", "desk")
    for _ in range(3):
        fixture.store.restore(copy)
        case.assertEqual(call(fixture, "/look/x").status, 200)
    wait_until(lambda: fixture.daemon.health.era.number == 4)
    case.assertEqual(call(fixture, "/look/x").status, 200)


def test_era_that_another_instance_reports_ends_a_poll(case):
    """Guards against a poll that keeps waiting for a replaced store, although another
    instance reports the next era."""
    fixture = case.enterContext(entry_fixture())
    name_era(fixture)
    fixture.store.put("op", "config", configuration(version=2))
    wait_until(lambda: fixture.daemon.health.era.number == 1)
    fixture.store.restore(fixture.store.copy())
    calls_before = len(fixture.store.calls)
    for sequence in range(1, 100):
        status = PeerStatus("entry-2", 7, sequence, True, {}, versions={"op": 1}, era=2)
        fixture.daemon.peers.receive(status)
        if fixture.daemon.health.era.number == 2:
            break
        fixture.daemon.clock.sleep(0.05)
    case.assertEqual(fixture.daemon.health.era.number, 2)
    case.assertGreater(len(fixture.store.calls), calls_before)


def test_answers_of_an_earlier_era_are_dropped(case):
    """Guards against a late answer, to a read or a write, that reports what a restore
    has undone."""
    store = StoreStandin(era=3)
    address = case.enterContext(serve_http(store.answer))
    era = StoreEra(ManualClock())
    rows = RowStore(address, era)
    store.put("t", "a", b"1")
    case.assertEqual(rows.snapshot("t").unwrap().era, 3)
    store.era = 2
    case.assertTrue(rows.snapshot("t").is_err())
    case.assertTrue(rows.changes("t", 0, 0.0).is_err())
    case.assertEqual(rows.put("t", "a", b"2"), CommitState.UNKNOWN)
    store.era = 4
    case.assertEqual(rows.put("t", "a", b"2"), CommitState.DONE)
    case.assertEqual(era.number, 4)


def test_invalid_era_header_is_ignored(case):
    """Guards against an invalid header that ends a reader of the store."""
    store = StoreStandin()
    era = StoreEra(ManualClock())
    for value in ("", "x", "1.5", "9" * 5000, str(2**70)):
        headers = (("Store-Era", value),)
        address = case.enterContext(
            serve_http(lambda req: Reply(200, headers, b'{"Ver":1}'))
        )
        case.assertTrue(RowStore(address, era).snapshot("t").is_ok())
    case.assertIsNone(era.number)
    case.assertEqual(store.calls, [])


def leases(case, store, *names):
    """Returns a clock and one `LeaseStore` for each name, each with its own `StoreEra`.

    All have seen the store's era for long enough to acquire leases.
    """
    address = case.enterContext(serve_http(store.answer))
    clock = ManualClock()
    stores = []
    for name in names:
        table = RowTable(RowStore(address, StoreEra(clock)), "leases")
        stores.append(LeaseStore(table, clock, name))
        stores[-1].acquire("stages", LEASE_S)
    clock.advance(LEASE_S * 1.1)
    return clock, *stores


def test_no_lease_after_a_restore_until_a_lost_one_has_expired(case):
    """Guards against two holders, and a fencing token that is issued twice, if the copy
    does not contain the lease."""
    store = StoreStandin(era=1)
    clock, first, second = leases(case, store, "n-1", "n-2")
    copy = store.copy()
    lease = first.acquire("stages", LEASE_S)
    case.assertIsNotNone(lease)
    store.restore(copy)
    case.assertIsNone(second.acquire("stages", LEASE_S))
    clock.advance(LEASE_S - 0.1)
    case.assertIsNone(second.acquire("stages", LEASE_S))
    clock.advance(0.4)
    next_lease = second.acquire("stages", LEASE_S)
    case.assertGreater(next_lease.fence, lease.fence)
    case.assertFalse(first.is_held(lease))


def test_lease_is_not_held_after_a_restore(case):
    """Guards against acting on a lease that a restore has undone."""
    store = StoreStandin(era=1)
    _, first = leases(case, store, "n-1")
    lease = first.acquire("stages", LEASE_S)
    case.assertTrue(first.is_held(lease))
    store.restore(store.copy())
    first.acquire("other", LEASE_S)
    case.assertFalse(first.is_held(lease))


def test_version_from_before_a_restore_renews_no_lease(case):
    """Guards against a write whose condition holds by accident: after the restore, the
    version that was read before it belongs to another change."""
    store = StoreStandin(era=1)
    clock, first, second = leases(case, store, "n-1", "n-2")
    copy = store.copy()
    lease = first.acquire("stages", LEASE_S)
    version = store.version
    store.restore(copy)
    first.acquire("stages", LEASE_S)
    clock.advance(LEASE_S * 1.1)
    next_lease = first.acquire("stages", LEASE_S)
    case.assertEqual(next_lease.version, version)
    # The second store has read the row in the first era and writes only now.
    second._table._store.store_era._number = 1
    renewed = second.renew(lease, LEASE_S)
    case.assertIsNone(renewed)
    row = store.value("leases", "lease/stages/2")
    case.assertEqual((row["holder"], row["fence"]), ("n-1", next_lease.fence))


def test_process_that_starts_after_a_restore_waits_for_a_whole_lease(case):
    """Guards against a new process that takes the lease of a live holder: it can't know
    when the store was restored."""
    store = StoreStandin(era=1)
    address = case.enterContext(serve_http(store.answer))
    clock = ManualClock()
    table = RowTable(RowStore(address, StoreEra(clock)), "leases")
    case.assertIsNone(LeaseStore(table, clock, "n-1").acquire("stages", LEASE_S))
    clock.advance(LEASE_S * 1.06)
    case.assertIsNotNone(LeaseStore(table, clock, "n-1").acquire("stages", LEASE_S))


def test_instance_whose_row_a_restore_has_undone_stays_live(case):
    """Guards against lookups that omit an instance whose row a restore has undone."""
    fixture = case.enterContext(entry_fixture())
    name_era(fixture)
    copy = fixture.store.copy()
    row = msgspec.json.encode(
        {
            "instance": "entry-2",
            "availability_zone": "zone-a",
            "region": "region-1",
            "caller_address": "127.0.0.1:1",
            "peer_address": "127.0.0.1:9",
        }
    )
    fixture.store.put("members", "entry-2", row)
    peers = fixture.daemon.peers
    fixture.daemon._read_instances()
    wait_until(lambda: "entry-2" in {peer.instance for peer in peers.registrations()})
    peers.receive(PeerStatus("entry-2", 7, 1, True, {}, interval_s=5.0))
    fixture.store.restore(copy)
    wait_until(lambda: fixture.daemon._followers["members"].era == 2)
    case.assertIn("entry-2", {peer.instance for peer in peers.live()})


def test_daemon_starts_with_a_store_in_a_later_era(case):
    """Guards against a start that waits forever if the store is in a later era."""
    store = StoreStandin(era=5)
    store.put("op", "config", configuration())
    address = case.enterContext(serve_http(store.answer))
    daemon = EntryDaemon(
        make_settings(address), PlatformAdapter(), rng=random.Random(1)
    )
    daemon.start()
    case.addCleanup(daemon.close)
    wait_until(daemon.is_ready)
    wait_until(lambda: ("members", "entry-1") in store.rows)


load_tests = collect(globals())
