"""Rendezvous order: even distribution, and stability when a name is removed."""

from collections import Counter

from hypothesis import given, settings, strategies as st

from amaranthbay.membership import rendezvous_order
from amaranthbay.utils.testing import collect

KEYS = [f"ws-{number}" for number in range(2000)]
NAMES = st.sets(st.text("abcdef-0123456789", min_size=1), min_size=1, max_size=20)


@settings(derandomize=True)
@given(key=st.text(), names=NAMES, data=st.data())
def check_removal(key, names, data):
    removed = data.draw(st.sampled_from(sorted(names)))
    order = rendezvous_order(key, names)
    remaining = tuple(name for name in order if name != removed)
    assert rendezvous_order(key, names - {removed}) == remaining


def test_removal_keeps_the_order_of_the_others(case):
    """Guards against keys that move although their name was not removed."""
    check_removal()


def test_keys_spread_evenly(case):
    """Guards against names that get far more keys than others."""
    names = [f"entry-{number}" for number in range(10)]
    counts = Counter(rendezvous_order(key, names)[0] for key in KEYS)
    case.assertEqual(len(counts), len(names))
    case.assertLess(max(counts.values()), 1.3 * len(KEYS) / len(names))
    case.assertGreater(min(counts.values()), 0.7 * len(KEYS) / len(names))


load_tests = collect(globals())
