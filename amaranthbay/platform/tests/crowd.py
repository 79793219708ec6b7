"""Fixtures: an entry process among many clients that nobody controls.

The process has the memory of the smallest machine. Its memory counts with what the
kernel holds for its sockets: bytes that it has not read, and bytes that its peers have
not taken.
"""

import contextlib
import itertools

import gevent
from gevent import socket

from amaranthbay.platform.tests.fixtures import (
    HOST,
    call_raw,
    configuration,
    process_fixture,
    read_answer,
    request,
    stream_request,
)
from amaranthbay.utils.testing import wait_until

__all__ = [
    "HELD_BYTES",
    "IDLE_CLIENTS",
    "LARGE_BYTES",
    "LOOKUP_PATH",
    "LOWERED_FDS",
    "MEDIUM_BYTES",
    "PIECE_BYTES",
    "READERS",
    "SMALL_BYTES",
    "SMALL_CLIENTS",
    "Crowd",
    "check_ordinary_call",
    "check_ordinary_lookup",
    "check_ready",
    "check_served_beside",
    "crowded_process",
    "is_answered",
    "limits_configuration",
]

# The smallest machine has this memory, and its settings name no other limit of
# descriptors than the default.
MEMORY_MB = 128
MAX_FDS = 1024
LOWERED_FDS = 512
LARGE_BYTES = 2**22
MEDIUM_BYTES = 2**19
SMALL_BYTES = 3000
PIECE_BYTES = 16384
MISSING_BYTES = 3
SMALL_WINDOW_BYTES = 4096
# Bodies and responses hold twice the memory of the machine together.
HELD_BYTES = 2 * MEMORY_MB * 2**20
READERS = HELD_BYTES // LARGE_BYTES
SMALL_CLIENTS = 900
IDLE_CLIENTS = 3 * LOWERED_FDS // 2
# Fill a head of the largest legal size.
COSTLY_HEADERS = 3000
SLOW_READS_PER_S, SLOW_READ_BYTES = 10, 2048
READ_BYTES = 65536
FOREVER_S = 3600.0
COME_BACK_S = 0.1
SAMPLE_INTERVAL_S = 0.05
HEAD_BYTES_PER_S = 2
# Shorter than the time for which a body may idle.
ORDINARY_TIMEOUT_S = 10.0
LOOKUP_PATH = "/resolve?Name=shop.example&Region=r&Zone=z"
DECODE_SERVERS = tuple(f"dec-{number}" for number in range(10))


def limits_configuration():
    """Returns a configuration with the limits that a well-behaved client keeps."""
    return configuration() | {
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": LARGE_BYTES,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        }
    }


