"""Cancels attempts on engines, with retries until the engines acknowledge it."""

from collections import OrderedDict
from dataclasses import dataclass

import gevent

from amaranthbay.kernel.retries import Backoff
from amaranthbay.observe import log_event

__all__ = ["CancelQueue"]

# A server counts as gone only after the instance list has omitted it for this long. One
# lagging or partial list must not drop a cancellation.
GONE_AFTER_S = 10.0
# Bounds the memory for one unreachable server; beyond it, the oldest cancellation is
# dropped.
QUEUE_LIMIT = 10_000
# An engine call without a reply may arrive after its cancellation, so the cancellation
# is repeated after these delays, even if the engine has acknowledged it.
REPEAT_DELAYS_S = (0.5, 2.0)
RETRY_BASE_S = 0.05


@dataclass(frozen=True)
class _Cancellation:
    """One cancellation.

    Attributes:
        unanswered: Whether it must be repeated, see `CancelQueue.cancel`.
        on_finished: Function called when it is finished or dropped; None for none.
    """

    unanswered: bool
    on_finished: object

    def merged(self, other):
        """Returns the cancellation that replaces two of the same attempt."""

        def on_finished():
            self.finish()
            other.finish()

        return _Cancellation(self.unanswered or other.unanswered, on_finished)

    def finish(self):
        """Calls `on_finished`, if there is one."""
        if self.on_finished is not None:
            self.on_finished()


class CancelQueue:
    """Cancels attempts on engines, in the background.

    One greenlet per server sends the cancellations of that server one by one, so there
    is only one connection attempt at a time to an unreachable server.
    """

    def __init__(self, engine, clock, is_gone, limit=QUEUE_LIMIT):
        """Creates the queue.

        Args:
            engine: `EngineClient` that sends the cancellations.
            clock: `Clock` for retry delays.
            is_gone: Function of a `BackendServer` that returns whether the instance
                list no longer contains it.
            limit: Largest number of cancellations queued for one server.
        """
        self._engine = engine
        self._clock = clock
        self._is_gone = is_gone
        self._limit = limit
        self._backoff = Backoff(base_s=RETRY_BASE_S, limit_s=2.0)
        self._queues = {}
        self._repeating_count = 0

    @property
    def outstanding(self):
        """Number of cancellations that are not finished."""
        return sum(map(len, self._queues.values())) + self._repeating_count

    def cancel(self, server, attempt_id, unanswered=False, on_finished=None):
        """Queues the cancellation of an attempt on a server; never blocks.

        Args:
            server: `BackendServer`.
            attempt_id: Attempt to cancel.
            unanswered: Whether an engine call of the attempt may arrive late; the
                cancellation is then repeated after it was acknowledged.
            on_finished: Function called once the cancellation is finished or dropped.
        """
        queue = self._queues.get(server)
        if queue is None:
            queue = self._queues[server] = OrderedDict()
            gevent.spawn(self._process_queue, server, queue)
        cancellation = _Cancellation(unanswered, on_finished)
        pending = queue.get(attempt_id)
        queue[attempt_id] = (
            cancellation if pending is None else pending.merged(cancellation)
        )
        if len(queue) > self._limit:
            dropped, oldest = queue.popitem(last=False)
            log_event("cancel_dropped", level="error", attempt_id=dropped)
            oldest.finish()

    def _process_queue(self, server, queue):
        """Sends the cancellations of one server until the queue is empty."""
        try:
            while queue:
                attempt_id = next(iter(queue))
                if not self._retry_until_acknowledged(server, attempt_id):
                    log_event("cancel_dropped", attempt_ids=list(queue))
                    break
                cancellation = queue.pop(attempt_id, None)
                if cancellation is not None and cancellation.unanswered:
                    self._repeating_count += 1
                    gevent.spawn(self._repeat, server, attempt_id, cancellation)
                elif cancellation is not None:
                    cancellation.finish()
        finally:
            del self._queues[server]
            for cancellation in queue.values():
                cancellation.finish()

    def _retry_until_acknowledged(self, server, attempt_id):
        """Cancels until acknowledged; returns False if the server is gone."""
        tries = 1
        gone_since = None
        while not self._engine.cancel(server, attempt_id):
            now = self._clock.monotonic()
            if not self._is_gone(server):
                gone_since = None
            elif gone_since is None:
                gone_since = now
            elif now - gone_since >= GONE_AFTER_S:
                return False
            self._clock.sleep(RETRY_BASE_S + self._backoff.delay(tries))
            tries = min(tries + 1, 16)
        log_event("cancelled", attempt_id=attempt_id, backend_server=server.instance)
        return True

    def _repeat(self, server, attempt_id, cancellation):
        """Repeats an acknowledged cancellation, in case an engine call arrives late."""
        try:
            for delay_s in REPEAT_DELAYS_S:
                self._clock.sleep(delay_s)
                self._engine.cancel(server, attempt_id)
        finally:
            self._repeating_count -= 1
            cancellation.finish()
