"""Which prefill servers get no prompts since their KV cache can't be fetched."""

from amaranthbay.relay.handles import (
    BASE_PAUSE_S,
    MAX_PAUSE_S,
    REFUSAL_LIFE_S,
    HandleRecord,
)
from amaranthbay.utils.testing import ManualClock, collect


def record(distrusted_by_peers=frozenset):
    clock = ManualClock()
    return HandleRecord(clock, distrusted_by_peers), clock


def test_refusals_of_one_decode_server_prove_nothing(case):
    """Guards against a pool that loses a prefill server since a decode server is full,
    or on its way into the other pool."""
    made, _ = record()
    for _ in range(3):
        made.missed("pre-1", "dec-1")
    case.assertTrue(made.is_suspect("pre-1"))
    case.assertEqual(made.distrusted(), frozenset())


def test_server_is_tried_again_ever_less_often(case):
    """Guards against a server that stays out for ever, and against a prompt in vain
    each few seconds."""
    made, clock = record()
    made.missed("pre-1", "dec-1")
    made.missed("pre-1", "dec-2")
    case.assertEqual(made.distrusted(), {"pre-1"})
    clock.advance(BASE_PAUSE_S + 0.1)
    case.assertEqual(made.distrusted(), frozenset())
    made.missed("pre-1", "dec-1")
    clock.advance(BASE_PAUSE_S + 0.1)
    case.assertEqual(made.distrusted(), {"pre-1"})
    for _ in range(9):
        made.missed("pre-1", "dec-2")
    clock.advance(MAX_PAUSE_S + 0.1)
    case.assertEqual(made.distrusted(), frozenset())


def test_fetch_clears_a_server(case):
    """Guards against refusals that add up over hours."""
    made, clock = record()
    for number in range(5):
        made.missed("pre-1", f"dec-{number}")
        made.fetched("pre-1")
    case.assertEqual(made.distrusted(), frozenset())
    case.assertFalse(made.is_suspect("pre-1"))
    made.missed("pre-1", "dec-1")
    clock.advance(REFUSAL_LIFE_S + 1)
    made.sweep()
    made.missed("pre-1", "dec-2")
    case.assertEqual(made.distrusted(), frozenset())


def test_others_are_believed(case):
    """Guards against a prompt in vain at each instance."""
    made, _ = record(lambda: frozenset(("pre-2",)))
    case.assertEqual(made.distrusted(), {"pre-2"})
    case.assertTrue(made.is_suspect("pre-2"))
    case.assertEqual(made.own(), frozenset())


load_tests = collect(globals())
