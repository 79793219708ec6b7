"""Verdicts of calls to backend servers whose replies are broken."""

import contextlib

from gevent import socket
from gevent.server import StreamServer
from hypothesis import given, settings, strategies as st

from amaranthbay.dispatch.deaths import refuses_connections
from amaranthbay.dispatch.engine_http import HttpEngineClient
from amaranthbay.dispatch.plain import PlainService
from amaranthbay.dispatch.streams import BrokenStream, MatchedStream
from amaranthbay.dispatch.tests.fakes import DispatchHarness, FakeEngine
from amaranthbay.dispatch.types import ModelCall, PlainCall, PrefillOutcome
from amaranthbay.gateway.tests.serving import configuration
from amaranthbay.kernel.clock import SystemClock
from amaranthbay.kernel.errors import Verdict
from amaranthbay.kernel.requests import Attempt, BackendServer, CallerRequest, Work
from amaranthbay.utils.testing import collect, free_port

CALL = ModelCall("m", "prompt", 8, True)
ATTEMPT = Attempt("request-1", "attempt-1", 1)
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
NOT_RUN_BODY = b'{"not_run": true}'


def reply(status, body, length=None):
    """Returns a response; ``length`` overrides its Content-Length."""
    length = len(body) if length is None else length
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, length, body)


BROKEN_REPLIES = {
    "closed at once": b"",
    "truncated head": b"HTTP/1.1 200 OK\r\nConte",
    "not HTTP": b"\x00\xffgarbage\r\n\r\n",
    "not JSON": reply(200, b"hello"),
    "wrong fields": reply(200, b'{"kv_handle": 3}'),
    "short body": reply(200, b'{"kv_handle": "a"', 500),
    "short body after an interim response": (
        b"HTTP/1.1 100 Continue\r\n\r\n" + reply(200, b'{"kv_handle": "a"', 500)
    ),
    "defect": reply(500, b"oops"),
    "not_run with status 500": reply(500, NOT_RUN_BODY),
    "not_run with status 200": reply(200, NOT_RUN_BODY),
    "not_run of wrong type": reply(503, b'{"not_run": "yes"}'),
    "status 503 without not_run": reply(503, b""),
    "redirect": reply(302, b""),
    "only an interim response": b"HTTP/1.1 100 Continue\r\n\r\n",
    "invalid chunk size": STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
}


@contextlib.contextmanager
def backend(raw, role="prefill"):
    """Runs a server with a fixed reply; yields its `BackendServer` and its requests."""
    seen = []

    def handle(conn, address):
        seen.append(conn.recv(65536))
        conn.sendall(raw)
        conn.close()

    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    address = f"127.0.0.1:{server.server_port}"
    try:
        yield BackendServer("backend-1", "ledger", role, address, "zone-a"), seen
    finally:
        server.stop()


def prefill(server):
    """Returns the outcome of a prefill."""
    return HttpEngineClient(SystemClock()).prefill(server, ATTEMPT, CALL, 0, 5.0)


def decode(server):
    """Returns the outcome of a decode."""
    source = PrefillOutcome("kv-1", "127.0.0.1:1", 1, 0, 1.0)
    engine = HttpEngineClient(SystemClock())
    return engine.decode(server, ATTEMPT, CALL, source, 0, 5.0)


def test_broken_prefills_may_have_run(case):
    """Guards against ``not_run`` for a prefill that was sent, and against repeats."""
    for name, raw in BROKEN_REPLIES.items():
        with case.subTest(name), backend(raw) as (server, seen):
            outcome = prefill(server)
            case.assertIs(outcome.unwrap_err().verdict, Verdict.MAY_HAVE_RUN)
            case.assertEqual(
                len(seen), 1, "the HTTP library must not repeat the request"
            )


def test_only_explicit_refusals_and_refused_connections_did_not_run(case):
    """Guards against ``may_have_run`` for a call that certainly didn't run."""
    for status in (409, 503):
        with backend(reply(status, NOT_RUN_BODY)) as (server, _):
            case.assertIs(prefill(server).unwrap_err().verdict, Verdict.NOT_RUN)
            case.assertIs(decode(server).unwrap_err().verdict, Verdict.NOT_RUN)
    address = f"127.0.0.1:{free_port()}"
    unreachable = BackendServer("gone", "prefill", "prefill", address, "zone-a")
    case.assertIs(prefill(unreachable).unwrap_err().verdict, Verdict.NOT_RUN)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.binary(max_size=300), st.booleans())
