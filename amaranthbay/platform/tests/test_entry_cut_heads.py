"""Servers, and a store, whose connection ends within the head of an answer."""

from collections import deque
from types import SimpleNamespace

from amaranthbay.platform.rows import RowStore
from amaranthbay.platform.tests.fixtures import (
    call,
    call_raw,
    configuration,
    entry_fixture,
    request,
    stream_request,
)
from amaranthbay.platform.tests.standins import Reply, serve_http
from amaranthbay.platform.tests.test_entry_silence import pause_between_events
from amaranthbay.platform.tests.test_entry_stream_errors import (
    begin_then,
    break_off,
    continued_answer,
    events,
    read_to_end,
)
from amaranthbay.platform.types import CommitState, PlatformFailure
from amaranthbay.relay.budget import BudgetLimits
from amaranthbay.relay.codec import StageOrder
from amaranthbay.relay.exchange import control_exchange
from amaranthbay.routing import Stage
from amaranthbay.utils.testing import collect, wait_until

INTERIM_HEAD = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
# The framing comes before or after the headers that make an answer the server's own.
STAMP = b"X-Attempt-Id: a1\r\nX-Response-Stamp: s\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + STAMP + b"Content-Length: 100\r\n\r\n"
HEADS = {
    "length last": HEAD,
    "length first": b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n" + STAMP + b"\r\n",
    "chunks": HEAD.replace(b"Content-Length: 100", b"Transfer-Encoding: chunked"),
    "neither": b"HTTP/1.1 200 OK\r\n" + STAMP + b"\r\n",
    "interim head": INTERIM_HEAD + HEAD,
    "refusal": b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Attempt-Id: a1\r\n\r\n",
}
CUTS = {
    "status": b"HTTP/1.1 200",
    "status line": b"HTTP/1.1 200 OK\r\n",
    "header name": b"HTTP/1.1 200 OK\r\n" + STAMP + b"Content-Le",
    "header value": b"HTTP/1.1 200 OK\r\n" + STAMP + b"Content-Length: 1",
    "before framing": b"HTTP/1.1 200 OK\r\n" + STAMP,
    "before stamp": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Attempt-Id: a1\r\n",
    "before blank line": HEAD[:-2],
    "CR of blank line": HEAD[:-1],
    "LF for blank line": b"HTTP/1.1 200 OK\r\n" + STAMP + b"\n",
    "interim head": INTERIM_HEAD,
    "after interim head": INTERIM_HEAD + HEAD[:-2],
}
FAILED = (502, True)


def cut_replies(cuts=tuple(CUTS)):
    """Yields the name and the `Reply` of each cut, by an end and by a reset."""
    for name in cuts:
        for reset in (False, True):
            yield f"{name}, reset={reset}", Reply(raw=CUTS[name], reset=reset)


def reply_in_turn(servers, *replies):
    """Sets the replies to the next requests, whichever of some servers they reach.

    Args:
        servers: `ServerStandin`s.
        *replies: `Reply`, or a function of the server and the request that returns one,
            for each request in their order; further requests get no answer.
    """
    left = deque(replies)

    def reply_of(server):
        def reply(req):
            chosen = left.popleft() if left else None
            return chosen(server, req) if callable(chosen) else chosen

        return reply

    for server in servers:
        server.received.clear()
        server.replies.clear()
        server.replies.extend([reply_of(server)] * len(replies))


def whole(server, req):
    """Returns a whole reply to a plain call."""
    return server.stamped_reply(req, body=b"" if req.method == "HEAD" else b"whole")


def stream(server, req):
    """Returns a whole stream, or the rest of one."""
    return server.stream_reply(req)


def result(answer):
    """Returns the status of an `Answer` and whether it is framed as whole."""
    return answer.status, answer.complete


def allow_repeats(fixture):
    """Gives all calls as many repeats as their routes allow."""
    fixture.daemon._budgets.configure(BudgetLimits(1.0, 1000.0, 10.0))


def leave_connections(fixture):
    """Keeps checks of servers that may have crashed from opening connections."""
    fixture.daemon.ctx.crashes._accepts_connections = lambda server: True


