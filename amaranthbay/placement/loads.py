"""Load of the engines, estimated from delayed reports and this daemon's placements.

A report shows an engine as it was some time ago. The estimate subtracts what this
daemon had placed there at that time, which leaves the load of the other daemons, and
adds what this daemon has placed there by now. "Own" refers to this daemon.
"""

from bisect import bisect_right
from dataclasses import dataclass, field

__all__ = ["LoadEstimate", "LoadReport"]

# Assumed age of a report when it arrives.
REPORT_LAG_S = 0.5
MAX_HISTORY = 512
# A server whose last report is older than this gets no work, and counts as returned
# when it reports again.
REPORT_EXPIRY_S = 3.0
# Time over which the share of a returned server rises to 1. All daemons see the
# server idle at the same time, and would all choose it until the next reports.
RAMP_S = 8.0
RAMP_START = 0.1
# Mean length of an interactive prompt, assumed for queued prefills, whose lengths
# aren't known.
INTERACTIVE_PROMPT_TOKENS = 400


@dataclass(frozen=True)
class LoadReport:
    """Load of an engine as it reports it.

    Attributes:
        active: Requests that run.
        waiting: Requests that wait for a slot.
        queued_tokens: Prompt tokens of the prefills that run or wait.
        slots: Requests that the engine can run at once.
        prefilling: Prefills that run or wait.
    """

    active: int
    waiting: int
    queued_tokens: int
    slots: int
    prefilling: int = 0


@dataclass
class LoadEstimate:
    """What a daemon knows about the load of one backend server.

    Times are monotonic, in seconds.

    Attributes:
        report: Newest report, or None.
        received_at: Time at which ``report`` arrived.
        returned_at: Time of the first report after a silence of more than
            `REPORT_EXPIRY_S`, or None.
        own_requests: Own prefills on the server that have not ended, or own streams
            that hold a decode slot or will need one.
        own_tokens: Uncached prompt tokens of own prefills that have not ended.
        link_bytes: Bytes of own KV cache transfers that have not ended.
    """

    report: LoadReport | None = None
    received_at: float = 0.0
    returned_at: float | None = None
    own_requests: int = 0
    own_tokens: int = 0
    link_bytes: float = 0.0
    # Own requests and tokens after each change, and the time of the change.
    _history_times: list = field(default_factory=list)
    _history: list = field(default_factory=list)

    def change(self, now, requests=0, tokens=0):
        """Records that own placements began or ended.

        Args:
            now: Monotonic time in seconds.
            requests: Change of ``own_requests``.
            tokens: Change of ``own_tokens``.
        """
        self.own_requests += requests
        self.own_tokens += tokens
        self._history_times.append(now)
        self._history.append((self.own_requests, self.own_tokens))
        if len(self._history_times) > MAX_HISTORY:
            del self._history_times[: MAX_HISTORY // 2]
            del self._history[: MAX_HISTORY // 2]

    def _own_load_at(self, moment):
        """Returns ``(own_requests, own_tokens)`` as they were at a time."""
        position = bisect_right(self._history_times, moment)
        return self._history[position - 1] if position else (0, 0)

    def receive(self, report, now):
        """Stores a newer report, received now."""
        if self.report is not None and now - self.received_at > REPORT_EXPIRY_S:
            self.returned_at = now
        self.report = report
        self.received_at = now

    def ramp(self, now):
        """Returns the share of the decisions, 0 to 1, that may choose the server.

        It is 0 while the server doesn't report, and rises to 1 after its return.
        """
        if self.report is not None and now - self.received_at > REPORT_EXPIRY_S:
            return 0.0
        if self.returned_at is None:
            return 1.0
        return min(1.0, RAMP_START + (now - self.returned_at) / RAMP_S)

    def active(self):
        """Returns the estimated number of requests that run or wait for a slot."""
        if self.report is None:
            return self.own_requests
        own = self._own_load_at(self.received_at - REPORT_LAG_S)[0]
        others = max(0, self.report.active + self.report.waiting - own)
        return others + self.own_requests

    def queued_tokens(self, now, prefill_token_s):
        """Returns the estimated prompt tokens of the prefills that run or wait.

        The reported load of other daemons is reduced by what the engine can have
        processed since.

        Args:
            now: Monotonic time in seconds.
            prefill_token_s: Prefill time of one token in seconds.
        """
        if self.report is None:
            return self.own_tokens
        own = self._own_load_at(self.received_at - REPORT_LAG_S)[1]
        others = max(0, self.report.queued_tokens - own)
        age_s = now - self.received_at + REPORT_LAG_S
        return max(0, others - int(age_s / prefill_token_s)) + self.own_tokens

    def blocking_tokens(self, queued):
        """Returns the part of the queued tokens that delays an interactive request.

        An interactive request waits for the running prefill, which can't be
        interrupted, and for earlier interactive ones, but not for waiting patient
        ones.

        Args:
            queued: Prompt tokens of the prefills that run or wait.
        """
        prefill_count = self.own_requests
        if self.report is not None:
            own = self._own_load_at(self.received_at - REPORT_LAG_S)[0]
            prefill_count += max(0, self.report.prefilling - own)
        if prefill_count < 2:
            return queued
        return min(
            queued,
            queued // prefill_count + (prefill_count - 1) * INTERACTIVE_PROMPT_TOKENS,
        )
