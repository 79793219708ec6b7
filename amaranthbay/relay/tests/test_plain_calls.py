"""Attempts of plain calls and their deadlines, without a network."""

from types import SimpleNamespace
from unittest import mock

from amaranthbay.kernel.errors import Verdict
from amaranthbay.relay.plain import _PlainRun
from amaranthbay.utils.testing import ManualClock, collect


def test_call_that_must_not_repeat_gets_no_hedge_at_its_deadline(case):
    """Guards against a second run of a call whose deadline timer ends before the clock
    shows the deadline."""
    clock = ManualClock()
    route = SimpleNamespace(repeatable=False, max_attempts=2, target_s=0.1)
    call = SimpleNamespace(route=route, ends_at=clock.monotonic() + 0.01)
    run = _PlainRun(SimpleNamespace(clock=clock), None, call)

    def repeat(cause):
        clock.advance(1.0)
        return 0

    # The clock stands still, so the timer ends before it shows the deadline. A repeat
    # advances it, so that the run ends.
    with mock.patch.object(run, "_repeat", side_effect=repeat) as repeat_mock:
        refusal = run._await_answer().unwrap_err()
    repeat_mock.assert_not_called()
    case.assertIs(refusal.verdict, Verdict.MAY_HAVE_RUN)


load_tests = collect(globals())
