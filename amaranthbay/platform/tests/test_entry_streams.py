"""Streams through an entry daemon: prefill, decode, queue and resumption."""

from unittest import mock

import gevent

from amaranthbay.fleet.reports import PeerStatus, ServerLoad, encode_datagram
from amaranthbay.kernel.errors import CallerGone, Reason, not_run
from amaranthbay.platform.tests.fixtures import (
    call_raw,
    connect,
    entry_fixture,
    stream_request,
)
from amaranthbay.platform.tests.standins import Reply, ServerStandin
from amaranthbay.relay import wasted
from amaranthbay.relay.budget import BudgetLimits
from amaranthbay.relay.calls import Call
from amaranthbay.relay.codec import CallHead
from amaranthbay.relay.outcomes import REFUSED_BASE_S
from amaranthbay.routing import Stage
from amaranthbay.utils.decoding import decode_msgpack
from amaranthbay.utils.testing import collect, wait_until


def events(first, last):
    """Returns the bytes of the events from one id to another."""
    return b"".join(
        f"id: {number}\ndata: piece {number}\n\n".encode()
        for number in range(first, last + 1)
    )


def test_prefill_server_computes_the_prompt_and_decode_server_streams(case):
    """Guards against leaving the prefill of a prompt to the decode servers."""
    fixture = case.enterContext(entry_fixture())
    answer = call_raw(fixture.address, stream_request("/sum/x"))
    case.assertEqual((answer.status, answer.complete), (200, True))
    case.assertEqual(answer.body, events(1, 3))
    prefill = fixture.servers["pre-1"].received[0].headers
    decode = fixture.servers["dec-1"].received[0].headers
    case.assertEqual(prefill["x-serving-stage"], "prefill")
    case.assertEqual(decode["x-kv-source"], f"{fixture.addresses['pre-1']}/h0")
    case.assertNotIn("x-serving-stage", decode)
    wait_until(lambda: not fixture.daemon.placed_load.loads())


def test_events_are_forwarded_as_they_arrive(case):
    """Guards against a stream that is buffered before it is sent."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["dec-1"]
    server.replies.append(lambda req: server.stream_reply(req, pause_s=0.5))
    with connect(fixture.address) as sock:
        sock.sendall(stream_request("/sum/x"))
        received = b""
        while b"piece 1" not in received:
            received += sock.recv(4096)
        case.assertNotIn(b"piece 3", received)


def test_broken_stream_never_looks_complete(case):
    """Guards against sending the end of a stream that its server did not send."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["dec-1"]
    server.replies.append(lambda req: server.stream_reply(req, last=2, cut=True))
    answer = call_raw(fixture.address, stream_request("/sum/x"))
    case.assertEqual((answer.status, answer.complete), (200, False))
    case.assertEqual(answer.body, events(1, 2))
    case.assertEqual(len(server.received), 1)


def test_resumable_stream_continues_at_another_server(case):
    """Guards against lost, repeated or incomplete events when a stream is resumed."""
    fixture = case.enterContext(entry_fixture(decode=("dec-1", "dec-2")))
    for name in ("dec-1", "dec-2"):
        server = fixture.servers[name]
        server.event_count = 4
        server.replies.append(_break_off_unless_resumed(server))
    answer = call_raw(fixture.address, stream_request("/resume/x"))
    case.assertEqual((answer.status, answer.complete), (200, True))
    case.assertEqual(answer.body, events(1, 4))


def test_stream_is_not_resumed_beyond_the_budget(case):
    """Guards against retries of streams beyond the budget of the service."""
    fixture = case.enterContext(entry_fixture(decode=("dec-1", "dec-2")))
    fixture.daemon._budgets.configure(BudgetLimits(0.0, 0.0, 10.0))
    for name in ("dec-1", "dec-2"):
        server = fixture.servers[name]
        server.replies.append(
            lambda req, server=server: server.stream_reply(req, last=2, cut=True)
        )
    answer = call_raw(fixture.address, stream_request("/resume/x"))
    case.assertEqual((answer.body, answer.complete), (events(1, 2), False))
    received = [len(fixture.servers[name].received) for name in ("dec-1", "dec-2")]
    case.assertEqual(sum(received), 1)


