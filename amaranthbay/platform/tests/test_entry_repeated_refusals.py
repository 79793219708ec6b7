"""Refusals and control answers that a server writes once more on a kept connection."""

from amaranthbay.fleet.reports import ServerLoad
from amaranthbay.platform.tests.fixtures import (
    call,
    call_raw,
    entry_fixture,
    stream_request,
)
from amaranthbay.platform.tests.standins import Reply
from amaranthbay.relay.codec import StageOrder
from amaranthbay.relay.exchange import control_exchange
from amaranthbay.routing import Stage
from amaranthbay.utils.testing import collect, wait_until

HEAD_200 = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: s\r\n"
REFUSAL = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
# Largest load of a decode server with which its room is in doubt, so that a hold is
# taken.
SCARCE = ServerLoad(1, 8000, 0)


def named_refusal(req):
    """Returns a refusal that names the attempt which it answers."""
    attempt = ("X-Attempt-Id", req.headers["x-attempt-id"])
    return Reply(503, (attempt, ("X-Not-Executed", "1")))


def attempts(server):
    """Returns the attempt ids of the requests that a server has received."""
    return [req.headers["x-attempt-id"] for req in server.received]


def control(fixture, name, request):
    """Returns the ``Result`` of a control call to a server: status and body."""
    ctx = fixture.daemon.ctx
    server = next(s for s in ctx.backends.usable("lm") if s.name == name)
    method, path, body = (*request, b"")[:3]
    return control_exchange(ctx.connections, ctx.codec, server, method, path, body, 2.0)


def test_repeated_refusal_does_not_refuse_a_call_that_runs(case):
    """Guards against a 503 for a non-idempotent call that its server has run."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["desk-1"]
    for refusal in (server.refusal(), server.refusal(429), named_refusal):
        server.received.clear()
        server.repeats = 0
        server.replies.append(refusal)
        case.assertEqual(call(fixture, "/book/x", "POST", b"1").status, 503)
        server.repeats = 1
        answer = call(fixture, "/book/x", "POST", b"1", attempt="a2")
        case.assertEqual((answer.status, attempts(server)), (200, ["a1", "a2"]))


def test_repeated_refusal_does_not_lead_to_a_second_run(case):
    """Guards against a non-idempotent call that runs at two servers."""
    fixture = case.enterContext(entry_fixture(plain=("desk-1", "desk-2")))
    servers = [fixture.servers[name] for name in ("desk-1", "desk-2")]
    for server in servers:
        server.replies.append(server.refusal())
    case.assertEqual(call(fixture, "/pay/x", "POST", b"1").status, 503)
    for server in servers:
        server.repeats = 1
    answer = call(fixture, "/pay/x", "POST", b"1", attempt="a2")
    received = [attempt for server in servers for attempt in attempts(server)]
    case.assertEqual(sorted(received), ["a1", "a1", "a2"])
    case.assertEqual(answer.status, 200)


def test_repeated_refusal_of_the_same_attempt_does_not_refuse_its_retry(case):
    """Guards against a 503 for a call that its caller has sent again under the same
    attempt id: the id doesn't tell the repeated refusal from the answer."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["desk-1"]
    server.replies.append(named_refusal)
    case.assertEqual(call(fixture, "/book/x", "POST", b"1").status, 503)
    # Another answer follows on the connection before the attempt comes back.
    case.assertEqual(call(fixture, "/look/x", attempt="a2").status, 200)
    server.repeats = 2
    answer = call(fixture, "/book/x", "POST", b"1")
    case.assertEqual((answer.status, attempts(server)), (200, ["a1", "a2", "a1"]))


