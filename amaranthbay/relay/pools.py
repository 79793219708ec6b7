"""Plans the pools of a service's model servers; pure functions.

They answer the load of a burst: the split that carries most streams then. With few
servers the split is coarse, and what a small prefill pool leaves over is read by decode
servers at a price that counts, so that the work of both stages is weighed together.
"""

from dataclasses import dataclass

__all__ = ["StageDemand", "plan_prefill_servers", "streams_per_s"]

# Part of a prefill server's speed at which a decode server reads a prompt.
DECODE_READ_SHARE = 0.5
# Part by which another split must carry more: a switch takes seconds in which the
# server serves neither pool.
LEAST_GAIN = 0.08


@dataclass(frozen=True)
class StageDemand:
    """Time that a mean stream takes of a whole server of each stage.

    Attributes:
        prefill_s: Seconds of a prefill server.
        decode_s: Seconds of a decode server, by the memory that the stream holds.
    """

    prefill_s: float
    decode_s: float


def streams_per_s(prefill, decode, demand):
    """Returns the streams that two pools carry in a second.

    Args:
        prefill: Number of prefill servers.
        decode: Number of decode servers, which read the prompts that are left over.
        demand: `StageDemand`.

    Examples:
        >>> round(streams_per_s(2, 4, StageDemand(0.1, 0.4)), 1)
        10.0
        >>> round(streams_per_s(1, 5, StageDemand(0.1, 0.4)), 1)
        11.7
    """
    read_apart = prefill / demand.prefill_s
    if decode <= read_apart * demand.decode_s:
        return decode / demand.decode_s
    read_s = demand.prefill_s / DECODE_READ_SHARE
    return (decode + read_apart * read_s) / (demand.decode_s + read_s)


def plan_prefill_servers(prefill, decode, demand):
    """Returns how many of a service's servers should serve prefill.

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

    def carried(number):
        return streams_per_s(number, servers - number, demand)

    best = max(range(1, servers), key=lambda each: (carried(each), each))
    if not (prefill and decode):
        return best
    return best if carried(best) > (1 + LEAST_GAIN) * carried(prefill) else prefill
