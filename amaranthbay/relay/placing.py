"""Places streams on a prefill and a decode server, or queues them."""

import sys
from dataclasses import dataclass
from datetime import timedelta

from gevent.event import AsyncResult
from result import Err, Ok

from amaranthbay.fleet.reports import ServerLoad
from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.observe import Step, current_metrics, log_decision
from amaranthbay.relay.choice import choose_decode, choose_prefill
from amaranthbay.relay.decode_prefill import (
    FirstEventTimes,
    decode_prefill_s,
    decode_prefill_stall_s,
    prefers_decode_server,
)
from amaranthbay.relay.refusals import all_held_back
from amaranthbay.routing import Stage
from amaranthbay.scheduling.streams import (
    Pressure,
    Urgency,
    first_event_s,
    may_start,
    start_order,
    urgency_of,
)

__all__ = ["Placement", "StreamQueue", "memory_need"]

# Interval at which a waiting stream checks the queue, as memory is also freed by other
# instances.
RECHECK_INTERVAL_S = 0.03
# Shortest interval between passes over the queue; the cost of a pass grows with the
# number of requests and servers.
MIN_PASS_INTERVAL_S = 0.01
# Each waiting request holds its body and a connection.
MAX_QUEUE_LENGTH = 200
MIN_RETRY_S = 0.5
# Memory that an answer holds on average during its run, as a share of its expected
# length.
MEAN_ANSWER_SHARE = 0.75
# Share of a decode server's memory above which it may be full. Placements that other
# instances have not reported yet then matter, and their last reports are too old to be
# relied on.
UNCERTAIN_MEMORY_SHARE = 0.6
# Longest wait in the queue, in targets of the route. A caller gives up a stream without
# an event after about four targets.
MAX_WAIT_TARGETS = 3.0


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


@dataclass(eq=False)
class _WaitingStream:
    """A stream in the queue.

    Attributes:
        call: `Call` of the stream.
        excluded: Names of servers that must not be used.
        must_skip_prefill: Whether the decode server must compute the prompt.
        continued: Whether the caller already has events of the stream.
        version: Software version of the servers that may be used; None for any.
        since: Monotonic time at which the wait began.
        until: Monotonic time at which the wait is given up.
        ready: Gets the `Placement`, or the exception that ends the wait.
        taken: Whether the waiting greenlet has taken the `Placement`. If it is killed
            before that, `StreamQueue.place` releases the placement.
    """

    call: object
    excluded: frozenset
    must_skip_prefill: bool
    continued: bool
    version: str | None
    since: float
    until: float
    ready: AsyncResult
    taken: bool = False


class _CandidateCache:
    """Candidates by service and stage; valid until a stream is placed."""

    def __init__(self, ctx):
        self._ctx = ctx
        self._by_stage = {}

    def usable_by(self, waiting, stage, reserved=frozenset()):
        """Returns the candidates that a waiting stream may use.

        Args:
            waiting: `_WaitingStream` to place.
            stage: `Stage` of the servers.
            reserved: Names of servers that are reserved for other streams.
        """
        key = waiting.call.service.name, stage, waiting.version
        if key not in self._by_stage:
            service, _, version = key
            self._by_stage[key] = self._ctx.candidates(service, stage, version=version)
        excluded = waiting.excluded | reserved
        if stage is Stage.PREFILL:
            excluded = excluded | self._ctx.handles.distrusted()
        return [
            candidate
            for candidate in self._by_stage[key]
            if candidate.server.name not in excluded
        ]


