"""Callers of the soak test: they send requests and record the answers."""

import itertools
import time
from dataclasses import dataclass

import gevent
import msgspec
from gevent import socket

from amaranthbay.platform.tests.fixtures import (
    HOST,
    call_raw,
    read_answer,
    request,
)
from amaranthbay.platform.tests.soak.deployment import ZONES
from amaranthbay.platform.tests.soak.keys import LIMITED_KEY, OWN_WORKSPACE
from amaranthbay.platform.tests.soak.parts import (
    CRASHING_PART,
    FIRST_PARTS,
    PREFIX_HEADER,
    draw_parts,
    encode_parts,
)
from amaranthbay.platform.tests.soak.streams import PROMPT

__all__ = ["KINDS", "Caller", "Exchange", "PartCaller", "look_up", "send"]

TIMEOUT_S = 4.0
# Deadline that each request names; also the timeout of the routes.
DEADLINE_MS = 2000
MIN_PAUSE_S, MAX_PAUSE_S = 0.01, 0.15
# Share of the requests whose callers leave before the answer.
ABANDON_SHARE = 0.05
# Probability that a caller reconnects before a request, once its connection has carried
# `REQUESTS_BEFORE_RECONNECT`; also that it connects to a random process instead of one
# that a lookup names.
RECONNECT_SHARE = 0.3
REQUESTS_BEFORE_RECONNECT = 8
# Share of a `PartCaller`'s requests that have the crashing part while the fault is on.
CRASHING_SHARE = 0.35


@dataclass(frozen=True)
class RequestKind:
    """A kind of request.

    Attributes:
        prefix: Path prefix of its route.
        repeatable: Whether it may run more than once.
        stream: Whether the answer is a stream of events.
        max_attempts: Maximum number of servers to which it may be sent.
    """

    prefix: str
    repeatable: bool
    stream: bool
    max_attempts: int


KINDS = {
    "look": RequestKind("/look/", True, False, 2),
    "move": RequestKind("/move/", True, False, 2),
    "book": RequestKind("/book/", False, False, 1),
    "pay": RequestKind("/pay/", False, False, 2),
    "once": RequestKind("/once/", False, True, 2),
    "sum": RequestKind("/sum/", False, True, 1),
    "resume": RequestKind("/resume/", True, True, 2),
}


@dataclass(frozen=True)
class Exchange:
    """A request and the answer to it.

    Attributes:
        attempt: Attempt id.
        kind: Name of its `RequestKind`.
        process: Name of the entry process to which it was sent.
        target: Path and query.
        sent_at: Monotonic time at which it was sent.
        ended_at: Monotonic time of the last byte, or at which the caller gave up.
        status: HTTP status; None without an answer.
        headers: Headers of the answer by lower-case name; None without an answer.
        body: Bytes of the body that arrived.
        complete: Whether the end of the body arrived.
        trailing: Bytes that arrived after a complete answer.
        abandoned: Whether the caller left on purpose before the answer.
        parts: Ids of the parts of its prompt; empty if it has none.
        resumes: Attempt id of the request with which the stream began that this one
            takes up; empty for any other request.
        last_event: Id of the last event that the caller holds; 0 if it has none.
        key: Key of the request; empty for none, None if the run has no keys.
    """

    attempt: str
    kind: str
    process: str
    target: str
    sent_at: float
    ended_at: float
    status: int | None = None
    headers: dict = None
    body: bytes = b""
    complete: bool = False
    trailing: bytes = b""
    abandoned: bool = False
    parts: tuple = ()
    resumes: str = ""
    last_event: int = 0
    key: str | None = None

    @property
    def stream(self):
        """Attempt id of the request with which the stream began."""
        return self.resumes or self.attempt

    @property
    def duration_s(self):
        return self.ended_at - self.sent_at

    @property
    def crashing(self):
        """Whether the request crashes decode servers."""
        return CRASHING_PART in self.parts


