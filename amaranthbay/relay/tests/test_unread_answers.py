"""Answers that a caller does not read before the deadline."""

import gevent
import gevent.event
from gevent import socket

from amaranthbay.relay.listener import Listener
from amaranthbay.routing.types import ClientLimits
from amaranthbay.utils.testing import collect, free_port

# More than the buffers of a connection on loopback hold.
BODY = b"x" * (32 * 2**20)
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


def test_answer_whose_deadline_passes_ends_its_connection(case):
    """Guards against the head of the next answer in the middle of one that was not sent
    to its end, as the deadline passed while its caller did not read."""
    given_up = gevent.event.Event()

    def answer(conn, req):
        if given_up.is_set():
            conn.answer(200, [], b"second", close=True)
            return
        with gevent.Timeout(0.05, False):
            conn.answer(200, [], BODY)
        given_up.set()

    port = free_port()
    listener = Listener(f"127.0.0.1:{port}", answer, ClientLimits, 10)
    listener.start()
    case.addCleanup(listener.close)
    received = bytearray()
    with socket.create_connection(("127.0.0.1", port), 10.0) as sock:
        sock.sendall(REQUEST + REQUEST)
        case.assertTrue(given_up.wait(10.0))
        while data := sock.recv(2**20):
            received += data
    case.assertLess(len(received), len(BODY))
    case.assertEqual(received.count(b"HTTP/1.1"), 1)


load_tests = collect(globals())
