"""Servers that have asked to be left alone for some time."""

from hypothesis import given, settings, strategies as st

from amaranthbay.relay.pauses import MAX_PAUSE_S, MAX_REQUESTS_IN_PAUSE, ServerPauses
from amaranthbay.utils.testing import ManualClock, collect


def pauses():
    clock = ManualClock()
    return ServerPauses(clock), clock


def test_server_in_its_pause_gets_two_requests_at_most(case):
    """Guards against requests of any cause that together pass the bound."""
    made, clock = pauses()
    made.ask("a", 2.0)
    sent = [made.may_send("a") for _ in range(5)]
    case.assertEqual(sum(sent), MAX_REQUESTS_IN_PAUSE)
    case.assertTrue(made.may_send("b"))
    clock.advance(2.1)
    case.assertTrue(made.may_send("a"))


def test_shorter_pause_does_not_end_a_longer_one(case):
    """Guards against the answer to a request that was on its way."""
    made, clock = pauses()
    made.ask("a", 5.0)
    made.ask("a", 0.5)
    clock.advance(1.0)
    case.assertEqual(made.left_s("a"), 4.0)


def test_absurd_pause_ends(case):
    """Guards against a server that is lost for a year by one wrong number."""
    made, clock = pauses()
    made.ask("a", 3.0e7)
    clock.advance(MAX_PAUSE_S + 1.0)
    case.assertEqual(made.left_s("a"), 0.0)
    made.sweep()
    case.assertTrue(made.may_send("a"))


STEPS = st.lists(st.tuples(st.floats(0.0, 1.0), st.booleans()), max_size=60)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(STEPS)
def check_bound(steps):
    made, clock = pauses()
    asked, sent = [], []
    for pause_s, refuses in steps:
        clock.advance(pause_s / 4)
        if made.may_send("a"):
            sent.append(clock.monotonic())
            if refuses:
                asked.append((clock.monotonic(), clock.monotonic() + pause_s))
                made.ask("a", pause_s)
    for start, end in asked:
        assert sum(start < each < end for each in sent) <= 2


def test_no_series_of_refusals_passes_the_bound(case):
    """Guards against pauses that follow each other and count anew each time."""
    check_bound()


load_tests = collect(globals())