class Caller:
    """A caller that sends random requests over one connection at a time.

    Attributes:
        kinds: Names of the kinds of its requests.
        stopping: Whether `run` returns after the current request.
    """

    kinds = tuple(sorted(KINDS))
    _numbers = itertools.count(1)

    def __init__(self, deployment, rng, exchanges):
        self._deployment = deployment
        self._rng = rng
        self._exchanges = exchanges
        self._sock = None
        self._process = None
        self._requests_sent = 0
        self.stopping = False

    def run(self):
        """Sends requests until `stopping` is set."""
        while not self.stopping:
            kind = self._rng.choice(self.kinds)
            try:
                self._exchange(kind)
            except OSError:
                # The connection failed; the next request may choose another process.
                self._disconnect()
            gevent.sleep(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))

    def _exchange(self, kind):
        self._connect()
        attempt = self._next_attempt()
        abandon = self._rng.random() < ABANDON_SHARE
        parts = self._draw_parts(attempt) if KINDS[kind].stream else ()
        key = self._draw_key(attempt)
        exchange = send(
            self._sock, self._process, kind, attempt, abandon, parts, key=key
        )
        self._record(exchange)

    def _next_attempt(self):
        return f"a{next(self._numbers):07d}"

    def _record(self, exchange):
        self._exchanges.append(exchange)
        self._requests_sent += 1
        closes = (exchange.headers or {}).get("connection") == "close"
        if closes or not exchange.complete or exchange.trailing:
            self._disconnect()

    def _draw_parts(self, attempt):
        return draw_parts(attempt)

    def _draw_key(self, attempt):
        return self._deployment.keys.any(attempt)

    def _connect(self):
        if (
            self._requests_sent >= REQUESTS_BEFORE_RECONNECT
            and self._rng.random() < RECONNECT_SHARE
        ):
            self._disconnect()
        if self._sock is not None:
            return
        self._process = self._choose_process()
        address = self._deployment.processes[self._process].caller_link.address
        host, port = address.split(":")
        self._sock = socket.create_connection((host, int(port)), 1.0)
        self._sock.settimeout(TIMEOUT_S)

    def _choose_process(self):
        """Returns the name of a process from a lookup, or of a random one."""
        names = sorted(self._deployment.processes)
        process = self._deployment.processes[self._rng.choice(names)]
        if self._rng.random() < RECONNECT_SHARE:
            return process.name
        addresses = look_up(process.lookup_address, self._rng.choice(sorted(ZONES)))
        if not addresses:
            return self._rng.choice(names)
        by_address = {
            process.caller_link.target: process.name
            for process in self._deployment.processes.values()
        }
        return by_address[self._rng.choice(sorted(addresses))]

    def _disconnect(self):
        if self._sock is not None:
            self._sock.close()
        self._sock, self._requests_sent = None, 0


class PartCaller(Caller):
    """A caller of streams with one first part, some of them with the crashing part."""

    kinds = tuple(sorted(name for name, kind in KINDS.items() if kind.stream))

    def _draw_parts(self, attempt):
        is_on = self._deployment.sends_crashing_part
        crashing = is_on and self._rng.random() < CRASHING_SHARE
        return draw_parts(attempt, FIRST_PARTS[0], crashing)

    def _draw_key(self, attempt):
        return self._deployment.keys.lasting(attempt)


class LimitedCaller(Caller):
    """A caller of short calls whose workspace has a quota."""

    kinds = ("look",)

    def _draw_key(self, attempt):
        return LIMITED_KEY


def look_up(address, zone):
    """Returns the addresses that a process names to callers; none if it is down.

    Args:
        address: Lookup address of the process.
        zone: Availability zone of the caller.
    """
    path = f"/resolve?Name={HOST}&Region={ZONES[zone]}&Zone={zone}"
    try:
        answer = call_raw(address, request(path, host="daemon"))
        return msgspec.json.decode(answer.body)["Addresses"]
    except (OSError, msgspec.DecodeError, KeyError):
        # The process is down, or knows no live instance.
        return []


def send(
    sock,
    process,
    kind,
    attempt,
    abandon=False,
    parts=(),
    resumes="",
    last_event=0,
    events=None,
    deadline_ms=DEADLINE_MS,
    key=None,
):
    """Sends one request on a connection and returns the `Exchange`.

    Args:
        sock: Connection to the process.
        process: Name of the process.
        kind: Name of a `RequestKind`.
        attempt: Attempt id of the request.
        abandon: Whether to return shortly after sending, without reading an answer.
        parts: Ids of the parts of the prompt; by default those that the id decides.
        resumes: Attempt id of the request with which the stream began that this one
            takes up; empty for none.
        last_event: Id of the last event of that stream that the caller holds.
        events: Number of events of the whole stream; by default that of the servers.
        deadline_ms: Deadline that the request names.
        key: Key of a workspace; empty for none, None if the run has no keys.
    """
    stream = resumes or attempt
    query = "n=1" if events is None else f"events={events}"
    target = f"{KINDS[kind].prefix}{stream}?{query}"
    headers = [("X-Deadline-Ms", str(deadline_ms))]
    method, body = "GET", b""
    if KINDS[kind].stream:
        method, body = "POST", PROMPT + stream.encode()
        parts = parts or draw_parts(stream)
        headers += [
            ("X-Token-Count", "100,40"),
            (PREFIX_HEADER, encode_parts(parts)),
        ]
    if resumes:
        headers += [("Last-Event-Id", str(last_event)), ("Resumes", resumes)]
    if key is not None:
        headers.append(("X-Tenant-Id", OWN_WORKSPACE))
    if key:
        headers.append(("X-Credential", key))
    raw_request = request(target, method, body, headers, HOST, attempt)
    sent_at = time.monotonic()
    identity = (attempt, kind, process, target, sent_at)
    details = {"parts": parts, "resumes": resumes, "last_event": last_event}
    details["key"] = key
    try:
        sock.sendall(raw_request)
        if abandon:
            gevent.sleep(0.02)
            return Exchange(*identity, time.monotonic(), abandoned=True, **details)
        answer = read_answer(sock)
        return Exchange(*identity, time.monotonic(), **details, **vars(answer))
    except OSError:
        # The connection ended without an answer.
        return Exchange(*identity, time.monotonic(), **details)
