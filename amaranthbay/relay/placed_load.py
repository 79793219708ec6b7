"""Load that this instance has placed on backend servers."""

from amaranthbay.fleet.reports import ServerLoad

__all__ = ["PlacedLoad"]


class PlacedLoad:
    """Load by backend server; `add` returns the function that removes its entry."""

    def __init__(self):
        self._loads = {}
        self._release_callbacks = []
        self._memory_callbacks = []

    def on_release(self, callback):
        """Calls ``callback()`` after load was removed."""
        self._release_callbacks.append(callback)

    def on_memory_change(self, callback):
        """Calls ``callback()`` after load with KV cache was added or removed."""
        self._memory_callbacks.append(callback)

    def add(self, server, load):
        """Adds load to a server.

        Args:
            server: Name of the server.
            load: `ServerLoad` to add.

        Returns:
            Function that removes the load; further calls do nothing.
        """
        self._loads[server] = self._loads.get(server, ServerLoad()) + load
        self._notify_memory(load)
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
        self._notify_memory(load)
        for callback in self._release_callbacks:
            callback()

    def _notify_memory(self, load):
        if load.memory_tokens:
            for callback in self._memory_callbacks:
                callback()

    def loads(self):
        """Returns the `ServerLoad` by name of the server."""
        return self._loads