def test_resumable_stream_moves_away_from_a_silent_server(case):
    """Guards against waiting for a server that sends nothing more, and against giving
    up a stream because it first waited for a server long ago."""
    fixture = case.enterContext(entry_fixture(decode=("dec-1", "dec-2")))
    for name in ("dec-1", "dec-2"):
        server = fixture.servers[name]
        server.replies.append(_fall_silent_unless_resumed(server))
    answer = call_raw(fixture.address, stream_request("/resume/x"))
    case.assertEqual((answer.status, answer.complete), (200, True))
    case.assertEqual(answer.body, events(1, 3))


def _fall_silent_unless_resumed(server):
    """Returns a reply that sends one event and then nothing, unless it resumes."""

    def reply(req):
        if "last-event-id" in req.headers:
            return server.stream_reply(req)
        return server.stamped_reply(req, chunks=(events(1, 1), b""), pauses=(0, 30))

    return reply


def _break_off_unless_resumed(server):
    """Returns a reply that ends within the second event, unless it resumes."""

    def reply(req):
        if "last-event-id" in req.headers:
            return server.stream_reply(req)
        parts = (events(1, 1), b"id: 2\ndata: pie")
        return server.stamped_reply(req, chunks=parts, cut=True)

    return reply


def test_stream_whose_time_ends_at_a_silent_server_may_have_run(case):
    """Guards against a status which says that a request did not run while its decode
    server still has it (seeds 1007 and 1010 of the soak test)."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["dec-1"]
    for path in ("/sum/x", "/resume/x"):
        server.replies.append(lambda req: gevent.sleep(2.0))
        deadline = (("X-Deadline-Ms", "400"),)
        answer = call_raw(fixture.address, stream_request(path, headers=deadline))
        case.assertEqual(answer.status, 504)
        case.assertEqual(server.received[-1].path, path)


def test_stream_that_may_not_run_twice_is_sent_to_one_decode_server(case):
    """Guards against a second run after a lost answer."""
    fixture = case.enterContext(entry_fixture(decode=("dec-1", "dec-2")))
    for name in ("dec-1", "dec-2"):
        fixture.servers[name].replies.append(None)
    answer = call_raw(fixture.address, stream_request("/sum/x"))
    case.assertEqual(answer.status, 502)
    received = [len(fixture.servers[name].received) for name in ("dec-1", "dec-2")]
    case.assertEqual(sum(received), 1)


def test_remaining_attempts_do_not_repeat_a_stream(case):
    """Guards against a second run although the route allows two attempts."""
    fixture = case.enterContext(entry_fixture(decode=("dec-1", "dec-2")))
    servers = [fixture.servers[name] for name in ("dec-1", "dec-2")]
    for server in servers:
        server.replies.append(None)
    answer = call_raw(fixture.address, stream_request("/once/x"))
    case.assertEqual(answer.status, 502)
    case.assertEqual(sum(len(server.received) for server in servers), 1)


def test_refusal_after_a_lost_attempt_is_not_reported_as_not_run(case):
    """Guards against a status which says that a stream did not run: its second server
    refused it, but the first one may have run it."""
    fixture = case.enterContext(entry_fixture(prefill=(), decode=("dec-1", "dec-2")))
    servers = [fixture.servers[name] for name in ("dec-1", "dec-2")]

    def break_off_first(server):
        def reply(req):
            is_first = sum(len(other.received) for other in servers) == 1
            return None if is_first else server.refusal()

        return reply

    for server in servers:
        server.replies.append(break_off_first(server))
    answer = call_raw(fixture.address, stream_request("/resume/x"))
    case.assertEqual([len(server.received) for server in servers], [1, 1])
    case.assertIn(answer.status, (502, 504))


def test_prompt_that_a_server_refuses_goes_to_another_one(case):
    """Guards against computing a prompt again because its decode server was full."""
    fixture = case.enterContext(entry_fixture(decode=("dec-1", "dec-2")))
    refusal = Reply(503, (("X-Not-Executed", "1"),))
    refused = []

    def refuse_first(server):
        return lambda req: (
            server.stream_reply(req) if refused else refused.append(1) or refusal
        )

    for name in ("dec-1", "dec-2"):
        server = fixture.servers[name]
        server.replies.append(refuse_first(server))
    answer = call_raw(fixture.address, stream_request("/resume/x"))
    case.assertEqual((answer.status, answer.body), (200, events(1, 3)))
    case.assertEqual(len(fixture.servers["pre-1"].received), 1)
    requests = [fixture.servers[name].received[0] for name in ("dec-1", "dec-2")]
    sources = {req.headers.get("x-kv-source") for req in requests}
    case.assertEqual(sources, {f"{fixture.addresses['pre-1']}/h0"})


def test_negative_size_of_a_prompt_does_not_spoil_reports(case):
    """Guards against reports that other instances refuse as a whole, since a prefill
    server has named a negative number of tokens."""
    fixture = case.enterContext(entry_fixture(prefill=("pre-1", "pre-2")))
    body = b'{"KvHandle": "h1", "Tokens": -1000000, "Version": 1}'
    replies = fixture.servers["pre-1"].replies
    fixture.servers["pre-2"].replies = replies
    replies.append(Reply(200, (("Content-Type", "application/json"),), body))
    answer = call_raw(fixture.address, stream_request("/resume/x"))
    case.assertEqual((answer.status, answer.complete), (200, True))
    report = encode_datagram(fixture.daemon.peers.next_report())
    case.assertTrue(decode_msgpack(report, PeerStatus).is_ok())


def test_prefill_server_whose_handles_lapse_gets_no_more_prompts(case):
    """Guards against useless prefills and refused streams while decode servers can't
    fetch KV cache from one prefill server."""
    fixture = case.enterContext(entry_fixture(decode=("dec-1", "dec-2")))
    for name in ("dec-1", "dec-2"):
        server = fixture.servers[name]

        def answer(req, server=server):
            fetched = "x-kv-source" in req.headers
            return server.refusal() if fetched else server.stream_reply(req)

        server.replies.extend([answer] * 9)
    statuses = [
        call_raw(fixture.address, stream_request("/resume/x", attempt=f"a{n}")).status
        for n in range(5)
    ]
    case.assertEqual(statuses, [503, 200, 200, 200, 200])
    case.assertEqual(len(fixture.servers["pre-1"].received), 1)
    # A failed fetch does not count as a failure of the decode server.
    case.assertEqual(fixture.daemon.ctx.outcomes.failure_share("dec-1"), 0.0)


def test_lost_prefill_leaves_an_attempt_for_the_decode_server(case):
    """Guards against refusing a stream with a single attempt, after seconds of waiting,
    because the answer to its prefill was lost."""
    fixture = case.enterContext(entry_fixture())
    answered = []
    for lost_reply in (None, lambda req: gevent.sleep(5) or answered.append(req)):
        fixture.servers["pre-1"].replies.append(lost_reply)
        answer = call_raw(fixture.address, stream_request("/sum/x"))
        case.assertEqual((answer.status, answer.body), (200, events(1, 3)))
        case.assertEqual(answered, [])
    case.assertEqual(len(fixture.servers["pre-1"].received), 2)


def test_decode_server_that_refuses_everything_is_left_out(case):
    """Guards against useless prefills for seconds after a restart of the daemon, which
    does not know that a decode server is switching to the other pool."""
    fixture = case.enterContext(entry_fixture(decode=("dec-1", "dec-2")))
    refusing_server = fixture.servers["dec-1"]
    refusing_server.replies.extend([refusing_server.refusal()] * 20)
    # This load makes the refusing server the better choice.
    release = fixture.daemon.placed_load.add("dec-2", ServerLoad(1, 3000, 0))
    case.addCleanup(release)
    statuses = [
        call_raw(fixture.address, stream_request("/resume/x", attempt=f"a{n}")).status
        for n in range(8)
    ]
    case.assertEqual(statuses, [200] * 8)
    case.assertEqual(len(refusing_server.received), 1)
    case.assertEqual(fixture.daemon.ctx.handles.distrusted(), frozenset())


def test_causes_of_wasted_prefills_are_told_apart(case):
    """Guards against prompts that are computed in vain without a trace of the cause,
    and against counting those that are decoded."""
    logged = case.enterContext(mock.patch.object(wasted, "log_event"))
    refusal = ServerStandin("dec-1").refusal()
    for replies, causes in (
        ([], []),
        ([refusal], ["server_refused"]),
        ([None], ["server_lost"]),
    ):
        fixture = case.enterContext(entry_fixture())
        fixture.servers["dec-1"].replies.extend(replies)
        logged.reset_mock()
        call_raw(fixture.address, stream_request("/once/x"))
        found = [entry.kwargs["cause"] for entry in logged.call_args_list]
        case.assertEqual(found, causes)
    refused = not_run(Reason.BACKEND_REFUSED, "", 503)
    for refusal, exc, age_s, cause in (
        (None, CallerGone("gone"), 0.1, "caller_left"),
        (None, gevent.Timeout(), 0.1, "deadline_passed"),
        (refused, None, 0.6, "kv_cache_expired"),
    ):
        case.assertEqual(wasted.waste_cause(refusal, exc, age_s, 0.5), cause)


def test_suspect_handle_is_not_offered_to_another_server(case):
    """Guards against using up the attempts of a stream on KV cache that is gone."""
    fixture = case.enterContext(entry_fixture(decode=("dec-1", "dec-2")))
    fixture.daemon.ctx.handles.note_fetch_refused("pre-1", "dec-0")
    for name in ("dec-1", "dec-2"):
        server = fixture.servers[name]

        def answer(req, server=server):
            fetched = "x-kv-source" in req.headers
            return server.refusal() if fetched else server.stream_reply(req)

        server.replies.extend([answer] * 2)
    answer = call_raw(fixture.address, stream_request("/resume/x"))
    case.assertEqual((answer.status, answer.body), (200, events(1, 3)))
    sources = [
        req.headers.get("x-kv-source")
        for name in ("dec-1", "dec-2")
        for req in fixture.servers[name].received
    ]
    case.assertEqual(sorted(sources, key=bool), [None, sources[0] or sources[1]])


def stream_call(daemon, prompt_tokens, age_s=0.0):
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
        CallHead("a1", prompt_tokens=prompt_tokens),
        table.find("shop.example", "/resume/x"),
        table.services["lm"],
        arrived_at,
        arrived_at + age_s + 100.0,
    )


def test_small_streams_do_not_starve_a_large_one(case):
    """Guards against a large stream that starves because later small ones take the
    memory that is freed."""
    fixture = case.enterContext(entry_fixture())
    daemon = fixture.daemon
    release = daemon.placed_load.add("dec-1", ServerLoad(1, 5000, 0))
    # The large stream has waited longer than the head start that cheap streams get.
    large_call = stream_call(daemon, prompt_tokens=6000, age_s=0.4)
    large = gevent.spawn(daemon.queue.place, large_call)
    wait_until(lambda: daemon.queue.length() == 1)
    small = gevent.spawn(daemon.queue.place, stream_call(daemon, prompt_tokens=2000))
    wait_until(lambda: daemon.queue.length() == 2)
    gevent.sleep(0.1)
    case.assertEqual(daemon.queue.length(), 2)
    release()
    for job in (large, small):
        placed = job.get(timeout=2.0)
        case.assertTrue(placed.is_ok())
        placed.unwrap().release()


def test_small_stream_uses_the_server_that_a_large_one_does_not_wait_for(case):
    """Guards against memory that stays unused at several servers while a large stream
    waits for one of them."""
    fixture = case.enterContext(entry_fixture(decode=("dec-1", "dec-2")))
    daemon = fixture.daemon
    release = daemon.placed_load.add("dec-1", ServerLoad(1, 5000, 0))
    case.addCleanup(daemon.placed_load.add("dec-2", ServerLoad(1, 6000, 0)))
    large_call = stream_call(daemon, prompt_tokens=6000, age_s=0.4)
    large = gevent.spawn(daemon.queue.place, large_call)
    wait_until(lambda: daemon.queue.length() == 1)
    placed_small = daemon.queue.place(stream_call(daemon, prompt_tokens=2000)).unwrap()
    case.assertEqual(placed_small.decode.name, "dec-2")
    case.assertEqual(daemon.queue.length(), 1)
    placed_small.release()
    release()
    placed_large = large.get(timeout=2.0).unwrap()
    case.assertEqual(placed_large.decode.name, "dec-1")
    placed_large.release()


def test_resumed_stream_waits_for_memory_however_old_it_is(case):
    """Guards against giving up a resumed stream because it arrived long ago."""
    fixture = case.enterContext(entry_fixture())
    daemon = fixture.daemon
    old_call = stream_call(daemon, prompt_tokens=100, age_s=100.0)
    release = daemon.placed_load.add("dec-1", ServerLoad(1, 10000, 0))
    # The last argument says that the caller already has events of the stream.
    job = gevent.spawn(daemon.queue.place, old_call, frozenset(), False, True)
    wait_until(lambda: daemon.queue.length() == 1 or job.ready())
    release()
    placed = job.get()
    case.assertTrue(placed.is_ok())
    placed.unwrap().release()


def test_unused_prefill_is_released(case):
    """Guards against KV cache that is not released after a refusal."""
    fixture = case.enterContext(entry_fixture())
    refusal = Reply(503, (("X-Not-Executed", "1"),))
    fixture.servers["dec-1"].replies.append(refusal)
    answer = call_raw(fixture.address, stream_request("/sum/x"))
    case.assertEqual(answer.status, 503)
    case.assertIn("retry-after", answer.headers)
    wait_until(lambda: "DELETE /kv-handle/h0" in fixture.servers["pre-1"].control_calls)


def test_computed_prompt_goes_to_another_decode_server(case):
    """Guards against computing a prompt again because one decode server is
    unreachable."""
    fixture = case.enterContext(entry_fixture(decode=("dec-1",)))
    fixture.write_entry("dec-0", "lm", "decode", address="127.0.0.1:9")
    fixture.wait_for_servers("lm", 2, Stage.DECODE)
    for number in range(4):
        raw_request = stream_request("/sum/x", attempt=f"a{number}")
        case.assertEqual(call_raw(fixture.address, raw_request).status, 200)
    case.assertEqual(len(fixture.servers["pre-1"].received), 4)


def test_computed_prompt_reserves_memory_at_another_decode_server(case):
    """Guards against overcommitting a server with the prompts that others refuse."""
    fixture = case.enterContext(entry_fixture(decode=("dec-1", "dec-2")))
    release = fixture.daemon.placed_load.add("dec-2", ServerLoad(1, 8000, 0))
    case.addCleanup(release)
    first, second = fixture.servers["dec-1"], fixture.servers["dec-2"]
    first.replies.append(first.refusal())
    answer = call_raw(fixture.address, stream_request("/once/x"))
    case.assertEqual(answer.status, 200)
    case.assertEqual(second.received[0].headers["x-kv-hold"], "k1")


def test_caller_that_leaves_before_the_first_event_releases_everything(case):
    """Guards against engine memory that stays reserved for a caller who has left."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["dec-1"]
    server.replies.append(lambda req: gevent.sleep(5) or server.stream_reply(req))
    with connect(fixture.address) as sock:
        sock.sendall(stream_request("/sum/x"))
        wait_until(lambda: server.received)
    wait_until(lambda: not fixture.daemon.placed_load.loads())
    wait_until(lambda: "DELETE /kv-handle/h0" in fixture.servers["pre-1"].control_calls)


