"""Callers that nobody controls, and what the kernel holds for them.

Bytes that a process hasn't read and bytes that its callers haven't taken count toward
the memory of the machine, beside what the process holds itself. See `crowd`.
"""

import gevent
from gevent import socket

from amaranthbay.platform.tests.crowd import (
    LARGE_BYTES,
    LOOKUP_PATH,
    LOWERED_FDS,
    READERS,
    SMALL_CLIENTS,
    Crowd,
    check_ordinary_call,
    check_ordinary_lookup,
    check_ready,
    check_served_beside,
    crowded_process,
)
from amaranthbay.platform.tests.fixtures import connect, read_answer, request
from amaranthbay.utils.testing import collect

MANY_READERS = 200
MIB = 2**20
# Responses of this size are written at once if the kernel takes them.
SHORT_RESPONSE_BYTES = 60000
PIPELINERS = 32
# Clients for lookups and for readiness that don't read their responses.
UNREAD_CLIENTS = LOWERED_FDS
CALM_READ_BYTES, CALM_READ_INTERVAL_S, CALM_READS = 2048, 0.2, 50


def pipelined(count, path="/book/x", **fields):
    """Returns the bytes of a number of requests."""
    return b"".join(
        request(path, attempt=f"p{number}", **fields) for number in range(count)
    )


def test_many_slow_readers_of_large_responses(case):
    """Guards against responses that lie in the kernel while their callers read them
    slowly."""
    check_served_beside(case, MANY_READERS, Crowd.read_slowly, False, LARGE_BYTES)


def test_many_more_slow_readers_of_responses(case):
    """Guards against responses that are small enough to lie in the kernel whole."""
    check_served_beside(case, SMALL_CLIENTS, Crowd.read_slowly, False, MIB)


def test_readers_with_large_windows_that_stop(case):
    """Guards against callers that read fast, so that the kernel holds much for them,
    and stop."""
    args = (False, LARGE_BYTES, MIB)
    count = 2 * READERS
    check_served_beside(case, count, Crowd.read_and_stop, *args, window_bytes=None)


def test_streams_read_fast_and_stopped(case):
    """Guards against streams that lie unread in the kernel, as their callers stop."""
    args = (True, 2 * LARGE_BYTES, LARGE_BYTES // 2)
    check_served_beside(case, READERS, Crowd.read_and_stop, *args, window_bytes=None)


def test_requests_that_lie_unread_after_a_quick_body(case):
    """Guards against pipelined requests in a receive buffer that a quick body has
    enlarged."""
    args = (LARGE_BYTES, pipelined(1000))
    count = PIPELINERS
    check_served_beside(
        case, count, Crowd.send_body_and_requests, *args, window_bytes=None
    )


def test_short_responses_that_nobody_reads(case):
    """Guards against responses that are copied again while they wait to be written."""
    block = b"".join(
        request("/book/x", "POST", b"b", attempt=f"reader{n}-{SHORT_RESPONSE_BYTES}")
        for n in range(20)
    )
    check_served_beside(case, SMALL_CLIENTS, Crowd.send_endlessly, block)


def test_lookups_whose_responses_nobody_reads(case):
    """Guards against callers that hold all places for lookups and readiness, as their
    responses can't be written, and against what the kernel holds for them."""
    with crowded_process(case, LOWERED_FDS) as crowd:
        lookups = pipelined(1000, LOOKUP_PATH)
        checks = pipelined(1000, "/ready", host="daemon")
        entry, run = crowd.entry, Crowd.send_endlessly
        crowd.add(UNREAD_CLIENTS, run, lookups, address=entry.lookup_address)
        crowd.add(UNREAD_CLIENTS, run, checks, address=entry.ready_address)
        check_ordinary_call(crowd)
        check_ordinary_lookup(crowd)
        check_ready(crowd)


def test_slow_reader_in_calm_gets_its_response(case):
    """Guards against limits that cut off an honest caller with a slow link."""
    with crowded_process(case) as crowd:
        with connect(crowd.entry.address) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CALM_READ_BYTES)
            attempt = f"reader-{LARGE_BYTES}"
            sock.sendall(request("/book/x", "POST", b"b", attempt=attempt))
            received = b""
            for _ in range(CALM_READS):
                received += sock.recv(CALM_READ_BYTES)
                gevent.sleep(CALM_READ_INTERVAL_S)
            answer = read_answer(sock, received)
        case.assertEqual((answer.status, len(answer.body)), (200, LARGE_BYTES))
        case.assertTrue(answer.complete)


load_tests = collect(globals())
