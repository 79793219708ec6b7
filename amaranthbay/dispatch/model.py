"""Model service kind: runs a completion on a pair of prefill and decode servers."""

import time
from contextlib import ExitStack

import msgspec
from result import Err, Ok

from amaranthbay.dispatch.inflight import InFlightRecord
from amaranthbay.dispatch.streams import BrokenStream, MatchedStream, first_event
from amaranthbay.kernel.interfaces import ServiceKind
from amaranthbay.kernel.problems import problem
from amaranthbay.kernel.registry import register
from amaranthbay.kernel.requests import Answer
from amaranthbay.kernel.retries import Backoff, run_attempts
from amaranthbay.observe import log_decision
from amaranthbay.placement.demands import to_demand
from amaranthbay.utils.tokens import estimate_tokens

__all__ = ["ModelService"]

INTERACTIVE_PRIORITY = 10
PATIENT_PRIORITY = 0
# A prefill's result expires within a second. Patient prompts are long, so that
# their results cost most to compute again.
PATIENT_RESULT_PRIORITY = 20
# An interactive prefill that takes longer than this has missed every target.
PREFILL_TIMEOUT_S = 600.0


@register("service_kind", "model")
class ModelService(ServiceKind):
    """Dispatches model calls."""

    def __init__(self, ctx):
        self._ctx = ctx

    def dispatch(self, work):
        budget = self._ctx.budget(work.request.service)

        def run(attempt):
            return self._run_attempt(work, attempt)

        outcome = run_attempts(work, run, budget, Backoff(), self._ctx.clock)
        return outcome.and_then(lambda started: _to_answer(work.request, started))

    def _run_attempt(self, work, attempt):
        """Returns ``Result[_StartedStream, Refusal]``."""
        with ExitStack() as held:
            placed = self._place(work, attempt, held)
            if placed.is_err():
                return placed
            placement = placed.unwrap()
            granted = self._reserve(work, attempt, placement, held)
            if granted.is_err():
                return granted
            self._enter_in_flight(attempt, placement, held)
            started = self._start(work, attempt, placement)
            if started.is_err():
                return started
            stream, first = started.unwrap()
            return Ok(_StartedStream(stream, first, held.pop_all()))

    def _place(self, work, attempt, held):
        call = work.request.payload
        now = self._ctx.clock.monotonic()
        demand = to_demand(work, now, attempt.attempt_id)
        view = self._ctx.view(work.request.service, call)
        started = time.perf_counter()
        placed = self._ctx.policy.choose(demand, view, now)
        _log_placement(attempt, placed, time.perf_counter() - started)
        if placed.is_ok():
            observer = self._ctx.observer
            observer.placed(attempt.attempt_id, call, placed.unwrap(), view)
            held.callback(observer.released, attempt.attempt_id)
        return placed

    def _reserve(self, work, attempt, placement, held):
        """Holds the decode slot before the prefill starts."""
        call = work.request.payload
        server = placement.decode.server
        tokens = estimate_tokens(call.prompt)
        allocator = self._ctx.allocator
        granted = allocator.acquire(server, attempt, work.interactive, tokens)
        if granted.is_ok():
            held.callback(allocator.release, granted.unwrap())
        return granted

    def _enter_in_flight(self, attempt, placement, held):
        servers = (placement.prefill.server, placement.decode.server)
        record = InFlightRecord(attempt.request_id, attempt.attempt_id, servers)
        self._ctx.inflight.add(record)
        held.callback(self._release, attempt, servers)

    def _release(self, attempt, servers):
        for server in servers:
            self._ctx.cancels.cancel(server, attempt.attempt_id)
        self._ctx.inflight.remove(attempt.attempt_id)

    def _start(self, work, attempt, placement):
        """Returns ``Result[tuple[MatchedStream, TokenEvent | None], Refusal]``."""
        call = work.request.payload
        priority = INTERACTIVE_PRIORITY if work.interactive else PATIENT_PRIORITY
        engine = self._ctx.engine
        prefill_server = placement.prefill.server
        decode_server = placement.decode.server
        prefilled = engine.prefill(
            prefill_server, attempt, call, priority, PREFILL_TIMEOUT_S
        )
        if prefilled.is_err():
            self._ctx.directory.report_failure(prefill_server.instance)
            return prefilled
        self._ctx.observer.prefilled(attempt.attempt_id, prefilled.unwrap())
        if not work.interactive:
            priority = PATIENT_RESULT_PRIORITY
        opened = engine.decode(
            decode_server, attempt, call, prefilled.unwrap(), priority
        )
        if opened.is_err():
            return opened
        stream = MatchedStream(
            engine, decode_server, attempt, opened.unwrap(), call.offset
        )
        first = first_event(stream)
        if first.is_err():
            self._ctx.directory.report_failure(decode_server.instance)
            return Err(first.unwrap_err())
        self._ctx.observer.first_token(attempt.attempt_id)
        return Ok((stream, first.unwrap()))


