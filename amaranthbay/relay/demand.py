"""Measures the prefill and decode work of a service's streams."""

from collections import deque
from statistics import median

from amaranthbay.fleet.reports import MeasuredDemand
from amaranthbay.relay.pools import StageDemand
from amaranthbay.relay.speed import PrefillSamples, PrefillSpeed
from amaranthbay.scheduling.rates import RecentRate

__all__ = ["DemandMeter"]

# Largest number of latest prompts in the mean, and smallest number of streams of all
# instances from which a demand is reported.
MAX_SAMPLES = 60
MIN_SAMPLES = 30
# Window over which decode work is measured, several times the length of a stream, and
# the interval between the checkpoints in it.
WINDOW_S = 20.0
CHECKPOINT_INTERVAL_S = 1.0
# Share of a decode server's memory that streams use on average when it is full; the
# rest is too small for the next stream.
MEAN_MEMORY_USE = 0.85
# Time from the call of a decode server to the first event, assumed until one is
# measured, and number of latest streams in its median.
ASSUMED_DECODE_START_S = 0.12
FIRST_EVENT_SAMPLES = 30
# Window over which the memory is measured that complete streams free, and smallest
# number of such streams. A longer window would show a loss of servers too late.
FREED_WINDOW_S = 4.0
MIN_FREED = 3


class _DecodeWork:
    """Decode work of one service over a moving window, in server-seconds.

    A server-second is one second of a decode server whose memory is all in use.
    """

    def __init__(self, clock):
        self._clock = clock
        self._runs = set()
        self._server_s = 0.0
        self._started = 0
        self._completed = 0
        self._freed = RecentRate(FREED_WINDOW_S, MIN_FREED)
        # Time, server-seconds, and the numbers of streams started and completed so far.
        self._checkpoints = deque([(clock.monotonic(), 0.0, 0, 0)])

    def add(self, run):
        """Records a `DecodeRun` that starts."""
        self._runs.add(run)
        self._started += 1

    def remove(self, run, completed):
        """Records that a `DecodeRun` is over; a second call changes nothing.

        Args:
            run: `DecodeRun` that is over.
            completed: Whether its stream is complete.
        """
        if run in self._runs:
            self._runs.remove(run)
            self._server_s += run.server_s()
            self._completed += completed
            if completed:
                self._freed.note(run.memory_share, self._clock.monotonic())

    def freed_per_s(self):
        """Returns the memory that complete streams free per second; None if unknown.

        Streams that break off don't count, as their server may be gone.
        """
        return self._freed.per_s(self._clock.monotonic())

    def measure(self):
        """Returns the mean server-seconds of a stream and the number that completed.

        Short streams complete first, so a mean over the completed streams alone would
        start too low. The work of all streams, running ones included, is divided by
        the mean of the numbers of started and of completed streams.
        """
        now = self._clock.monotonic()
        server_s = self._server_s + sum(run.server_s() for run in self._runs)
        if now - self._checkpoints[-1][0] >= CHECKPOINT_INTERVAL_S:
            self._checkpoints.append((now, server_s, self._started, self._completed))
        while len(self._checkpoints) > 2 and now - self._checkpoints[1][0] >= WINDOW_S:
            self._checkpoints.popleft()
        _, server_s_before, started_before, completed_before = self._checkpoints[0]
        completed = self._completed - completed_before
        streams = (self._started - started_before + completed) / 2
        if not completed:
            return 0.0, 0
        return (server_s - server_s_before) / streams, completed


class DecodeRun:
    """A stream that a decode server runs; over at the first `end` or `drop`.

    Attributes:
        memory_share: Share of the server's memory that it holds.
    """

    def __init__(self, decode_work, clock, memory_share):
        self._decode_work = decode_work
        self._clock = clock
        self.memory_share = memory_share
        self._started_at = clock.monotonic()
        decode_work.add(self)

    def server_s(self):
        """Returns the server-seconds that it has used so far."""
        return self.memory_share * (self._clock.monotonic() - self._started_at)

    def end(self):
        """Records that the stream is complete."""
        self._decode_work.remove(self, True)

    def drop(self):
        """Records that the stream broke off, unless it is complete."""
        self._decode_work.remove(self, False)


