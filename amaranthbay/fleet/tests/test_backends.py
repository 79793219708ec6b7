"""Which backend servers may get work as their entries change, expire and return."""

from dataclasses import replace

from result import Err, Ok

from amaranthbay.fleet.backends import BackendPool
from amaranthbay.fleet.configuration import ConfigurationView
from amaranthbay.fleet.health import StoreHealth
from amaranthbay.fleet.tables import ChangedRow
from amaranthbay.routing import BackendServer, EntryRevision, RoutingTable
from amaranthbay.utils.testing import ManualClock, collect


def decode(name, value):
    """Reads entries such as ``b"desk"``, ``b"desk draining"`` and ``b"?"``."""
    if value == b"?":
        return Err("unreadable")
    service, _, state = value.decode().partition(" ")
    return Ok(
        BackendServer(name, service, "127.0.0.1:1", "zone-a", draining=bool(state))
    )


def make_pool(*rows):
    clock = ManualClock()
    health = StoreHealth(clock)
    pool = BackendPool(decode, clock, health)
    pool.apply([ChangedRow(key, 1, value) for key, value in rows])
    return pool, clock, health


def usable_names(pool):
    return [server.name for server in pool.usable("desk")]


def test_draining_server_gets_no_work(case):
    """Guards against new work for a draining server."""
    pool, _, _ = make_pool(("a", b"desk"), ("b", b"desk"))
    pool.apply([ChangedRow("a", 2, b"desk draining")])
    case.assertEqual(usable_names(pool), ["b"])


def test_removed_server_is_left_out_while_others_remain(case):
    """Guards against new work for a server that left without draining first."""
    pool, _, _ = make_pool(("a", b"desk"), ("b", b"desk"))
    pool.apply([ChangedRow("a", 2, None)])
    case.assertEqual(usable_names(pool), ["b"])


def test_last_server_is_used_for_a_moment_after_its_removal(case):
    """Guards against refusing all calls while the only server is replaced, and against
    work later than the drain time limit allows."""
    pool, clock, _ = make_pool(("a", b"desk"))
    pool.apply([ChangedRow("a", 2, None)])
    clock.advance(0.9)
    case.assertEqual(usable_names(pool), ["a"])
    clock.advance(0.2)
    case.assertEqual(usable_names(pool), [])


def test_entries_that_lapse_with_the_store_stay_in_use(case):
    """Guards against losing all servers in an outage of the store, in which the entries
    expire since servers can't send heartbeats."""
    pool, clock, health = make_pool(("a", b"desk"), ("b", b"desk"))
    health.note_failure("down")
    clock.advance(4)
    health.note_answer(clock.monotonic())
    pool.replace([])
    case.assertEqual(usable_names(pool), ["a", "b"])
    # Longer than the grace period of a server whose entry is removed without an outage.
    clock.advance(1.5)
    case.assertEqual(usable_names(pool), ["a", "b"])
    pool.apply([ChangedRow("a", 9, b"desk")])
    clock.advance(2.1)
    case.assertEqual(usable_names(pool), ["a"])


def test_short_loss_of_the_store_keeps_no_removed_server(case):
    """Guards against work for a server that left while one call to the store failed."""
    pool, clock, health = make_pool(("a", b"desk"), ("b", b"desk"))
    health.note_failure("one lost packet")
    pool.apply([ChangedRow("a", 2, None)])
    case.assertEqual(usable_names(pool), ["b"])
    clock.advance(1.2)
    health.note_answer(clock.monotonic())
    case.assertEqual(usable_names(pool), ["b"])


def test_unreadable_entry_names_no_server(case):
    """Guards against a failure or a stale server if an entry can't be decoded."""
    pool, _, _ = make_pool(("a", b"desk"), ("b", b"?"))
    case.assertEqual(usable_names(pool), ["a"])
    pool.apply([ChangedRow("a", 2, b"?")])
    case.assertEqual(usable_names(pool), [])


