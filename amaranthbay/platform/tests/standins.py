"""Test doubles for the platform: its table store and its backend servers."""

import base64
import contextlib
import itertools
import struct
import time
from collections import deque
from dataclasses import dataclass, field, replace
from urllib.parse import parse_qs, urlsplit

import gevent
import gevent.event
import h11
import msgspec
from gevent import socket
from gevent.server import StreamServer

from amaranthbay.utils.testing import free_port

__all__ = ["STORE_LEAD_S", "Reply", "StoreStandin", "ServerStandin", "serve_http"]

READ_BYTES = 65536
# Lead of the store's steady clock over that of this machine.
STORE_LEAD_S = 5000.0


@dataclass(frozen=True)
class ReceivedRequest:
    """A request that a stand-in received.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Values by lower-case name.
        body: Whole body.
        sock: Socket on which it arrived.
    """

    method: str
    target: str
    headers: dict
    body: bytes
    sock: object = field(default=None, repr=False, compare=False)

    @property
    def path(self):
        return urlsplit(self.target).path

    @property
    def query(self):
        pairs = parse_qs(urlsplit(self.target).query, keep_blank_values=True)
        return {name: values[-1] for name, values in pairs.items()}


@dataclass(frozen=True)
class Reply:
    """An answer that a stand-in sends.

    Attributes:
        status: HTTP status.
        headers: Pairs of name and value.
        body: Whole body, sent with its length.
        chunks: Parts of the body, sent one by one with chunked encoding; replaces
            ``body``.
        pause_s: Seconds before each part.
        pauses: Seconds before each single part; replaces ``pause_s``.
        cut: Whether the connection is closed before the end of the body.
        raw: Bytes that are sent instead of all the above, or a tuple of parts, each
            after ``pause_s``; then the connection closes.
        reset: Whether a connection that ``cut`` or ``raw`` ends is reset.
        extra: Bytes that are sent after the complete answer.
        repeats: Number of the latest whole answers on the connection that are sent once
            more before this one.
        endless: Bytes that are sent after ``raw`` again and again, until the peer
            closes the connection.
        unframed: Whether ``chunks`` are sent without chunked encoding, so that the
            answer ends with the connection.
    """

    status: int = 200
    headers: tuple = ()
    body: bytes = b""
    chunks: tuple | None = None
    pause_s: float = 0.0
    pauses: tuple = ()
    cut: bool = False
    raw: bytes | tuple | None = None
    reset: bool = False
    extra: bytes = b""
    repeats: int = 0
    endless: bytes = b""
    unframed: bool = False


class _Connection:
    """Server side of one connection, which `serve_http` has accepted."""

    def __init__(self, sock, answer):
        self._sock = sock
        self._answer = answer
        self._http = h11.Connection(h11.SERVER)
        self._whole_answers = []

    def serve(self):
        try:
            while True:
                req = self._read()
                if req is None:
                    return
                if not self._write(self._answer(req)):
                    return
                self._http.start_next_cycle()
        except (OSError, h11.RemoteProtocolError):
            # The peer closed the connection, or it sent no valid HTTP.
            return
        finally:
            self._sock.close()

    def _next_event(self):
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._http.receive_data(self._sock.recv(READ_BYTES))

    def _read(self):
        head = self._next_event()
        if type(head) is not h11.Request:
            return None
        body = b""
        event = self._next_event()
        while type(event) is h11.Data:
            body += bytes(event.data)
            event = self._next_event()
        headers = {}
        for name, value in head.headers:
            # A repeated header shows all of its values.
            known = headers.get(name.decode())
            value = value.decode()
            headers[name.decode()] = value if known is None else f"{known},{value}"
        return ReceivedRequest(
            head.method.decode(), head.target.decode(), headers, body, self._sock
        )

    def _write(self, reply):
        """Sends a reply; returns whether the connection stays open."""
        if reply is None:
            return False
        if reply.repeats:
            self._sock.sendall(b"".join(self._whole_answers[-reply.repeats :]))
        if reply.reset:
            # The next close sends a reset.
            linger = struct.pack("ii", 1, 0)
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        if reply.raw is not None:
            for part in reply.raw if type(reply.raw) is tuple else (reply.raw,):
                gevent.sleep(reply.pause_s)
                self._sock.sendall(part)
            while reply.endless:
                self._sock.sendall(reply.endless)
            return False
        headers = list(reply.headers)
        if reply.chunks is None:
            headers.append(("Content-Length", str(len(reply.body))))
        if reply.unframed:
            # To a peer of this version h11 sends the body as it is, and closes.
            self._http.their_http_version = b"1.0"
        head = self._http.send(h11.Response(status_code=reply.status, headers=headers))
        self._sock.sendall(head)
        parts = reply.chunks if reply.chunks is not None else (reply.body,)
        pauses = reply.pauses or (reply.pause_s,) * len(parts)
        for part, pause_s in zip(parts, pauses):
            gevent.sleep(pause_s)
            if part:
                self._sock.sendall(self._http.send(h11.Data(data=part)))
        if reply.cut:
            return False
        self._sock.sendall(self._http.send(h11.EndOfMessage()) + reply.extra)
        if reply.chunks is None:
            self._whole_answers.append(head + reply.body)
        return self._http.our_state is h11.DONE


