"""HTTP exchanges towards engines, services and the platform.

Each exchange has a connection of its own: the library's pooled client repeats a
request on a broken connection by itself, which could run it twice.
"""

from dataclasses import dataclass
from http.client import HTTPException

from gevent import socket
from geventhttpclient.response import HTTPSocketResponse
from result import Err, Ok, Result

from amaranthbay.kernel.errors import Verdict

__all__ = [
    "Exchange",
    "HttpFailure",
    "connect",
    "json_exchange",
    "json_exchange_with_header",
    "open_exchange",
    "split_address",
]

CONNECT_TIMEOUT_S = 1.0
# A connection can go silent without a reset. The probes notice it after three
# seconds, although the exchange may rightly be quiet for longer.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


@dataclass(frozen=True)
class HttpFailure:
    """An exchange that gave no response.

    Attributes:
        verdict: ``not_run`` if no byte of the request was sent.
        detail: One sentence for people.
        refused: Whether the peer's host refused the connection.
        timed_out: Whether the peer was silent for too long.
    """

    verdict: Verdict
    detail: str
    refused: bool = False
    timed_out: bool = False


class Exchange:
    """One response, read as it arrives."""

    def __init__(self, conn, response):
        self._conn = conn
        self._response = response
        self.status = response.status_code

    def header(self, name):
        """Returns a response header or None."""
        return self._response.get(name)

    def read(self):
        """Returns the rest of the body; raises OSError or ValueError."""
        try:
            return self._response.read()
        except HTTPException as exc:
            raise ConnectionError(str(exc)) from exc

    def lines(self):
        """Yields the body's lines without their ends.

        Raises:
            OSError: If the connection breaks.
            ValueError: If the body ends early.
        """
        while True:
            try:
                line = self._response.readline(b"\n")
            except HTTPException as exc:
                raise ConnectionError(str(exc)) from exc
            if not line:
                return
            yield line.rstrip(b"\r\n")

    def limit_silence(self, timeout_s):
        """Sets the longest silence of the peer from now on."""
        self._conn.settimeout(timeout_s)

    def close(self):
        """Closes the connection."""
        self._conn.close()


def split_address(address):
    """Returns host and port.

    Examples:
        >>> split_address("127.0.0.1:80")
        ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def connect(address, timeout_s=CONNECT_TIMEOUT_S):
    """Returns a connected socket that notices a silent peer; raises OSError."""
    conn = socket.create_connection(split_address(address), timeout_s)
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return conn


def _encode_head(address, method, path, length, headers):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", "Connection: close"]
    lines.append(f"Content-Length: {length}")
    lines.extend(f"{name}: {value}" for name, value in headers)
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def open_exchange(address, method, path, body=b"", headers=(), timeout_s=10.0):
    """Sends one request and waits for the head of the response.

    Args:
        address: ``host:port``.
        method: HTTP method.
        path: Path with query.
        body: Request body.
        headers: Pairs of name and value.
        timeout_s: Longest silence of the peer; None waits for ever.

    Returns:
        ``Result[Exchange, HttpFailure]``.
    """
    try:
        conn = connect(address)
    except OSError as exc:
        refused = isinstance(exc, ConnectionRefusedError)
        detail = f"connection to {address} failed: {exc}"
        timed_out = isinstance(exc, TimeoutError)
        return Err(HttpFailure(Verdict.NOT_RUN, detail, refused, timed_out))
    try:
        conn.settimeout(timeout_s)
        conn.sendall(_encode_head(address, method, path, len(body), headers) + body)
        return Ok(Exchange(conn, HTTPSocketResponse(conn, method=method)))
    except (OSError, ValueError, HTTPException) as exc:
        conn.close()
        detail = f"exchange with {address} broke: {type(exc).__name__}"
        timed_out = isinstance(exc, TimeoutError)
        return Err(HttpFailure(Verdict.MAY_HAVE_RUN, detail, timed_out=timed_out))
    except BaseException:
        conn.close()
        raise


def json_exchange(address, method, path, body=b"", headers=(), timeout_s=10.0):
    """Returns ``Result[tuple[int, bytes], HttpFailure]``: status and body."""
    found = json_exchange_with_header(
        address, method, path, "", body, headers, timeout_s
    )
    return found.map(lambda answer: answer[:2])


def json_exchange_with_header(
    address, method, path, header, body=b"", headers=(), timeout_s=10.0
):
    """Makes a call whose answer is told apart by a header, too.

    Args:
        address: ``host:port``.
        method: HTTP method.
        path: Path with query.
        header: Name of the answer's header; empty for none.
        body: Request body.
        headers: Pairs of name and value.
        timeout_s: Longest silence of the peer; None waits for ever.

    Returns:
        ``Result[tuple[int, bytes, str | None], HttpFailure]``: status, body and the
        header's value.
    """
    exchange: Result = open_exchange(address, method, path, body, headers, timeout_s)
    if exchange.is_err():
        return exchange
    opened = exchange.unwrap()
    try:
        value = opened.header(header) if header else None
        return Ok((opened.status, opened.read(), value))
    except (OSError, ValueError, HTTPException) as exc:
        detail = f"response of {address} broke: {type(exc).__name__}"
        timed_out = isinstance(exc, TimeoutError)
        return Err(HttpFailure(Verdict.MAY_HAVE_RUN, detail, timed_out=timed_out))
    finally:
        opened.close()
