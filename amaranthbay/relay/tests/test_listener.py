"""Connections of callers that wait for their next request."""

import contextlib
from unittest import mock

import gevent
import gevent.event
from gevent import socket

from amaranthbay.ingress.capacity import CONNECTION_BYTES
from amaranthbay.ingress.progress import Progress
from amaranthbay.kernel.errors import CallerGone, ProcessStops
from amaranthbay.platform.tests.fixtures import read_answer
from amaranthbay.relay import caller_socket, listener as listener_module
from amaranthbay.relay.listener import Listener
from amaranthbay.routing import ClientLimits
from amaranthbay.utils.hangup import HangupWatch
from amaranthbay.utils.reading import ReadLimitExceeded, ReadMemory
from amaranthbay.utils.testing import collect, free_port, wait_until

READ_BYTES = 1024
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
LAST_REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


@contextlib.contextmanager
def connection(
    limits,
    handler=lambda conn, req: conn.answer(200, [], b"ok"),
    places=10,
    memory=None,
):
    """Yields a socket that is connected to a `Listener`, and the `Listener`."""
    address = f"127.0.0.1:{free_port()}"
    listener = Listener(address, handler, limits, places, memory)
    listener.start()
    host, port = address.split(":")
    sock = socket.create_connection((host, int(port)), 5.0)
    try:
        yield sock, listener
    finally:
        sock.close()
        listener.close()


def test_raised_idle_limit_applies_to_connections_that_wait(case):
    """Guards against closing a connection by the idle limit of a configuration that is
    no longer in force."""
    limits = [ClientLimits(idle_timeout_s=0.1)]
    with connection(lambda: limits[-1]) as (sock, _):
        sock.sendall(REQUEST)
        case.assertEqual(read_answer(sock).status, 200)
        limits.append(ClientLimits(idle_timeout_s=5.0))
        gevent.sleep(0.3)
        sock.sendall(REQUEST)
        case.assertEqual(read_answer(sock).status, 200)


def test_request_that_arrives_as_the_idle_limit_ends_is_answered(case):
    """Guards against closing a connection with a request in it, which arrived while
    the process was busy."""
    with connection(lambda: ClientLimits(idle_timeout_s=0.2)) as (sock, listener):
        sock.sendall(REQUEST)
        case.assertEqual(read_answer(sock).status, 200)
        (conn,) = listener.idle
        server_sock = conn.sock

        class LateSocket:
            """Delivers the request only after the wait for it has timed out."""

            timed_out = False

            def __getattr__(self, name):
                return getattr(server_sock, name)

            def recv(self, *args):
                if not self.timed_out:
                    self.timed_out = True
                    sock.sendall(REQUEST)
                    gevent.sleep(0.1)
                    raise TimeoutError
                return server_sock.recv(*args)

        sock.sendall(REQUEST)
        conn._reader.sock = LateSocket()
        first = read_answer(sock)
        case.assertEqual(first.status, 200)
        case.assertEqual(read_answer(sock, first.trailing).status, 200)


def test_idle_connection_is_closed(case):
    """Guards against connections that stay open without a request."""
    with connection(lambda: ClientLimits(idle_timeout_s=0.1)) as (sock, _):
        case.assertEqual(sock.recv(10), b"")


def test_raised_body_limit_applies_to_connections_that_wait(case):
    """Guards against refusing a request by the limits of a configuration that is no
    longer in force."""
    limits = [ClientLimits(body_bytes=10)]
    with connection(lambda: limits[-1]) as (sock, listener):
        sock.sendall(REQUEST)
        case.assertEqual(read_answer(sock).status, 200)
        wait_until(lambda: listener.idle)
        limits.append(ClientLimits(body_bytes=100))
        body = b"x" * 50
        sock.sendall(
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n" + body
        )
        case.assertEqual(read_answer(sock).status, 200)


def send_part(sock, listener, part):
    """Sends a part of a request and waits until the listener has read it."""
    wait_until(lambda: listener.idle)
    sock.sendall(part)
    wait_until(lambda: not listener.idle)


def test_raised_body_limit_applies_to_a_body_that_arrives(case):
    """Guards against refusing a body by the limit that was in force as it began."""
    limits = [ClientLimits(body_bytes=10)]
    with connection(lambda: limits[-1]) as (sock, listener):
        head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n"
        send_part(sock, listener, head + b"x" * 5)
        limits.append(ClientLimits(body_bytes=100))
        sock.sendall(b"x" * 45)
        case.assertEqual(read_answer(sock).status, 200)


