"""Streams through an entry daemon: prefill, decode, order and continuation."""

import gevent

from amaranthbay.fleet.reports import ServerLoad
from amaranthbay.platform.tests.fleet import (
    call_raw,
    connect,
    small_fleet,
    stream_request,
)
from amaranthbay.platform.tests.standins import Reply
from amaranthbay.relay.budget import BudgetLimits
from amaranthbay.relay.calls import Call
from amaranthbay.relay.codec import CallHead
from amaranthbay.relay.outcomes import REFUSED_BASE_S
from amaranthbay.routing import Stage
from amaranthbay.utils.testing import collect, wait_until


def events(first, last):
    """Returns the bytes of events by their ids."""
    return b"".join(
        f"id: {number}\ndata: piece {number}\n\n".encode()
        for number in range(first, last + 1)
    )


def test_prompt_is_computed_at_prefill_and_streamed_by_decode(case):
    """Guards against prompts that the decode servers have to compute."""
    fleet = case.enterContext(small_fleet())
    answer = call_raw(fleet.address, stream_request("/sum/x"))
    case.assertEqual((answer.status, answer.complete), (200, True))
    case.assertEqual(answer.body, events(1, 3))
    prefill = fleet.workers["pre-1"].received[0].headers
    decode = fleet.workers["dec-1"].received[0].headers
    case.assertEqual(prefill["x-serving-stage"], "prefill")
    case.assertEqual(decode["x-kv-source"], f"{fleet.addresses['pre-1']}/h0")
    case.assertNotIn("x-serving-stage", decode)
    wait_until(lambda: not fleet.daemon.ledger.loads())


def test_events_are_passed_on_as_they_arrive(case):
    """Guards against a stream that is collected before it is sent."""
    fleet = case.enterContext(small_fleet())
    server = fleet.workers["dec-1"]
    server.replies.append(lambda req: server.stream_reply(req, pause_s=0.5))
    with connect(fleet.address) as sock:
        sock.sendall(stream_request("/sum/x"))
        first = b""
        while b"piece 1" not in first:
            first += sock.recv(4096)
        case.assertNotIn(b"piece 3", first)


def test_broken_stream_never_looks_complete(case):
    """Guards against the end of a stream that its server has not sent."""
    fleet = case.enterContext(small_fleet())
    server = fleet.workers["dec-1"]
    server.replies.append(lambda req: server.stream_reply(req, last=2, cut=True))
    answer = call_raw(fleet.address, stream_request("/sum/x"))
    case.assertEqual((answer.status, answer.complete), (200, False))
    case.assertEqual(answer.body, events(1, 2))
    case.assertEqual(len(server.received), 1)


def test_resumable_stream_continues_at_another_server(case):
    """Guards against lost, repeated and torn events at the seam."""
    fleet = case.enterContext(small_fleet(decode=("dec-1", "dec-2")))
    for name in ("dec-1", "dec-2"):
        server = fleet.workers[name]
        server.event_count = 4
        server.replies.append(_break_off_unless_resumed(server))
    answer = call_raw(fleet.address, stream_request("/resume/x"))
    case.assertEqual((answer.status, answer.complete), (200, True))
    case.assertEqual(answer.body, events(1, 4))


def test_stream_is_not_continued_beyond_the_budget(case):
    """Guards against repeats of streams that the budget of the service forbids."""
    fleet = case.enterContext(small_fleet(decode=("dec-1", "dec-2")))
    fleet.daemon._budgets.configure(BudgetLimits(0.0, 0.0, 10.0))
    for name in ("dec-1", "dec-2"):
        server = fleet.workers[name]
        server.replies.append(
            lambda req, server=server: server.stream_reply(req, last=2, cut=True)
        )
    answer = call_raw(fleet.address, stream_request("/resume/x"))
    case.assertEqual((answer.body, answer.complete), (events(1, 2), False))
    received = [len(fleet.workers[name].received) for name in ("dec-1", "dec-2")]
    case.assertEqual(sum(received), 1)


