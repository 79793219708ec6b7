"""Admission of requests to the daemon.

Interactive model calls start at once. Patient ones, whose callers have no target for
the first token, wait in a fair queue until they can start without delaying interactive
ones, and are guaranteed a share of the started prompt tokens. The priorities of
workspaces decide which of them start first, and which make way when the daemon is full.
"""

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

# Share of the request limit up to which patient requests are admitted. They are
# refused first, so that a daemon keeps room for interactive ones.
PATIENT_LIMIT_SHARE = 0.8
# Guaranteed share of patient requests in the started prompt tokens.
PATIENT_MIN_SHARE = 0.2
SHARE_HALF_LIFE_S = 20.0
RETRY_AFTER = timedelta(seconds=1)
TICK_S = 0.05
# Interval at which waiting requests are compared with the configuration in force. A
# patient request may wait for minutes after its key was removed.
ACCESS_CHECK_INTERVAL_S = 1.0
# Approximate time until other daemons see a start in the server's load report.
START_VISIBLE_S = 0.75
# Most patient requests that all daemons together start for each prefill server in
# START_VISIBLE_S, if all of them have patient requests queued. Without this bound each
# daemon would start one on the same idle server.
UNSEEN_STARTS_PER_SERVER = 1.0


class TokenShare:
    """Prompt tokens of started requests, with exponential decay.

    Interactive and patient requests are counted separately.
    """

    def __init__(self):
        # Interactive tokens first, then patient ones.
        self._tokens = [0.0, 0.0]
        self._decayed_at = 0.0

    def _decay(self, now):
        factor = 0.5 ** ((now - self._decayed_at) / SHARE_HALF_LIFE_S)
        self._tokens = [count * factor for count in self._tokens]
        self._decayed_at = now

    def add(self, interactive, tokens, now):
        """Counts a started request.

        Args:
            interactive: Whether the request is interactive.
            tokens: Prompt tokens of the request.
            now: Monotonic time in seconds.
        """
        self._decay(now)
        self._tokens[0 if interactive else 1] += tokens

    def is_patient_below_share(self):
        """Returns whether patient requests have had less than PATIENT_MIN_SHARE."""
        interactive, patient = self._tokens
        return patient < PATIENT_MIN_SHARE * (interactive + patient)