def test_raised_idle_limit_applies_to_a_body_that_arrives(case):
    """Guards against giving up a body by the limit that was in force as it began."""
    limits = [ClientLimits(idle_timeout_s=1.0)]
    with connection(lambda: limits[-1]) as (sock, listener):
        head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"
        send_part(sock, listener, head + b"a")
        limits.append(ClientLimits(idle_timeout_s=5.0))
        gevent.sleep(1.3)
        sock.sendall(b"b")
        case.assertEqual(read_answer(sock).status, 200)


def test_raised_head_limit_applies_to_open_connections(case):
    """Guards against refusing a head that arrives in parts by the limit that was in
    force as its connection was opened."""
    limits = [ClientLimits(header_bytes=100)]
    with connection(lambda: limits[-1]) as (sock, listener):
        sock.sendall(REQUEST)
        case.assertEqual(read_answer(sock).status, 200)
        limits.append(ClientLimits(header_bytes=1000))
        send_part(sock, listener, b"GET /x HTTP/1.1\r\nHost: h\r\nA: " + b"a" * 200)
        sock.sendall(b"\r\n\r\n")
        case.assertEqual(read_answer(sock).status, 200)


def test_incomplete_head_beyond_the_limit_is_refused(case):
    """Guards against a head without an end that fills the memory."""
    with connection(lambda: ClientLimits(header_bytes=1000)) as (sock, _):
        sock.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\nA: " + b"a" * 2000)
        case.assertEqual(read_answer(sock).status, 431)


def test_drain_lets_a_request_arrive_that_has_begun(case):
    """Guards against a reset of a connection whose next request has arrived in part,
    when the idle connections are closed."""
    with connection(ClientLimits) as (sock, listener):
        sock.sendall(REQUEST)
        case.assertEqual(read_answer(sock).status, 200)
        wait_until(lambda: listener.idle)
        sock.sendall(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n")
        # Nothing has run since then, so the head is in the socket.
        listener.draining = True
        listener.close_idle()
        gevent.sleep(0.05)
        sock.sendall(b"ab")
        case.assertEqual(read_answer(sock).status, 200)


def test_pipelined_request_is_answered_in_a_drain(case):
    """Guards against a close after an answer although the next request has arrived."""
    release = gevent.event.Event()

    def answer(conn, req):
        release.wait()
        conn.answer(200, [], b"ok")

    with connection(ClientLimits, answer) as (sock, listener):
        sock.sendall(REQUEST + REQUEST)
        wait_until(lambda: listener.busy)
        sock.sendall(REQUEST)
        listener.draining = True
        release.set()
        data = b"".join(iter(lambda: sock.recv(1000), b""))
        case.assertEqual(data.count(b"HTTP/1.1 200"), 3)
        case.assertEqual(data.count(b"Connection: close"), 1)


def test_connection_that_waits_to_be_accepted_is_served_before_the_close(case):
    """Guards against a reset of connections that the system has accepted when the
    listener closes."""
    with connection(ClientLimits) as (first_sock, listener):
        first_sock.sendall(REQUEST)
        case.assertEqual(read_answer(first_sock).status, 200)
        listener._server.stop_accepting()
        with socket.create_connection(first_sock.getpeername(), 5.0) as sock:
            sock.sendall(REQUEST)
            listener.draining = True
            listener.close()
            case.assertEqual(read_answer(sock).status, 200)


def test_caller_that_reads_slowly_gets_its_whole_answer(case):
    """Guards against cutting a large answer that its caller reads all the time."""
    body = b"x" * 30_000_000

    def answer(conn, req):
        conn.answer(200, [], body)

    case.enterContext(mock.patch.object(caller_socket, "WRITE_TIMEOUT_S", 0.3))
    with connection(ClientLimits, answer) as (sock, _):
        sock.sendall(REQUEST)
        size, data = 0, b"-"
        while data and size < len(body):
            gevent.sleep(0.02)
            data = sock.recv(500_000)
            size += len(data)
        case.assertGreaterEqual(size, len(body))


def read_with_pauses(sock, pause_s, pauses):
    """Returns the number of bytes that arrive, with pauses before the first reads."""
    size = 0
    while data := sock.recv(READ_BYTES):
        size += len(data)
        if pauses > 0:
            pauses -= 1
            gevent.sleep(pause_s)
    return size


def test_stream_that_is_read_in_small_parts_is_whole(case):
    """Guards against cutting a stream whose caller reads less than the kernel takes at
    a time, but reads all the time."""
    part, parts = b"x" * 100_000, 5

    def answer(conn, req):
        conn.start_stream(200, [])
        for _ in range(parts):
            conn.send(part)
        conn.finish_stream()

    case.enterContext(mock.patch.object(caller_socket, "WRITE_TIMEOUT_S", 0.5))
    with connection(ClientLimits, answer) as (first_sock, _):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2 * READ_BYTES)
            sock.connect(first_sock.getpeername())
            sock.sendall(LAST_REQUEST)
            size = read_with_pauses(sock, 0.1, 20)
    case.assertGreater(size, parts * len(part))


