"""Takes holds on decode servers and releases unused holds and KV cache.

A hold is a reservation of a slot and memory for one stream.
"""

import gevent
from result import Err, Ok

from amaranthbay.observe import log_event
from amaranthbay.relay.exchange import control_exchange

__all__ = ["drop_hold", "release_handle", "take_hold"]

CALL_TIMEOUT_S = 0.15
OK = 200


def take_hold(ctx, call, placement):
    """Takes a hold on a decode server that may be full.

    The prefill is wasted if the decode server turns out to have no memory. On a server
    with a limit, a hold would take the place of another request.

    Args:
        ctx: `RelayContext` of the process.
        call: `Call` of the stream.
        placement: `Placement` with the decode server.

    Returns:
        ``Result[str, str]``: id of the hold, empty if none is needed, or why it failed.
    """
    engine = call.service.engine
    server = placement.decode
    is_limited = ctx.limits.rate_per_s(server.name) is not None
    if is_limited or not (placement.may_be_full and engine.hold_ttl_s):
        return Ok("")
    hold_request = ctx.codec.hold_request(placement.need_tokens, engine.hold_ttl_s)
    answer = control_exchange(
        ctx.connections,
        ctx.codec,
        server,
        *hold_request,
        CALL_TIMEOUT_S,
        for_holds=True,
    )
    if answer.is_err():
        ctx.outcomes.note_unreachable(server.name)
        return answer
    status, body = answer.unwrap()
    if status == OK:
        return ctx.codec.read_hold(body)
    ctx.outcomes.note_refused_as_full(server.name)
    log_event(
        "hold_refused",
        request_id=call.request_id,
        backend_server=server.name,
        status=status,
    )
    return Err(f"the server answered {status}")


def drop_hold(ctx, server, hold):
    """Releases, in the background, a hold for a request that won't be sent."""
    if hold:
        _send_in_background(ctx, server, ctx.codec.drop_hold_request(hold))


def release_handle(ctx, server, handle):
    """Frees, in the background, KV cache that no decode server has fetched."""
    _send_in_background(ctx, server, ctx.codec.release_request(handle))


def _send_in_background(ctx, server, request):
    # The answer to the caller doesn't wait for this call.
    gevent.spawn(_send, ctx, server, *request)


def _send(ctx, server, method, path):
    answer = control_exchange(
        ctx.connections,
        ctx.codec,
        server,
        method,
        path,
        b"",
        CALL_TIMEOUT_S,
        for_holds=True,
    )
    log_event(
        "given_back",
        backend_server=server.name,
        path=path,
        outcome=answer.unwrap()[0] if answer.is_ok() else answer.unwrap_err(),
    )
