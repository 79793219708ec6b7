"""Stand-ins of the users' platform for tests: its store and its servers."""

import base64
import contextlib
import itertools
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

__all__ = ["Reply", "StoreStandin", "WorkerStandin", "serve_http"]

READ_BYTES = 65536


@dataclass(frozen=True)
class Received:
    """A request as a stand-in has read it."""

    method: str
    target: str
    headers: dict
    body: bytes

    @property
    def path(self):
        return urlsplit(self.target).path

    @property
    def query(self):
        pairs = parse_qs(urlsplit(self.target).query, keep_blank_values=True)
        return {name: values[-1] for name, values in pairs.items()}


@dataclass(frozen=True)
class Reply:
    """What a stand-in answers.

    Attributes:
        status: HTTP status.
        headers: Pairs of name and value.
        body: Whole body, sent with its length.
        chunks: Parts that are sent one by one instead, in chunks.
        pause_s: Time before each part.
        pauses: Times before the parts, where they differ.
        cut: Whether the connection is closed before the end.
        raw: Bytes that are sent in place of everything else; the connection ends.
        extra: Bytes that follow a whole answer.
    """

    status: int = 200
    headers: tuple = ()
    body: bytes = b""
    chunks: tuple | None = None
    pause_s: float = 0.0
    pauses: tuple = ()
    cut: bool = False
    raw: bytes | None = None
    extra: bytes = b""


class _Connection:
    def __init__(self, sock, answer):
        self._sock = sock
        self._answer = answer
        self._http = h11.Connection(h11.SERVER)

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
            # The other side has left.
            return
        finally:
            self._sock.close()

    def _next(self):
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._http.receive_data(self._sock.recv(READ_BYTES))

    def _read(self):
        head = self._next()
        if type(head) is not h11.Request:
            return None
        body = b""
        event = self._next()
        while type(event) is h11.Data:
            body += bytes(event.data)
            event = self._next()
        headers = {n.decode(): v.decode() for n, v in head.headers}
        return Received(head.method.decode(), head.target.decode(), headers, body)

    def _write(self, reply):
        """Returns whether the connection goes on."""
        if reply is None:
            return False
        if reply.raw is not None:
            self._sock.sendall(reply.raw)
            return False
        headers = list(reply.headers)
        if reply.chunks is None:
            headers.append(("Content-Length", str(len(reply.body))))
        head = h11.Response(status_code=reply.status, headers=headers)
        self._sock.sendall(self._http.send(head))
        parts = reply.chunks if reply.chunks is not None else (reply.body,)
        pauses = reply.pauses or (reply.pause_s,) * len(parts)
        for part, pause_s in zip(parts, pauses):
            gevent.sleep(pause_s)
            if part:
                self._sock.sendall(self._http.send(h11.Data(data=part)))
        if reply.cut:
            return False
        self._sock.sendall(self._http.send(h11.EndOfMessage()) + reply.extra)
        return self._http.our_state is h11.DONE


@contextlib.contextmanager
def serve_http(answer):
    """Serves HTTP on loopback; yields the address.

    Args:
        answer: Function of a `Received` that returns a `Reply`, or None to close
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
    """What a store held at one moment."""

    rows: dict
    version: int
    history: tuple


@dataclass
class StoreStandin:
    """The platform's store, in memory.

    Attributes:
        down: Status of every answer; 0 while the store serves.
        silent: Whether polls get no answer.
        forgotten: Version up to which the history is gone.
        behind: Whether snapshots show the state at `forgotten`.
        lose_answers: Number of writes to come whose answers are lost.
        late_s: Time after which a write with a lost answer is carried out.
        era: Number of restores that all answers name; None if they name none.
    """

    rows: dict = field(default_factory=dict)
    version: int = 0
    down: int = 0
    silent: bool = False
    forgotten: int = 0
    behind: bool = False
    lose_answers: int = 0
    late_s: float = 0.0
    era: int | None = None
    calls: list = field(default_factory=list)
    _history: deque = field(default_factory=deque)
    _changed: gevent.event.Event = field(default_factory=gevent.event.Event)

    def put(self, table, key, value):
        """Writes a row as the operator or a server would."""
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self.version += 1
        row = {"Table": table, "Key": key, "Ver": self.version}
        row["Value"] = base64.b64encode(raw).decode()
        self.rows[table, key] = row
        self._note(row)

    def remove(self, table, key):
        """Drops a row."""
        self.version += 1
        del self.rows[table, key]
        self._note({"Table": table, "Key": key, "Ver": self.version, "Removed": True})

    def _note(self, row):
        self._history.append(row)
        self._changed.set()
        self._changed = gevent.event.Event()

    def value(self, table, key):
        """Returns the decoded value of a row."""
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
        if self.down:
            return Reply(self.down)
        handler = {
            "/rows-get": self._get,
            "/rows-feed": self._feed,
            "/rows-tx": self._transact,
        }[req.path]
        return handler(req)

    def copy(self):
        """Returns a copy to restore the store from."""
        return StoreCopy(dict(self.rows), self.version, tuple(self._history))

    def restore(self, copy):
        """Goes back to a copy; what was written since is lost.

        Polls that wait get no answer, as those of a store that has been replaced.
        """
        self.rows, self.version = dict(copy.rows), copy.version
        self._history = deque(copy.history)
        self.era = (self.era or 0) + 1
        self._changed = gevent.event.Event()

    def _get(self, req):
        table, start = req.query["Table"], req.query.get("From", "")
        limit = int(req.query.get("Limit", 500))
        found = [
            row
            for (name, key), row in sorted(self.rows.items())
            if name == table and key >= start
        ]
        version = self.forgotten if self.behind else self.version
        return _json(
            {
                "Rows": found[:limit],
                "HasMore": len(found) > limit,
                "Ver": version,
                "NowMs": 1,
            }
        )

    def _feed(self, req):
        after, table = int(req.query["after"]), req.query["Table"]
        if after < self.forgotten or after > self.version:
            return Reply(410)
        end = time.monotonic() + int(req.query["WaitMs"]) / 1000
        while True:
            changed = self._changed
            found = [
                row
                for row in self._history
                if row["Table"] == table and row["Ver"] > after
            ]
            left = end - time.monotonic()
            if found or left <= 0:
                return _json({"Rows": found, "Ver": self.version, "NowMs": 1})
            changed.wait(left)
            if self.silent:
                gevent.sleep(60)

    def _transact(self, req):
        call = msgspec.json.decode(req.body)
        if self.lose_answers:
            self.lose_answers -= 1
            gevent.spawn_later(self.late_s, self._carry_out, call)
            gevent.sleep(0)
            return None
        if not self._carry_out(call):
            return Reply(412, body=b'{"Ver":0,"NowMs":1}')
        return _json({"Ver": self.version, "NowMs": 1})

    def _carry_out(self, call):
        """Returns whether the call's condition held."""
        for each in call["Expected"]:
            known = self.rows.get((each["Table"], each["Key"]), {"Ver": 0})
            if known["Ver"] != each["Ver"]:
                return False
        for each in call["Put"]:
            self.put(each["Table"], each["Key"], base64.b64decode(each["Value"]))
        return True


