"""What this daemon and its peers have seen of backend servers."""

from dataclasses import dataclass

from amaranthbay.membership.wire import BackendNotice, BackendState

__all__ = ["NoticeBoard"]

# A refusal says little about the next moment. A server that leaves is gone soon;
# the notice is renewed while the instance list still shows it as leaving.
HOLD_S = {BackendState.REFUSING: 2.0, BackendState.LEAVING: 120.0}


@dataclass(frozen=True)
class _Held:
    state: BackendState
    until: float


class NoticeBoard:
    """Notices about backend servers that are in force."""

    def __init__(self, clock):
        self._clock = clock
        self._held = {}

    def make(self, instance, state):
        """Returns a new notice that peers should hear, or None if it is known."""
        seen_ms = int(self._clock.now().timestamp() * 1000)
        notice = BackendNotice(instance, state, seen_ms)
        return notice if self.apply(notice) else None

    def apply(self, notice):
        """Puts a notice in force; returns whether it is news to be spread.

        A notice that says little more than one in force is not news: many daemons
        notice the same thing at about the same time.
        """
        now = self._clock.monotonic()
        hold_s = HOLD_S[notice.state]
        age_s = self._clock.now().timestamp() - notice.seen_ms / 1000
        left_s = hold_s - max(0.0, age_s)
        if left_s <= 0 or age_s < -hold_s:
            return False
        held = self._held.get(notice.instance)
        if held is not None and held.until > now:
            known_s = held.until - now
            if held.state > notice.state or (
                held.state == notice.state and known_s > hold_s / 2
            ):
                return False
        self._held[notice.instance] = _Held(notice.state, now + left_s)
        return True

    def excludes(self, instance):
        """Returns whether a notice keeps new work from a backend server."""
        held = self._held.get(instance)
        return held is not None and held.until > self._clock.monotonic()

    def expire(self):
        """Drops the notices that are no longer in force."""
        now = self._clock.monotonic()
        self._held = {
            name: held for name, held in self._held.items() if held.until > now
        }

    def clear(self, instance):
        """Drops the notice about a backend server that has been replaced."""
        self._held.pop(instance, None)
