"""Estimates how many tokens a text has and hashes its blocks."""

import xxhash

__all__ = ["BLOCK_TOKENS", "block_hashes", "estimate_tokens"]

# Engines hold KV cache in blocks of about a thousand tokens.
BLOCK_TOKENS = 1024
# Ordinary prose has about four characters to a token.
CHARACTERS_PER_TOKEN = 4


def estimate_tokens(text):
    """Returns the estimated number of tokens of a text, at least 1.

    Examples:
        >>> estimate_tokens("x" * 4096)
        1024
    """
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def block_hashes(model, prompt):
    """Returns the chained hash of each whole block of a prompt.

    A block's hash covers the model and all text before it, so that equal hashes
    mean an equal prefix.

    Examples:
        >>> len(block_hashes("m", "x" * 9000))
        2
    """
    width = BLOCK_TOKENS * CHARACTERS_PER_TOKEN
    hasher = xxhash.xxh3_64(model.encode())
    hashes = []
    for start in range(0, len(prompt) - width + 1, width):
        hasher.update(prompt[start : start + width].encode())
        hashes.append(hasher.intdigest())
    return tuple(hashes)
