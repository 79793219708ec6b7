"""Writes answers and refusals as HTTP responses."""

import math

import msgspec

from amaranthbay.kernel.problems import problem
from amaranthbay.observe import log_event

__all__ = [
    "PROBLEM_TYPE",
    "request_id_of",
    "write_answer",
    "write_json",
    "write_refusal",
]

PROBLEM_TYPE = "application/problem+json"
# Key of the request id in the WSGI environment.
REQUEST_ID_KEY = "amaranthbay.request_id"


def request_id_of(req):
    """Returns the id of the request; empty if it has none yet."""
    return req.env.get(REQUEST_ID_KEY, "")


def write_json(resp, value, status=200):
    """Writes a value as a JSON document.

    Args:
        resp: Falcon response.
        value: Value that msgspec can encode.
        status: HTTP status.
    """
    resp.status = status
    resp.content_type = "application/json"
    resp.data = msgspec.json.encode(value)


def write_refusal(req, resp, refusal):
    """Writes a refusal as a problem document and logs it."""
    request_id = request_id_of(req)
    log_event(
        "refused",
        request_id=request_id,
        reason=refusal.reason,
        verdict=refusal.verdict,
        status=refusal.status,
        detail=refusal.detail,
    )
    write_json(resp, problem(refusal, request_id), refusal.status)
    resp.content_type = PROBLEM_TYPE
    if refusal.retry_after is not None:
        retry_after_s = math.ceil(refusal.retry_after.total_seconds())
        resp.set_header("Retry-After", str(retry_after_s))
    if refusal.status == 401:
        resp.set_header("WWW-Authenticate", "Bearer")


def write_answer(req, resp, answer):
    """Writes an `Answer`, whose body is streamed."""
    resp.status = answer.status
    resp.content_type = answer.content_type
    resp.set_header("X-Request-Id", request_id_of(req))
    for name, value in answer.headers:
        resp.set_header(name, value)
    resp.stream = answer.chunks
