"""Has a prompt computed by a prefill server."""

import gevent
from result import Err, Ok

from amaranthbay.kernel.errors import Reason, Verdict, not_run
from amaranthbay.observe import Step, current_metrics, log_event
from amaranthbay.relay.codec import Directions
from amaranthbay.relay.exchange import ExchangeBroken, open_exchange
from amaranthbay.relay.refusals import RETRY_SOON

__all__ = ["CONNECT_TIMEOUT_S", "run_prefill"]

# A model server that can't be reached within this time is passed over.
CONNECT_TIMEOUT_S = 0.15
# A prompt that takes longer misses the targets of all routes.
PREFILL_TIMEOUT_S = 2.0
# Times of what is expected after which an answer counts as lost, and time for the way.
# Servers that turn slow take up to five times as long as others.
PATIENCE = 5.0
LEAST_PATIENCE_S = 0.4
OK = 200


def run_prefill(ctx, call, attempts, placement):
    """Returns ``Result[str, Refusal]`` with the handle of the KV cache.

    Args:
        ctx: `RelayContext`.
        call: `Call`.
        attempts: `StreamAttempts`.
        placement: `Placement` with a prefill server.
    """
    server = placement.prefill
    started_at = ctx.clock.monotonic()
    limit_s = min(PREFILL_TIMEOUT_S, LEAST_PATIENCE_S + PATIENCE * placement.prefill_s)
    answer = _ask(ctx, call, attempts, server, limit_s)
    if answer.is_err():
        return answer
    head, body = answer.unwrap()
    if head.status != OK:
        attempts.sent()
        attempts.refused(server, head)
        detail = f"the prefill server refused with {head.status}"
        return _refused(Reason.BACKEND_REFUSED, detail)
    decoded = ctx.codec.read_prefill(body)
    if decoded.is_err():
        broken = ExchangeBroken(Verdict.NOT_RUN, "unreadable_prefill")
        attempts.failed(server, broken, sent=True)
        return _refused(Reason.BACKEND_FAILED, "the prefill can't be read")
    attempts.computed()
    found = decoded.unwrap()
    seconds = ctx.clock.monotonic() - started_at
    ctx.demand.note_prefill(
        call.service.name, found.tokens, placement.tokens_ahead, seconds
    )
    _note(ctx, call, server, found.tokens, seconds)
    return Ok(found.handle)


def _ask(ctx, call, attempts, server, limit_s):
    """Returns ``Result[tuple[AnswerHead, bytes], Refusal]``."""
    left_s = call.left_s(ctx.clock.monotonic())
    directions = Directions(server.name, left_s, prefill_only=True)
    slow = ExchangeBroken(Verdict.NOT_RUN, "prefill_slow")
    exchange = None
    try:
        with gevent.Timeout(limit_s, slow):
            exchange = open_exchange(
                ctx.connections, ctx.codec, server, call, directions, CONNECT_TIMEOUT_S
            )
            head = exchange.read_head()
            return Ok((head, b"".join(exchange.chunks())))
    except ExchangeBroken as exc:
        attempts.failed(server, exc, sent=exchange is not None)
        if exchange is not None:
            attempts.prefill_lost()
        # A prompt that was computed, if it was, is no run of the request.
        return _refused(Reason.BACKEND_FAILED, f"prefill failed: {exc.reason}")
    finally:
        if exchange is not None:
            exchange.close()


def _refused(reason, detail):
    return Err(not_run(reason, detail, 503, RETRY_SOON))


def _note(ctx, call, server, tokens, seconds):
    service = call.service.name
    ctx.outcomes.answered(server.name, seconds)
    current_metrics().step_ended(service, Step.PREFILL, seconds)
    log_event(
        "prefilled",
        request_id=call.request_id,
        backend_server=server.name,
        seconds=round(seconds, 4),
        tokens=tokens,
    )
