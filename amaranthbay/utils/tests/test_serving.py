"""Connections of the WSGI server that have a place."""

from unittest import mock

import gevent.event
from gevent import socket

from amaranthbay.ingress.places import ENDLESS_REQUESTS, PAUSE_S
from amaranthbay.platform.tests.fixtures import read_answer
from amaranthbay.utils.serving import Server, _PlacedConnection
from amaranthbay.utils.testing import collect


def test_connection_with_unread_input_is_spared(case):
    """Guards against closing a connection whose request waits in the socket, and
    against a look that changes the timeout of the reads."""
    near, far = socket.socketpair()
    near.settimeout(7.0)
    place = _PlacedConnection(near, "a", mock.MagicMock())
    case.assertFalse(place.has_input())
    far.sendall(b"G")
    case.assertTrue(place.has_input())
    case.assertEqual((near.gettimeout(), near.recv(2)), (7.0, b"G"))
    far.close()
    case.assertFalse(place.has_input())
    near.close()


def test_connection_whose_next_request_is_always_there_is_not_spared(case):
    """Guards against places that nobody loses who sends requests without a pause, and
    against a caller with single requests that loses its own."""
    near, far = socket.socketpair()
    case.addCleanup(near.close)
    case.addCleanup(far.close)
    place = _PlacedConnection(near, "a", mock.MagicMock())
    far.sendall(b"G")
    for _ in range(ENDLESS_REQUESTS):
        case.assertTrue(place.has_input())
        place.note_request(0.0)
    case.assertFalse(place.has_input())
    place.note_request(2 * PAUSE_S)
    case.assertTrue(place.has_input())


def test_connection_that_does_not_read_its_response_is_not_spared(case):
    """Guards against places that nobody loses whose responses can't be written, and
    against a request that is interrupted while it is handled."""
    near, far = socket.socketpair()
    case.addCleanup(near.close)
    case.addCleanup(far.close)
    server = mock.MagicMock()
    server.clock.monotonic.return_value = 1.0
    place = _PlacedConnection(near, "a", server)
    far.sendall(b"G")
    place.note_response(True)
    case.assertIsNone(place.wait_s(3.0))
    place.note_write(True)
    case.assertEqual((place.wait_s(3.0), place.has_input()), (2.0, False))
    place.note_write(False)
    case.assertIsNone(place.wait_s(3.0))


def test_connection_without_a_place_is_told_when_to_come_back(case):
    """Guards against a connection that is closed without an answer while all others
    are being answered."""
    release, entered = gevent.event.Event(), gevent.event.Event()

    def app(environ, start_response):
        entered.set()
        release.wait(5.0)
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    server = Server("127.0.0.1:0", app, places=1)
    host, port = server.start().split(":")
    try:
        with socket.create_connection((host, int(port)), 5.0) as first:
            first.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            case.assertTrue(entered.wait(5.0))
            with socket.create_connection((host, int(port)), 5.0) as second:
                answer = read_answer(second)
            case.assertEqual(answer.status, 503)
            case.assertIn("retry-after", answer.headers)
            release.set()
            case.assertEqual(read_answer(first).status, 200)
    finally:
        server.stop()


load_tests = collect(globals())