def test_row_that_raises_does_not_keep_others_out(case):
    """Guards against a defect at one row that stops an instance from following the
    whole table."""

    def decode_or_raise(name, value):
        if value == b"!":
            raise KeyError(name)
        return decode(name, value)

    clock = ManualClock()
    pool = BackendPool(decode_or_raise, clock, StoreHealth(clock))
    rows = [ChangedRow(name, 1, b"desk") for name in ("a", "c")]
    rows.insert(1, ChangedRow("b", 1, b"!"))
    pool.replace(rows)
    case.assertEqual(usable_names(pool), ["a", "c"])
    pool.apply([ChangedRow("b", 2, b"!"), ChangedRow("c", 2, b"desk draining")])
    case.assertEqual(usable_names(pool), ["a"])


def test_configuration_never_goes_back(case):
    """Guards against replacing a configuration by an older or unreadable one."""

    def decode_version(value):
        if value == b"?":
            return Err("unreadable")
        return Ok(RoutingTable(int(value), (), {}))

    view = ConfigurationView(decode_version, "config")
    versions = []
    for value in (b"3", b"2", b"?", None, b"7", b"7", b"4"):
        view.apply([ChangedRow("config", 1, value), ChangedRow("other", 1, b"99")])
        versions.append(view.table.version)
    case.assertEqual(versions, [3, 3, 3, 3, 7, 7, 7])


def entry(state="ready", started_ms=1000, sequence=1):
    """Returns the bytes of an entry with a revision, for `decode_entry`."""
    return f"desk {state} {started_ms} {sequence}".encode()


def decode_entry(name, value):
    service, state, started_ms, sequence = value.decode().split()
    revision = EntryRevision(int(started_ms), int(sequence))
    server = BackendServer(name, service, "127.0.0.1:1", "zone-a")
    return Ok(replace(server, draining=state != "ready", revision=revision))


def make_restorable_pool(*rows):
    """Returns a pool whose entries have revisions, its clock and its health."""
    clock = ManualClock()
    health = StoreHealth(clock)
    health.era.observe(1)
    pool = BackendPool(decode_entry, clock, health, entry_ttl_s=3.6)
    pool.apply([ChangedRow(key, 1, value) for key, value in rows])
    return pool, clock, health


def restore(pool, health, *rows):
    """Replaces the rows of the pool by those of a restored store."""
    health.era.observe(health.era.number + 1)
    pool.replace([ChangedRow(key, 1, value) for key, value in rows], True)


def test_restored_list_does_not_bring_back_a_server_that_left(case):
    """Guards against work for a draining or removed server that the older copy of the
    store lists as ready."""
    rows = [(name, entry(sequence=7)) for name in ("a", "b", "c")]
    pool, clock, health = make_restorable_pool(*rows)
    pool.apply([ChangedRow("a", 2, entry("draining", sequence=8))])
    pool.apply([ChangedRow("b", 3, None)])
    clock.advance(3.0)
    case.assertEqual(usable_names(pool), ["c"])
    restore(pool, health, *rows)
    case.assertEqual(usable_names(pool), ["c"])
    # Newer entries, of the same process and of a new one.
    pool.apply([ChangedRow("a", 2, entry(sequence=9))])
    pool.apply([ChangedRow("b", 3, entry(started_ms=2000, sequence=1))])
    case.assertEqual(usable_names(pool), ["a", "b", "c"])


def test_entry_that_lapsed_before_a_restore_counts_after_it(case):
    """Guards against leaving out a server forever whose entry expired before the
    restore and which doesn't change its entry afterwards."""
    pool, clock, health = make_restorable_pool(("a", entry()), ("b", entry()))
    pool.apply([ChangedRow("a", 2, None)])
    clock.advance(3.0)
    restore(pool, health, ("a", entry()), ("b", entry()))
    clock.advance(3.6)
    case.assertEqual(usable_names(pool), ["b"])
    clock.advance(2.1)
    case.assertEqual(usable_names(pool), ["a", "b"])


