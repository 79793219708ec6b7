"""An entry daemon and its fleet: store, configuration, lookups, drain and leases."""

import random
import signal
from dataclasses import replace

import gevent
import msgspec
from result import Err, Ok
from typer.testing import CliRunner

from amaranthbay.cli import app
from amaranthbay.daemon.entry import EntryDaemon
from amaranthbay.daemon.planned_stop import SERVE_FRACTION
from amaranthbay.daemon.polling import SERVERS_BATCH_DELAY_S
from amaranthbay.fleet.reports import PeerStatus, ServerLoad
from amaranthbay.fleet.tables import MAX_POLL_WAIT_S, MIN_BEHIND_TIMEOUT_S
from amaranthbay.platform.adapter import PlatformAdapter
from amaranthbay.platform.rows import RowStore, RowTable
from amaranthbay.platform.tests.fixtures import (
    call,
    call_raw,
    configuration,
    connect,
    entry_fixture,
    entry_process,
    make_settings,
    request,
    spawn_call,
)
from amaranthbay.platform.tests.standins import StoreStandin, serve_http
from amaranthbay.platform.types import CommitState, Write
from amaranthbay.state.leases import LeaseStore
from amaranthbay.utils.testing import ManualClock, collect, wait_until

# Time within which a daemon has read the rows of the store again after an outage.
RECOVERED_S = 2.0


def get(address, path):
    return call_raw(address, request(path, host="daemon"))


def test_lookup_names_live_instances(case):
    """Guards against lookups that name an instance which does not answer, and against
    answers that callers cache beyond a planned stop."""
    fixture = case.enterContext(entry_fixture())
    registration = msgspec.json.encode(
        {
            "instance": "entry-2",
            "availability_zone": "zone-a",
            "region": "region-1",
            "caller_address": "127.0.0.1:1",
            "peer_address": "127.0.0.1:9",
        }
    )
    fixture.store.put("members", "entry-2", registration)
    fixture.daemon._read_instances()
    wait_until(lambda: len(fixture.daemon.peers.registrations()) == 2)
    wait_until(lambda: fixture.daemon.peers.serving)
    address = fixture.daemon.settings.lookup_address
    path = "/resolve?Name=shop.example&Region=region-1&Zone=zone-a"
    answer = get(address, path)
    reply = msgspec.json.decode(answer.body)
    case.assertEqual(reply["Addresses"], [fixture.address])
    case.assertLessEqual(reply["TtlS"], 5)
    # Even callers that cache the answer three times as long connect before the listener
    # of a stopping instance closes.
    serves_s = SERVE_FRACTION * fixture.daemon.settings.stop_s
    case.assertLessEqual(3 * reply["TtlS"], serves_s)


def test_other_instances_are_known_before_the_own_row_is_written(case):
    """Guards against an instance that starts while the store is slow and places work
    without knowing the work of other instances."""
    with entry_fixture() as fixture:
        row = msgspec.json.encode(fixture.daemon.peers.own)
        fixture.store.put("members", "entry-2", row.replace(b"entry-1", b"entry-2"))
        fixture.store.answers_to_lose = 10**6
        fixture.store.late_write_s = 60.0
        settings = make_settings(fixture.daemon.settings.store_address, "entry-3")
        daemon = EntryDaemon(settings, PlatformAdapter(), rng=random.Random(2))
        daemon.start()
        case.addCleanup(daemon.close)
        wait_until(lambda: len(daemon.peers.registrations()) == 3, timeout_s=1.0)


def test_readiness_follows_the_configuration_and_the_drain(case):
    """Guards against sending callers to an instance that can't serve them."""
    fixture = case.enterContext(entry_fixture())
    address = fixture.daemon.settings.ready_address
    case.assertEqual(get(address, "/ready").status, 200)
    fixture.daemon.draining = True
    case.assertEqual(get(address, "/ready").status, 503)


def test_new_configuration_is_in_force_at_once(case):
    """Guards against routes that are served by an older configuration."""
    fixture = case.enterContext(entry_fixture())
    document = configuration(5)
    document["Routes"] = document["Routes"][1:]
    fixture.store.put("op", "config", document)
    wait_until(lambda: fixture.daemon.configuration.table.version == 5)
    case.assertEqual(call(fixture, "/look/x").status, 404)


def test_servers_stay_in_use_while_the_store_is_silent(case):
    """Guards against an outage of the store that stops the service, and against a poll
    that waits forever for a store that was silent."""
    fixture = case.enterContext(entry_fixture())
    fixture.store.silent = True
    # The change wakes the polls that wait, so that they get no answer either.
    fixture.store.put("other", "wakes", b"polls that wait")
    wait_until(lambda: fixture.daemon.health.lost_at is not None)
    case.assertEqual(call(fixture, "/look/x").status, 200)
    fixture.store.silent = False
    fixture.store.put("op", "config", configuration(9))
    wait_until(lambda: fixture.daemon.configuration.table.version == 9)


