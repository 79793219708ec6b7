"""Exchanges with a server whose bytes the tests write: repeated and early refusals."""

from types import SimpleNamespace
from unittest import mock

import gevent
from gevent import socket

from amaranthbay.kernel.errors import Verdict
from amaranthbay.relay.codec import AnswerTraits
from amaranthbay.relay.connections import (
    IDLE_LIMIT_NON_IDEMPOTENT_S,
    MAX_REFUSED_IDS,
    ConnectionPool,
)
from amaranthbay.relay.exchange import ExchangeBroken, control_exchange, open_exchange
from amaranthbay.utils.testing import ManualClock, collect

SERVER = SimpleNamespace(name="desk-1", address="127.0.0.1:1", service="desk")
# More than the buffers of two connected sockets hold.
LARGE_BODY = b"x" * 2**23
TIMEOUT_S = 2.0


class Codec:
    """Codec whose answers name their attempt in ``id`` and refuse with ``refused``."""

    def forward_headers(self, headers, options):
        return [(b"Host", b"x")]

    def read_answer(self, status, headers):
        values = dict(headers)
        return AnswerTraits(
            values.get(b"id", b"").decode(), stamped=True, not_run=b"refused" in values
        )


def make_pool(case):
    """Returns a pool of socket pairs and the list of the servers' ends."""
    ends = []

    def connect(address, timeout_s):
        ours, theirs = socket.socketpair()
        case.addCleanup(ours.close)
        case.addCleanup(theirs.close)
        ends.append(theirs)
        return ours

    path = "amaranthbay.relay.connections.connect"
    case.enterContext(mock.patch(path, connect))
    case.enterContext(gevent.Timeout(5 * TIMEOUT_S))
    return ConnectionPool(ManualClock()), ends


def answer(attempt_id="", status=200, refused=False):
    """Returns the bytes of an answer without a body."""
    lines = [f"HTTP/1.1 {status} x", "Content-Length: 0"]
    lines += [f"id: {attempt_id}"] if attempt_id else []
    lines += ["refused: 1"] if refused else []
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def send(pool, attempt_id, body=b"", conn=None):
    """Sends a call, on a taken connection if any, and returns its `Exchange`."""
    call = SimpleNamespace(
        method=b"POST",
        target=b"/x",
        headers=(),
        body=body,
        declares_body=True,
        head=SimpleNamespace(attempt_id=attempt_id),
        route=SimpleNamespace(repeatable=False),
    )
    return open_exchange(pool, Codec(), SERVER, call, None, TIMEOUT_S, conn)


def read(exchange):
    """Reads an answer to its end, ends the exchange and returns the status."""
    try:
        status = exchange.read_head().status
        list(exchange.chunks())
        return status
    finally:
        exchange.close()


def exchange_once(pool, ends, attempt_id, *answers):
    """Sends a call on a connection and returns the status of its answer.

    Args:
        pool: `ConnectionPool` of the call.
        ends: Servers' ends of the connections so far; the last one answers.
        attempt_id: Id of the call.
        *answers: Bytes that arrive after the call was sent.
    """
    exchange = send(pool, attempt_id)
    # The request is sent before its answer comes.
    gevent.sleep(0)
    ends[-1].sendall(b"".join(answers))
    return read(exchange)


def test_connection_is_closed_after_a_refusal_without_an_id(case):
    """Guards against a repeated refusal, such as another server's 421, that nothing
    tells from the answer to the next request."""
    pool, ends = make_pool(case)
    for status in (503, 429, 421, 400):
        refusal = answer(status=status, refused=True)
        case.assertEqual(exchange_once(pool, ends, "a1", refusal), status)
        opened = len(ends)
        case.assertEqual(exchange_once(pool, ends, "a2", answer("a2")), 200)
        case.assertEqual(len(ends), opened + 1)


def test_request_without_an_id_leaves_no_connection(case):
    """Guards against a repeated answer to a request without an id."""
    pool, ends = make_pool(case)
    for _ in range(2):
        case.assertEqual(exchange_once(pool, ends, "", answer()), 200)
    case.assertEqual(len(ends), 2)


