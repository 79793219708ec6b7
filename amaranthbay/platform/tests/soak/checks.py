"""All checks of a soak run against what callers and backend servers recorded."""

from amaranthbay.platform.tests.soak import (
    crash_checks,
    key_checks,
    quota_checks,
    request_checks,
    server_checks,
    version_checks,
)
from amaranthbay.platform.tests.soak.history import CHECKS, RunHistory

__all__ = [
    "CHECKS",
    "crash_checks",
    "find_violations",
    "key_checks",
    "quota_checks",
    "request_checks",
    "server_checks",
    "version_checks",
]


def find_violations(deployment, exchanges):
    """Runs all checks; returns a sentence for each violation.

    Args:
        deployment: `Deployment` of the run.
        exchanges: Each `Exchange` of the callers.
    """
    history = RunHistory(deployment, exchanges)
    return [violation for function in CHECKS for violation in function(history)]
