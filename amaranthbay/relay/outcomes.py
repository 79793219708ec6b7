"""What a daemon has seen of each backend server lately."""

from dataclasses import dataclass

__all__ = ["ServerOutcomes", "ServerRecord"]

# Weight of the newest observation in the averages.
FAILURE_WEIGHT = 0.25
LATENCY_WEIGHT = 0.2
# Failures are forgotten, so that a server that gets no work is tried again.
FAILURE_HALF_LIFE_S = 3.0
# A server that could not be reached is left out for this long, twice as long
# after each further failure in a row.
UNREACHABLE_BASE_S = 0.5
UNREACHABLE_LIMIT_S = 4.0
# A silent server is looked at again after this time.
SILENT_AVOIDED_S = 0.8
# Time in which a full server frees the memory of about one request.
FULL_S = 0.15
# A server that refuses what it should have room for may be on its way into the other
# pool, which takes seconds. It is left out for this long, twice as long after each
# further refusal in a row.
REFUSED_BASE_S = 0.3
REFUSED_LIMIT_S = 4.0


@dataclass
class ServerRecord:
    """Averages of one server; changed in place by `ServerOutcomes`."""

    failure: float = 0.0
    failure_at: float = 0.0
    latency_s: float = 0.0
    unreachable: int = 0
    avoid_until: float = 0.0
    full_until: float = 0.0
    refusals: int = 0


class ServerOutcomes:
    """Failure share and time to answer by server."""

    def __init__(self, clock):
        self._clock = clock
        self._records = {}

    def _record(self, server):
        return self._records.setdefault(server, ServerRecord())

    def answered(self, server, seconds):
        """Notes a proper answer."""
        record = self._record(server)
        record.failure = self.failure(server) * (1 - FAILURE_WEIGHT)
        record.failure_at = self._clock.monotonic()
        record.unreachable = 0
        if record.latency_s:
            seconds = record.latency_s + LATENCY_WEIGHT * (seconds - record.latency_s)
        record.latency_s = seconds

    def failed(self, server):
        """Notes an answer that was no proper one."""
        record = self._record(server)
        before = self.failure(server)
        record.failure = before + FAILURE_WEIGHT * (1 - before)
        record.failure_at = self._clock.monotonic()

    def unreachable(self, server):
        """Notes that a connection to the server could not be made."""
        record = self._record(server)
        pause_s = UNREACHABLE_BASE_S * 2**record.unreachable
        record.unreachable = min(record.unreachable + 1, 8)
        pause_s = min(UNREACHABLE_LIMIT_S, pause_s)
        record.avoid_until = self._clock.monotonic() + pause_s
        self.failed(server)

    def silent(self, server):
        """Notes that a server sends nothing although it has work."""
        record = self._record(server)
        record.avoid_until = self._clock.monotonic() + SILENT_AVOIDED_S

    def failure(self, server):
        """Returns the share of failures, from 0 to 1, fading with time."""
        record = self._records.get(server)
        if record is None:
            return 0.0
        age_s = self._clock.monotonic() - record.failure_at
        return record.failure * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def latency_s(self, server):
        """Returns the mean time to an answer; 0 if there was none yet."""
        record = self._records.get(server)
        return record.latency_s if record else 0.0

    def is_avoided(self, server):
        """Returns whether the server could not be reached a moment ago."""
        record = self._records.get(server)
        return record is not None and self._clock.monotonic() < record.avoid_until

    def refused_as_full(self, server):
        """Notes that the server had no room."""
        self._record(server).full_until = self._clock.monotonic() + FULL_S

    def refused_run(self, server):
        """Notes that the server refused a request that it should have room for."""
        record = self._record(server)
        pause_s = min(REFUSED_LIMIT_S, REFUSED_BASE_S * 2**record.refusals)
        record.refusals = min(record.refusals + 1, 8)
        record.full_until = self._clock.monotonic() + pause_s

    def accepted(self, server):
        """Notes that the server runs a request."""
        self._record(server).refusals = 0

    def is_full(self, server):
        """Returns whether the server had no room a moment ago."""
        record = self._records.get(server)
        return record is not None and self._clock.monotonic() < record.full_until
