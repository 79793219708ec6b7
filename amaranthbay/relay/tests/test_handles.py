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


def test_refusals_of_one_decode_server_prove_nothing(case):
    """Guards against distrusting a prefill server because a decode server is full or
    switches to the other pool."""
    handle_record, _ = make_record()
    for _ in range(3):
        handle_record.note_fetch_refused("pre-1", "dec-1")
    case.assertTrue(handle_record.is_suspect("pre-1"))
    case.assertEqual(handle_record.distrusted(), frozenset())


def test_server_is_tried_again_ever_less_often(case):
    """Guards against a server that is never tried again, and against a wasted prompt
    every few seconds."""
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
    """Guards against refusals that add up over hours."""
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
    """Guards against a wasted prompt at each instance."""
    handle_record, _ = make_record(lambda: frozenset(("pre-2",)))
    case.assertEqual(handle_record.distrusted(), {"pre-2"})
    case.assertTrue(handle_record.is_suspect("pre-2"))
    case.assertEqual(handle_record.own_distrusted(), frozenset())


load_tests = collect(globals())