def test_silent_server_loses_a_resumable_stream(case):
    """Guards against waiting for a server that has gone dark, and against giving a
    stream up since its first wait for a server was long ago."""
    fleet = case.enterContext(small_fleet(decode=("dec-1", "dec-2")))
    for name in ("dec-1", "dec-2"):
        server = fleet.workers[name]
        server.replies.append(_fall_silent_unless_resumed(server))
    answer = call_raw(fleet.address, stream_request("/resume/x"))
    case.assertEqual((answer.status, answer.complete), (200, True))
    case.assertEqual(answer.body, events(1, 3))


def _fall_silent_unless_resumed(server):
    """Returns a reply that sends one event and then nothing more."""

    def reply(req):
        if "last-event-id" in req.headers:
            return server.stream_reply(req)
        return server.signed_reply(req, chunks=(events(1, 1), b""), pauses=(0, 30))

    return reply


def _break_off_unless_resumed(server):
    """Returns a reply that breaks off in the middle of an event."""

    def reply(req):
        if "last-event-id" in req.headers:
            return server.stream_reply(req)
        torn = (events(1, 1), b"id: 2\ndata: pie")
        return server.signed_reply(req, chunks=torn, cut=True)

    return reply


def test_stream_whose_time_ends_at_a_silent_server_may_have_run(case):
    """Guards against a promise that a request has not run while its decode server
    still has it (seeds 1007 and 1010 of the soak)."""
    fleet = case.enterContext(small_fleet())
    server = fleet.workers["dec-1"]
    for path in ("/sum/x", "/resume/x"):
        server.replies.append(lambda req: gevent.sleep(2.0))
        deadline = (("X-Deadline-Ms", "400"),)
        answer = call_raw(fleet.address, stream_request(path, headers=deadline))
        case.assertEqual(answer.status, 504)
        case.assertEqual(server.received[-1].path, path)


def test_stream_that_may_not_run_twice_is_sent_to_one_decode_server(case):
    """Guards against a second run after a broken answer."""
    fleet = case.enterContext(small_fleet(decode=("dec-1", "dec-2")))
    for name in ("dec-1", "dec-2"):
        fleet.workers[name].replies.append(None)
    answer = call_raw(fleet.address, stream_request("/sum/x"))
    case.assertEqual(answer.status, 502)
    asked = [len(fleet.workers[name].received) for name in ("dec-1", "dec-2")]
    case.assertEqual(sum(asked), 1)


def test_attempts_that_are_left_do_not_repeat_a_stream(case):
    """Guards against a second run where the route would allow two attempts."""
    fleet = case.enterContext(small_fleet(decode=("dec-1", "dec-2")))
    servers = [fleet.workers[name] for name in ("dec-1", "dec-2")]
    for server in servers:
        server.replies.append(None)
    answer = call_raw(fleet.address, stream_request("/once/x"))
    case.assertEqual(answer.status, 502)
    case.assertEqual(sum(len(server.received) for server in servers), 1)


def test_refusal_after_a_lost_attempt_promises_nothing(case):
    """Guards against "not run" from the second server of a stream that the first one
    may have run."""
    fleet = case.enterContext(small_fleet(prefill=(), decode=("dec-1", "dec-2")))
    servers = [fleet.workers[name] for name in ("dec-1", "dec-2")]

    def break_off_first(server):
        def reply(req):
            first = sum(len(each.received) for each in servers) == 1
            return None if first else server.refusal()

        return reply

    for server in servers:
        server.replies.append(break_off_first(server))
    answer = call_raw(fleet.address, stream_request("/resume/x"))
    case.assertEqual([len(server.received) for server in servers], [1, 1])
    case.assertIn(answer.status, (502, 504))


def test_prompt_that_a_server_refuses_goes_to_another_one(case):
    """Guards against computing a prompt again since its decode server was full."""
    fleet = case.enterContext(small_fleet(decode=("dec-1", "dec-2")))
    full = Reply(503, (("X-Not-Executed", "1"),))
    first = []

    def refuse_first(server):
        return lambda req: (
            server.stream_reply(req) if first else first.append(1) or full
        )

    for name in ("dec-1", "dec-2"):
        server = fleet.workers[name]
        server.replies.append(refuse_first(server))
    answer = call_raw(fleet.address, stream_request("/resume/x"))
    case.assertEqual((answer.status, answer.body), (200, events(1, 3)))
    case.assertEqual(len(fleet.workers["pre-1"].received), 1)
    sent = [fleet.workers[name].received[0] for name in ("dec-1", "dec-2")]
    sources = {each.headers.get("x-kv-source") for each in sent}
    case.assertEqual(sources, {f"{fleet.addresses['pre-1']}/h0"})


