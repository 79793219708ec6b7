"""Estimates how fast prefill servers compute prompts.

The time of a prompt has a fixed part that does not depend on its length and during
which the server computes other prompts. If the fixed part counted as work, a prefill
server would look half as fast as it is, and its queue twice as long.
"""

from collections import deque
from dataclasses import dataclass
from statistics import median

__all__ = ["PrefillSpeed", "PrefillSamples", "fit_speed"]

# Largest number of latest prompts that the fit uses, and smallest number that it needs.
MAX_SAMPLES = 60
MIN_SAMPLES = 12
# The prompts are divided by length into this number of groups. The fit compares the
# medians of the shortest and the longest group, which slow servers, lost packets and
# cached prompts hardly affect.
LENGTH_GROUPS = 3
# Smallest difference in length between both groups, relative to the shorter one; noise
# hides the speed below it.
MIN_LENGTH_SPREAD = 0.3


@dataclass(frozen=True)
class PrefillSpeed:
    """Speed of a prefill server.

    Attributes:
        tokens_per_s: Prompt tokens that it computes per second.
        base_s: Fixed seconds for each prompt, network round trip included.
    """

    tokens_per_s: float = 30_000.0
    base_s: float = 0.1

    def wait_s(self, tokens_ahead):
        """Returns the seconds until a server starts with the next prompt.

        Args:
            tokens_ahead: Tokens of the prompts whose answers are outstanding. The
                server has already computed those whose answers come within `base_s`.
        """
        return max(0.0, tokens_ahead / self.tokens_per_s - self.base_s)

    def prompt_s(self, tokens):
        """Returns the seconds from the start of a prompt to its answer."""
        return self.base_s + tokens / self.tokens_per_s


def fit_speed(samples):
    """Returns the `PrefillSpeed` that fits samples.

    Args:
        samples: Pairs of a prompt's length in tokens and the seconds until its answer,
            for prompts that did not queue behind others.

    Returns:
        None if the samples are too few or too much alike, or if longer prompts don't
        take longer.

    Examples:
        >>> lengths = range(1000, 6000, 100)
        >>> speed = fit_speed([(tokens, 0.1 + tokens / 25_000) for tokens in lengths])
        >>> round(speed.tokens_per_s), round(speed.base_s, 3)
        (25000, 0.1)
        >>> fit_speed([(3000, 0.2)] * 60) is None
        True
    """
    if len(samples) < MIN_SAMPLES:
        return None
    ordered = sorted(samples)
    size = len(ordered) // LENGTH_GROUPS
    short, long = (_median_point(part) for part in (ordered[:size], ordered[-size:]))
    extra_tokens, extra_s = long[0] - short[0], long[1] - short[1]
    if extra_tokens < MIN_LENGTH_SPREAD * short[0] or extra_s <= 0:
        return None
    tokens_per_s = extra_tokens / extra_s
    base_s = median(seconds - tokens / tokens_per_s for tokens, seconds in samples)
    return PrefillSpeed(tokens_per_s, max(0.0, base_s))


def _median_point(samples):
    tokens, seconds = zip(*samples)
    return median(tokens), median(seconds)


class PrefillSamples:
    """Latest prefill times of one service and the speed fitted to them."""

    def __init__(self):
        self._samples = deque(maxlen=MAX_SAMPLES)
        self._last_fit = None

    def note(self, tokens, seconds):
        """Records a prompt that did not queue behind others.

        The time of a queued prompt says little: the work ahead of it is known from
        reports only and counts until its answer arrives.

        Args:
            tokens: Length of the prompt.
            seconds: Time until the answer.
        """
        self._samples.append((tokens, seconds))
        self._last_fit = fit_speed(self._samples) or self._last_fit

    def speed(self):
        """Returns the last fitted `PrefillSpeed`, or None before the first fit."""
        return self._last_fit