def read_status(raw_answer):
    """Returns the status of an answer, and what follows its head."""
    head, _, body = raw_answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


def every_cut():
    """Yields the bytes of each head up to each position, and whether it is reset."""
    for head in HEADS.values():
        for length in range(len(head)):
            for reset in (False, True):
                yield head[:length], reset


def test_call_that_may_not_be_repeated_fails_wherever_its_head_is_cut(case):
    """Guards against a success, a refusal or a second run of a call whose head is cut,
    on a new connection or on one that has carried a whole answer."""
    fixture = case.enterContext(entry_fixture())
    leave_connections(fixture)
    server = fixture.servers["desk-1"]
    for raw, reset in every_cut():
        for kept in (False, True):
            cut = Reply(raw=raw, reset=reset)
            reply_in_turn([server], *([whole] * kept), cut)
            if kept:
                answer = call(fixture, "/pay/x", "POST", b"1", attempt="a0")
                case.assertEqual(result(answer), (200, True))
            answer = call(fixture, "/pay/x", "POST", b"1")
            case.assertEqual(result(answer), FAILED, (raw, reset, kept))
            case.assertNotIn("x-response-stamp", answer.headers)
            case.assertEqual(len(server.received), 1 + kept)
            case.assertEqual(len({req.sock for req in server.received}), 1)


def test_stream_that_may_not_be_repeated_fails_wherever_its_head_is_cut(case):
    """Guards against an empty stream that looks complete, and against a second run."""
    fixture = case.enterContext(entry_fixture(prefill=()))
    server = fixture.servers["dec-1"]
    for raw, reset in every_cut():
        reply_in_turn([server], Reply(raw=raw, reset=reset))
        answer = call_raw(fixture.address, stream_request("/once/x"))
        case.assertEqual(result(answer), FAILED, (raw, reset))
        case.assertEqual(len(server.received), 1)


def test_line_end_after_a_cut_does_not_end_the_head(case):
    """Guards against a success or a refusal that a bare LF or CR makes of a part of a
    head, also of one whose lines end with LF."""
    fixture = case.enterContext(entry_fixture(prefill=()))
    leave_connections(fixture)
    plain, decode = fixture.servers["desk-1"], fixture.servers["dec-1"]
    for head in HEADS.values():
        lines = head.splitlines(keepends=True)
        for count in range(1, len(lines)):
            cut = b"".join(lines[:count])
            for raw in (cut + b"\n", cut + b"\r", cut.replace(b"\r", b"") + b"\n"):
                for reset in (False, True):
                    with case.subTest(raw, reset=reset):
                        reply_in_turn([plain], Reply(raw=raw, reset=reset))
                        answer = call(fixture, "/pay/x", "POST", b"1")
                        case.assertEqual(result(answer), FAILED)
                        reply_in_turn([decode], Reply(raw=raw, reset=reset))
                        answer = call_raw(fixture.address, stream_request("/once/x"))
                        case.assertEqual(result(answer), FAILED)


def test_safe_call_goes_on_elsewhere_after_a_cut_head(case):
    """Guards against a success without its body, or a failure, of a call that another
    server can answer."""
    fixture = case.enterContext(entry_fixture(plain=("desk-1", "desk-2")))
    allow_repeats(fixture)
    servers = list(fixture.servers.values())[:2]
    for method in ("GET", "POST"):
        for name, cut in cut_replies():
            with case.subTest(name, method=method):
                reply_in_turn(servers, cut, whole)
                answer = call(fixture, "/look/x", method)
                case.assertEqual(result(answer), (200, True))
                case.assertEqual(answer.body, b"whole")
                case.assertEqual([len(each.received) for each in servers], [1, 1])
                reply_in_turn(servers, cut, cut)
                answer = call(fixture, "/look/x", method)
                case.assertEqual(result(answer), FAILED)


