"""Callers that nobody controls: idle senders, slow senders and slow readers.

The program runs as its own process with the memory of the smallest machine. The clients
send twice that memory, or open more connections than the process has descriptors, and
stay. The tests check that the process lives within its limits and answers an ordinary
request while the clients are still there; they check neither times nor shares.
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
    request,
    stream_request,
)
from amaranthbay.utils.testing import collect, wait_until

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
# Bodies and responses hold twice the memory of the machine together.
HELD_BYTES = 2 * MEMORY_MB * 2**20
READERS = HELD_BYTES // LARGE_BYTES
SMALL_CLIENTS = 900
IDLE_CLIENTS = 3 * LOWERED_FDS // 2
# Fill a head of the largest legal size.
COSTLY_HEADERS = 3000
SLOW_READS_PER_S, SLOW_READ_BYTES = 10, 2048
HEAD_BYTES_PER_S = 2
# Shorter than the time for which a body may idle.
ORDINARY_TIMEOUT_S = 10.0
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
        if not req.headers.get("x-attempt-id", "").startswith("reader"):
            return server.stamped_reply(req, body=b"ok")
        if req.headers.get("x-serving-stage") == "prefill":
            return server.prefill_reply()
        if "x-token-count" not in req.headers:
            return server.stamped_reply(req, body=b"x" * LARGE_BYTES)
        events = [
            b"id: %d\ndata: %s\n\n" % (number, b"x" * PIECE_BYTES)
            for number in range(1, LARGE_BYTES // PIECE_BYTES)
        ]
        return server.stamped_reply(req, chunks=tuple(events))


def open_socket(address):
    """Returns a connection that receives little without being read."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    host, port = address.split(":")
    sock.connect((host, int(port)))
    return sock


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

    def add(self, count, run, *args):
        """Starts clients; each calls ``run(self, sock, *args)`` on its own connection.

        A client whose connection is refused or closed doesn't come back, unless ``run``
        says so.
        """
        self._jobs += [gevent.spawn(self._run, run, args) for _ in range(count)]

    def _run(self, run, args):
        with contextlib.suppress(OSError):
            sock = open_socket(self.entry.address)
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

    def read_slowly(self, sock, is_stream):
        """Sends a request and reads its response slowly; every other one stops."""
        number = next(self._numbers)
        attempt, stops = f"reader{number}", number % 2
        if is_stream:
            sock.sendall(stream_request("/once/x", attempt))
        else:
            sock.sendall(request("/book/x", "POST", b"b", attempt=attempt))
        sock.recv(SLOW_READ_BYTES)
        self._settled += 1
        while stops or sock.recv(SLOW_READ_BYTES):
            gevent.sleep(1 / SLOW_READS_PER_S)
        self._settled -= 1

    def settle(self, timeout_s=ORDINARY_TIMEOUT_S):
        """Waits until all clients have done their worst; those that can't, in vain."""
        with contextlib.suppress(TimeoutError):
            wait_until(lambda: self._settled >= len(self._jobs), timeout_s)

    def leave(self):
        """Closes the connections of all clients."""
        gevent.killall(self._jobs)


@contextlib.contextmanager
def crowded_process(case, max_fds=MAX_FDS):
    """Yields a `Crowd`; checks at the end that the process kept its limits."""
    peak_fds = [0]

    def watch():
        while True:
            peak_fds.append(max(peak_fds.pop(), entry.descriptors()))
            gevent.sleep(0.05)

    with process_fixture(
        decode=DECODE_SERVERS,
        config=limits_configuration(),
        memory_mb=MEMORY_MB,
        max_fds=max_fds,
    ) as (entry, _, servers):
        for server in servers.values():
            server.replies = RepliesToReaders(server)
        watcher, crowd = gevent.spawn(watch), Crowd(entry)
        try:
            yield crowd
            case.assertIsNone(entry.process.poll())
            case.assertEqual(entry.events("defect"), [])
            case.assertLess(entry.peak_memory_mb(), MEMORY_MB)
            case.assertLess(peak_fds[0], max_fds)
        finally:
            print(f"peak {entry.peak_memory_mb():.0f} MiB, {peak_fds[0]} descriptors")
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


def check_served_beside(case, count, run, *args, max_fds=MAX_FDS):
    """Checks a process with some clients of one kind; see `Crowd.add`."""
    with crowded_process(case, max_fds) as crowd:
        crowd.add(count, run, *args)
        check_ordinary_call(crowd)


