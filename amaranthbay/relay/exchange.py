"""Sends one request to a backend server and reads its answer unchanged."""

import re
from dataclasses import dataclass

import gevent
import h11
from result import Err, Ok

from amaranthbay.kernel.errors import AmaranthbayError, Verdict
from amaranthbay.relay.codec import AnswerTraits
from amaranthbay.relay.connections import answer_parser
from amaranthbay.utils.reading import READ_BYTES, BoundedReader, ReadLimitExceeded

__all__ = [
    "AnswerBody",
    "AnswerHead",
    "Exchange",
    "ExchangeBroken",
    "SendForbidden",
    "control_exchange",
    "open_exchange",
    "take_connection",
]

# Largest number of answers that are read on a connection to find the answer to the
# request; the others are late answers to earlier requests.
MAX_ANSWERS_READ = 4
MAX_LATE_ANSWER_BYTES = 2**20
# Bytes within which the head of an answer must end, with late answers and interim heads
# before it. A single head may have 16 KiB.
MAX_BYTES_TO_HEAD = 2**18 + MAX_ANSWERS_READ * MAX_LATE_ANSWER_BYTES
# Bodies up to this size are sent with their head; larger ones would be copied for it.
MAX_JOINED_BODY_BYTES = 65536
# Highest status of HTTP. The parser accepts any of three digits from 200 on.
MAX_STATUS = 599
# Ends of a head that the parser accepts.
_HEAD_END = re.compile(rb"\n\r?\n")


class ExchangeBroken(AmaranthbayError):
    """Raised when a backend server gives no usable answer.

    Attributes:
        verdict: Whether the request may have run.
        reason: One word for logs and counters.
    """

    def __init__(self, verdict, reason):
        super().__init__(reason)
        self.verdict = verdict
        self.reason = reason


class SendForbidden(ExchangeBroken):
    """Raised when a server's pause or limit forbids to send it a request."""


@dataclass(frozen=True)
class AnswerHead:
    """Head of a backend server's answer.

    Attributes:
        status: HTTP status.
        headers: Pairs of name and value in bytes, names as the server wrote them.
        traits: `AnswerTraits` read from the headers.
    """

    status: int
    headers: tuple
    traits: AnswerTraits


@dataclass(frozen=True)
class AnswerBody:
    """The whole body of an answer.

    Attributes:
        data: The bytes.
        message: `HeldMessage` that counts them, or None for an empty body; it is
            released when the body is no longer needed.
    """

    data: bytearray
    message: object

    def release(self):
        """Frees the memory that the body counts for."""
        if self.message is not None:
            self.message.release()


