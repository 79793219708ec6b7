"""Prefill servers that get no prompts because their KV cache can't be fetched."""

from amaranthbay.relay.handles import (
    BASE_DISTRUST_S,
    MAX_DISTRUST_S,
    REFUSAL_LIFE_S,
    HandleRecord,
)
from amaranthbay.utils.testing import ManualClock, collect


def make_record(distrusted_by_peers=frozenset):
    clock = ManualClock()
    return HandleRecord(clock, distrusted_by_peers), clock


def test_refusals_of_one_decode_server_cause_no_distrust(case):
    """Guards against distrusting a prefill server because one decode server refuses to
    fetch while it is full or switches to the other pool."""
    handle_record, _ = make_record()
    for _ in range(3):
        handle_record.note_fetch_refused("pre-1", "dec-1")
    case.assertTrue(handle_record.is_suspect("pre-1"))
    case.assertEqual(handle_record.distrusted(), frozenset())


def test_distrust_ends_and_lasts_longer_each_time(case):
    """Guards against a server that is never tried again, and against one that wastes a
    prompt every few seconds because its distrust ends too soon."""
    handle_record, clock = make_record()
    handle_record.note_fetch_refused("pre-1", "dec-1")
    handle_record.note_fetch_refused("pre-1", "dec-2")
    case.assertEqual(handle_record.distrusted(), {"pre-1"})
    clock.advance(BASE_DISTRUST_S + 0.1)
    case.assertEqual(handle_record.distrusted(), frozenset())
    handle_record.note_fetch_refused("pre-1", "dec-1")
    clock.advance(BASE_DISTRUST_S + 0.1)
    case.assertEqual(handle_record.distrusted(), {"pre-1"})
    for _ in range(9):
        handle_record.note_fetch_refused("pre-1", "dec-2")
    clock.advance(MAX_DISTRUST_S + 0.1)
    case.assertEqual(handle_record.distrusted(), frozenset())


def test_fetch_clears_a_server(case):
    """Guards against distrusting a server for single refusals hours apart, although
    fetches from it succeeded or time has passed in between."""
    handle_record, clock = make_record()
    for number in range(5):
        handle_record.note_fetch_refused("pre-1", f"dec-{number}")
        handle_record.note_fetched("pre-1")
    case.assertEqual(handle_record.distrusted(), frozenset())
    case.assertFalse(handle_record.is_suspect("pre-1"))
    handle_record.note_fetch_refused("pre-1", "dec-1")
    clock.advance(REFUSAL_LIFE_S + 1)
    handle_record.sweep()
    handle_record.note_fetch_refused("pre-1", "dec-2")
    case.assertEqual(handle_record.distrusted(), frozenset())


def test_servers_that_peers_distrust_get_no_prompts(case):
    """Guards against each instance wasting a prompt before it distrusts a server."""
    handle_record, _ = make_record(lambda: frozenset(("pre-2",)))
    case.assertEqual(handle_record.distrusted(), {"pre-2"})
    case.assertTrue(handle_record.is_suspect("pre-2"))
    case.assertEqual(handle_record.own_distrusted(), frozenset())


load_tests = collect(globals())