def test_answer_to_head_is_not_made_of_a_cut_head(case):
    """Guards against a success for HEAD, whose answer has no body that could be
    missing."""
    fixture = case.enterContext(entry_fixture(plain=("desk-1", "desk-2")))
    allow_repeats(fixture)
    servers = list(fixture.servers.values())[:2]
    close = (("Connection", "close"),)
    for name, cut in cut_replies():
        for path, status, runs in (("/look/x", 200, 2), ("/pay/x", 502, 1)):
            with case.subTest(name, path=path):
                reply_in_turn(servers, cut, whole)
                raw_request = request(path, "HEAD", headers=close)
                received, _ = read_to_end(fixture.address, raw_request)
                case.assertEqual(read_status(received), (status, b""))
                case.assertEqual(sum(len(each.received) for each in servers), runs)


def test_cut_head_after_a_late_answer_is_no_success(case):
    """Guards against taking the whole answer to an earlier call on the connection for
    that to a call whose head is cut."""
    fixture = case.enterContext(entry_fixture())
    leave_connections(fixture)
    server = fixture.servers["desk-1"]
    for name, cut in cut_replies():
        with case.subTest(name):
            server.repeats = 0
            reply_in_turn([server], whole, cut)
            answer = call(fixture, "/book/x", "POST", b"1", attempt="a0")
            case.assertEqual(answer.status, 200)
            server.repeats = 1
            answer = call(fixture, "/book/x", "POST", b"1")
            case.assertEqual(result(answer), FAILED)
            case.assertEqual(len({req.sock for req in server.received}), 1)


def test_stream_whose_head_is_cut_on_a_kept_connection_fails(case):
    """Guards against a stream that looks complete as the one before on its connection
    was."""
    fixture = case.enterContext(entry_fixture(prefill=()))
    leave_connections(fixture)
    server = fixture.servers["dec-1"]
    for name, cut in cut_replies():
        with case.subTest(name):
            reply_in_turn([server], stream, cut)
            answer = call_raw(fixture.address, stream_request("/once/x", "a0"))
            case.assertEqual(result(answer), (200, True))
            answer = call_raw(fixture.address, stream_request("/once/x"))
            case.assertEqual(result(answer), FAILED)
            case.assertEqual(len({req.sock for req in server.received}), 1)