def test_standby_instance_knows_of_changes_within_their_bounds(case):
    """Guards against an instance on standby that polls the store too rarely to stay
    current."""
    fixture = case.enterContext(entry_fixture())
    daemon = fixture.daemon
    wait_until(lambda: daemon.peers.serving)
    # Lookups name no instance, so this one is on standby.
    daemon.peers._choose = lambda live: []
    settings = daemon.settings
    case.assertGreater(daemon._servers_batch_delay_s(), SERVERS_BATCH_DELAY_S)
    case.assertLess(daemon._servers_batch_delay_s(), settings.drain_s)
    case.assertGreater(daemon._max_poll_wait_s(), settings.configuration_s)
    daemon.peers._choose = lambda live: live
    case.assertEqual(daemon._servers_batch_delay_s(), SERVERS_BATCH_DELAY_S)
    case.assertLess(daemon._max_poll_wait_s(), settings.configuration_s)


def test_standby_instance_learns_of_changes_that_it_has_missed(case):
    """Guards against a long poll that a silent store has lost: an instance on standby
    would miss changes until the poll ends."""
    fixture = case.enterContext(entry_fixture())
    daemon = fixture.daemon
    wait_until(lambda: daemon.peers.serving)
    daemon.peers._choose = lambda live: []
    follower = daemon._followers["op"]
    follower.poll_again()
    wait_until(
        lambda: f"WaitMs={MAX_POLL_WAIT_S * 1000:.0f}" in fixture.store.calls[-1]
    )
    fixture.store.silent = True
    # The change wakes the polls that wait, so that they get no answer either.
    fixture.store.put("other", "wakes", b"polls that wait")
    gevent.sleep(0.1)
    fixture.store.silent = False
    fixture.store.put("op", "config", configuration(9))
    newest = fixture.store.version
    gevent.sleep(MIN_BEHIND_TIMEOUT_S)
    case.assertEqual(daemon.configuration.table.version, 1)
    # A stale instance must not hide the newer version that another one reports.
    for sequence in (1, 2):
        for name, version in (("entry-2", newest), ("entry-3", 0)):
            daemon.peers.receive(
                PeerStatus(name, 1, sequence, True, {}, versions={"op": version})
            )
        gevent.sleep(MIN_BEHIND_TIMEOUT_S + 0.1)
    wait_until(lambda: daemon.configuration.table.version == 9, timeout_s=1.0)


def test_call_without_a_configuration_is_refused_as_not_run(case):
    """Guards against a 404 from an instance without a configuration."""
    fixture = case.enterContext(entry_fixture())
    fixture.daemon.configuration.table = None
    answer = call(fixture, "/look/x")
    case.assertEqual(answer.status, 503)
    case.assertIn("retry-after", answer.headers)


def test_instance_that_starts_during_an_outage_serves_soon_after_it(case):
    """Guards against a process that needs several answers of the store before it
    serves, or that polls it too rarely after an outage."""
    fixture = case.enterContext(entry_fixture())
    fixture.store.error_status = 503
    daemon = EntryDaemon(
        make_settings(fixture.daemon.settings.store_address, "entry-2"),
        PlatformAdapter(),
        rng=random.Random(2),
    )
    daemon.start()
    case.addCleanup(daemon.close)
    wait_until(lambda: daemon.health.lost_at is not None)
    gevent.sleep(1.0)
    answer = call_raw(daemon.settings.caller_address, request("/look/x"))
    case.assertEqual(answer.status, 503)
    fixture.store.error_status = 0
    wait_until(daemon.is_ready, timeout_s=RECOVERED_S)
    wait_until(lambda: daemon.backends.usable("desk"), timeout_s=RECOVERED_S)
    answer = call_raw(daemon.settings.caller_address, request("/look/x"))
    case.assertEqual(answer.status, 200)


def test_drain_completes_requests_in_progress(case):
    """Guards against requests that a planned stop interrupts."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["desk-1"]
    server.replies.append(lambda req: gevent.sleep(1.0) or server.stamped_reply(req))
    slow = spawn_call(fixture, "/look/slow")
    wait_until(lambda: server.received)
    idle = connect(fixture.address)
    drain = gevent.spawn(fixture.daemon._drain)
    wait_until(lambda: fixture.daemon.draining)
    during = call(fixture, "/look/x", attempt="a2")
    case.assertEqual(during.status, 200)
    case.assertEqual(during.headers["connection"], "close")
    case.assertEqual(slow.get().status, 200)
    drain.get()
    case.assertEqual(idle.recv(10), b"")
    case.assertFalse(fixture.daemon.listener.busy)


def test_drain_waits_for_requests_beyond_its_serving_time(case):
    """Guards against a process that ends while one of its requests is in progress."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["desk-1"]
    lasts_s = SERVE_FRACTION * fixture.daemon.settings.stop_s + 0.5
    server.replies.append(
        lambda req: gevent.sleep(lasts_s) or server.stamped_reply(req)
    )
    slow = spawn_call(fixture, "/book/slow")
    wait_until(lambda: server.received)
    fixture.daemon._drain()
    case.assertTrue(slow.ready())
    case.assertEqual(slow.get().status, 200)


