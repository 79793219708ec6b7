"""HTTP server on gevent's WSGI server, with limits and graceful shutdown."""

import gevent
import gevent.pool
from gevent import pywsgi, socket

from amaranthbay.ingress.drops import DropLog
from amaranthbay.ingress.places import PlaceAccount, PlaceHolder, Succession
from amaranthbay.ingress.refusals import refuse_connection
from amaranthbay.kernel.clock import SystemClock
from amaranthbay.kernel.errors import CallerGone
from amaranthbay.utils.http import split_address
from amaranthbay.utils.reading import Turn, TurnQueue
from amaranthbay.utils.sockets import (
    has_input,
    limit_unread,
    limit_unsent,
    reset_on_close,
)

__all__ = ["CONNECTION_KEY", "INPUT_KEY", "LINGER_KEY", "Server"]

# Keys of the WSGI environment: the caller's socket, the request's input, and a flag by
# which the application asks for a lingering close.
CONNECTION_KEY = "amaranthbay.connection"
INPUT_KEY = "amaranthbay.input"
LINGER_KEY = "amaranthbay.linger"
DEFAULT_MAX_HEADER_BYTES = 16384
POLL_INTERVAL_S = 0.02
# Closing a connection with unread input resets it, and the caller may lose the
# response. A lingering close reads input first, up to these bounds.
LINGER_S = 1.0
LINGER_BYTES = 2**20
# Connections that are accepted in one turn, if the number of connections is limited.
MAX_ACCEPTS = 16
# Bytes that the kernel holds for a connection that has a place. Most requests for
# lookups and their responses are smaller.
PLACED_UNREAD_BYTES, PLACED_UNSENT_BYTES = 16384, 8192


class _HeaderTooLarge(ValueError):
    """Raised when the headers of a request exceed the limit."""


class _LimitedLines:
    """Reads lines up to a total number of bytes."""

    def __init__(self, rfile, limit):
        self._rfile = rfile
        self._remaining = limit

    def readline(self, size=-1):
        """Returns the next line.

        Raises:
            _HeaderTooLarge: If the lines read so far exceed the limit in total.
        """
        line = self._rfile.readline(self._remaining + 1)
        self._remaining -= len(line)
        if self._remaining < 0:
            raise _HeaderTooLarge
        return line


class _PlacedConnection(PlaceHolder):
    """A connection that has a place while it waits for a request or reads one.

    Attributes:
        responding: Whether a response is in progress.
        reads_response: Whether the peer has to read a part of it first.
    """

    def __init__(self, sock, address, server):
        self.address = address
        self.responding = False
        self.reads_response = False
        self._sock = sock
        self._server = server
        self._began_at = server.clock.monotonic()
        self._succession = Succession()
        # Greenlet that waits for its turn; None if it doesn't.
        self._waiting_greenlet = None

    def wait_s(self, now):
        is_busy = self.responding and not self.reads_response
        return None if is_busy else now - self._began_at

    def has_input(self):
        """Returns whether a request has arrived, unless there is always another one.

        A connection with many requests in succession would never lose its place, nor
        one that doesn't read the response before.
        """
        if self.reads_response:
            return False
        return not self._succession.is_endless and has_input(self._sock)

    def give_way(self, turn):
        """Lets others run; see `Turn.give_way`.

        Raises:
            CallerGone: If the place is lost meanwhile.
        """
        self._waiting_greenlet = gevent.getcurrent()
        try:
            turn.give_way()
        finally:
            self._waiting_greenlet = None

    def _raise_dropped(self):
        """Interrupts the wait for a turn, which may be long; runs in the loop."""
        if self._waiting_greenlet is not None:
            self._waiting_greenlet.throw(CallerGone("the place is lost"))

    def note_response(self, in_progress):
        """Records the beginning or the end of a response."""
        self.responding = in_progress
        self._began_at = self._server.clock.monotonic()

    def note_write(self, in_progress):
        """Records the beginning or the end of a write of a part of a response."""
        self.reads_response = in_progress
        self._began_at = self._server.clock.monotonic()

    def note_request(self, waited_s):
        """Records the arrival of a request, and for how long it was waited for."""
        self._succession.note(waited_s)

    def drop(self):
        """Ends the connection; its greenlet reads the end of the input."""
        self._server.drops.note("places_full")
        if self._waiting_greenlet is not None:
            gevent.get_hub().loop.run_callback(self._raise_dropped)
        if self.reads_response:
            # The kernel would hold the response until the peer takes it.
            reset_on_close(self._sock)
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The peer has closed the connection already.
            pass


