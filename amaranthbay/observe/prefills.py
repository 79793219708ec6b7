"""Engine client that counts prefills whose KV cache gave no token."""

from result import Ok

from amaranthbay.kernel.interfaces import EngineClient
from amaranthbay.observe.metrics import current_metrics

__all__ = ["MeteredEngine"]


class MeteredEngine(EngineClient):
    """Passes calls on and reports wasted prefill tokens.

    Every exit path of an attempt ends with a cancel, so an attempt that is
    cancelled before its first event has wasted its prefill.
    """

    def __init__(self, inner):
        self._inner = inner
        self._unused = {}

    def prefill(self, server, attempt, *args, **kwargs):
        outcome = self._inner.prefill(server, attempt, *args, **kwargs)
        if outcome.is_ok():
            done = outcome.unwrap()
            computed = max(0, done.tokens - done.cached_tokens)
            self._unused[attempt.attempt_id] = computed
        return outcome

    def decode(self, server, attempt, *args, **kwargs):
        opened = self._inner.decode(server, attempt, *args, **kwargs)
        if opened.is_err():
            return opened

        def on_event():
            self._unused.pop(attempt.attempt_id, None)

        return Ok(_WatchedEvents(opened.unwrap(), on_event))

    def resume(self, server, *args, **kwargs):
        return self._inner.resume(server, *args, **kwargs)

    def cancel(self, server, attempt_id):
        tokens = self._unused.pop(attempt_id, 0)
        if tokens:
            current_metrics().prefill_wasted(tokens)
        return self._inner.cancel(server, attempt_id)

    def __getattr__(self, name):
        return getattr(self._inner, name)


class _WatchedEvents:
    """Events of a stream; a class, so that closing it unread closes the stream."""

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