class BoundedAdmission:
    """Admits a bounded number of requests and queues patient model calls.

    Attributes:
        active: Number of requests that are admitted or queued.
        queue: `FairQueue` of the patient requests that wait.
        token_share: `TokenShare` of the started model calls.
    """

    def __init__(
        self,
        limit,
        clock,
        may_start=None,
        daemon_count=lambda: 1,
        rng=None,
        prefill_count=lambda: 3,
    ):
        """Creates the admission.

        Args:
            limit: Most requests that the daemon admits or queues at a time.
            clock: `Clock` for the rate of patient starts and the queue's interval.
            may_start: Function that takes a `Work` and whether patient requests are
                below their share, and returns whether the request may start now.
                None starts patient requests at once.
            daemon_count: Function that returns the number of daemons.
            rng: Random generator that varies the rate of patient starts.
            prefill_count: Function that returns the number of prefill servers, which
                the rate of patient starts grows with.
        """
        self._prefill_count = prefill_count
        self._limit = limit
        self._clock = clock
        self._may_start = may_start
        self._daemon_count = daemon_count
        self._rng = rng or random.Random()
        self._dispatcher = None
        self._credit = 1.0
        self._credit_at = clock.monotonic()
        self._access_checked_at = clock.monotonic()
        self.token_share = TokenShare()
        self.queue = FairQueue(clock)
        self.active = 0

    def admit(self, work):
        """Admits a request, and blocks a patient model call until it may start.

        Killing the blocked greenlet removes the request from the queue.

        Args:
            work: The classified `Work`.

        Returns:
            ``Result[Callable, Refusal]``. The caller calls the function when the
            request has ended. A request is refused if the configuration in force no
            longer admits it after the wait.
        """
        if self._queues(work):
            self.queue.note_arrival(work)
        limit = self._limit if work.interactive else self._limit * PATIENT_LIMIT_SHARE
        if self.active >= limit and not self._make_room(work):
            return Err(_overloaded("the daemon has too many requests in progress"))
        self.active += 1
        try:
            if isinstance(work.request.payload, ModelCall):
                waited = self._wait_to_start(work)
                if waited.is_err():
                    self._release()
                    return waited
        except BaseException:
            self._release()
            raise
        return Ok(self._release)

    def _release(self):
        self.active -= 1

    def _queues(self, work):
        """Returns whether a request waits in the queue before it starts."""
        is_model_call = isinstance(work.request.payload, ModelCall)
        return self._may_start is not None and is_model_call and not work.interactive

    def _make_room(self, work):
        """Refuses a less urgent request that waits; returns whether there was one."""
        ticket = self.queue.ticket_to_drop(work, self._queues(work))
        if ticket is None:
            return False
        detail = "the daemon made room for a request of another priority"
        self.queue.refuse(ticket, _overloaded(detail))
        return True

    def _wait_to_start(self, work):
        """Returns ``Result[None, Refusal]`` when the request may start."""
        if self._queues(work):
            ticket = self.queue.enqueue(work)
            self._ensure_dispatcher()
            try:
                ticket.dequeued.wait()
            finally:
                self.queue.remove(ticket)
            denied = ticket.refusal or work.refusal()
            if denied is not None:
                return Err(denied)
        tokens = estimate_tokens(work.request.payload.prompt)
        self.token_share.add(work.interactive, tokens, self._clock.monotonic())
        return Ok(None)

    def _ensure_dispatcher(self):
        if self._dispatcher is None or self._dispatcher.dead:
            self._dispatcher = gevent.spawn(self._run_dispatcher)

    def _run_dispatcher(self):
        """Starts queued requests until the queue is empty."""
        while len(self.queue):
            self.tick()
            self._clock.sleep(TICK_S)

    def tick(self):
        """Starts the next patient request if it may start now."""
        self._refuse_denied()
        ticket = self.queue.peek()
        if ticket is None:
            return
        below_share = self.token_share.is_patient_below_share()
        if self._daemon_count() > 1 and not self._refill_credit():
            return
        if self._may_start(ticket.work, below_share):
            # The jitter keeps daemons with full queues from starting in step.
            self._credit -= self._rng.uniform(0.5, 1.5)
            self._start_next(below_share)

    def _refuse_denied(self):
        """Refuses the waiting requests that the configuration no longer admits."""
        now = self._clock.monotonic()
        if now - self._access_checked_at < ACCESS_CHECK_INTERVAL_S:
            return
        self._access_checked_at = now
        for ticket in self.queue.tickets():
            denied = ticket.work.refusal()
            if denied is not None:
                self.queue.refuse(ticket, denied)

    def _refill_credit(self):
        """Refills the credit for patient starts; returns whether it covers one.

        The credit is a token bucket that fills at this daemon's share of the rate of
        all daemons. It holds up to one start, so that a single request on an idle
        system doesn't wait for it.
        """
        now = self._clock.monotonic()
        elapsed_s, self._credit_at = now - self._credit_at, now
        rate = (
            UNSEEN_STARTS_PER_SERVER
            * self._prefill_count()
            / START_VISIBLE_S
            / self._daemon_count()
        )
        self._credit = min(1.0, self._credit + rate * elapsed_s)
        return self._credit >= 1.0

    def _start_next(self, below_share):
        ticket = self.queue.dequeue()
        log_decision(
            "admission",
            ticket.work.request.request_id,
            (),
            "patient share is below its minimum" if below_share else "capacity is free",
            queued=len(self.queue),
            priority=ticket.work.priority,
        )


def _overloaded(detail):
    return not_run(Reason.OVERLOADED, detail, 503, RETRY_AFTER)
