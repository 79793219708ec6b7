"""Connections of backend servers that are lost while an answer arrives."""

import errno
from types import SimpleNamespace

import gevent

from amaranthbay.relay.codec import AnswerTraits
from amaranthbay.relay.connections import ConnectionPool, ServerConnection
from amaranthbay.relay.exchange import Exchange, ExchangeBroken
from amaranthbay.utils.testing import ManualClock, collect

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"


# Read that is still waiting when the silence is noticed.
SILENCE = object()


class ScriptedSocket:
    """Socket whose reads return bytes, wait or raise errors in a given order."""

    def __init__(self, *reads):
        self._reads = list(reads)

    def settimeout(self, seconds):
        pass

    def recv(self, size):
        read = self._reads.pop(0)
        if isinstance(read, bytes):
            return read
        if read is SILENCE:
            gevent.sleep(30.0)
        raise read


def test_lost_connection_is_not_taken_for_silence(case):
    """Guards against a stream without length and chunks that looks complete after its
    server's host is lost: the error is reported once, then the connection has ended."""
    lost = OSError(errno.ETIMEDOUT, "Connection timed out")
    sock = ScriptedSocket(HEAD, b"data: 1\n\n", SILENCE, lost, b"")
    codec = SimpleNamespace(
        read_answer=lambda status, headers: AnswerTraits("", True, False)
    )
    silences = []
    exchange = Exchange(
        ServerConnection("server-1", sock),
        ConnectionPool(ManualClock()),
        codec,
        "",
        b"GET",
        gevent.spawn(lambda: True),
    )
    exchange.read_head()
    exchange.watch_silence(0.05, lambda: silences.append(1))
    with case.assertRaises(ExchangeBroken):
        list(exchange.chunks())
    case.assertEqual(silences, [1])


load_tests = collect(globals())