class Exchange:
    """A request that was sent and whose answer is read as it arrives.

    Attributes:
        head: `AnswerHead` once it is read, else None.
    """

    def __init__(self, conn, pool, codec, attempt_id, method, sender):
        """Creates the exchange on a connection that sends the request.

        Args:
            conn: `ServerConnection` of the exchange.
            pool: `ConnectionPool` that gets the connection back.
            codec: `CallCodec` that reads the answer's headers.
            attempt_id: Id of the request; empty if it has none.
            method: HTTP method of the request.
            sender: Greenlet that sends the request; returns whether all was sent.
        """
        self.head = None
        self._conn = conn
        self._pool = pool
        self._codec = codec
        self._attempt_id = attempt_id
        self._method = method
        self._sender = sender
        self._parser = answer_parser(method)
        self._reader = BoundedReader(conn.sock, pool.memory)
        self._kept_bytes = 0
        self._complete = False
        self._peer_closed = False
        self._headers = ()
        self._silence_s = None
        self._on_silence = None
        self._sent_at = pool.clock.monotonic()

    def watch_silence(self, seconds, callback):
        """Calls ``callback()`` each time the server has been silent for some seconds.

        An exception of the callback ends the read.
        """
        self._silence_s = seconds
        self._on_silence = callback

    def read_head(self):
        """Returns the `AnswerHead`; skips late answers to earlier requests.

        Raises:
            ExchangeBroken: If the connection ends, sends no valid HTTP answer or has
                too many late answers.
        """
        for _ in range(MAX_ANSWERS_READ):
            event = self._next_event()
            while type(event) is h11.InformationalResponse:
                self._check_head_bytes()
                event = self._next_event()
            if type(event) is not h11.Response:
                raise self._broken("connection_closed")
            if event.status_code > MAX_STATUS:
                raise self._broken("not_http")
            headers = [(name, value) for name, value in event.headers]
            self._headers = headers
            traits = self._codec.read_answer(event.status_code, headers)
            is_own = traits.attempt_id in ("", self._attempt_id)
            sent_at = self._sent_at if is_own else None
            self._pool.note_answer(self._conn.server, traits, sent_at)
            if is_own:
                original_headers = tuple(event.headers.raw_items())
                self.head = AnswerHead(event.status_code, original_headers, traits)
                return self.head
            self._skip_answer()
        raise self._broken("late_answers")

    def _check_head_bytes(self):
        if self._reader.received_bytes > MAX_BYTES_TO_HEAD:
            raise self._broken("head_too_large")

    def _skip_answer(self):
        """Drops a late answer and resets the parser for the next one."""
        size = 0
        event = self._next_event()
        while type(event) is h11.Data:
            size += len(event.data)
            if size > MAX_LATE_ANSWER_BYTES:
                raise self._broken("late_answer_too_large")
            event = self._next_event()
        leftover = self._parser.trailing_data[0]
        self._parser = answer_parser(self._method)
        if leftover:
            self._parser.receive_data(leftover)

    def chunks(self, max_bytes=READ_BYTES):
        """Yields the bytes of the body as they arrive.

        Args:
            max_bytes: Largest number of bytes that are yielded at once.

        Raises:
            ExchangeBroken: If the body ends early.
        """
        event = self._next_event()
        while type(event) is h11.Data:
            data = memoryview(event.data)
            # Each exchange that waits would hold its latest bytes twice.
            del event
            for start in range(0, len(data), max_bytes):
                yield bytes(data[start : start + max_bytes])
                self._reader.give_way()
            del data
            event = self._next_event()
        if type(event) is not h11.EndOfMessage:
            raise self._broken("answer_cut")
        self._complete = True

    def read_body(self):
        """Returns the whole body as an `AnswerBody`.

        Raises:
            ExchangeBroken: If the body ends early or needs too much memory.
        """
        data = bytearray()
        try:
            for part in self.chunks():
                self._reader.hold(len(part), data.clear)
                data += part
                del part
            return AnswerBody(data, self._reader.take_message())
        except ReadLimitExceeded as exc:
            raise self._broken(exc.reason) from exc
        finally:
            if not self._complete:
                # The traceback of the failure keeps the part that has arrived.
                data.clear()

    def note_kept(self, count, drop):
        """Counts the bytes of the body that wait for the rest of an event.

        Args:
            count: Number of the bytes; fewer than one read are not counted.
            drop: Function that drops them, as others need the memory; the next read
                then fails.

        Raises:
            ExchangeBroken: If there is no memory for them.
        """
        count = count if count > READ_BYTES else 0
        if count == self._kept_bytes:
            return
        self._kept_bytes = count
        try:
            self._reader.hold_exactly(count, drop)
        except ReadLimitExceeded as exc:
            raise self._broken(exc.reason) from exc

    def _next_event(self):
        while True:
            self._reader.give_way()
            if self._is_head_cut():
                raise self._broken("not_http")
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as exc:
                reason = "connection_closed" if self._peer_closed else "not_http"
                raise self._broken(reason) from exc
            if event is not h11.NEED_DATA:
                return event
            try:
                data = self._receive()
            except ReadLimitExceeded as exc:
                raise self._broken(exc.reason) from exc
            except OSError as exc:
                raise self._broken("connection_reset") from exc
            self._peer_closed = not data
            if self._peer_closed and not self._sent_whole():
                # The send has met a reset, so that the read does not get the error, or
                # will meet one, as the server reads no more. An answer without framing
                # would look complete.
                raise self._broken("connection_reset")
            try:
                self._parser.receive_data(data)
            except h11.RemoteProtocolError as exc:
                raise self._broken("connection_closed") from exc

    def _is_head_cut(self):
        """Returns whether a bare LF ends the head that is parsed next.

        The parser takes it for the blank line, but the server may have broken off
        there. An answer without framing would then look whole.
        """
        if self._parser.their_state is not h11.SEND_RESPONSE:
            return False
        return _is_ended_by_bare_lf(self._parser.trailing_data[0])

    def _receive(self):
        # The request may still be being sent, so the socket gets no timeout.
        while self._on_silence is not None:
            with gevent.Timeout(self._silence_s, False):
                return self._reader.recv()
            self._on_silence()
        return self._reader.recv()

    def _sent_whole(self):
        """Returns whether all of the request was sent."""
        return self._sender.ready() and self._sender.value is True

    def _broken(self, reason):
        return ExchangeBroken(Verdict.MAY_HAVE_RUN, reason)

    def close(self):
        """Gives the connection back to the pool, or closes it if it can't be reused."""
        sent = self._sent_whole()
        self._sender.kill(block=False)
        self._reader.release()
        if not (self._complete and sent and self._may_reuse()):
            self._conn.close()
            return
        if self.head.traits.not_run:
            self._conn.note_refused(self._attempt_id)
        self._pool.give_back(self._conn, self._keep_alive_s())

    def _may_reuse(self):
        if not self._is_repeat_recognizable():
            return False
        if self._parser.trailing_data[0]:
            return False
        if self._parser.their_state is not h11.DONE:
            return False
        return b"close" not in self._header(b"connection").lower()

    def _is_repeat_recognizable(self):
        """Returns whether a repeat of the answer can't pass for a later answer.

        A server may send an answer once more when the next one is due. Only the attempt
        id tells the two apart, and control calls have none. Calls for holds share their
        connections with nothing else: at worst a repeat makes a stream try another
        server. A successful answer without an id is a prefill's; repeated, it refuses
        nothing.
        """
        if not self._attempt_id:
            return self._conn.for_holds
        traits = self.head.traits
        if traits.attempt_id:
            return True
        return 200 <= self.head.status < 300 and not traits.not_run

    def _keep_alive_s(self):
        for part in self._header(b"keep-alive").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                return float(value)
        return None

    def _header(self, name):
        return b",".join(v for n, v in self._headers if n == name)