class RepliesToReaders:
    """Replies of a server to the requests of slow readers; others get its default.

    It stands in for the deque of prepared replies.
    """

    def __init__(self, server):
        self._server = server

    def popleft(self):
        """Returns a function of the request that returns its `Reply`."""
        return self._reply

    def _reply(self, req):
        server = self._server
        name, _, size = req.headers.get("x-attempt-id", "").partition("-")
        if not name.startswith("reader"):
            return server.stamped_reply(req, body=b"ok")
        if req.headers.get("x-serving-stage") == "prefill":
            return server.prefill_reply()
        size = int(size)
        if "x-token-count" not in req.headers:
            return server.stamped_reply(req, body=b"x" * size)
        events = [
            b"id: %d\ndata: %s\n\n" % (number, b"x" * PIECE_BYTES)
            for number in range(1, size // PIECE_BYTES)
        ]
        return server.stamped_reply(req, chunks=tuple(events))


def open_socket(address, window_bytes=SMALL_WINDOW_BYTES):
    """Returns a connection.

    Args:
        address: Host and port to connect to.
        window_bytes: Bytes that it receives without being read; None for the default.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    if window_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
    host, port = address.split(":")
    sock.connect((host, int(port)))
    return sock


def read_all(sock):
    """Reads and drops what arrives until the connection ends."""
    with contextlib.suppress(OSError):
        while sock.recv(READ_BYTES):
            pass


class Crowd:
    """Clients that stay connected until the end of a test.

    Attributes:
        entry: `EntryProcess` that they call.
    """

    def __init__(self, entry):
        self.entry = entry
        self._jobs = []
        self._numbers = itertools.count()
        self._settled = 0

    def add(self, count, run, *args, address=None, window_bytes=SMALL_WINDOW_BYTES):
        """Starts clients; each calls ``run(self, sock, *args)`` on its own connection.

        A client whose connection is refused or closed doesn't come back, unless ``run``
        says so.

        Args:
            count: Number of clients.
            run: Function or method that plays one of them.
            *args: Further arguments of it.
            address: Host and port to connect to; those for callers if None.
            window_bytes: As for `open_socket`.
        """
        address = address or self.entry.address
        self._jobs += [
            gevent.spawn(self._run, address, window_bytes, run, args)
            for _ in range(count)
        ]

    def _run(self, address, window_bytes, run, args):
        with contextlib.suppress(OSError):
            sock = open_socket(address, window_bytes)
            with sock:
                run(self, sock, *args)
        self._settled += 1

    def stay(self, sock):
        """Keeps the connection open without sending until the peer closes it."""
        self._settled += 1
        with contextlib.suppress(OSError):
            while sock.recv(PIECE_BYTES):
                pass
        self._settled -= 1

    def send_body(self, sock, size, piece_bytes):
        """Sends a body in pieces, stops just short of its end and stays."""
        attempt = f"sender{next(self._numbers)}"
        whole = request("/book/x", "POST", b"x" * size, attempt=attempt)
        part = memoryview(whole)[:-MISSING_BYTES]
        for start in range(0, len(part), piece_bytes):
            sock.sendall(part[start : start + piece_bytes])
            gevent.sleep(0)
        self.stay(sock)

    def send_costly_head(self, sock):
        """Sends a legal head of many tiny headers and a body that stops short."""
        headers = [("a", "")] * COSTLY_HEADERS
        whole = request("/book/x", "POST", b"x" * SMALL_BYTES, headers)
        sock.sendall(whole[:-MISSING_BYTES])
        self.stay(sock)

    def send_head(self, sock):
        """Sends a head byte by byte and begins again once the connection closes."""
        self._settled += 1
        while True:
            with contextlib.suppress(OSError):
                for byte in itertools.chain(
                    b"GET /book/x HTTP/1.1\r\nA: ", b"a" * 9999
                ):
                    sock.sendall(bytes([byte]))
                    gevent.sleep(1 / HEAD_BYTES_PER_S)
            sock.close()
            gevent.sleep(1 / HEAD_BYTES_PER_S)
            with contextlib.suppress(OSError):
                sock = open_socket(self.entry.address)

    def read_slowly(self, sock, is_stream, size=LARGE_BYTES):
        """Sends a request and reads its response slowly; every other one stops."""
        number = next(self._numbers)
        stops = number % 2
        self._request_long_response(sock, is_stream, size, number)
        sock.recv(SLOW_READ_BYTES)
        self._settled += 1
        while stops or sock.recv(SLOW_READ_BYTES):
            gevent.sleep(1 / SLOW_READS_PER_S)
        self._settled -= 1

    def read_and_stop(self, sock, is_stream, size, read_bytes):
        """Reads the beginning of a response as fast as it arrives, and then no more."""
        number = next(self._numbers)
        self._request_long_response(sock, is_stream, size, number)
        while read_bytes > 0 and (data := sock.recv(READ_BYTES)):
            read_bytes -= len(data)
        self._settled += 1
        gevent.sleep(FOREVER_S)

    def _request_long_response(self, sock, is_stream, size, number):
        attempt = f"reader{number}-{size}"
        if is_stream:
            sock.sendall(stream_request("/once/x", attempt))
        else:
            sock.sendall(request("/book/x", "POST", b"b", attempt=attempt))

    def send_body_and_requests(self, sock, size, block):
        """Sends a body quickly, and then requests without reading their responses."""
        sock.sendall(request("/book/x", "POST", b"x" * size))
        read_answer(sock)
        self.send_endlessly(sock, block)

    def send_endlessly(self, sock, block):
        """Sends the same bytes again and again without reading any responses."""
        while True:
            sock.sendall(block)
            self._settled += 1
            gevent.sleep(0)
            self._settled -= 1

    def exchange_endlessly(self, sock, block):
        """Sends the same bytes again and again and reads all responses.

        Connects again whenever the connection ends.
        """
        address = "%s:%d" % sock.getpeername()
        self._settled += 1
        while True:
            with contextlib.suppress(OSError):
                self._exchange(sock, block)
            sock.close()
            gevent.sleep(COME_BACK_S)
            with contextlib.suppress(OSError):
                sock = open_socket(address, None)

    def _exchange(self, sock, block):
        reader = gevent.spawn(read_all, sock)
        try:
            while not reader.dead:
                sock.sendall(block)
                gevent.sleep(0)
        finally:
            reader.kill()

    def settle(self, timeout_s=ORDINARY_TIMEOUT_S):
        """Waits until all clients have done their worst; those that can't, in vain."""
        with contextlib.suppress(TimeoutError):
            wait_until(lambda: self._settled >= len(self._jobs), timeout_s)

    def leave(self):
        """Closes the connections of all clients."""
        gevent.killall(self._jobs)


class _Watch:
    """Largest figures of a process, sampled from outside."""

    def __init__(self, entry):
        self._entry = entry
        self.held_mb = self.queued_mb = 0.0
        self.descriptors = 0

    def run(self):
        while True:
            self.sample()
            gevent.sleep(SAMPLE_INTERVAL_S)

    def sample(self):
        """Updates the figures; does nothing once the process has ended."""
        with contextlib.suppress(OSError, ValueError):
            queued_mb = self._entry.queued_mb()
            held_mb = self._entry.memory_mb() + queued_mb
            self.descriptors = max(self.descriptors, self._entry.descriptors())
            self.queued_mb = max(self.queued_mb, queued_mb)
            self.held_mb = max(self.held_mb, held_mb)


@contextlib.contextmanager
def crowded_process(case, max_fds=MAX_FDS):
    """Yields a `Crowd`; checks at the end that the process kept its limits."""
    with process_fixture(
        decode=DECODE_SERVERS,
        config=limits_configuration(),
        memory_mb=MEMORY_MB,
        max_fds=max_fds,
    ) as (entry, _, servers):
        for server in servers.values():
            server.replies = RepliesToReaders(server)
        watch, crowd = _Watch(entry), Crowd(entry)
        watcher = gevent.spawn(watch.run)
        try:
            yield crowd
            watch.sample()
            case.assertIsNone(entry.process.poll())
            case.assertEqual(entry.events("defect"), [])
            case.assertLess(entry.peak_memory_mb(), MEMORY_MB)
            case.assertLess(watch.held_mb, MEMORY_MB)
            case.assertLess(watch.descriptors, max_fds)
        finally:
            print(
                f"peaks: {entry.peak_memory_mb():.0f} MiB resident, "
                f"{watch.queued_mb:.0f} queued, {watch.held_mb:.0f} in all, "
                f"{watch.descriptors} descriptors"
            )
            watcher.kill()
            crowd.leave()


def is_answered(address, path="/book/x", host=HOST):
    """Returns whether an ordinary request is answered with 200."""
    with contextlib.suppress(OSError):
        return call_raw(address, request(path, host=host)).status == 200
    return False


def check_ordinary_call(crowd):
    """Checks that an ordinary caller, who retries refused requests, is answered."""
    crowd.settle()
    wait_until(lambda: is_answered(crowd.entry.address), ORDINARY_TIMEOUT_S)


def check_ordinary_lookup(crowd):
    """Checks that an ordinary caller who looks for an address gets some."""
    address = crowd.entry.lookup_address
    wait_until(lambda: is_answered(address, LOOKUP_PATH), ORDINARY_TIMEOUT_S)


def check_ready(crowd):
    """Checks that the question for readiness is answered."""
    address = crowd.entry.ready_address
    wait_until(lambda: is_answered(address, "/ready", "daemon"), ORDINARY_TIMEOUT_S)


def check_served_beside(case, count, run, *args, max_fds=MAX_FDS, **options):
    """Checks a process with some clients of one kind; see `Crowd.add`."""
    with crowded_process(case, max_fds) as crowd:
        crowd.add(count, run, *args, **options)
        check_ordinary_call(crowd)