def test_refusals_that_name_their_attempts_keep_the_connection(case):
    """Guards against a new connection for each refused call during an overload."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["desk-1"]
    server.repeats = 1
    opened = []
    fixture.daemon.ctx.connections._on_open = opened.append
    for number in range(10):
        server.replies.append(named_refusal)
        answer = call(fixture, "/book/x", "POST", b"1", attempt=f"a{number}")
        case.assertEqual(answer.status, 503)
    case.assertEqual(len(opened), 1)


def test_repeated_refusal_of_a_prefill_does_not_refuse_the_next_one(case):
    """Guards against a stream that is refused, and a handle that the next stream takes
    for its own, because a prefill server repeats a refusal."""
    fixture = case.enterContext(entry_fixture())
    prefill, decode = fixture.servers["pre-1"], fixture.servers["dec-1"]
    prefill.replies.append(prefill.refusal())
    call_raw(fixture.address, stream_request("/sum/x"))
    wait_until(lambda: not fixture.daemon.ctx.outcomes.is_full("pre-1"))
    prefill.repeats = 1
    answer = call_raw(fixture.address, stream_request("/sum/x", "a2"))
    case.assertEqual((answer.status, answer.complete), (200, True))
    case.assertEqual(attempts(prefill), ["a1", "a2"])
    source = decode.received[-1].headers["x-kv-source"]
    case.assertEqual(source, f"{fixture.addresses['pre-1']}/h0")


def test_repeated_refusal_of_a_prefill_does_not_refuse_the_decode(case):
    """Guards against a 503 for a stream that runs at a server which has refused its
    prefill under the same attempt id, before it moved to the other pool."""
    fixture = case.enterContext(entry_fixture())
    ctx, server = fixture.daemon.ctx, fixture.servers["pre-1"]
    # The query for a switch would use up the connection.
    ctx.switches.may_query("pre-1")
    server.replies.append(named_refusal)
    call_raw(fixture.address, stream_request("/sum/x"))
    case.assertEqual(len(ctx.connections._idle["pre-1"]), 1)
    fixture.write_entry("pre-1", "lm", "decode", Sequence=2)
    fixture.write_entry("dec-1", "lm", "prefill", Sequence=2)
    fixture.wait_for_servers("lm", 1, Stage.DECODE)
    wait_until(lambda: ctx.backends.usable("lm", Stage.DECODE)[0].name == "pre-1")
    wait_until(lambda: not ctx.outcomes.is_full("pre-1"))
    server.repeats = 1
    answer = call_raw(fixture.address, stream_request("/sum/x"))
    case.assertEqual((answer.status, answer.complete), (200, True))
    case.assertIn("x-kv-source", server.received[-1].headers)


def test_repeated_refusal_does_not_refuse_the_second_try_at_a_decode_server(case):
    """Guards against a 503 or 502 for a stream that runs, because its decode server
    repeats the refusal of the first try, which has the same attempt id, or the answer
    to a control call."""
    fixture = case.enterContext(entry_fixture())
    decode = fixture.servers["dec-1"]
    decode.replies.append(
        lambda req: setattr(decode, "repeats", 1) or named_refusal(req)
    )
    answer = call_raw(fixture.address, stream_request("/once/x"))
    case.assertEqual((answer.status, answer.complete), (200, True))
    case.assertEqual(attempts(decode), ["a1", "a1"])


def test_repeated_refusal_of_a_hold_does_not_refuse_a_stream_that_runs(case):
    """Guards against a 503 for a stream whose decode server runs it, because the
    connection has carried a refused control call before."""
    fixture = case.enterContext(entry_fixture())
    decode = fixture.servers["dec-1"]
    release = fixture.daemon.placed_load.add("dec-1", SCARCE)
    decode.hold_status = 503
    deadline = (("X-Deadline-Ms", "300"),)
    answer = call_raw(fixture.address, stream_request("/sum/x", headers=deadline))
    case.assertEqual((answer.status, decode.received), (503, []))
    release()
    decode.repeats = 1
    answer = call_raw(fixture.address, stream_request("/sum/x", "a2"))
    case.assertEqual((answer.status, answer.complete), (200, True))


def test_repeated_answers_of_control_calls_answer_no_other_control_call(case):
    """Guards against a hold that nobody uses, a state of long ago and an order that
    counts as accepted, because a server repeats an answer without an id."""
    fixture = case.enterContext(entry_fixture())
    decode, codec = fixture.servers["dec-1"], fixture.daemon.ctx.codec
    hold, report = codec.hold_request(10, 1.0), codec.report_request()
    order = codec.order_request(StageOrder(Stage.PREFILL, "entry-1", 1, 4))
    decode.hold_status = 503
    control(fixture, "dec-1", hold)
    decode.repeats, decode.hold_status = 1, 200
    case.assertEqual(control(fixture, "dec-1", hold).unwrap()[0], 200)
    case.assertIn(b'"Busy":false', control(fixture, "dec-1", report).unwrap()[1])
    decode.busy = True
    case.assertIn(b'"Busy":true', control(fixture, "dec-1", report).unwrap()[1])
    case.assertEqual(control(fixture, "dec-1", order).unwrap()[0], 202)
    decode.hold_status = 503
    case.assertEqual(control(fixture, "dec-1", hold).unwrap()[0], 503)


def test_repeated_refusal_of_a_call_does_not_answer_a_control_call(case):
    """Guards against a hold that is taken but counts as refused."""
    fixture = case.enterContext(entry_fixture())
    decode, codec = fixture.servers["dec-1"], fixture.daemon.ctx.codec
    for refusal in (decode.refusal(), named_refusal):
        decode.repeats = 0
        decode.replies.append(refusal)
        call_raw(fixture.address, stream_request("/sum/x"))
        decode.repeats = 1
        hold = control(fixture, "dec-1", codec.hold_request(10, 1.0))
        case.assertEqual(hold.unwrap()[0], 200)


def test_repeated_refusal_after_the_answer_began_refuses_nothing(case):
    """Guards against a stream that looks complete, is refused or is sent once more,
    because a refusal follows on its head."""
    fixture = case.enterContext(entry_fixture(decode=("dec-1", "dec-2")))
    servers = [fixture.servers[name] for name in ("dec-1", "dec-2")]
    head = HEAD_200 % b"a1" + b"Transfer-Encoding: chunked\r\n\r\n"
    event = b"id: 1\ndata: piece 1\n\n"
    raw = head + b"%x\r\n%s\r\n" % (len(event), event) + REFUSAL
    for server in servers:
        server.replies.append(Reply(raw=raw))
    answer = call_raw(fixture.address, stream_request("/once/x"))
    case.assertEqual((answer.status, answer.body), (200, event))
    case.assertFalse(answer.complete)
    case.assertEqual(sum(len(server.received) for server in servers), 1)


def test_repeated_refusal_after_the_answer_ended_refuses_nothing(case):
    """Guards against a refusal right behind an answer that is taken for the next one's
    answer."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["desk-1"]
    for number in range(6):
        server.replies.append(lambda req: server.stamped_reply(req, extra=REFUSAL))
        answer = call(fixture, "/book/x", "POST", b"1", attempt=f"a{number}")
        case.assertEqual(answer.status, 200)
    case.assertEqual(len(server.received), 6)


def test_repeated_interim_answers_are_skipped_with_a_repeated_refusal(case):
    """Guards against interim heads that hide or become the answer."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["desk-1"]
    interim = b"HTTP/1.1 100 Continue\r\nX-Not-Executed: 1\r\n\r\n"
    named = REFUSAL.replace(b"X-Not", b"X-Attempt-Id: old\r\nX-Not")
    own = HEAD_200 % b"a1" + b"Content-Length: 3\r\n\r\nown"
    raw = interim * 2 + named + interim + named + interim * 2 + own
    server.replies.append(Reply(raw=raw))
    answer = call(fixture, "/book/x", "POST", b"1")
    case.assertEqual((answer.status, answer.body), (200, b"own"))


load_tests = collect(globals())