def open_exchange(
    pool, codec, server, call, options, connect_timeout_s, conn=None, placed=False
):
    """Sends a call to a backend server.

    Args:
        pool: `ConnectionPool` to take a connection from.
        codec: `CallCodec` that writes the headers.
        server: `BackendServer` that gets the request.
        call: `Call` to forward.
        options: `ForwardOptions` for the server.
        connect_timeout_s: Longest wait for a connection.
        conn: `ServerConnection` from `take_connection`, to use if it is still usable.
        placed: Whether placement has counted the request for the server's limit.

    Returns:
        `Exchange`, whose head is not read yet.

    Raises:
        SendForbidden: If the server's pause or limit forbids it; nothing was sent.
        ExchangeBroken: With the verdict ``not_run``; nothing was sent then.
    """
    head_bytes = _encode_head(codec, call, options)
    _check_send(pool, server, placed)
    attempt_id = call.head.attempt_id
    repeatable = call.route.repeatable
    if conn is not None and not pool.is_usable(conn, repeatable):
        conn.close()
        conn = None
    if conn is None:
        conn = take_connection(pool, server, repeatable, connect_timeout_s, attempt_id)
    # The server may answer before it has read a long body.
    sender = gevent.spawn(_send, conn.sock, head_bytes, call.body)
    return Exchange(conn, pool, codec, attempt_id, call.method, sender)


