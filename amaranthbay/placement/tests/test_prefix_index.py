"""Tests of the prefix index: placements, late and missing events, bounds, error."""

from amaranthbay.placement.prefix_index import CONFIRMED_HALF_LIFE_S, PrefixIndex
from amaranthbay.utils.testing import collect

BLOCKS = (11, 12, 13)


def event(number, kind, block):
    """Returns a cache event."""
    return {"number": number, "kind": kind, "block": block}


def test_own_placement_counts_as_cached_until_it_expires(case):
    """Guards against an unconfirmed entry that counts as cached for ever."""
    index = PrefixIndex()
    index.record("p-1", BLOCKS, 0.0)
    case.assertEqual(index.cached_tokens("p-1", BLOCKS, 1.0), 3 * 1024)
    case.assertEqual(index.cached_tokens("p-2", BLOCKS, 1.0), 0)
    case.assertEqual(index.cached_tokens("p-1", BLOCKS, 100.0), 0)


def test_event_confirms_for_longer(case):
    """Guards against confidence in a confirmed entry that decays too fast."""
    index = PrefixIndex()
    index.record("p-1", BLOCKS[:1], 0.0)
    index.apply_events("p-1", [event(1, "stored", 11)], 0.0)
    later = CONFIRMED_HALF_LIFE_S / 2
    case.assertEqual(index.cached_tokens("p-1", BLOCKS, later), 1024)


def test_eviction_ends_the_prefix(case):
    """Guards against counting blocks that follow an evicted one."""
    index = PrefixIndex()
    index.record("p-1", BLOCKS, 0.0)
    index.apply_events("p-1", [event(1, "evicted", 12)], 1.0)
    case.assertEqual(index.cached_tokens("p-1", BLOCKS, 1.0), 1024)


def test_event_gap_makes_entries_unconfirmed(case):
    """Guards against trust in a block whose eviction event was lost."""
    index = PrefixIndex()
    index.apply_events("p-1", [event(1, "stored", 11)], 0.0)
    index.apply_events("p-1", [event(3, "stored", 99)], 10.0)
    case.assertEqual(index.cached_tokens("p-1", BLOCKS, 11.0), 1024)
    case.assertEqual(index.cached_tokens("p-1", BLOCKS, 100.0), 0)
    case.assertEqual(index.last_event("p-1"), 3)


def test_late_duplicate_events_change_nothing(case):
    """Guards against an old eviction that is applied after a newer store."""
    index = PrefixIndex()
    events = [event(1, "evicted", 11), event(2, "stored", 11)]
    index.apply_events("p-1", events, 0.0)
    index.apply_events("p-1", events[:1], 1.0)
    case.assertEqual(index.cached_tokens("p-1", BLOCKS, 1.0), 1024)


def test_memory_is_bounded(case):
    """Guards against an index that grows with the traffic."""
    index = PrefixIndex(capacity=10)
    for block in range(100):
        index.record("p-1", (block,), 0.0)
    case.assertEqual(len(index), 10)
    case.assertEqual(index.cached_tokens("p-1", (99,), 0.0), 1024)


def test_error_is_measured(case):
    """Guards against index errors that aren't counted."""
    index = PrefixIndex()
    index.observe("p-1", BLOCKS, 2048, 1024, 0.0)
    index.observe("p-1", BLOCKS, 0, 1024, 0.0)
    case.assertEqual(index.error.samples, 2)
    case.assertEqual(index.error.missing_tokens, 1024)
    case.assertEqual(index.error.surplus_tokens, 1024)


def test_restarted_server_is_forgotten(case):
    """Guards against a prefix expected on a server that has lost its cache."""
    index = PrefixIndex()
    index.record("p-1", BLOCKS, 0.0)
    index.forget("p-1")
    case.assertEqual(index.prefix_holders(BLOCKS), ())


load_tests = collect(globals())
