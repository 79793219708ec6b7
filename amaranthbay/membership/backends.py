"""Selects backend servers for new work by instance list, peer notices and probes."""

import gevent

from amaranthbay.kernel.requests import BackendServer
from amaranthbay.membership.direct import DirectProbes
from amaranthbay.membership.notices import ActiveNotices
from amaranthbay.membership.wire import BackendState
from amaranthbay.observe import log_event

__all__ = ["BackendDirectory"]

REFRESH_INTERVAL_S = 1.0
# Time for which a failed server gets no new work; the list may still show it as live.
FAILURE_EXCLUSION_S = 2.0
# After this time without an instance list and without a message from a peer, this
# daemon can't know which servers are leaving.
CUT_OFF_AFTER_S = 5.0
# Direct probes begin earlier, so that no request is refused for lack of a confirmed
# server.
PROBE_AFTER_S = 3.0
PROBE_INTERVAL_S = 0.5


class BackendDirectory:
    """Keeps the latest instance list and later observations of its servers.

    A failed call excludes a server on this daemon only, because the daemon's own
    link may be at fault. A refusal comes from the server itself and is sent to the
    peers.
    """

    def __init__(self, instance_list, clock):
        self._instance_list = instance_list
        self._clock = clock
        self._instances = ()
        self._fetched_at = None
        self._excluded_until = {}
        self._notices = ActiveNotices(clock)
        self._probes = DirectProbes(clock)
        self._list_callbacks = []
        self._peer_silence_s = lambda: float("inf")
        self._gossip = lambda notice: None

    def use_peers(self, peer_silence_s, gossip):
        """Connects the directory to the peers.

        Args:
            peer_silence_s: Function that returns the seconds since the last message
                from any peer.
            gossip: Function that sends a `BackendNotice` to the peers.
        """
        self._peer_silence_s = peer_silence_s
        self._gossip = gossip

    def on_list(self, callback):
        """Calls ``callback(instances)`` after each successful read of the list."""
        self._list_callbacks.append(callback)

    def refresh(self):
        """Reads the instance list once; keeps the old one on failure.

        Returns:
            Whether the list was read.
        """
        outcome = self._instance_list.fetch()
        if outcome.is_err():
            log_event(
                "instance_list_failed",
                level="warning",
                detail=outcome.unwrap_err().detail,
            )
            return False
        self._apply_list(outcome.unwrap())
        return True

    def run(self):
        """Refreshes the list, and probes servers when cut off, until killed."""
        probe_greenlet = gevent.spawn(self._run_probes)
        try:
            while True:
                self.refresh()
                gevent.sleep(REFRESH_INTERVAL_S)
        finally:
            probe_greenlet.kill()

    def daemons(self):
        """Returns the `Instance` of each daemon on the list."""
        return tuple(listed for listed in self._instances if listed.kind == "entry")

    def is_listed(self, instance):
        """Returns whether an instance is on the list, leaving ones included."""
        return any(listed.instance == instance for listed in self._instances)

    def find(self, instance):
        """Returns a listed `BackendServer`, leaving ones included, or None."""
        for listed in self._instances:
            if listed.instance == instance and listed.kind == "backend":
                return _to_server(listed)
        return None

    def servers(self, pools, role=None):
        """Returns the backend servers that may get new work.

        Args:
            pools: Names of the pools to select from.
            role: Role that the servers must have; any if None.
        """
        is_cut_off = self._is_cut_off(CUT_OFF_AFTER_S)
        return tuple(
            _to_server(listed)
            for listed in self._instances
            if listed.kind == "backend"
            and listed.pool in pools
            and role in (None, listed.role)
            and listed.state == "live"
            and not self._has_failed(listed.instance)
            and not self._notices.excludes(listed.instance)
            and (not is_cut_off or self._probes.confirms(listed.instance))
        )

    def backend_servers(self):
        """Returns all backend servers on the list, leaving ones included."""
        return tuple(
            _to_server(listed) for listed in self._instances if listed.kind == "backend"
        )

    def report_failure(self, instance):
        """Excludes a backend server from new work on this daemon for a short time."""
        self._excluded_until[instance] = self._clock.monotonic() + FAILURE_EXCLUSION_S

    def report_refusal(self, instance, leaving=False):
        """Excludes a backend server that refused work and notifies the peers.

        Args:
            instance: The backend server.
            leaving: Whether it refused because it is leaving.
        """
        state = BackendState.LEAVING if leaving else BackendState.REFUSING
        notice = self._notices.create(instance, state)
        if notice is not None:
            self._gossip(notice)

    def apply_notice(self, notice):
        """Applies a `BackendNotice` from a peer; passes it on unless redundant."""
        if self._notices.apply(notice):
            log_event(
                "backend_notice",
                backend_server=notice.instance,
                state=notice.state.name.lower(),
            )
            self._gossip(notice)

    def _apply_list(self, instances):
        previous = {listed.instance for listed in self._instances}
        is_first_list = self._fetched_at is None
        self._instances = instances
        self._fetched_at = self._clock.monotonic()
        for listed in instances:
            if listed.kind != "backend":
                continue
            if listed.instance not in previous and not is_first_list:
                self._notices.clear(listed.instance)
            if listed.state != "live":
                self.report_refusal(listed.instance, leaving=True)
        self._notices.expire()
        for callback in self._list_callbacks:
            callback(instances)

    def _is_cut_off(self, silence_s):
        """Returns whether the list and all peers have been silent for too long."""
        if self._fetched_at is None or self._peer_silence_s() <= silence_s:
            return False
        return self._clock.monotonic() - self._fetched_at > silence_s

    def _run_probes(self):
        while True:
            gevent.sleep(PROBE_INTERVAL_S)
            if self._is_cut_off(PROBE_AFTER_S):
                servers = [
                    listed for listed in self._instances if listed.kind == "backend"
                ]
                self._probes.probe(servers)

    def _has_failed(self, instance):
        excluded_until = self._excluded_until.get(instance)
        if excluded_until is None:
            return False
        if excluded_until <= self._clock.monotonic():
            del self._excluded_until[instance]
            return False
        return True


def _to_server(listed):
    return BackendServer(
        instance=listed.instance,
        pool=listed.pool,
        role=listed.role,
        address=listed.address,
        availability_zone=listed.availability_zone,
        leaving=listed.state != "live",
    )
