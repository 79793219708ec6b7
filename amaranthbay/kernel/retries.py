"""Retry budget, backoff and the retry loop of a request."""

import random
from dataclasses import replace
from datetime import timedelta

from result import Err

from amaranthbay.kernel.attempt_ids import new_attempt_id
from amaranthbay.kernel.errors import Verdict
from amaranthbay.kernel.requests import Attempt
from amaranthbay.observe import current_metrics, log_event

__all__ = ["Backoff", "RetryBudget", "new_attempt", "run_attempts"]

MAX_ATTEMPTS = 4
# Delay for the caller if the last refusal gives none. A failed backend server gets no
# requests for this long, so by then it has either recovered or left the directory.
DEFAULT_RETRY_AFTER = timedelta(seconds=2)


class RetryBudget:
    """Token bucket that limits retries to a share of the requests.

    More retries would add load to servers that already fail.
    """

    def __init__(self, ratio=0.1, initial=10.0, limit=100.0):
        """Creates the budget.

        Args:
            ratio: Retries allowed per request.
            initial: Tokens at the start.
            limit: Largest number of tokens.
        """
        self._ratio = ratio
        self._limit = limit
        self._tokens = initial

    def deposit(self):
        """Adds the tokens of one request; called at its first attempt."""
        self._tokens = min(self._limit, self._tokens + self._ratio)

    def withdraw(self):
        """Takes a token for a retry; returns whether there was one."""
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
        """Returns the seconds to wait after attempt ``number``."""
        bound = min(self._limit_s, self._base_s * 2 ** (number - 1))
        return self._rng.uniform(0.0, bound)


def new_attempt(request_id, number, workspace=None):
    """Returns an attempt with a unique id.

    An attempt after the first is counted as a retry in the metrics.

    Args:
        request_id: Id of the request.
        number: Number of the attempt, from 1.
        workspace: `workspaces.Workspace` of the request's key; None if it needs none.
    """
    if number > 1:
        current_metrics().retried()
    return Attempt(request_id, new_attempt_id(workspace), number)


def run_attempts(work, run_attempt, budget, backoff, clock):
    """Runs attempts until one succeeds or no retry is allowed.

    Args:
        work: `Work` of the request.
        run_attempt: Function of an `Attempt` that returns ``Result[T, Refusal]``.
        budget: `RetryBudget` of the service.
        backoff: `Backoff` between the attempts.
        clock: `Clock` that the deadline of the work refers to.

    Returns:
        ``Result[T, Refusal]``. A refusal has the worst verdict of all attempts: work
        that may have run in any of them may have run. A request that the configuration
        no longer admits gets no further attempt.
    """
    budget.deposit()
    worst_verdict = Verdict.NOT_RUN
    number = 1
    failure = None
    while True:
        denied = work.refusal()
        if denied is not None:
            # The refusal of an attempt that may have run says more to the caller.
            has_run = worst_verdict is not Verdict.NOT_RUN
            return Err(failure if has_run else denied)
        attempt = new_attempt(work.request.request_id, number, work.workspace)
        outcome = run_attempt(attempt)
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
        worst_verdict = _worse_verdict(worst_verdict, refusal.verdict)
        delay_s = backoff.delay(number)
        failure = _final_refusal(refusal, worst_verdict)
        if not _may_retry(work, refusal, number, delay_s, budget, clock):
            return Err(failure)
        clock.sleep(delay_s)
        number += 1


def _worse_verdict(first, second):
    severity = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)
    return max(first, second, key=severity.index)


def _may_retry(work, refusal, number, delay_s, budget, clock):
    """Returns whether another attempt is allowed; if so, takes it from the budget."""
    if number == MAX_ATTEMPTS or refusal.status < 500:
        return False
    if refusal.verdict is not Verdict.NOT_RUN and not work.idempotent:
        return False
    if work.deadline is not None and clock.monotonic() + delay_s >= work.deadline:
        return False
    return budget.withdraw()


def _final_refusal(refusal, verdict):
    """Returns the refusal for the caller after the last attempt."""
    if refusal.retry_after is None and refusal.status >= 500:
        refusal = replace(refusal, retry_after=DEFAULT_RETRY_AFTER)
    return refusal.with_verdict(verdict)
