"""Decodes what callers send; bad input becomes a refusal, never an exception."""

import re
from urllib.parse import quote

import msgspec
from result import Err, Ok

from amaranthbay.dispatch.types import ModelCall
from amaranthbay.kernel.errors import Reason, may_have_run, not_run

__all__ = ["decode_chat", "decode_completion", "decode_target"]

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 65536
# Characters of a path that a request line may hold as they are.
PATH_SAFE = "/~!$&'()*+,;=:@-._"
_OFFSET = re.compile(r"[0-9]{1,9}")
_CONTROL = re.compile(r"[\x00-\x1f\x7f]")


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
    """Returns ``Result[ModelCall, Refusal]`` for a completion.

    Args:
        raw: Request body.
        offset: ``X-Resume-Offset`` as sent, or None.
        token: ``X-Resume-Token`` as sent, or an empty text.
    """
    decoded = _decode(raw, _CompletionBody)
    return decoded.and_then(
        lambda body: _to_call(body, body.prompt, False, offset, token)
    )


def decode_chat(raw, offset=None, token=""):
    """Returns ``Result[ModelCall, Refusal]`` for a chat completion."""

    def to_call(body):
        if not body.messages:
            return _bad("messages must not be empty")
        lines = [f"{each.role}: {each.content}" for each in body.messages]
        return _to_call(body, "\n".join(lines), True, offset, token)

    return _decode(raw, _ChatBody).and_then(to_call)


def decode_target(path, query):
    """Returns ``Result[str, Refusal]``: the target of a plain call, re-encoded.

    The path decides whether a call may be repeated, so forms that a backend
    server might take for another path are refused. Encoding it again keeps line
    ends out of the request that goes to the backend server.

    Examples:
        >>> decode_target("postings/a b", "x=1").unwrap()
        '/postings/a%20b?x=1'
    """
    segments = path.split("/")
    inner = segments[:-1] if segments[-1] == "" else segments
    if any(each in ("", ".", "..") for each in inner) and path:
        return _bad("the path holds an empty or a relative segment")
    if _CONTROL.search(path):
        return _bad("the path holds control characters")
    target = "/" + quote(path, safe=PATH_SAFE, errors="replace")
    return Ok(f"{target}?{query}" if query else target)


def _decode(raw, body_type):
    try:
        return Ok(msgspec.json.decode(raw, type=body_type))
    except RecursionError:
        return _bad("the body is nested too deeply")
    except msgspec.DecodeError as exc:
        return _bad(str(exc))


def _to_call(body, prompt, chat, offset, token):
    if not 1 <= body.max_tokens <= MAX_TOKENS_LIMIT:
        return _bad(f"max_tokens must be between 1 and {MAX_TOKENS_LIMIT}")
    if offset is not None and not _OFFSET.fullmatch(offset):
        return _bad("X-Resume-Offset must be a number of tokens")
    number = int(offset or 0)
    if number and not token:
        detail = "an answer can only be continued with its X-Resume-Token"
        return Err(may_have_run(Reason.STREAM_BROKEN, detail, status=409))
    if token and not body.stream:
        return _bad("only a streamed answer can be continued")
    if number > body.max_tokens:
        return _bad("X-Resume-Offset exceeds max_tokens")
    return Ok(
        ModelCall(body.model, prompt, body.max_tokens, body.stream, chat, number, token)
    )


def _bad(detail):
    return Err(not_run(Reason.BAD_REQUEST, detail, status=400))