def test_reports_of_other_instances_are_applied(case):
    """Guards against ignoring crashes that other instances report, and against a late
    report of the instance's own placements."""
    fixture = case.enterContext(entry_fixture())
    daemon = fixture.daemon
    crashes = {"f" * 16: ("a", "b", "c")}
    daemon.peers.receive(PeerStatus("entry-2", 1, 1, True, {}, crashes=crashes))
    case.assertEqual(daemon.ctx.crashes.requests.crash_count("f" * 16), 3)
    daemon.peers._report_requested.clear()
    release = daemon.placed_load.add("dec-1", ServerLoad(1, 500, 0))
    case.assertTrue(daemon.peers._report_requested.is_set())
    daemon.peers._report_requested.clear()
    release()
    case.assertTrue(daemon.peers._report_requested.is_set())


def test_reload_applies_changed_settings_but_keeps_addresses(case):
    """Guards against changed settings that are not applied, and against an unreadable
    file that ends a process."""
    fixture = case.enterContext(entry_fixture())
    daemon = fixture.daemon
    changed = replace(
        daemon.settings, retry_ratio=0.0, retry_allowance=0.0, caller_address="x:1"
    )
    budget = daemon.ctx.budget("desk")
    case.assertTrue(budget.withdraw())
    daemon._adapter.load_settings = lambda: Ok(changed)
    daemon.reload()
    case.assertFalse(budget.withdraw())
    case.assertEqual(daemon.settings.caller_address, fixture.address)
    daemon._adapter.load_settings = lambda: Err("unreadable")
    daemon.reload()
    case.assertEqual(daemon.settings.retry_ratio, 0.0)


def test_lost_answer_to_a_lease_write_leaves_one_holder(case):
    """Guards against two holders of a lease after the answer to a write is lost."""
    store = StoreStandin()
    address = case.enterContext(serve_http(store.answer))
    table = RowTable(RowStore(address), "leases")
    clock = ManualClock()
    first, second = (LeaseStore(table, clock, name) for name in ("n-1", "n-2"))
    store.answers_to_lose = 1
    lease = first.acquire("stages", 5.0)
    case.assertEqual(lease.fence, 1)
    case.assertIsNone(second.acquire("stages", 5.0))
    clock.advance(4.0)
    case.assertIsNone(second.acquire("stages", 5.0))
    clock.advance(1.5)
    next_lease = second.acquire("stages", 5.0)
    case.assertEqual(next_lease.fence, 2)
    case.assertFalse(first.is_held(lease))


def test_transaction_outcomes_are_told_apart(case):
    """Guards against a refused or unknown write that counts as done."""
    store = StoreStandin()
    address = case.enterContext(serve_http(store.answer))
    table = RowTable(RowStore(address), "t")
    done = table.commit([Write("a", {"n": 1}, 0)])
    case.assertEqual(done.state, CommitState.DONE)
    case.assertEqual(table.read("a").unwrap().version, done.versions["a"])
    case.assertEqual(table.commit([Write("a", {}, 0)]).state, CommitState.CONFLICT)
    store.error_status = 503
    case.assertEqual(table.commit([Write("a", {})]).state, CommitState.NOT_DONE)
    store.error_status = 500
    case.assertEqual(table.commit([Write("a", {})]).state, CommitState.UNKNOWN)
    case.assertTrue(table.read("a").is_err())


def test_snapshot_joins_the_pages_of_a_table(case):
    """Guards against losing the rows after the first page."""
    store = StoreStandin()
    address = case.enterContext(serve_http(store.answer))
    for number in range(1203):
        store.put("t", f"k{number:05}", b"1")
    snapshot = RowStore(address).snapshot("t").unwrap()
    case.assertEqual(len({row.key for row in snapshot.rows}), 1203)


def test_fleet_command_shows_what_the_store_holds(case):
    """Guards against a command that fails on an unreadable entry."""
    fixture = case.enterContext(entry_fixture())
    fixture.store.put("servers", "odd", b"?")
    wait_until(lambda: ("members", "entry-1") in fixture.store.rows)
    store = fixture.daemon.settings.store_address
    result = CliRunner().invoke(app, ["fleet", "--store", store])
    case.assertEqual(result.exit_code, 0, result.output)
    for text in ("version 1", "entry-1", "name dec-1", "stage decode", "unreadable"):
        case.assertIn(text, result.output)
    result = CliRunner().invoke(app, ["fleet", "--store", "127.0.0.1:9"])
    case.assertNotEqual(result.exit_code, 0)


def test_process_serves_and_stops_on_sigterm(case):
    """Guards against a program that does not start, or does not stop in time on
    SIGTERM."""
    store = StoreStandin()
    address = case.enterContext(serve_http(store.answer))
    store.put("op", "config", configuration())
    with entry_process(address) as entry:
        entry.process.send_signal(signal.SIGHUP)
        entry.process.send_signal(signal.SIGTERM)
        wait_until(lambda: entry.process.poll() is not None)
        events = [line["event"] for line in entry.log_lines()]
    case.assertEqual(entry.process.returncode, 0)
    for event in ("started", "configuration_in_force", "draining", "stopped"):
        case.assertIn(event, events)


load_tests = collect(globals())
