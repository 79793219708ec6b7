"""Work that this daemon has placed on backend servers."""

from amaranthbay.fleet.reports import ServerLoad

__all__ = ["WorkLedger"]


class WorkLedger:
    """Counts by server; each entry is taken back by the function it returned."""

    def __init__(self):
        self._loads = {}
        self._watchers = []
        self._memory_watchers = []

    def on_release(self, callback):
        """Calls ``callback()`` after work has ended."""
        self._watchers.append(callback)

    def on_memory(self, callback):
        """Calls ``callback()`` after KV cache was placed or freed."""
        self._memory_watchers.append(callback)

    def add(self, server, load):
        """Adds a `ServerLoad` and returns a function that removes it once."""
        self._loads[server] = self._loads.get(server, ServerLoad()) + load
        self._notify_memory(load)
        pending = [load]

        def release():
            if pending:
                self._subtract(server, pending.pop())

        return release

    def _subtract(self, server, load):
        negative = ServerLoad(-load.running, -load.memory_tokens, -load.prefill_tokens)
        left = self._loads[server] + negative
        if left == ServerLoad():
            del self._loads[server]
        else:
            self._loads[server] = left
        self._notify_memory(load)
        for callback in self._watchers:
            callback()

    def _notify_memory(self, load):
        if load.memory_tokens:
            for callback in self._memory_watchers:
                callback()

    def loads(self):
        """Returns `ServerLoad` by server."""
        return self._loads
