"""Pauses during which backend servers want no requests.

During a burst, an overloaded server spends time on refusing requests. It therefore
states after which time it will take requests again.
"""

from amaranthbay.observe import log_event

__all__ = ["ServerPauses"]

# Longer pauses are cut to this, after which the server is tried again. A server that is
# overloaded for so long is replaced earlier.
MAX_PAUSE_S = 600.0
# Requests that a server may get during its pause, for all causes together. As placement
# skips the server, they serve work that is already placed: calls that release what the
# server holds, and streams whose prompt is computed.
MAX_REQUESTS_IN_PAUSE = 2


class _Pause:
    """A server's pause.

    Attributes:
        until: Monotonic time at which it ends.
        sent: Requests that were sent to the server during it.
    """

    def __init__(self, until):
        self.until = until
        self.sent = 0


class ServerPauses:
    """Pauses that servers have asked this instance for.

    Pauses aren't shared between instances: a server asks each one for itself, as its
    limit holds per instance.
    """

    def __init__(self, clock):
        self._clock = clock
        self._pauses = {}

    def note_pause(self, server_name, seconds):
        """Records that a server wants no more requests for some seconds."""
        now = self._clock.monotonic()
        if seconds > MAX_PAUSE_S:
            log_event(
                "pause_shortened",
                level="warning",
                backend_server=server_name,
                seconds=seconds,
            )
            seconds = MAX_PAUSE_S
        current = self._pauses.get(server_name)
        if current is not None and current.until >= now + seconds:
            return
        log_event("pause_asked", backend_server=server_name, seconds=round(seconds, 3))
        pause = _Pause(now + seconds)
        if current is not None and current.until > now:
            # The limit also holds for the current pause, so its requests still count.
            pause.sent = current.sent
        self._pauses[server_name] = pause

    def left_s(self, server_name):
        """Returns the seconds that are left of a server's pause; 0 if it has none."""
        pause = self._pauses.get(server_name)
        if pause is None:
            return 0.0
        return max(0.0, pause.until - self._clock.monotonic())

    def may_send(self, server_name):
        """Returns whether another request may be sent, and counts it if so."""
        if not self.left_s(server_name):
            return True
        pause = self._pauses[server_name]
        if pause.sent >= MAX_REQUESTS_IN_PAUSE:
            return False
        pause.sent += 1
        return True

    def sweep(self):
        """Forgets the pauses that are over."""
        self._pauses = {
            server_name: pause
            for server_name, pause in self._pauses.items()
            if self.left_s(server_name)
        }
