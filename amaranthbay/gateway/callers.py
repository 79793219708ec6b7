"""Caller interface: completions, chat completions and plain services."""

import uuid

import msgspec
from result import Err, Ok

from amaranthbay.dispatch.types import ModelCall, PlainCall
from amaranthbay.gateway.hangup import HangupWatch
from amaranthbay.gateway.replies import REQUEST_ID_KEY, write_answer, write_refusal
from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.kernel.requests import CallerRequest

__all__ = ["ChatCompletions", "Completions", "PlainCalls"]

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 65536
MAX_ID_LENGTH = 128


class _CompletionBody(msgspec.Struct):
    model: str
    prompt: str
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False


class _Message(msgspec.Struct):
    role: str
    content: str


class _ChatBody(msgspec.Struct):
    model: str
    messages: tuple[_Message, ...]
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False


class _CallerResource:
    """Decodes a request, serves it and writes the outcome."""

    def __init__(self, daemon):
        self._daemon = daemon

    def _serve(self, req, resp, decode):
        req.env[REQUEST_ID_KEY] = _request_id(req)
        body = self._read_body(req)
        decoded = body.and_then(lambda raw: decode(req, raw))
        if decoded.is_err():
            write_refusal(req, resp, decoded.unwrap_err())
            return
        watch = HangupWatch(req.env)
        try:
            outcome = self._daemon.pipeline.serve(decoded.unwrap())
        except BaseException:
            watch.stop()
            raise
        if outcome.is_err():
            watch.stop()
            write_refusal(req, resp, outcome.unwrap_err())
            return
        answer = outcome.unwrap()
        write_answer(req, resp, answer)
        resp.stream = watch.guard(answer.chunks)

    def _read_body(self, req):
        limit = self._daemon.settings.limits.body_bytes
        length = req.content_length or 0
        if length > limit:
            detail = f"body of {length} bytes exceeds the limit of {limit}"
            return Err(not_run(Reason.TOO_LARGE, detail, status=413))
        return Ok(req.bounded_stream.read())

    def _request(self, req, service, payload):
        return CallerRequest(
            request_id=req.env[REQUEST_ID_KEY],
            service=service,
            workspace=req.get_header("X-Workspace", default=""),
            caller=req.get_header("X-Caller", default=""),
            payload=payload,
            idempotency_key=req.get_header("Idempotency-Key"),
        )


class Completions(_CallerResource):
    """``POST /v1/completions``."""

    def on_post(self, req, resp):
        self._serve(req, resp, self._decode)

    def _decode(self, req, raw):
        decoded = _decode_body(raw, _CompletionBody)
        if decoded.is_err():
            return decoded
        body = decoded.unwrap()
        return self._to_request(req, body, body.prompt, chat=False)

    def _to_request(self, req, body, prompt, chat):
        if not 1 <= body.max_tokens <= MAX_TOKENS_LIMIT:
            detail = f"max_tokens must be between 1 and {MAX_TOKENS_LIMIT}"
            return Err(not_run(Reason.BAD_REQUEST, detail, status=400))
        offset = req.get_header_as_int("X-Resume-Offset") or 0
        call = ModelCall(
            body.model, prompt, body.max_tokens, body.stream, chat, max(0, offset)
        )
        return Ok(self._request(req, body.model, call))


class ChatCompletions(Completions):
    """``POST /v1/chat/completions``."""

    def _decode(self, req, raw):
        decoded = _decode_body(raw, _ChatBody)
        if decoded.is_err():
            return decoded
        body = decoded.unwrap()
        prompt = "\n".join(f"{each.role}: {each.content}" for each in body.messages)
        return self._to_request(req, body, prompt, chat=True)


class PlainCalls(_CallerResource):
    """``/v1/services/{service}/{path}``."""

    def on_get(self, req, resp, service, path):
        self._call(req, resp, service, path)

    def on_post(self, req, resp, service, path):
        self._call(req, resp, service, path)

    def on_put(self, req, resp, service, path):
        self._call(req, resp, service, path)

    def on_delete(self, req, resp, service, path):
        self._call(req, resp, service, path)

    def _call(self, req, resp, service, path):
        def decode(req, raw):
            target = f"/{path}"
            if req.query_string:
                target = f"{target}?{req.query_string}"
            content_type = req.content_type or "application/octet-stream"
            call = PlainCall(req.method, target, raw, content_type)
            return Ok(self._request(req, service, call))

        self._serve(req, resp, decode)


def _request_id(req):
    given = req.get_header("X-Request-Id", default="")
    if 0 < len(given) <= MAX_ID_LENGTH and given.isprintable():
        return given
    return uuid.uuid4().hex


def _decode_body(raw, body_type):
    try:
        return Ok(msgspec.json.decode(raw, type=body_type))
    except msgspec.DecodeError as exc:
        return Err(not_run(Reason.BAD_REQUEST, str(exc), status=400))
