"""Live backend servers, from the platform's instance list."""

import gevent

from amaranthbay.kernel.requests import BackendServer
from amaranthbay.observe import log_event

__all__ = ["BackendDirectory"]

REFRESH_S = 1.0
# A server that failed is left out for this long; the list may still show it.
FAILED_S = 2.0


class BackendDirectory:
    """Keeps the newest instance list and the failures that were seen since."""

    def __init__(self, instance_list, clock):
        self._instance_list = instance_list
        self._clock = clock
        self._instances = ()
        self._failed_until = {}

    def refresh(self):
        """Reads the instance list once; keeps the old one on failure."""
        outcome = self._instance_list.fetch()
        if outcome.is_ok():
            self._instances = outcome.unwrap()
        else:
            log_event(
                "instance_list_failed",
                level="warning",
                detail=outcome.unwrap_err().detail,
            )
        return outcome.is_ok()

    def run(self):
        """Refreshes the list until killed."""
        while True:
            self.refresh()
            gevent.sleep(REFRESH_S)

    def entries(self):
        """Returns the daemons of the list."""
        return tuple(each for each in self._instances if each.kind == "entry")

    def is_listed(self, instance):
        """Returns whether the list shows an instance, leaving ones included."""
        return any(each.instance == instance for each in self._instances)

    def find(self, instance):
        """Returns a listed `BackendServer`, leaving ones included, or None."""
        for each in self._instances:
            if each.instance == instance and each.kind == "backend":
                return _to_server(each)
        return None

    def servers(self, pools, role=None):
        """Returns the backend servers of some pools that may get new work."""
        return tuple(
            _to_server(each)
            for each in self._instances
            if each.kind == "backend"
            and each.pool in pools
            and role in (None, each.role)
            and each.state == "live"
            and not self._has_failed(each.instance)
        )

    def workers(self):
        """Returns all backend servers of the list, leaving ones included."""
        return tuple(
            _to_server(each) for each in self._instances if each.kind == "backend"
        )

    def report_failure(self, instance):
        """Leaves a backend server out for a short time."""
        self._failed_until[instance] = self._clock.monotonic() + FAILED_S

    def _has_failed(self, instance):
        until = self._failed_until.get(instance)
        if until is None:
            return False
        if until <= self._clock.monotonic():
            del self._failed_until[instance]
            return False
        return True


def _to_server(entry):
    return BackendServer(
        instance=entry.instance,
        pool=entry.pool,
        role=entry.role,
        address=entry.address,
        availability_zone=entry.availability_zone,
        leaving=entry.state != "live",
    )
