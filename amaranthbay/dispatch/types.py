"""Data classes of the dispatch package: calls, prefill outcomes, token events."""

from dataclasses import dataclass

__all__ = ["ModelCall", "PlainCall", "PrefillOutcome", "TokenEvent"]


@dataclass(frozen=True)
class ModelCall:
    """A completion or chat completion.

    Attributes:
        model: Name of the model, which is the name of the service.
        prompt: Whole prompt as text.
        max_tokens: Largest number of tokens in the answer.
        stream: Whether the caller wants server-sent events.
        chat: Whether the call is a chat completion.
        offset: Number of tokens that the caller has already received.
        resume_token: Token of the attempt to resume; empty for a new request.
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
    """An HTTP call of a plain service."""

    method: str
    path: str
    body: bytes
    content_type: str = "application/json"


@dataclass(frozen=True)
class PrefillOutcome:
    """A finished prefill.

    Attributes:
        handle: Name of the KV cache at the prefill server.
        source: ``host:port`` of the prefill server.
        tokens: Number of tokens of the prompt.
        cached_tokens: Number of these tokens that came from the server's prefix cache.
        expires: Monotonic time in seconds at which the KV cache expires.
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
        request_id: Request that the event belongs to.
        attempt_id: Attempt that the event belongs to.
        index: Index of the token in the answer; -1 in the end event.
        text: Text of the token.
        done: Whether this is the end event.
        count: Number of tokens of the answer; set in the end event only.
    """

    request_id: str
    attempt_id: str
    index: int = -1
    text: str = ""
    done: bool = False
    count: int = 0
