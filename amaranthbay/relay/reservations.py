"""Room and KV cache on model servers that are taken for a stream and given back."""

import gevent
from result import Err, Ok

from amaranthbay.observe import log_event
from amaranthbay.relay.exchange import control_exchange

__all__ = ["drop_hold", "release_handle", "take_hold"]

CALL_TIMEOUT_S = 0.15
OK = 200


def take_hold(ctx, call, placement):
    """Reserves room on a decode server that may be full.

    A prompt that is computed for a server without room is computed in vain.

    Args:
        ctx: `RelayContext`.
        call: `Call`.
        placement: `Placement`.

    Returns:
        ``Result[str, str]``: the reservation, or an empty text if none is needed.
    """
    engine = call.service.engine
    if not (placement.may_be_full and engine.hold_life_s):
        return Ok("")
    server = placement.decode
    asked = ctx.codec.hold_request(placement.need_tokens, engine.hold_life_s)
    answer = control_exchange(
        ctx.connections, ctx.codec, server, *asked, CALL_TIMEOUT_S
    )
    if answer.is_err():
        ctx.outcomes.unreachable(server.name)
        return answer
    status, body = answer.unwrap()
    if status == OK:
        return ctx.codec.read_hold(body)
    ctx.outcomes.refused_as_full(server.name)
    log_event(
        "hold_refused",
        request_id=call.request_id,
        backend_server=server.name,
        status=status,
    )
    return Err(f"the server answered {status}")


def drop_hold(ctx, server, hold):
    """Gives back what was reserved for a request that doesn't come."""
    if hold:
        _give_back(ctx, server, ctx.codec.drop_hold_request(hold))


def release_handle(ctx, server, handle):
    """Frees the KV cache of a prefill that no decode server has taken."""
    _give_back(ctx, server, ctx.codec.release_request(handle))


def _give_back(ctx, server, request):
    # The caller's answer doesn't wait for it.
    gevent.spawn(_send, ctx, server, *request)


def _send(ctx, server, method, path):
    answer = control_exchange(
        ctx.connections, ctx.codec, server, method, path, b"", CALL_TIMEOUT_S
    )
    log_event(
        "given_back",
        backend_server=server.name,
        path=path,
        outcome=answer.unwrap()[0] if answer.is_ok() else answer.unwrap_err(),
    )
