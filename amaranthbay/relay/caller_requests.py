"""Reads the requests of a caller within the limits of size, time and memory."""

import re
import sys
from dataclasses import dataclass, field

import gevent
import h11

from amaranthbay.ingress.capacity import CONNECTION_HEADERS
from amaranthbay.ingress.heads import MANY_LINES
from amaranthbay.ingress.places import Succession
from amaranthbay.relay.caller_socket import (
    MEMORY_FULL,
    UNREAD_BYTES,
    CallerSocket,
    Phase,
)
from amaranthbay.utils.reading import READ_BYTES, ReadLimitExceeded
from amaranthbay.utils.sockets import peek, unread_bytes

__all__ = ["IncomingRequest", "Rejected", "RequestReader"]

# Bytes that each parsed header takes, besides its own.
HEADER_OBJECT_BYTES = 400
# Bytes of an incomplete head that don't count, as almost all heads have fewer.
SMALL_HEAD_BYTES = 2048
# Bytes that are read at once of a head, and of a body of unknown size. What follows it
# waits in the process for its turn.
HEAD_READ_BYTES = CHUNK_READ_BYTES = 16384
# Bytes of a large body that the kernel holds until they are read, so that it needs few
# round trips to a far caller.
LARGE_UNREAD_BYTES = 2**18
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


class Rejected(Exception):
    """Raised when a request exceeds a limit; has the HTTP status of the answer."""

    def __init__(self, status):
        super().__init__(status)
        self.status = status


class RequestReader(CallerSocket):
    """Reads requests from the socket of a caller."""

    def __init__(self, sock, listener, address=""):
        super().__init__(sock, listener, address)
        # Lines that have been received of the head that is being read, and the latest
        # bytes, which may be a part of its end.
        self._head_lines = 0
        self._head_tail = b""
        self._succession = Succession()
        # Bytes of the body that have not arrived; None if unknown.
        self._body_left = None
        # Bytes of later requests that count.
        self._early_bytes = 0

    def _read_request(self):
        """Returns the `IncomingRequest`, or None if the caller has hung up."""
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
        self._body_left = left_bytes
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

    def _raise_evicted(self):
        """Interrupts the read of a request without memory; runs in the loop."""
        if self._phase is Phase.READING and self._reader.evicted:
            self.greenlet.throw(ReadLimitExceeded(MEMORY_FULL))

    def _read_head(self):
        """Returns the `h11.Request`, or None if the caller is idle or has hung up."""
        pipelined = self._http.trailing_data[0]
        self._head_lines, self._head_tail = 0, b""
        self._count_head_lines(pipelined)
        if pipelined:
            self._succession.note(0.0)
        else:
            began_at = self._listener.clock.monotonic()
            data = self._receive_first()
            if not data:
                return None
            self._succession.note(self._reader.read_at - began_at)
            self._receive_head(data)
        self._listener.arriving.add(self)
        self._phase = Phase.READING
        self._progress.begin(self._reader.read_at)
        event = self._within("header_timeout_s", self._next_event)
        if type(event) is not h11.Request:
            return None
        self._method = event.method
        if _head_bytes(event) > self._listener.limits().header_bytes:
            raise Rejected(431)
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
                raise Rejected(413)
            self._note_body(count)
            self._hold(count, body)
            self._widen(body)
        self._reader.complete()
        return type(event) is h11.EndOfMessage

    def _note_body(self, count):
        self._progress.note(self._reader.read_at, count)
        if self._body_left is not None:
            self._body_left -= count

    def _widen(self, body):
        """Lets the caller send more of a large body at once, if there is memory."""
        extra_bytes = LARGE_UNREAD_BYTES - self._unread_bytes
        is_large = UNREAD_BYTES <= len(body) and extra_bytes > 0
        if is_large and self._listener.memory.has_room(extra_bytes):
            self._hold(extra_bytes, body)
            self._limit_unread(LARGE_UNREAD_BYTES)

    def _count_early(self):
        """Counts what has arrived behind the request that is handled next.

        Returns:
            Whether there is memory for it.
        """
        self._release_early()
        pipelined = len(self._http.trailing_data[0])
        if not pipelined:
            return True
        count = pipelined + unread_bytes(self.sock)
        if not self._listener.memory.has_room(count):
            return False
        self._listener.memory.add_fixed(count)
        self._early_bytes = count
        return True

    def _release_early(self):
        self._listener.memory.remove_fixed(self._early_bytes)
        self._early_bytes = 0

    def _drop_body(self):
        """Reads the rest of a body; returns whether it is complete."""
        size = 0
        while type(event := self._next_event()) is h11.Data:
            self._note_body(len(event.data))
            size += len(event.data)
            del event
            if size > self._listener.limits().body_bytes:
                raise Rejected(413)
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
        raise Rejected(408)

    def _receive_first(self):
        """Waits for the first bytes of a request.

        Returns:
            The bytes; empty if the caller is idle or has hung up.
        """
        self._release_early()
        self._listener.idle.add(self)
        waited_s = 0.0
        try:
            # A new configuration may raise the limit during the wait.
            while waited_s < self._listener.limits().idle_timeout_s:
                limit_s = self._listener.limits().idle_timeout_s
                self.sock.settimeout(limit_s - waited_s)
                waited_s = limit_s
                try:
                    return self._reader.recv(HEAD_READ_BYTES)
                except TimeoutError:
                    continue
            # A request may have arrived while the process was busy.
            return self._reader.recv(HEAD_READ_BYTES) if peek(self.sock) else b""
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
                raise Rejected(431)
            if self._method:
                self._http.receive_data(self._reader.recv(self._body_read_bytes()))
                continue
            if incomplete_bytes > SMALL_HEAD_BYTES:
                self._reader.release()
                self._hold(incomplete_bytes, bytearray())
            self._receive_head(self._reader.recv(HEAD_READ_BYTES))

    def _body_read_bytes(self):
        """Returns the bytes of a body to read at once, with little of what follows."""
        if self._body_left is None:
            return CHUNK_READ_BYTES
        return max(1, min(READ_BYTES, self._body_left))

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


def _head_bytes(head):
    """Returns the size of a request head; h11 limits that of incomplete heads only."""
    sizes = [len(name) + len(value) for name, value in head.headers]
    return len(head.target) + sum(sizes)