def test_prefill_server_whose_handles_lapse_gets_no_more_prompts(case):
    """Guards against prompts that are read in vain, and streams that are refused, for
    as long as the KV cache of one prefill server can't be fetched."""
    fleet = case.enterContext(small_fleet(decode=("dec-1", "dec-2")))
    for name in ("dec-1", "dec-2"):
        server = fleet.workers[name]

        def answer(req, server=server):
            fetched = "x-kv-source" in req.headers
            return server.refusal() if fetched else server.stream_reply(req)

        server.replies.extend([answer] * 9)
    statuses = [
        call_raw(fleet.address, stream_request("/resume/x", attempt=f"a{n}")).status
        for n in range(5)
    ]
    case.assertEqual(statuses, [503, 200, 200, 200, 200])
    case.assertEqual(len(fleet.workers["pre-1"].received), 1)
    # A decode server is not to blame for what it could not fetch.
    case.assertEqual(fleet.daemon.ctx.outcomes.failure("dec-1"), 0.0)


def test_lost_prefill_leaves_an_attempt_for_the_decode_server(case):
    """Guards against refusing a stream of one attempt, seconds later, since the answer
    to its prefill was lost."""
    fleet = case.enterContext(small_fleet())
    answered = []
    for lost in (None, lambda req: gevent.sleep(5) or answered.append(req)):
        fleet.workers["pre-1"].replies.append(lost)
        answer = call_raw(fleet.address, stream_request("/sum/x"))
        case.assertEqual((answer.status, answer.body), (200, events(1, 3)))
        case.assertEqual(answered, [])
    case.assertEqual(len(fleet.workers["pre-1"].received), 2)


def test_decode_server_that_refuses_everything_is_left_out(case):
    """Guards against prompts that are read in vain for seconds, since the daemon has
    restarted and does not know that a decode server is on its way into the other
    pool."""
    fleet = case.enterContext(small_fleet(decode=("dec-1", "dec-2")))
    refuser = fleet.workers["dec-1"]
    refuser.replies.extend([refuser.refusal()] * 20)
    # All else being equal, the refusing server would be chosen.
    release = fleet.daemon.ledger.add("dec-2", ServerLoad(1, 3000, 0))
    case.addCleanup(release)
    statuses = [
        call_raw(fleet.address, stream_request("/resume/x", attempt=f"a{n}")).status
        for n in range(8)
    ]
    case.assertEqual(statuses, [200] * 8)
    case.assertEqual(len(refuser.received), 1)
    case.assertEqual(fleet.daemon.ctx.handles.distrusted(), frozenset())


def test_suspect_handle_is_not_offered_to_another_server(case):
    """Guards against using up a stream's attempts on KV cache that is gone."""
    fleet = case.enterContext(small_fleet(decode=("dec-1", "dec-2")))
    fleet.daemon.ctx.handles.missed("pre-1", "dec-0")
    for name in ("dec-1", "dec-2"):
        server = fleet.workers[name]

        def answer(req, server=server):
            fetched = "x-kv-source" in req.headers
            return server.refusal() if fetched else server.stream_reply(req)

        server.replies.extend([answer] * 2)
    answer = call_raw(fleet.address, stream_request("/resume/x"))
    case.assertEqual((answer.status, answer.body), (200, events(1, 3)))
    sent = [
        req.headers.get("x-kv-source")
        for name in ("dec-1", "dec-2")
        for req in fleet.workers[name].received
    ]
    case.assertEqual(sorted(sent, key=bool), [None, sent[0] or sent[1]])


def stream_call(daemon, prompt, age_s=0.0):
    """Returns a `Call` of a resumable stream that arrived some seconds ago."""
    table = daemon.configuration.table
    arrived_at = daemon.clock.monotonic() - age_s
    return Call(
        "a1",
        b"POST",
        b"/resume/x",
        (),
        b"",
        True,
        CallHead("a1", prompt_tokens=prompt),
        table.find("shop.example", "/resume/x"),
        table.services["lm"],
        arrived_at,
        arrived_at + age_s + 100.0,
    )