def test_garbage_on_a_stream_ends_in_a_refusal(case, garbage, framed):
    """Guards against an unreadable event that ends an answer without an error."""
    head = STATUS_LINE + b"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    good = b'data: {"request_id":"request-1","attempt_id":"attempt-1","index":0}\n\n'
    raw = head + good + (b"data: " if framed else b"") + garbage + b"\n\n"
    with backend(raw) as (server, _):
        engine = HttpEngineClient(SystemClock())
        opened = decode(server)
        stream = MatchedStream(engine, server, ATTEMPT, opened.unwrap(), NoSleepClock())
        with case.assertRaises(BrokenStream) as raised:
            list(stream)
    case.assertIs(raised.exception.refusal.verdict, Verdict.MAY_HAVE_RUN)


def test_broken_framing_of_a_stream_ends_in_a_refusal(case):
    """Guards against a parser's exception that isn't turned into a refusal."""
    event = b'data: {"request_id":"request-1","attempt_id":"attempt-1","index":0}\n\n'
    head = STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%s\r\n" % (len(event), event)
    for ending in (b"", b"zz\r\n", b"ff\r\nshort", b"0\r\n\r\n"):
        with case.subTest(ending), backend(head + chunk + ending) as (server, _):
            engine = HttpEngineClient(SystemClock())
            opened = decode(server)
            if opened.is_err():
                # The broken framing arrived together with the head.
                case.assertIs(opened.unwrap_err().verdict, Verdict.MAY_HAVE_RUN)
                continue
            events = opened.unwrap()
            stream = MatchedStream(engine, server, ATTEMPT, events, NoSleepClock())
            with case.assertRaises(BrokenStream):
                list(stream)


class NoSleepClock(SystemClock):
    """Clock that doesn't wait between resumptions."""

    def sleep(self, seconds):
        """Returns at once."""


def test_process_that_is_ending_counts_as_dead(case):
    """Guards against a missed death while the process closes its sockets."""
    seen = []

    def handle(conn, address):
        seen.append(conn.recv(65536))
        conn.close()
        if len(seen) == 3:
            listener.close()

    listener = StreamServer(("127.0.0.1", 0), handle)
    listener.start()
    case.addCleanup(listener.stop)
    address = f"127.0.0.1:{listener.server_port}"
    ending = BackendServer("ending", "decode", "decode", address, "zone-a")
    case.assertTrue(refuses_connections(ending))
    case.assertEqual(len(seen), 3)


def test_answering_or_silent_server_is_not_dead(case):
    """Guards against a slow or failing server that counts as dead."""
    with backend(reply(500, b"")) as (server, _):
        case.assertFalse(refuses_connections(server))
    with socket.socket() as silent:
        silent.bind(("127.0.0.1", 0))
        silent.listen()
        address = f"127.0.0.1:{silent.getsockname()[1]}"
        server = BackendServer("silent", "decode", "decode", address, "zone-a")
        case.assertFalse(refuses_connections(server))


def plain_work(method, path, key=None):
    """Returns the work of a call to the ledger."""
    call = PlainCall(method, path, b"{}")
    request = CallerRequest("request-1", "ledger", "ws-1", "desk", call, key)
    return Work(request, False, None, key is None, 0.0)


def test_broken_plain_calls_may_have_run_and_run_once(case):
    """Guards against a repeated posting, and ``not_run`` for one that was sent."""
    key = "019b76da-a800-7000-8000-000000000000"
    for name, raw in BROKEN_REPLIES.items():
        if raw.startswith((b"HTTP/1.1 200", b"HTTP/1.1 3")) and name not in (
            "short body",
            "invalid chunk size",
            "truncated head",
        ):
            continue
        with case.subTest(name), backend(raw, "plain") as (server, seen):
            harness = DispatchHarness(FakeEngine(), cfg=configuration())
            harness.directory = harness.ctx.directory
            harness.directory.add(server)
            harness.directory.servers = lambda pools, role=None: (server,)
            service = PlainService(harness.ctx)
            outcome = service.dispatch(plain_work("POST", "/postings", key))
            refusal = outcome.unwrap_err()
            case.assertIs(refusal.verdict, Verdict.MAY_HAVE_RUN)
            case.assertEqual(len(seen), 1)
            case.assertEqual(len(harness.table), 0)


def test_idempotent_plain_calls_are_retried_within_bounds(case):
    """Guards against reads that fail after one lost reply or are retried for ever."""
    with backend(b"", "plain") as (server, seen):
        harness = DispatchHarness(FakeEngine(), cfg=configuration())
        harness.directory.servers = lambda pools, role=None: (server,)
        outcome = PlainService(harness.ctx).dispatch(plain_work("GET", "/balances/a"))
        case.assertIs(outcome.unwrap_err().verdict, Verdict.MAY_HAVE_RUN)
        case.assertIsNotNone(outcome.unwrap_err().retry_after)
        case.assertEqual(len(seen), 4)


load_tests = collect(globals())