class _Handler(pywsgi.WSGIHandler):
    """Handles the requests of one connection."""

    # Whether the connection closes after the response to the current request.
    _closes = False
    # `_PlacedConnection` of the connection, if their number is limited.
    place = None

    def __init__(self, sock, address, server, rfile=None):
        super().__init__(sock, address, server, rfile)
        self._turn = Turn(queue=server.turns)

    def read_requestline(self):
        """Returns the next request line; requests that have arrived take turns."""
        if self.place is None:
            self._turn.give_way()
            return self._turn.wait(super().read_requestline)
        self.place.give_way(self._turn)
        clock = self.server.clock
        started_at = clock.monotonic()
        line = self._turn.wait(super().read_requestline)
        self.place.note_request(clock.monotonic() - started_at)
        return line

    def MessageClass(self, rfile, *args):
        """Returns the parsed headers; gevent prescribes the method's name."""
        lines = _LimitedLines(rfile, self.server.header_bytes)
        return super().MessageClass(lines, *args)

    def get_environ(self):
        """Adds the socket and the input, which the application needs.

        The socket shows whether the caller has left. The input lets the application
        leave the rest of a body unread.
        """
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.socket
        environ[INPUT_KEY] = self.wsgi_input
        if not self.server.reads_bodies:
            self._leave_body_unread(environ)
        return environ

    def _leave_body_unread(self, environ):
        """Closes the connection after the response if the request has a body.

        The server would read all of it, however long, to find the next request.
        """
        if self.wsgi_input.content_length or self.wsgi_input.chunked_input:
            self.wsgi_input.content_length = 0
            self.wsgi_input.chunked_input = False
            self._closes = environ[LINGER_KEY] = True

    def _sendall(self, data):
        """Writes a part of the response, during which the place may be lost.

        Raises:
            CallerGone: If it is lost, or the caller has closed the connection.
        """
        if self.place is None:
            super()._sendall(data)
            return
        self.place.note_write(True)
        try:
            super()._sendall(data)
        except OSError as exc:
            raise CallerGone("the caller does not read its response") from exc
        finally:
            self.place.note_write(False)

    def start_response(self, status, headers, exc_info=None):
        if self.server.draining or self._closes:
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def handle_one_response(self):
        token = object()
        self.server.responding.add(token)
        if self.place is not None:
            self.place.note_response(True)
        try:
            super().handle_one_response()
        finally:
            self.server.responding.discard(token)
            if self.place is not None:
                self.place.note_response(False)
        if self.server.draining or self._closes:
            self.close_connection = True
        if self.environ.get(LINGER_KEY):
            self._linger()

    def _linger(self):
        """Ends the response and discards a bounded amount of the caller's input."""
        remaining = LINGER_BYTES
        try:
            self.socket.shutdown(socket.SHUT_WR)
            with gevent.Timeout(LINGER_S, False):
                while remaining > 0:
                    data = self.socket.recv(min(remaining, 65536))
                    # No data means that the caller has closed: this ends the loop.
                    remaining -= len(data) or remaining
        except OSError:
            pass

    def handle(self):
        self.socket.settimeout(self.server.read_timeout_s)
        try:
            super().handle()
        except CallerGone:
            # The caller disconnected after its response and before its watch stopped,
            # or lost its place.
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
        """Closes the connection; the application writes its own error responses."""
        self.close_connection = True

    def log_request(self):
        """Does nothing; the application logs requests itself."""


