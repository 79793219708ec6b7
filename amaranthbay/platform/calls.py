"""Headers of calls between callers, the router and the backend servers."""

import math

import msgspec
from result import Err, Ok

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

__all__ = ["PlatformCallCodec"]

ATTEMPT_ID = b"x-attempt-id"
DEADLINE = b"x-deadline-ms"
MODEL = b"x-model-name"
TOKENS = b"x-token-count"
LENGTH_HINT = b"x-length-hint"
LAST_EVENT = b"last-event-id"
EXPECT_SERVER = b"x-expect-instance"
STAGE = b"x-serving-stage"
KV_SOURCE = b"x-kv-source"
HOLD = b"x-kv-hold"
STAMP = b"x-response-stamp"
NOT_RUN = b"x-not-executed"
SERVER_ID = b"x-instance-id"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"

# Only the router may set these on a call.
ROUTER_HEADERS = frozenset(
    (
        DEADLINE,
        EXPECT_SERVER,
        STAGE,
        KV_SOURCE,
        b"x-expect-version",
        b"x-request-urgency",
        b"x-pin-ms",
        HOLD,
        b"x-kv-backup",
        b"kv-fetch",
    )
)
CONNECTION_HEADERS = frozenset(
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
STAGES = {each.value: each for each in Stage}
MS_PER_S = 1000.0


class _Hold(msgspec.Struct):
    Hold: str


class _Report(msgspec.Struct):
    Stage: str | None = None
    Busy: bool = False
    # Orders accepted since the server's start.
    Sequence: int = 0


class _Handle(msgspec.Struct):
    KvHandle: str
    Tokens: int


@register_codec("platform")
class PlatformCallCodec(CallCodec):
    """Call headers as the users' platform names them."""

    def read_call(self, headers):
        values = dict(headers)
        prompt, output = _token_counts(values.get(TOKENS, b""))
        return CallHead(
            attempt_id=values.get(ATTEMPT_ID, b"").decode("latin-1"),
            deadline_s=_seconds(values.get(DEADLINE)),
            last_event_id=_whole(values.get(LAST_EVENT)),
            model=values.get(MODEL, b"").decode("latin-1"),
            prompt_tokens=prompt,
            output_tokens=output,
            expected_tokens=_whole(values.get(LENGTH_HINT)),
        )

    def forward_headers(self, headers, directions):
        kept = self.end_to_end(headers, ROUTER_HEADERS)
        kept.append((EXPECT_SERVER, directions.server.encode()))
        left_ms = max(1, int(directions.left_s * MS_PER_S))
        kept.append((DEADLINE, str(left_ms).encode()))
        if directions.prefill_only:
            kept.append((STAGE, b"prefill"))
        if directions.kv_source:
            kept.append((KV_SOURCE, directions.kv_source.encode()))
        if directions.hold:
            kept.append((HOLD, directions.hold.encode()))
        if directions.last_event_id is not None:
            kept = [each for each in kept if each[0].lower() != LAST_EVENT]
            kept.append((LAST_EVENT, str(directions.last_event_id).encode()))
        return kept

    def end_to_end(self, headers, without=frozenset()):
        named = b",".join(v for n, v in headers if n.lower() == b"connection")
        dropped = {each.strip().lower() for each in named.split(b",")}
        dropped |= CONNECTION_HEADERS | without
        return [(n, v) for n, v in headers if n.lower() not in dropped]

    def read_answer(self, status, headers):
        values = dict(headers)
        not_run = NOT_RUN in values or status == MISDIRECTED
        refused = status == UNAVAILABLE
        return AnswerTraits(
            attempt_id=values.get(ATTEMPT_ID, b"").decode("latin-1"),
            stamped=STAMP in values,
            not_run=not_run,
            misdirected=status == MISDIRECTED,
            leaving=values.get(LEAVING) == b"1",
            pause_s=_pause_s(values.get(RETRY_AFTER)) if refused else None,
        )

    def read_prefill(self, body):
        try:
            found = msgspec.json.decode(body, type=_Handle)
        except msgspec.DecodeError as exc:
            return Err(str(exc))
        return Ok(PrefillResult(found.KvHandle, found.Tokens))

    def release_request(self, handle):
        return "DELETE", f"/kv-handle/{handle}"

    def hold_request(self, tokens, life_s):
        body = {"Tokens": tokens, "TtlMs": int(life_s * MS_PER_S)}
        return "POST", "/hold-take", msgspec.json.encode(body)

    def read_hold(self, body):
        try:
            return Ok(msgspec.json.decode(body, type=_Hold).Hold)
        except msgspec.DecodeError as exc:
            return Err(str(exc))

    def drop_hold_request(self, hold):
        return "DELETE", f"/hold-drop/{hold}"

    def report_request(self):
        return "GET", "/report"

    def read_report(self, body):
        try:
            found = msgspec.json.decode(body, type=_Report)
        except msgspec.DecodeError as exc:
            return Err(str(exc))
        return Ok(StageReport(STAGES.get(found.Stage), found.Busy, found.Sequence))

    def order_request(self, order):
        body = {
            "Op": "Stage",
            "Stage": order.stage.value,
            "Holder": order.holder,
            "Fence": order.fence,
            "Expected": order.orders,
        }
        return "POST", "/order", msgspec.json.encode(body)

    def expect_server(self, name):
        return EXPECT_SERVER.decode(), name

    def kv_source(self, address, handle):
        return f"{address}/{handle}"


def _seconds(value):
    try:
        return max(0.0, float(value)) / MS_PER_S
    except (TypeError, ValueError):
        return None


def _pause_s(value):
    """Returns the seconds of a header; None if it is absent or no such number."""
    if value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        seconds = math.nan
    if not (math.isfinite(seconds) and seconds >= 0):
        log_event("pause_unreadable", level="warning", value=value.decode("latin-1"))
        return None
    return seconds


def _whole(value):
    try:
        return int(value)
    except (TypeError, ValueError):
        return None


def _token_counts(value):
    """Returns prompt tokens and the most output tokens; zeros if unreadable."""
    prompt, _, output = value.partition(b",")
    return max(0, _whole(prompt) or 0), max(0, _whole(output) or 0)
