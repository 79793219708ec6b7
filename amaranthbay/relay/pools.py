"""Plans the pools of a service's model servers; pure functions.

They answer the load of a burst: both pools should be full at the same time.
"""

from dataclasses import dataclass

__all__ = ["StageDemand", "plan_prefill_servers"]

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
