"""Falcon resources for callers: completions, chat completions and plain calls."""

import uuid

from result import Ok

from amaranthbay.dispatch.types import PlainCall
from amaranthbay.gateway.bodies import read_body
from amaranthbay.gateway.credentials import read_credentials
from amaranthbay.gateway.decoding import (
    decode_chat,
    decode_completion,
    decode_target,
)
from amaranthbay.gateway.replies import REQUEST_ID_KEY, write_answer, write_refusal
from amaranthbay.kernel.requests import CallerRequest
from amaranthbay.utils.hangup import HangupWatch
from amaranthbay.utils.serving import CONNECTION_KEY

__all__ = ["ChatCompletions", "Completions", "PlainCalls"]

MAX_REQUEST_ID_LENGTH = 128  # characters


class _CallerResource:
    """Decodes requests, passes them to the pipeline and writes the outcomes."""

    def __init__(self, daemon):
        self._daemon = daemon

    def _serve(self, req, resp, decode):
        """Serves a request.

        Args:
            req: Falcon request.
            resp: Falcon response.
            decode: Function of the request and its raw body that returns
                ``Result[CallerRequest, Refusal]``.
        """
        req.env[REQUEST_ID_KEY] = _request_id(req)
        body = read_body(req, resp, self._daemon.settings.limits.body_bytes)
        decoded = body.and_then(lambda raw: decode(req, raw))
        if decoded.is_err():
            write_refusal(req, resp, decoded.unwrap_err())
            return
        conn = req.env.get(CONNECTION_KEY)
        watch = HangupWatch(conn, req.env[REQUEST_ID_KEY])
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
        # The connection is watched for a hangup until the whole answer is delivered.
        resp.stream = watch.wrap_chunks(answer.chunks)

    def _caller_request(self, req, service, payload):
        return CallerRequest(
            request_id=req.env[REQUEST_ID_KEY],
            service=service,
            workspace=req.get_header("X-Workspace", default=""),
            caller=req.get_header("X-Caller", default=""),
            payload=payload,
            idempotency_key=req.get_header("Idempotency-Key"),
            credentials=read_credentials(req),
        )


class Completions(_CallerResource):
    """``POST /v1/completions``."""

    def on_post(self, req, resp):
        self._serve(req, resp, self._decode)

    def _decode(self, req, raw):
        token = req.get_header("X-Resume-Token", default="")
        offset = req.get_header("X-Resume-Offset")
        decoded = self._decode_call(raw, offset, token)
        return decoded.map(lambda call: self._caller_request(req, call.model, call))

    def _decode_call(self, raw, offset, token):
        return decode_completion(raw, offset, token)


class ChatCompletions(Completions):
    """``POST /v1/chat/completions``."""

    def _decode_call(self, raw, offset, token):
        return decode_chat(raw, offset, token)


class PlainCalls(_CallerResource):
    """``/v1/services/{service}/{path}``: calls of plain services."""

    def on_get(self, req, resp, service, path):
        self._serve_plain_call(req, resp, service, path)

    def on_post(self, req, resp, service, path):
        self._serve_plain_call(req, resp, service, path)

    def on_put(self, req, resp, service, path):
        self._serve_plain_call(req, resp, service, path)

    def on_delete(self, req, resp, service, path):
        self._serve_plain_call(req, resp, service, path)

    def _serve_plain_call(self, req, resp, service, path):
        def decode(req, raw):
            target = decode_target(path, req.query_string)
            if target.is_err():
                return target
            content_type = req.content_type or "application/octet-stream"
            call = PlainCall(req.method, target.unwrap(), raw, content_type)
            return Ok(self._caller_request(req, service, call))

        self._serve(req, resp, decode)


def _request_id(req):
    """Returns the caller's request id, or a new one if it sent no usable id."""
    request_id = req.get_header("X-Request-Id", default="")
    if 0 < len(request_id) <= MAX_REQUEST_ID_LENGTH and request_id.isprintable():
        return request_id
    return uuid.uuid4().hex
