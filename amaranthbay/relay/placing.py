"""Places streams on a prefill and a decode server, or lets them wait for one."""

from dataclasses import dataclass
from datetime import timedelta

from gevent.event import AsyncResult
from result import Err, Ok

from amaranthbay.fleet.reports import ServerLoad
from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.observe import Step, current_metrics, log_decision
from amaranthbay.relay.admission import (
    Pressure,
    Urgency,
    first_event_s,
    may_start,
    start_order,
    urgency,
)
from amaranthbay.relay.choice import choose_decode, choose_prefill
from amaranthbay.relay.reading import (
    ReadingTimes,
    reading_pause_s,
    reading_s,
    reads_prompt_itself,
)
from amaranthbay.relay.refusals import all_paused
from amaranthbay.routing import Stage

__all__ = ["Placement", "StreamQueue", "memory_need"]

# Memory is freed on servers of other daemons too, so that the queue is looked at
# again after this time.
POLL_S = 0.03
# A look at the queue costs time for each request and server, so that looks keep this
# distance under load.
ADVANCE_S = 0.01
# Requests that wait at a daemon; each holds its body and a connection.
QUEUE_LENGTH = 200
MIN_RETRY_S = 0.5
# Part of an answer's expected length that its run holds on average.
ANSWER_SHARE = 0.75
# Part of a decode server's memory from which the reports of other daemons are too
# old to rely on.
PRESSED_SHARE = 0.6
# A caller gives up a stream without an event after about four targets.
HOLD_TARGETS = 3.0


@dataclass(frozen=True)
class Placement:
    """Servers of one attempt.

    Attributes:
        prefill: Prefill server; None if the decode server reads the prompt.
        prefill_s: Time that the prefill server's queue and the prompt take.
        tokens_ahead: Prompt tokens of the queue.
        decode: Decode server.
        end_prefill: Function that takes the prompt off the prefill server's load.
        release: Function that takes the attempt off both servers' loads.
        need_tokens: Memory that the attempt takes on the decode server.
        pressed: Whether the decode server may turn out to be full.
    """

    prefill: object
    prefill_s: float
    tokens_ahead: int
    decode: object
    need_tokens: int
    pressed: bool
    end_prefill: object
    release: object


@dataclass(eq=False)
class _Waiting:
    call: object
    without: frozenset
    decode_only: bool
    continued: bool
    since: float
    until: float
    ready: AsyncResult
    taken: bool = False


class _Views:
    """Candidates by service and stage, built once for a look at the queue."""

    def __init__(self, ctx):
        self._ctx = ctx
        self._found = {}

    def of(self, waiting, stage, kept=frozenset()):
        """Returns the candidates that a waiting request may use.

        Args:
            waiting: The request.
            stage: `Stage` of the servers.
            kept: Names of servers that are kept for others.
        """
        key = waiting.call.service.name, stage
        if key not in self._found:
            self._found[key] = self._ctx.candidates(*key)
        without = waiting.without | kept
        if stage is Stage.PREFILL:
            without = without | self._ctx.handles.distrusted()
        return [each for each in self._found[key] if each.server.name not in without]


