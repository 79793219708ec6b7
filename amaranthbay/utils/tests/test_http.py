"""Tests of HTTP exchanges with servers that close the connection."""

from gevent import socket

from amaranthbay.kernel.errors import Verdict
from amaranthbay.utils.http import exchange_whole
from amaranthbay.utils.testing import collect, greenlet


def test_server_that_closes_without_a_response(case):
    """Guards against an exception in place of the verdict ``may_have_run``."""
    listener = socket.socket()
    case.addCleanup(listener.close)
    listener.bind(("127.0.0.1", 0))
    listener.listen()

    def close_connections():
        while True:
            conn, _ = listener.accept()
            conn.recv(1000)
            conn.close()

    case.enterContext(greenlet(close_connections))
    address = "127.0.0.1:{}".format(listener.getsockname()[1])
    outcome = exchange_whole(address, "GET", "/")
    case.assertIs(outcome.unwrap_err().verdict, Verdict.MAY_HAVE_RUN)


load_tests = collect(globals())
