"""Which backend servers may get work as their entries change, lapse and return."""

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


def pool(*rows):
    clock = ManualClock()
    health = StoreHealth(clock)
    made = BackendPool(decode, clock, health)
    made.apply([ChangedRow(key, 1, value) for key, value in rows])
    return made, clock, health


def names(made):
    return [server.name for server in made.usable("desk")]


def test_draining_server_gets_no_work(case):
    """Guards against work for a server that leaves."""
    made, _, _ = pool(("a", b"desk"), ("b", b"desk"))
    made.apply([ChangedRow("a", 2, b"desk draining")])
    case.assertEqual(names(made), ["b"])


def test_removed_server_is_left_out_while_others_remain(case):
    """Guards against work for a server that left without a word."""
    made, _, _ = pool(("a", b"desk"), ("b", b"desk"))
    made.apply([ChangedRow("a", 2, None)])
    case.assertEqual(names(made), ["b"])


def test_last_server_is_used_for_a_moment_after_its_removal(case):
    """Guards against refusing all calls in the moment of a replacement, and
    against work later than the drain bound allows."""
    made, clock, _ = pool(("a", b"desk"))
    made.apply([ChangedRow("a", 2, None)])
    clock.advance(0.9)
    case.assertEqual(names(made), ["a"])
    clock.advance(0.2)
    case.assertEqual(names(made), [])


def test_entries_that_lapse_with_the_store_stay_in_use(case):
    """Guards against losing all servers in an outage of the store."""
    made, clock, health = pool(("a", b"desk"), ("b", b"desk"))
    health.failed("down")
    clock.advance(4)
    health.answered(clock.monotonic())
    made.replace([])
    case.assertEqual(names(made), ["a", "b"])
    # Longer than a server is used that has left without a word.
    clock.advance(1.5)
    case.assertEqual(names(made), ["a", "b"])
    made.apply([ChangedRow("a", 9, b"desk")])
    clock.advance(2.1)
    case.assertEqual(names(made), ["a"])


def test_short_loss_of_the_store_keeps_no_removed_server(case):
    """Guards against work for a server that left as one call to the store failed."""
    made, clock, health = pool(("a", b"desk"), ("b", b"desk"))
    health.failed("one lost packet")
    made.apply([ChangedRow("a", 2, None)])
    case.assertEqual(names(made), ["b"])
    clock.advance(1.2)
    health.answered(clock.monotonic())
    case.assertEqual(names(made), ["b"])


def test_unreadable_entry_names_no_server(case):
    """Guards against entries of another writer."""
    made, _, _ = pool(("a", b"desk"), ("b", b"?"))
    case.assertEqual(names(made), ["a"])
    made.apply([ChangedRow("a", 2, b"?")])
    case.assertEqual(names(made), [])


def test_configuration_never_goes_back(case):
    """Guards against an older or unreadable version that is read later."""

    def read(value):
        if value == b"?":
            return Err("unreadable")
        return Ok(RoutingTable(int(value), (), {}))

    view = ConfigurationView(read, "config")
    versions = []
    for value in (b"3", b"2", b"?", None, b"7", b"7", b"4"):
        view.apply([ChangedRow("config", 1, value), ChangedRow("other", 1, b"99")])
        versions.append(view.table.version)
    case.assertEqual(versions, [3, 3, 3, 3, 7, 7, 7])


def entry(state="ready", started_ms=1000, sequence=1):
    """Returns the text of an entry with its revision."""
    return f"desk {state} {started_ms} {sequence}".encode()


def decode_entry(name, value):
    service, state, started_ms, sequence = value.decode().split()
    revision = EntryRevision(int(started_ms), int(sequence))
    made = BackendServer(name, service, "127.0.0.1:1", "zone-a")
    return Ok(replace(made, draining=state != "ready", revision=revision))


def restorable_pool(*rows):
    """Returns a pool of servers with revisions, its clock and its health."""
    clock = ManualClock()
    health = StoreHealth(clock)
    health.era.observe(1)
    made = BackendPool(decode_entry, clock, health, entry_life_s=3.6)
    made.apply([ChangedRow(key, 1, value) for key, value in rows])
    return made, clock, health


def restore(made, health, *rows):
    """Lets the pool read the table of a restored store."""
    health.era.observe(health.era.number + 1)
    made.replace([ChangedRow(key, 1, value) for key, value in rows], True)


