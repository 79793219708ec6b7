"""Estimates the number of tokens of a text and hashes its blocks."""

import xxhash

__all__ = ["BLOCK_TOKENS", "block_hashes", "estimate_tokens"]

# Block size for prefix hashes; engines cache KV in blocks of about a thousand tokens.
BLOCK_TOKENS = 1024
# Average for ordinary prose.
CHARACTERS_PER_TOKEN = 4


def estimate_tokens(text):
    """Returns the estimated number of tokens of a text, at least 1.

    Examples:
        >>> estimate_tokens("x" * 4096)
        1024
    """
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def block_hashes(model, prompt):
    """Returns the chained hash of each complete block of a prompt.

    A block's hash covers the model, the block and all text before it, so equal
    hashes mean equal prefixes. An incomplete last block has no hash.

    Examples:
        >>> len(block_hashes("m", "x" * 9000))
        2
    """
    block_length = BLOCK_TOKENS * CHARACTERS_PER_TOKEN
    hasher = xxhash.xxh3_64(model.encode())
    hashes = []
    for start in range(0, len(prompt) - block_length + 1, block_length):
        hasher.update(prompt[start : start + block_length].encode())
        hashes.append(hasher.intdigest())
    return tuple(hashes)
