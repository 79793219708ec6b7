"""Servers that send nothing for a moment and then go on."""

from functools import partial

import gevent

from amaranthbay.platform.tests.fixtures import (
    call_raw,
    connect,
    entry_fixture,
    stream_request,
)
from amaranthbay.platform.tests.test_entry_streams import events
from amaranthbay.relay.budget import BudgetLimits
from amaranthbay.utils.testing import collect, wait_until

# Longer than the silence after which the router looks for another server.
SILENCE_S = 1.5
HEAD_SILENCE_S = 2.5


def pause_between_events(server, silence_s=SILENCE_S):
    """Returns a reply that is silent between the first and the second event."""
    return lambda req: server.stamped_reply(
        req, chunks=(events(1, 1), events(2, 3)), pauses=(0, silence_s)
    )


def pause_before_head(server):
    """Returns a reply that is silent before its head."""

    def reply(req):
        gevent.sleep(HEAD_SILENCE_S)
        return server.stream_reply(req)

    return reply


def answer_unless_resumed(first_reply, resumed_reply):
    """Returns a reply that depends on whether the request continues a stream."""

    def reply(req):
        chosen = resumed_reply if "last-event-id" in req.headers else first_reply
        return chosen(req)

    return reply


def hang(req):
    """A reply that never comes."""
    gevent.sleep(30.0)


def call_stream(fixture, path="/resume/x"):
    deadline = (("X-Deadline-Ms", "9000"),)
    return call_raw(fixture.address, stream_request(path, headers=deadline))


def check_whole(case, answer):
    case.assertEqual((answer.status, answer.complete), (200, True))
    case.assertEqual(answer.body, events(1, 3))


def test_stream_of_a_silent_server_is_not_cut_without_another_server(case):
    """Guards against a cut stream whose only server is silent for a moment."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["dec-1"]
    server.replies.append(pause_between_events(server))
    check_whole(case, call_stream(fixture))


def test_stream_of_a_silent_server_is_not_cut_without_a_repeat(case):
    """Guards against a cut stream because the repeat budget is used up."""
    fixture = case.enterContext(entry_fixture(decode=("dec-1", "dec-2")))
    fixture.daemon._budgets.configure(BudgetLimits(0.0, 0.0, 10.0))
    for name in ("dec-1", "dec-2"):
        server = fixture.servers[name]
        server.replies.append(pause_between_events(server))
    check_whole(case, call_stream(fixture))


def test_stream_of_a_silent_server_outlives_the_refusal_of_another(case):
    """Guards against a cut stream because the server that should continue it fails."""
    for failure in (
        lambda server, req: server.refusal(),
        lambda server, req: server.stamped_reply(req, 500, body=b"failed"),
        lambda server, req: None,
    ):
        with entry_fixture(decode=("dec-1", "dec-2")) as fixture:
            servers = [fixture.servers[name] for name in ("dec-1", "dec-2")]
            for server in servers:
                fail = partial(failure, server)
                pause = pause_between_events(server)
                server.replies.append(answer_unless_resumed(pause, fail))
            check_whole(case, call_stream(fixture))
            case.assertEqual([len(server.received) for server in servers], [1, 1])


def test_server_that_goes_on_keeps_its_stream(case):
    """Guards against two servers that run a stream, and events that come twice, if the
    silent one goes on before another one has answered."""
    fixture = case.enterContext(entry_fixture(decode=("dec-1", "dec-2")))
    servers = [fixture.servers[name] for name in ("dec-1", "dec-2")]
    for server in servers:
        reply = answer_unless_resumed(
            pause_between_events(server, 1.3), pause_before_head(server)
        )
        server.replies.append(reply)
    check_whole(case, call_stream(fixture))
    case.assertEqual([len(server.received) for server in servers], [1, 1])
    wait_until(lambda: not fixture.daemon.placed_load.loads())


def test_answer_of_a_server_that_is_silent_before_its_head_is_awaited(case):
    """Guards against failing a stream whose only server starts late."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["dec-1"]
    server.replies.append(pause_before_head(server))
    check_whole(case, call_stream(fixture))


def test_stream_leaves_a_server_that_is_silent_before_its_head(case):
    """Guards against waiting for a server that never starts a stream."""
    fixture = case.enterContext(entry_fixture(decode=("dec-1", "dec-2")))
    servers = [fixture.servers[name] for name in ("dec-1", "dec-2")]

    def hang_first(server):
        def reply(req):
            if sum(len(other.received) for other in servers) == 1:
                gevent.sleep(30.0)
            return server.stream_reply(req)

        return reply

    for server in servers:
        server.replies.append(hang_first(server))
    check_whole(case, call_stream(fixture))
    case.assertEqual([len(server.received) for server in servers], [1, 1])
    wait_until(lambda: not fixture.daemon.placed_load.loads())


def test_takeover_ends_with_its_stream(case):
    """Guards against a request, or a placement, that outlives its stream while another
    server is about to take it over."""
    fixture = case.enterContext(entry_fixture(decode=("dec-1", "dec-2")))
    servers = [fixture.servers[name] for name in ("dec-1", "dec-2")]
    for server in servers:
        pause = pause_between_events(server, 30.0)
        server.replies.append(answer_unless_resumed(pause, hang))
    with connect(fixture.address) as sock:
        sock.sendall(stream_request("/resume/x"))
        wait_until(lambda: all(server.received for server in servers))
    wait_until(lambda: not fixture.daemon.placed_load.loads())


def test_silent_prefill_is_awaited_without_a_repeat(case):
    """Guards against refusing a stream whose prefill server is silent for a moment,
    because the repeat budget is used up."""
    fixture = case.enterContext(entry_fixture())
    fixture.daemon._budgets.configure(BudgetLimits(0.0, 0.0, 10.0))
    server = fixture.servers["pre-1"]

    def compute_late(req):
        gevent.sleep(SILENCE_S)
        return server.prefill_reply()

    server.replies.append(compute_late)
    check_whole(case, call_stream(fixture))
    case.assertEqual(len(server.received), 1)


load_tests = collect(globals())