def test_small_stream_does_not_overtake_a_large_one_for_ever(case):
    """Guards against a large stream that never finds room, since each small one that
    comes later takes what is freed."""
    fleet = case.enterContext(small_fleet())
    daemon = fleet.daemon
    release = daemon.ledger.add("dec-1", ServerLoad(1, 5000, 0))
    # Longer ago than the head start that streams of little cost get.
    older = stream_call(daemon, prompt=6000, age_s=0.4)
    large = gevent.spawn(daemon.queue.place, older)
    wait_until(lambda: daemon.queue.length() == 1)
    small = gevent.spawn(daemon.queue.place, stream_call(daemon, prompt=2000))
    wait_until(lambda: daemon.queue.length() == 2)
    gevent.sleep(0.1)
    case.assertEqual(daemon.queue.length(), 2)
    release()
    for waiting in (large, small):
        placed = waiting.get(timeout=2.0)
        case.assertTrue(placed.is_ok())
        placed.unwrap().release()


def test_small_stream_uses_the_server_that_a_large_one_does_not_wait_for(case):
    """Guards against room that stays empty at several servers while a large stream
    waits for one of them."""
    fleet = case.enterContext(small_fleet(decode=("dec-1", "dec-2")))
    daemon = fleet.daemon
    release = daemon.ledger.add("dec-1", ServerLoad(1, 5000, 0))
    case.addCleanup(daemon.ledger.add("dec-2", ServerLoad(1, 6000, 0)))
    older = stream_call(daemon, prompt=6000, age_s=0.4)
    large = gevent.spawn(daemon.queue.place, older)
    wait_until(lambda: daemon.queue.length() == 1)
    placed = daemon.queue.place(stream_call(daemon, prompt=2000)).unwrap()
    case.assertEqual(placed.decode.name, "dec-2")
    case.assertEqual(daemon.queue.length(), 1)
    placed.release()
    release()
    found = large.get(timeout=2.0).unwrap()
    case.assertEqual(found.decode.name, "dec-1")
    found.release()


def test_continued_stream_waits_for_room_however_old_it_is(case):
    """Guards against giving up a stream whose server was lost after some time."""
    fleet = case.enterContext(small_fleet())
    daemon = fleet.daemon
    old = stream_call(daemon, prompt=100, age_s=100.0)
    release = daemon.ledger.add("dec-1", ServerLoad(1, 10000, 0))
    waiting = gevent.spawn(daemon.queue.place, old, frozenset(), False, True)
    wait_until(lambda: daemon.queue.length() == 1 or waiting.ready())
    release()
    placed = waiting.get()
    case.assertTrue(placed.is_ok())
    placed.unwrap().release()


def test_prefill_that_nobody_takes_is_freed(case):
    """Guards against KV cache that stays held after a refusal."""
    fleet = case.enterContext(small_fleet())
    full = Reply(503, (("X-Not-Executed", "1"),))
    fleet.workers["dec-1"].replies.append(full)
    answer = call_raw(fleet.address, stream_request("/sum/x"))
    case.assertEqual(answer.status, 503)
    case.assertIn("retry-after", answer.headers)
    wait_until(lambda: "DELETE /kv-handle/h0" in fleet.workers["pre-1"].control)


def test_computed_prompt_goes_to_another_decode_server(case):
    """Guards against computing a prompt again since its decode server is gone."""
    fleet = case.enterContext(small_fleet(decode=("dec-1",)))
    fleet.entry("dec-0", "lm", "decode", address="127.0.0.1:9")
    fleet.wait_for_servers("lm", 2, Stage.DECODE)
    for number in range(4):
        frame = stream_request("/sum/x", attempt=f"a{number}")
        case.assertEqual(call_raw(fleet.address, frame).status, 200)
    case.assertEqual(len(fleet.workers["pre-1"].received), 4)


