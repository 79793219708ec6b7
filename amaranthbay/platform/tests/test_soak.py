"""Seeds of the soak that failed once, each as a short run of real processes."""

from amaranthbay.platform.tests.soak.run import run_seed
from amaranthbay.utils.testing import collect

LENGTH_S = 12.0


def test_reload_while_processes_start(case):
    """Guards against the failure of seed 302: a SIGHUP ended a process that had not
    begun to serve, and was not noticed elsewhere."""
    outcome = run_seed(302, LENGTH_S)
    case.assertEqual(outcome.broken, ())
    case.assertGreater(outcome.answered, outcome.requests // 2)


load_tests = collect(globals())
