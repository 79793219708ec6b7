"""Backend servers that may get new work, from the list, peers and probes."""

import gevent

from amaranthbay.kernel.requests import BackendServer
from amaranthbay.membership.direct import DirectProbes
from amaranthbay.membership.notices import NoticeBoard
from amaranthbay.membership.wire import BackendState
from amaranthbay.observe import log_event

__all__ = ["BackendDirectory"]

REFRESH_S = 1.0
# A server that failed is left out for this long; the list may still show it.
FAILED_S = 2.0
# A list or peers older than this don't tell any more which servers are leaving.
STALE_S = 5.0
# Direct probes begin before the list is stale, so that no request is refused for
# want of a confirmed server.
PROBE_AFTER_S = 3.0
PROBE_INTERVAL_S = 0.5


class BackendDirectory:
    """Keeps the newest instance list and what was seen since.

    A failure that this daemon alone has seen stays with this daemon: its own link
    may be at fault. What a server says of itself is told to the peers.
    """

    def __init__(self, instance_list, clock):
        self._instance_list = instance_list
        self._clock = clock
        self._instances = ()
        self._fetched_at = None
        self._failed_until = {}
        self._board = NoticeBoard(clock)
        self._probes = DirectProbes(clock)
        self._list_callbacks = []
        self._peer_silence_s = lambda: float("inf")
        self._spread = lambda notice: None

    def use_peers(self, peer_silence_s, spread):
        """Connects the directory to the peers.

        Args:
            peer_silence_s: Function that returns the seconds since any peer was
                heard.
            spread: Function that tells the peers a `BackendNotice`.
        """
        self._peer_silence_s = peer_silence_s
        self._spread = spread

    def on_list(self, callback):
        """Calls ``callback(instances)`` with each list that is read."""
        self._list_callbacks.append(callback)

    def refresh(self):
        """Reads the instance list once; keeps the old one on failure."""
        outcome = self._instance_list.fetch()
        if outcome.is_err():
            log_event(
                "instance_list_failed",
                level="warning",
                detail=outcome.unwrap_err().detail,
            )
            return False
        self._take_list(outcome.unwrap())
        return True

    def run(self):
        """Refreshes the list until killed."""
        probing = gevent.spawn(self._run_probes)
        try:
            while True:
                self.refresh()
                gevent.sleep(REFRESH_S)
        finally:
            probing.kill()

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
        cut_off = self._is_cut_off(STALE_S)
        return tuple(
            _to_server(each)
            for each in self._instances
            if each.kind == "backend"
            and each.pool in pools
            and role in (None, each.role)
            and each.state == "live"
            and not self._has_failed(each.instance)
            and not self._board.excludes(each.instance)
            and (not cut_off or self._probes.confirms(each.instance))
        )

    def workers(self):
        """Returns all backend servers of the list, leaving ones included."""
        return tuple(
            _to_server(each) for each in self._instances if each.kind == "backend"
        )

    def report_failure(self, instance):
        """Leaves a backend server out for a short time."""
        self._failed_until[instance] = self._clock.monotonic() + FAILED_S

    def report_refusal(self, instance, leaving=False):
        """Leaves out a backend server that refused work, and tells the peers.

        Args:
            instance: The backend server.
            leaving: Whether it refused because it is leaving.
        """
        state = BackendState.LEAVING if leaving else BackendState.REFUSING
        notice = self._board.make(instance, state)
        if notice is not None:
            self._spread(notice)

    def apply_notice(self, notice):
        """Takes what a peer says of a backend server and passes on news."""
        if self._board.apply(notice):
            log_event(
                "backend_notice",
                backend_server=notice.instance,
                state=notice.state.name.lower(),
            )
            self._spread(notice)

    def _take_list(self, instances):
        before = {each.instance for each in self._instances}
        first = self._fetched_at is None
        self._instances = instances
        self._fetched_at = self._clock.monotonic()
        for each in instances:
            if each.kind != "backend":
                continue
            if each.instance not in before and not first:
                self._board.clear(each.instance)
            if each.state != "live":
                self.report_refusal(each.instance, leaving=True)
        self._board.expire()
        for callback in self._list_callbacks:
            callback(instances)

    def _is_cut_off(self, bound_s):
        """Returns whether neither the list nor a peer was heard for a time."""
        if self._fetched_at is None or self._peer_silence_s() <= bound_s:
            return False
        return self._clock.monotonic() - self._fetched_at > bound_s

    def _run_probes(self):
        while True:
            gevent.sleep(PROBE_INTERVAL_S)
            if self._is_cut_off(PROBE_AFTER_S):
                servers = [each for each in self._instances if each.kind == "backend"]
                self._probes.probe(servers)

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
