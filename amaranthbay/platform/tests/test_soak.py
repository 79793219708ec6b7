"""Seeds of the soak test that once failed, each as a short run of real processes."""

from amaranthbay.platform.tests.soak.run import run_seed
from amaranthbay.utils.testing import collect

TRAFFIC_S = 12.0


def test_reload_while_processes_start(case):
    """Guards against the failure of seed 302: a SIGHUP ended a process that had not yet
    begun to serve, and no other test noticed."""
    outcome = run_seed(302, TRAFFIC_S)
    case.assertEqual(outcome.violations, ())
    case.assertGreater(outcome.answered, outcome.requests // 2)


load_tests = collect(globals())
