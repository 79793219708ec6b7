"""Prefill servers whose KV cache other servers cannot fetch.

A prefill server may drop what it has computed before a decode server fetches it. Each
prompt that it reads is then read in vain, and its stream is refused. The decode server
only says that it does not run the request, and may be at fault itself, so that it takes
the refusals of two of them.
"""

from dataclasses import dataclass

from amaranthbay.observe import log_event

__all__ = ["HandleRecord"]

# Decode servers that have refused fetches, with none that succeeded in between, after
# which a prefill server gets no prompts for some time.
REFUSERS = 2
# Time without prompts, twice as long after each further miss. A prompt that is read
# in vain costs about a fifth of a second of a server.
PAUSE_S = 2.0
PAUSE_LIMIT_S = 8.0
# A refusal this long ago says nothing about the server any more.
LIFE_S = 30.0


@dataclass(frozen=True)
class _Misses:
    refusers: frozenset
    count: int
    at: float
    until: float = 0.0


class HandleRecord:
    """Refused fetches by prefill server, of this instance and of others."""

    def __init__(self, clock, of_peers=frozenset):
        """Creates the record.

        Args:
            clock: `Clock`.
            of_peers: Function that returns the names of the prefill servers that
                other instances distrust.
        """
        self._clock = clock
        self._of_peers = of_peers
        self._misses = {}

    def fetched(self, server):
        """Notes that a decode server has fetched KV cache of a prefill server."""
        self._misses.pop(server, None)

    def missed(self, server, refuser):
        """Notes that a decode server with room did not fetch it.

        Args:
            server: Name of the prefill server.
            refuser: Name of the decode server.
        """
        now = self._clock.monotonic()
        known = self._misses.get(server, _Misses(frozenset(), 0, now))
        refusers = known.refusers | {refuser}
        count, until = known.count, 0.0
        if len(refusers) >= REFUSERS:
            pause_s = min(PAUSE_LIMIT_S, PAUSE_S * 2**count)
            until = now + pause_s
            count += 1
            log_event(
                "handles_distrusted",
                level="warning",
                backend_server=server,
                times=count,
                seconds=pause_s,
            )
        self._misses[server] = _Misses(refusers, count, now, until)

    def is_suspect(self, server):
        """Returns whether the latest fetch from a prefill server was refused."""
        return server in self._misses or server in self._of_peers()

    def own(self):
        """Returns the names of the prefill servers that this instance distrusts."""
        now = self._clock.monotonic()
        return frozenset(
            name for name, misses in self._misses.items() if now < misses.until
        )

    def distrusted(self):
        """Returns the names of the prefill servers that get no prompts."""
        return self.own() | self._of_peers()

    def sweep(self):
        """Forgets refusals that no longer count."""
        oldest = self._clock.monotonic() - LIFE_S
        self._misses = {
            name: misses for name, misses in self._misses.items() if misses.at >= oldest
        }
