"""Requests that may end without a complete answer, or run at two servers at once."""

import contextlib
import time
from unittest import mock

import gevent
import gevent.event

from amaranthbay.platform.tests.fixtures import (
    call_raw,
    configuration,
    connect,
    entry_fixture,
    read_answer,
    request,
    stream_request,
)
from amaranthbay.platform.tests.test_entry_silence import (
    answer_unless_resumed,
    check_whole,
    hang,
    pause_between_events,
)
from amaranthbay.platform.tests.test_entry_streams import events
from amaranthbay.relay import streams, takeovers
from amaranthbay.relay.budget import BudgetLimits
from amaranthbay.utils.testing import collect, wait_until

DECODE = ("dec-1", "dec-2")
# Time for which two servers may run the same stream.
MAX_OVERLAP_S = 0.4


def call_resumable(fixture, deadline_ms=9000):
    headers = (("X-Deadline-Ms", str(deadline_ms)),)
    return call_raw(fixture.address, stream_request("/resume/x", headers=headers))


def shorten_head_stall(case):
    """Lets streams look for another server after 0.5 s without a head."""
    for module in (streams, takeovers):
        case.enterContext(mock.patch.object(module, "HEAD_STALL_S", 0.5))


def enter_three_servers(case):
    """Returns a fixture whose resumable streams have four attempts, and its servers."""
    names = (*DECODE, "dec-3")
    fixture = case.enterContext(entry_fixture(decode=names))
    changed = configuration(version=2)
    changed["Routes"][-1] |= {"MaxAttempts": 4, "TimeoutMs": 9000}
    fixture.store.put("op", "config", changed)
    wait_until(lambda: fixture.daemon.configuration.table.version == 2)
    return fixture, [fixture.servers[name] for name in names]


def late_head(server, seconds):
    """Returns a reply whose head comes after some seconds."""

    def reply(req):
        gevent.sleep(seconds)
        return server.stream_reply(req)

    return reply


def test_silent_server_is_left_soon_after_another_one_has_begun(case):
    """Guards against two servers that run a stream for longer than 0.4 s; a server
    sends the head of its answer as it begins to run."""
    fixture = case.enterContext(entry_fixture(decode=DECODE))
    servers = [fixture.servers[name] for name in DECODE]
    begun = gevent.event.Event()

    def begin_late(server):
        def reply(req):
            gevent.sleep(1.0)
            begun.set()
            return server.stream_reply(req, pause_s=0.3)

        return reply

    for server in servers:
        reply = answer_unless_resumed(
            pause_between_events(server, 30.0), begin_late(server)
        )
        server.replies.append(reply)
    overlap_s = []

    def measure():
        begun.wait()
        started_at = time.monotonic()
        loads = fixture.daemon.placed_load.loads()
        wait_until(lambda: not all(name in loads for name in DECODE))
        overlap_s.append(time.monotonic() - started_at)

    measuring = gevent.spawn(measure)
    check_whole(case, call_resumable(fixture))
    measuring.join()
    case.assertLess(overlap_s[0], MAX_OVERLAP_S)


def test_silent_server_keeps_the_stream_that_another_one_refuses_late(case):
    """Guards against a cut stream because the server that should continue it refuses
    after it has waited for room."""
    fixture = case.enterContext(entry_fixture(decode=DECODE))
    servers = [fixture.servers[name] for name in DECODE]

    def refuse_late(server):
        def reply(req):
            gevent.sleep(0.8)
            return server.refusal()

        return reply

    for server in servers:
        reply = answer_unless_resumed(
            pause_between_events(server, 2.3), refuse_late(server)
        )
        server.replies.append(reply)
    with mock.patch.object(takeovers, "log_event") as log_event:
        check_whole(case, call_resumable(fixture))
    logged = [call.args[0] for call in log_event.call_args_list]
    case.assertEqual(logged, ["stream_stalled", "takeover_ended"])
    case.assertEqual([len(server.received) for server in servers], [1, 1])


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


