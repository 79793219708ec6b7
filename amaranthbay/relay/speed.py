"""Measures how long a prefill server takes for its prompts.

The time of a prompt has a part that does not depend on its length, in which the server
reads other prompts. Counted as work, it makes a prefill server look half as fast as it
is, and its queue twice as long.
"""

from collections import deque
from dataclasses import dataclass
from statistics import median

__all__ = ["PrefillSpeed", "PrefillTimes", "fit_speed"]

# Prompts over which the speed is taken, and from which on it is.
SAMPLES = 60
LEAST_SAMPLES = 12
# Part of the samples at each end whose medians the speed is taken from; medians let
# slow servers, lost packets and prompts that were cached pass.
END_SHARE = 3
# Difference between the ends, as part of the shorter one, below which noise hides the
# speed.
LEAST_SPREAD = 0.3


@dataclass(frozen=True)
class PrefillSpeed:
    """Time that a prefill server takes.

    Attributes:
        tokens_s: Prompt tokens that it computes in a second.
        base_s: Seconds that each prompt takes beside its tokens, the way included.
    """

    tokens_s: float = 30_000.0
    base_s: float = 0.1

    def wait_s(self, tokens_ahead):
        """Returns the time until a server begins with the next prompt.

        Args:
            tokens_ahead: Prompt tokens whose answers have not come. Those of the last
                `base_s` are computed already.
        """
        return max(0.0, tokens_ahead / self.tokens_s - self.base_s)

    def prompt_s(self, tokens):
        """Returns the time that a prompt takes once it has begun."""
        return self.base_s + tokens / self.tokens_s


def fit_speed(samples):
    """Returns the `PrefillSpeed` that samples show, or None if they are too few.

    Args:
        samples: Pairs of the length in tokens of a prompt that met no other one, and
            the seconds until its answer.

    Examples:
        >>> work = range(1000, 6000, 100)
        >>> found = fit_speed([(each, 0.1 + each / 25_000) for each in work])
        >>> round(found.tokens_s), round(found.base_s, 3)
        (25000, 0.1)
        >>> fit_speed([(3000, 0.2)] * 60) is None
        True
    """
    if len(samples) < LEAST_SAMPLES:
        return None
    ordered = sorted(samples)
    size = len(ordered) // END_SHARE
    short, long = (_medians(each) for each in (ordered[:size], ordered[-size:]))
    spread, seconds = long[0] - short[0], long[1] - short[1]
    if spread < LEAST_SPREAD * short[0] or seconds <= 0:
        return None
    speed = spread / seconds
    base_s = median(taken_s - tokens / speed for tokens, taken_s in samples)
    return PrefillSpeed(speed, max(0.0, base_s))


def _medians(samples):
    tokens, seconds = zip(*samples)
    return median(tokens), median(seconds)


class PrefillTimes:
    """Latest prompts of one service, and what they show."""

    def __init__(self):
        self._samples = deque(maxlen=SAMPLES)
        self._fitted = None

    def note(self, tokens, seconds):
        """Notes a prompt that met no other one at its server.

        Behind others the time says little: what is ahead is known from reports, and
        counts until its answer has come.

        Args:
            tokens: Its length.
            seconds: Time until the answer.
        """
        self._samples.append((tokens, seconds))
        self._fitted = fit_speed(self._samples) or self._fitted

    def speed(self):
        """Returns the `PrefillSpeed`, or None before it can be told."""
        return self._fitted
