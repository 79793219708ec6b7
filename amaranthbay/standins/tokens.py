"""Token arithmetic and text of the engine stand-in."""

import xxhash

__all__ = ["answer_text", "answer_token"]

_WORDS = (
    "tape",
    "ledger",
    "lot",
    "blade",
    "notice",
    "tenant",
    "order",
    "balance",
    "recall",
    "file",
    "letter",
    "round",
    "desk",
    "store",
    "inspection",
    "payment",
)


def answer_token(prompt, index):
    """Returns the token that the engine generates at an index.

    The text depends on the prompt and the index alone, so that a test can tell
    whether an answer is whole and belongs to its request.
    """
    digest = xxhash.xxh3_64_intdigest(f"{index}:{prompt}".encode())
    return _WORDS[digest % len(_WORDS)] + " "


def answer_text(prompt, count):
    """Returns the whole answer to a prompt."""
    return "".join(answer_token(prompt, index) for index in range(count))
