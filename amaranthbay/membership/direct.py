"""Direct probes of backend servers for a daemon that is cut off."""

import gevent.pool
import msgspec

from amaranthbay.utils.decoding import decode_json
from amaranthbay.utils.http import exchange_whole

__all__ = ["DirectProbes"]

PROBE_TIMEOUT_S = 1.0
CONFIRMATION_TTL_S = 3.0
# These limit the load that a daemon causes while it is cut off.
MAX_CONCURRENT_PROBES = 16
PROBE_BATCH_SIZE = 64


class _LoadReply(msgspec.Struct):
    leaving: bool = False


class DirectProbes:
    """Probes backend servers directly and records which of them are live."""

    def __init__(self, clock):
        self._clock = clock
        self._confirmed_at = {}
        self._next_index = 0

    def confirms(self, instance):
        """Returns whether a server has confirmed recently that it is live."""
        confirmed_at = self._confirmed_at.get(instance, float("-inf"))
        return self._clock.monotonic() - confirmed_at <= CONFIRMATION_TTL_S

    def probe(self, servers):
        """Probes the next batch of servers, in round-robin order.

        Args:
            servers: `Instance` of each backend server on the list.
        """
        if not servers:
            return
        start = self._next_index % len(servers)
        batch = (*servers[start:], *servers[:start])[:PROBE_BATCH_SIZE]
        self._next_index = start + len(batch)
        pool = gevent.pool.Pool(MAX_CONCURRENT_PROBES)
        pool.map(self._probe, batch)
        listed = {server.instance for server in servers}
        for instance in self._confirmed_at.keys() - listed:
            del self._confirmed_at[instance]

    def _probe(self, server):
        outcome = exchange_whole(
            server.address, "GET", "/load", timeout_s=PROBE_TIMEOUT_S
        )
        if outcome.is_ok() and _is_live(*outcome.unwrap()):
            self._confirmed_at[server.instance] = self._clock.monotonic()
        else:
            self._confirmed_at.pop(server.instance, None)


def _is_live(status, body):
    """Returns whether a reply shows that the server accepts new work.

    A plain service has no load report; any status below 500 shows that it is live.
    """
    if status >= 500:
        return False
    reply = decode_json(body, _LoadReply)
    return reply.is_err() or not reply.unwrap().leaving