def test_server_that_the_copy_lacks_stays_until_it_has_written_again(case):
    """Guards against losing the servers that started after the copy was made."""
    pool, clock, health = make_restorable_pool(("a", entry()), ("b", entry()))
    restore(pool, health, ("a", entry()))
    clock.advance(1.9)
    case.assertEqual(usable_names(pool), ["a", "b"])
    clock.advance(0.2)
    case.assertEqual(usable_names(pool), ["a"])


def test_second_restore_soon_after_the_first_keeps_departures(case):
    """Guards against forgetting departures when a second restore follows the first."""
    pool, clock, health = make_restorable_pool(("a", entry()), ("b", entry()))
    pool.apply([ChangedRow("a", 2, entry("draining", sequence=2))])
    for _ in range(2):
        restore(pool, health, ("a", entry()), ("b", entry()))
        case.assertEqual(usable_names(pool), ["b"])
        clock.advance(1.0)


def test_server_that_says_it_leaves_gets_no_work(case):
    """Guards against relying on entries alone, which may be late, stale or restored. A
    leaving server also says in its answers that it leaves."""
    pool, clock, health = make_restorable_pool(("a", entry()), ("b", entry()))
    case.assertTrue(pool.mark_leaving("a"))
    case.assertFalse(pool.mark_leaving("a"))
    case.assertEqual(usable_names(pool), ["b"])
    pool.apply([ChangedRow("a", 2, entry(sequence=50))])
    restore(pool, health, ("a", entry()), ("b", entry()))
    clock.advance(60.0)
    case.assertEqual(usable_names(pool), ["b"])
    # A new process under the same name.
    pool.apply([ChangedRow("a", 3, entry(started_ms=2000))])
    case.assertEqual(usable_names(pool), ["a", "b"])


def test_last_servers_are_used_for_a_moment_as_they_leave(case):
    """Guards against refusing all calls when the last servers begin to leave, and
    against work for them later than the drain time limit allows."""
    pool, clock, _ = make_restorable_pool(("a", entry()), ("b", entry()))
    pool.mark_leaving("a")
    pool.mark_leaving("b")
    clock.advance(0.9)
    case.assertEqual(usable_names(pool), ["a", "b"])
    pool.mark_leaving("a")
    clock.advance(0.2)
    case.assertEqual(usable_names(pool), [])


def test_leaving_server_is_told_to_other_instances(case):
    """Guards against instances that learn of a departure only from an answer to a
    request of their own, and against a departure of an old process that applies to a
    new one."""
    first, _, _ = make_restorable_pool(("a", entry()), ("b", entry()))
    first.mark_leaving("a")
    announced = first.leaving()
    case.assertEqual(announced, {"a": 1000})
    second, _, _ = make_restorable_pool(("a", entry()), ("b", entry()))
    second.merge_leaving(announced)
    case.assertEqual(usable_names(second), ["b"])
    # A new process under the same name.
    third, _, _ = make_restorable_pool(("a", entry(started_ms=2000)), ("b", entry()))
    third.merge_leaving(announced)
    case.assertEqual(usable_names(third), ["a", "b"])


def test_departure_is_not_reported_back_forever(case):
    """Guards against two instances that keep a departure alive by reporting it back to
    each other. A server whose entry names no start time would never get work again."""
    first, clock, _ = make_restorable_pool(("a", entry(started_ms=0)), ("b", entry()))
    second, second_clock, _ = make_restorable_pool(
        ("a", entry(started_ms=0)), ("b", entry())
    )
    first.mark_leaving("a")
    for elapsed_s in range(400):
        if elapsed_s >= 50:
            second.merge_leaving(first.leaving())
            first.merge_leaving(second.leaving())
        for instance_clock in (clock, second_clock):
            instance_clock.advance(1.0)
        # Each query also removes old departures.
        usable_names(first), usable_names(second)
    case.assertEqual(usable_names(first), ["a", "b"])
    case.assertEqual(usable_names(second), ["a", "b"])


load_tests = collect(globals())
