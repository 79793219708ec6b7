"""Detects prefill servers whose KV cache can't be fetched.

A handle is the name under which a prefill server keeps the KV cache of a prompt. A
faulty server may drop KV cache before a decode server fetches it. Each prompt that it
computes is then wasted, and its stream is refused. A decode server that refuses states
only that it did not run the request, and may be at fault itself. A prefill server is
therefore distrusted only after refusals of two decode servers.

Reports to other instances name the distrusted servers in the field `lost_handles`.
"""

from dataclasses import dataclass

from amaranthbay.observe import log_event

__all__ = ["HandleRecord"]

# A prefill server is distrusted once this many decode servers have refused to fetch
# from it, with no successful fetch in between.
MIN_REFUSERS = 2
# Time for which a distrusted server gets no prompts; it doubles with each further
# refusal, up to the maximum. A wasted prompt costs about a fifth of a second of a
# server.
BASE_DISTRUST_S = 2.0
MAX_DISTRUST_S = 8.0
# Time after which refusals no longer count.
REFUSAL_LIFE_S = 30.0


@dataclass(frozen=True)
class _FetchRefusals:
    """Refused fetches from one prefill server since the last successful one.

    Attributes:
        refusers: Names of the decode servers that refused.
        distrust_count: Number of periods of distrust so far.
        last_at: Monotonic time of the latest refusal.
        distrusted_until: Monotonic time until which the server gets no prompts.
    """

    refusers: frozenset
    distrust_count: int
    last_at: float
    distrusted_until: float = 0.0


class HandleRecord:
    """Refused fetches by prefill server, seen by this instance or by others."""

    def __init__(self, clock, distrusted_by_peers=frozenset):
        """Creates the record.

        Args:
            clock: `Clock`.
            distrusted_by_peers: Function that returns the names of the prefill servers
                that other instances distrust.
        """
        self._clock = clock
        self._distrusted_by_peers = distrusted_by_peers
        self._refusals = {}

    def note_fetched(self, server):
        """Records that a decode server has fetched KV cache from a prefill server."""
        self._refusals.pop(server, None)

    def note_fetch_refused(self, server, refuser):
        """Records that a decode server with free memory did not fetch KV cache.

        Args:
            server: Name of the prefill server.
            refuser: Name of the decode server.
        """
        now = self._clock.monotonic()
        previous = self._refusals.get(server, _FetchRefusals(frozenset(), 0, now))
        refusers = previous.refusers | {refuser}
        distrust_count, distrusted_until = previous.distrust_count, 0.0
        if len(refusers) >= MIN_REFUSERS:
            distrust_s = min(MAX_DISTRUST_S, BASE_DISTRUST_S * 2**distrust_count)
            distrusted_until = now + distrust_s
            distrust_count += 1
            log_event(
                "handles_distrusted",
                level="warning",
                backend_server=server,
                times=distrust_count,
                seconds=distrust_s,
            )
        self._refusals[server] = _FetchRefusals(
            refusers, distrust_count, now, distrusted_until
        )

    def is_suspect(self, server):
        """Returns whether the last fetch was refused or other instances distrust it."""
        return server in self._refusals or server in self._distrusted_by_peers()

    def own_distrusted(self):
        """Returns the names of the prefill servers that this instance distrusts now."""
        now = self._clock.monotonic()
        return frozenset(
            name
            for name, refusals in self._refusals.items()
            if now < refusals.distrusted_until
        )

    def distrusted(self):
        """Returns the names of the prefill servers that any instance distrusts."""
        return self.own_distrusted() | self._distrusted_by_peers()

    def sweep(self):
        """Forgets refusals that no longer count."""
        oldest = self._clock.monotonic() - REFUSAL_LIFE_S
        self._refusals = {
            name: refusals
            for name, refusals in self._refusals.items()
            if refusals.last_at >= oldest
        }