def test_body_that_is_cut_after_an_interim_head_is_no_success(case):
    """Guards against taking the end of an interim head for that of the answer."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["desk-1"]
    for length in range(100):
        raw = INTERIM_HEAD + HEAD + b"x" * length
        reply_in_turn([server], Reply(raw=(INTERIM_HEAD, raw[len(INTERIM_HEAD) :])))
        answer = call(fixture, "/pay/x", "POST", b"1")
        case.assertEqual(result(answer), FAILED, length)
    reply_in_turn([server], Reply(raw=(INTERIM_HEAD, HEAD, b"x" * 100)))
    answer = call(fixture, "/pay/x", "POST", b"1")
    case.assertEqual((result(answer), answer.body), ((200, True), b"x" * 100))


def test_resumable_stream_begins_elsewhere_after_a_cut_head(case):
    """Guards against an empty stream, or a failed one that another server can run."""
    fixture = case.enterContext(
        entry_fixture(plain=(), prefill=(), decode=("dec-1", "dec-2"))
    )
    allow_repeats(fixture)
    servers = list(fixture.servers.values())
    for name, cut in cut_replies():
        with case.subTest(name):
            reply_in_turn(servers, cut, stream)
            answer = call_raw(fixture.address, stream_request("/resume/x"))
            case.assertEqual(result(answer), (200, True))
            case.assertEqual(answer.body, events(1, 3))
            case.assertEqual([len(each.received) for each in servers], [1, 1])
            reply_in_turn(servers, cut, cut)
            answer = call_raw(fixture.address, stream_request("/resume/x"))
            case.assertEqual(result(answer), FAILED)


def test_broken_stream_is_not_completed_by_a_cut_head(case):
    """Guards against the end of a stream, or bytes of a head in it, where the server
    that should continue it breaks off within its head."""
    for name, cut in cut_replies():
        with case.subTest(name):
            answer = continued_answer(case, break_off, cut)
            case.assertEqual(result(answer), (200, False))
            case.assertEqual(answer.body, events(1, 2))


def test_broken_stream_goes_on_at_a_third_server_after_a_cut_head(case):
    """Guards against giving up a stream while a server and an attempt are left."""
    names = ("dec-1", "dec-2", "dec-3")
    fixture = case.enterContext(entry_fixture(plain=(), prefill=(), decode=names))
    allow_repeats(fixture)
    config = configuration(version=2)
    for each in config["Routes"]:
        each["MaxAttempts"] = 3
    fixture.store.put("op", "config", config)
    wait_until(lambda: fixture.daemon.configuration.table.version == 2)
    servers = list(fixture.servers.values())
    for name, cut in cut_replies():
        with case.subTest(name):
            reply_in_turn(
                servers, lambda server, req: break_off(server)(req), cut, stream
            )
            answer = call_raw(fixture.address, stream_request("/resume/x"))
            case.assertEqual(result(answer), (200, True))
            case.assertEqual(answer.body, events(1, 3))
            case.assertEqual([len(each.received) for each in servers], [1, 1, 1])


def test_silent_server_keeps_its_stream_if_the_next_head_is_cut(case):
    """Guards against a takeover by a server that breaks off within its head."""
    for name, cut in cut_replies(("before blank line",)):
        with (
            case.subTest(name),
            entry_fixture(plain=(), prefill=(), decode=("dec-1", "dec-2")) as fixture,
        ):
            servers = list(fixture.servers.values())
            for server in servers:
                server.replies.append(begin_then(server, pause_between_events, cut))
            answer = call_raw(fixture.address, stream_request("/resume/x"))
            case.assertEqual(result(answer), (200, True))
            case.assertEqual(answer.body, events(1, 3))
            case.assertEqual([len(each.received) for each in servers], [1, 1])


def test_prefill_whose_head_is_cut_has_no_handle(case):
    """Guards against a decode server that fetches the KV cache of a prefill whose
    answer is not whole."""
    for name, cut in cut_replies():
        with case.subTest(name), entry_fixture(plain=()) as fixture:
            fixture.servers["pre-1"].replies.append(cut)
            answer = call_raw(fixture.address, stream_request("/resume/x"))
            case.assertEqual(result(answer), (200, True))
            case.assertEqual(answer.body, events(1, 3))
            case.assertEqual(len(fixture.servers["pre-1"].received), 1)
            (decoded,) = fixture.servers["dec-1"].received
            case.assertNotIn("x-kv-source", decoded.headers)


def test_control_call_fails_wherever_its_head_is_cut(case):
    """Guards against a hold, a report or an order that counts as answered."""
    fixture = case.enterContext(entry_fixture())
    ctx, replies = fixture.daemon.ctx, deque()
    address = case.enterContext(serve_http(lambda req: replies.popleft()))
    server = SimpleNamespace(name="dec-9", address=address, service="lm")
    order = StageOrder(Stage.PREFILL, "entry-1", 1, 4)
    requests = {
        "hold": ctx.codec.hold_request(10, 1.0),
        "drop": (*ctx.codec.drop_hold_request("k1"), b""),
        "report": (*ctx.codec.report_request(), b""),
        "order": ctx.codec.order_request(order),
    }
    for name, args in requests.items():
        for raw, reset in every_cut():
            replies.append(Reply(raw=raw, reset=reset))
            for_holds = name in ("hold", "drop")
            answer = control_exchange(
                ctx.connections, ctx.codec, server, *args, 2.0, for_holds=for_holds
            )
            case.assertTrue(answer.is_err(), (name, raw, reset))


def test_store_call_fails_wherever_its_head_is_cut(case):
    """Guards against rows, a lost history or the end of a transaction that a cut head
    does not tell."""
    replies = deque()
    address = case.enterContext(serve_http(lambda req: replies.popleft()))
    store = RowStore(address)
    for status in (b"200 OK", b"410 Gone", b"412 Precondition Failed"):
        for raw, reset in every_cut():
            raw = raw.replace(b"200 OK", status)
            replies.extend([Reply(raw=raw, reset=reset)] * 2)
            failure = store.changes("t", 1, 0.0).unwrap_err()
            case.assertIsInstance(failure, PlatformFailure, (raw, reset))
            outcome = store.transact([], [])
            case.assertEqual(outcome, (CommitState.UNKNOWN, 0), (raw, reset))


load_tests = collect(globals())