class StreamQueue:
    """Streams that wait for memory of a decode server.

    `relay.admission` decides the order in which they start.
    """

    def __init__(self, ctx):
        self._ctx = ctx
        self._waiting = []
        self._next_pass_at = 0.0

    def length(self):
        """Returns the number of streams that wait."""
        return len(self._waiting)

    def place(
        self,
        call,
        excluded=frozenset(),
        must_skip_prefill=False,
        continued=False,
        version=None,
    ):
        """Waits until servers can take a stream.

        Args:
            call: `Call` of the stream.
            excluded: Names of servers that must not be used.
            must_skip_prefill: Whether the decode server must compute the prompt.
            continued: Whether the caller already has events of the stream.
            version: Software version of the servers that may be used; None for any.

        Returns:
            ``Result[Placement, Refusal]``; a refusal is returned without a wait if the
            queue is full or no server can take the stream before the wait would end.
        """
        now = self._ctx.clock.monotonic()
        since = now if continued else call.arrived_at
        until = min(call.ends_at, since + MAX_WAIT_TARGETS * call.route.target_s)
        name = call.service.name
        if not self._ctx.candidates(name, Stage.DECODE, excluded, version):
            refusal = self._no_server_refusal(
                call, excluded, until - now, continued, version
            )
            if refusal is not None:
                return Err(refusal)
        if len(self._waiting) >= MAX_QUEUE_LENGTH:
            return Err(self._overloaded("the queue is full"))
        waiting = _WaitingStream(
            call,
            excluded,
            must_skip_prefill,
            continued,
            version,
            now,
            until,
            AsyncResult(),
        )
        self._waiting.append(waiting)
        try:
            self.advance(at_once=len(self._waiting) == 1)
            return self._wait(waiting)
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)
            elif waiting.ready.successful() and not waiting.taken:
                waiting.ready.get().release()

    def _no_server_refusal(self, call, excluded, max_wait_s, continued, version):
        """Returns the refusal of a stream that has no decode server now.

        Args:
            call: `Call` of the stream.
            excluded: Names of servers that must not be used.
            max_wait_s: Seconds for which the stream may wait.
            continued: Whether the caller already has events of the stream.
            version: Software version of the servers that may be used; None for any.

        Returns:
            `Refusal`, or None if the stream may wait for a server that takes requests
            again within that time.
        """
        held = self._ctx.held_back(call.service.name, Stage.DECODE, excluded, version)
        if held is not None and held.seconds < max_wait_s:
            # A limit lets few of the streams that wait for it start in time.
            if continued or not held.by_limit:
                return None
        detail = "no decode server is known"
        if version is not None:
            detail = f"no decode server of the stream's version {version} is known"
        retry = timedelta(seconds=1)
        return not_run(Reason.NO_BACKEND_SERVER, detail, 503, retry)

    def held_back_refusal(self, call, version=None):
        """Returns a stream's `Refusal` if no decode server may get it, else None.

        Args:
            call: `Call` of the stream.
            version: Software version of the servers that may be used; None for any.
        """
        held = self._ctx.held_back(call.service.name, Stage.DECODE, version=version)
        return None if held is None else all_held_back(held, self._ctx.rng.random())

    def _wait(self, waiting):
        while True:
            if waiting.ready.ready():
                waiting.taken = True
                now = self._ctx.clock.monotonic()
                current_metrics().step_ended(
                    waiting.call.service.name, Step.QUEUE, now - waiting.since
                )
                return Ok(waiting.ready.get())
            now = self._ctx.clock.monotonic()
            if now >= waiting.until:
                self._log_no_memory(waiting)
                return Err(self._overloaded("no decode server had room in time"))
            waiting.ready.wait(min(RECHECK_INTERVAL_S, waiting.until - now))
            if not waiting.ready.ready():
                self.advance()
            refusal = None if waiting.ready.ready() else self._limit_refusal(waiting)
            if refusal is not None:
                return Err(refusal)

    def _limit_refusal(self, waiting):
        """Returns the `Refusal` of a new stream that only a limit keeps waiting."""
        if waiting.continued or not self._ctx.limits.in_force():
            return None
        name = waiting.call.service.name
        held = self._ctx.held_back(
            name, Stage.DECODE, waiting.excluded, waiting.version
        )
        if held is None or not held.by_limit:
            return None
        return all_held_back(held, self._ctx.rng.random())

    def _log_no_memory(self, waiting):
        """Logs the memory in use on the decode servers that a stream has waited for."""
        call = waiting.call
        decode_candidates = self._ctx.candidates(
            call.service.name, Stage.DECODE, waiting.excluded, waiting.version
        )
        log_decision(
            "stream_servers",
            None,
            (candidate.server.name for candidate in decode_candidates),
            "no decode server had free capacity",
            request_id=call.request_id,
            need_tokens=memory_need(call.head),
            limit_tokens=call.service.engine.memory_tokens,
            memory_tokens=[candidate.memory_tokens for candidate in decode_candidates],
            waiting=len(self._waiting),
        )

    def _overloaded(self, detail):
        seconds = MIN_RETRY_S + self._ctx.rng.uniform(0.0, 3.0)
        retry = timedelta(seconds=seconds)
        return not_run(Reason.OVERLOADED, detail, 503, retry)

    def advance(self, at_once=False):
        """Places the waiting streams that fit, the most urgent first.

        Other requests run this as they end, so an exception ends only the wait of the
        stream that it concerns.

        Args:
            at_once: Whether to run even if the last pass was a moment ago.
        """
        now = self._ctx.clock.monotonic()
        if not self._waiting or (now < self._next_pass_at and not at_once):
            return
        self._next_pass_at = now + MIN_PASS_INTERVAL_S
        candidate_cache = _CandidateCache(self._ctx)
        reserved = frozenset()
        for urgency, _, waiting in self._streams_by_urgency(now, candidate_cache):
            try:
                placement = self._try_to_place(
                    waiting, urgency, candidate_cache, reserved
                )
            except Exception:
                self._end_wait(waiting)
                continue
            if placement is not None:
                self._waiting.remove(waiting)
                waiting.ready.set(placement)
                candidate_cache = _CandidateCache(self._ctx)
            elif urgency is Urgency.IN_TIME:
                # Reserves the server that should be the first with enough free memory.
                # Smaller streams would otherwise overtake this one forever.
                reserved |= self._awaited_server(waiting, candidate_cache, reserved)

    def _end_wait(self, waiting):
        """Raises the current exception in the greenlet of a waiting stream."""
        self._waiting.remove(waiting)
        exc_info = sys.exc_info()
        waiting.ready.set_exception(exc_info[1], exc_info)

    def _awaited_server(self, waiting, candidate_cache, reserved):
        """Returns a set with the name of the least loaded decode server, if any."""
        decode_candidates = candidate_cache.usable_by(waiting, Stage.DECODE, reserved)
        emptiest = min(
            decode_candidates,
            key=lambda candidate: candidate.memory_tokens,
            default=None,
        )
        return frozenset() if emptiest is None else frozenset((emptiest.server.name,))

    def _streams_by_urgency(self, now, candidate_cache):
        """Returns ``(urgency, order time, waiting stream)`` of each stream, sorted."""
        entries = []
        order_times = start_order(
            [(stream.call, memory_need(stream.call.head)) for stream in self._waiting]
        )
        for order_time, waiting in zip(order_times, tuple(self._waiting)):
            try:
                urgency = self._urgency_of(waiting, now, candidate_cache)
            except Exception:
                self._end_wait(waiting)
                continue
            entries.append((urgency, order_time, waiting))
        return sorted(entries, key=lambda entry: entry[:2])

    def _urgency_of(self, waiting, now, candidate_cache):
        if waiting.continued:
            # The gap between events grows while it waits, and the events that were
            # sent are wasted if the stream fails.
            return Urgency.IN_TIME
        call = waiting.call
        prefill = self._best_prefill(waiting, candidate_cache)
        pressure = self._pressure(call, self._prefill_wait_s(call, prefill), 0.0)
        first_s = first_event_s(call.head.prompt_tokens, pressure)
        return urgency_of(call, first_s, now)

    def _speed(self, call):
        return self._ctx.demand.prefill_speed(call.service.name)

    def _pressure(self, call, wait_s, memory_share):
        decode_start_s = self._ctx.demand.decode_start_s(call.service.name)
        return Pressure(wait_s, self._speed(call), memory_share, decode_start_s)

    def _best_prefill(self, waiting, candidate_cache, version=None):
        """Returns the `Candidate` that should compute a prompt, or None.

        Args:
            waiting: `_WaitingStream` to place.
            candidate_cache: `_CandidateCache` of the current pass.
            version: Software version of the decode server, which must be the same;
                None while it isn't chosen.
        """
        prefill_candidates = [
            candidate
            for candidate in candidate_cache.usable_by(waiting, Stage.PREFILL)
            if version in (None, candidate.server.version)
        ]
        return choose_prefill(prefill_candidates, self._ctx.rng.random())

    def _best_decode(self, waiting, decode_candidates, candidate_cache):
        """Returns the `Candidate` that should decode a stream, or None.

        Servers of versions that have a prefill server come first. Others would have to
        compute the prompt, which delays the streams that they run.
        """
        prefill_versions = {
            candidate.server.version
            for candidate in candidate_cache.usable_by(waiting, Stage.PREFILL)
        }
        paired = [
            candidate
            for candidate in decode_candidates
            if candidate.server.version in prefill_versions
        ]
        need_tokens = memory_need(waiting.call.head)
        memory_tokens = waiting.call.service.engine.memory_tokens
        draw = self._ctx.rng.random()
        return choose_decode(paired, need_tokens, memory_tokens, draw) or choose_decode(
            decode_candidates, need_tokens, memory_tokens, draw
        )

    def _prefill_wait_s(self, call, prefill):
        """Returns the seconds until the prefill `Candidate` starts with the prompt."""
        if prefill is None:
            return 0.0
        return self._speed(call).wait_s(prefill.prefill_tokens)

    def _try_to_place(self, waiting, urgency, candidate_cache, reserved):
        """Returns the `Placement` of a waiting stream, or None if it must keep waiting.

        Args:
            waiting: `_WaitingStream` to place.
            urgency: `Urgency` of the stream.
            candidate_cache: `_CandidateCache` of the current pass.
            reserved: Names of decode servers that are reserved for other streams.
        """
        call = waiting.call
        engine = call.service.engine
        need_tokens = memory_need(call.head)
        decode_candidates = candidate_cache.usable_by(waiting, Stage.DECODE, reserved)
        decode = self._best_decode(waiting, decode_candidates, candidate_cache)
        if decode is None:
            return None
        prefill = self._best_prefill(waiting, candidate_cache, decode.server.version)
        wait_s = self._prefill_wait_s(call, prefill)
        memory_share = (decode.memory_tokens + need_tokens) / engine.memory_tokens
        if not may_start(urgency, self._pressure(call, wait_s, memory_share)):
            return None
        if waiting.must_skip_prefill or self._prefers_decode_server(
            call, prefill, decode
        ):
            prefill = None
        log_decision(
            "stream_servers",
            decode.server.name,
            (candidate.server.name for candidate in decode_candidates),
            "most free memory",
            request_id=call.request_id,
            urgency=urgency.name.lower(),
            prefill=prefill and prefill.server.name,
            software_version=decode.server.version,
            prefill_wait_s=round(wait_s, 3),
            memory_tokens=decode.memory_tokens,
            need_tokens=need_tokens,
            waiting=len(self._waiting),
        )
        return self._add_placement(
            call, prefill, decode, need_tokens, memory_share > UNCERTAIN_MEMORY_SHARE
        )

    def _prefers_decode_server(self, call, prefill, decode):
        """Returns whether the decode server should compute the prompt of a call."""
        tokens, speed = call.head.prompt_tokens, self._speed(call)
        decode_start_s = self._ctx.demand.decode_start_s(call.service.name)
        pressure = self._pressure(call, self._prefill_wait_s(call, prefill), 0.0)
        times = FirstEventTimes(
            prefill_server_s=first_event_s(tokens, pressure),
            decode_server_s=decode_prefill_s(tokens, speed) + decode_start_s,
            stall_s=decode_prefill_stall_s(tokens, speed),
        )
        return prefers_decode_server(prefill, decode, times, call.route.max_gap_s)

    def place_on_other_decode(self, call, excluded, version):
        """Returns a `Placement` for a prompt that is already computed, or None.

        Doesn't wait for free memory, as the prefill server keeps the KV cache only for
        a short time.

        Args:
            call: `Call` of the stream.
            excluded: Names of servers that must not be used.
            version: Software version of the server that keeps the KV cache.
        """
        need_tokens = memory_need(call.head)
        decode_candidates = self._ctx.candidates(
            call.service.name, Stage.DECODE, excluded, version
        )
        decode = choose_decode(
            decode_candidates,
            need_tokens,
            call.service.engine.memory_tokens,
            self._ctx.rng.random(),
        )
        if decode is None:
            return None
        log_decision(
            "another_decode",
            decode.server.name,
            (candidate.server.name for candidate in decode_candidates),
            "the first decode server did not run the request",
            request_id=call.request_id,
        )
        return self._add_placement(call, None, decode, need_tokens, False)

    def _add_placement(self, call, prefill, decode, need_tokens, may_be_full):
        placed_load = self._ctx.placed_load
        tokens = call.head.prompt_tokens
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

        wait_s = self._prefill_wait_s(call, prefill)
        return Placement(
            prefill and prefill.server,
            wait_s + self._speed(call).prompt_s(tokens),
            prefill.prefill_tokens if prefill else 0,
            decode.server,
            need_tokens,
            may_be_full,
            counted,
            end_prefill,
            release,
        )


def memory_need(head):
    """Returns the tokens of KV cache that a stream holds on average over its run.

    Counting memory for the longest answer would leave much of a server unused: answers
    in progress are at different points and most stay below their limit.

    Args:
        head: `CallHead` of the stream.
    """
    return head.prompt_tokens + int(MEAN_ANSWER_SHARE * head.likely_tokens)
