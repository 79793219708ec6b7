"""Requests to servers that have asked for a pause."""

from hypothesis import given, settings, strategies as st

from amaranthbay.relay.pauses import MAX_PAUSE_S, MAX_REQUESTS_IN_PAUSE, ServerPauses
from amaranthbay.utils.testing import ManualClock, collect


def make_pauses():
    clock = ManualClock()
    return ServerPauses(clock), clock


def test_server_in_its_pause_gets_two_requests_at_most(case):
    """Guards against more requests than the limit, over all causes together."""
    server_pauses, clock = make_pauses()
    server_pauses.note_pause("a", 2.0)
    sent = [server_pauses.may_send("a") for _ in range(5)]
    case.assertEqual(sum(sent), MAX_REQUESTS_IN_PAUSE)
    case.assertTrue(server_pauses.may_send("b"))
    clock.advance(2.1)
    case.assertTrue(server_pauses.may_send("a"))


def test_shorter_pause_does_not_end_a_longer_one(case):
    """Guards against a late answer to an earlier request that shortens the pause."""
    server_pauses, clock = make_pauses()
    server_pauses.note_pause("a", 5.0)
    server_pauses.note_pause("a", 0.5)
    clock.advance(1.0)
    case.assertEqual(server_pauses.left_s("a"), 4.0)


def test_pause_is_limited(case):
    """Guards against losing a server for a year because it states a wrong pause."""
    server_pauses, clock = make_pauses()
    server_pauses.note_pause("a", 3.0e7)
    clock.advance(MAX_PAUSE_S + 1.0)
    case.assertEqual(server_pauses.left_s("a"), 0.0)
    server_pauses.sweep()
    case.assertTrue(server_pauses.may_send("a"))


STEPS = st.lists(st.tuples(st.floats(0.0, 1.0), st.booleans()), max_size=60)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(STEPS)
def check_limit(steps):
    server_pauses, clock = make_pauses()
    pauses, sent_at = [], []
    for pause_s, refuses in steps:
        clock.advance(pause_s / 4)
        if server_pauses.may_send("a"):
            sent_at.append(clock.monotonic())
            if refuses:
                pauses.append((clock.monotonic(), clock.monotonic() + pause_s))
                server_pauses.note_pause("a", pause_s)
    for pause_start, pause_end in pauses:
        assert sum(pause_start < timestamp < pause_end for timestamp in sent_at) <= 2


def test_successive_pauses_share_the_limit(case):
    """Guards against successive pauses that each restart the count of requests."""
    check_limit()


load_tests = collect(globals())
