"""Runs the state machines of hypothesis with fixed seeds."""

from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from amaranthbay.state.tests.fakes import quiet_logs

__all__ = ["finds_a_failure", "holds"]

STEPS = 40
EXAMPLES = 200


def _settings(examples, **changes):
    return settings(
        derandomize=True,
        deadline=None,
        max_examples=examples,
        stateful_step_count=STEPS,
        **changes,
    )


def holds(case, machine, examples=EXAMPLES):
    """Fails unless a state machine keeps its invariants over all examples."""
    case.enterContext(quiet_logs())
    run_state_machine_as_test(machine, settings=_settings(examples))


def finds_a_failure(case, machine, examples=EXAMPLES):
    """Fails unless a state machine breaks an invariant, as it has to without a rule.

    The failure needs no smallest example, whose search is slow.
    """
    case.enterContext(quiet_logs())
    one = _settings(
        examples, phases=[Phase.generate], report_multiple_bugs=False, print_blob=False
    )
    with case.assertRaises(AssertionError):
        run_state_machine_as_test(machine, settings=one)