def test_caller_that_stops_reading_is_cut_off(case):
    """Guards against responses that nobody reads and that stay for ever."""
    body, gone = b"x" * 30_000_000, []

    def answer(conn, req):
        try:
            conn.answer(200, [], body)
        except CallerGone as exc:
            gone.append(str(exc))
            raise

    case.enterContext(mock.patch.object(caller_socket, "WRITE_TIMEOUT_S", 0.1))
    with connection(lambda: ClientLimits(idle_timeout_s=0.3), answer) as (sock, _):
        sock.sendall(REQUEST)
        wait_until(lambda: gone)


def test_answer_that_begins_as_its_request_is_interrupted_is_whole(case):
    """Guards against a cut answer that began just before its handler is interrupted."""
    body = b"x" * 30_000_000
    release = gevent.event.Event()

    def answer(conn, req):
        release.wait()
        conn.answer(200, [], body)

    with connection(ClientLimits, answer) as (sock, listener):
        sock.sendall(REQUEST)
        wait_until(lambda: listener.busy)
        release.set()
        listener.interrupt_busy(ProcessStops("the daemon has to stop"))
        answer = read_answer(sock)
        case.assertEqual((answer.complete, len(answer.body)), (True, len(body)))


PARTIAL_REQUEST = (
    b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n" + b"x" * 900
)


def test_new_connection_is_served_while_senders_idle(case):
    """Guards against callers who wait in the system's queue behind idle senders, and
    against a sender who loses his place without a refusal."""
    with connection(ClientLimits, places=2) as (sock, listener):
        with socket.create_connection(sock.getpeername(), 5.0) as idle:
            sock.sendall(PARTIAL_REQUEST)
            wait_until(lambda: listener.arriving)
            idle.sendall(PARTIAL_REQUEST)
            wait_until(lambda: len(listener.arriving) == 2)
            with socket.create_connection(sock.getpeername(), 5.0) as ordinary:
                ordinary.sendall(REQUEST)
                case.assertEqual(read_answer(ordinary).status, 200)
            refused = read_answer(sock)
            case.assertEqual(refused.status, 503)
            case.assertIn("retry-after", refused.headers)


def test_connection_is_refused_while_all_others_are_busy(case):
    """Guards against a request in progress that is dropped for a new connection, and
    against a new one that gets no answer."""
    release = gevent.event.Event()

    def answer(conn, req):
        release.wait()
        conn.answer(200, [], b"ok")

    with connection(ClientLimits, answer, places=1) as (sock, listener):
        sock.sendall(REQUEST)
        wait_until(lambda: listener.busy)
        with socket.create_connection(sock.getpeername(), 5.0) as other:
            case.assertEqual(read_answer(other).status, 503)
        release.set()
        case.assertEqual(read_answer(sock).status, 200)


def test_sender_that_idles_is_refused_for_memory_at_once(case):
    """Guards against an idle sender whose memory others need and who is told so only
    when more of the body arrives."""
    memory = ReadMemory(50_000, 25_000)
    with connection(ClientLimits, places=2, memory=memory) as (sock, listener):
        sock.sendall(PARTIAL_REQUEST)
        wait_until(lambda: memory.used_bytes > 20_900)
        with socket.create_connection(sock.getpeername(), 5.0) as other:
            head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 8900\r\n\r\n"
            wait_until(lambda: memory.used_bytes > 41_000)
            other.sendall(head + b"y" * 8900)
            case.assertEqual(read_answer(sock).status, 503)
            case.assertEqual(read_answer(other).status, 200)
        # The rest of the refused body is read, and the connection goes on.
        sock.sendall(b"x" * 100 + REQUEST)
        case.assertEqual(read_answer(sock).status, 200)


