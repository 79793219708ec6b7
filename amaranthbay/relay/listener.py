"""HTTP/1.1 server for callers, with limits and graceful shutdown."""

import re
import socket as std_socket
import struct
import sys
from dataclasses import dataclass, field
from enum import Enum, auto
from functools import partial

import gevent
import h11
from gevent import socket
from gevent.server import StreamServer

from amaranthbay.ingress.capacity import CONNECTION_BYTES, CONNECTION_HEADERS
from amaranthbay.ingress.drops import DropLog
from amaranthbay.ingress.heads import MANY_LINES, ParseTurns
from amaranthbay.ingress.places import PlaceAccount, PlaceHolder
from amaranthbay.ingress.progress import Progress
from amaranthbay.ingress.refusals import SHORTAGE_RETRY_S, refuse_connection
from amaranthbay.kernel.clock import SystemClock
from amaranthbay.kernel.errors import CallerGone
from amaranthbay.observe import Gauge, log_event
from amaranthbay.utils.http import split_address
from amaranthbay.utils.reading import BoundedReader, ReadLimitExceeded, ReadMemory
from amaranthbay.utils.sockets import has_input, peek

__all__ = ["CallerConnection", "IncomingRequest", "Listener"]

# A caller that doesn't read its answer is cut off after this time, as it keeps memory
# and a backend server busy. One that reads slowly isn't: the time holds for each part.
WRITE_TIMEOUT_S = 5.0
WRITE_BYTES = 65536
# Time for which input is read before a close. Unread input would turn the close into a
# reset, which may discard the answer before the caller reads it.
LINGER_S = 0.5
# Connections that linger at the same time after they have lost their place. Further
# ones are closed at once, as each still has a descriptor.
MAX_LINGERING = 32
# Bytes that each parsed header takes, besides its own.
HEADER_OBJECT_BYTES = 400
# Bytes of an incomplete head that don't count, as almost all heads have fewer.
SMALL_HEAD_BYTES = 2048
# Connections that are accepted in one turn; more than that would get a descriptor
# before those that lose their place have given theirs back.
MAX_ACCEPTS = 16
MEMORY_FULL, PLACES_FULL = "memory_full", "places_full"
BACKLOG = 512
# End of a request head, as h11 finds it.
HEAD_END = re.compile(rb"\n\r?\n")


@dataclass(frozen=True)
class IncomingRequest:
    """A complete request of a caller.

    Attributes:
        method: Method in bytes.
        target: Path and query in bytes.
        headers: Pairs of lower-case name and value in bytes; left out of the text form,
            as they may have a key.
        raw_headers: The same pairs with names as the caller wrote them; left out, too.
        body: The whole body, as bytes or a bytearray.
        declares_body: Whether the headers declare a body, even an empty one.
    """

    method: bytes
    target: bytes
    headers: tuple = field(repr=False)
    raw_headers: tuple = field(repr=False)
    body: bytes
    declares_body: bool


class _Rejected(Exception):
    """Raised when a request exceeds a limit; has the HTTP status of the answer."""

    def __init__(self, status):
        super().__init__(status)
        self.status = status


class _PlaceLost(Exception):
    """Raised in a connection that has lost its place to a new one."""


class _Phase(Enum):
    """What a connection does, as far as it matters in a shortage.

    Attributes:
        BUSY: It handles a request, or closes.
        IDLE: It waits for a request.
        READING: It reads a request.
        DISCARDING: It reads the rest of a refused request.
        WRITING: It waits for the caller to read a response.
    """

    BUSY = auto()
    IDLE = auto()
    READING = auto()
    DISCARDING = auto()
    WRITING = auto()


