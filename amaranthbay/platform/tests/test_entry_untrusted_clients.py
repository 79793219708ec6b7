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
        """Starts clients; each calls ``run(sock, *args)`` on its own connection.

        A client whose connection is refused or closed doesn't come back, unless ``run``
        says so.
        """
        self._jobs += [gevent.spawn(self._run, run, args) for _ in range(count)]

    def _run(self, run, args):
        with contextlib.suppress(OSError):
            sock = self._connect(self.entry.address)
            with sock:
                run(sock, *args)
        self._settle()

    def _connect(self, address, receive_bytes=4096):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        host, port = address.split(":")
        sock.connect((host, int(port)))
        return sock

    def _settle(self):
        self._settled += 1

    def _stay(self, sock):
        """Keeps the connection open without sending until the peer closes it."""
        self._settle()
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
        self._stay(sock)

    def send_costly_head(self, sock):
        """Sends a legal head of many tiny headers and a body that stops short."""
        headers = [("a", "")] * COSTLY_HEADERS
        whole = request("/book/x", "POST", b"x" * SMALL_BYTES, headers)
        sock.sendall(whole[:-MISSING_BYTES])
        self._stay(sock)

    def send_head(self, sock):
        """Sends a head byte by byte and begins again once the connection closes."""
        self._settle()
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
                sock = self._connect(self.entry.address)

    def send_nothing(self, sock):
        """Stays connected without a request."""
        self._stay(sock)

    def read_slowly(self, sock, is_stream, stops):
        """Sends a request and reads its response slowly, or only its first bytes."""
        attempt = f"reader{next(self._numbers)}"
        if is_stream:
            sock.sendall(stream_request("/once/x", attempt))
        else:
            sock.sendall(request("/book/x", "POST", b"b", attempt=attempt))
        sock.recv(SLOW_READ_BYTES)
        self._settle()
        while stops or sock.recv(SLOW_READ_BYTES):
            gevent.sleep(1 / SLOW_READS_PER_S)
        self._settled -= 1

    def add_readers(self, is_stream):
        """Starts slow and stopped readers of responses of 4 MiB, in equal numbers."""
        for stops in (False, True):
            count = HELD_BYTES // LARGE_BYTES // 2
            self.add(count, self.read_slowly, is_stream, stops)

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
            check_alive(case, entry, peak_fds[0], max_fds)
        finally:
            print(f"peak {entry.peak_memory_mb():.0f} MiB, {peak_fds[0]} descriptors")
            watcher.kill()
            crowd.leave()


def check_alive(case, entry, peak_fds, max_fds):
    """Checks that a process lives and has kept its limits."""
    case.assertIsNone(entry.process.poll())
    case.assertEqual(entry.events("defect"), [])
    case.assertLess(entry.peak_memory_mb(), MEMORY_MB)
    case.assertLess(peak_fds, max_fds)


def is_answered(address, path="/book/x", host=None):
    """Returns whether an ordinary request is answered with 200."""
    options = {} if host is None else {"host": host}
    with contextlib.suppress(OSError):
        return call_raw(address, request(path, **options)).status == 200
    return False


def check_ordinary_call(crowd):
    """Checks that an ordinary caller, who retries refused requests, is answered."""
    wait_until(lambda: is_answered(crowd.entry.address), ORDINARY_TIMEOUT_S)


def test_whole_bodies_that_stop_short(case):
    """Guards against bodies of legal size that use up the memory together."""
    with crowded_process(case) as crowd:
        count = HELD_BYTES // MEDIUM_BYTES
        crowd.add(count, crowd.send_body, MEDIUM_BYTES, MEDIUM_BYTES * 2)
        crowd.settle()
        check_ordinary_call(crowd)


def test_largest_bodies_that_stop_short(case):
    """Guards against bodies of the largest legal size that use up the memory."""
    with crowded_process(case) as crowd:
        count = HELD_BYTES // LARGE_BYTES
        crowd.add(count, crowd.send_body, LARGE_BYTES, LARGE_BYTES * 2)
        crowd.settle()
        check_ordinary_call(crowd)