def _json(value):
    headers = (("Content-Type", "application/json"),)
    return Reply(200, headers, msgspec.json.encode(value))


@dataclass
class WorkerStandin:
    """A backend server: plain, prefill or decode, as its entry says.

    Attributes:
        name: Its identity; other expected identities are refused.
        replies: Replies to give before the usual ones; a function is called.
        received: Requests that it ran or refused, control calls left out.
        control: Control calls.
        lost_orders: Orders to come that are accepted without an answer.
        leaving: Whether all answers say that it leaves.
        busy: Whether it reports that it carries out an order.
    """

    name: str
    events: int = 3
    replies: deque = field(default_factory=deque)
    received: list = field(default_factory=list)
    control: list = field(default_factory=list)
    hold_status: int = 200
    lost_orders: int = 0
    stage: str | None = None
    leaving: bool = False
    busy: bool = False
    _numbers: object = field(default_factory=itertools.count)

    def answer(self, req):
        """Returns the `Reply` to a call."""
        reply = self._reply(req)
        if reply is None or not self.leaving:
            return reply
        return replace(reply, headers=(*reply.headers, ("Server-Leaving", "1")))

    def _reply(self, req):
        if req.headers.get("x-expect-instance", self.name) != self.name:
            return Reply(421, (("X-Instance-Id", self.name),))
        if self._is_control(req):
            return self._control(req)
        self.received.append(req)
        if self.replies:
            reply = self.replies.popleft()
            return reply(req) if callable(reply) else reply
        if req.headers.get("x-serving-stage") == "prefill":
            body = {"KvHandle": f"h{next(self._numbers)}", "Tokens": 10, "Version": 1}
            return _json(body)
        if "x-token-count" in req.headers:
            return self.stream(req)
        return self.reply(req, body=b"body of " + self.name.encode())

    def _is_control(self, req):
        names = ("/hold-take", "/hold-drop/", "/kv-handle/", "/report", "/order")
        return req.path.startswith(names)

    def _control(self, req):
        self.control.append(f"{req.method} {req.path}")
        if req.path == "/hold-take":
            if self.hold_status != 200:
                return Reply(self.hold_status, (("X-Not-Executed", "1"),))
            return _json({"Hold": "k1"})
        if req.path == "/report":
            return _json({"Stage": self.stage, "Busy": self.busy, "Sequence": 4})
        if req.path == "/order":
            self.control.append(msgspec.json.decode(req.body))
            if self.lost_orders:
                self.lost_orders -= 1
                return None
            return Reply(202)
        return Reply(200)

    def refuse(self, status=503, retry_after=None):
        """Returns a reply that states that nothing ran.

        Args:
            status: HTTP status.
            retry_after: Text of the header that asks for a pause; None for none.
        """
        headers = (("X-Not-Executed", "1"),)
        if retry_after is not None:
            headers += (("Retry-After", retry_after),)
        return Reply(status, headers)

    def reply(self, req, status=200, body=b"", **fields):
        """Returns a signed reply to a request."""
        headers = (
            ("X-Attempt-Id", req.headers.get("x-attempt-id", "")),
            ("X-Response-Stamp", f"stamp-{self.name}"),
        )
        return Reply(status, headers, body, **fields)

    def stream(self, req, first=None, last=None, **fields):
        """Returns a stream of events from one id to another."""
        after = int(req.headers.get("last-event-id", 0))
        start = after + 1 if first is None else first
        end = self.events if last is None else last
        parts = tuple(
            f"id: {number}\ndata: piece {number}\n\n".encode()
            for number in range(start, end + 1)
        )
        return self.reply(req, chunks=parts, **fields)
