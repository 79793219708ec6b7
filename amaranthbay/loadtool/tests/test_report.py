"""Figures of the load tool."""

from amaranthbay.loadtool.generator import Outcome
from amaranthbay.loadtool.profiles import load_profile
from amaranthbay.loadtool.report import figures, format_table
from amaranthbay.loadtool.scenario import Scenario, Trace
from amaranthbay.utils.testing import collect


def outcome(number, interactive, status, first_s=None, gaps_s=(), tokens=100):
    """Returns an outcome that ended after one second."""
    return Outcome(
        number, interactive, tokens, status, "", 0.0, first_s, 1.0, list(gaps_s)
    )


def test_goodput_needs_both_targets(case):
    """Guards against an answer that counts although its tokens came too slowly."""
    outcomes = (
        outcome(0, True, "answered", 0.5, (0.02, 0.02)),
        outcome(1, True, "answered", 0.5, (0.02, 0.2)),
        outcome(2, True, "answered", 1.4, (0.02, 0.02)),
        outcome(3, True, "refused"),
        outcome(4, False, "answered", 9.0, (0.2, 0.2)),
        outcome(5, False, "unfinished"),
    )
    scenario = Scenario(load_profile("svealand"), "random")
    found = figures(scenario, Trace(outcomes, 1000, 50, (100.0,), 1.0))
    case.assertEqual(found.goodput_interactive, 0.25)
    case.assertEqual(found.goodput_patient, 0.5)
    case.assertEqual(found.wasted, 0.05)
    case.assertEqual(found.late, 0.4)
    case.assertEqual(found.refused_interactive, 0.25)
    case.assertEqual(found.unfinished_patient, 0.5)
    case.assertIn("random", format_table([(scenario, found)]))


def test_targets_scale_with_the_engines(case):
    """Guards against a slowed deployment that is held to unscaled targets."""
    outcomes = (outcome(0, True, "answered", 2.0, (0.1,)),)
    for scale, expected in ((1.0, 0.0), (2.0, 1.0)):
        scenario = Scenario(load_profile("svealand"), "random", scale=scale)
        found = figures(scenario, Trace(outcomes, 1, 0, (), 1.0))
        case.assertEqual(found.goodput_interactive, expected)


load_tests = collect(globals())
