"""HTTP client for calls to engines, services and the platform.

Each exchange opens its own connection: the library's pooled client retries a request
on a broken connection by itself, which could run the request twice.
"""

import errno
import ipaddress
import re
from dataclasses import dataclass
from http.client import HTTPException

from gevent import socket
from geventhttpclient.response import HTTPResponse, HTTPSocketResponse
from result import Err, Ok, Result

from amaranthbay.kernel.clock import SystemClock
from amaranthbay.kernel.errors import Verdict
from amaranthbay.utils.reading import BoundedReader, ReadLimitExceeded, ReadMemory

__all__ = [
    "Exchange",
    "HttpFailure",
    "connect",
    "exchange_whole",
    "exchange_whole_with_header",
    "is_ip_endpoint",
    "is_valid_address",
    "open_exchange",
    "split_address",
]

CONNECT_TIMEOUT_S = 1.0
# A peer can vanish without a reset. Keepalive probes detect this after three seconds,
# although an exchange may legitimately be silent for longer.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Bytes of all headers and trailers of a response, and what each header adds to them.
MAX_HEADER_BYTES = 2**18
HEADER_OVERHEAD_BYTES = 64
# Memory for the responses of calls that name no other.
DEFAULT_MEMORY = ReadMemory.of_process(0)
# Statuses below it belong to interim responses.
FINAL_STATUS = 200
_HOST_NAME = re.compile(r"(?=.{1,253}$)[\w-]{1,63}(\.[\w-]{1,63})*\.?", re.ASCII)
_NUMERIC_HOST = re.compile(r"[0-9.]+")
_PORT = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65535


@dataclass(frozen=True)
class HttpFailure:
    """An exchange without a complete response.

    Attributes:
        verdict: ``not_run`` if the connection failed before the request was sent,
            else ``may_have_run``.
        detail: Human-readable description of the failure.
        refused: Whether the peer's host refused the connection.
        timed_out: Whether connecting, or waiting for the peer's data, timed out.
    """

    verdict: Verdict
    detail: str
    refused: bool = False
    timed_out: bool = False


class _ResponseSocket:
    """Reads a response for the library, with bounds on bytes, time and turns.

    Once the first bytes have arrived, the rest must follow within the timeout.
    """

    def __init__(self, sock, memory, timeout_s):
        self._sock = sock
        self._reader = BoundedReader(sock, memory)
        self._clock = SystemClock()
        self._timeout_s = timeout_s
        self._ends_at = None

    def recv(self, size):
        """Returns the next bytes; empty at the end of the connection.

        Raises:
            OSError: If the connection breaks or the timeout passes.
            ReadLimitExceeded: If the response needs too much memory.
        """
        now = self._clock.monotonic()
        if self._ends_at is not None:
            if now >= self._ends_at:
                raise TimeoutError("the response does not end in time")
            self._sock.settimeout(self._ends_at - now)
        data = self._reader.recv(size)
        if self._ends_at is None and self._timeout_s is not None:
            self._ends_at = self._clock.monotonic() + self._timeout_s
        self._reader.hold(len(data))
        return data

    def note_consumed(self):
        """Starts the bounds anew after a part of a streamed body was passed on."""
        self._reader.release()
        self._ends_at = None
        self._sock.settimeout(self._timeout_s)

    def settimeout(self, timeout_s):
        """Sets the timeout of further reads, in seconds; None disables it."""
        self._timeout_s = timeout_s
        self._ends_at = None
        self._sock.settimeout(timeout_s)

    def close(self):
        """Closes the connection and frees the memory of the response."""
        self._reader.release()
        self._sock.close()


class _Response(HTTPSocketResponse):
    """Response that keeps its socket after an interim (1xx) response.

    The library releases it then and takes what has been read of the final response for
    the whole. It also keeps all headers and trailers, which are limited here: an empty
    one takes many times its bytes.
    """

    _header_bytes = 0

    def _on_header_field(self, string):
        self._header_bytes += len(string) + HEADER_OVERHEAD_BYTES
        if self._header_bytes > MAX_HEADER_BYTES:
            raise ReadLimitExceeded("head_too_large")
        super()._on_header_field(string)

    def _on_header_value(self, string):
        self._header_bytes += len(string)
        super()._on_header_value(string)

    def _on_message_complete(self):
        if self.get_code() < FINAL_STATUS:
            HTTPResponse._on_message_complete(self)
        else:
            super()._on_message_complete()


class Exchange:
    """An HTTP response whose body is read as it arrives.

    Attributes:
        status: HTTP status code.
    """

    def __init__(self, conn, response):
        self._conn = conn
        self._response = response
        self.status = response.status_code

    def header(self, name):
        """Returns the value of a response header, or None."""
        return self._response.get(name)

    def read(self):
        """Returns the rest of the body.

        Raises:
            OSError: If the connection breaks, the peer times out or the body ends
                early.
            ValueError: If the response is malformed.
        """
        try:
            return self._response.read()
        except (HTTPException, ReadLimitExceeded) as exc:
            raise ConnectionError(str(exc)) from exc

    def lines(self):
        """Yields the lines of the body without line endings.

        Raises:
            OSError: If the connection breaks, the peer times out or the body ends
                early.
            ValueError: If the response is malformed.
        """
        while True:
            try:
                line = self._response.readline(b"\n")
            except (HTTPException, ReadLimitExceeded) as exc:
                raise ConnectionError(str(exc)) from exc
            if not line:
                return
            self._conn.note_consumed()
            yield line.rstrip(b"\r\n")

    def set_read_timeout(self, timeout_s):
        """Sets the timeout of each further read, in seconds; None disables it."""
        self._conn.settimeout(timeout_s)

    def close(self):
        """Closes the connection."""
        self._conn.close()


def split_address(address):
    """Returns the host and the port of an address.

    Examples:
        >>> split_address("127.0.0.1:80")
        ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def is_valid_address(address):
    """Returns whether an address is ``host:port`` and its port is in range.

    The host is a name, an IPv4 address, or an IPv6 address without brackets.

    Examples:
        >>> is_valid_address("127.0.0.1:80"), is_valid_address("127.0.0.1:70000")
        (True, False)
    """
    host, _, port = address.rpartition(":")
    if not _PORT.fullmatch(port) or not 1 <= int(port) <= MAX_PORT:
        return False
    if _NUMERIC_HOST.fullmatch(host) or ":" in host:
        return _is_ip_address(host)
    return _HOST_NAME.fullmatch(host) is not None


def is_ip_endpoint(address):
    """Returns whether an address is valid and its host is an IP address, not a name."""
    return is_valid_address(address) and _is_ip_address(split_address(address)[0])


def _is_ip_address(host):
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    # The zone of an IPv6 address may be any text.
    return "%" not in host


def connect(address, timeout_s=CONNECT_TIMEOUT_S):
    """Returns a connected TCP socket with keepalive probes.

    Args:
        address: ``host:port``.
        timeout_s: Timeout of the connect and of each later operation, in seconds.

    Raises:
        OSError: If the connection can't be opened, or the address is not valid.
    """
    if not is_valid_address(address):
        raise OSError(errno.EINVAL, "the address is not a host and a port in range")
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


def open_exchange(
    address, method, path, body=b"", headers=(), timeout_s=10.0, memory=None
):
    """Sends a request and waits for the head of the response.

    Args:
        address: ``host:port``.
        method: HTTP method.
        path: Path with query string.
        body: Request body.
        headers: Pairs of header name and value.
        timeout_s: Timeout of each read and write, in seconds, and of the response from
            its first bytes on; None disables it.
        memory: `ReadMemory` of the response; `DEFAULT_MEMORY` if None.

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
    reader = _ResponseSocket(conn, memory or DEFAULT_MEMORY, timeout_s)
    try:
        conn.settimeout(timeout_s)
        conn.sendall(_encode_head(address, method, path, len(body), headers) + body)
        return Ok(Exchange(reader, _Response(reader, method=method)))
    except (OSError, ValueError, HTTPException, ReadLimitExceeded) as exc:
        reader.close()
        detail = f"exchange with {address} broke: {type(exc).__name__}"
        timed_out = isinstance(exc, TimeoutError)
        return Err(HttpFailure(Verdict.MAY_HAVE_RUN, detail, timed_out=timed_out))
    except BaseException:
        reader.close()
        raise


def exchange_whole(address, method, path, body=b"", headers=(), timeout_s=10.0):
    """Sends a request and reads the whole response.

    The arguments are those of `open_exchange`.

    Returns:
        ``Result[tuple[int, bytes], HttpFailure]``: status and undecoded body.
    """
    outcome = exchange_whole_with_header(
        address, method, path, "", body, headers, timeout_s
    )
    return outcome.map(lambda response: response[:2])


def exchange_whole_with_header(
    address, method, path, header, body=b"", headers=(), timeout_s=10.0, memory=None
):
    """Sends a request and reads the whole response and one of its headers.

    Args:
        address: ``host:port``.
        method: HTTP method.
        path: Path with query string.
        header: Name of the response header to return; empty for none.
        body: Request body.
        headers: Pairs of header name and value.
        timeout_s: As for `open_exchange`.
        memory: As for `open_exchange`.

    Returns:
        ``Result[tuple[int, bytes, str | None], HttpFailure]``: status, body and the
        header's value, or None if the header is missing.
    """
    outcome: Result = open_exchange(
        address, method, path, body, headers, timeout_s, memory
    )
    if outcome.is_err():
        return outcome
    exchange = outcome.unwrap()
    try:
        value = exchange.header(header) if header else None
        return Ok((exchange.status, exchange.read(), value))
    except (OSError, ValueError, HTTPException) as exc:
        detail = f"response of {address} broke: {type(exc).__name__}"
        timed_out = isinstance(exc, TimeoutError)
        return Err(HttpFailure(Verdict.MAY_HAVE_RUN, detail, timed_out=timed_out))
    finally:
        exchange.close()
