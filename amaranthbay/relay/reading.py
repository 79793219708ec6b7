"""Decides which server computes a prompt; pure functions.

They answer the load of a burst: prompts queue at the prefill servers; decode servers
could compute some of them, at the price of a pause of the streams that they run.
"""

from dataclasses import dataclass

__all__ = ["ReadingTimes", "reading_pause_s", "reading_s", "reads_prompt_itself"]

# Part of a prefill server's speed at which a decode server reads a prompt.
DECODE_READ_SHARE = 0.5
# Time by which one first event must come sooner for the pause of all other streams.
LEAST_GAIN_S = 0.4
# Time from one event of a decode server's streams to the next, on which the pause comes
# on top while it reads a prompt.
STEP_S = 0.05


def reading_s(prompt_tokens, prefill_speed):
    """Returns the time in which a decode server reads a prompt.

    Args:
        prompt_tokens: Length of the prompt.
        prefill_speed: `PrefillSpeed` of a prefill server.
    """
    return prompt_tokens / (DECODE_READ_SHARE * prefill_speed.tokens_s)


def reading_pause_s(prompt_tokens, prefill_speed):
    """Returns the pause of a decode server's streams while it reads a prompt.

    Args:
        prompt_tokens: Length of the prompt.
        prefill_speed: `PrefillSpeed` of a prefill server.
    """
    return reading_s(prompt_tokens, prefill_speed) + STEP_S


@dataclass(frozen=True)
class ReadingTimes:
    """Times that decide where a prompt is computed.

    Attributes:
        apart_s: Time to the first event with the prefill server.
        itself_s: Time to the first event if the decode server computes the prompt.
        pause_s: Pause of the decode server's streams in the latter case.
    """

    apart_s: float
    itself_s: float
    pause_s: float


def reads_prompt_itself(prefill, decode, times, max_gap_s):
    """Returns whether the decode server should compute the prompt.

    It does so at half the speed and holds up the streams that it runs. That is better
    than a first event that is late for want of a prefill server, but not if all of
    these streams become late.

    Args:
        prefill: `Candidate` of the best prefill server, or None.
        decode: `Candidate` of the decode server.
        times: `ReadingTimes`.
        max_gap_s: Longest pause between events that is still on time, or None.
    """
    if prefill is None:
        return True
    if decode.running and max_gap_s is not None and times.pause_s > max_gap_s:
        return False
    if decode.prefill_tokens:
        return False
    return times.apart_s - times.itself_s > LEAST_GAIN_S
