"""Rendezvous order: spread and movement."""

from collections import Counter

from hypothesis import given, settings, strategies as st

from amaranthbay.membership import rendezvous_order
from amaranthbay.utils.testing import collect

KEYS = [f"ws-{number}" for number in range(2000)]
NAMES = st.sets(st.text("abcdef-0123456789", min_size=1), min_size=1, max_size=20)


@settings(derandomize=True)
@given(key=st.text(), names=NAMES, absent=st.data())
def check_removal(key, names, absent):
    gone = absent.draw(st.sampled_from(sorted(names)))
    order = rendezvous_order(key, names)
    left = tuple(name for name in order if name != gone)
    assert rendezvous_order(key, names - {gone}) == left


def test_removal_keeps_the_order_of_the_others(case):
    """Guards against keys that move although their name stays."""
    check_removal()


def test_keys_spread_evenly(case):
    """Guards against names that get far more keys than others."""
    names = [f"entry-{number}" for number in range(10)]
    firsts = Counter(rendezvous_order(key, names)[0] for key in KEYS)
    case.assertEqual(len(firsts), len(names))
    case.assertLess(max(firsts.values()), 1.3 * len(KEYS) / len(names))
    case.assertGreater(min(firsts.values()), 0.7 * len(KEYS) / len(names))


load_tests = collect(globals())
