"""Builds the HTTP answers of completions and chat completions from token streams."""

import time

import msgspec

from amaranthbay.dispatch.streams import BrokenStream
from amaranthbay.kernel.errors import CallerGone, Reason, may_have_run
from amaranthbay.kernel.problems import problem
from amaranthbay.kernel.requests import Answer
from amaranthbay.observe import log_event
from amaranthbay.utils.tokens import estimate_tokens

__all__ = ["RESUME_TOKEN_HEADER", "streamed_answer", "whole_answer"]

RESUME_TOKEN_HEADER = "X-Resume-Token"


def streamed_answer(request, started, resume_token):
    """Returns the `Answer` that sends each token as a server-sent event.

    Args:
        request: `CallerRequest` of a `ModelCall`.
        started: `StartedStream`.
        resume_token: Token with which the caller can resume the answer.
    """
    headers = ((RESUME_TOKEN_HEADER, resume_token),)
    chunks = _SseChunks(request, started)
    return Answer(200, "text/event-stream", chunks, headers)


def whole_answer(request, texts):
    """Returns the `Answer` that contains the texts of all tokens in one document."""
    body = _json_body(request, texts)
    return Answer(200, "application/json", iter([body]))


class _SseChunks:
    """Server-sent events of a started stream.

    This is a class because closing a generator that was never started wouldn't release
    the stream.
    """

    def __init__(self, request, started):
        self._started = started
        self._events = _event_stream(request, started)

    def __iter__(self):
        return self

    def __next__(self):
        return next(self._events)

    def close(self):
        """Releases the stream; idempotent."""
        self._events.close()
        self._started.close()


def _event_stream(request, started):
    try:
        for text in started.tokens():
            yield _sse(_chunk(request, text, None))
    except BrokenStream as exc:
        yield _error_event(request, exc.refusal)
        return
    except CallerGone:
        raise
    except Exception as exc:
        # Without an error event, an answer cut short by a bug would look complete.
        log_event("defect", level="error", exc=exc, request_id=request.request_id)
        yield _error_event(request, may_have_run(Reason.INTERNAL, "internal error"))
        return
    yield _sse(_chunk(request, "", "stop"))
    yield b"data: [DONE]\n\n"


def _error_event(request, refusal):
    return b"event: error\n" + _sse(problem(refusal, request.request_id))


def _sse(value):
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def _chunk(request, text, finish_reason):
    call = request.payload
    choice = {"index": 0, "finish_reason": finish_reason}
    if call.chat:
        object_type = "chat.completion.chunk"
        choice["delta"] = {"content": text}
    else:
        object_type = "text_completion"
        choice["text"] = text
    return {
        "id": request.request_id,
        "object": object_type,
        "created": int(time.time()),
        "model": call.model,
        "choices": [choice],
    }


def _json_body(request, texts):
    """Returns the encoded JSON document of the whole answer."""
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