def test_pipelined_requests_without_memory_are_refused(case):
    """Guards against requests that lie unread without being counted, and against bytes
    that still count once they have been read."""
    memory = ReadMemory(CONNECTION_BYTES + 100, 50)
    with connection(ClientLimits, places=1, memory=memory) as (sock, listener):
        sock.sendall(REQUEST * 3)
        trailing = b""
        for _ in range(3):
            answer = read_answer(sock, trailing)
            trailing = answer.trailing
            case.assertEqual(answer.status, 200)
        wait_until(lambda: memory.used_bytes == CONNECTION_BYTES)
        sock.sendall(REQUEST * 10)
        answer = read_answer(sock)
        case.assertEqual((answer.status, answer.headers["connection"]), (503, "close"))
        case.assertIn("retry-after", answer.headers)


def test_lines_of_a_body_are_no_lines_of_its_head(case):
    """Guards against ordinary bodies of many lines that wait for a turn to parse."""
    body = b"line\n" * 300
    head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n" % len(body)
    with connection(ClientLimits) as (sock, listener):
        turns = mock.Mock(wraps=listener.parse_turns)
        listener.parse_turns = turns
        for parts in ((head + b"\r\n" + body,), (head + b"\r", b"\n" + body)):
            for part in parts:
                sock.sendall(part)
                gevent.sleep(0.05)
            case.assertEqual(read_answer(sock).status, 200)
        turns.parse.assert_not_called()
        sock.sendall(head + b"a: b\r\n" * 150 + b"\r\n" + body)
        case.assertEqual(read_answer(sock).status, 200)
        turns.parse.assert_called()


def test_event_that_has_just_begun_is_not_slow(case):
    """Guards against dropping the reader of a stream because no rate is known yet."""
    waits = []

    def answer(conn, req):
        conn._progress = mock.Mock(wraps=Progress(0.0))
        conn.start_stream(200, [])
        conn.send(b"data: x\n\n")
        conn.send(b"x" * 100_000)
        conn.finish_stream()
        waits.extend(call.args[1] for call in conn._progress.begin.call_args_list)

    with connection(ClientLimits, answer) as (sock, _):
        sock.sendall(REQUEST)
        case.assertEqual(len(read_answer(sock).body), 100_009)
    sizes = [size for size in waits if size is not None]
    case.assertEqual([size // 100_000 for size in sizes], [1])


def test_request_that_arrives_as_its_connection_is_chosen_is_answered(case):
    """Guards against a reset in place of an answer, and against a caller that sends
    its next request on a connection without a place."""
    with connection(ClientLimits) as (sock, listener):
        wait_until(lambda: listener.idle)
        (conn,) = listener.idle
        sock.sendall(REQUEST)
        conn.drop()
        answer = read_answer(sock)
        case.assertEqual((answer.status, answer.headers["connection"]), (200, "close"))
        case.assertEqual(sock.recv(1), b"")
        sock.close()
        wait_until(lambda: not listener.spared)


def test_incomplete_head_that_loses_its_place_or_memory_is_refused(case):
    """Guards against a close without an answer while a head is read."""

    def lose_memory(conn):
        exc = ReadLimitExceeded("memory_full")
        gevent.get_hub().loop.run_callback(conn.greenlet.throw, exc)

    for lose in (listener_module.CallerConnection.drop, lose_memory):
        with connection(ClientLimits) as (sock, listener):
            sock.sendall(REQUEST[:-2])
            wait_until(lambda listener=listener: listener.arriving)
            lose(*listener.arriving)
            refused = read_answer(sock)
            case.assertEqual(refused.status, 503)
            case.assertIn("retry-after", refused.headers)
            case.assertEqual(refused.headers["connection"], "close")


def test_stopped_watch_does_not_interrupt(case):
    """Guards against an interruption that was scheduled before the watch stopped and
    hits the greenlet in its next task."""
    near, far = socket.socketpair()
    watch = HangupWatch(near, "r")
    far.close()
    watch._interrupt_on_hangup()
    watch.stop()
    gevent.sleep(0.01)
    watch = HangupWatch(near, "r")
    with case.assertRaises(CallerGone):
        gevent.sleep(5.0)
    watch.stop()
    near.close()


def test_interrupted_close_closes_the_socket(case):
    """Guards against a defect that is logged, and a descriptor that stays open, if the
    caller leaves during a lingering close."""
    with connection(ClientLimits) as (sock, listener):
        wait_until(lambda: listener.idle)
        (conn,) = listener.idle
        lost = CallerGone("gone")
        with mock.patch.object(conn, "_linger", side_effect=lost):
            sock.sendall(REQUEST.replace(b"h\r\n", b"h\r\nConnection: close\r\n"))
            case.assertEqual(read_answer(sock).status, 200)
            wait_until(lambda: conn.greenlet.dead)
        case.assertEqual((conn.sock.fileno(), conn.greenlet.exception), (-1, None))


load_tests = collect(globals())
