"""Retry budget, backoff, and the loop that runs the attempts of a request."""

import random
import uuid
from dataclasses import replace
from datetime import timedelta

from result import Err

from amaranthbay.kernel.errors import Verdict
from amaranthbay.kernel.requests import Attempt
from amaranthbay.observe import current_metrics, log_event

__all__ = ["Backoff", "RetryBudget", "new_attempt", "run_attempts"]

MAX_ATTEMPTS = 4
# As long as a backend server that failed is left out, so that the caller's next
# request finds it gone or back.
GIVEN_UP_RETRY_AFTER = timedelta(seconds=2)


class RetryBudget:
    """Token bucket that allows retries as a share of the requests.

    Retries beyond this share would add load to servers that already fail.
    """

    def __init__(self, ratio=0.1, initial=10.0, limit=100.0):
        self._ratio = ratio
        self._limit = limit
        self._tokens = initial

    def deposit(self):
        """Counts a first attempt."""
        self._tokens = min(self._limit, self._tokens + self._ratio)

    def withdraw(self):
        """Returns whether a retry is allowed, and counts it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Backoff:
    """Exponential backoff with full jitter."""

    def __init__(self, base_s=0.02, limit_s=1.0, rng=None):
        self._base_s = base_s
        self._limit_s = limit_s
        self._rng = rng or random.Random()

    def delay(self, number):
        """Returns the seconds to wait before attempt ``number + 1``."""
        bound = min(self._limit_s, self._base_s * 2 ** (number - 1))
        return self._rng.uniform(0.0, bound)


def new_attempt(request_id, number):
    """Returns an attempt with an id that no other attempt has.

    An attempt after the first is counted as a retry.
    """
    if number > 1:
        current_metrics().retried()
    return Attempt(request_id, uuid.uuid4().hex, number)


def run_attempts(work, run, budget, backoff, clock):
    """Runs attempts until one succeeds or a retry isn't allowed.

    Args:
        work: The `Work`.
        run: Function of an `Attempt` that returns ``Result[T, Refusal]``.
        budget: `RetryBudget` of the service.
        backoff: `Backoff`.
        clock: `Clock`.

    Returns:
        ``Result[T, Refusal]``; the verdict covers all attempts together.
    """
    budget.deposit()
    worst = Verdict.NOT_RUN
    number = 1
    while True:
        outcome = run(new_attempt(work.request.request_id, number))
        if outcome.is_ok():
            return outcome
        refusal = outcome.unwrap_err()
        log_event(
            "attempt_failed",
            request_id=work.request.request_id,
            attempt=number,
            reason=refusal.reason,
            verdict=refusal.verdict,
            detail=refusal.detail,
        )
        worst = _worse(worst, refusal.verdict)
        delay_s = backoff.delay(number)
        if not _may_retry(work, refusal, number, delay_s, budget, clock):
            return Err(_final(refusal, worst))
        clock.sleep(delay_s)
        number += 1


def _worse(first, second):
    order = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)
    return max(first, second, key=order.index)


def _may_retry(work, refusal, number, delay_s, budget, clock):
    if number == MAX_ATTEMPTS or refusal.status < 500:
        return False
    if refusal.verdict is not Verdict.NOT_RUN and not work.idempotent:
        return False
    if work.deadline is not None and clock.monotonic() + delay_s >= work.deadline:
        return False
    return budget.withdraw()


def _final(refusal, verdict):
    """Returns the answer to a request that is given up on."""
    if refusal.retry_after is None and refusal.status >= 500:
        refusal = replace(refusal, retry_after=GIVEN_UP_RETRY_AFTER)
    return refusal.with_verdict(verdict)
