"""Text of the answers that the engine stand-in generates."""

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
    """Returns the token that the engine generates at a position of the answer.

    The token depends only on the prompt and the position, so that a test can check
    that an answer is complete and belongs to its prompt.

    Args:
        prompt: Text of the prompt.
        index: Position in the answer, from 0.
    """
    digest = xxhash.xxh3_64_intdigest(f"{index}:{prompt}".encode())
    return _WORDS[digest % len(_WORDS)] + " "


def answer_text(prompt, count):
    """Returns the first ``count`` tokens of the answer to a prompt, as one text."""
    return "".join(answer_token(prompt, index) for index in range(count))
