"""Load that this instance has placed on backend servers."""

import gevent

from amaranthbay.fleet.reports import ServerLoad

__all__ = ["PLAIN_REPORT_INTERVAL_S", "PlacedLoad", "PlainReporter"]

# Shortest interval between reports of the loads of plain servers, about the time of one
# call.
PLAIN_REPORT_INTERVAL_S = 0.05
# Change of the calls at one server that is reported before the next full report. With a
# change of 1, instances with little load send several times as many reports, and calls
# are answered no sooner.
MIN_PLAIN_CHANGE = 2


class PlainReporter:
    """Requests reports of the loads of plain servers, at a bounded rate."""

    def __init__(self, loads, report_soon, clock):
        """Creates the reporter.

        Args:
            loads: Function that returns the `ServerLoad` by name of the server.
            report_soon: Function that requests a report of changed loads.
            clock: `Clock`.
        """
        self._loads = loads
        self._report_soon = report_soon
        self._clock = clock
        self._reported = {}
        self._next_at = clock.monotonic()
        self._pending = False

    def note_change(self, server):
        """Requests a report, now or later, if the calls at a server differ."""
        if self._pending or not self._differs(server):
            return
        wait_s = self._next_at - self._clock.monotonic()
        if wait_s <= 0:
            self._report()
            return
        self._pending = True
        gevent.spawn_later(wait_s, self._report_later)

    def _differs(self, server):
        load = self._loads().get(server, ServerLoad())
        return abs(load.running - self._reported.get(server, 0)) >= MIN_PLAIN_CHANGE

    def _report_later(self):
        self._pending = False
        if any(self._differs(server) for server in {*self._loads(), *self._reported}):
            self._report()

    def _report(self):
        self._next_at = self._clock.monotonic() + PLAIN_REPORT_INTERVAL_S
        self._reported = {
            server: load.running for server, load in self._loads().items()
        }
        self._report_soon()


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
        """Calls ``callback(server)`` after a plain call was added or removed."""
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
        self._notify_change(server, load)
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
        self._notify_change(server, load)
        for callback in self._release_callbacks:
            callback()

    def _notify_change(self, server, load):
        if load.memory_tokens:
            for callback in self._memory_callbacks:
                callback()
        elif load.running:
            # Prompts without running requests are those of prefill servers.
            for callback in self._plain_callbacks:
                callback(server)

    def loads(self):
        """Returns the `ServerLoad` by name of the server."""
        return self._loads
