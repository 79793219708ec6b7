"""Tests of HTTP exchanges whose response is truncated."""

from gevent import socket

from amaranthbay.utils.http import exchange_whole, open_exchange
from amaranthbay.utils.testing import collect, greenlet

TRUNCATED_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nfirst line\n"


def start_peer(case, raw):
    """Starts a peer that sends raw bytes and closes; returns its address."""
    listener = case.enterContext(socket.create_server(("127.0.0.1", 0)))

    def answer():
        conn, _ = listener.accept()
        with conn:
            conn.recv(65536)
            conn.sendall(raw)

    case.enterContext(greenlet(answer))
    return f"127.0.0.1:{listener.getsockname()[1]}"


def test_truncated_body_is_a_broken_connection(case):
    """Guards against an exception that callers of the exchange don't handle."""
    address = start_peer(case, TRUNCATED_RESPONSE)
    lines = open_exchange(address, "GET", "/").unwrap().lines()
    case.assertEqual(next(lines), b"first line")
    with case.assertRaises(OSError):
        next(lines)


def test_truncated_head_may_have_run(case):
    """Guards against an unhandled exception when a peer dies while sending the head."""
    address = start_peer(case, b"HTTP/1.1 200 OK\r\nContent-")
    failure = exchange_whole(address, "GET", "/").unwrap_err()
    case.assertEqual(failure.verdict, "may_have_run")


load_tests = collect(globals())