class _WsgiServer(pywsgi.WSGIServer):
    """WSGI server with the state that its handlers share.

    Attributes:
        draining: Whether connections close after their next response.
        responding: Set with one token for each response in progress.
        header_bytes: Largest size of a request's headers, in bytes.
        reads_bodies: Whether the application reads the bodies of requests.
        read_timeout_s: Timeout of each read, in seconds; None for none.
        describe_malformed: Function that takes a status line and returns the media
            type and the body of the response to a request that can't be parsed.
        places: `PlaceAccount` of the connections; None if their number has no limit.
        drops: `DropLog` of the connections that lost their place.
        clock: `Clock` of the account.
        turns: `TurnQueue` of connections whose next request is always there.
    """

    places = None
    clock = SystemClock()
    draining = False
    reads_bodies = True
    read_timeout_s = None
    header_bytes = DEFAULT_MAX_HEADER_BYTES
    describe_malformed = staticmethod(lambda status: ("text/plain", b""))

    def limit_places(self, total):
        """Limits the number of connections; the slowest one yields to a new one."""
        self.drops = DropLog()
        self.places = PlaceAccount(total, self.clock)
        self.max_accept = MAX_ACCEPTS

    def handle(self, sock, address):
        """Handles a connection; gevent prescribes the method's name."""
        if self.places is None:
            super().handle(sock, address)
            return
        place = _PlacedConnection(sock, address[0], self)
        if not self.places.enter(place):
            # All others are being answered.
            self.drops.note("places_full")
            refuse_connection(sock)
            return
        limit_unsent(sock, PLACED_UNSENT_BYTES)
        try:
            handler = self.handler_class(sock, address, self)
            handler.place = place
            handler.handle()
        finally:
            self.places.leave(place)

    def malformed_reply(self, status):
        """Returns the HTTP response to a request that can't be parsed."""
        media_type, body = self.describe_malformed(status)
        lines = (
            f"HTTP/1.1 {status}",
            "Connection: close",
            f"Content-Type: {media_type}",
            f"Content-Length: {len(body)}",
        )
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """HTTP server that runs a WSGI application on one address."""

    def __init__(
        self,
        address,
        app,
        connections=None,
        header_bytes=None,
        describe_malformed=None,
        reads_bodies=True,
        read_timeout_s=None,
        places=None,
    ):
        """Creates the server.

        Args:
            address: ``host:port`` to listen on.
            app: WSGI application.
            connections: Largest number of connections; None sets no limit.
            header_bytes: Largest size of a request's headers, in bytes; None for
                the default.
            describe_malformed: Function that takes a status line and returns the
                media type and the body of the response to a request that can't be
                parsed; None for an empty plain-text body.
            reads_bodies: Whether the application reads the bodies of requests. If it
                doesn't, a connection closes after a request with a body.
            read_timeout_s: Timeout of each read of a request, in seconds; None for
                none.
            places: Number of connections beyond which the slowest one yields to a new
                one; None for no limit.
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
        self._server.turns = TurnQueue()
        self._server.reads_bodies = reads_bodies
        self._server.read_timeout_s = read_timeout_s
        if places:
            self._server.limit_places(places)
        if header_bytes:
            self._server.header_bytes = header_bytes
        if describe_malformed:
            self._server.describe_malformed = describe_malformed

    def start(self):
        """Starts listening and returns the bound ``host:port``."""
        if self._server.places is not None:
            self._server.init_socket()
            # Connections inherit the limit, also those that wait to be accepted.
            limit_unread(self._server.socket, PLACED_UNREAD_BYTES)
        self._server.start()
        return f"{self._server.server_host}:{self._server.server_port}"

    def drain(self):
        """Closes each connection after its next response from now on."""
        self._server.draining = True

    def wait_written(self):
        """Waits until the responses in progress at the time of the call are written."""
        pending = set(self._server.responding)
        while pending & self._server.responding:
            gevent.sleep(POLL_INTERVAL_S)

    def stop(self):
        """Closes the listener, and open connections after at most a second."""
        self._server.stop(timeout=1)
