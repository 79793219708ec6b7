"""Places streams on a prefill and a decode server, or queues them."""

import sys
from dataclasses import replace
from datetime import timedelta

from gevent.event import AsyncResult
from result import Err, Ok

from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.observe import Step, current_metrics, log_decision, log_event
from amaranthbay.relay.choice import (
    USABLE_MEMORY_SHARE,
    choose_decode,
    choose_prefill,
)
from amaranthbay.relay.decode_prefill import (
    FirstEventTimes,
    decode_prefill_s,
    decode_prefill_stall_s,
    prefers_decode_server,
)
from amaranthbay.relay.placements import Placements
from amaranthbay.relay.refusals import all_held_back
from amaranthbay.relay.waiting import CandidateCache, WaitingStream
from amaranthbay.routing import Stage
from amaranthbay.scheduling.arrivals import ClassArrivals
from amaranthbay.scheduling.priorities import ClassCredits, priority_rank
from amaranthbay.scheduling.retries import ReturnTimes, longest_retry_s
from amaranthbay.scheduling.streams import (
    Pressure,
    Urgency,
    WaitingStart,
    first_event_s,
    latest_start_at,
    longest_wait_s,
    may_start,
    memory_need,
    start_order,
    start_sequence,
    stream_to_drop,
    urgency_of,
)

__all__ = ["StreamQueue"]

# Interval at which a waiting stream checks the queue, as memory is also freed by other
# instances.
RECHECK_INTERVAL_S = 0.03
# Shortest interval between passes over the queue; the cost of a pass grows with the
# number of requests and servers.
MIN_PASS_INTERVAL_S = 0.01
# Share of the time that passes may take; above it the interval grows, up to
# `RECHECK_INTERVAL_S`. Passes over 100 streams every 10 ms take a fifth of a core.
MAX_PASS_TIME_SHARE = 0.15
# Each waiting request holds its body and a connection.
MAX_QUEUE_LENGTH = 200


