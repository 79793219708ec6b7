"""Decides whether a decode server computes a prompt; pure functions.

During a burst, prompts queue at the prefill servers. Decode servers can compute some
of them, but the streams that they run stall until the prompt is done.
"""

from dataclasses import dataclass

__all__ = [
    "FirstEventTimes",
    "decode_prefill_stall_s",
    "decode_prefill_s",
    "prefers_decode_server",
]

# Speed of a decode server that computes a prompt, relative to a prefill server.
DECODE_PREFILL_SPEED_SHARE = 0.5
# Smallest gain in time to the first event that justifies stalling the other streams.
MIN_GAIN_S = 0.4
# Usual interval between the events of a stream. While a decode server computes a
# prompt, the stall adds to it.
EVENT_INTERVAL_S = 0.05


def decode_prefill_s(prompt_tokens, prefill_speed):
    """Returns the seconds that a decode server takes to compute a prompt.

    Args:
        prompt_tokens: Length of the prompt.
        prefill_speed: `PrefillSpeed` of a prefill server.
    """
    return prompt_tokens / (DECODE_PREFILL_SPEED_SHARE * prefill_speed.tokens_per_s)


def decode_prefill_stall_s(prompt_tokens, prefill_speed):
    """Returns the gap between events of other streams while a prompt is computed.

    Args:
        prompt_tokens: Length of the prompt that a decode server computes.
        prefill_speed: `PrefillSpeed` of a prefill server.
    """
    return decode_prefill_s(prompt_tokens, prefill_speed) + EVENT_INTERVAL_S


@dataclass(frozen=True)
class FirstEventTimes:
    """Times that decide where a prompt is computed, in seconds.

    Attributes:
        prefill_server_s: Time to the first event if a prefill server computes the
            prompt.
        decode_server_s: Time to the first event if the decode server computes it.
        stall_s: Gap between events of the decode server's other streams in the latter
            case.
    """

    prefill_server_s: float
    decode_server_s: float
    stall_s: float


def prefers_decode_server(prefill, decode, times, max_gap_s):
    """Returns whether the decode server should compute the prompt.

    A decode server computes prompts at half the speed and delays the streams that it
    runs. This is worthwhile if the first event would otherwise come too late because
    the prefill servers are busy, but not if it makes all of these streams late.

    Args:
        prefill: `Candidate` of the best prefill server, or None.
        decode: `Candidate` of the decode server.
        times: `FirstEventTimes` of the prompt.
        max_gap_s: Longest gap between events that is still on time; None for no limit.
    """
    if prefill is None:
        return True
    if decode.running and max_gap_s is not None and times.stall_s > max_gap_s:
        return False
    if decode.prefill_tokens:
        return False
    return times.prefill_server_s - times.decode_server_s > MIN_GAIN_S