def test_control_call_leaves_no_connection(case):
    """Guards against a repeated answer to a control call that the next one, or a
    caller's request, takes for its own."""
    pool, ends = make_pool(case)
    for status in (200, 503):
        gevent.spawn_later(0.01, lambda: ends[-1].sendall(answer(status=status)))
        args = (pool, Codec(), SERVER, "GET", "/x", b"", TIMEOUT_S)
        case.assertEqual(control_exchange(*args).unwrap(), (status, b""))
    case.assertEqual(exchange_once(pool, ends, "a1", answer("a1")), 200)
    case.assertEqual(len(ends), 3)


def test_calls_for_holds_share_connections_with_each_other_alone(case):
    """Guards against a new connection for each hold, and against a repeated answer to a
    call for a hold that a caller's request takes for its own."""
    pool, ends = make_pool(case)
    args = (pool, Codec(), SERVER, "POST", "/x", b"", TIMEOUT_S)
    for _ in range(3):
        gevent.spawn_later(0.01, lambda: ends[-1].sendall(answer()))
        control_exchange(*args, for_holds=True).unwrap()
    case.assertEqual(len(ends), 1)
    case.assertEqual(exchange_once(pool, ends, "a1", answer("a1")), 200)
    case.assertEqual(len(ends), 2)
    gevent.spawn_later(0.01, lambda: ends[0].sendall(answer()))
    control_exchange(*args, for_holds=True).unwrap()
    pool.drop_server(SERVER.name)
    case.assertEqual(exchange_once(pool, ends, "a2", answer("a2")), 200)
    case.assertEqual(len(ends), 3)


def test_repeated_refusals_are_skipped_by_their_id(case):
    """Guards against a repeated refusal that refuses a later request, and against a new
    connection after each refusal."""
    pool, ends = make_pool(case)
    refusals = [answer(f"a{n}", 503, refused=True) for n in range(3)]
    for number, refusal in enumerate(refusals):
        case.assertEqual(exchange_once(pool, ends, f"a{number}", refusal), 503)
    case.assertEqual(exchange_once(pool, ends, "b", *refusals, answer("b")), 200)
    case.assertEqual(len(ends), 1)


def test_refused_attempt_does_not_use_its_connection_again(case):
    """Guards against a repeated refusal that names the attempt which waits for its
    answer, also when other answers lie between."""
    pool, ends = make_pool(case)
    exchange_once(pool, ends, "a1", answer("a1", 503, refused=True))
    exchange_once(pool, ends, "a2", answer("a2"))
    case.assertEqual(len(ends), 1)
    exchange_once(pool, ends, "a1", answer("a1"))
    case.assertEqual(len(ends), 2)


def test_connection_with_many_refusals_is_closed(case):
    """Guards against memory that grows with each refusal, and against forgetting a
    refusal that may be repeated."""
    pool, ends = make_pool(case)
    for number in range(MAX_REFUSED_IDS):
        attempt_id = f"a{number}"
        refusal = answer(attempt_id, 503, refused=True)
        exchange_once(pool, ends, attempt_id, refusal)
    case.assertEqual(len(ends), 1)
    exchange_once(pool, ends, "b", answer("b"))
    case.assertEqual(len(ends), 2)


def test_refusal_before_the_request_was_sent_ends_the_connection(case):
    """Guards against a connection on which the rest of a refused request would be read
    as the next one."""
    pool, ends = make_pool(case)
    exchange = send(pool, "a1", LARGE_BODY)
    ends[-1].sendall(answer("a1", 503, refused=True))
    case.assertEqual(read(exchange), 503)
    case.assertEqual(exchange_once(pool, ends, "a2", answer("a2")), 200)
    case.assertEqual(len(ends), 2)


def test_repeated_refusal_before_the_request_was_sent_is_skipped(case):
    """Guards against ending a request as refused that its server still reads."""
    pool, ends = make_pool(case)
    refusal = answer("a1", 503, refused=True)
    exchange_once(pool, ends, "a1", refusal)
    exchange = send(pool, "a2", LARGE_BODY)
    gevent.sleep(0)
    ends[-1].sendall(refusal)
    reader = gevent.spawn(read, exchange)
    received = 0
    while received < len(LARGE_BODY):
        received += len(ends[-1].recv(2**20))
    ends[-1].sendall(answer("a2"))
    case.assertEqual(reader.get(), 200)
    case.assertEqual(len(ends), 1)


