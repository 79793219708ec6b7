"""Waiting streams, and the servers that one pass over them sees."""

import math
from dataclasses import dataclass

from gevent.event import AsyncResult

from amaranthbay.relay.choice import USABLE_MEMORY_SHARE, choose_prefill, reachable
from amaranthbay.routing import Stage
from amaranthbay.scheduling.streams import free_places

__all__ = ["CandidateCache", "WaitingStream"]


@dataclass(eq=False)
class WaitingStream:
    """A stream in the queue.

    Attributes:
        call: `Call` of the stream.
        excluded: Names of servers that must not be used.
        must_skip_prefill: Whether the decode server must compute the prompt.
        continued: Whether the caller already has events of the stream.
        version: Software version of the servers that may be used; None for any.
        need_tokens: KV cache tokens that it needs on the decode server.
        since: Monotonic time at which the wait began.
        until: Monotonic time at which the wait is given up.
        ready: Gets the ``Result[Placement, Refusal]`` or the exception that ends the
            wait.
        taken: Whether the waiting greenlet has taken the `Placement`. If it is killed
            before that, `StreamQueue.place` releases the placement.
        returned: Whether its caller has probably come back after a refusal.
    """

    call: object
    excluded: frozenset
    must_skip_prefill: bool
    continued: bool
    version: str | None
    need_tokens: int
    since: float
    until: float
    ready: AsyncResult
    taken: bool = False
    returned: bool = False

    def __post_init__(self):
        # Streams with the same key may use the same servers.
        self.servers_key = self.call.service.name, self.version, self.excluded


class CandidateCache:
    """Candidates by service and stage during one pass."""

    def __init__(self, ctx):
        self._ctx = ctx
        self._by_stage = {}
        self._usable = {}
        self._prefill_waits = {}
        self._timings = {}
        self._unfit = {}
        self._places = {}
        self._emptiest_last = {}
        self._distrusted = None
        self._instances = {}
        self._held = {}

    def note_placed(self, placement):
        """Updates the servers of a `Placement`.

        What did not fit before doesn't fit afterwards either.
        """
        hosts = placement.prefill, placement.decode
        names = {server.name for server in hosts if server is not None}
        self._by_stage = {
            key: self._ctx.updated(candidates, names)
            for key, candidates in self._by_stage.items()
        }
        for derived in (
            self._usable,
            self._prefill_waits,
            self._places,
            self._emptiest_last,
        ):
            derived.clear()

    def usable_by(self, waiting, stage, reserved=frozenset()):
        """Returns the candidates that a waiting stream may use.

        Args:
            waiting: `WaitingStream` to place.
            stage: `Stage` of the servers.
            reserved: Names of servers that are reserved for other streams.
        """
        key = stage, waiting.servers_key
        if key not in self._usable:
            excluded = waiting.excluded
            if stage is Stage.PREFILL:
                excluded = excluded | self._distrusted_servers()
            self._usable[key] = reachable(
                candidate
                for candidate in self._candidates(waiting, stage)
                if candidate.server.name not in excluded
            )
        usable = self._usable[key]
        if not reserved:
            return usable
        return [
            candidate for candidate in usable if candidate.server.name not in reserved
        ]

    def awaited_server(self, waiting, reserved):
        """Returns a set with the name of the least loaded decode server, if any.

        Args:
            waiting: `WaitingStream` that waits for memory.
            reserved: Names of servers that are reserved for other streams.
        """
        key = waiting.servers_key
        if key not in self._emptiest_last:
            by_memory = sorted(
                self.usable_by(waiting, Stage.DECODE),
                key=lambda candidate: candidate.memory_tokens,
                reverse=True,
            )
            self._emptiest_last[key] = [entry.server.name for entry in by_memory]
        # Reserved servers stay so until the end of the pass.
        names = self._emptiest_last[key]
        while names and names[-1] in reserved:
            names.pop()
        return frozenset(names[-1:])

    def _candidates(self, waiting, stage):
        key = waiting.call.service.name, stage, waiting.version
        if key not in self._by_stage:
            service, _, version = key
            self._by_stage[key] = self._ctx.candidates(service, stage, version=version)
        return self._by_stage[key]

    def _distrusted_servers(self):
        if self._distrusted is None:
            self._distrusted = frozenset(self._ctx.handles.distrusted())
        return self._distrusted

    def timing(self, service):
        """Returns the `PrefillSpeed` of a service and the start time of its decodes."""
        if service not in self._timings:
            demand = self._ctx.demand
            self._timings[service] = (
                demand.prefill_speed(service),
                demand.decode_start_s(service),
            )
        return self._timings[service]

    def placing_instances(self, service):
        """Returns by how much all instances place more streams than a busy one.

        Instances on standby place few, and count by the number that they have measured.
        """
        if service not in self._instances:
            demands = self._ctx.peers.demands(service)
            own = self._ctx.demand.own_demands().get(service)
            known = demands if own is None else [own, *demands]
            most = max((demand.streams for demand in known), default=0) or 1
            others = sum(demand.streams for demand in demands) / most
            self._instances[service] = 1 + others
        return self._instances[service]

    def prefill_wait_s(self, waiting):
        """Returns the seconds until the best prefill server starts with a prompt."""
        key = waiting.servers_key
        if key not in self._prefill_waits:
            candidates = self.usable_by(waiting, Stage.PREFILL)
            best = choose_prefill(candidates, self._ctx.rng.random())
            speed, _ = self.timing(waiting.call.service.name)
            wait_s = 0.0 if best is None else speed.wait_s(best.prefill_tokens)
            self._prefill_waits[key] = wait_s
        return self._prefill_waits[key]

    def places(self, waiting):
        """Returns how many such streams the decode servers could take, now and empty.

        It depends on the size: where a large stream would take the last place, there
        may be many for small ones.
        """
        key = waiting.servers_key, waiting.need_tokens
        if key not in self._places:
            candidates = self.usable_by(waiting, Stage.DECODE)
            used = [candidate.memory_tokens for candidate in candidates]
            limit = USABLE_MEMORY_SHARE * waiting.call.service.engine.memory_tokens
            self._places[key] = (
                free_places(used, waiting.need_tokens, limit),
                free_places([0] * len(used), waiting.need_tokens, limit),
            )
        return self._places[key]

    def note_unfit(self, waiting):
        """Records that no decode server has memory for a stream in this pass."""
        key = waiting.servers_key
        self._unfit[key] = min(self._unfit.get(key, math.inf), waiting.need_tokens)

    def is_unfit(self, waiting):
        """Returns whether a stream of this size or a smaller one did not fit."""
        return waiting.need_tokens >= self._unfit.get(waiting.servers_key, math.inf)

    def note_held(self, start):
        """Records that a `WaitingStart` may not start in this pass."""
        key = self._held_key(start)
        need_tokens = start.stream.need_tokens
        self._held[key] = min(self._held.get(key, math.inf), need_tokens)

    def is_held(self, start):
        """Returns whether one of the same urgency and rank, no larger, may not start.

        With a single priority each stream is checked, as a larger one may fit only on a
        server that has less load.
        """
        if start.rank is None:
            return False
        held_tokens = self._held.get(self._held_key(start), math.inf)
        return start.stream.need_tokens >= held_tokens

    def _held_key(self, start):
        return start.stream.servers_key, start.urgency, start.rank
