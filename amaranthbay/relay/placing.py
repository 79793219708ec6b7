"""Places streams on a prefill and a decode server, or lets them wait for one."""

from dataclasses import dataclass
from datetime import timedelta

from gevent.event import AsyncResult
from result import Err, Ok

from amaranthbay.fleet.peers import ServerLoad
from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.observe import log_decision
from amaranthbay.relay.choice import choose_decode, choose_prefill
from amaranthbay.routing import Stage

__all__ = ["Placement", "StreamQueue", "memory_need"]

# Memory is freed on servers of other daemons too, so that the queue is looked at
# again after this time.
POLL_S = 0.03
# Requests that wait at a daemon; each holds its body and a connection.
QUEUE_LENGTH = 200
# Time between the first event and the client's first token that is expected for a
# prompt that is read at once.
FIRST_EVENT_S = 0.25
MIN_RETRY_S = 0.5
# Part of an answer's expected length that its run holds on average.
ANSWER_SHARE = 0.6
# Part of a decode server's memory from which the reports of other daemons are too
# old to rely on.
PRESSED_SHARE = 0.6
# A caller gives up a stream without an event after about four targets.
HOLD_TARGETS = 2.5


@dataclass(frozen=True)
class Placement:
    """Servers of one attempt.

    Attributes:
        prefill: Prefill server; None if the decode server reads the prompt.
        decode: Decode server.
        end_prefill: Function that takes the prompt off the prefill server's load.
        release: Function that takes the attempt off both servers' loads.
        need_tokens: Memory that the attempt takes on the decode server.
        pressed: Whether the decode server may turn out to be full.
    """

    prefill: object
    decode: object
    need_tokens: int
    pressed: bool
    end_prefill: object
    release: object


@dataclass(eq=False)
class _Waiting:
    call: object
    without: frozenset
    ready: AsyncResult


class StreamQueue:
    """Requests that wait for memory of a decode server.

    Under overload, those that can still meet their target go first: their value is
    lost soonest. The others follow in order of arrival.
    """

    def __init__(self, ctx):
        self._ctx = ctx
        self._waiting = []

    def place(self, call, without=frozenset()):
        """Waits for servers.

        Args:
            call: `Call`.
            without: Names of servers that must not be used.

        Returns:
            ``Result[Placement, Refusal]``; a refusal comes as soon as it is known
            that the wait is in vain.
        """
        if not self._ctx.candidates(call.service.name, Stage.DECODE, without):
            detail = "no decode server is known"
            retry = timedelta(seconds=1)
            return Err(not_run(Reason.NO_BACKEND_SERVER, detail, 503, retry))
        if len(self._waiting) >= QUEUE_LENGTH:
            return Err(self._overloaded("the queue is full"))
        waiting = _Waiting(call, without, AsyncResult())
        self._waiting.append(waiting)
        self.advance()
        try:
            return self._wait(waiting)
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)
            elif waiting.ready.ready() and not waiting.taken:
                waiting.ready.get().release()

    def _wait(self, waiting):
        call = waiting.call
        hold_s = HOLD_TARGETS * call.route.target_s
        until = min(call.ends_at, call.arrived_at + hold_s)
        waiting.taken = False
        while True:
            if waiting.ready.ready():
                waiting.taken = True
                return Ok(waiting.ready.get())
            now = self._ctx.clock.monotonic()
            if now >= until:
                return Err(self._overloaded("no decode server had room in time"))
            waiting.ready.wait(min(POLL_S, until - now))
            if not waiting.ready.ready():
                self.advance()

    def _overloaded(self, detail):
        seconds = MIN_RETRY_S + self._ctx.rng.uniform(0.0, 1.0)
        retry = timedelta(seconds=seconds)
        return not_run(Reason.OVERLOADED, detail, 503, retry)

    def advance(self):
        """Gives servers to the waiting requests that fit, in order."""
        now = self._ctx.clock.monotonic()
        for waiting in sorted(self._waiting, key=lambda each: _order(each, now)):
            placement = self._try(waiting)
            if placement is None:
                # A smaller request must not overtake for ever.
                return
            self._waiting.remove(waiting)
            waiting.taken = False
            waiting.ready.set(placement)

    def _try(self, waiting):
        ctx, call = self._ctx, waiting.call
        engine = call.service.engine
        need = memory_need(call.head)
        decodes = ctx.candidates(call.service.name, Stage.DECODE, waiting.without)
        decode = choose_decode(
            decodes, need, engine.memory_tokens, ctx.rng.random()
        )
        if decode is None:
            return None
        prefills = ctx.candidates(call.service.name, Stage.PREFILL, waiting.without)
        prefill = choose_prefill(prefills, ctx.rng.random())
        log_decision(
            "stream_servers",
            decode.server.name,
            (each.server.name for each in decodes),
            "most free memory",
            request_id=call.request_id,
            prefill=prefill and prefill.server.name,
            prefill_tokens=prefill and prefill.prefill_tokens,
            memory_tokens=decode.memory_tokens,
            need_tokens=need,
            prompt_tokens=call.head.prompt_tokens,
            output_tokens=call.head.output_tokens,
            expected_tokens=call.head.expected_tokens,
            waiting=len(self._waiting),
        )
        pressed = decode.memory_tokens + need > PRESSED_SHARE * engine.memory_tokens
        return self._reserve(call, prefill, decode, need, pressed)

    def _reserve(self, call, prefill, decode, need, pressed):
        ledger = self._ctx.ledger
        end_decode = ledger.add(
            decode.server.name, ServerLoad(running=1, memory_tokens=need)
        )
        if prefill is None:
            return Placement(
                None, decode.server, need, pressed, _nothing, end_decode
            )
        tokens = call.head.prompt_tokens
        end_prefill = ledger.add(
            prefill.server.name, ServerLoad(running=1, prefill_tokens=tokens)
        )

        def release():
            end_prefill()
            end_decode()

        return Placement(
            prefill.server, decode.server, need, pressed, end_prefill, release
        )


def memory_need(head):
    """Returns the tokens of KV cache that a stream takes on average over its run.

    Reserving the longest answer would leave much of a server's memory unused: the
    answers in progress are at different points and most stay below their limit.
    """
    expected = head.output_tokens
    if head.expected_tokens is not None:
        expected = min(expected, head.expected_tokens)
    return head.prompt_tokens + int(ANSWER_SHARE * expected)


def _order(waiting, now):
    in_time = now + FIRST_EVENT_S <= waiting.call.target_at
    return not in_time, waiting.call.arrived_at


def _nothing():
    """Has nothing to take back."""
