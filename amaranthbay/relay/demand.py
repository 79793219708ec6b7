"""Measures how much work of each stage the streams of a service bring."""

from collections import deque
from dataclasses import dataclass, field

__all__ = ["DemandMeter", "StageDemand", "plan_prefill_servers"]

# Streams over which the means are taken, and from which on they are trusted.
SAMPLES = 60
LEAST_SAMPLES = 6
# Share of the fastest prefills whose speed counts: the others waited in a queue.
FAST_SHARE = 0.2
# A queue of prompts delays all first events, while a full decode server only
# delays the next stream, so that prefill gets a little more than its part.
PREFILL_BIAS = 0.1


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

    def demand(self, service):
        """Returns the `StageDemand` of a service, or None before enough streams."""
        samples = self._of(service)
        if min(len(samples.prompts), len(samples.decodes)) < LEAST_SAMPLES:
            return None
        fastest = sorted(samples.speeds, reverse=True)
        speed = fastest[int(FAST_SHARE * len(fastest))]
        return StageDemand(
            sum(samples.prompts) / len(samples.prompts) / speed,
            sum(samples.decodes) / len(samples.decodes),
        )


def plan_prefill_servers(servers, demand):
    """Returns how many of a service's servers should serve prefill.

    Both stages then reach their limit at the same load.

    Args:
        servers: Number of servers of both stages.
        demand: `StageDemand`.

    Examples:
        >>> plan_prefill_servers(5, StageDemand(0.1, 0.4))
        1
        >>> plan_prefill_servers(30, StageDemand(0.1, 0.5))
        5
    """
    if servers < 2:
        return 0
    share = demand.prefill_s / (demand.prefill_s + demand.decode_s)
    return max(1, min(servers - 1, round(servers * share + PREFILL_BIAS)))
