"""Measures how much work of each stage the streams of a service bring."""

from collections import deque
from dataclasses import dataclass, field
from statistics import median

from amaranthbay.fleet.peers import MeasuredDemand

__all__ = ["DemandMeter", "StageDemand", "plan_prefill_servers"]

# Streams over which the means are taken, and from which on they are trusted.
SAMPLES = 60
LEAST_SAMPLES = 30
# Quantile of the speeds that counts: slower prefills waited in a queue, and single
# faster ones found their prompt in the cache.
SPEED_QUANTILE = 0.75
# Prompt tokens a second until a prompt has been computed.
ASSUMED_SPEED = 30_000.0
# A queue of prompts delays all first events, while a full decode server only
# delays the next stream, so that prefill gets a little more than its part.
PREFILL_BIAS = 0.1
# Servers by which a pool may miss its ideal size: a switch takes seconds in which the
# server serves neither pool.
HYSTERESIS = 0.6


@dataclass(frozen=True)
class StageDemand:
    """Time that a mean stream takes of a whole server of each stage.

    Attributes:
        prefill_s: Seconds of a prefill server.
        decode_s: Seconds of a decode server, by the memory that the stream holds.
    """

    prefill_s: float
    decode_s: float


@dataclass
class _Samples:
    speeds: deque = field(default_factory=lambda: deque(maxlen=SAMPLES))
    prompts: deque = field(default_factory=lambda: deque(maxlen=SAMPLES))
    decodes: deque = field(default_factory=lambda: deque(maxlen=SAMPLES))


class DemandMeter:
    """Latest streams by service."""

    def __init__(self):
        self._samples = {}

    def _of(self, service):
        return self._samples.setdefault(service, _Samples())

    def note_prefill(self, service, tokens, seconds):
        """Notes a prompt that a prefill server has computed."""
        if tokens > 0 and seconds > 0:
            self._of(service).speeds.append(tokens / seconds)
            self._of(service).prompts.append(tokens)

    def note_decode(self, service, memory_share, seconds):
        """Notes a whole stream and the share of a server's memory that it held."""
        self._of(service).decodes.append(memory_share * seconds)

    def prefill_speed(self, service):
        """Returns the prompt tokens that a prefill server computes in a second."""
        speeds = self._of(service).speeds
        if not speeds:
            return ASSUMED_SPEED
        return sorted(speeds)[int(SPEED_QUANTILE * len(speeds))]

    def own(self):
        """Returns the `MeasuredDemand` of this daemon by service."""
        found = {}
        for service, samples in self._samples.items():
            streams = min(len(samples.prompts), len(samples.decodes))
            if streams:
                found[service] = MeasuredDemand(
                    sum(samples.prompts) / len(samples.prompts),
                    self.prefill_speed(service),
                    sum(samples.decodes) / len(samples.decodes),
                    streams,
                )
        return found

    def demand(self, service, of_peers):
        """Returns the `StageDemand` of a service, or None before enough streams.

        Args:
            service: Name of the service.
            of_peers: `MeasuredDemand` of other daemons.
        """
        measured = [*of_peers]
        if service in self.own():
            measured.append(self.own()[service])
        streams = sum(each.streams for each in measured)
        if streams < LEAST_SAMPLES:
            return None
        prompt = sum(each.prompt_tokens * each.streams for each in measured) / streams
        # A daemon with few prompts may have seen only queued or cached ones.
        speed = median(each.prefill_speed for each in measured)
        return StageDemand(
            prompt / speed,
            sum(each.decode_s * each.streams for each in measured) / streams,
        )


def plan_prefill_servers(prefill, decode, demand):
    """Returns how many of a service's servers should serve prefill.

    Both stages then reach their limit at the same load.

    Args:
        prefill: Servers that serve prefill now.
        decode: Servers that serve decode now.
        demand: `StageDemand`.

    Examples:
        >>> plan_prefill_servers(2, 3, StageDemand(0.1, 0.4))
        1
        >>> plan_prefill_servers(11, 19, StageDemand(0.1, 0.5))
        5
    """
    servers = prefill + decode
    if servers < 2:
        return prefill
    share = demand.prefill_s / (demand.prefill_s + demand.decode_s)
    ideal = servers * share + PREFILL_BIAS
    if prefill and decode and abs(ideal - prefill) <= HYSTERESIS:
        return prefill
    return max(1, min(servers - 1, round(ideal)))
