"""Load that this instance has placed on backend servers."""

import gevent

from amaranthbay.fleet.reports import ServerLoad

__all__ = ["PLAIN_REPORT_INTERVAL_S", "PacedCallback", "PlacedLoad"]

# Shortest interval between reports of the loads of plain servers, about the time of one
# call. Most of the calls that end before the next report then cost no datagram.
PLAIN_REPORT_INTERVAL_S = 0.05


class PacedCallback:
    """Function that calls another one soon, but not more often than at an interval."""

    def __init__(self, callback, clock, interval_s=PLAIN_REPORT_INTERVAL_S):
        self._callback = callback
        self._clock = clock
        self._interval_s = interval_s
        self._next_at = clock.monotonic()
        self._pending = False

    def __call__(self):
        if self._pending:
            return
        wait_s = self._next_at - self._clock.monotonic()
        if wait_s <= 0:
            self._call()
            return
        self._pending = True
        gevent.spawn_later(wait_s, self._call)

    def _call(self):
        self._pending = False
        self._next_at = self._clock.monotonic() + self._interval_s
        self._callback()


class PlacedLoad:
    """Load by backend server; `add` returns the function that removes its entry."""

    def __init__(self):
        self._loads = {}
        self._release_callbacks = []
        self._memory_callbacks = []
        self._plain_callbacks = []

    def on_release(self, callback):
        """Calls ``callback()`` after load was removed."""
        self._release_callbacks.append(callback)

    def on_memory_change(self, callback):
        """Calls ``callback()`` after load with KV cache was added or removed."""
        self._memory_callbacks.append(callback)

    def on_plain_change(self, callback):
        """Calls ``callback()`` after load without KV cache was added or removed."""
        self._plain_callbacks.append(callback)

    def add(self, server, load):
        """Adds load to a server.

        Args:
            server: Name of the server.
            load: `ServerLoad` to add.

        Returns:
            Function that removes the load; further calls do nothing.
        """
        self._loads[server] = self._loads.get(server, ServerLoad()) + load
        self._notify_change(load)
        unreleased = [load]

        def release():
            if unreleased:
                self._subtract(server, unreleased.pop())

        return release

    def _subtract(self, server, load):
        negative = ServerLoad(-load.running, -load.memory_tokens, -load.prefill_tokens)
        remaining = self._loads[server] + negative
        if remaining == ServerLoad():
            del self._loads[server]
        else:
            self._loads[server] = remaining
        self._notify_change(load)
        for callback in self._release_callbacks:
            callback()

    def _notify_change(self, load):
        if load.memory_tokens:
            callbacks = self._memory_callbacks
        else:
            # Prompts without running requests are those of prefill servers.
            callbacks = self._plain_callbacks if load.running else ()
        for callback in callbacks:
            callback()

    def loads(self):
        """Returns the `ServerLoad` by name of the server."""
        return self._loads