class StreamQueue:
    """Streams that wait for memory of a decode server.

    `scheduling.streams` decides the order in which they start.
    """

    def __init__(self, ctx):
        self._ctx = ctx
        self._waiting = []
        self._next_pass_at = 0.0
        self._credits = ClassCredits()
        self._arrivals = ClassArrivals()
        self._placements = Placements(ctx)
        # `ReturnTimes` by name of the service.
        self._returns = {}

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
        counted=False,
    ):
        """Waits until servers can take a stream.

        Args:
            call: `Call` of the stream.
            excluded: Names of servers that must not be used.
            must_skip_prefill: Whether the decode server must compute the prompt.
            continued: Whether the caller already has events of the stream.
            version: Software version of the servers that may be used; None for any.
            counted: Whether the stream was counted as a new one before.

        Returns:
            ``Result[Placement, Refusal]``; a refusal is returned without a wait if the
            queue is full or no server can take the stream before the wait would end.
        """
        now = self._ctx.clock.monotonic()
        until = self._longest_wait_end(call, continued, now)
        name = call.service.name
        if not self._ctx.candidates(name, Stage.DECODE, excluded, version):
            refusal = self._no_server_refusal(
                call, excluded, until - now, continued, version
            )
            if refusal is not None:
                return Err(refusal)
        waiting = WaitingStream(
            call,
            frozenset(excluded),
            must_skip_prefill,
            continued,
            version,
            memory_need(call.head),
            now,
            until,
            AsyncResult(),
        )
        if not continued:
            if not counted:
                self._credits.note_arrived(name, call.priority, now)
                self._arrivals.note(call, now)
            waiting.returned = self._arrivals.has_returned(call)
        refusal = self._refusal_at_once(waiting, now)
        if refusal is not None:
            return Err(refusal)
        self._waiting.append(waiting)
        try:
            # A repeat after the longest wait has no other pass.
            self.advance(at_once=len(self._waiting) == 1 or now >= until)
            return self._wait(waiting)
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)
            elif waiting.ready.successful() and not waiting.taken:
                waiting.ready.get().map(lambda placement: placement.release())

    def note_not_started(self, call, placement):
        """Records that the server of a new stream had no room after all.

        Args:
            call: `Call` of the stream.
            placement: `Placement` that was given up.
        """
        now, name = self._ctx.clock.monotonic(), call.service.name
        used = placement.used_credit
        self._credits.note_not_started(name, call.priority, used, now)

    def _longest_wait_end(self, call, continued, now):
        """Returns the monotonic time at which the wait of a stream is given up."""
        max_wait_s = longest_wait_s(call, self._rank_of(call))
        if continued:
            return min(call.ends_at, now + max_wait_s)
        return min(call.arrived_at + max_wait_s, self._latest_start_at(call))

    def _rank_of(self, call):
        """Returns the `WaitingStart.rank` of a stream."""
        return priority_rank(call.priority, self._ctx.priorities.of(call.service.name))

    def _latest_start_at(self, call):
        """Returns until when a start is of use if no prompt is queued ahead."""
        pressure = self._pressure(CandidateCache(self._ctx), call, 0.0, 0.0)
        first_s = first_event_s(call.head.prompt_tokens, pressure)
        return latest_start_at(call, first_s, self._rank_of(call))

    def _refusal_at_once(self, waiting, now):
        """Returns the `Refusal` of a stream that can't be served, else None.

        A less urgent stream makes way if the queue is full.
        """
        call = waiting.call
        usable_tokens = USABLE_MEMORY_SHARE * call.service.engine.memory_tokens
        if waiting.need_tokens > usable_tokens:
            return self._overloaded("no decode server can hold the stream", call)
        # A repeat may begin after the longest wait; it starts if there is room at once.
        if not waiting.continued and now > self._latest_start_at(call):
            return self._overloaded("no server can answer in time", call)
        if len(self._waiting) < MAX_QUEUE_LENGTH:
            return None
        is_mixed = self._rank_of(call) is not None
        has_events = waiting.continued and is_mixed
        dropped = stream_to_drop(self._waiting, call, now, has_events)
        if dropped is None:
            return self._overloaded("the queue is full", call)
        self._refuse(dropped, "the queue is full of more urgent streams")
        return None

    def _refuse(self, waiting, detail):
        """Ends the wait of a stream with a refusal."""
        self._waiting.remove(waiting)
        waiting.ready.set(Err(self._overloaded(detail, waiting.call)))

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
                return waiting.ready.get()
            now = self._ctx.clock.monotonic()
            if now >= waiting.until:
                self._log_no_memory(waiting)
                return Err(
                    self._overloaded("no decode server had room in time", waiting.call)
                )
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

    def _overloaded(self, detail, call):
        """Returns the `Refusal` of a stream that is told when to come back."""
        name, now = call.service.name, self._ctx.clock.monotonic()
        memory_tokens = call.service.engine.memory_tokens
        ahead = sum(
            waiting.need_tokens
            for waiting in self._waiting
            if waiting.call is not call and waiting.call.service.name == name
        )
        freed_per_s = self._ctx.demand.freed_per_s(name)
        seconds = self._returns.setdefault(name, ReturnTimes()).retry_s(
            now,
            ahead / memory_tokens,
            memory_need(call.head) / memory_tokens,
            freed_per_s,
            longest_retry_s(call.left_s(now)),
            self._ctx.rng.random(),
        )
        log_event(
            "stream_refused",
            request_id=call.request_id,
            priority=call.priority,
            detail=detail,
            waiting=len(self._waiting),
            tokens_ahead=ahead,
            freed_tokens_per_s=freed_per_s and round(freed_per_s * memory_tokens),
            retry_s=round(seconds, 3),
        )
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
        candidate_cache = CandidateCache(self._ctx)
        reserved = frozenset()
        for start in self._start_sequence(now, candidate_cache):
            waiting = start.stream
            try:
                placement = self._try_to_place(start, candidate_cache, reserved, now)
            except Exception:
                self._end_wait(waiting)
                continue
            if placement is not None:
                self._waiting.remove(waiting)
                waiting.ready.set(Ok(placement))
                candidate_cache.note_placed(placement)
            elif start.urgency is Urgency.IN_TIME and candidate_cache.is_unfit(waiting):
                # Reserves the server that should be the first with enough free memory.
                # Smaller streams would otherwise overtake this one forever.
                reserved |= candidate_cache.awaited_server(waiting, reserved)
        pass_s = self._ctx.clock.monotonic() - now
        interval_s = min(RECHECK_INTERVAL_S, pass_s / MAX_PASS_TIME_SHARE)
        self._next_pass_at = now + max(MIN_PASS_INTERVAL_S, interval_s)

    def _end_wait(self, waiting):
        """Raises the current exception in the greenlet of a waiting stream."""
        self._waiting.remove(waiting)
        exc_info = sys.exc_info()
        waiting.ready.set_exception(exc_info[1], exc_info)

    def _start_sequence(self, now, candidate_cache):
        """Returns the `WaitingStart` of each stream in the order of starts."""
        starts, ranks = [], {}
        order_times = start_order(
            [(stream.call, stream.need_tokens) for stream in self._waiting]
        )
        for order_time, waiting in zip(order_times, tuple(self._waiting)):
            try:
                urgency = self._urgency_of(waiting, now, candidate_cache)
            except Exception:
                self._end_wait(waiting)
                continue
            call = waiting.call
            key = call.service.name, call.priority
            if key not in ranks:
                ranks[key] = self._rank_of(call)
            starts.append(
                WaitingStart(
                    waiting,
                    call,
                    urgency,
                    order_time,
                    waiting.continued,
                    ranks[key],
                    waiting.returned,
                )
            )
        return start_sequence(starts, self._credits.owed)

    def _urgency_of(self, waiting, now, candidate_cache):
        if waiting.continued:
            # The gap between events grows while it waits, and the events that were
            # sent are wasted if the stream fails.
            return Urgency.IN_TIME
        call = waiting.call
        wait_s = candidate_cache.prefill_wait_s(waiting)
        pressure = self._pressure(candidate_cache, call, wait_s, 0.0)
        first_s = first_event_s(call.head.prompt_tokens, pressure)
        return urgency_of(call, first_s, now)

    def _pressure(self, candidate_cache, call, wait_s, memory_share, places=()):
        speed, decode_start_s = candidate_cache.timing(call.service.name)
        return Pressure(wait_s, speed, memory_share, decode_start_s, *places)

    def _urgent_need(self, call, candidate_cache, now):
        """Returns the `UrgentNeed` of the streams that are more urgent than a call."""
        name = call.service.name
        speed, decode_start_s = candidate_cache.timing(name)
        idle = Pressure(0.0, speed, 0.0, decode_start_s)
        return self._arrivals.urgent_need(
            name,
            call.priority,
            candidate_cache.placing_instances(name),
            lambda tokens: first_event_s(tokens, idle),
            now,
        )

    def _best_prefill(self, waiting, candidate_cache, version=None):
        """Returns the `Candidate` that should compute a prompt, or None.

        Args:
            waiting: `WaitingStream` to place.
            candidate_cache: `CandidateCache` of the current pass.
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
        need_tokens = waiting.need_tokens
        memory_tokens = waiting.call.service.engine.memory_tokens
        draw = self._ctx.rng.random()
        return choose_decode(paired, need_tokens, memory_tokens, draw) or choose_decode(
            decode_candidates, need_tokens, memory_tokens, draw
        )

    def _try_to_place(self, start, candidate_cache, reserved, now):
        """Returns the `Placement` of a waiting stream, or None if it must keep waiting.

        Args:
            start: `WaitingStart` of the stream to place.
            candidate_cache: `CandidateCache` of the current pass.
            reserved: Names of decode servers that are reserved for other streams.
            now: Monotonic time.
        """
        waiting, call = start.stream, start.call
        if candidate_cache.is_unfit(waiting) or candidate_cache.is_held(start):
            return None
        need_tokens = waiting.need_tokens
        decode_candidates = candidate_cache.usable_by(waiting, Stage.DECODE, reserved)
        decode = self._best_decode(waiting, decode_candidates, candidate_cache)
        if decode is None:
            candidate_cache.note_unfit(waiting)
            return None
        prefill = self._best_prefill(waiting, candidate_cache, decode.server.version)
        speed, _ = candidate_cache.timing(call.service.name)
        wait_s = speed.wait_s(prefill.prefill_tokens) if prefill else 0.0
        memory_used = decode.memory_tokens + need_tokens
        memory_share = memory_used / call.service.engine.memory_tokens
        places = candidate_cache.places(waiting) if start.rank else ()
        pressure = self._pressure(candidate_cache, call, wait_s, memory_share, places)
        if start.rank:
            need = self._urgent_need(call, candidate_cache, now)
            pressure = replace(pressure, urgent_need=need)
        if not may_start(start.urgency, pressure, start.rank):
            candidate_cache.note_held(start)
            return None
        first_s = first_event_s(call.head.prompt_tokens, pressure)
        if not waiting.continued and now > latest_start_at(call, first_s, start.rank):
            return None
        if waiting.must_skip_prefill or self._prefers_decode_server(
            call, prefill, decode, pressure
        ):
            prefill = None
        log_decision(
            "stream_servers",
            decode.server.name,
            (candidate.server.name for candidate in decode_candidates),
            "most free memory",
            request_id=call.request_id,
            urgency=start.urgency.name.lower(),
            priority=call.priority,
            prefill=prefill and prefill.server.name,
            software_version=decode.server.version,
            prefill_wait_s=round(wait_s, 3),
            memory_tokens=decode.memory_tokens,
            need_tokens=need_tokens,
            waiting=len(self._waiting),
        )
        placement = self._placements.add(call, prefill, decode, need_tokens)
        if waiting.continued:
            return placement
        used = self._credits.note_started(call.service.name, call.priority, now)
        return replace(placement, used_credit=used)

    def _prefers_decode_server(self, call, prefill, decode, pressure):
        """Returns whether the decode server should compute the prompt of a call."""
        tokens, speed = call.head.prompt_tokens, pressure.prefill_speed
        times = FirstEventTimes(
            prefill_server_s=first_event_s(tokens, pressure),
            decode_server_s=decode_prefill_s(tokens, speed) + pressure.decode_start_s,
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
        return self._placements.add(call, None, decode, need_tokens)
