"""Admission: interactive before patient, with a guaranteed share for patient."""

import random
from datetime import timedelta

import gevent
from result import Err, Ok

from amaranthbay.dispatch.types import ModelCall
from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.observe import log_decision
from amaranthbay.placement.fair_queue import FairQueue
from amaranthbay.utils.tokens import estimate_tokens

__all__ = ["BoundedAdmission", "TokenShare"]

# Patient work is refused first, so that a daemon keeps room for interactive calls.
PATIENT_ROOM = 0.8
# Share of the started prompt tokens that patient work gets at the least.
PATIENT_SHARE = 0.2
SHARE_HALF_LIFE_S = 20.0
RETRY_AFTER = timedelta(seconds=1)
TICK_S = 0.05
# Other daemons see a start only in a report of about this age.
BLIND_S = 0.75
# Starts in that time over all daemons, if all of them have patient work waiting.
# Without a bound each would start one on the same idle server.
BLIND_STARTS_PER_SERVER = 1.0


class TokenShare:
    """Prompt tokens started for interactive and for patient work, fading."""

    def __init__(self):
        self._tokens = [0.0, 0.0]
        self._at = 0.0

    def _fade(self, now):
        factor = 0.5 ** ((now - self._at) / SHARE_HALF_LIFE_S)
        self._tokens = [each * factor for each in self._tokens]
        self._at = now

    def add(self, interactive, tokens, now):
        """Counts a started request."""
        self._fade(now)
        self._tokens[0 if interactive else 1] += tokens

    def is_patient_owed(self):
        """Returns whether patient work has had less than its share."""
        interactive, patient = self._tokens
        return patient < PATIENT_SHARE * (interactive + patient)


class BoundedAdmission:
    """Admits a bounded number of requests; patient ones wait for their turn.

    Attributes:
        active: Requests admitted or waiting.
        queue: Patient requests that wait.
    """

    def __init__(
        self,
        limit,
        clock,
        may_start=None,
        peers=lambda: 1,
        rng=None,
        servers=lambda: 3,
    ):
        """Creates the admission.

        Args:
            limit: Requests that the daemon holds.
            clock: `Clock`.
            may_start: Function of a `Work` and of whether the patient share is
                owed, which tells whether the request would be served in time if
                it started now. None starts patient work at once.
            peers: Function that returns the number of daemons.
            rng: Random generator.
            servers: Function that returns the number of prefill servers.
        """
        self._servers = servers
        self._limit = limit
        self._clock = clock
        self._may_start = may_start
        self._peers = peers
        self._rng = rng or random.Random()
        self._dispatcher = None
        self._credit = 1.0
        self._credit_at = clock.monotonic()
        self.share = TokenShare()
        self.queue = FairQueue()
        self.active = 0

    def admit(self, work):
        """Returns ``Result[release function, Refusal]``.

        A patient model call blocks here until its turn; killing the greenlet
        frees its place.
        """
        limit = self._limit if work.interactive else self._limit * PATIENT_ROOM
        if self.active >= limit:
            detail = "the daemon has too many requests in progress"
            return Err(not_run(Reason.OVERLOADED, detail, 503, RETRY_AFTER))
        self.active += 1
        try:
            if isinstance(work.request.payload, ModelCall):
                self._wait_turn(work)
        except BaseException:
            self._release()
            raise
        return Ok(self._release)

    def _release(self):
        self.active -= 1

    def _wait_turn(self, work):
        if self._may_start is not None and not work.interactive:
            ticket = self.queue.join(work)
            self._wake_dispatcher()
            try:
                ticket.called.wait()
            finally:
                self.queue.leave(ticket)
        tokens = estimate_tokens(work.request.payload.prompt)
        self.share.add(work.interactive, tokens, self._clock.monotonic())

    def _wake_dispatcher(self):
        if self._dispatcher is None or self._dispatcher.dead:
            self._dispatcher = gevent.spawn(self._call_in_turn)

    def _call_in_turn(self):
        """Calls waiting requests until the queue is empty."""
        while len(self.queue):
            self.tick()
            self._clock.sleep(TICK_S)

    def tick(self):
        """Calls the next patient request if it may start now."""
        ticket = self.queue.head()
        if ticket is None:
            return
        owed = self.share.is_patient_owed()
        if self._peers() > 1 and not self._has_credit():
            return
        if self._may_start(ticket.work, owed):
            # The variation keeps daemons with full queues from starting in step.
            self._credit -= self._rng.uniform(0.5, 1.5)
            self._call_head(owed)

    def _has_credit(self):
        """Returns whether this daemon's share of the starts allows one now.

        Credit grows with time up to one start, so that a single request on an
        idle system doesn't wait for it.
        """
        now = self._clock.monotonic()
        elapsed_s, self._credit_at = now - self._credit_at, now
        rate = BLIND_STARTS_PER_SERVER * self._servers() / BLIND_S / self._peers()
        self._credit = min(1.0, self._credit + rate * elapsed_s)
        return self._credit >= 1.0

    def _call_head(self, owed):
        ticket = self.queue.call_head()
        log_decision(
            "admission",
            ticket.work.request.request_id,
            (),
            "patient share is owed" if owed else "result is taken in time",
            queued=len(self.queue),
        )
