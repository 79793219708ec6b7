"""Sections of a configuration, its acceptance and its confirmation."""

from dataclasses import replace

import msgspec
from hypothesis import given, settings, strategies as st

from amaranthbay.peering.envelope import decode_body, message_name
from amaranthbay.platform.types import Write
from amaranthbay.standins.processes import small_configuration
from amaranthbay.state.config_messages import (
    ConfigAnswer,
    ConfigObjects,
    ConfigObjectsQuery,
    ConfigQuery,
)
from amaranthbay.state.config_store import ConfigStore, accept_configuration
from amaranthbay.state.sections import (
    ConfigPointer,
    assemble,
    decode_manifest,
    encode_sections,
)
from amaranthbay.state.tests.fakes import (
    MemoryObjects,
    MemoryPeers,
    MemoryTable,
    StepClock,
)
from amaranthbay.utils.testing import collect


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.sets(st.text(min_size=1, max_size=8), max_size=40))
def check_sections(workspaces):
    names = tuple(sorted(workspaces))
    cfg = replace(small_configuration(), version=7, workspaces=names)
    manifest, bodies = encode_sections(cfg)
    assert assemble(decode_manifest(manifest), bodies) == cfg


def test_sections_hold_the_whole_configuration(case):
    """Guards against a workspace that no section holds."""
    check_sections()


def large_configuration(count=26_000):
    names = tuple(f"workspace-{number:05}" for number in range(count))
    return replace(small_configuration(), workspaces=names)


def test_a_small_change_fetches_little(case):
    """Guards against sending all 26,000 workspaces when one of them changes."""
    table, objects, clock = MemoryTable(), MemoryObjects(), StepClock()
    store = ConfigStore(table, objects, clock)
    cfg = large_configuration()
    accept_configuration(table, objects, cfg, "a")
    store.step()
    stored_count = len(objects.objects)
    objects.fetched.clear()
    changed = replace(cfg, workspaces=(*cfg.workspaces, "one-more"))
    accept_configuration(table, objects, changed, "a")
    case.assertEqual(len(objects.objects) - stored_count, 2)
    objects.fetched.clear()
    store.step()
    case.assertEqual(len(objects.fetched), 2)
    case.assertTrue(store.current.admits("one-more"))
    fetched_bytes = sum(len(objects.objects[name]) for name in objects.fetched)
    case.assertLessEqual(fetched_bytes, 8 * 1024)
    print(f"\nbytes fetched for one of 26,000 workspaces: {fetched_bytes}")


def make_pair(outage):
    """Connects two daemons, the first of which has version 1 in force.

    Args:
        outage: List; the platform is down while it isn't empty.

    Returns:
        Clock, peers, the `ConfigStore` of each daemon, table and object store.
    """
    clock, peers = StepClock(), MemoryPeers()
    table = MemoryTable(lambda operation: "down" if outage else "ok")
    objects = MemoryObjects(lambda operation: "down" if outage else "ok")
    endpoints = [peers.join(name) for name in ("entry-1", "entry-2")]
    stores = [
        ConfigStore(table, objects, clock, endpoint, endpoint) for endpoint in endpoints
    ]
    accept_configuration(table, objects, large_configuration(3000), "a")
    stores[0].step()
    return clock, peers, stores, table, objects


def test_restored_pointer_row_does_not_revert_a_daemon(case):
    """Guards against an older version in force after a restore of the table."""
    _, _, (first, _), table, objects = make_pair([])
    old_row = table.rows["config/current"]
    accept_configuration(table, objects, small_configuration(), "a")
    first.step()
    table.rows["config/current"] = old_row
    first.step()
    case.assertEqual(first.version, 2)


def test_lost_reply_is_settled_after_a_further_acceptance(case):
    """Guards against a conflict reported for a configuration that was accepted.

    The reply of the first acceptance is lost. A second operator accepts another
    version before the first acceptance reads the row again.
    """
    faults = iter(["ok", "lost"])
    table, objects = MemoryTable(lambda operation: next(faults, "ok")), MemoryObjects()
    read = table.read

    def read_after_another_operator(key):
        table.read = read
        if table.rows:
            accept_configuration(table, objects, small_configuration(), "b")
        else:
            table.read = read_after_another_operator
        return read(key)

    table.read = read_after_another_operator
    outcome = accept_configuration(table, objects, large_configuration(10), "a")
    case.assertEqual((outcome.state, outcome.version), ("accepted", 1))
    case.assertEqual(table.rows["config/current"].value["version"], 2)


def test_daemon_starts_from_peers_while_the_platform_is_down(case):
    """Guards against new daemons that get no configuration during an outage."""
    outage = []
    _, peers, (first, second), _, _ = make_pair(outage)
    outage.append(True)
    peers.cut_off = {"entry-1"}
    second.step()
    case.assertIsNone(second.current)
    peers.cut_off = set()
    second.step()
    case.assertEqual(second.current, first.current)
    case.assertIsNone(second.unconfirmed_reason())


def test_daemon_that_reaches_nobody_refuses_after_five_seconds(case):
    """Guards against work under a configuration that may have been replaced."""
    outage = []
    clock, peers, (first, second), _, _ = make_pair(outage)
    second.step()
    outage.append(True)
    for _ in range(5):
        clock.advance(2)
        second.step()
    case.assertIsNone(second.unconfirmed_reason())
    peers.cut_off = {"entry-2"}
    clock.advance(2)
    second.step()
    case.assertIsNone(second.unconfirmed_reason())
    clock.advance(4)
    second.step()
    case.assertIsNotNone(second.unconfirmed_reason())
    case.assertIsNotNone(second.current)


def test_unreadable_row_is_no_confirmation(case):
    """Guards against polling that ends when another release has written the row."""
    clock, peers, (first, _), table, _ = make_pair([])
    peers.cut_off = {"entry-1"}
    table.apply([Write("config/current", {"version": "9"})])
    clock.advance(6)
    first.step()
    case.assertIsNotNone(first.unconfirmed_reason())
    case.assertEqual(first.version, 1)


def test_old_messages_do_not_confirm_after_a_pause(case):
    """Guards against messages from before a pause that confirm an old version."""
    clock, _, (first, second), _, _ = make_pair([])
    second.step()
    clock.advance(60)
    second.note_peer_version(1, "entry-1")
    case.assertIsNotNone(second.unconfirmed_reason())
    second.step()
    case.assertIsNone(second.unconfirmed_reason())


def test_daemon_that_cannot_fetch_a_newer_version_refuses(case):
    """Guards against work under a version that is known to be replaced."""
    clock, _, (first, second), _, objects = make_pair([])
    second.step()
    second.note_peer_version(9, "entry-1")
    for _ in range(3):
        clock.advance(2)
        second.step()
    case.assertIsNotNone(second.unconfirmed_reason())


def test_messages_survive_the_wire(case):
    """Guards against message types that the peer codec can't carry."""
    pointer = ConfigPointer(1, "d", "n", "a", "o", ("a",))
    messages = (
        ConfigQuery(3),
        ConfigAnswer(1, pointer),
        ConfigAnswer(0),
        ConfigObjectsQuery(("a", "b")),
        ConfigObjects({"a": b"\xff"}),
    )
    for message in messages:
        body = msgspec.msgpack.encode(message)
        decoded = decode_body(message_name(type(message)), body)
        case.assertEqual(decoded.unwrap(), message)


load_tests = collect(globals())
