"""Plans the sizes of a service's prefill and decode pools; pure functions.

Under a burst, both pools should reach their limit at the same load.
"""

from dataclasses import dataclass

__all__ = ["StageDemand", "plan_prefill_servers"]

# Servers that prefill gets beyond its share: a queue of prompts delays all first
# events, while a full decode server only delays the next stream.
PREFILL_BIAS_SERVERS = 0.1
# Difference from the ideal size below which no server is moved: a server serves neither
# pool for the seconds that a switch takes.
HYSTERESIS_SERVERS = 0.6


@dataclass(frozen=True)
class StageDemand:
    """Work of an average stream in each stage, in seconds of a fully used server.

    Attributes:
        prefill_s: Seconds of a prefill server.
        decode_s: Seconds of a decode server: run time of the stream times its share of
            the server's memory.
    """

    prefill_s: float
    decode_s: float


def plan_prefill_servers(prefill, decode, demand):
    """Returns the number of servers that the prefill pool of a service should have.

    Both stages then reach their limit at the same load.

    Args:
        prefill: Number of servers in the prefill pool now.
        decode: Number of servers in the decode pool now.
        demand: `StageDemand` of the service.

    Examples:
        >>> plan_prefill_servers(2, 3, StageDemand(0.1, 0.4))
        1
        >>> plan_prefill_servers(11, 19, StageDemand(0.1, 0.5))
        5
    """
    servers = prefill + decode
    work_s = demand.prefill_s + demand.decode_s
    if servers < 2 or not work_s:
        return prefill
    prefill_share = demand.prefill_s / work_s
    ideal_prefill = servers * prefill_share + PREFILL_BIAS_SERVERS
    if prefill and decode and abs(ideal_prefill - prefill) <= HYSTERESIS_SERVERS:
        return prefill
    return max(1, min(servers - 1, round(ideal_prefill)))
