"""Requests that wait a moment for units of their workspace's quota.

Much of what a bucket lacks is there within a tenth of a second: units that refill, and
charges that peers have not confirmed yet. A short wait serves such a request in time.
A refusal would cost its caller one of few retries, and a new connection. What waits
starts in the order of its priority, so that the less urgent requests of a workspace
beyond its quota are refused first.
"""

from bisect import insort
from dataclasses import dataclass

from result import Err

__all__ = ["QuotaLine"]

# Longest wait as a part of the target of a request, and in seconds. The rest of the
# target is for the backend server.
WAIT_TARGET_SHARE = 0.15
MAX_WAIT_S = 0.25
# Interval at which a waiting request looks whether it is the first one.
LOOK_INTERVAL_S = 0.01
# Waiting requests of a workspace at an instance; each holds its body and a connection.
MAX_WAITING = 20


@dataclass(frozen=True, order=True)
class _Place:
    """Place of a request in the line of its workspace; a lower one comes first.

    Attributes:
        priority: `Call.priority`.
        arrived_at: Monotonic time of its arrival.
        request_id: Id of the request.
    """

    priority: object
    arrived_at: float
    request_id: str


class QuotaLine:
    """Charges calls to the quotas, some of them after a short wait."""

    def __init__(self, quotas, clock):
        """Creates an empty line.

        Args:
            quotas: `Quotas` of the process.
            clock: `Clock`.
        """
        self._quotas = quotas
        self._clock = clock
        # Sorted places by name of the workspace.
        self._places = {}

    def charge(self, call):
        """Charges a call to the quota of its workspace; may wait.

        Args:
            call: `Call` with a workspace.

        Returns:
            ``Result[Charge, Shortage]``.
        """
        place = _Place(call.priority, call.arrived_at, call.request_id)
        name = call.workspace.name
        places = self._places.setdefault(name, [])
        insort(places, place)
        try:
            return self._wait(call, places, place)
        finally:
            places.remove(place)
            if not places:
                self._places.pop(name, None)

    def _wait(self, call, places, place):
        workspace, units = call.workspace, call.units
        until = self._clock.monotonic() + max_wait_s(call)
        while True:
            shortage = None
            if places[0] is place:
                charged = self._quotas.try_charge(workspace, units)
                if charged.is_ok():
                    return charged
                shortage = charged.unwrap_err()
            left_s = until - self._clock.monotonic()
            retry_s = LOOK_INTERVAL_S if shortage is None else shortage.retry_s
            if retry_s > left_s or place not in places[:MAX_WAITING]:
                if shortage is None and places[0].priority == place.priority:
                    # A large request may wait before this one, which fits.
                    charged = self._quotas.try_charge(workspace, units)
                    if charged.is_ok():
                        return charged
                return Err(self._quotas.refuse(workspace, units))
            self._clock.sleep(max(LOOK_INTERVAL_S, min(retry_s, left_s)))


def max_wait_s(call):
    """Returns the longest time in seconds that a call may wait for its quota."""
    left_s = call.ends_at - call.arrived_at
    return min(MAX_WAIT_S, WAIT_TARGET_SHARE * min(call.route.target_s, left_s))