def test_decode_server_computes_the_prompt_without_prefill_servers(case):
    """Guards against refusing streams while the prefill pool is empty."""
    fixture = case.enterContext(entry_fixture(prefill=()))
    answer = call_raw(fixture.address, stream_request("/sum/x"))
    case.assertEqual((answer.status, answer.body), (200, events(1, 3)))
    sent = fixture.servers["dec-1"].received[0].headers
    case.assertNotIn("x-kv-source", sent)


def test_scarce_memory_is_reserved_before_the_prefill(case):
    """Guards against a prefill for a decode server without free memory."""
    fixture = case.enterContext(entry_fixture())
    release = fixture.daemon.placed_load.add("dec-1", ServerLoad(1, 8000, 0))
    case.addCleanup(release)
    answer = call_raw(fixture.address, stream_request("/sum/x"))
    case.assertEqual(answer.status, 200)
    case.assertIn("POST /hold-take", fixture.servers["dec-1"].control_calls)
    sent = fixture.servers["dec-1"].received[0].headers
    case.assertEqual(sent["x-kv-hold"], "k1")


def test_refused_reservation_prevents_the_prefill(case):
    """Guards against a prefill whose KV cache no decode server can take."""
    fixture = case.enterContext(entry_fixture())
    release = fixture.daemon.placed_load.add("dec-1", ServerLoad(1, 8000, 0))
    case.addCleanup(release)
    fixture.servers["dec-1"].hold_status = 503
    raw_request = stream_request("/sum/x", headers=(("X-Deadline-Ms", "800"),))
    answer = call_raw(fixture.address, raw_request)
    case.assertEqual(answer.status, 503)
    case.assertEqual(fixture.servers["pre-1"].received, [])


