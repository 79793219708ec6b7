"""Membership and peer channel of a daemon that has no peers."""

from amaranthbay.kernel.interfaces import Membership, PeerChannel

__all__ = ["LoneChannel", "LoneMembership"]


class LoneMembership(Membership):
    """Knows only the daemon itself."""

    def __init__(self, own):
        self._own = own

    def own(self):
        return self._own

    def live(self):
        return (self._own,)

    def member(self, instance):
        return self._own if instance == self._own.instance else None

    def on_death(self, callback):
        """No other daemon can die."""


class LoneChannel(PeerChannel):
    """Reaches nobody."""

    def send(self, instance, message):
        return False

    def ask(self, instance, message, timeout_s):
        return None

    def on(self, message_type, handler):
        """No message arrives."""
