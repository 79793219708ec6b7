"""Engine client ``http``: HTTP calls and streams of server-sent events."""

import msgspec
from result import Err, Ok

from amaranthbay.dispatch.types import PrefillOutcome, TokenEvent
from amaranthbay.kernel.errors import Reason, Verdict, may_have_run, not_run
from amaranthbay.kernel.interfaces import EngineClient
from amaranthbay.kernel.registry import register
from amaranthbay.utils.decoding import decode_json
from amaranthbay.utils.http import exchange_whole, open_exchange

__all__ = ["HttpEngineClient"]

CANCEL_TIMEOUT_S = 2.0
# A decode stream without an event for this long counts as broken and is resumed.
STREAM_IDLE_TIMEOUT_S = 30.0
# Statuses with which ``not_run`` in the body counts as an explicit refusal.
REFUSAL_STATUSES = (409, 503)
# Status of a resumption if the engine doesn't know the stream.
UNKNOWN_STREAM_STATUS = 404


class _PrefillReply(msgspec.Struct):
    kv_handle: str
    tokens: int
    cached_tokens: int
    expires_s: float


class _RefusalReply(msgspec.Struct):
    not_run: bool = False
    detail: str = ""


def refusal_of_reply(address, status, body):
    """Returns the refusal for an HTTP error response of a backend server."""
    reply = decode_json(body, _RefusalReply).unwrap_or(_RefusalReply())
    detail = f"backend server {address} answered {status}"
    if reply.not_run and status in REFUSAL_STATUSES:
        return not_run(Reason.BACKEND_REFUSED, detail)
    return may_have_run(Reason.BACKEND_FAILED, detail)


def refusal_of_failure(failure):
    """Returns the refusal for an exchange that failed without a response.

    Args:
        failure: Failure of a `utils.http` exchange.
    """
    if failure.verdict is Verdict.NOT_RUN:
        return not_run(Reason.BACKEND_FAILED, failure.detail)
    reason = Reason.BACKEND_SLOW if failure.timed_out else Reason.BACKEND_FAILED
    return may_have_run(reason, failure.detail)


@register("engine_client", "http")
class HttpEngineClient(EngineClient):
    """Calls the HTTP interface of the engines."""

    def __init__(self, clock):
        self._clock = clock

    def prefill(self, server, attempt, call, priority, timeout):
        body = msgspec.json.encode(
            {
                "request_id": attempt.request_id,
                "attempt_id": attempt.attempt_id,
                "model": call.model,
                "prompt": call.prompt,
                "priority": priority,
            }
        )
        outcome = exchange_whole(
            server.address, "POST", "/prefill", body, timeout_s=timeout
        )
        if outcome.is_err():
            return Err(refusal_of_failure(outcome.unwrap_err()))
        status, raw = outcome.unwrap()
        if status != 200:
            return Err(refusal_of_reply(server.address, status, raw))
        return self._read_prefill(server, raw)

    def _read_prefill(self, server, raw):
        decoded = decode_json(raw, _PrefillReply)
        if decoded.is_err():
            detail = f"backend server {server.address} sent an unreadable reply"
            return Err(may_have_run(Reason.BACKEND_FAILED, detail))
        reply = decoded.unwrap()
        expires = self._clock.monotonic() + reply.expires_s
        return Ok(
            PrefillOutcome(
                reply.kv_handle,
                server.address,
                reply.tokens,
                reply.cached_tokens,
                expires,
            )
        )

    def decode(self, server, attempt, call, prefill, priority, timeout):
        body = {
            "request_id": attempt.request_id,
            "attempt_id": attempt.attempt_id,
            "model": call.model,
            "kv_handle": prefill.handle,
            "kv_source": prefill.source,
            "max_tokens": call.max_tokens,
            "priority": priority,
            "offset": 0,
        }
        return self._open_stream(server, "/decode", body, timeout)

    def resume(self, server, attempt, offset):
        body = {"attempt_id": attempt.attempt_id, "offset": offset}
        return self._open_stream(server, "/resume", body, STREAM_IDLE_TIMEOUT_S)

    def _open_stream(self, server, path, body, timeout):
        outcome = open_exchange(
            server.address, "POST", path, msgspec.json.encode(body), timeout_s=timeout
        )
        if outcome.is_err():
            return Err(refusal_of_failure(outcome.unwrap_err()))
        exchange = outcome.unwrap()
        if exchange.status == 200:
            return Ok(_EventReader(exchange))
        try:
            raw = exchange.read()
        except (OSError, ValueError):
            raw = b""
        finally:
            exchange.close()
        if exchange.status == UNKNOWN_STREAM_STATUS:
            detail = f"backend server {server.address} doesn't know the stream"
            status = UNKNOWN_STREAM_STATUS
            return Err(may_have_run(Reason.STREAM_BROKEN, detail, status))
        return Err(refusal_of_reply(server.address, exchange.status, raw))

    def cancel(self, server, attempt_id):
        body = msgspec.json.encode({"attempt_id": attempt_id})
        outcome = exchange_whole(
            server.address, "POST", "/cancel", body, timeout_s=CANCEL_TIMEOUT_S
        )
        return outcome.is_ok() and outcome.unwrap()[0] == 200


class _EventReader:
    """Iterates over the events of a stream.

    Raises OSError or ValueError if the stream breaks. This is a class because closing
    a generator that was never started wouldn't close the connection.
    """

    def __init__(self, exchange):
        self._exchange = exchange
        self._lines = exchange.lines()
        self._started = False

    def __iter__(self):
        return self

    def __next__(self):
        for line in self._lines:
            if line.startswith(b"data: "):
                event = decode_json(line[6:], TokenEvent)
                if event.is_err():
                    raise ValueError(event.unwrap_err())
                self._set_stream_timeout_once()
                return event.unwrap()
        raise StopIteration

    def _set_stream_timeout_once(self):
        if not self._started:
            self._started = True
            self._exchange.set_read_timeout(STREAM_IDLE_TIMEOUT_S)

    def close(self):
        """Closes the connection to the engine."""
        self._exchange.close()
