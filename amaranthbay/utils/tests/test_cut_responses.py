"""HTTP exchanges with peers that break off."""

from gevent import socket

from amaranthbay.utils.http import json_exchange, open_exchange
from amaranthbay.utils.testing import collect, greenlet

CUT_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nfirst line\n"


def peer_that_sends(case, raw):
    """Returns the address of a peer that sends some bytes and closes."""
    listener = case.enterContext(socket.create_server(("127.0.0.1", 0)))

    def answer():
        conn, _ = listener.accept()
        with conn:
            conn.recv(65536)
            conn.sendall(raw)

    case.enterContext(greenlet(answer))
    return f"127.0.0.1:{listener.getsockname()[1]}"


def test_response_cut_short_is_a_broken_connection(case):
    """Guards against an error class that no caller of the exchange handles."""
    address = peer_that_sends(case, CUT_RESPONSE)
    lines = open_exchange(address, "GET", "/").unwrap().lines()
    case.assertEqual(next(lines), b"first line")
    with case.assertRaises(OSError):
        next(lines)


def test_head_cut_short_may_have_run(case):
    """Guards against a defect when a peer dies before its response's head ends."""
    address = peer_that_sends(case, b"HTTP/1.1 200 OK\r\nContent-")
    failure = json_exchange(address, "GET", "/").unwrap_err()
    case.assertEqual(failure.verdict, "may_have_run")


load_tests = collect(globals())