def test_restored_list_does_not_bring_back_a_server_that_left(case):
    """Guards against work for a server that drains or has gone, which the older copy
    shows as ready."""
    rows = [(name, entry(sequence=7)) for name in ("a", "b", "c")]
    made, clock, health = restorable_pool(*rows)
    made.apply([ChangedRow("a", 2, entry("draining", sequence=8))])
    made.apply([ChangedRow("b", 3, None)])
    clock.advance(3.0)
    case.assertEqual(names(made), ["c"])
    restore(made, health, *rows)
    case.assertEqual(names(made), ["c"])
    # Its own word after that, of the same process or of a new one.
    made.apply([ChangedRow("a", 2, entry(sequence=9))])
    made.apply([ChangedRow("b", 3, entry(started_ms=2000, sequence=1))])
    case.assertEqual(names(made), ["a", "b", "c"])


def test_restored_entry_counts_once_a_dead_server_had_lost_it(case):
    """Guards against leaving out for ever a server whose entry lapsed before the
    restore and which has nothing new to write."""
    made, clock, health = restorable_pool(("a", entry()), ("b", entry()))
    made.apply([ChangedRow("a", 2, None)])
    clock.advance(3.0)
    restore(made, health, ("a", entry()), ("b", entry()))
    clock.advance(3.6)
    case.assertEqual(names(made), ["b"])
    clock.advance(2.1)
    case.assertEqual(names(made), ["a", "b"])


def test_server_that_the_copy_lacks_stays_until_it_has_written_again(case):
    """Guards against losing the servers that came after the copy was made."""
    made, clock, health = restorable_pool(("a", entry()), ("b", entry()))
    restore(made, health, ("a", entry()))
    clock.advance(1.9)
    case.assertEqual(names(made), ["a", "b"])
    clock.advance(0.2)
    case.assertEqual(names(made), ["a"])


def test_second_restore_within_the_first_keeps_what_is_known(case):
    """Guards against a departure that is forgotten by the time of another restore."""
    made, clock, health = restorable_pool(("a", entry()), ("b", entry()))
    made.apply([ChangedRow("a", 2, entry("draining", sequence=2))])
    for _ in range(2):
        restore(made, health, ("a", entry()), ("b", entry()))
        case.assertEqual(names(made), ["b"])
        clock.advance(1.0)


def test_server_that_says_it_leaves_gets_no_work(case):
    """Guards against relying on the list alone, which may be late, stale or restored:
    the answers of a leaving server say so."""
    made, clock, health = restorable_pool(("a", entry()), ("b", entry()))
    case.assertTrue(made.mark_leaving("a"))
    case.assertFalse(made.mark_leaving("a"))
    case.assertEqual(names(made), ["b"])
    made.apply([ChangedRow("a", 2, entry(sequence=50))])
    restore(made, health, ("a", entry()), ("b", entry()))
    clock.advance(60.0)
    case.assertEqual(names(made), ["b"])
    # Another process under the name.
    made.apply([ChangedRow("a", 3, entry(started_ms=2000))])
    case.assertEqual(names(made), ["a", "b"])


def test_last_servers_are_used_for_a_moment_as_they_leave(case):
    """Guards against refusing all calls as the last servers begin to leave, and
    against work for them later than the drain bound allows."""
    made, clock, _ = restorable_pool(("a", entry()), ("b", entry()))
    made.mark_leaving("a")
    made.mark_leaving("b")
    clock.advance(0.9)
    case.assertEqual(names(made), ["a", "b"])
    made.mark_leaving("a")
    clock.advance(0.2)
    case.assertEqual(names(made), [])


def test_leaving_server_is_told_to_other_instances(case):
    """Guards against each instance having to find out by a request of its own, and
    against a word on an earlier process that keeps a new one from work."""
    first, _, _ = restorable_pool(("a", entry()), ("b", entry()))
    first.mark_leaving("a")
    told = first.leaving()
    case.assertEqual(told, {"a": 1000})
    second, _, _ = restorable_pool(("a", entry()), ("b", entry()))
    second.merge_leaving(told)
    case.assertEqual(names(second), ["b"])
    later, _, _ = restorable_pool(("a", entry(started_ms=2000)), ("b", entry()))
    later.merge_leaving(told)
    case.assertEqual(names(later), ["a", "b"])


def test_instances_do_not_remind_each_other_of_a_departure_for_ever(case):
    """Guards against a mark that two instances hand to and fro after each has
    forgotten it, so that a server without a start of its own never gets work again."""
    first, clock, _ = restorable_pool(("a", entry(started_ms=0)), ("b", entry()))
    second, other, _ = restorable_pool(("a", entry(started_ms=0)), ("b", entry()))
    first.mark_leaving("a")
    for second_s in range(400):
        if second_s >= 50:
            second.merge_leaving(first.leaving())
            first.merge_leaving(second.leaving())
        for each in (clock, other):
            each.advance(1.0)
        names(first), names(second)
    case.assertEqual(names(first), ["a", "b"])
    case.assertEqual(names(second), ["a", "b"])


load_tests = collect(globals())
