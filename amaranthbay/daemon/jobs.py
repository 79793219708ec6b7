"""Background jobs of a daemon, started again after a defect."""

import gevent

from amaranthbay.observe import log_event

__all__ = ["JobGroup"]

# A job that fails at once must not take the processor from the requests.
RESTART_S = 1.0


class JobGroup:
    """Greenlets that run until the daemon stops."""

    def __init__(self, clock):
        self._clock = clock
        self._greenlets = []

    def start(self, name, function, *args):
        """Runs a function in a greenlet; runs it again if it raises."""
        self._greenlets.append(gevent.spawn(self._keep, name, function, args))

    def _keep(self, name, function, args):
        while True:
            try:
                function(*args)
                return
            except Exception as exc:
                # Without this, one defect would end the polling for good.
                log_event("job_failed", level="error", exc=exc, job=name)
            self._clock.sleep(RESTART_S)

    def stop(self):
        """Ends all jobs."""
        gevent.killall(self._greenlets)
