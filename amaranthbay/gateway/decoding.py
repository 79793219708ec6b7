"""Decodes the bodies and targets of callers' requests.

Bad input becomes a refusal, never an exception.
"""

import re
from urllib.parse import quote

import msgspec
from result import Err, Ok

from amaranthbay.dispatch.types import ModelCall
from amaranthbay.kernel.errors import Reason, may_have_run, not_run

__all__ = ["decode_chat", "decode_completion", "decode_target"]

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 65536
# Characters that the path of a request line may hold without percent-encoding.
UNESCAPED_PATH_CHARS = "/~!$&'()*+,;=:@-._"
_OFFSET_PATTERN = re.compile(r"[0-9]{1,9}")
_CONTROL_CHARS = re.compile(r"[\x00-\x1f\x7f]")


class _CompletionBody(msgspec.Struct):
    model: str
    prompt: str
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False


class _Message(msgspec.Struct):
    role: str
    content: str


class _ChatBody(msgspec.Struct):
    model: str
    messages: tuple[_Message, ...]
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False


def decode_completion(raw, offset=None, token=""):
    """Decodes the body of a completion.

    Args:
        raw: Request body in bytes.
        offset: Value of the ``X-Resume-Offset`` header, or None.
        token: Value of the ``X-Resume-Token`` header; empty if there is none.

    Returns:
        ``Result[ModelCall, Refusal]``.
    """
    decoded = _decode(raw, _CompletionBody)
    return decoded.and_then(
        lambda body: _to_model_call(body, body.prompt, False, offset, token)
    )


def decode_chat(raw, offset=None, token=""):
    """Decodes the body of a chat completion; its messages become one prompt.

    Args:
        raw: Request body in bytes.
        offset: Value of the ``X-Resume-Offset`` header, or None.
        token: Value of the ``X-Resume-Token`` header; empty if there is none.

    Returns:
        ``Result[ModelCall, Refusal]``.
    """

    def to_model_call(body):
        if not body.messages:
            return _bad_request("messages must not be empty")
        lines = [f"{message.role}: {message.content}" for message in body.messages]
        return _to_model_call(body, "\n".join(lines), True, offset, token)

    return _decode(raw, _ChatBody).and_then(to_model_call)


def decode_target(path, query):
    """Checks and re-encodes the target of a plain call.

    The path decides whether a call may be repeated. Paths that a backend server
    might normalise to a different path are therefore refused. Encoding the path
    again keeps line breaks out of the request line sent to the backend server.

    Args:
        path: Decoded path below the service, without a leading slash.
        query: Query string as sent; empty if there is none.

    Returns:
        ``Result[str, Refusal]`` with the path and the query.

    Examples:
        >>> decode_target("postings/a b", "x=1").unwrap()
        '/postings/a%20b?x=1'
    """
    segments = path.split("/")
    # A trailing slash leaves an empty last segment, which is allowed.
    checked = segments[:-1] if segments[-1] == "" else segments
    if any(segment in ("", ".", "..") for segment in checked) and path:
        return _bad_request("the path holds an empty or a relative segment")
    if _CONTROL_CHARS.search(path):
        return _bad_request("the path holds control characters")
    target = "/" + quote(path, safe=UNESCAPED_PATH_CHARS, errors="replace")
    return Ok(f"{target}?{query}" if query else target)


def _decode(raw, body_type):
    try:
        return Ok(msgspec.json.decode(raw, type=body_type))
    except RecursionError:
        return _bad_request("the body is nested too deeply")
    except msgspec.DecodeError as exc:
        return _bad_request(str(exc))


def _to_model_call(body, prompt, chat, offset, token):
    if not 1 <= body.max_tokens <= MAX_TOKENS_LIMIT:
        return _bad_request(f"max_tokens must be between 1 and {MAX_TOKENS_LIMIT}")
    if offset is not None and not _OFFSET_PATTERN.fullmatch(offset):
        return _bad_request("X-Resume-Offset must be a number of tokens")
    offset_tokens = int(offset or 0)
    if offset_tokens and not token:
        # An offset means that the caller has received tokens, so the request has run at
        # least in part.
        detail = "an answer can only be continued with its X-Resume-Token"
        return Err(may_have_run(Reason.STREAM_BROKEN, detail, status=409))
    if token and not body.stream:
        return _bad_request("only a streamed answer can be continued")
    if offset_tokens > body.max_tokens:
        return _bad_request("X-Resume-Offset exceeds max_tokens")
    return Ok(
        ModelCall(
            body.model,
            prompt,
            body.max_tokens,
            body.stream,
            chat,
            offset_tokens,
            token,
        )
    )


def _bad_request(detail):
    return Err(not_run(Reason.BAD_REQUEST, detail, status=400))