def test_stream_is_refused_at_once_without_decode_servers(case):
    """Guards against holding a stream that can't be served until its deadline."""
    fixture = case.enterContext(entry_fixture(decode=()))
    answer = call_raw(fixture.address, stream_request("/sum/x"))
    case.assertEqual(answer.status, 503)
    case.assertGreater(float(answer.headers["retry-after"]), 0)
    case.assertEqual(fixture.servers["pre-1"].received, [])


def test_one_refusal_reveals_a_server_that_switches_its_stage(case):
    """Guards against repeated useless prefills for a decode server that is switching to
    the other pool: a new process does not know of the switch until the entry of the
    server shows it."""
    fixture = case.enterContext(entry_fixture(decode=("dec-1", "dec-2")))
    server, peers = fixture.servers["dec-1"], fixture.daemon.peers
    server.busy = True
    server.replies.extend([server.refusal()] * 50)
    for number in range(30):
        call_raw(fixture.address, stream_request("/sum/x", f"a{number}"))
        gevent.sleep(0.02)
    case.assertEqual(len(server.received), 1)
    case.assertEqual(server.control_calls.count("GET /report"), 1)
    case.assertEqual(peers.next_report().switching, {"dec-1": "prefill"})


def test_refusing_server_that_does_not_switch_is_tried_again(case):
    """Guards against avoiding a server for the time of a switch because it refused
    once, and against asking for its stage after each refusal."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["dec-1"]
    server.replies.extend([server.refusal()] * 2)
    call_raw(fixture.address, stream_request("/once/x"))
    gevent.sleep(REFUSED_BASE_S)
    call_raw(fixture.address, stream_request("/once/x", "a2"))
    case.assertEqual(server.control_calls.count("GET /report"), 1)
    gevent.sleep(2 * REFUSED_BASE_S)
    answer = call_raw(fixture.address, stream_request("/once/x", "a3"))
    case.assertEqual((answer.status, answer.complete), (200, True))


load_tests = collect(globals())
