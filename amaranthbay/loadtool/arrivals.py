"""Arrivals of an open-loop load, from a seeded generator."""

import random
from dataclasses import dataclass, replace

__all__ = ["Arrival", "Capacity", "capacity", "generate", "prompt_text"]

SAMPLES = 4000
CHARACTERS_PER_TOKEN = 4
WORDS = ("complaint", "tape", "tenant", "inspection", "ledger", "notice", "lot")


@dataclass(frozen=True)
class Arrival:
    """One request of the load.

    Attributes:
        number: Position in the load; names the prompt's own part.
        at_s: Seconds after the start.
        caller: Kind of caller.
        interactive: Whether the caller waits with targets.
        workspace: Name of the workspace.
        zone: Availability zone of the caller.
        preamble: Name of the shared preamble.
        preamble_tokens: Length of the preamble.
        own_tokens: Length of the rest of the prompt.
        output_tokens: Length of the answer.
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
        """Length of the whole prompt."""
        return self.preamble_tokens + self.own_tokens


@dataclass(frozen=True)
class Capacity:
    """What a deployment can serve of a profile's mix.

    Attributes:
        requests_s: Arrival rate at which the tighter pool is full.
        prefill_s: Engine time of a mean prefill with cached preamble.
        decode_s: Slot time of a mean answer.
    """

    requests_s: float
    prefill_s: float
    decode_s: float


def _draw(profile, rng, number, at_s):
    weights = [each.share for each in profile.classes]
    kind = rng.choices(profile.classes, weights)[0]
    tokens = kind.median_tokens * rng.lognormvariate(0.0, kind.sigma)
    own = int(min(kind.max_tokens, max(kind.min_tokens, tokens)))
    preamble = rng.randrange(kind.preambles)
    return Arrival(
        number=number,
        at_s=at_s,
        caller=kind.caller,
        interactive=kind.interactive,
        workspace=f"ws-{rng.randrange(profile.workspaces)}",
        zone=rng.choice(profile.zones),
        preamble=f"{kind.caller}-{preamble}",
        preamble_tokens=kind.preamble_tokens,
        own_tokens=own,
        output_tokens=rng.randint(kind.min_output, kind.max_output),
    )


def capacity(profile, prefill_token_s, decode_step_s):
    """Returns the `Capacity` for engine times that include the scale factor."""
    rng = random.Random(0)
    sample = [_draw(profile, rng, number, 0.0) for number in range(SAMPLES)]
    prefill = sum(each.own_tokens for each in sample) / SAMPLES * prefill_token_s
    decode = sum(each.output_tokens for each in sample) / SAMPLES * decode_step_s
    rate = min(
        profile.prefill / prefill,
        profile.decode * profile.slots / decode,
    )
    return Capacity(rate, prefill, decode)


def generate(profile, seed, duration_s, requests_s, patient_factor=1.0):
    """Returns the arrivals of one run in order of time.

    Args:
        profile: `Profile`.
        seed: Seed; equal seeds give equal arrivals.
        duration_s: Length of the run.
        requests_s: Mean arrival rate.
        patient_factor: Factor on the patient arrivals only.
    """
    rng = random.Random(seed)
    scaled = tuple(
        each if each.interactive else replace(each, share=each.share * patient_factor)
        for each in profile.classes
    )
    total = sum(each.share for each in scaled)
    profile = replace(profile, classes=scaled)
    burst = profile.burst
    inside = burst.length_s / burst.every_s
    base = requests_s * total / (1.0 - inside + inside * burst.factor)
    arrivals = []
    at_s = 0.0
    while True:
        in_burst = at_s % burst.every_s < burst.length_s
        at_s += rng.expovariate(base * (burst.factor if in_burst else 1.0))
        if at_s >= duration_s:
            return arrivals
        arrivals.append(_draw(profile, rng, len(arrivals), at_s))


def _text(rng, tokens):
    length = tokens * CHARACTERS_PER_TOKEN
    words = []
    size = 0
    while size < length:
        word = f"{rng.choice(WORDS)}-{rng.randrange(10_000)} "
        words.append(word)
        size += len(word)
    return "".join(words)[:length]


def prompt_text(arrival, seed):
    """Returns the prompt: the shared preamble and the request's own part."""
    shared = _text(random.Random(arrival.preamble), arrival.preamble_tokens)
    own = _text(random.Random(f"{seed}:{arrival.number}"), arrival.own_tokens)
    return shared + own
