"""Backend servers that have asked to be left alone for some time.

It answers the load of a burst: a server that turns requests away spends its time on
them, and says after which time it will take some again.
"""

from amaranthbay.observe import log_event

__all__ = ["ServerPauses"]

# A server that asks for more is asked again after this time; it is replaced sooner.
LONGEST_S = 600.0
# Requests that may reach a server before the end of its pause, by all causes together.
# Placement leaves the server out, so that they serve what is placed already: calls that
# give back what the server holds, and streams whose prompt is computed.
SPARE_REQUESTS = 2


class _Pause:
    """A server's pause; changed in place by `ServerPauses`."""

    def __init__(self, until):
        self.until = until
        self.sent = 0


class ServerPauses:
    """Pauses by name of the server, of this instance alone.

    A server asks each instance by itself, since its bound is one for each.
    """

    def __init__(self, clock):
        self._clock = clock
        self._pauses = {}

    def ask(self, server, seconds):
        """Notes that a server wants no more requests for some seconds."""
        now = self._clock.monotonic()
        if seconds > LONGEST_S:
            log_event(
                "pause_shortened",
                level="warning",
                backend_server=server,
                seconds=seconds,
            )
            seconds = LONGEST_S
        known = self._pauses.get(server)
        if known is not None and known.until >= now + seconds:
            return
        log_event("pause_asked", backend_server=server, seconds=round(seconds, 3))
        pause = _Pause(now + seconds)
        if known is not None and known.until > now:
            # Both pauses hold, and their requests count together.
            pause.sent = known.sent
        self._pauses[server] = pause

    def left_s(self, server):
        """Returns the seconds until a server may get requests again; 0 if it may."""
        pause = self._pauses.get(server)
        if pause is None:
            return 0.0
        return max(0.0, pause.until - self._clock.monotonic())

    def may_send(self, server):
        """Returns whether one more request may be sent, and counts it."""
        if not self.left_s(server):
            return True
        pause = self._pauses[server]
        if pause.sent >= SPARE_REQUESTS:
            return False
        pause.sent += 1
        return True

    def sweep(self):
        """Forgets the pauses that are over."""
        self._pauses = {
            server: pause
            for server, pause in self._pauses.items()
            if self.left_s(server)
        }
