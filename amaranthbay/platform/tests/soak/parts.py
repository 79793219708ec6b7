"""Parts of prompts that callers name in the header ``X-Prompt-Prefix``."""

import random

__all__ = [
    "CRASHING_PART",
    "FIRST_PARTS",
    "PREFIX_HEADER",
    "encode_parts",
    "draw_parts",
]

PREFIX_HEADER = "X-Prompt-Prefix"
# Ids of the parts that requests share, by their place in the prompt.
FIRST_PARTS = ("1f", "2a0", "3b00")
SECOND_PARTS = ("51", "52", "53", "54", "55", "56")
# Part that crashes each decode server which begins to write an answer on it.
CRASHING_PART = "c4a5"
FIRST_TOKENS, MIDDLE_TOKENS, PROMPT_TOKENS = 40, 20, 100


def draw_parts(attempt, first=None, crashing=False):
    """Returns the ids of the parts of a prompt; the last one is the request's own.

    Args:
        attempt: Attempt id of the request, which decides on the parts.
        first: Id of the first part; one of `FIRST_PARTS` if None.
        crashing: Whether the prompt has the `CRASHING_PART`.
    """
    rng = random.Random(f"parts {attempt}")
    middle = [rng.choice(SECOND_PARTS)]
    if crashing:
        middle.insert(rng.randint(0, 1), CRASHING_PART)
    return (first or rng.choice(FIRST_PARTS), *middle, f"{rng.getrandbits(62):x}")


def encode_parts(parts):
    """Returns the value of the header; the tokens add up to `PROMPT_TOKENS`."""
    middle = [f"{part}:{MIDDLE_TOKENS}" for part in parts[1:-1]]
    own_tokens = PROMPT_TOKENS - FIRST_TOKENS - MIDDLE_TOKENS * len(middle)
    return ",".join(
        (f"{parts[0]}:{FIRST_TOKENS}", *middle, f"{parts[-1]}:{own_tokens}")
    )