@contextlib.contextmanager
def serve_http(answer):
    """Serves HTTP on loopback; yields the address as ``host:port``.

    Args:
        answer: Function of a `ReceivedRequest` that returns a `Reply`, or None to close
            the connection without an answer.
    """
    address = ("127.0.0.1", free_port())
    open_sockets = set()

    def handle(sock, peer):
        open_sockets.add(sock)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        _Connection(sock, answer).serve()
        open_sockets.discard(sock)

    server = StreamServer(address, handle)
    server.start()
    try:
        yield f"{address[0]}:{address[1]}"
    finally:
        server.stop(timeout=0)
        for sock in open_sockets:
            sock.close()


@dataclass(frozen=True)
class StoreCopy:
    """Copy of a store's content, to restore it from."""

    rows: dict
    version: int
    history: tuple


@dataclass
class StoreStandin:
    """The platform's table store, in memory.

    Attributes:
        rows: Rows in wire format by table and key.
        version: Version of the newest change.
        error_status: Status of every answer; 0 while the store serves.
        silent: Whether calls, also polls that wait, get no answer for a minute.
        compacted_version: Version up to which the history of changes is gone.
        stale_snapshots: Whether snapshots name `compacted_version` as their version.
        answers_to_lose: Number of further writes whose answers are lost.
        late_write_s: Seconds after which a write with a lost answer takes effect.
        era: Era that all answers name; None if they name none.
        calls: Method and target of each call so far.
    """

    rows: dict = field(default_factory=dict)
    version: int = 0
    error_status: int = 0
    silent: bool = False
    compacted_version: int = 0
    stale_snapshots: bool = False
    answers_to_lose: int = 0
    late_write_s: float = 0.0
    era: int | None = None
    calls: list = field(default_factory=list)
    _history: deque = field(default_factory=deque)
    _changed: gevent.event.Event = field(default_factory=gevent.event.Event)

    def put(self, table, key, value):
        """Writes a row, as the operator or a backend server does.

        Args:
            table: Name of the table.
            key: Key of the row.
            value: Bytes, or a value that is encoded as JSON.
        """
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self.version += 1
        row = {"Table": table, "Key": key, "Ver": self.version}
        row["Value"] = base64.b64encode(raw).decode()
        self.rows[table, key] = row
        self._append_change(row)

    def remove(self, table, key):
        """Deletes a row."""
        self.version += 1
        del self.rows[table, key]
        self._append_change(
            {"Table": table, "Key": key, "Ver": self.version, "Removed": True}
        )

    def _append_change(self, row):
        self._history.append(row)
        self._changed.set()
        self._changed = gevent.event.Event()

    def value(self, table, key):
        """Returns the value of a row, decoded from JSON."""
        return msgspec.json.decode(base64.b64decode(self.rows[table, key]["Value"]))

    def answer(self, req):
        """Returns the `Reply` to a call."""
        self.calls.append(f"{req.method} {req.target}")
        era = self.era
        reply = self._reply(req)
        if reply is None or era is None:
            return reply
        return replace(reply, headers=(*reply.headers, ("Store-Era", str(era))))

    def _reply(self, req):
        if self.silent:
            gevent.sleep(60)
        if self.error_status:
            return Reply(self.error_status)
        handler = {
            "/rows-get": self._get,
            "/rows-feed": self._feed,
            "/rows-tx": self._transact,
        }[req.path]
        return handler(req)

    def copy(self):
        """Returns a `StoreCopy` of the current content."""
        return StoreCopy(dict(self.rows), self.version, tuple(self._history))

    def restore(self, copy):
        """Restores a `StoreCopy` and raises the era; later writes are lost.

        Polls that wait are not woken, as if the store had been replaced.
        """
        self.rows, self.version = dict(copy.rows), copy.version
        self._history = deque(copy.history)
        self.era = (self.era or 0) + 1
        self._changed = gevent.event.Event()

    def _get(self, req):
        table, start = req.query["Table"], req.query.get("From", "")
        end = req.query.get("To")
        limit = int(req.query.get("Limit", 500))
        rows = [
            row
            for (name, key), row in sorted(self.rows.items())
            if name == table and key >= start and (end is None or key < end)
        ]
        version = self.compacted_version if self.stale_snapshots else self.version
        return _json(
            {
                "Rows": rows[:limit],
                "HasMore": len(rows) > limit,
                "Ver": version,
                "NowMs": _now_ms(),
            }
        )

    def _feed(self, req):
        after, table = int(req.query["after"]), req.query["Table"]
        if after < self.compacted_version or after > self.version:
            return Reply(410)
        ends_at = time.monotonic() + int(req.query["WaitMs"]) / 1000
        while True:
            changed = self._changed
            rows = [
                row
                for row in self._history
                if row["Table"] == table and row["Ver"] > after
            ]
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                return _json({"Rows": rows, "Ver": self.version, "NowMs": _now_ms()})
            changed.wait(left_s)
            if self.silent:
                gevent.sleep(60)

    def _transact(self, req):
        call = msgspec.json.decode(req.body)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            gevent.spawn_later(self.late_write_s, self._apply, call)
            # A write that is not late takes effect before the connection closes.
            gevent.sleep(0)
            return None
        if not self._apply(call):
            return replace(_json({"Ver": 0, "NowMs": _now_ms()}), status=412)
        return _json({"Ver": self.version, "NowMs": _now_ms()})

    def _apply(self, call):
        """Applies a transaction; returns whether its conditions held."""
        for expected in call["Expected"]:
            row = self.rows.get((expected["Table"], expected["Key"]), {"Ver": 0})
            if row["Ver"] != expected["Ver"]:
                return False
        for row in call["Put"]:
            self.put(row["Table"], row["Key"], base64.b64decode(row["Value"]))
        for row in call["Remove"]:
            if (row["Table"], row["Key"]) in self.rows:
                self.remove(row["Table"], row["Key"])
        return True


