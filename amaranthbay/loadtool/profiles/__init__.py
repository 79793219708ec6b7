"""Profiles of the load tool: a deployment and its load, one TOML file each."""

from dataclasses import dataclass
from importlib import resources

import msgspec

__all__ = ["Burst", "Profile", "RequestClass", "load_profile", "profile_names"]


@dataclass(frozen=True)
class Burst:
    """Regular periods in which requests arrive faster.

    Attributes:
        every_s: Seconds from the start of a burst to the start of the next.
        length_s: Seconds that a burst lasts.
        factor: Arrival rate during a burst, divided by the rate outside.
    """

    every_s: float
    length_s: float
    factor: float


@dataclass(frozen=True)
class RequestClass:
    """Requests of one kind of caller.

    A prompt is a preamble, which other prompts share, and a part of its own, whose
    length is log-normal. The length of the answer is uniform.

    Attributes:
        caller: Name of the kind of caller.
        interactive: Whether the caller has targets; it is patient otherwise.
        share: Share of the arrivals, 0 to 1.
        median_tokens: Median length of the prompt's own part, in tokens.
        sigma: Standard deviation of the logarithm of that length.
        min_tokens: Shortest own part, in tokens.
        max_tokens: Longest own part, in tokens.
        preambles: Number of different preambles.
        preamble_tokens: Length of a preamble, in tokens.
        min_output: Shortest answer, in tokens.
        max_output: Longest answer, in tokens.
    """

    caller: str
    interactive: bool
    share: float
    median_tokens: int
    sigma: float
    min_tokens: int
    max_tokens: int
    preambles: int
    preamble_tokens: int
    min_output: int
    max_output: int


@dataclass(frozen=True)
class Profile:
    """A deployment and the load on it.

    Attributes:
        name: Name of the deployment.
        zones: Names of the availability zones.
        daemons: Number of daemons.
        prefill: Number of prefill engines.
        decode: Number of decode engines.
        slots: Number of requests that a decode engine runs at once.
        goodput_weight: Weight of goodput against wasted prefill, 0 to 1.
        workspaces: Number of workspaces.
        burst: Periods in which requests arrive faster.
        classes: Classes of requests.
    """

    name: str
    zones: tuple[str, ...]
    daemons: int
    prefill: int
    decode: int
    slots: int
    goodput_weight: float
    workspaces: int
    burst: Burst
    classes: tuple[RequestClass, ...]


def profile_names():
    """Returns the sorted names of the profiles."""
    files = resources.files(__name__).iterdir()
    return sorted(file.name[:-5] for file in files if file.name.endswith(".toml"))


def load_profile(name):
    """Returns the `Profile` with a name.

    Examples:
        >>> load_profile("svealand").daemons
        8
    """
    body = resources.files(__name__).joinpath(f"{name}.toml").read_bytes()
    return msgspec.toml.decode(body, type=Profile)
