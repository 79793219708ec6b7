"""Which backend servers may get work as their entries change, lapse and return."""

from result import Err, Ok

from amaranthbay.fleet.backends import BackendPool
from amaranthbay.fleet.configuration import ConfigurationView
from amaranthbay.fleet.tables import ChangedRow, StoreHealth
from amaranthbay.routing import BackendServer, RoutingTable
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


load_tests = collect(globals())