class _StartedStream:
    """A stream with its first token, and what it holds."""

    def __init__(self, stream, first, held):
        self._stream = stream
        self._first = first
        self._held = held

    def tokens(self):
        """Yields the texts; releases everything at the end or when closed."""
        with self._held:
            try:
                if self._first is not None:
                    yield self._first.text
                for event in self._stream:
                    yield event.text
            finally:
                self._stream.close()

    def close(self):
        """Releases everything without reading the stream."""
        self._stream.close()
        self._held.close()


def _log_placement(attempt, placed, taken_s):
    ids = {"request_id": attempt.request_id, "attempt_id": attempt.attempt_id}
    ids["decision_us"] = round(taken_s * 1e6)
    if placed.is_err():
        refusal = placed.unwrap_err()
        log_decision("placement", None, (), refusal.reason, **ids)
        return
    placement = placed.unwrap()
    log_decision(
        "placement",
        [placement.prefill.server.instance, placement.decode.server.instance],
        placement.candidates,
        placement.reason,
        **ids,
    )


def _to_answer(request, started):
    """Returns ``Result[Answer, Refusal]``; reads the whole stream if not streamed."""
    if request.payload.stream:
        return Ok(Answer(200, "text/event-stream", _sse_chunks(request, started)))
    try:
        body = _json_body(request, list(started.tokens()))
    except BrokenStream as exc:
        return Err(exc.refusal)
    return Ok(Answer(200, "application/json", iter([body])))


def _sse_chunks(request, started):
    """Yields server-sent events in the shape of the completions interfaces."""
    try:
        for text in started.tokens():
            yield _sse(_chunk(request, text, None))
    except BrokenStream as exc:
        yield b"event: error\n" + _sse(problem(exc.refusal, request.request_id))
        return
    yield _sse(_chunk(request, "", "stop"))
    yield b"data: [DONE]\n\n"


def _sse(value):
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def _chunk(request, text, finish_reason):
    call = request.payload
    choice = {"index": 0, "finish_reason": finish_reason}
    if call.chat:
        kind = "chat.completion.chunk"
        choice["delta"] = {"content": text}
    else:
        kind = "text_completion"
        choice["text"] = text
    return {
        "id": request.request_id,
        "object": kind,
        "created": int(time.time()),
        "model": call.model,
        "choices": [choice],
    }


def _json_body(request, texts):
    """Returns the whole answer as one JSON document."""
    call = request.payload
    choice = {"index": 0, "finish_reason": "stop"}
    text = "".join(texts)
    if call.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    prompt_tokens = estimate_tokens(call.prompt)
    return msgspec.json.encode(
        {
            "id": request.request_id,
            "object": "chat.completion" if call.chat else "text_completion",
            "created": int(time.time()),
            "model": call.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": len(texts),
                "total_tokens": prompt_tokens + len(texts),
            },
        }
    )
