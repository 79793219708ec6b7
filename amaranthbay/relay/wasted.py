"""Logs prompts that were computed and then not decoded, with the cause."""

import gevent

from amaranthbay.kernel.errors import CallerGone, Reason, Verdict
from amaranthbay.observe import log_event

__all__ = ["log_wasted_prefill", "waste_cause"]


def waste_cause(refusal, exc, age_s, handle_ttl_s):
    """Returns why a computed prompt was not decoded.

    Args:
        refusal: `Refusal` with which the decode ended; None if it was interrupted.
        exc: Exception that interrupted it, or None.
        age_s: Seconds since the prompt was computed.
        handle_ttl_s: Time for which the prefill server keeps the KV cache.

    Examples:
        >>> waste_cause(None, CallerGone("gone"), 0.1, 0.5)
        'caller_left'
    """
    if isinstance(exc, CallerGone):
        return "caller_left"
    if isinstance(exc, gevent.Timeout):
        return "deadline_passed"
    if refusal is None:
        return "interrupted"
    if refusal.reason is Reason.QUARANTINED:
        return "quarantined"
    if refusal.verdict is not Verdict.NOT_RUN:
        return "server_lost"
    if age_s > handle_ttl_s:
        return "kv_cache_expired"
    if refusal.reason is Reason.BACKEND_REFUSED:
        return "server_refused"
    return "server_unreachable"


def log_wasted_prefill(call, computed_s, refusal=None, exc=None):
    """Logs a prompt that was computed in vain.

    Args:
        call: `Call` of the stream.
        computed_s: Seconds since the prompt was computed.
        refusal: `Refusal` with which the decode ended; None if it was interrupted.
        exc: Exception that interrupted it, or None.
    """
    log_event(
        "prefill_wasted",
        request_id=call.request_id,
        cause=waste_cause(refusal, exc, computed_s, call.service.engine.handle_ttl_s),
        tokens=call.head.prompt_tokens,
        seconds=round(computed_s, 3),
    )
