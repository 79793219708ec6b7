"""Tests of the load tool's figures."""

from amaranthbay.loadtool.generator import Outcome
from amaranthbay.loadtool.profiles import load_profile
from amaranthbay.loadtool.report import compute_figures, format_table
from amaranthbay.loadtool.scenario import Scenario, Trace
from amaranthbay.utils.testing import collect


def outcome(number, interactive, status, first_s=None, gaps_s=(), tokens=100):
    """Returns the `Outcome` of a request that ended after one second."""
    return Outcome(
        number, interactive, tokens, status, "", 0.0, first_s, 1.0, list(gaps_s)
    )


def test_goodput_needs_both_targets(case):
    """Guards against goodput that counts answers which missed one of the targets."""
    outcomes = (
        outcome(0, True, "answered", 0.5, (0.02, 0.02)),
        outcome(1, True, "answered", 0.5, (0.02, 0.2)),
        outcome(2, True, "answered", 1.4, (0.02, 0.02)),
        outcome(3, True, "refused"),
        outcome(4, False, "answered", 9.0, (0.2, 0.2)),
        outcome(5, False, "unfinished"),
    )
    scenario = Scenario(load_profile("svealand"), "random")
    figures = compute_figures(scenario, Trace(outcomes, 1000, 50, (100.0,), 1.0))
    case.assertEqual(figures.goodput_interactive, 0.25)
    case.assertEqual(figures.goodput_patient, 0.5)
    case.assertEqual(figures.wasted, 0.05)
    case.assertEqual(figures.late, 0.4)
    case.assertEqual(figures.refused_interactive, 0.25)
    case.assertEqual(figures.unfinished_patient, 0.5)
    case.assertIn("random", format_table([(scenario, figures)]))


def test_targets_scale_with_the_engines(case):
    """Guards against unscaled targets for a deployment of scaled engines."""
    outcomes = (outcome(0, True, "answered", 2.0, (0.1,)),)
    for scale, expected in ((1.0, 0.0), (2.0, 1.0)):
        scenario = Scenario(load_profile("svealand"), "random", scale=scale)
        figures = compute_figures(scenario, Trace(outcomes, 1, 0, (), 1.0))
        case.assertEqual(figures.goodput_interactive, expected)


load_tests = collect(globals())
