"""Headers and control calls between callers, the router and the backend servers."""

import math
from typing import Annotated

import msgspec

from amaranthbay.observe import log_event
from amaranthbay.relay.codec import (
    AnswerTraits,
    CallCodec,
    CallHead,
    PrefillResult,
    StageReport,
    register_codec,
)
from amaranthbay.routing import Stage
from amaranthbay.utils.decoding import Count64, Int64, decode_json

__all__ = ["PlatformCallCodec"]

ATTEMPT_ID = b"x-attempt-id"
DEADLINE = b"x-deadline-ms"
MODEL = b"x-model-name"
TOKENS = b"x-token-count"
PROMPT_PARTS = b"x-prompt-prefix"
LENGTH_HINT = b"x-length-hint"
LAST_EVENT_ID = b"last-event-id"
# Attempt id under which the stream began that a caller wants to continue.
RESUMES = b"resumes"
# Key of the caller's workspace, a secret, and the name of the workspace.
CREDENTIAL = b"x-credential"
WORKSPACE = b"x-tenant-id"
EXPECTED_SERVER = b"x-expect-instance"
STAGE = b"x-serving-stage"
URGENCY = b"x-request-urgency"
KV_SOURCE = b"x-kv-source"
KV_HOLD = b"x-kv-hold"
# Signature by which a backend server marks an answer as its own.
RESPONSE_STAMP = b"x-response-stamp"
NOT_RUN = b"x-not-executed"
SERVER_ID = b"x-instance-id"
SERVER_LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
SERVER_LIMIT = b"server-limit"

# Only the router may set these headers; they are removed from a caller's request.
ROUTER_HEADERS = frozenset(
    (
        DEADLINE,
        EXPECTED_SERVER,
        STAGE,
        KV_SOURCE,
        b"x-expect-version",
        URGENCY,
        b"x-pin-ms",
        KV_HOLD,
        b"x-kv-backup",
        b"kv-fetch",
    )
)
# Headers of a caller that are not forwarded if the deployment has keys.
ACCESS_HEADERS = frozenset((CREDENTIAL, WORKSPACE))
# Headers that hold for one connection (hop by hop) and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
MISDIRECTED = 421
UNAVAILABLE = 503
STAGES = {stage.value: stage for stage in Stage}
MS_PER_S = 1000.0
# Larger counts and rates of other programs are lowered to these. They are beyond what
# any server can do, and their sums still fit into the reports to other instances.
MAX_TOKENS = 2**40
MAX_RATE_PER_S = 1e9
# Identifiers of backend servers become parts of paths and headers.
_Identifier = Annotated[str, msgspec.Meta(pattern=r"^[!-~]*\Z")]


class _Hold(msgspec.Struct):
    # Id of the hold: a slot and KV cache that a decode server keeps reserved.
    Hold: _Identifier


class _Report(msgspec.Struct):
    Stage: str | None = None
    # Whether the server is carrying out an order.
    Busy: bool = False
    # Number of orders that the server has accepted since its start.
    Sequence: Int64 = 0


class _Handle(msgspec.Struct):
    KvHandle: _Identifier
    Tokens: Count64


