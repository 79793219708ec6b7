"""Background jobs of a daemon, which are restarted after an unexpected exception."""

import gevent

from amaranthbay.observe import log_event

__all__ = ["JobGroup", "run_restarting"]

# A job that fails at once on each run must not starve the requests of processor time.
RESTART_DELAY_S = 1.0


def run_restarting(clock, name, function, *args):
    """Runs a function, again after each exception, until it returns.

    Args:
        clock: `Clock`.
        name: Name of the job in the log.
        function: Function to run.
        *args: Arguments of the function.
    """
    while True:
        try:
            function(*args)
            return
        except Exception as exc:
            # Otherwise, a single unexpected exception would end the job for good.
            log_event("job_failed", level="error", exc=exc, job=name)
        clock.sleep(RESTART_DELAY_S)


class JobGroup:
    """Greenlets that run until the daemon stops."""

    def __init__(self, clock):
        self._clock = clock
        self._greenlets = []

    def start(self, name, function, *args):
        """Runs a function in a greenlet, again after each exception.

        Args:
            name: Name of the job in the log.
            function: Function to run; the job ends when it returns.
            *args: Arguments of the function.
        """
        self._greenlets.append(
            gevent.spawn(run_restarting, self._clock, name, function, *args)
        )

    def stop(self):
        """Kills all jobs."""
        gevent.killall(self._greenlets)