def test_requests_in_progress_at_the_end_of_the_drain_are_answered(case):
    """Guards against connections that end without an answer because their process has
    to stop, and against an answer which says that the request did not run."""
    fixture = case.enterContext(entry_fixture(decode=DECODE))
    changed = configuration(version=2)
    for route in changed["Routes"]:
        route["TimeoutMs"] = 9000
    fixture.store.put("op", "config", changed)
    wait_until(lambda: fixture.daemon.configuration.table.version == 2)
    for name in ("desk-1", *DECODE):
        fixture.servers[name].replies.append(hang)
    calls = (request("/book/x", "POST", b"1"), stream_request("/resume/x"))
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(connect(fixture.address)) for _ in calls]
        for sock, raw_request in zip(socks, calls):
            sock.sendall(raw_request)
        wait_until(lambda: len(fixture.daemon.listener.busy) == 2)
        fixture.daemon._drain()
        case.assertFalse(fixture.daemon.listener.busy)
        for sock in socks:
            answer = read_answer(sock)
            case.assertEqual((answer.status, answer.complete), (504, True))
            case.assertIn(b"may_have_run", answer.body)


def test_stream_without_a_repeat_places_nothing_elsewhere(case):
    """Guards against a silent server whose streams take up the room, holds and limits
    of others each second, although no repeat is allowed."""
    fixture = case.enterContext(entry_fixture(decode=DECODE))
    fixture.daemon._budgets.configure(BudgetLimits(0.0, 0.0, 10.0))
    for name in DECODE:
        server = fixture.servers[name]
        server.replies.append(pause_between_events(server))
    place = fixture.daemon.queue.place
    fixture.daemon.queue.place = mock.Mock(side_effect=place)
    check_whole(case, call_resumable(fixture))
    case.assertEqual(fixture.daemon.queue.place.call_count, 1)


def test_stream_leaves_a_second_silent_server(case):
    """Guards against waiting until the deadline for a server that should continue a
    stream and never answers, after the first one has broken off."""
    shorten_head_stall(case)
    fixture, servers = enter_three_servers(case)

    def break_after_silence(server):
        return lambda req: server.stamped_reply(
            req, chunks=(events(1, 1), b""), pauses=(0, 1.5), cut=True
        )

    def hang_once(server):
        def reply(req):
            resumed = [
                other
                for other in servers
                if any("last-event-id" in r.headers for r in other.received)
            ]
            return hang(req) if len(resumed) == 1 else server.stream_reply(req)

        return reply

    for server in servers:
        reply = answer_unless_resumed(break_after_silence(server), hang_once(server))
        server.replies.append(reply)
    check_whole(case, call_resumable(fixture, 8000))
    wait_until(lambda: not fixture.daemon.placed_load.loads())


def test_chain_of_takeovers_ends_with_its_stream(case):
    """Guards against a request, or a placement, that outlives its stream if the server
    that should take it over is to be taken over in turn."""
    shorten_head_stall(case)
    fixture, servers = enter_three_servers(case)
    for server in servers:
        server.replies.append(hang)
    with connect(fixture.address) as sock:
        sock.sendall(stream_request("/resume/x"))
        wait_until(lambda: all(server.received for server in servers))
    wait_until(lambda: not fixture.daemon.placed_load.loads())


def test_failure_of_a_silent_server_is_withheld_during_a_takeover(case):
    """Guards against a late failure that reaches the caller although another server
    is about to send the stream."""
    shorten_head_stall(case)
    fixture = case.enterContext(entry_fixture(decode=DECODE))
    servers = [fixture.servers[name] for name in DECODE]

    def fail_first(server):
        def reply(req):
            if sum(len(other.received) for other in servers) == 1:
                gevent.sleep(0.7)
                return server.stamped_reply(req, 500, body=b"failed")
            return late_head(server, 0.4)(req)

        return reply

    for server in servers:
        server.replies.append(fail_first(server))
    check_whole(case, call_resumable(fixture))


load_tests = collect(globals())
