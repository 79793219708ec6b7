"""Direct probes of backend servers for a daemon that is cut off."""

import gevent.pool
import msgspec

from amaranthbay.utils.http import json_exchange

__all__ = ["DirectProbes"]

PROBE_TIMEOUT_S = 1.0
CONFIRMED_S = 3.0
# Probes at a time and in one round; bounds the load of a daemon that is cut off.
CONCURRENT = 16
BATCH = 64


class _LoadReply(msgspec.Struct):
    leaving: bool = False


class DirectProbes:
    """Asks backend servers themselves whether they are live."""

    def __init__(self, clock):
        self._clock = clock
        self._confirmed = {}
        self._next = 0

    def confirms(self, instance):
        """Returns whether a server answered as live a short time ago."""
        at = self._confirmed.get(instance, float("-inf"))
        return self._clock.monotonic() - at <= CONFIRMED_S

    def probe(self, entries):
        """Probes the next batch of servers, in turn."""
        if not entries:
            return
        start = self._next % len(entries)
        batch = (*entries[start:], *entries[:start])[:BATCH]
        self._next = start + len(batch)
        pool = gevent.pool.Pool(CONCURRENT)
        pool.map(self._probe, batch)
        known = {entry.instance for entry in entries}
        for instance in self._confirmed.keys() - known:
            del self._confirmed[instance]

    def _probe(self, entry):
        outcome = json_exchange(
            entry.address, "GET", "/load", timeout_s=PROBE_TIMEOUT_S
        )
        if outcome.is_ok() and _is_live(*outcome.unwrap()):
            self._confirmed[entry.instance] = self._clock.monotonic()
        else:
            self._confirmed.pop(entry.instance, None)


def _is_live(status, body):
    """Returns whether a reply is that of a server that takes new work.

    A plain service has no load report; any answer but an error of the server
    shows that it is live.
    """
    if status >= 500:
        return False
    try:
        return not msgspec.json.decode(body, type=_LoadReply).leaving
    except msgspec.DecodeError:
        return True
