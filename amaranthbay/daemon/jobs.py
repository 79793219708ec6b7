"""Background jobs of a daemon, restarted after an exception."""

import gevent

from amaranthbay.observe import log_event

__all__ = ["JobGroup"]

# A job that fails at once must not occupy the CPU that requests need.
RESTART_DELAY_S = 1.0


class JobGroup:
    """Greenlets that run until the daemon stops."""

    def __init__(self, clock):
        self._clock = clock
        self._greenlets = []

    def start(self, name, function, *args):
        """Runs a function in a greenlet; runs it again if it raises."""
        self._greenlets.append(gevent.spawn(self._run, name, function, args))

    def _run(self, name, function, args):
        while True:
            try:
                function(*args)
                return
            except Exception as exc:
                # Without the restart, one exception would end the job for good.
                log_event("job_failed", level="error", exc=exc, job=name)
            self._clock.sleep(RESTART_DELAY_S)

    def stop(self):
        """Ends all jobs."""
        gevent.killall(self._greenlets)
