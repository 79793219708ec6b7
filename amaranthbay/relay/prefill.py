"""Requests the prefill of a prompt from a prefill server."""

import gevent
from result import Err, Ok

from amaranthbay.kernel.errors import Reason, Verdict, not_run
from amaranthbay.observe import Step, current_metrics, log_event
from amaranthbay.relay.exchange import ExchangeBroken, open_exchange
from amaranthbay.relay.refusals import RETRY_SOON

__all__ = ["CONNECT_TIMEOUT_S", "run_prefill"]

# A model server that can't be reached within this time is skipped.
CONNECT_TIMEOUT_S = 0.15
# Largest timeout of a prefill; one that takes longer misses the targets of all routes.
PREFILL_TIMEOUT_S = 2.0
# An answer counts as lost after this multiple of the expected time, plus a constant for
# the network, if the stream may be repeated. Slow servers take up to five times as long
# as others.
TIMEOUT_FACTOR = 5.0
BASE_TIMEOUT_S = 0.4
OK = 200
SILENT = not_run(Reason.BACKEND_FAILED, "the prefill server is silent", 503, RETRY_SOON)


def run_prefill(ctx, call, attempts, placement):
    """Requests a prefill and returns the handle of its KV cache.

    Args:
        ctx: `RelayContext` of the process.
        call: `Call` with the prompt.
        attempts: `StreamAttempts` of the call, which records the outcome.
        placement: `Placement` with a prefill server.

    Returns:
        ``Result[str, Refusal]``.
    """
    server = placement.prefill
    started_at = ctx.clock.monotonic()
    limit_s = BASE_TIMEOUT_S + TIMEOUT_FACTOR * placement.prefill_end_s
    placed = server.name in placement.counted
    answer = _request_prefill(ctx, call, attempts, server, limit_s, placed)
    if answer.is_err():
        return answer
    head, body = answer.unwrap()
    if head.status != OK:
        attempts.note_sent()
        attempts.note_refused(server, head)
        detail = f"the prefill server refused with {head.status}"
        return _not_run_result(Reason.BACKEND_REFUSED, detail)
    parsed = ctx.codec.read_prefill(body)
    if parsed.is_err():
        broken = ExchangeBroken(Verdict.NOT_RUN, "unreadable_prefill")
        attempts.note_failed(server, broken, sent=True)
        return _not_run_result(Reason.BACKEND_FAILED, "the prefill can't be read")
    attempts.note_prefill_computed()
    prefilled = parsed.unwrap()
    seconds = ctx.clock.monotonic() - started_at
    ctx.demand.note_prefill(
        call.service.name, prefilled.tokens, placement.tokens_ahead, seconds
    )
    _note_success(ctx, call, server, prefilled.tokens, seconds)
    return Ok(prefilled.handle)


def _request_prefill(ctx, call, attempts, server, limit_s, placed):
    """Returns ``Result[tuple[AnswerHead, bytes], Refusal]``."""
    now, urgency = ctx.clock.monotonic(), ctx.urgency_of(call)
    options = call.forward_options(server.name, now, prefill_only=True, urgency=urgency)
    timeout_exc = ExchangeBroken(Verdict.NOT_RUN, "prefill_slow")
    exchange = None

    def check_silent():
        ctx.outcomes.note_silent(server.name)
        # Without a repeat, the stream would be refused although the server may go on.
        if attempts.may_repeat(SILENT):
            raise timeout_exc

    try:
        with gevent.Timeout(PREFILL_TIMEOUT_S, timeout_exc):
            exchange = open_exchange(
                ctx.connections,
                ctx.codec,
                server,
                call,
                options,
                CONNECT_TIMEOUT_S,
                placed=placed,
            )
            exchange.watch_silence(limit_s, check_silent)
            head = exchange.read_head()
            body = exchange.read_body()
            body.release()
            return Ok((head, bytes(body.data)))
    except ExchangeBroken as exc:
        attempts.note_failed(server, exc, sent=exchange is not None)
        if exchange is not None:
            attempts.note_prefill_lost()
        # A prefill alone doesn't count as a run of the request.
        return _not_run_result(Reason.BACKEND_FAILED, f"prefill failed: {exc.reason}")
    finally:
        if exchange is not None:
            exchange.close()


def _not_run_result(reason, detail):
    return Err(not_run(reason, detail, 503, RETRY_SOON))


def _note_success(ctx, call, server, tokens, seconds):
    service = call.service.name
    ctx.outcomes.note_answered(server.name, seconds)
    current_metrics().step_ended(service, Step.PREFILL, seconds)
    log_event(
        "prefilled",
        request_id=call.request_id,
        backend_server=server.name,
        seconds=round(seconds, 4),
        tokens=tokens,
    )
