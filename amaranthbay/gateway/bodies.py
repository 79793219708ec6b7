"""Reads request bodies within a limit, of known length or chunked."""

import gevent
from result import Err, Ok

from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.utils.serving import INPUT_KEY, LINGER_KEY

__all__ = ["read_body"]

PIECE_BYTES = 65536
# A caller that sends nothing for this long holds a connection for nothing.
SILENCE_S = 30.0


def read_body(req, resp, limit):
    """Returns ``Result[bytes, Refusal]``.

    Args:
        req: Falcon request.
        resp: Falcon response; its connection is closed if input is left unread.
        limit: Largest body in bytes.
    """
    encoding = req.get_header("Transfer-Encoding")
    if encoding is not None and encoding.lower() != "chunked":
        return _abandon(req, resp, "the transfer encoding is not supported", 501)
    length = req.content_length
    if length is not None and length > limit:
        return _too_large(req, resp, limit)
    try:
        return _read_pieces(req, resp, limit)
    except OSError:
        return _abandon(req, resp, "the body is broken or incomplete", 400)
    except gevent.Timeout:
        return _abandon(req, resp, "the body did not arrive in time", 408)


def _read_pieces(req, resp, limit):
    pieces = []
    size = 0
    while True:
        # The server's reader waits until it has all the bytes it is asked for.
        wanted = min(PIECE_BYTES, limit + 1 - size)
        with gevent.Timeout(SILENCE_S):
            piece = req.stream.read(wanted)
        if not piece:
            return Ok(b"".join(pieces))
        pieces.append(piece)
        size += len(piece)
        if size > limit:
            return _too_large(req, resp, limit)


def _too_large(req, resp, limit):
    return _abandon(
        req, resp, f"the body exceeds the limit of {limit} bytes", 413, Reason.TOO_LARGE
    )


def _abandon(req, resp, detail, status, reason=Reason.BAD_REQUEST):
    """Refuses a request whose body stays unread, and ends its connection."""
    resp.set_header("Connection", "close")
    req.env[LINGER_KEY] = True
    unread = req.env.get(INPUT_KEY)
    if unread is not None:
        # The server would read the rest, however large, to reach the next request.
        unread.content_length = 0
        unread.chunked_input = False
    return Err(not_run(reason, detail, status=status))
