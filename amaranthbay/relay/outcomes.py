"""Recent outcomes of requests by backend server, as this instance has seen them."""

from dataclasses import dataclass

__all__ = ["ServerOutcomes", "ServerRecord"]

# Weights of the newest observation in the moving averages.
FAILURE_WEIGHT = 0.25
LATENCY_WEIGHT = 0.2
# The time of one call falls fast and rises slowly. Calls that other instances have
# placed meanwhile make an answer look slower than its server.
SERVICE_FALL_WEIGHT = 0.2
SERVICE_RISE_WEIGHT = 0.05
# The time of one call is outdated after this many calls could have been made, within
# these bounds. A slow server then runs a measuring call of an instance for at most a
# tenth of the time, and one that has recovered is used again within seconds.
OUTDATED_CALLS = 10
MIN_OUTDATED_S = 1.0
MAX_OUTDATED_S = 4.0
# Half-life of the failure share. As the share decays, a server that gets no work after
# failures is tried again.
FAILURE_HALF_LIFE_S = 3.0
# Time for which an unreachable server is avoided; it doubles with each further failure
# in a row, up to the maximum.
UNREACHABLE_BASE_S = 0.5
UNREACHABLE_MAX_S = 4.0
# Time for which a silent server is avoided.
SILENT_AVOIDED_S = 0.8
# Time for which a full server gets no streams or calls; about one of its streams ends
# within this time and frees its memory.
FULL_AVOIDED_S = 0.15
# Time for which a server gets no streams after it refused one that should fit; it
# doubles with each further refusal in a row, up to the maximum. The server may be
# switching to the other pool, which takes seconds.
REFUSED_BASE_S = 0.3
REFUSED_MAX_S = 4.0
# Time for which a plain server whose queue is full gets no calls. A longer one would
# let a server of short calls idle.
QUEUE_FULL_S = 0.03
# Longest time for which a plain server that refuses although it should have a free slot
# gets no calls. The time begins at that for a full server, and doubles.
QUEUE_FULL_MAX_S = 1.2
# Records that are kept, far more than a deployment has servers. Servers that are
# replaced under new names would otherwise leave records until the process ends.
MAX_RECORDS = 1000


@dataclass
class ServerRecord:
    """Recent outcomes of one server; changed in place by `ServerOutcomes`.

    Attributes:
        failure_share: Moving average of failures, from 0 to 1, at `failure_at`.
        failure_at: Monotonic time of the last update of the share.
        latency_s: Moving average of the seconds to an answer; 0 if unknown.
        service_s: Moving average of the seconds of one plain call that doesn't queue; 0
            if unknown.
        tried_at: Monotonic time at which a plain call last ended there.
        consecutive_unreachable: Failed connections in a row, 8 at most.
        avoid_until: Monotonic time until which an unreachable or silent server is
            avoided.
        full_until: Monotonic time until which the server counts as full.
        consecutive_refusals: Refusals in a row of requests that should fit, 8 at most.
    """

    failure_share: float = 0.0
    failure_at: float = 0.0
    latency_s: float = 0.0
    service_s: float = 0.0
    tried_at: float = 0.0
    consecutive_unreachable: int = 0
    avoid_until: float = 0.0
    full_until: float = 0.0
    consecutive_refusals: int = 0