def test_too_many_repeated_refusals_leave_it_open_whether_the_request_ran(case):
    """Guards against a request that counts as refused because refusals of others came
    in place of its answer."""
    pool, ends = make_pool(case)
    refusal = answer("a1", 503, refused=True)
    exchange_once(pool, ends, "a1", refusal)
    with case.assertRaises(ExchangeBroken) as raised:
        exchange_once(pool, ends, "a2", *[refusal] * 9)
    case.assertEqual(raised.exception.verdict, Verdict.MAY_HAVE_RUN)


def answer_early(pool, ends, case, end):
    """Sends a large body that is answered by a part of an unframed answer.

    Args:
        pool: `ConnectionPool` of the call.
        ends: Servers' ends of the connections so far.
        case: Test case.
        end: Function of the server's end that ends the connection while the body is
            still being written.

    Returns:
        The `ExchangeBroken` with which the answer ends.
    """
    exchange = send(pool, "a1", LARGE_BODY)
    case.addCleanup(exchange.close)
    ends[-1].sendall(b"HTTP/1.1 200 OK\r\nid: a1\r\n\r\nfirst part")
    case.assertEqual(exchange.read_head().status, 200)
    gevent.spawn(end, ends[-1])
    with case.assertRaises(ExchangeBroken) as raised:
        exchange.read_body()
    return raised.exception


def test_unframed_answer_that_is_reset_during_the_upload_is_incomplete(case):
    """Guards against a part of an answer that passes as complete, as the send has met
    the reset and the read only sees the end of the connection."""
    pool, ends = make_pool(case)
    for _ in range(20):
        # A close with unread input resets the connection.
        exc = answer_early(pool, ends, case, lambda sock: sock.close())
        case.assertEqual(exc.verdict, Verdict.MAY_HAVE_RUN)


def test_unframed_answer_that_ends_during_the_upload_is_incomplete(case):
    """Guards against a part of an answer that passes as complete, as its server closes
    its side first and resets the connection a moment later."""
    pool, ends = make_pool(case)
    exc = answer_early(pool, ends, case, lambda sock: sock.shutdown(socket.SHUT_WR))
    case.assertEqual(exc.reason, "connection_reset")
    case.assertEqual(exc.verdict, Verdict.MAY_HAVE_RUN)


def test_unframed_answer_after_the_upload_is_complete(case):
    """Guards against taking each answer without a length for a broken one."""
    pool, ends = make_pool(case)
    exchange = send(pool, "a1", b"small")
    case.addCleanup(exchange.close)
    while b"small" not in ends[-1].recv(2**16):
        pass
    ends[-1].sendall(b"HTTP/1.1 200 OK\r\nid: a1\r\n\r\nwhole")
    ends[-1].close()
    case.assertEqual(exchange.read_head().status, 200)
    case.assertEqual(exchange.read_body().data, b"whole")


def test_answer_with_an_invalid_status_is_none(case):
    """Guards against passing on a status of a server in trouble that HTTP lacks."""
    for status in ("000", "099", "600", "999"):
        pool, ends = make_pool(case)
        with case.subTest(status):
            with case.assertRaises(ExchangeBroken) as raised:
                exchange_once(pool, ends, "a1", answer("a1", status))
            case.assertEqual(raised.exception.reason, "not_http")
            case.assertEqual(raised.exception.verdict, Verdict.MAY_HAVE_RUN)


def test_connection_that_was_taken_long_before_its_request_is_not_used(case):
    """Guards against a request that is lost because the server closes the connection,
    which was idle during a prefill, at that moment."""
    pool, ends = make_pool(case)
    conn = pool.take(SERVER, False, TIMEOUT_S)
    pool.clock.advance(IDLE_LIMIT_NON_IDEMPOTENT_S + 0.1)
    exchange = send(pool, "a1", conn=conn)
    case.addCleanup(exchange.close)
    case.assertEqual(len(ends), 2)
    case.assertEqual(ends[0].recv(1), b"")


load_tests = collect(globals())
