"""Callers of the soak: they keep connections open, retry and note what they get."""

import itertools
import time
from dataclasses import dataclass

import gevent
import msgspec
from gevent import socket

from amaranthbay.platform.tests.fleet import (
    HOST,
    call_raw,
    read_answer,
    request,
)
from amaranthbay.platform.tests.soak.world import ZONES

__all__ = ["KINDS", "Caller", "Exchange", "look_up", "send"]

TIMEOUT_S = 4.0
# Time that the requests state, and the routes allow.
DEADLINE_MS = 2000
SHORTEST_PAUSE_S, LONGEST_PAUSE_S = 0.01, 0.15
LEAVING_SHARE = 0.05
LOOKUP_SHARE = 0.3
REQUESTS_BEFORE_LOOKUP = 8


@dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        prefix: Prefix of its route.
        repeatable: Whether it may run more than once.
        stream: Whether it is answered by events.
        attempts: Most servers that may get it.
    """

    prefix: str
    repeatable: bool
    stream: bool
    attempts: int


KINDS = {
    "look": Kind("/look/", True, False, 2),
    "move": Kind("/move/", True, False, 2),
    "book": Kind("/book/", False, False, 1),
    "pay": Kind("/pay/", False, False, 2),
    "once": Kind("/once/", False, True, 2),
    "sum": Kind("/sum/", False, True, 1),
    "resume": Kind("/resume/", True, True, 2),
}


@dataclass(frozen=True)
class Exchange:
    """A request and what its caller got.

    Attributes:
        attempt: Its identity.
        kind: Name of its `Kind`.
        process: Name of the process that it was sent to.
        target: Path.
        sent_at: Monotonic time at which it was sent.
        ended_at: Monotonic time of the last byte, or of the end of the wait.
        status: HTTP status; None without an answer.
        headers: Headers of the answer.
        body: Body as far as it came.
        complete: Whether the body's end was marked.
        trailing: Bytes that followed the answer.
        left: Whether the caller left before the answer.
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
    left: bool = False

    @property
    def seconds(self):
        return self.ended_at - self.sent_at


class Caller:
    """A caller with one connection at a time."""

    _numbers = itertools.count(1)

    def __init__(self, world, rng, exchanges):
        self._world = world
        self._rng = rng
        self._exchanges = exchanges
        self._sock = None
        self._process = None
        self._served = 0
        self.stopping = False

    def run(self):
        """Sends requests until it is told to stop."""
        while not self.stopping:
            kind = self._rng.choice(sorted(KINDS))
            try:
                self._exchange(kind)
            except OSError:
                # No connection: another process is asked next.
                self._drop()
            gevent.sleep(self._rng.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S))

    def _exchange(self, kind):
        self._connect()
        attempt = f"a{next(self._numbers):07d}"
        left = self._rng.random() < LEAVING_SHARE
        found = send(self._sock, self._process, kind, attempt, left)
        self._exchanges.append(found)
        self._served += 1
        closes = (found.headers or {}).get("connection") == "close"
        if closes or not found.complete or found.trailing:
            self._drop()

    def _connect(self):
        if self._served >= REQUESTS_BEFORE_LOOKUP and self._rng.random() < LOOKUP_SHARE:
            self._drop()
        if self._sock is not None:
            return
        self._process = self._choose()
        address = self._world.processes[self._process].callers.address
        host, port = address.split(":")
        self._sock = socket.create_connection((host, int(port)), 1.0)
        self._sock.settimeout(TIMEOUT_S)

    def _choose(self):
        """Returns a process that a lookup names, or any."""
        names = sorted(self._world.processes)
        asked = self._world.processes[self._rng.choice(names)]
        if self._rng.random() < LOOKUP_SHARE:
            return asked.name
        found = look_up(asked.lookup_address, self._rng.choice(sorted(ZONES)))
        if not found:
            return self._rng.choice(names)
        by_address = {
            each.callers.target: each.name for each in self._world.processes.values()
        }
        return by_address[self._rng.choice(sorted(found))]

    def _drop(self):
        if self._sock is not None:
            self._sock.close()
        self._sock, self._served = None, 0


def look_up(address, zone):
    """Returns the addresses that a process names to callers; none if it is down.

    Args:
        address: Where the process answers lookups.
        zone: Availability zone of the caller.
    """
    path = f"/resolve?Name={HOST}&Region={ZONES[zone]}&Zone={zone}"
    try:
        answer = call_raw(address, request(path, host="daemon"))
        return msgspec.json.decode(answer.body)["Addresses"]
    except (OSError, msgspec.DecodeError, KeyError):
        # The process is down, or knows of no instance.
        return []


def send(sock, process, kind, attempt, left=False):
    """Sends one request on a connection and returns the `Exchange`.

    Args:
        sock: Connection.
        process: Name of the process behind it.
        kind: Name of a `Kind`.
        attempt: Identity of the request.
        left: Whether to leave before the answer.
    """
    target = f"{KINDS[kind].prefix}{attempt}?n=1"
    headers = [("X-Deadline-Ms", str(DEADLINE_MS))]
    method, body = "GET", b""
    if KINDS[kind].stream:
        method, body = "POST", b"prompt of " + attempt.encode()
        headers += [("X-Token-Count", "100,40"), ("X-Prompt-Prefix", "1f:100")]
    frame = request(target, method, body, headers, HOST, attempt)
    sent_at = time.monotonic()
    made = (attempt, kind, process, target, sent_at)
    try:
        sock.sendall(frame)
        if left:
            gevent.sleep(0.02)
            return Exchange(*made, time.monotonic(), left=True)
        found = read_answer(sock)
        return Exchange(*made, time.monotonic(), **vars(found))
    except OSError:
        # The connection ended without an answer.
        return Exchange(*made, time.monotonic())
