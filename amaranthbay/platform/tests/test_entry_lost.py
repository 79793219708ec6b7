"""Requests that may end without a complete answer, or run at two servers at once."""

import time

import gevent

from amaranthbay.platform.tests.fixtures import (
    call_raw,
    configuration,
    entry_fixture,
    stream_request,
)
from amaranthbay.platform.tests.test_entry_silence import (
    answer_unless_resumed,
    check_whole,
    pause_between_events,
)
from amaranthbay.utils.testing import collect, wait_until

DECODE = ("dec-1", "dec-2")
# Time for which two servers may run the same stream.
MAX_OVERLAP_S = 0.4


def call_resumable(fixture, deadline_ms=9000):
    headers = (("X-Deadline-Ms", str(deadline_ms)),)
    return call_raw(fixture.address, stream_request("/resume/x", headers=headers))


def late_head(server, seconds):
    """Returns a reply whose head comes after some seconds."""

    def reply(req):
        gevent.sleep(seconds)
        return server.stream_reply(req)

    return reply


def test_silent_server_is_left_soon_after_another_one_has_the_stream(case):
    """Guards against two servers that run a stream for longer than 0.4 s, if the head
    of the second one is late."""
    fixture = case.enterContext(entry_fixture(decode=DECODE))
    servers = [fixture.servers[name] for name in DECODE]
    for server in servers:
        reply = answer_unless_resumed(
            pause_between_events(server, 30.0), late_head(server, 1.0)
        )
        server.replies.append(reply)
    overlap_s = []

    def measure():
        wait_until(lambda: all(server.received for server in servers))
        started_at = time.monotonic()
        loads = fixture.daemon.placed_load.loads()
        wait_until(lambda: not all(name in loads for name in DECODE))
        overlap_s.append(time.monotonic() - started_at)

    measuring = gevent.spawn(measure)
    check_whole(case, call_resumable(fixture))
    measuring.join()
    case.assertLess(overlap_s[0], MAX_OVERLAP_S)


def test_defect_in_a_takeover_leaves_the_stream_at_its_server(case):
    """Guards against a cut stream because the daemon fails while it looks for another
    server."""
    fixture = case.enterContext(entry_fixture(decode=DECODE))
    for name in DECODE:
        server = fixture.servers[name]
        server.replies.append(pause_between_events(server))
    place, calls = fixture.daemon.queue.place, []

    def fail_second(*args):
        calls.append(args)
        return place(*args) if len(calls) == 1 else 1 / 0

    fixture.daemon.queue.place = fail_second
    check_whole(case, call_resumable(fixture))


def test_prompt_is_offered_elsewhere_only_once_at_a_time(case):
    """Guards against a stream at two servers, if its silent server refuses it while
    another one is about to take it over."""
    fixture = case.enterContext(entry_fixture(decode=(*DECODE, "dec-3")))
    changed = configuration(version=2)
    changed["Services"][1]["Engine"]["KvHoldS"] = 20.0
    changed["Routes"][-1] |= {"MaxAttempts": 5, "TimeoutMs": 9000}
    fixture.store.put("op", "config", changed)
    wait_until(lambda: fixture.daemon.configuration.table.version == 2)
    servers = [fixture.servers[name] for name in (*DECODE, "dec-3")]
    order = []

    def by_order(server):
        def reply(req):
            order.append(server.name)
            if len(order) == 1:
                gevent.sleep(2.25)
                return server.refusal()
            return late_head(server, 1.0)(req)

        return reply

    for server in servers:
        server.replies.append(by_order(server))
    check_whole(case, call_resumable(fixture, 8000))
    case.assertEqual(len(order), 2)


load_tests = collect(globals())
