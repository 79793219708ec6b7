"""Repeats cancellations until the engines acknowledge them."""

from collections import OrderedDict
from dataclasses import dataclass

import gevent

from amaranthbay.kernel.retries import Backoff
from amaranthbay.observe import log_event

__all__ = ["CancelQueue"]

# A server is taken as gone only after the instance list has omitted it for this
# long, because a single lagging or partial list must not drop a cancellation.
GONE_AFTER_S = 10.0
# Bounds the memory of one unreachable server; the oldest cancellation goes first.
QUEUE_LIMIT = 10_000
# An engine call without a reply may arrive after the cancellation, so the
# cancellation is repeated after these pauses, beyond the first acknowledgement.
CONFIRM_PAUSES_S = (0.5, 2.0)
REPEAT_BASE_S = 0.05


@dataclass(frozen=True)
class _Order:
    """One cancellation and what follows it."""

    unanswered: bool
    then: object

    def merged(self, other):
        """Returns the order that stands for two orders of one attempt."""

        def then():
            self.finish()
            other.finish()

        return _Order(self.unanswered or other.unanswered, then)

    def finish(self):
        """Reports the end of the cancellation."""
        if self.then is not None:
            self.then()


class CancelQueue:
    """Cancels attempts on engines, in the background.

    One greenlet per server works through the cancellations of that server, so an
    unreachable server costs one connection attempt at a time.
    """

    def __init__(self, engine, clock, is_gone, limit=QUEUE_LIMIT):
        """Creates the queue.

        Args:
            engine: `EngineClient`.
            clock: `Clock`.
            is_gone: Function of a server that tells whether the instance list
                no longer shows it.
            limit: Largest number of cancellations that wait for one server.
        """
        self._engine = engine
        self._clock = clock
        self._is_gone = is_gone
        self._limit = limit
        self._backoff = Backoff(base_s=REPEAT_BASE_S, limit_s=2.0)
        self._waiting = {}
        self._confirming = 0

    @property
    def outstanding(self):
        """Number of cancellations that are not finished."""
        return sum(map(len, self._waiting.values())) + self._confirming

    def cancel(self, server, attempt_id, unanswered=False, then=None):
        """Starts to cancel an attempt on a server; returns at once.

        Args:
            server: `BackendServer`.
            attempt_id: Attempt to cancel.
            unanswered: Whether an engine call of the attempt may still be on its
                way; the cancellation is then repeated after it was acknowledged.
            then: Function called once the cancellation is finished.
        """
        waiting = self._waiting.get(server)
        if waiting is None:
            waiting = self._waiting[server] = OrderedDict()
            gevent.spawn(self._work, server, waiting)
        order = _Order(unanswered, then)
        known = waiting.get(attempt_id)
        waiting[attempt_id] = order if known is None else known.merged(order)
        if len(waiting) > self._limit:
            dropped, oldest = waiting.popitem(last=False)
            log_event("cancel_dropped", level="error", attempt_id=dropped)
            oldest.finish()

    def _work(self, server, waiting):
        try:
            while waiting:
                attempt_id = next(iter(waiting))
                if not self._repeat(server, attempt_id):
                    log_event("cancel_dropped", attempt_ids=list(waiting))
                    break
                order = waiting.pop(attempt_id, None)
                if order is not None and order.unanswered:
                    self._confirming += 1
                    gevent.spawn(self._confirm, server, attempt_id, order)
                elif order is not None:
                    order.finish()
        finally:
            del self._waiting[server]
            for order in waiting.values():
                order.finish()

    def _repeat(self, server, attempt_id):
        """Returns True once acknowledged, False if the server is gone."""
        number = 1
        gone_since = None
        while not self._engine.cancel(server, attempt_id):
            now = self._clock.monotonic()
            if not self._is_gone(server):
                gone_since = None
            elif gone_since is None:
                gone_since = now
            elif now - gone_since >= GONE_AFTER_S:
                return False
            self._clock.sleep(REPEAT_BASE_S + self._backoff.delay(number))
            number = min(number + 1, 16)
        log_event("cancelled", attempt_id=attempt_id, backend_server=server.instance)
        return True

    def _confirm(self, server, attempt_id, order):
        """Cancels again, for an engine call that the cancellation overtook."""
        try:
            for pause_s in CONFIRM_PAUSES_S:
                self._clock.sleep(pause_s)
                self._engine.cancel(server, attempt_id)
        finally:
            self._confirming -= 1
            order.finish()
