"""Prefix index: own placements, late and gappy events, bounds, error."""

from amaranthbay.placement.prefix_index import CONFIRMED_HALF_LIFE_S, PrefixIndex
from amaranthbay.utils.testing import collect

BLOCKS = (11, 12, 13)


def event(number, kind, block):
    """Returns a cache event."""
    return {"number": number, "kind": kind, "block": block}


def test_own_placement_is_believed_for_a_while(case):
    """Guards against an index that trusts a guess for ever."""
    index = PrefixIndex()
    index.record("p-1", BLOCKS, 0.0)
    case.assertEqual(index.cached_tokens("p-1", BLOCKS, 1.0), 3 * 1024)
    case.assertEqual(index.cached_tokens("p-2", BLOCKS, 1.0), 0)
    case.assertEqual(index.cached_tokens("p-1", BLOCKS, 100.0), 0)


def test_event_confirms_for_longer(case):
    """Guards against dropping what the engine has confirmed."""
    index = PrefixIndex()
    index.record("p-1", BLOCKS[:1], 0.0)
    index.apply("p-1", [event(1, "stored", 11)], 0.0)
    later = CONFIRMED_HALF_LIFE_S / 2
    case.assertEqual(index.cached_tokens("p-1", BLOCKS, later), 1024)


def test_eviction_ends_the_prefix(case):
    """Guards against counting blocks behind an evicted one."""
    index = PrefixIndex()
    index.record("p-1", BLOCKS, 0.0)
    index.apply("p-1", [event(1, "evicted", 12)], 1.0)
    case.assertEqual(index.cached_tokens("p-1", BLOCKS, 1.0), 1024)


def test_gap_turns_confirmations_into_guesses(case):
    """Guards against trust in a block whose eviction event was lost."""
    index = PrefixIndex()
    index.apply("p-1", [event(1, "stored", 11)], 0.0)
    index.apply("p-1", [event(3, "stored", 99)], 10.0)
    case.assertEqual(index.cached_tokens("p-1", BLOCKS, 11.0), 1024)
    case.assertEqual(index.cached_tokens("p-1", BLOCKS, 100.0), 0)
    case.assertEqual(index.last_event("p-1"), 3)


def test_late_duplicate_events_change_nothing(case):
    """Guards against an old eviction that is applied after a newer store."""
    index = PrefixIndex()
    events = [event(1, "evicted", 11), event(2, "stored", 11)]
    index.apply("p-1", events, 0.0)
    index.apply("p-1", events[:1], 1.0)
    case.assertEqual(index.cached_tokens("p-1", BLOCKS, 1.0), 1024)


def test_memory_is_bounded(case):
    """Guards against an index that grows with the traffic."""
    index = PrefixIndex(capacity=10)
    for block in range(100):
        index.record("p-1", (block,), 0.0)
    case.assertEqual(len(index), 10)
    case.assertEqual(index.cached_tokens("p-1", (99,), 0.0), 1024)


def test_error_is_measured(case):
    """Guards against an index whose mistakes nobody sees."""
    index = PrefixIndex()
    index.observe("p-1", BLOCKS, 2048, 1024, 0.0)
    index.observe("p-1", BLOCKS, 0, 1024, 0.0)
    case.assertEqual(index.error.samples, 2)
    case.assertEqual(index.error.missing_tokens, 1024)
    case.assertEqual(index.error.surplus_tokens, 1024)


def test_restarted_server_is_forgotten(case):
    """Guards against a prefix expected on a server that lost its memory."""
    index = PrefixIndex()
    index.record("p-1", BLOCKS, 0.0)
    index.forget("p-1")
    case.assertEqual(index.holders(BLOCKS), ())


load_tests = collect(globals())
