"""Calls, outcomes and events of the dispatch package."""

from dataclasses import dataclass

__all__ = ["ModelCall", "PlainCall", "PrefillOutcome", "TokenEvent"]


@dataclass(frozen=True)
class ModelCall:
    """A completion or chat completion.

    Attributes:
        model: Name of the model, which is the name of the service.
        prompt: Whole prompt as text.
        max_tokens: Longest answer.
        stream: Whether the caller wants server-sent events.
        chat: Whether the reply has the shape of a chat completion.
        offset: Tokens that the caller has already received.
        resume_token: Names the attempt to continue; empty for a new request.
    """

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    chat: bool = False
    offset: int = 0
    resume_token: str = ""


@dataclass(frozen=True)
class PlainCall:
    """A call of a plain service."""

    method: str
    path: str
    body: bytes
    content_type: str = "application/json"


@dataclass(frozen=True)
class PrefillOutcome:
    """A finished prefill.

    Attributes:
        handle: Name of the KV cache at the prefill server.
        source: Address of the prefill server.
        tokens: Tokens of the prompt.
        cached_tokens: Tokens that came from the server's prefix cache.
        expires: Monotonic time at which the KV cache is dropped.
    """

    handle: str
    source: str
    tokens: int
    cached_tokens: int
    expires: float


@dataclass(frozen=True)
class TokenEvent:
    """One event of a decode stream.

    Attributes:
        request_id: Request that the engine answers.
        attempt_id: Attempt that the engine answers.
        index: Index of the token; -1 for the end.
        text: Text of the token.
        done: Whether this is the explicit end.
        count: Number of tokens, at the end.
    """

    request_id: str
    attempt_id: str
    index: int = -1
    text: str = ""
    done: bool = False
    count: int = 0
