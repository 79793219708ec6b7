"""Notices about backend servers, from this daemon and its peers."""

from dataclasses import dataclass

from amaranthbay.membership.wire import BackendNotice, BackendState

__all__ = ["ActiveNotices"]

# A refusing server may accept work again soon after. A leaving server ends soon; its
# notice is renewed while the instance list still shows it as leaving.
NOTICE_TTL_S = {BackendState.REFUSING: 2.0, BackendState.LEAVING: 120.0}


@dataclass(frozen=True)
class _ActiveNotice:
    state: BackendState
    expires_at: float


class ActiveNotices:
    """Unexpired notices, one for each backend server."""

    def __init__(self, clock):
        self._clock = clock
        self._active = {}

    def create(self, instance, state):
        """Creates and applies a notice about a backend server.

        Returns:
            The `BackendNotice` to send to the peers; None if the active notice makes
            it redundant.

        Args:
            instance: The backend server.
            state: `BackendState` that this daemon observed just now.
        """
        seen_ms = int(self._clock.now().timestamp() * 1000)
        notice = BackendNotice(instance, state, seen_ms)
        return notice if self.apply(notice) else None

    def apply(self, notice):
        """Applies a notice unless it is redundant or out of date.

        A notice is redundant if the active one has a state of higher precedence, or
        the same state and more than half of its time left: many daemons observe the
        same state at about the same time. It is out of date if it has expired, or if
        its time lies further in the future than it would be valid.

        Returns:
            Whether it was applied and is to be sent to the peers.
        """
        now = self._clock.monotonic()
        ttl_s = NOTICE_TTL_S[notice.state]
        age_s = self._clock.now().timestamp() - notice.seen_ms / 1000
        remaining_s = ttl_s - max(0.0, age_s)
        if remaining_s <= 0 or age_s < -ttl_s:
            return False
        active = self._active.get(notice.instance)
        if active is not None and active.expires_at > now:
            active_remaining_s = active.expires_at - now
            if active.state > notice.state or (
                active.state == notice.state and active_remaining_s > ttl_s / 2
            ):
                return False
        self._active[notice.instance] = _ActiveNotice(notice.state, now + remaining_s)
        return True

    def excludes(self, instance):
        """Returns whether an active notice excludes a backend server from new work."""
        active = self._active.get(instance)
        return active is not None and active.expires_at > self._clock.monotonic()

    def expire(self):
        """Removes expired notices."""
        now = self._clock.monotonic()
        self._active = {
            instance: active
            for instance, active in self._active.items()
            if active.expires_at > now
        }

    def clear(self, instance):
        """Removes the notice about a backend server that has been replaced."""
        self._active.pop(instance, None)
