"""Requests that crash their servers, without a network."""

from types import SimpleNamespace

import gevent

from amaranthbay.kernel.errors import Verdict
from amaranthbay.relay.connections import ConnectionPool
from amaranthbay.relay.crashes import (
    CRASH_LIFE_S,
    CRASH_LIMIT,
    PROBE_DELAY_S,
    CrashRecord,
    answers_connections,
)
from amaranthbay.relay.exchange import ExchangeBroken
from amaranthbay.utils.testing import ManualClock, collect, free_port

RESET = ExchangeBroken(Verdict.MAY_HAVE_RUN, "connection_reset")


def call(target=b"/x", body=b"b"):
    """Returns what the record reads of a call."""
    return SimpleNamespace(
        service=SimpleNamespace(name="desk"),
        method=b"POST",
        target=target,
        body=body,
        request_id="a1",
    )


def server(name, port=1):
    return SimpleNamespace(name=name, service="desk", address=f"127.0.0.1:{port}")


def record(answers=False):
    clock = ManualClock()
    return CrashRecord(clock, lambda server: answers), clock


def crash(made, servers, exc=RESET, **fields):
    """Lets servers break off one after the other."""
    for name in servers:
        made.note_broken(call(**fields), server(name), exc)
    gevent.sleep(2 * PROBE_DELAY_S)


def test_request_that_crashes_three_servers_is_dangerous(case):
    """Guards against a request that takes down one server after the other."""
    made, clock = record()
    crash(made, ["a", "b"])
    case.assertFalse(made.is_quarantined(call()))
    crash(made, ["c"])
    case.assertTrue(made.is_quarantined(call()))
    case.assertFalse(made.is_quarantined(call(body=b"other")))
    clock.advance(CRASH_LIFE_S + 1)
    case.assertFalse(made.is_quarantined(call()))


def test_lost_answers_and_silence_are_no_crashes(case):
    """Guards against refusing requests whose answers were lost on the way."""
    made, _ = record(answers=True)
    crash(made, ["a", "b", "c"])
    case.assertFalse(made.is_quarantined(call()))
    made, _ = record()
    crash(made, ["a", "b", "c"], ExchangeBroken(Verdict.MAY_HAVE_RUN, "stalled"))
    crash(made, ["a", "b", "c"], ExchangeBroken(Verdict.NOT_RUN, "connect_failed"))
    case.assertFalse(made.is_quarantined(call()))


def test_crashes_at_other_instances_count_once_each(case):
    """Guards against a dangerous request that spreads over the instances, and
    against repeated reports that count as further crashes."""
    first, _ = record()
    second, _ = record()
    crash(first, ["a", "b"])
    for _ in range(CRASH_LIMIT):
        second.learn(first.report())
    case.assertFalse(second.is_quarantined(call()))
    crash(second, ["c"])
    case.assertTrue(second.is_quarantined(call()))
    case.assertEqual([len(each) for each in second.report().values()], [1])


def test_record_is_swept(case):
    """Guards against memory that grows with each crash."""
    made, clock = record()
    crash(made, ["a"])
    clock.advance(CRASH_LIFE_S + 1)
    made.sweep()
    case.assertEqual((made._crashes, made.report()), ({}, {}))


def test_server_without_listener_counts_as_crashed(case):
    """Guards against a crash that passes for a lost answer."""
    pool = ConnectionPool(ManualClock())
    case.assertFalse(answers_connections(pool, server("a", free_port())))


load_tests = collect(globals())