@register_codec("platform")
class PlatformCallCodec(CallCodec):
    """Encodes and decodes calls with the header and field names of the platform."""

    def read_call(self, headers):
        values = dict(headers)
        prompt_tokens, max_output_tokens = _parse_token_counts(values.get(TOKENS, b""))
        last_event = values.get(LAST_EVENT_ID, b"").strip()
        last_event_id = _parse_int(last_event)
        return CallHead(
            attempt_id=values.get(ATTEMPT_ID, b"").decode("latin-1"),
            deadline_s=_parse_milliseconds(values.get(DEADLINE)),
            last_event_id=last_event_id,
            has_unreadable_event=bool(last_event) and last_event_id is None,
            began_as=values.get(RESUMES, b"").decode("latin-1"),
            model=values.get(MODEL, b"").decode("latin-1"),
            prompt_tokens=prompt_tokens,
            max_output_tokens=max_output_tokens,
            expected_tokens=_parse_length_hint(values.get(LENGTH_HINT)),
            shared_parts=_parse_shared_parts(values.get(PROMPT_PARTS, b"")),
            credentials=tuple(v for n, v in headers if n == CREDENTIAL and v),
        )

    def forward_headers(self, headers, options):
        excluded = ROUTER_HEADERS
        if options.workspace is not None:
            excluded |= ACCESS_HEADERS
        forwarded = self.end_to_end(headers, excluded)
        forwarded.append((EXPECTED_SERVER, options.server.encode()))
        remaining_ms = max(1, int(options.left_s * MS_PER_S))
        forwarded.append((DEADLINE, str(remaining_ms).encode()))
        if options.workspace:
            forwarded.append((WORKSPACE, options.workspace.encode()))
        if options.prefill_only:
            forwarded.append((STAGE, b"prefill"))
        if options.urgency is not None:
            forwarded.append((URGENCY, str(options.urgency).encode()))
        if options.kv_source:
            forwarded.append((KV_SOURCE, options.kv_source.encode()))
        if options.hold:
            forwarded.append((KV_HOLD, options.hold.encode()))
        if options.last_event_id is not None:
            forwarded = [pair for pair in forwarded if pair[0].lower() != LAST_EVENT_ID]
            forwarded.append((LAST_EVENT_ID, str(options.last_event_id).encode()))
        return forwarded

    def end_to_end(self, headers, excluded=frozenset()):
        options = b",".join(v for n, v in headers if n.lower() == b"connection")
        dropped = {option.strip().lower() for option in options.split(b",")}
        dropped |= HOP_BY_HOP_HEADERS | excluded
        return [(n, v) for n, v in headers if n.lower() not in dropped]

    def read_answer(self, status, headers):
        values = dict(headers)
        not_run = NOT_RUN in values or status == MISDIRECTED
        refused = status == UNAVAILABLE
        return AnswerTraits(
            attempt_id=values.get(ATTEMPT_ID, b"").decode("latin-1"),
            stamped=RESPONSE_STAMP in values,
            not_run=not_run,
            misdirected=status == MISDIRECTED,
            leaving=values.get(SERVER_LEAVING) == b"1",
            pause_s=_parse_retry_after(values.get(RETRY_AFTER)) if refused else None,
            limit_per_s=_parse_limit(values.get(SERVER_LIMIT)),
        )

    def read_prefill(self, body):
        reply = decode_json(body, _Handle)
        return reply.map(lambda handle: PrefillResult(handle.KvHandle, handle.Tokens))

    def release_request(self, handle):
        return "DELETE", f"/kv-handle/{handle}"

    def hold_request(self, tokens, ttl_s):
        body = {"Tokens": tokens, "TtlMs": int(ttl_s * MS_PER_S)}
        return "POST", "/hold-take", msgspec.json.encode(body)

    def read_hold(self, body):
        return decode_json(body, _Hold).map(lambda hold: hold.Hold)

    def drop_hold_request(self, hold):
        return "DELETE", f"/hold-drop/{hold}"

    def report_request(self):
        return "GET", "/report"

    def read_report(self, body):
        return decode_json(body, _Report).map(
            lambda report: StageReport(
                STAGES.get(report.Stage), report.Busy, report.Sequence
            )
        )

    def order_request(self, order):
        body = {
            "Op": "Stage",
            "Stage": order.stage.value,
            "Holder": order.holder,
            "Fence": order.fence,
            "Expected": order.expected_orders,
        }
        return "POST", "/order", msgspec.json.encode(body)

    def expect_server(self, name):
        return EXPECTED_SERVER.decode(), name

    def kv_source(self, address, handle):
        return f"{address}/{handle}"


def _parse_milliseconds(value):
    """Converts a header in milliseconds to seconds.

    Returns 0 for a negative value, and None for one that is absent or not a number.
    """
    try:
        return max(0.0, float(value)) / MS_PER_S
    except (TypeError, ValueError):
        return None


def _parse_retry_after(value):
    """Returns the seconds that a ``Retry-After`` header names.

    Returns None if the header is absent, negative or not a finite number, such as a
    date.
    """
    seconds = _parse_non_negative(value)
    if seconds is None and value is not None:
        log_event("pause_unreadable", level="warning", value=value.decode("latin-1"))
    return seconds


def _parse_limit(value):
    """Returns the requests per second that a ``Server-Limit`` header names.

    Returns None if the header is absent, negative or not a finite number, and at most
    `MAX_RATE_PER_S`.
    """
    rate_per_s = _parse_non_negative(value)
    if rate_per_s is None and value is not None:
        log_event("limit_unreadable", level="warning", value=value.decode("latin-1"))
    return None if rate_per_s is None else min(rate_per_s, MAX_RATE_PER_S)


def _parse_non_negative(value):
    """Returns the number in a header; None if it is negative or not finite."""
    try:
        number = float(value)
    except (TypeError, ValueError):
        return None
    return number if math.isfinite(number) and number >= 0 else None


def _parse_int(value):
    """Returns the integer in a header; None if it is absent or unreadable."""
    try:
        return int(value)
    except (TypeError, ValueError):
        return None


def _parse_shared_parts(value):
    """Returns the ids of the parts of a prompt that other requests may share.

    The header lists the parts as ``ID:TOKENS``, separated by commas. The last one is
    the request's own.
    """
    parts = [part.partition(b":")[0].strip() for part in value.split(b",")]
    return tuple(part.decode("latin-1").lower() for part in parts[:-1] if part)


def _parse_token_counts(value):
    """Returns the prompt tokens and the maximum output tokens that a header names.

    A count that is absent, negative or unreadable is 0, and at most `MAX_TOKENS`.
    """
    prompt, _, output = value.partition(b",")
    return _parse_token_count(prompt), _parse_token_count(output)


def _parse_length_hint(value):
    """Returns the output tokens that a header expects; None if it is unreadable.

    A negative number is 0, and a larger one than `MAX_TOKENS` is that.
    """
    return None if _parse_int(value) is None else _parse_token_count(value)


def _parse_token_count(value):
    return min(MAX_TOKENS, max(0, _parse_int(value) or 0))