def control_exchange(
    pool, codec, server, method, path, body, timeout_s, headers=(), for_holds=False
):
    """Sends a call of the relay itself to a backend server; the call may be repeated.

    The connection is closed after a call that isn't for a hold, as the answer has no
    attempt id by which a repeat of it could be recognized.

    Args:
        pool: `ConnectionPool` to take a connection from.
        codec: `CallCodec` that reads the answer's headers.
        server: `BackendServer` that gets the call.
        method: HTTP method.
        path: Path of the call.
        body: Bytes of the body.
        timeout_s: Longest time for the whole call.
        headers: Further pairs of name and value.
        for_holds: Whether the call takes or releases a hold.

    Returns:
        ``Result[tuple[int, bytes], str]``: status and body, or the reason of a failure.
    """
    timeout_exc = ExchangeBroken(Verdict.MAY_HAVE_RUN, "slow")
    exchange = None
    try:
        with gevent.Timeout(timeout_s, timeout_exc):
            _check_send(pool, server, placed=False)
            conn = take_connection(pool, server, True, timeout_s, for_holds=for_holds)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {server.address}"]
            if body:
                lines.append("Content-Type: application/json")
                lines.append(f"Content-Length: {len(body)}")
            lines += [f"{name}: {value}" for name, value in headers]
            head_bytes = "\r\n".join(lines).encode() + b"\r\n\r\n"
            sender = gevent.spawn(_send, conn.sock, head_bytes, body)
            exchange = Exchange(conn, pool, codec, "", method, sender)
            head = exchange.read_head()
            body = exchange.read_body()
            body.release()
            return Ok((head.status, bytes(body.data)))
    except ExchangeBroken as exc:
        return Err(exc.reason)
    finally:
        if exchange is not None:
            exchange.close()


def take_connection(
    pool, server, repeatable, timeout_s, attempt_id="", for_holds=False
):
    """Returns a `ServerConnection` for one request.

    Args:
        pool: `ConnectionPool` to take it from.
        server: `BackendServer` to connect to.
        repeatable: Whether the request may be sent again if the connection breaks.
        timeout_s: Longest wait for a connection.
        attempt_id: Id of the request; empty if it has none.
        for_holds: Whether the request is a call for a hold.

    Raises:
        ExchangeBroken: With the verdict ``not_run``, if no connection could be made.
    """
    try:
        conn = pool.take(server, repeatable, timeout_s, attempt_id, for_holds)
    except OSError as exc:
        raise ExchangeBroken(Verdict.NOT_RUN, "connect_failed") from exc
    conn.uses += 1
    conn.sock.settimeout(None)
    return conn


def _check_send(pool, server, placed):
    """Checks that a server may get a request despite its pause or its limit.

    Raises:
        SendForbidden: If it may not.
    """
    reason = pool.check_send(server.name, placed)
    if reason is not None:
        raise SendForbidden(Verdict.NOT_RUN, reason)


def _encode_head(codec, call, options):
    headers = codec.forward_headers(call.headers, options)
    if call.body or call.declares_body:
        headers.append((b"Content-Length", str(len(call.body)).encode()))
    lines = [b"%s %s HTTP/1.1\r\n" % (call.method, call.target)]
    lines += [b"%s: %s\r\n" % header for header in headers]
    return b"".join(lines) + b"\r\n"


def _is_ended_by_bare_lf(data):
    r"""Returns whether the first head in some bytes ends with other than CRLF CRLF.

    Examples:
        >>> _is_ended_by_bare_lf(b"HTTP/1.1 200 OK\r\n\n")
        True
        >>> _is_ended_by_bare_lf(b"HTTP/1.1 200 OK\r\n\r\nbody\n\n")
        False
        >>> _is_ended_by_bare_lf(b"HTTP/1.1 200 OK\r\n")
        False
    """
    end = _HEAD_END.search(data)
    return end is not None and not data.endswith(b"\r\n\r\n", 0, end.end())


def _send(sock, head_bytes, body):
    """Sends a request and returns whether all was sent; the reader reports failures."""
    if len(body) <= MAX_JOINED_BODY_BYTES:
        head_bytes, body = head_bytes + body, b""
    try:
        sock.sendall(head_bytes)
        if body:
            sock.sendall(body)
    except OSError:
        return False
    return True
