"""HTTP serving on gevent's WSGI server, with limits and a graceful end."""

import gevent
import gevent.pool
from gevent import pywsgi, socket

from amaranthbay.kernel.errors import CallerGone
from amaranthbay.utils.http import split_address

__all__ = ["CONNECTION_KEY", "INPUT_KEY", "LINGER_KEY", "Server"]

CONNECTION_KEY = "amaranthbay.connection"
INPUT_KEY = "amaranthbay.input"
LINGER_KEY = "amaranthbay.linger"
HEADER_BYTES = 16384
POLL_S = 0.02
# A connection that is closed over unread input is reset, which may take the
# response away from the caller, so some of the input is read before.
LINGER_S = 1.0
LINGER_BYTES = 2**20


class _HeaderTooLarge(ValueError):
    """Raised when the head of a request exceeds the limit."""


class _LimitedLines:
    """Reads lines up to a number of bytes in all."""

    def __init__(self, rfile, limit):
        self._rfile = rfile
        self._left = limit

    def readline(self, size=-1):
        """Returns the next line; raises `_HeaderTooLarge`."""
        line = self._rfile.readline(self._left + 1)
        self._left -= len(line)
        if self._left < 0:
            raise _HeaderTooLarge
        return line


class _Handler(pywsgi.WSGIHandler):
    """Handles the requests of one connection."""

    def MessageClass(self, rfile, *args):
        """Returns the parsed header; its name is the server library's."""
        lines = _LimitedLines(rfile, self.server.header_bytes)
        return super().MessageClass(lines, *args)

    def get_environ(self):
        """Passes the connection on, to notice a caller that leaves."""
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.socket
        environ[INPUT_KEY] = self.wsgi_input
        return environ

    def start_response(self, status, headers, exc_info=None):
        if self.server.draining:
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def handle_one_response(self):
        token = object()
        self.server.responding.add(token)
        try:
            super().handle_one_response()
        finally:
            self.server.responding.discard(token)
        if self.server.draining:
            self.close_connection = True
        if self.environ.get(LINGER_KEY):
            self._linger()

    def _linger(self):
        left = LINGER_BYTES
        try:
            self.socket.shutdown(socket.SHUT_WR)
            with gevent.Timeout(LINGER_S, False):
                while left > 0:
                    data = self.socket.recv(min(left, 65536))
                    left -= len(data) or left
        except OSError:
            pass

    def handle(self):
        try:
            super().handle()
        except CallerGone:
            # The caller left between its response and the end of the watch.
            pass

    def _handle_client_error(self, ex):
        """Answers a request that can't be parsed."""
        too_large = isinstance(ex, _HeaderTooLarge)
        status = (
            "431 Request Header Fields Too Large" if too_large else "400 Bad Request"
        )
        return status, self.server.malformed_reply(status)

    def handle_one_request(self):
        outcome = super().handle_one_request()
        if isinstance(outcome, tuple) and outcome[0] == "414":
            return "414", self.server.malformed_reply("414 URI Too Long")
        return outcome

    def handle_error(self, t, v, tb):
        if issubclass(t, CallerGone):
            self.close_connection = True
        else:
            super().handle_error(t, v, tb)

    def _send_error_response_if_possible(self, error_code):
        """Closes the connection; the application writes its own errors."""
        self.close_connection = True

    def log_request(self):
        """Writes nothing; the application logs its own lines."""


class _WsgiServer(pywsgi.WSGIServer):
    """Server with the state that its handlers share.

    Attributes:
        draining: Whether connections end after their next response.
        responding: One token for each response in progress.
        header_bytes: Largest head of a request.
        describe_malformed: Function of a status line that returns media type
            and body of the answer to a request that can't be parsed.
    """

    draining = False
    header_bytes = HEADER_BYTES
    describe_malformed = staticmethod(lambda status: ("text/plain", b""))

    def malformed_reply(self, status):
        """Returns a whole HTTP response."""
        media_type, body = self.describe_malformed(status)
        lines = (
            f"HTTP/1.1 {status}",
            "Connection: close",
            f"Content-Type: {media_type}",
            f"Content-Length: {len(body)}",
        )
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """WSGI server on one address."""

    def __init__(
        self, address, app, connections=None, header_bytes=None, describe_malformed=None
    ):
        """Creates the server.

        Args:
            address: ``host:port`` to listen on.
            app: WSGI application.
            connections: Largest number of connections.
            header_bytes: Largest head of a request.
            describe_malformed: Function of a status line that returns media type
                and body of the answer to a request that can't be parsed.
        """
        pool = gevent.pool.Pool(connections) if connections else None
        self._server = _WsgiServer(
            split_address(address),
            app,
            handler_class=_Handler,
            log=None,
            error_log=None,
            spawn=pool or "default",
        )
        self._server.responding = set()
        if header_bytes:
            self._server.header_bytes = header_bytes
        if describe_malformed:
            self._server.describe_malformed = describe_malformed

    def start(self):
        """Listens and returns the bound address."""
        self._server.start()
        return f"{self._server.server_host}:{self._server.server_port}"

    def drain(self):
        """Ends each connection after its next response from now on."""
        self._server.draining = True

    def wait_written(self):
        """Waits until the responses that are now in progress are written."""
        pending = set(self._server.responding)
        while pending & self._server.responding:
            gevent.sleep(POLL_S)

    def stop(self):
        """Closes the listener and ends connections."""
        self._server.stop(timeout=1)
