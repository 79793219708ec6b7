"""Reuse of idle connections to backend servers."""

import sys
from types import SimpleNamespace
from unittest import mock

from gevent import socket

from amaranthbay.relay.connections import (
    IDLE_LIMIT_NON_IDEMPOTENT_S,
    IDLE_LIMIT_S,
    MAX_REFUSED_IDS,
    ConnectionPool,
)
from amaranthbay.relay.crashes import accepts_connections
from amaranthbay.utils.testing import ManualClock, collect

SERVER = SimpleNamespace(name="desk-1", address="127.0.0.1:1", service="desk")


def make_pool(case):
    """Returns a pool whose connections are socket pairs, and its clock."""
    clock = ManualClock()

    def connect(address, timeout_s):
        ours, theirs = socket.socketpair()
        case.addCleanup(ours.close)
        case.addCleanup(theirs.close)
        return ours

    path = "amaranthbay.relay.connections.connect"
    case.enterContext(mock.patch(path, connect))
    return ConnectionPool(clock), clock


def test_call_that_may_not_run_twice_gets_a_fresher_connection(case):
    """Guards against a non-idempotent call that is lost because the server closes the
    idle connection at that moment; a repeatable call is just repeated."""
    pool, clock = make_pool(case)
    conn = pool.take(SERVER, True, 1.0)
    pool.give_back(conn, None)
    clock.advance((IDLE_LIMIT_NON_IDEMPOTENT_S + IDLE_LIMIT_S) / 2)
    case.assertIs(pool.take(SERVER, True, 1.0), conn)
    pool.give_back(conn, None)
    clock.advance((IDLE_LIMIT_NON_IDEMPOTENT_S + IDLE_LIMIT_S) / 2)
    case.assertIsNot(pool.take(SERVER, False, 1.0), conn)


def test_idle_connection_ends_before_its_server_closes_it(case):
    """Guards against requests on connections that the server is about to close."""
    pool, clock = make_pool(case)
    conn = pool.take(SERVER, True, 1.0)
    pool.give_back(conn, 2.0)
    clock.advance(1.1)
    case.assertIsNot(pool.take(SERVER, True, 1.0), conn)


def test_connection_that_was_not_used_keeps_its_age(case):
    """Guards against a call that is lost because its connection, which was taken in
    vain before, is taken for a fresh one."""
    pool, clock = make_pool(case)
    conn = pool.take(SERVER, False, 1.0)
    pool.give_back(conn, None)
    for _ in range(2):
        clock.advance(0.6 * IDLE_LIMIT_NON_IDEMPOTENT_S)
        case.assertTrue(accepts_connections(pool, SERVER))
    case.assertIsNot(pool.take(SERVER, False, 1.0), conn)


def test_refused_attempts_with_long_ids_take_little_memory(case):
    """Guards against ids as long as a head that connections to full servers collect,
    and against an attempt that gets a connection on which it was refused."""
    pool, _ = make_pool(case)
    conn = pool.take(SERVER, True, 1.0)
    ids = [f"{number}" + "x" * 16000 for number in range(MAX_REFUSED_IDS // 2)]
    for attempt_id in ids:
        conn.note_refused(attempt_id)
    case.assertLess(sum(map(sys.getsizeof, conn.refused)), 64 * len(ids))
    pool.give_back(conn, None)
    case.assertIs(pool.take(SERVER, True, 1.0, "other"), conn)
    pool.give_back(conn, None)
    case.assertIsNot(pool.take(SERVER, True, 1.0, ids[0]), conn)


load_tests = collect(globals())
