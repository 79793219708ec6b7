"""Arrivals and prompts of an open-loop load, from a seeded random generator."""

import random
from dataclasses import dataclass, replace

__all__ = [
    "Arrival",
    "Capacity",
    "estimate_capacity",
    "generate_arrivals",
    "prompt_text",
]

CAPACITY_SAMPLES = 4000
CHARACTERS_PER_TOKEN = 4
WORDS = ("complaint", "tape", "tenant", "inspection", "ledger", "notice", "lot")


@dataclass(frozen=True)
class Arrival:
    """One request of the load.

    Attributes:
        number: Position in the load, from 0; determines the prompt's own part.
        at_s: Seconds after the start of the load.
        caller: Name of the kind of caller.
        interactive: Whether the caller has targets; it is patient otherwise.
        workspace: Name of the workspace.
        zone: Availability zone of the caller.
        preamble: Name of the preamble; equal names stand for equal texts.
        preamble_tokens: Length of the preamble, in tokens.
        own_tokens: Length of the prompt's own part, in tokens.
        output_tokens: Length of the answer, in tokens.
    """

    number: int
    at_s: float
    caller: str
    interactive: bool
    workspace: str
    zone: str
    preamble: str
    preamble_tokens: int
    own_tokens: int
    output_tokens: int

    @property
    def prompt_tokens(self):
        """Length of the whole prompt, in tokens."""
        return self.preamble_tokens + self.own_tokens


@dataclass(frozen=True)
class Capacity:
    """Largest load of a profile's mix of requests that its deployment can serve.

    Attributes:
        requests_s: Requests per second at which one of the two pools is saturated.
        prefill_s: Mean seconds of engine time of a prefill whose preamble is cached.
        decode_s: Mean seconds for which an answer holds a decode slot.
    """

    requests_s: float
    prefill_s: float
    decode_s: float


def _draw_arrival(profile, rng, number, at_s):
    """Returns a random `Arrival` of a profile's mix."""
    weights = [request_class.share for request_class in profile.classes]
    drawn = rng.choices(profile.classes, weights)[0]
    tokens = drawn.median_tokens * rng.lognormvariate(0.0, drawn.sigma)
    own_tokens = int(min(drawn.max_tokens, max(drawn.min_tokens, tokens)))
    preamble = rng.randrange(drawn.preambles)
    return Arrival(
        number=number,
        at_s=at_s,
        caller=drawn.caller,
        interactive=drawn.interactive,
        workspace=f"ws-{rng.randrange(profile.workspaces)}",
        zone=rng.choice(profile.zones),
        preamble=f"{drawn.caller}-{preamble}",
        preamble_tokens=drawn.preamble_tokens,
        own_tokens=own_tokens,
        output_tokens=rng.randint(drawn.min_output, drawn.max_output),
    )


def estimate_capacity(profile, prefill_token_s, decode_step_s):
    """Returns the `Capacity` of a profile's deployment, from sampled arrivals.

    Args:
        profile: `Profile` of the deployment and its load.
        prefill_token_s: Seconds to prefill one token, with the scale factor.
        decode_step_s: Seconds between two tokens, with the scale factor.
    """
    rng = random.Random(0)
    sample = [
        _draw_arrival(profile, rng, number, 0.0) for number in range(CAPACITY_SAMPLES)
    ]
    prefill_s = (
        sum(arrival.own_tokens for arrival in sample)
        / CAPACITY_SAMPLES
        * prefill_token_s
    )
    decode_s = (
        sum(arrival.output_tokens for arrival in sample)
        / CAPACITY_SAMPLES
        * decode_step_s
    )
    requests_s = min(
        profile.prefill / prefill_s,
        profile.decode * profile.slots / decode_s,
    )
    return Capacity(requests_s, prefill_s, decode_s)


def generate_arrivals(profile, seed, duration_s, requests_s, patient_factor=1.0):
    """Returns the `Arrival` objects of one run in order of time.

    Args:
        profile: `Profile` that determines the mix and the bursts.
        seed: Seed; equal seeds give equal arrivals.
        duration_s: Seconds of load.
        requests_s: Mean number of requests per second, bursts included, before
            ``patient_factor`` is applied.
        patient_factor: Factor on the rate of the patient arrivals; leaves the rate of
            the interactive ones as it is.
    """
    rng = random.Random(seed)
    scaled_classes = tuple(
        (
            request_class
            if request_class.interactive
            else replace(request_class, share=request_class.share * patient_factor)
        )
        for request_class in profile.classes
    )
    total_share = sum(request_class.share for request_class in scaled_classes)
    profile = replace(profile, classes=scaled_classes)
    burst = profile.burst
    burst_share = burst.length_s / burst.every_s
    # Rate outside bursts that gives the requested mean rate, bursts included.
    base_rate = (
        requests_s * total_share / (1.0 - burst_share + burst_share * burst.factor)
    )
    arrivals = []
    at_s = 0.0
    while True:
        in_burst = at_s % burst.every_s < burst.length_s
        at_s += rng.expovariate(base_rate * (burst.factor if in_burst else 1.0))
        if at_s >= duration_s:
            return arrivals
        arrivals.append(_draw_arrival(profile, rng, len(arrivals), at_s))


def _random_text(rng, tokens):
    """Returns random words, with the estimated length of a number of tokens."""
    length = tokens * CHARACTERS_PER_TOKEN
    words = []
    generated_length = 0
    while generated_length < length:
        word = f"{rng.choice(WORDS)}-{rng.randrange(10_000)} "
        words.append(word)
        generated_length += len(word)
    return "".join(words)[:length]


def prompt_text(arrival, seed):
    """Returns the prompt of an arrival: its preamble, then its own part.

    Args:
        arrival: `Arrival`.
        seed: Seed of the own part; the preamble depends on its name alone.
    """
    preamble = _random_text(random.Random(arrival.preamble), arrival.preamble_tokens)
    own_part = _random_text(
        random.Random(f"{seed}:{arrival.number}"), arrival.own_tokens
    )
    return preamble + own_part
