"""Reads request bodies, of known length or chunked, up to a size limit."""

import gevent
from result import Err, Ok

from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.utils.serving import INPUT_KEY, LINGER_KEY

__all__ = ["read_body"]

MAX_READ_BYTES = 65536
# Time limit of each read; a caller that stalls would occupy a connection for nothing.
READ_TIMEOUT_S = 30.0


def read_body(req, resp, limit):
    """Reads the whole body of a request.

    A refusal that leaves input unread also closes the connection.

    Args:
        req: Falcon request.
        resp: Falcon response, which gets a ``Connection`` header if the body is
            refused.
        limit: Largest allowed body in bytes.

    Returns:
        ``Result[bytes, Refusal]``.
    """
    encoding = req.get_header("Transfer-Encoding")
    if encoding is not None and encoding.lower() != "chunked":
        return _refuse_unread(req, resp, "the transfer encoding is not supported", 501)
    length = req.content_length
    if length is not None and length > limit:
        return _refuse_too_large(req, resp, limit)
    try:
        return _read_up_to(req, resp, limit)
    except OSError:
        return _refuse_unread(req, resp, "the body is broken or incomplete", 400)
    except gevent.Timeout:
        return _refuse_unread(req, resp, "the body did not arrive in time", 408)


def _read_up_to(req, resp, limit):
    parts = []
    size = 0
    while True:
        # A read blocks until all the bytes asked for have arrived.
        read_size = min(MAX_READ_BYTES, limit + 1 - size)
        with gevent.Timeout(READ_TIMEOUT_S):
            part = req.stream.read(read_size)
        if not part:
            return Ok(b"".join(parts))
        parts.append(part)
        size += len(part)
        if size > limit:
            return _refuse_too_large(req, resp, limit)


def _refuse_too_large(req, resp, limit):
    return _refuse_unread(
        req, resp, f"the body exceeds the limit of {limit} bytes", 413, Reason.TOO_LARGE
    )


def _refuse_unread(req, resp, detail, status, reason=Reason.BAD_REQUEST):
    """Refuses a request without reading the rest of its body.

    The connection is closed after the response. The close is a lingering one: the
    server discards some of the rest first, so that the caller doesn't lose the response
    to a connection reset.
    """
    resp.set_header("Connection", "close")
    req.env[LINGER_KEY] = True
    wsgi_input = req.env.get(INPUT_KEY)
    if wsgi_input is not None:
        # Otherwise the server reads the rest of the body, however large, to find
        # the start of the next request.
        wsgi_input.content_length = 0
        wsgi_input.chunked_input = False
    return Err(not_run(reason, detail, status=status))