class StreamQueue:
    """Requests that wait for memory of a decode server.

    `relay.admission` says in which order they start.
    """

    def __init__(self, ctx):
        self._ctx = ctx
        self._waiting = []
        self._next_at = 0.0

    def length(self):
        """Returns the number of requests that wait."""
        return len(self._waiting)

    def place(self, call, without=frozenset(), decode_only=False, continued=False):
        """Waits for servers.

        Args:
            call: `Call`.
            without: Names of servers that must not be used.
            decode_only: Whether the decode server must compute the prompt.
            continued: Whether the caller has events of the stream already.

        Returns:
            ``Result[Placement, Refusal]``; a refusal comes as soon as it is known
            that the wait is in vain.
        """
        now = self._ctx.clock.monotonic()
        since = now if continued else call.arrived_at
        until = min(call.ends_at, since + HOLD_TARGETS * call.route.target_s)
        if not self._ctx.candidates(call.service.name, Stage.DECODE, without):
            refusal = self._without_servers(call, without, until - now)
            if refusal is not None:
                return Err(refusal)
        if len(self._waiting) >= QUEUE_LENGTH:
            return Err(self._overloaded("the queue is full"))
        waiting = _Waiting(
            call, without, decode_only, continued, now, until, AsyncResult()
        )
        self._waiting.append(waiting)
        self.advance(at_once=len(self._waiting) == 1)
        try:
            return self._wait(waiting)
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)
            elif waiting.ready.ready() and not waiting.taken:
                waiting.ready.get().release()

    def _without_servers(self, call, without, hold_s):
        """Returns the refusal of a stream that no server can take now.

        Args:
            call: `Call`.
            without: Names of servers that must not be used.
            hold_s: Time for which the stream may wait.

        Returns:
            None if a server takes requests again in that time.
        """
        name = call.service.name
        pause_s = self._ctx.pause_left_s(name, Stage.DECODE, without)
        if pause_s is not None and pause_s < hold_s:
            return None
        detail = "no decode server is known"
        retry = timedelta(seconds=1)
        return not_run(Reason.NO_BACKEND_SERVER, detail, 503, retry)

    def all_paused(self, call):
        """Returns the refusal of a stream whose decode servers all pause, or None."""
        pause_s = self._ctx.pause_left_s(call.service.name, Stage.DECODE)
        if pause_s is None:
            return None
        return all_paused(pause_s, self._ctx.rng.random())

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
                self._log_no_room(waiting)
                return Err(self._overloaded("no decode server had room in time"))
            waiting.ready.wait(min(POLL_S, waiting.until - now))
            if not waiting.ready.ready():
                self.advance()

    def _log_no_room(self, waiting):
        """Says how full the decode servers are that a request has waited for."""
        call = waiting.call
        decodes = self._ctx.candidates(call.service.name, Stage.DECODE, waiting.without)
        log_decision(
            "stream_servers",
            None,
            (each.server.name for each in decodes),
            "no decode server had room",
            request_id=call.request_id,
            need_tokens=memory_need(call.head),
            limit_tokens=call.service.engine.memory_tokens,
            memory_tokens=[each.memory_tokens for each in decodes],
            waiting=len(self._waiting),
        )

    def _overloaded(self, detail):
        seconds = MIN_RETRY_S + self._ctx.rng.uniform(0.0, 3.0)
        retry = timedelta(seconds=seconds)
        return not_run(Reason.OVERLOADED, detail, 503, retry)

    def advance(self, at_once=False):
        """Gives servers to the waiting requests that fit, the most urgent first.

        Args:
            at_once: Whether to look again although that was done a moment ago.
        """
        now = self._ctx.clock.monotonic()
        if not self._waiting or (now < self._next_at and not at_once):
            return
        self._next_at = now + ADVANCE_S
        views = _Views(self._ctx)
        kept = frozenset()
        for rank, _, waiting in self._ranked(now, views):
            placement = self._try(waiting, rank, views, kept)
            if placement is not None:
                self._waiting.remove(waiting)
                waiting.ready.set(placement)
                views = _Views(self._ctx)
            elif rank is Urgency.IN_TIME:
                # Smaller requests must not overtake for ever: the server that has room
                # first is kept for it.
                kept |= self._next_free(waiting, views, kept)

    def _next_free(self, waiting, views, kept):
        """Returns the name of the server that a request waits for, in a set."""
        decodes = views.of(waiting, Stage.DECODE, kept)
        first = min(decodes, key=lambda each: each.memory_tokens, default=None)
        return frozenset() if first is None else frozenset((first.server.name,))

    def _ranked(self, now, views):
        """Returns rank, order in the rank and entry of the waiting, sorted."""
        ranked = []
        times = start_order(
            [(each.call, memory_need(each.call.head)) for each in self._waiting]
        )
        for at, waiting in zip(times, self._waiting):
            call = waiting.call
            wait_s = self._prefill_wait_s(call, self._best_prefill(waiting, views))
            pressure = self._pressure(call, wait_s, 0.0)
            first_s = first_event_s(call.head.prompt_tokens, pressure)
            rank = urgency(call, first_s, now)
            if waiting.continued:
                # Each moment of its pause counts, and its events so far are lost
                # with it.
                rank = Urgency.IN_TIME
            ranked.append((rank, at, waiting))
        return sorted(ranked, key=lambda each: each[:2])

    def _speed(self, call):
        return self._ctx.demand.prefill_speed(call.service.name)

    def _pressure(self, call, wait_s, memory_share):
        first_event_s = self._ctx.demand.first_event_s(call.service.name)
        return Pressure(wait_s, self._speed(call), memory_share, first_event_s)

    def _best_prefill(self, waiting, views):
        prefills = views.of(waiting, Stage.PREFILL)
        return choose_prefill(prefills, self._ctx.rng.random())

    def _prefill_wait_s(self, call, prefill):
        if prefill is None:
            return 0.0
        return self._speed(call).wait_s(prefill.prefill_tokens)

    def _try(self, waiting, rank, views, kept):
        ctx, call = self._ctx, waiting.call
        engine = call.service.engine
        need = memory_need(call.head)
        decodes = views.of(waiting, Stage.DECODE, kept)
        decode = choose_decode(decodes, need, engine.memory_tokens, ctx.rng.random())
        if decode is None:
            return None
        prefill = self._best_prefill(waiting, views)
        wait_s = self._prefill_wait_s(call, prefill)
        share = (decode.memory_tokens + need) / engine.memory_tokens
        if not may_start(rank, self._pressure(call, wait_s, share)):
            return None
        if waiting.decode_only or self._reads_itself(call, prefill, decode):
            prefill = None
        log_decision(
            "stream_servers",
            decode.server.name,
            (each.server.name for each in decodes),
            "most free memory",
            request_id=call.request_id,
            urgency=rank.name.lower(),
            prefill=prefill and prefill.server.name,
            prefill_wait_s=round(wait_s, 3),
            memory_tokens=decode.memory_tokens,
            need_tokens=need,
            waiting=len(self._waiting),
        )
        return self._reserve(call, prefill, decode, need, share > PRESSED_SHARE)

    def _reads_itself(self, call, prefill, decode):
        """Returns whether the decode server should compute the prompt of a call."""
        tokens, speed = call.head.prompt_tokens, self._speed(call)
        first_s = self._ctx.demand.first_event_s(call.service.name)
        pressure = self._pressure(call, self._prefill_wait_s(call, prefill), 0.0)
        times = ReadingTimes(
            apart_s=first_event_s(tokens, pressure),
            itself_s=reading_s(tokens, speed) + first_s,
            pause_s=reading_pause_s(tokens, speed),
        )
        return reads_prompt_itself(prefill, decode, times, call.route.max_gap_s)

    def another_decode(self, call, without):
        """Returns a `Placement` for a prompt that is computed, or None.

        The KV cache is kept for a moment only, so that there is no time to wait.
        """
        need = memory_need(call.head)
        decodes = self._ctx.candidates(call.service.name, Stage.DECODE, without)
        decode = choose_decode(
            decodes, need, call.service.engine.memory_tokens, self._ctx.rng.random()
        )
        if decode is None:
            return None
        log_decision(
            "another_decode",
            decode.server.name,
            (each.server.name for each in decodes),
            "the first one did not take the request",
            request_id=call.request_id,
        )
        return self._reserve(call, None, decode, need, False)

    def _reserve(self, call, prefill, decode, need, pressed):
        ledger = self._ctx.ledger
        tokens = call.head.prompt_tokens
        reader = (prefill or decode).server
        end_decode = ledger.add(
            decode.server.name, ServerLoad(running=1, memory_tokens=need)
        )
        end_prefill = ledger.add(reader.name, ServerLoad(prefill_tokens=tokens))

        def release():
            end_prefill()
            end_decode()

        wait_s = self._prefill_wait_s(call, prefill)
        return Placement(
            prefill and prefill.server,
            wait_s + self._speed(call).prompt_s(tokens),
            prefill.prefill_tokens if prefill else 0,
            decode.server,
            need,
            pressed,
            end_prefill,
            release,
        )


def memory_need(head):
    """Returns the tokens of KV cache that a stream takes on average over its run.

    Reserving the longest answer would leave much of a server's memory unused: the
    answers in progress are at different points and most stay below their limit.
    """
    return head.prompt_tokens + int(ANSWER_SHARE * head.likely_tokens)
