"""Limits that servers name for the requests of all instances together."""

from amaranthbay.relay.limits import ServerLimits
from amaranthbay.utils.testing import ManualClock, collect


def make_limits():
    clock = ManualClock()
    return ServerLimits(clock), clock


def test_limit_ends_only_with_an_answer_to_a_later_request(case):
    """Guards against a late answer from before the limit that ends it."""
    limits, clock = make_limits()
    sent_before = clock.monotonic()
    clock.advance(1.0)
    limits.note_limit("a", 2.0)
    limits.note_unlimited("a", sent_before)
    case.assertEqual(limits.rate_per_s("a"), 2.0)
    clock.advance(1.0)
    limits.note_unlimited("a", clock.monotonic())
    case.assertIsNone(limits.rate_per_s("a"))


load_tests = collect(globals())