def _now_ms():
    """Returns the steady clock of the store in milliseconds."""
    return int((time.monotonic() + STORE_LEAD_S) * 1000)


def _json(value):
    headers = (("Content-Type", "application/json"),)
    return Reply(200, headers, msgspec.json.encode(value))


@dataclass
class ServerStandin:
    """A backend server: plain, prefill or decode, depending on the request.

    Attributes:
        name: Instance name; requests that expect another one are refused with 421.
        event_count: Number of events in a stream.
        replies: Replies that replace the default ones of the next requests: a `Reply`,
            a function of the request that returns one, or None to close the connection.
        received: Requests so far, without control calls.
        control_calls: Method and path of each control call, and the body of each order.
        hold_status: Status of the answer to a call that takes a hold.
        orders_to_lose: Number of further orders that are accepted without an answer.
        stage: Stage that it reports.
        leaving: Whether all answers announce that it leaves.
        limit: Requests per second that all answers name as its limit; None for none.
        received_at: Monotonic time of each call that it received, control calls too.
        busy: Whether it reports that it is executing an order.
        repeats: Number of the latest answers on a connection that are sent once more
            before each answer.
    """

    name: str
    event_count: int = 3
    replies: deque = field(default_factory=deque)
    received: list = field(default_factory=list)
    control_calls: list = field(default_factory=list)
    hold_status: int = 200
    orders_to_lose: int = 0
    stage: str | None = None
    leaving: bool = False
    limit: float | None = None
    received_at: list = field(default_factory=list)
    busy: bool = False
    repeats: int = 0
    _handle_numbers: object = field(default_factory=itertools.count)

    def answer(self, req):
        """Returns the `Reply` to a call."""
        self.received_at.append(time.monotonic())
        reply = self._reply(req)
        if reply is None:
            return None
        headers = reply.headers
        if self.leaving:
            headers += (("Server-Leaving", "1"),)
        if self.limit is not None:
            headers += (("Server-Limit", str(self.limit)),)
        return replace(reply, headers=headers, repeats=self.repeats)

    def _reply(self, req):
        if req.headers.get("x-expect-instance", self.name) != self.name:
            return Reply(421, (("X-Instance-Id", self.name),))
        if self._is_control(req):
            return self._answer_control(req)
        self.received.append(req)
        if self.replies:
            reply = self.replies.popleft()
            return reply(req) if callable(reply) else reply
        if req.headers.get("x-serving-stage") == "prefill":
            return self.prefill_reply()
        if "x-token-count" in req.headers:
            return self.stream_reply(req)
        return self.stamped_reply(req, body=b"body of " + self.name.encode())

    def _is_control(self, req):
        prefixes = ("/hold-take", "/hold-drop/", "/kv-handle/", "/report", "/order")
        return req.path.startswith(prefixes)

    def _answer_control(self, req):
        self.control_calls.append(f"{req.method} {req.path}")
        if req.path == "/hold-take":
            if self.hold_status != 200:
                return Reply(self.hold_status, (("X-Not-Executed", "1"),))
            return _json({"Hold": "k1"})
        if req.path == "/report":
            return _json({"Stage": self.stage, "Busy": self.busy, "Sequence": 4})
        if req.path == "/order":
            self.control_calls.append(msgspec.json.decode(req.body))
            if self.orders_to_lose:
                self.orders_to_lose -= 1
                return None
            return Reply(202)
        return Reply(200)

    def prefill_reply(self):
        """Returns a reply that names the KV cache of a computed prompt."""
        handle = f"h{next(self._handle_numbers)}"
        return _json({"KvHandle": handle, "Tokens": 10, "Version": 1})

    def refusal(self, status=503, retry_after=None):
        """Returns a reply which states that the request was not run.

        Args:
            status: HTTP status.
            retry_after: Value of the ``Retry-After`` header; None for no header.
        """
        headers = (("X-Not-Executed", "1"),)
        if retry_after is not None:
            headers += (("Retry-After", retry_after),)
        return Reply(status, headers)

    def stamped_reply(self, req, status=200, body=b"", **fields):
        """Returns a reply with the attempt id and a stamp, which mark it as an answer.

        Args:
            req: The `ReceivedRequest`.
            status: HTTP status.
            body: Whole body.
            **fields: Further fields of the `Reply`.
        """
        headers = (
            ("X-Attempt-Id", req.headers.get("x-attempt-id", "")),
            ("X-Response-Stamp", f"stamp-{self.name}"),
        )
        return Reply(status, headers, body, **fields)

    def unframed_reply(self, req, *parts, **fields):
        """Returns a stamped reply with neither length nor chunks.

        Args:
            req: The `ReceivedRequest`.
            *parts: Parts of the body.
            **fields: Further fields of the `Reply`.
        """
        headers = self.stamped_reply(req).headers
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers)]
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        return Reply(raw=(head, *parts), **fields)

    def stream_reply(self, req, first=None, last=None, **fields):
        """Returns a reply that streams events.

        Args:
            req: The `ReceivedRequest`.
            first: Id of the first event; by default the one after the last event that
                the request names.
            last: Id of the last event; by default `event_count`.
            **fields: Further fields of the `Reply`.
        """
        after = int(req.headers.get("last-event-id", 0))
        start = after + 1 if first is None else first
        end = self.event_count if last is None else last
        parts = tuple(
            f"id: {number}\ndata: piece {number}\n\n".encode()
            for number in range(start, end + 1)
        )
        return self.stamped_reply(req, chunks=parts, **fields)
