"""Estimated load of the engines: lagging reports and own placements.

A report shows an engine as it was some time ago. What this daemon had placed
there at that time is taken off the report, which leaves the load of the other
daemons; what it has placed there by now is added.
"""

from bisect import bisect_right
from dataclasses import dataclass, field

__all__ = ["LoadReport", "ServerLoad"]

# Reports are about this old when they arrive.
REPORT_LAG_S = 0.5
HISTORY = 512
# A server without a report for this long gets no work, and has been away when it
# reports again.
AWAY_S = 3.0
# Time over which a returned server gets its full share. All daemons see it empty
# at once, and would all choose it until the next reports.
RAMP_S = 8.0
RAMP_START = 0.1
# Mean length of an interactive prompt, for prefills whose lengths aren't known.
SHORT_TOKENS = 400


@dataclass(frozen=True)
class LoadReport:
    """Load of an engine as it reports it."""

    active: int
    waiting: int
    queued_tokens: int
    slots: int
    prefilling: int = 0


@dataclass
class ServerLoad:
    """What a daemon knows about the load of one backend server.

    Attributes:
        report: Newest report, if any.
        received_at: When it arrived.
        own_slots: Decode slots that own placements hold or wait for.
        own_tokens: Prompt tokens of own prefills that have not ended.
        link_bytes: Bytes of own transfers that have not ended.
    """

    report: LoadReport | None = None
    received_at: float = 0.0
    returned_at: float | None = None
    own_slots: int = 0
    own_tokens: int = 0
    link_bytes: float = 0.0
    _times: list = field(default_factory=list)
    _history: list = field(default_factory=list)

    def change(self, now, slots=0, tokens=0):
        """Records that own placements began or ended."""
        self.own_slots += slots
        self.own_tokens += tokens
        self._times.append(now)
        self._history.append((self.own_slots, self.own_tokens))
        if len(self._times) > HISTORY:
            del self._times[: HISTORY // 2]
            del self._history[: HISTORY // 2]

    def _own_at(self, at):
        position = bisect_right(self._times, at)
        return self._history[position - 1] if position else (0, 0)

    def receive(self, report, now):
        """Takes over a newer report."""
        if self.report is not None and now - self.received_at > AWAY_S:
            self.returned_at = now
        self.report = report
        self.received_at = now

    def ramp(self, now):
        """Returns the share of the decisions that may choose the server.

        It is 0 for a server that has stopped reporting.
        """
        if self.report is not None and now - self.received_at > AWAY_S:
            return 0.0
        if self.returned_at is None:
            return 1.0
        return min(1.0, RAMP_START + (now - self.returned_at) / RAMP_S)

    def active(self):
        """Returns the requests that run or wait for a slot, as estimated."""
        if self.report is None:
            return self.own_slots
        own = self._own_at(self.received_at - REPORT_LAG_S)[0]
        others = max(0, self.report.active + self.report.waiting - own)
        return others + self.own_slots

    def queued_tokens(self, now, prefill_token_s):
        """Returns the prompt tokens that wait or run, as estimated.

        The engine has worked since the report, at most on what was queued.
        """
        if self.report is None:
            return self.own_tokens
        own = self._own_at(self.received_at - REPORT_LAG_S)[1]
        others = max(0, self.report.queued_tokens - own)
        age = now - self.received_at + REPORT_LAG_S
        return max(0, others - int(age / prefill_token_s)) + self.own_tokens

    def blocking_tokens(self, queued):
        """Returns the part of the queue that an interactive request waits for.

        It waits for the prefill that runs, which can't be interrupted, and for
        interactive ones before it, but not for patient ones that wait.

        Args:
            queued: Tokens that wait or run.
        """
        count = self.own_slots
        if self.report is not None:
            own = self._own_at(self.received_at - REPORT_LAG_S)[0]
            count += max(0, self.report.prefilling - own)
        if count < 2:
            return queued
        return min(queued, queued // count + (count - 1) * SHORT_TOKENS)
