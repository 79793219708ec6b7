"""Engine client that counts the tokens of prefills that led to no decoded token."""

from result import Ok

from amaranthbay.kernel.interfaces import EngineClient
from amaranthbay.observe import current_metrics

__all__ = ["MeteredEngine"]


class MeteredEngine(EngineClient):
    """Forwards calls and reports wasted prefill tokens as a metric.

    An attempt that ends before its first event is always cancelled, so a cancellation
    without an event before means that the prefill was wasted.
    """

    def __init__(self, inner):
        self._inner = inner
        self._unused_tokens = {}

    def prefill(self, server, attempt, *args, **kwargs):
        outcome = self._inner.prefill(server, attempt, *args, **kwargs)
        if outcome.is_ok():
            prefilled = outcome.unwrap()
            computed = max(0, prefilled.tokens - prefilled.cached_tokens)
            self._unused_tokens[attempt.attempt_id] = computed
        return outcome

    def decode(self, server, attempt, *args, **kwargs):
        opened = self._inner.decode(server, attempt, *args, **kwargs)
        if opened.is_err():
            return opened

        def on_event():
            self._unused_tokens.pop(attempt.attempt_id, None)

        return Ok(_ObservedEvents(opened.unwrap(), on_event))

    def resume(self, server, *args, **kwargs):
        return self._inner.resume(server, *args, **kwargs)

    def cancel(self, server, attempt_id):
        tokens = self._unused_tokens.pop(attempt_id, 0)
        if tokens:
            current_metrics().prefill_wasted(tokens)
        return self._inner.cancel(server, attempt_id)

    def __getattr__(self, name):
        return getattr(self._inner, name)


class _ObservedEvents:
    """Calls a function at each event of a stream.

    This is a class because closing a generator that was never started wouldn't close
    the stream.
    """

    def __init__(self, events, on_event):
        self._events = events
        self._on_event = on_event

    def __iter__(self):
        return self

    def __next__(self):
        event = next(self._events)
        self._on_event()
        return event

    def __getattr__(self, name):
        return getattr(self._events, name)
