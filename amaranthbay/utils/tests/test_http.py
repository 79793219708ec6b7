"""HTTP exchanges with servers that close the connection, and odd addresses."""

from gevent import socket

from amaranthbay.kernel.errors import Verdict
from amaranthbay.utils.http import connect, exchange_whole
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


def test_odd_address_is_a_failed_connection(case):
    """Guards against an exception that ends a request or a job, and against a
    connection to another port, since the system takes ports modulo 65536."""
    for address in (
        "127.0.0.1:65536",
        "127.0.0.1:0",
        "127.0.0.1:-1",
        f"127.0.0.1:{10**20}",
        "127.0.0.1:" + "9" * 5000,
        "127.0.0.1:\u00b2",
        "127.0.0.1:80\n",
        "127.0.0.1",
        "",
        ":80",
        "a..b:80",
        "a\x00b:80",
        "x" * 300 + ":80",
        "\ud800:80",
        "fe80::1%a\r\nX-Hop: 1:80",
    ):
        with case.subTest(ascii(address)[:40]):
            case.assertRaises(OSError, connect, address, 1.0)
            failure = exchange_whole(address, "GET", "/").unwrap_err()
            case.assertIs(failure.verdict, Verdict.NOT_RUN)


load_tests = collect(globals())
