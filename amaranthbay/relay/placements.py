"""Placements of streams, whose load is counted until they are released."""

from dataclasses import dataclass

from amaranthbay.fleet.reports import ServerLoad
from amaranthbay.scheduling.rates import DecayingSum
from amaranthbay.scheduling.starting import expects_unknown_load
from amaranthbay.scheduling.streams import reservation_share

__all__ = ["Placement", "Placements"]

# Half-life of the placed memory from which the rate of placements is measured.
PLACED_HALF_LIFE_S = 0.5


@dataclass(frozen=True)
class Placement:
    """Servers of one attempt, whose load is counted until it is released.

    Attributes:
        prefill: `BackendServer` that computes the prompt; None if the decode server
            does.
        prefill_end_s: Expected seconds until the prefill ends, including its wait in
            the queue.
        tokens_ahead: Prompt tokens queued at the prefill server.
        decode: `BackendServer` that decodes.
        need_tokens: KV cache tokens that the attempt needs on the decode server.
        may_be_full: Whether the decode server may turn out to be full.
        counted: Names of the servers whose limit the placement has counted.
        end_prefill: Function that removes the prompt from the load of the server that
            computes it.
        release: Function that removes the attempt from the loads of both servers.
        used_credit: Credit of its priority that the start has used up; see
            `ClassCredits`.
    """

    prefill: object
    prefill_end_s: float
    tokens_ahead: int
    decode: object
    need_tokens: int
    may_be_full: bool
    counted: frozenset
    end_prefill: object
    release: object
    used_credit: float = 0.0


class Placements:
    """Counts the load of placed streams."""

    def __init__(self, ctx):
        self._ctx = ctx
        # `DecayingSum` of the memory placed, by name of the service.
        self._placed = {}
        # Time of the first placement of this process.
        self._since = None

    def _may_be_full(self, service, decode, need_tokens):
        now = self._ctx.clock.monotonic()
        if self._expects_unknown_load(now):
            return True
        placed = self._placed.get(service.name)
        per_s = placed.per_s(now) if placed else 0.0
        others = self._placing_others(service)
        memory_tokens = service.engine.memory_tokens
        memory_share = (decode.memory_tokens + need_tokens) / memory_tokens
        return memory_share > reservation_share(per_s, others, memory_tokens)

    def _expects_unknown_load(self, now):
        if self._since is None:
            self._since = now
        peers = self._ctx.peers
        registered = {entry.instance for entry in peers.registrations()}
        registered.discard(peers.own.instance)
        return expects_unknown_load(now - self._since, registered, peers.received())

    def _placing_others(self, service):
        """Returns the number of other instances that place streams.

        Those that have not measured any demand yet, as after a restart of all
        instances, are known by their loads.
        """
        statuses = self._ctx.peers.fresh_statuses()
        placing = sum(
            service.name in status.demands or bool(status.loads and not status.demands)
            for status in statuses
        )
        return placing or sum(bool(status.loads) for status in statuses)

    def add(self, call, prefill, decode, need_tokens):
        """Counts the load of an attempt and returns its `Placement`.

        Args:
            call: `Call` of the stream.
            prefill: `Candidate` that computes the prompt; None if the decode server
                does.
            decode: `Candidate` that decodes.
            need_tokens: KV cache tokens that the attempt needs.
        """
        may_be_full = self._may_be_full(call.service, decode, need_tokens)
        placed_load = self._ctx.placed_load
        tokens = call.head.prompt_tokens
        name, now = call.service.name, self._ctx.clock.monotonic()
        placed = self._placed.setdefault(name, DecayingSum(PLACED_HALF_LIFE_S))
        placed.add(need_tokens, now)
        prefill_host = (prefill or decode).server
        # Counted here, as a computed prompt would be wasted without its decode.
        limits = self._ctx.limits
        counted = frozenset(
            name
            for name in {decode.server.name, prefill_host.name}
            if limits.rate_per_s(name) is not None and limits.withdraw(name)
        )
        end_decode = placed_load.add(
            decode.server.name, ServerLoad(running=1, memory_tokens=need_tokens)
        )
        end_prefill = placed_load.add(
            prefill_host.name, ServerLoad(prefill_tokens=tokens)
        )

        def release():
            end_prefill()
            end_decode()

        speed = self._ctx.demand.prefill_speed(name)
        wait_s = speed.wait_s(prefill.prefill_tokens) if prefill else 0.0
        return Placement(
            prefill and prefill.server,
            wait_s + speed.prompt_s(tokens),
            prefill.prefill_tokens if prefill else 0,
            decode.server,
            need_tokens,
            may_be_full,
            counted,
            end_prefill,
            release,
        )