def test_whole_bodies_that_stop_short(case):
    """Guards against bodies of legal size that use up the memory together."""
    count = HELD_BYTES // MEDIUM_BYTES
    check_served_beside(case, count, Crowd.send_body, MEDIUM_BYTES, MEDIUM_BYTES * 2)


def test_largest_bodies_that_stop_short(case):
    """Guards against bodies of the largest legal size that use up the memory."""
    count = HELD_BYTES // LARGE_BYTES
    check_served_beside(case, count, Crowd.send_body, LARGE_BYTES, LARGE_BYTES * 2)


def test_bodies_in_pieces_that_stop_short(case):
    """Guards against buffers that grow with each piece of a body beyond the account of
    the memory."""
    count = HELD_BYTES // MEDIUM_BYTES
    check_served_beside(case, count, Crowd.send_body, MEDIUM_BYTES, PIECE_BYTES)


def test_small_bodies_that_stop_short(case):
    """Guards against idle senders that hold all places for connections."""
    check_served_beside(case, SMALL_CLIENTS, Crowd.send_body, SMALL_BYTES, PIECE_BYTES)


def test_costly_heads_whose_bodies_stop_short(case):
    """Guards against heads that are small on the wire and take many times their bytes
    as parsed headers."""
    check_served_beside(case, SMALL_CLIENTS, Crowd.send_costly_head)


def test_heads_byte_by_byte(case):
    """Guards against slow heads that hold all places, again as soon as they are
    closed."""
    check_served_beside(case, SMALL_CLIENTS, Crowd.send_head)


def test_more_connections_than_descriptors(case):
    """Guards against connections without a request that use up the descriptors or hold
    all places."""
    check_served_beside(case, IDLE_CLIENTS, Crowd.stay, max_fds=LOWERED_FDS)


def test_more_lookup_connections_than_descriptors(case):
    """Guards against connections for lookups and readiness that use up the descriptors
    of the process."""
    with crowded_process(case, LOWERED_FDS) as crowd:
        socks = []
        for address in (crowd.entry.lookup_address, crowd.entry.ready_address):
            for _ in range(IDLE_CLIENTS // 2):
                with contextlib.suppress(OSError):
                    socks.append(open_socket(address))
        check_ordinary_call(crowd)
        address = crowd.entry.ready_address
        wait_until(lambda: is_answered(address, "/ready", "daemon"), ORDINARY_TIMEOUT_S)
        for sock in socks:
            sock.close()


def test_slow_readers_of_plain_responses(case):
    """Guards against long responses that use up the memory while they are read."""
    check_served_beside(case, READERS, Crowd.read_slowly, False)


def test_slow_readers_of_streams(case):
    """Guards against streams that pile up in memory while they are read."""
    check_served_beside(case, READERS, Crowd.read_slowly, True)


def add_all(crowd):
    """Starts clients of each kind, with a share of the numbers of the other tests."""
    for size, piece_bytes in ((MEDIUM_BYTES, PIECE_BYTES), (LARGE_BYTES, LARGE_BYTES)):
        crowd.add(HELD_BYTES // size // 2, Crowd.send_body, size, piece_bytes)
    crowd.add(SMALL_CLIENTS // 6, Crowd.send_body, SMALL_BYTES, PIECE_BYTES)
    crowd.add(SMALL_CLIENTS // 6, Crowd.send_head)
    crowd.add(READERS, Crowd.read_slowly, False)
    crowd.add(READERS, Crowd.read_slowly, True)


def test_all_clients_together(case):
    """Guards against a shortage that only several kinds of clients cause together."""
    with crowded_process(case) as crowd:
        add_all(crowd)
        check_ordinary_call(crowd)


def test_large_request_in_quiet_after_all_clients(case):
    """Guards against memory or places that stay taken once the clients are gone, and
    against limits that refuse the largest legal request."""
    with crowded_process(case) as crowd:
        add_all(crowd)
        crowd.settle()
        crowd.leave()
        wait_until(lambda: crowd.entry.descriptors() < 64)
        body = b"x" * LARGE_BYTES
        answer = call_raw(crowd.entry.address, request("/book/x", "POST", body))
        case.assertEqual((answer.status, answer.body), (200, b"ok"))


load_tests = collect(globals())
