"""Measures how much work of each stage the streams of a service bring."""

from collections import deque
from statistics import median

from amaranthbay.fleet.reports import MeasuredDemand
from amaranthbay.relay.pools import StageDemand
from amaranthbay.relay.speed import PrefillSpeed, PrefillTimes

__all__ = ["DemandMeter"]

# Prompts over which the means are taken, and streams from which on they are trusted.
SAMPLES = 60
LEAST_SAMPLES = 30
# Span over which the time of decode servers is taken, several times that of a stream,
# and the distance of the marks in it.
SPAN_S = 20.0
MARK_S = 1.0
# Part of a decode server's memory that streams fill on average; the rest is too small
# for the next one.
FILL_SHARE = 0.85
# Time from the call of a decode server to the first event of its stream until one was
# measured, and the streams over which it is taken.
ASSUMED_FIRST_EVENT_S = 0.12
FIRST_EVENTS = 30


class _Decodes:
    """Time of decode servers that streams have taken, over a moving span."""

    def __init__(self, clock):
        self._clock = clock
        self._runs = set()
        self._taken_s = 0.0
        self._begun = 0
        self._ended = 0
        # Time, server seconds, and the numbers of streams that had begun and ended.
        self._marks = deque([(clock.monotonic(), 0.0, 0, 0)])

    def add(self, run):
        """Notes a `DecodeRun` that begins."""
        self._runs.add(run)
        self._begun += 1

    def remove(self, run, whole):
        """Notes a `DecodeRun` that is over; a second time changes nothing."""
        if run in self._runs:
            self._runs.remove(run)
            self._taken_s += run.taken_s()
            self._ended += whole

    def measure(self):
        """Returns the mean seconds of a whole server, and the number of streams.

        Short streams end first, so that the mean of those that have ended is too low
        at first. The time that all have taken lies between that of the ended and that
        of the begun ones.
        """
        now = self._clock.monotonic()
        taken_s = self._taken_s + sum(each.taken_s() for each in self._runs)
        if now - self._marks[-1][0] >= MARK_S:
            self._marks.append((now, taken_s, self._begun, self._ended))
        while len(self._marks) > 2 and now - self._marks[1][0] >= SPAN_S:
            self._marks.popleft()
        _, taken_before_s, begun_before, ended_before = self._marks[0]
        ended = self._ended - ended_before
        streams = (self._begun - begun_before + ended) / 2
        if not ended:
            return 0.0, 0
        return (taken_s - taken_before_s) / streams, ended


class DecodeRun:
    """A stream that a decode server runs; ends once, by `end` or `drop`."""

    def __init__(self, decodes, clock, memory_share):
        self._decodes = decodes
        self._clock = clock
        self._memory_share = memory_share
        self._started_at = clock.monotonic()
        decodes.add(self)

    def taken_s(self):
        """Returns the seconds of a whole server that it has taken so far."""
        return self._memory_share * (self._clock.monotonic() - self._started_at)

    def end(self):
        """Notes that the stream is whole."""
        self._decodes.remove(self, True)

    def drop(self):
        """Notes that the stream has broken off, unless it has ended."""
        self._decodes.remove(self, False)


class _Samples:
    """What the latest streams of one service took."""

    def __init__(self, clock):
        self.prefills = PrefillTimes()
        self.prompts = deque(maxlen=SAMPLES)
        self.first_events = deque(maxlen=FIRST_EVENTS)
        self.decodes = _Decodes(clock)


class DemandMeter:
    """Latest streams by service."""

    def __init__(self, clock, of_peers=lambda service: ()):
        """Creates an empty meter.

        Args:
            clock: `Clock`.
            of_peers: Function of a service's name that returns the `MeasuredDemand`
                of other daemons.
        """
        self._clock = clock
        self._of_peers = of_peers
        self._samples = {}

    def _of(self, service):
        if service not in self._samples:
            self._samples[service] = _Samples(self._clock)
        return self._samples[service]

    def note_prefill(self, service, tokens, tokens_ahead, seconds):
        """Notes a prompt that a prefill server has computed.

        Args:
            service: Name of the service.
            tokens: Length of the prompt.
            tokens_ahead: Those of the prompts that were ahead of it.
            seconds: Time until the answer.
        """
        if not tokens_ahead:
            self._of(service).prefills.note(tokens, seconds)
        self._of(service).prompts.append(tokens)

    def note_first_event(self, service, seconds):
        """Notes the time from the call of a decode server to a stream's first event."""
        self._of(service).first_events.append(seconds)

    def begin_decode(self, service, memory_share):
        """Returns the `DecodeRun` of a stream that begins.

        Args:
            service: Name of the service.
            memory_share: Part of a server's memory that the stream holds.
        """
        return DecodeRun(self._of(service).decodes, self._clock, memory_share)

    def prefill_speed(self, service):
        """Returns the `PrefillSpeed` of a service, as others measure it if need be."""
        own = self._of(service).prefills.speed()
        if own is not None:
            return own
        of_peers = [each for each in self._of_peers(service) if each.prefill_speed]
        if not of_peers:
            return PrefillSpeed()
        return PrefillSpeed(
            median(each.prefill_speed for each in of_peers),
            median(each.prefill_base_s for each in of_peers),
        )

    def first_event_s(self, service):
        """Returns the time from the call of a decode server to the first event."""
        seconds = self._of(service).first_events
        return median(seconds) if seconds else ASSUMED_FIRST_EVENT_S

    def own(self):
        """Returns the `MeasuredDemand` of this daemon by service."""
        found = {}
        for service, samples in self._samples.items():
            decode_s, ended = samples.decodes.measure()
            streams = min(len(samples.prompts), ended)
            if streams:
                speed = samples.prefills.speed() or PrefillSpeed(0.0, 0.0)
                found[service] = MeasuredDemand(
                    sum(samples.prompts) / len(samples.prompts),
                    speed.tokens_s,
                    decode_s / FILL_SHARE,
                    streams,
                    speed.base_s,
                )
        return found

    def demand(self, service):
        """Returns the `StageDemand` of a service, or None before enough streams."""
        own = self.own()
        measured = [*self._of_peers(service)]
        measured += [own[service]] if service in own else []
        streams = sum(each.streams for each in measured)
        if streams < LEAST_SAMPLES:
            return None
        prompt = sum(each.prompt_tokens * each.streams for each in measured) / streams
        speeds = [each.prefill_speed for each in measured if each.prefill_speed]
        speed = median(speeds) if speeds else PrefillSpeed().tokens_s
        return StageDemand(
            prompt / speed,
            sum(each.decode_s * each.streams for each in measured) / streams,
        )