class ServerOutcomes:
    """Failure share, latency and availability of each server, by its name."""

    def __init__(self, clock):
        self._clock = clock
        # In the order of the last change.
        self._records = {}

    def _record(self, server):
        """Returns the record of a server, which is about to be changed."""
        record = self._records.pop(server, None) or ServerRecord()
        self._records[server] = record
        if len(self._records) > MAX_RECORDS:
            del self._records[next(iter(self._records))]
        return record

    def note_answered(self, server, seconds):
        """Records a successful answer after some seconds."""
        record = self._record(server)
        record.failure_share = self.failure_share(server) * (1 - FAILURE_WEIGHT)
        record.failure_at = self._clock.monotonic()
        record.consecutive_unreachable = 0
        if record.latency_s:
            seconds = record.latency_s + LATENCY_WEIGHT * (seconds - record.latency_s)
        record.latency_s = seconds

    def note_call(self, server, seconds, load_factor):
        """Records the time of a plain call that was answered.

        Args:
            server: Name of the server.
            seconds: Seconds from the request to the answer.
            load_factor: By how much the calls ahead of it have lengthened its time.
        """
        record = self._record(server)
        record.consecutive_refusals = 0
        sample_s = seconds / load_factor
        outdated = self.is_outdated(server)
        self.note_tried(server)
        # A sample that disproves an outdated time replaces it, as the next one may come
        # late.
        if not record.service_s or (outdated and sample_s < record.service_s):
            record.service_s = sample_s
            return
        rises = sample_s > record.service_s
        weight = SERVICE_RISE_WEIGHT if rises else SERVICE_FALL_WEIGHT
        record.service_s += weight * (sample_s - record.service_s)

    def note_tried(self, server):
        """Records that a plain call has ended, with or without an answer."""
        self._record(server).tried_at = self._clock.monotonic()

    def is_outdated(self, server):
        """Returns whether the time of one call was measured too long ago."""
        record = self._records.get(server)
        if record is None or not record.service_s:
            return False
        valid_s = max(MIN_OUTDATED_S, OUTDATED_CALLS * record.service_s)
        age_s = self._clock.monotonic() - record.tried_at
        return age_s > min(MAX_OUTDATED_S, valid_s)

    def note_failed(self, server):
        """Records a failed request."""
        record = self._record(server)
        previous_share = self.failure_share(server)
        record.failure_share = previous_share + FAILURE_WEIGHT * (1 - previous_share)
        record.failure_at = self._clock.monotonic()

    def note_unreachable(self, server):
        """Records that no connection to the server could be made."""
        record = self._record(server)
        avoided_s = UNREACHABLE_BASE_S * 2**record.consecutive_unreachable
        record.consecutive_unreachable = min(record.consecutive_unreachable + 1, 8)
        avoided_s = min(UNREACHABLE_MAX_S, avoided_s)
        record.avoid_until = self._clock.monotonic() + avoided_s
        self.note_failed(server)

    def note_silent(self, server):
        """Records that a server sends nothing although it runs requests."""
        record = self._record(server)
        record.avoid_until = self._clock.monotonic() + SILENT_AVOIDED_S

    def failure_share(self, server):
        """Returns the share of failures, from 0 to 1, which decays over time."""
        record = self._records.get(server)
        if record is None:
            return 0.0
        age_s = self._clock.monotonic() - record.failure_at
        return record.failure_share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def latency_s(self, server):
        """Returns the mean seconds to an answer; 0 if there was none yet."""
        record = self._records.get(server)
        return record.latency_s if record else 0.0

    def service_s(self, server):
        """Returns the seconds of one plain call that doesn't queue; 0 if unknown."""
        record = self._records.get(server)
        return record.service_s if record else 0.0

    def is_avoided(self, server):
        """Returns whether the server was unreachable or silent a moment ago."""
        record = self._records.get(server)
        return record is not None and self._clock.monotonic() < record.avoid_until

    def note_refused_as_full(self, server):
        """Records that the server refused a request because its memory was full."""
        self._record(server).full_until = self._clock.monotonic() + FULL_AVOIDED_S

    def note_queue_full(self, server, expected_free):
        """Records that a plain server refused a call as not run.

        Its queue is full, which is no failure: it answers the calls that it has taken.

        Args:
            server: Name of the server.
            expected_free: Whether the server should have had a free slot.
        """
        record = self._record(server)
        if expected_free:
            avoided_s = FULL_AVOIDED_S * 2**record.consecutive_refusals
            avoided_s = min(QUEUE_FULL_MAX_S, avoided_s)
            record.consecutive_refusals = min(record.consecutive_refusals + 1, 8)
        else:
            avoided_s, record.consecutive_refusals = QUEUE_FULL_S, 0
        record.full_until = self._clock.monotonic() + avoided_s

    def note_refused(self, server):
        """Records that the server refused a request that should fit."""
        record = self._record(server)
        avoided_s = min(REFUSED_MAX_S, REFUSED_BASE_S * 2**record.consecutive_refusals)
        record.consecutive_refusals = min(record.consecutive_refusals + 1, 8)
        record.full_until = self._clock.monotonic() + avoided_s

    def note_accepted(self, server):
        """Records that the server runs a request."""
        self._record(server).consecutive_refusals = 0

    def is_full(self, server):
        """Returns whether the server refused a request a moment ago."""
        return self.full_s(server) > 0

    def full_s(self, server):
        """Returns the seconds for which the server still counts as full."""
        record = self._records.get(server)
        full_until = record.full_until if record else 0.0
        return max(0.0, full_until - self._clock.monotonic())
