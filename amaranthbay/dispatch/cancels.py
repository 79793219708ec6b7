"""Repeats cancellations until the engines acknowledge them."""

import gevent

from amaranthbay.kernel.retries import Backoff
from amaranthbay.observe import log_event

__all__ = ["CancelQueue"]


class CancelQueue:
    """Cancels attempts on engines, in the background.

    Attributes:
        outstanding: Number of cancellations without an acknowledgement.
    """

    def __init__(self, engine, clock, is_gone):
        """Creates the queue.

        Args:
            engine: `EngineClient`.
            clock: `Clock`.
            is_gone: Function of a server that tells whether it no longer exists.
        """
        self._engine = engine
        self._clock = clock
        self._is_gone = is_gone
        self._backoff = Backoff(base_s=0.05, limit_s=2.0)
        self.outstanding = 0

    def cancel(self, server, attempt_id):
        """Starts to cancel an attempt on a server; returns at once."""
        self.outstanding += 1
        gevent.spawn(self._repeat, server, attempt_id)

    def _repeat(self, server, attempt_id):
        number = 1
        try:
            while not self._engine.cancel(server, attempt_id):
                if self._is_gone(server):
                    log_event("cancel_dropped", attempt_id=attempt_id)
                    return
                self._clock.sleep(0.05 + self._backoff.delay(number))
                number += 1
            log_event(
                "cancelled", attempt_id=attempt_id, backend_server=server.instance
            )
        finally:
            self.outstanding -= 1