def test_caller_that_leaves_during_prefill_frees_everything(case):
    """Guards against engine memory that is held for a caller who has gone."""
    fleet = case.enterContext(small_fleet())
    server = fleet.workers["dec-1"]
    server.replies.append(lambda req: gevent.sleep(5) or server.stream_reply(req))
    with connect(fleet.address) as sock:
        sock.sendall(stream_request("/sum/x"))
        wait_until(lambda: server.received)
    wait_until(lambda: not fleet.daemon.ledger.loads())
    wait_until(lambda: "DELETE /kv-handle/h0" in fleet.workers["pre-1"].control)


def test_decode_server_computes_the_prompt_without_prefill_servers(case):
    """Guards against refusing streams while the prefill pool is empty."""
    fleet = case.enterContext(small_fleet(prefill=()))
    answer = call_raw(fleet.address, stream_request("/sum/x"))
    case.assertEqual((answer.status, answer.body), (200, events(1, 3)))
    sent = fleet.workers["dec-1"].received[0].headers
    case.assertNotIn("x-kv-source", sent)


def test_room_is_reserved_before_the_prefill_under_pressure(case):
    """Guards against prompts computed for a decode server without room."""
    fleet = case.enterContext(small_fleet())
    release = fleet.daemon.ledger.add("dec-1", ServerLoad(1, 8000, 0))
    case.addCleanup(release)
    answer = call_raw(fleet.address, stream_request("/sum/x"))
    case.assertEqual(answer.status, 200)
    case.assertIn("POST /hold-take", fleet.workers["dec-1"].control)
    sent = fleet.workers["dec-1"].received[0].headers
    case.assertEqual(sent["x-kv-hold"], "k1")


def test_refused_reservation_computes_no_prompt(case):
    """Guards against a prefill whose result no server can take."""
    fleet = case.enterContext(small_fleet())
    release = fleet.daemon.ledger.add("dec-1", ServerLoad(1, 8000, 0))
    case.addCleanup(release)
    fleet.workers["dec-1"].hold_status = 503
    frame = stream_request("/sum/x", headers=(("X-Deadline-Ms", "800"),))
    answer = call_raw(fleet.address, frame)
    case.assertEqual(answer.status, 503)
    case.assertEqual(fleet.workers["pre-1"].received, [])


def test_stream_is_refused_at_once_without_decode_servers(case):
    """Guards against holding what can't be served until its deadline."""
    fleet = case.enterContext(small_fleet(decode=()))
    answer = call_raw(fleet.address, stream_request("/sum/x"))
    case.assertEqual(answer.status, 503)
    case.assertGreater(float(answer.headers["retry-after"]), 0)
    case.assertEqual(fleet.workers["pre-1"].received, [])


def test_switching_server_is_found_by_one_refusal(case):
    """Guards against prompts that are computed in vain for a server whose switch into
    the other pool a new process knows nothing of, one by one until the list shows it.
    """
    fleet = case.enterContext(small_fleet(decode=("dec-1", "dec-2")))
    server, peers = fleet.workers["dec-1"], fleet.daemon.peers
    server.busy = True
    server.replies.extend([server.refusal()] * 50)
    for number in range(30):
        call_raw(fleet.address, stream_request("/sum/x", f"a{number}"))
        gevent.sleep(0.02)
    case.assertEqual(len(server.received), 1)
    case.assertEqual(server.control.count("GET /report"), 1)
    case.assertEqual(peers.status().switching, {"dec-1": "prefill"})


def test_refusing_server_that_does_not_switch_is_tried_again(case):
    """Guards against leaving out a server for the time of a switch since it has
    refused once, and against a question for each refusal."""
    fleet = case.enterContext(small_fleet())
    server = fleet.workers["dec-1"]
    server.replies.extend([server.refusal()] * 2)
    call_raw(fleet.address, stream_request("/once/x"))
    gevent.sleep(REFUSED_BASE_S)
    call_raw(fleet.address, stream_request("/once/x", "a2"))
    case.assertEqual(server.control.count("GET /report"), 1)
    gevent.sleep(2 * REFUSED_BASE_S)
    answer = call_raw(fleet.address, stream_request("/once/x", "a3"))
    case.assertEqual((answer.status, answer.complete), (200, True))


load_tests = collect(globals())