class CallerConnection(PlaceHolder):
    """One connection of a caller, which serves one request at a time.

    Attributes:
        address: Address of the caller.
        sock: Socket of the connection.
        greenlet: Greenlet that serves the connection.
        started: Whether any part of the answer to the current request was sent.
        answered: Whether all of it was sent.
    """

    def __init__(self, sock, listener, address=""):
        self.address = address
        self.sock = sock
        self.greenlet = gevent.getcurrent()
        self._listener = listener
        self._reader = BoundedReader(sock, listener.memory)
        # The limit of h11 is fixed for the life of the connection; see `_next_event`.
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)
        self.started = False
        self.answered = False
        self._method = b""
        # Lines that have been received of the head that is being read, and the latest
        # bytes, which may be a part of its end.
        self._head_lines = 0
        self._head_tail = b""
        self._has_place = True
        self._phase = _Phase.IDLE
        self._progress = Progress(self._reader.read_at)

    @property
    def reads_response(self):
        """Whether the caller reads a response."""
        return self._phase is _Phase.WRITING

    def wait_s(self, now):
        """Returns the seconds until the caller is expected to be done; None if busy."""
        if self._phase is _Phase.BUSY:
            return None
        return self._progress.wait_for_place_s(now)

    def has_input(self):
        """Returns whether the connection was idle and its next request has arrived."""
        return self._phase is _Phase.IDLE and has_input(self.sock)

    def drop(self):
        """Ends the connection in the next turn of the event loop.

        One that has become busy by then ends after its answer.
        """
        self._has_place = False
        gevent.get_hub().loop.run_callback(self._raise_place_lost)

    def _raise_place_lost(self):
        """Interrupts the connection unless it has become busy; runs in the loop."""
        if self._phase is _Phase.WRITING:
            self._raise_dropped(PLACES_FULL)
        elif self._phase is not _Phase.BUSY and not self._is_spared():
            self._listener.drops.note(PLACES_FULL)
            self.greenlet.throw(_PlaceLost())

    def _is_spared(self):
        """Returns whether a request has arrived since the choice, and is answered.

        A close would reset the connection. Their number is bounded, as they have no
        place but a descriptor.
        """
        spared = self._listener.spared
        if not self.has_input() or len(spared) >= MAX_LINGERING:
            return False
        spared.add(self)
        return True

    def _raise_dropped(self, reason):
        """Interrupts a response that the caller reads too slowly; runs in the loop."""
        if self._phase is _Phase.WRITING:
            self._listener.drops.note(reason)
            self._reset_on_close(True)
            self.greenlet.throw(CallerGone("the caller reads too slowly in a shortage"))

    def _raise_evicted(self):
        """Interrupts the read of a request without memory; runs in the loop."""
        if self._phase is _Phase.READING and self._reader.evicted:
            self.greenlet.throw(ReadLimitExceeded(MEMORY_FULL))

    def serve(self, handler):
        """Serves requests until the connection ends.

        Args:
            handler: Called with this connection and each `IncomingRequest`.
        """
        is_dropped = False
        try:
            while self._serve_one(handler):
                pass
        except (OSError, CallerGone):
            # The caller has hung up or doesn't read, so no answer is possible.
            pass
        except _PlaceLost:
            is_dropped = True
        except Exception:
            log_event(
                "defect",
                level="error",
                exc=sys.exc_info(),
                message="the connection of a caller failed",
            )
        # The exception, whose traceback holds the request, is freed by now.
        try:
            if is_dropped:
                self._end_without_place()
        finally:
            self._phase = _Phase.BUSY
            self._listener.spared.discard(self)
            self._reader.release()
            self._close()

    def _end_without_place(self):
        """Refuses a request that is arriving, as its connection has lost its place."""
        is_arriving = self._phase is _Phase.READING
        self._phase = _Phase.BUSY
        self._reader.release()
        if not is_arriving or self._http.our_state not in (
            h11.IDLE,
            h11.SEND_RESPONSE,
        ):
            return
        retry = (b"Retry-After", b"%g" % SHORTAGE_RETRY_S)
        try:
            self.answer(503, [retry], b"", close=True)
            self._linger()
        except (OSError, CallerGone):
            pass
        finally:
            # The close must not linger once more.
            self.answered = False

    def _serve_one(self, handler):
        self.started = False
        self.answered = False
        self._method = b""
        self._phase = _Phase.IDLE
        self._progress.begin(self._listener.clock.monotonic())
        try:
            req, refuse = self._try_read_request()
            # The exception, whose traceback holds the request, is freed by now.
            if refuse is not None:
                return refuse()
        finally:
            self._listener.arriving.discard(self)
        if req is None:
            return False
        self._listener.busy.add(self)
        try:
            handler(self, req)
        finally:
            self._listener.busy.discard(self)
            self._reader.release()
        return self._start_next_cycle()

    def _try_read_request(self):
        """Returns the `IncomingRequest`, and the function that refuses it or None."""
        try:
            req = self._read_request()
            self._phase = _Phase.BUSY
            return req, None
        except _Rejected as exc:
            return None, partial(self._answer_rejected, exc.status)
        except h11.RemoteProtocolError as exc:
            return None, partial(self._answer_rejected, exc.error_status_hint)
        except ReadLimitExceeded:
            return None, self._refuse_unread

    def _start_next_cycle(self):
        """Returns whether the connection may carry another request."""
        if (
            not self._has_place
            or not self.answered
            or self._http.our_state is not h11.DONE
        ):
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    def _read_request(self):
        head = self._read_head()
        if head is None:
            return None
        if self._http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._http.send(continue_response))
        names = {name for name, _ in head.headers}
        body = bytearray()
        self._begin_body(head, body)
        try:
            if not self._within("idle_timeout_s", self._read_body, body):
                return None
        except BaseException:
            # The traceback keeps the body for as long as the refusal is written.
            body.clear()
            raise
        return IncomingRequest(
            bytes(head.method),
            bytes(head.target),
            tuple(head.headers),
            tuple(head.headers.raw_items()),
            body,
            b"content-length" in names or b"transfer-encoding" in names,
        )

    def _begin_body(self, head, body):
        """Begins to count a body, and what the head takes beyond that of most."""
        lengths = [value for name, value in head.headers if name == b"content-length"]
        left_bytes = int(lengths[0]) if lengths else None
        self._progress.begin(self._reader.read_at, left_bytes)
        self._reader.release()
        extra_headers = len(head.headers) - CONNECTION_HEADERS
        if extra_headers > 0:
            head_bytes = HEADER_OBJECT_BYTES * extra_headers + _head_bytes(head)
            self._hold(head_bytes, body)

    def _hold(self, count, body):
        """Counts bytes of the request that is being read.

        Raises:
            ReadLimitExceeded: If there is no memory for them.
        """

        def drop():
            body.clear()
            gevent.get_hub().loop.run_callback(self._raise_evicted)

        self._reader.hold(count, drop, sys.maxsize, self._progress)

    def _read_head(self):
        """Returns the `h11.Request`, or None if the caller is idle or has hung up."""
        pipelined = self._http.trailing_data[0]
        self._head_lines, self._head_tail = 0, b""
        self._count_head_lines(pipelined)
        if not pipelined:
            data = self._receive_first()
            if not data:
                return None
            self._receive_head(data)
        self._listener.arriving.add(self)
        self._phase = _Phase.READING
        self._progress.begin(self._reader.read_at)
        event = self._within("header_timeout_s", self._next_event)
        if type(event) is not h11.Request:
            return None
        self._method = event.method
        if _head_bytes(event) > self._listener.limits().header_bytes:
            raise _Rejected(431)
        return event

    def _read_body(self, body):
        """Adds what arrives of the body to the part that has arrived before.

        Returns:
            Whether the body is complete; otherwise the caller has hung up.
        """
        while type(event := self._next_event()) is h11.Data:
            count = len(event.data)
            body += event.data
            # Each connection that waits would hold its latest bytes twice.
            del event
            if len(body) > self._listener.limits().body_bytes:
                raise _Rejected(413)
            self._progress.note(self._reader.read_at, count)
            self._hold(count, body)
        self._reader.complete()
        return type(event) is h11.EndOfMessage

    def _refuse_unread(self):
        """Refuses a request whose body finds no memory, and drops the rest of it.

        Returns:
            Whether the connection may carry another request.
        """
        self._phase = _Phase.BUSY
        self._reader.release()
        self._listener.drops.note(MEMORY_FULL)
        log_event("request_rejected", level="warning", status=503, reason=MEMORY_FULL)
        retry = (b"Retry-After", b"%g" % SHORTAGE_RETRY_S)
        if self._http.our_state is h11.IDLE:
            # The end of the request is unknown, as its head is incomplete.
            self.answer(503, [retry], b"", close=True)
            return False
        if self._http.our_state is not h11.SEND_RESPONSE:
            return False
        self.answer(503, [retry], b"")
        if not self._has_place:
            return False
        self._phase = _Phase.DISCARDING
        try:
            dropped = self._within("idle_timeout_s", self._drop_body)
        except (_Rejected, h11.RemoteProtocolError):
            return False
        return dropped and self._start_next_cycle()

    def _drop_body(self):
        """Reads the rest of a body; returns whether it is complete."""
        size = 0
        while type(event := self._next_event()) is h11.Data:
            self._progress.note(self._reader.read_at, len(event.data))
            size += len(event.data)
            del event
            if size > self._listener.limits().body_bytes:
                raise _Rejected(413)
        return type(event) is h11.EndOfMessage

    def _within(self, limit_name, read, *args):
        """Returns what a function has read within a time limit.

        Args:
            limit_name: Attribute of `ClientLimits` with the limit in seconds. A new
                configuration may raise it during the wait.
            read: Function that goes on with its work if it is called again.
            *args: Arguments of the function.
        """
        waited_s = 0.0
        while waited_s < (limit_s := getattr(self._listener.limits(), limit_name)):
            left_s, waited_s = limit_s - waited_s, limit_s
            with gevent.Timeout(left_s, False):
                return read(*args)
        raise _Rejected(408)

    def _receive_first(self):
        """Waits for the first bytes of a request.

        Returns:
            The bytes; empty if the caller is idle or has hung up.
        """
        self._listener.idle.add(self)
        waited_s = 0.0
        try:
            # A new configuration may raise the limit during the wait.
            while waited_s < self._listener.limits().idle_timeout_s:
                limit_s = self._listener.limits().idle_timeout_s
                self.sock.settimeout(limit_s - waited_s)
                waited_s = limit_s
                try:
                    return self._reader.recv()
                except TimeoutError:
                    continue
            # A request may have arrived while the process was busy.
            return self._reader.recv() if peek(self.sock) else b""
        except OSError:
            return b""
        finally:
            self._listener.idle.discard(self)
            self.sock.settimeout(None)

    def _next_event(self):
        while True:
            self._reader.give_way()
            event = self._http.next_event() if self._method else self._parse_head()
            if event is not h11.NEED_DATA:
                return event
            incomplete_bytes = len(self._http.trailing_data[0])
            if incomplete_bytes > self._listener.limits().header_bytes:
                raise _Rejected(431)
            if self._method:
                self._http.receive_data(self._reader.recv())
                continue
            if incomplete_bytes > SMALL_HEAD_BYTES:
                self._reader.release()
                self._hold(incomplete_bytes, bytearray())
            self._receive_head(self._reader.recv())

    def _parse_head(self):
        """Returns the next event while the head is not complete or not parsed."""
        if self._head_lines <= MANY_LINES:
            return self._http.next_event()
        # The head may be complete and wait for its turn.
        self._reader.release()
        self._hold(len(self._http.trailing_data[0]), bytearray())
        return self._listener.parse_turns.parse(self._http.next_event)

    def _receive_head(self, data):
        self._count_head_lines(data)
        self._http.receive_data(data)

    def _count_head_lines(self, data):
        """Counts the lines of a head, but not those of a body that follows."""
        joined = self._head_tail + data
        end = HEAD_END.search(joined)
        lines = joined.count(b"\n", 0, end.end() if end else len(joined))
        self._head_lines += lines - self._head_tail.count(b"\n")
        self._head_tail = joined[-2:]

    def _answer_rejected(self, status):
        """Refuses a request for its form; the connection ends then."""
        self._phase = _Phase.BUSY
        self._reader.release()
        log_event("request_rejected", level="warning", status=status)
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.answer(status, [], b"", close=True)
            self._linger()
        return False

    def has_hung_up(self):
        """Returns whether the caller has closed the connection already."""
        return peek(self.sock) == b""

    def answer(self, status, headers, body, close=False, message=None):
        """Sends a whole answer.

        Args:
            status: HTTP status.
            headers: Pairs of name and value in bytes; Content-Length is added.
            body: Bytes of the body, which an answer to HEAD leaves out.
            close: Whether the connection ends after the answer.
            message: `HeldMessage` of the body, which the caller loses in a shortage of
                memory if it reads slowly; None if the body must stay.
        """
        headers = [h for h in headers if h[0].lower() != b"content-length"]
        if _may_have_body(status):
            headers.append((b"Content-Length", str(len(body)).encode()))
        parts = [self._head(status, headers, close)]
        if body and self._method != b"HEAD":
            parts += self._http.send_with_data_passthrough(h11.Data(data=body))
        parts.append(self._http.send(h11.EndOfMessage()))
        if len(body) <= WRITE_BYTES:
            parts = [b"".join(parts)]
        elif message is not None:
            loop = gevent.get_hub().loop
            drop = partial(loop.run_callback, self._raise_dropped, MEMORY_FULL)
            message.yield_as_response(self._progress, drop)
        # The parts of a long answer are not joined, which would copy its body.
        for part in parts:
            self._write(part)
        self.answered = True

    def answer_head_request(self, status, headers):
        """Sends an answer to HEAD, whose Content-Length is that of the omitted body."""
        output = self._head(status, headers, False)
        output += self._http.send(h11.EndOfMessage())
        self._write(output)
        self.answered = True

    def start_stream(self, status, headers):
        """Sends the head of an answer whose length isn't known yet."""
        headers = [h for h in headers if h[0].lower() != b"content-length"]
        output = self._head(status, headers, False)
        if not self._sends_chunks():
            # A close, also by the end of the process, would look like the end of the
            # stream.
            self._reset_on_close(True)
        self._write(output)

    def send(self, data):
        """Sends a part of a stream."""
        self._write(self._http.send(h11.Data(data=data)))

    def finish_stream(self):
        """Marks a stream as complete."""
        output = self._http.send(h11.EndOfMessage())
        self._write(output)
        self._reset_on_close(False)
        self.answered = True

    def _reset_on_close(self, enabled):
        linger = struct.pack("ii", int(enabled), 0)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _head(self, status, headers, close):
        is_last = self._listener.draining and not self._has_more_input()
        if close or is_last or not self._has_place:
            headers = [*headers, (b"Connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        output = self._http.send(response)
        self.started = True
        return output

    def _has_more_input(self):
        """Returns whether the next request has arrived, at least in part."""
        return bool(self._http.trailing_data[0] or peek(self.sock))

    def _write(self, output):
        if not output:
            return
        parts = memoryview(output)
        gone = CallerGone("the caller does not read its answer")
        phase, self._phase = self._phase, _Phase.WRITING
        clock = self._listener.clock
        # The rate is noted for each part, so that of a single one is never known.
        size = len(parts) if len(parts) > WRITE_BYTES else None
        self._progress.begin(clock.monotonic(), size)
        try:
            for start in range(0, len(parts), WRITE_BYTES):
                part = parts[start : start + WRITE_BYTES]
                with gevent.Timeout(WRITE_TIMEOUT_S, gone):
                    self.sock.sendall(part)
                if size is not None:
                    self._progress.note(clock.monotonic(), len(part))
        except OSError as exc:
            raise CallerGone("the caller has closed the connection") from exc
        finally:
            self._phase = phase
            # A traceback that refers to itself would keep the response.
            del gone

    def close_idle(self):
        """Ends a connection that waits for its next request.

        One whose request has begun to arrive is left to be read and answered.
        """
        if peek(self.sock):
            return
        try:
            self.sock.shutdown(std_socket.SHUT_RD)
        except OSError:
            # The connection has already ended.
            pass

    def _linger(self):
        """Reads and drops input for a short time before the close; see `LINGER_S`."""
        if self._has_place:
            self._drop_input()
        elif self._listener.lingering < MAX_LINGERING:
            self._listener.lingering += 1
            try:
                self._drop_input()
            finally:
                self._listener.lingering -= 1

    def _drop_input(self):
        try:
            self.sock.shutdown(std_socket.SHUT_WR)
            with gevent.Timeout(LINGER_S, False):
                while self._reader.recv():
                    pass
        except OSError:
            # Already reset by the caller.
            pass

    def _close(self):
        self._listener.idle.discard(self)
        try:
            if self.answered and self._http.our_state is h11.MUST_CLOSE:
                self._linger()
        except CallerGone:
            # The answer has been sent.
            pass
        finally:
            self.sock.close()

    def _sends_chunks(self):
        return (self._http.their_http_version or b"") >= b"1.1"


def _head_bytes(head):
    """Returns the size of a request head; h11 limits that of incomplete heads only."""
    sizes = [len(name) + len(value) for name, value in head.headers]
    return len(head.target) + sum(sizes)


def _may_have_body(status):
    return status >= 200 and status not in (204, 304)


class Listener:
    """Accepts connections of callers.

    Attributes:
        limits: Function that returns the `ClientLimits` in force.
        memory: `ReadMemory` of the requests.
        draining: Whether each connection ends after an answer, unless the next request
            has arrived.
        busy: Connections with a request in progress.
        idle: Connections that wait for a request.
        arriving: Connections of which a part of a request has been read.
        parse_turns: `ParseTurns` of the heads.
        drops: `DropLog` of the callers that lost memory or their place.
        lingering: Number of connections that linger after they lost their place.
        spared: Connections that lost their place, but have a request to answer.
        clock: `Clock`.
    """

    def __init__(self, address, handler, limits, max_connections, memory=None):
        """Creates the listener.

        Args:
            address: Host and port to listen on.
            handler: Called with the `CallerConnection` and each `IncomingRequest`.
            limits: Function that returns the `ClientLimits` in force.
            max_connections: Largest number of connections at the same time.
            memory: `ReadMemory` of the requests; one of the default size if None.
        """
        self.limits = limits
        self.memory = memory or ReadMemory.of_process(0)
        self.draining = False
        self.busy = set()
        self.idle = set()
        self.arriving = set()
        self.parse_turns = ParseTurns()
        self.drops = DropLog()
        self.lingering = 0
        self.spared = set()
        self.clock = SystemClock()
        self._handler = handler
        self._places = PlaceAccount(max_connections, self.clock)
        self._sock = _listen(address)
        self._server = StreamServer(self._sock, self._serve)
        self._server.max_accept = MAX_ACCEPTS

    def _serve(self, sock, peer):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn = CallerConnection(sock, self, peer[0])
        if not self._places.enter(conn):
            self._refuse(sock)
            return
        self.memory.add_fixed(CONNECTION_BYTES)
        try:
            conn.serve(self._handler)
        finally:
            self.memory.remove_fixed(CONNECTION_BYTES)
            self._places.leave(conn)

    def _refuse(self, sock):
        """Refuses a connection as all others are busy, without waiting."""
        self.drops.note(PLACES_FULL)
        refuse_connection(sock)

    def register_gauges(self, metrics):
        """Registers the gauges of connections and memory."""
        metrics.observe_gauge(Gauge.CALLERS, lambda: len(self._places))
        metrics.observe_gauge(Gauge.MEMORY, lambda: self.memory.used_bytes)

    def start(self):
        """Starts to accept connections."""
        self._server.start()

    def close(self):
        """Stops accepting connections; open ones continue.

        Those that the system has accepted are served, since a close would reset them.
        """
        self._server.stop_accepting()
        try:
            for _ in range(BACKLOG):
                sock, peer = self._sock.accept()
                gevent.spawn(self._serve, sock, peer)
        except OSError:
            # None is left, or the listener was closed before.
            pass
        self._server.close()

    def close_idle(self):
        """Ends the connections that wait for a request."""
        for conn in tuple(self.idle):
            conn.close_idle()

    def has_requests(self):
        """Returns whether a request is in progress or arriving."""
        return bool(self.busy or self.arriving)

    def has_unanswered(self):
        """Returns whether the caller of a request in progress has got nothing yet."""
        return any(not conn.started for conn in self.busy)

    def interrupt_busy(self, exc):
        """Raises an exception in each handler whose caller has got nothing yet."""
        loop = gevent.get_hub().loop
        for conn in tuple(self.busy):
            loop.run_callback(self._interrupt, conn, exc)

    def _interrupt(self, conn, exc):
        """Raises an exception in a handler; runs in the event loop.

        The answer may have begun since the interruption was scheduled.
        """
        if conn in self.busy and not conn.started:
            conn.greenlet.throw(exc)


def _listen(address):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(split_address(address))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock
