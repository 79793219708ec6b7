"""Profiles of the load tool, one TOML file for each deployment."""

from dataclasses import dataclass
from importlib import resources

import msgspec

__all__ = ["Burst", "Profile", "RequestClass", "load_profile", "profile_names"]


@dataclass(frozen=True)
class Burst:
    """Periods in which requests arrive faster.

    Attributes:
        every_s: Time from the start of a burst to the start of the next.
        length_s: Length of a burst.
        factor: Arrival rate in a burst over the rate outside.
    """

    every_s: float
    length_s: float
    factor: float


@dataclass(frozen=True)
class RequestClass:
    """Requests of one kind of caller; prompt lengths are log-normal.

    Attributes:
        caller: Kind of caller.
        interactive: Whether the caller waits with targets.
        share: Share of the arrivals.
        median_tokens: Median length of the prompt without its preamble.
        sigma: Standard deviation of the logarithm of that length.
        min_tokens: Shortest prompt without its preamble.
        max_tokens: Longest prompt without its preamble.
        preambles: Number of different shared preambles.
        preamble_tokens: Length of a preamble.
        min_output: Shortest answer.
        max_output: Longest answer.
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
        zones: Availability zones.
        daemons: Number of daemons.
        prefill: Number of prefill engines.
        decode: Number of decode engines.
        slots: Requests that a decode engine holds.
        goodput_weight: Weight of goodput against wasted prefill.
        workspaces: Number of workspaces.
        burst: Bursts of arrivals.
        classes: Kinds of requests.
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
    """Returns the names of the profiles."""
    entries = resources.files(__name__).iterdir()
    return sorted(each.name[:-5] for each in entries if each.name.endswith(".toml"))


def load_profile(name):
    """Returns the `Profile` with a name.

    Examples:
        >>> load_profile("svealand").daemons
        8
    """
    body = resources.files(__name__).joinpath(f"{name}.toml").read_bytes()
    return msgspec.toml.decode(body, type=Profile)
