"""Runs hypothesis state machines with deterministic examples."""

from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from amaranthbay.state.tests.fakes import quiet_logs

__all__ = ["assert_invariant_breaks", "assert_invariants_hold"]

STEPS_PER_EXAMPLE = 40
EXAMPLES = 200


def _settings(examples, **changes):
    return settings(
        derandomize=True,
        deadline=None,
        max_examples=examples,
        stateful_step_count=STEPS_PER_EXAMPLE,
        **changes,
    )


def assert_invariants_hold(case, machine, examples=EXAMPLES):
    """Fails unless a state machine keeps its invariants over all examples."""
    case.enterContext(quiet_logs())
    run_state_machine_as_test(machine, settings=_settings(examples))


def assert_invariant_breaks(case, machine, examples=EXAMPLES):
    """Fails unless a state machine breaks an invariant in one of the examples.

    Shows that a machine detects what it is meant to detect. The failing example isn't
    minimized, as this is slow.
    """
    case.enterContext(quiet_logs())
    no_shrinking = _settings(
        examples, phases=[Phase.generate], report_multiple_bugs=False, print_blob=False
    )
    with case.assertRaises(AssertionError):
        run_state_machine_as_test(machine, settings=no_shrinking)