class _Samples:
    """Measurements of the latest streams of one service.

    Attributes:
        prefill_samples: `PrefillSamples` of prompts that did not queue.
        prompt_lengths: Tokens of the latest prompts.
        first_events: Seconds from the call of a decode server to the first event.
        decode_work: `_DecodeWork` of the streams.
    """

    def __init__(self, clock):
        self.prefill_samples = PrefillSamples()
        self.prompt_lengths = deque(maxlen=MAX_SAMPLES)
        self.first_events = deque(maxlen=FIRST_EVENT_SAMPLES)
        self.decode_work = _DecodeWork(clock)


class DemandMeter:
    """Measures the work of each service's streams at this instance and its peers."""

    def __init__(self, clock, peer_demands=lambda service: ()):
        """Creates an empty meter.

        Args:
            clock: `Clock`.
            peer_demands: Function of a service's name that returns the `MeasuredDemand`
                of each other instance.
        """
        self._clock = clock
        self._peer_demands = peer_demands
        self._samples = {}

    def _samples_of(self, service):
        if service not in self._samples:
            self._samples[service] = _Samples(self._clock)
        return self._samples[service]

    def note_prefill(self, service, tokens, tokens_ahead, seconds):
        """Records a prompt that a prefill server has computed.

        Args:
            service: Name of the service.
            tokens: Length of the prompt.
            tokens_ahead: Prompt tokens that were queued ahead of it.
            seconds: Time until the answer.
        """
        if not tokens_ahead:
            self._samples_of(service).prefill_samples.note(tokens, seconds)
        self._samples_of(service).prompt_lengths.append(tokens)

    def note_first_event(self, service, seconds):
        """Records the seconds from the call of a decode server to the first event."""
        self._samples_of(service).first_events.append(seconds)

    def begin_decode(self, service, memory_share):
        """Returns the `DecodeRun` of a stream that starts.

        Args:
            service: Name of the service.
            memory_share: Share of a server's memory that the stream holds.
        """
        return DecodeRun(
            self._samples_of(service).decode_work, self._clock, memory_share
        )

    def prefill_speed(self, service):
        """Returns the `PrefillSpeed` of a service.

        It is measured by this instance, else the median of the other instances, else
        the default.
        """
        own_speed = self._samples_of(service).prefill_samples.speed()
        if own_speed is not None:
            return own_speed
        peer_demands = [
            demand for demand in self._peer_demands(service) if demand.prefill_speed
        ]
        if not peer_demands:
            return PrefillSpeed()
        return PrefillSpeed(
            median(demand.prefill_speed for demand in peer_demands),
            median(demand.prefill_base_s for demand in peer_demands),
        )

    def decode_start_s(self, service):
        """Returns the median seconds from calling a decode server to its first event.

        Before the first measurement, it is `ASSUMED_DECODE_START_S`.
        """
        seconds = self._samples_of(service).first_events
        return median(seconds) if seconds else ASSUMED_DECODE_START_S

    def freed_per_s(self, service):
        """Returns the memory that streams of this instance free per second.

        It is a share of a server's memory; None before enough streams have ended.
        """
        return self._samples_of(service).decode_work.freed_per_s()

    def own_demands(self):
        """Returns the `MeasuredDemand` of this instance by service."""
        demands = {}
        for service, samples in self._samples.items():
            decode_s, completed = samples.decode_work.measure()
            streams = min(len(samples.prompt_lengths), completed)
            if streams:
                speed = samples.prefill_samples.speed() or PrefillSpeed(0.0, 0.0)
                demands[service] = MeasuredDemand(
                    sum(samples.prompt_lengths) / len(samples.prompt_lengths),
                    speed.tokens_per_s,
                    decode_s / MEAN_MEMORY_USE,
                    streams,
                    speed.base_s,
                )
        return demands

    def demand(self, service):
        """Returns the `StageDemand` of a service over all instances.

        Returns:
            None before the instances have measured enough streams.
        """
        own = self.own_demands()
        measured = [*self._peer_demands(service)]
        measured += [own[service]] if service in own else []
        streams = sum(demand.streams for demand in measured)
        if streams < MIN_SAMPLES:
            return None
        mean_prompt_tokens = (
            sum(demand.prompt_tokens * demand.streams for demand in measured) / streams
        )
        speeds = [demand.prefill_speed for demand in measured if demand.prefill_speed]
        speed = median(speeds) if speeds else PrefillSpeed().tokens_per_s
        return StageDemand(
            mean_prompt_tokens / speed,
            sum(demand.decode_s * demand.streams for demand in measured) / streams,
        )