def test_bodies_in_pieces_that_stop_short(case):
    """Guards against buffers that grow with each piece of a body beyond the account of
    the memory."""
    with crowded_process(case) as crowd:
        count = HELD_BYTES // MEDIUM_BYTES
        crowd.add(count, crowd.send_body, MEDIUM_BYTES, PIECE_BYTES)
        crowd.settle()
        check_ordinary_call(crowd)


def test_small_bodies_that_stop_short(case):
    """Guards against idle senders that hold all places for connections."""
    with crowded_process(case) as crowd:
        crowd.add(SMALL_CLIENTS, crowd.send_body, SMALL_BYTES, PIECE_BYTES)
        crowd.settle()
        check_ordinary_call(crowd)


def test_costly_heads_whose_bodies_stop_short(case):
    """Guards against heads that are small on the wire and take many times their bytes
    as parsed headers."""
    with crowded_process(case) as crowd:
        crowd.add(SMALL_CLIENTS, crowd.send_costly_head)
        crowd.settle()
        check_ordinary_call(crowd)


def test_heads_byte_by_byte(case):
    """Guards against slow heads that hold all places, again as soon as they are
    closed."""
    with crowded_process(case) as crowd:
        crowd.add(SMALL_CLIENTS, crowd.send_head)
        crowd.settle()
        check_ordinary_call(crowd)


def test_more_connections_than_descriptors(case):
    """Guards against connections without a request that use up the descriptors or hold
    all places."""
    with crowded_process(case, LOWERED_FDS) as crowd:
        crowd.add(IDLE_CLIENTS, crowd.send_nothing)
        crowd.settle()
        check_ordinary_call(crowd)


def test_more_lookup_connections_than_descriptors(case):
    """Guards against connections for lookups and readiness that use up the descriptors
    of the process."""
    with crowded_process(case, LOWERED_FDS) as crowd:
        socks = []
        for address in (crowd.entry.lookup_address, crowd.entry.ready_address):
            for _ in range(IDLE_CLIENTS // 2):
                with contextlib.suppress(OSError):
                    socks.append(crowd._connect(address))
        crowd.settle()
        check_ordinary_call(crowd)
        address = crowd.entry.ready_address
        wait_until(lambda: is_answered(address, "/ready", "daemon"), ORDINARY_TIMEOUT_S)
        for sock in socks:
            sock.close()


def test_slow_readers_of_plain_responses(case):
    """Guards against long responses that use up the memory while they are read."""
    with crowded_process(case) as crowd:
        crowd.add_readers(is_stream=False)
        crowd.settle()
        check_ordinary_call(crowd)


def test_slow_readers_of_streams(case):
    """Guards against streams that pile up in memory while they are read."""
    with crowded_process(case) as crowd:
        crowd.add_readers(is_stream=True)
        crowd.settle()
        check_ordinary_call(crowd)


def add_all(crowd):
    """Starts clients of each kind, with a share of the numbers of the other tests."""
    crowd.add(
        HELD_BYTES // MEDIUM_BYTES // 2, crowd.send_body, MEDIUM_BYTES, PIECE_BYTES
    )
    crowd.add(HELD_BYTES // LARGE_BYTES // 2, crowd.send_body, LARGE_BYTES, LARGE_BYTES)
    crowd.add(SMALL_CLIENTS // 6, crowd.send_body, SMALL_BYTES, PIECE_BYTES)
    crowd.add(SMALL_CLIENTS // 6, crowd.send_head)
    crowd.add_readers(is_stream=False)
    crowd.add_readers(is_stream=True)


def test_all_clients_together(case):
    """Guards against a shortage that only several kinds of clients cause together."""
    with crowded_process(case) as crowd:
        add_all(crowd)
        crowd.settle()
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
