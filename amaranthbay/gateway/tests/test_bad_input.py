"""Tests that bad input gets a problem document, leaks nothing and runs nothing."""

import json
import logging

import falcon.testing
import gevent
import gevent.event
import msgspec
from absl import logging as absl_logging
from gevent import socket
from hypothesis import given, settings, strategies as st

from amaranthbay.dispatch.tests.fakes import DispatchHarness, FakeEngine
from amaranthbay.gateway import create_app
from amaranthbay.gateway.decoding import decode_chat, decode_completion, decode_target
from amaranthbay.gateway.tests.serving import (
    FakeDaemon,
    configuration,
    gateway,
    raw_exchange,
)
from amaranthbay.kernel.errors import Verdict
from amaranthbay.settings.daemon import LimitSettings
from amaranthbay.utils.http import split_address
from amaranthbay.utils.testing import collect, wait_until

FUZZ = settings(derandomize=True, max_examples=300, deadline=None)
JSON_SCALARS = st.one_of(
    st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=20)
)
JSON_VALUES = st.recursive(
    JSON_SCALARS,
    lambda values: st.one_of(
        st.lists(values, max_size=4), st.dictionaries(st.text(max_size=8), values)
    ),
    max_leaves=12,
)
FIELDS = ("model", "prompt", "messages", "max_tokens", "stream", "role", "content")
BODIES = st.one_of(
    st.binary(max_size=200),
    JSON_VALUES.map(lambda value: json.dumps(value).encode()),
    st.dictionaries(st.sampled_from(FIELDS), JSON_VALUES).map(
        lambda value: json.dumps(value).encode()
    ),
)
OFFSETS = st.one_of(st.none(), st.text(max_size=12))
SECRET = "prompt-that-must-not-leak"


@FUZZ
@given(BODIES, OFFSETS, st.text(max_size=40))
def test_decoders_return_a_call_or_a_refusal(case, raw, offset, token):
    """Guards against bad input that raises, and so is answered as an internal error."""
    for decode in (decode_completion, decode_chat):
        outcome = decode(raw, offset, token)
        if outcome.is_ok():
            call = outcome.unwrap()
            call.prompt.encode()
            case.assertTrue(0 <= call.offset <= call.max_tokens)
        else:
            case.assertIn(outcome.unwrap_err().status, (400, 409))


@FUZZ
@given(st.text(max_size=40), st.text("ab=&%+", max_size=20))
def test_target_of_a_plain_call_stays_on_one_line(case, path, query):
    """Guards against a path that smuggles a second request to a backend server.

    Relative or empty segments could hide a call that must not be repeated.
    """
    outcome = decode_target(path, query)
    if outcome.is_ok():
        target = outcome.unwrap()
        case.assertTrue(target.startswith("/"))
        case.assertTrue(target.isascii())
        case.assertNotRegex(target, r"[\x00-\x20\x7f]")
        case.assertNotRegex(target.split("?")[0], r"//|/\.{1,2}(/|$)")


@settings(derandomize=True, max_examples=150, deadline=None)
@given(BODIES, st.sampled_from(("/v1/completions", "/v1/chat/completions")))
def test_application_answers_any_body(case, raw, path):
    """Guards against a body that causes a server error, or runs after a refusal."""
    harness = DispatchHarness(FakeEngine(), cfg=configuration())
    client = falcon.testing.TestClient(
        create_app(FakeDaemon(harness, LimitSettings(body_bytes=65536)))
    )
    reply = client.simulate_post(path, body=raw, headers={"X-Workspace": "ws-1"})
    case.assertLess(reply.status_code, 500)
    if reply.status_code != 200:
        case.assertEqual(reply.json["verdict"], "not_run")
        case.assertEqual(harness.engine.ran, set())


def post(path, body, *headers, version="1.1"):
    """Returns the bytes of a POST request.

    Its Content-Length is that of the body, unless the headers give a length or an
    encoding.
    """
    lines = [f"POST {path} HTTP/{version}", "Host: x", "Connection: close"]
    if not any("ength" in header or "oding" in header for header in headers):
        lines.append(f"Content-Length: {len(body)}")
    lines += ["X-Workspace: ws-1", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def read_reply(raw):
    """Returns status, problem document and head of a reply."""
    head, _, body = raw.partition(b"\r\n\r\n")
    status = int(head.split()[1])
    return status, msgspec.json.decode(body), head


GOOD_BODY = msgspec.json.encode({"model": "m", "prompt": SECRET, "max_tokens": 8})
DEEP_BODY = b'{"model":"m","prompt":"x","extra":' + b"[" * 20000
# Request and expected status by the name of the case.
REFUSED_REQUESTS = {
    "broken JSON": (post("/v1/completions", b'{"model": "m", '), 400),
    "wrong types": (post("/v1/completions", b'{"model": 3, "prompt": []}'), 400),
    "deep nesting": (post("/v1/completions", DEEP_BODY), 400),
    "empty body": (post("/v1/completions", b""), 400),
    "unknown model": (post("/v1/completions", GOOD_BODY.replace(b'"m"', b'"n"')), 404),
    "unknown workspace": (
        post("/v1/completions", GOOD_BODY, "X-Workspace: other"),
        403,
    ),
    "unknown caller": (post("/v1/completions", GOOD_BODY, "X-Caller: other"), 403),
    "negative offset": (post("/v1/completions", GOOD_BODY, "X-Resume-Offset: -1"), 400),
    "non-numeric offset": (
        post("/v1/completions", GOOD_BODY, "X-Resume-Offset: x"),
        400,
    ),
    "offset without token": (
        post("/v1/completions", GOOD_BODY, "X-Resume-Offset: 3"),
        409,
    ),
    "oversized body": (post("/v1/completions", b"x" * 70000), 413),
    "oversized declared length": (
        post("/v1/completions", b"", "Content-Length: 99999999999"),
        413,
    ),
    "negative length": (post("/v1/completions", b"", "Content-Length: -1"), 400),
    "non-numeric length": (post("/v1/completions", b"", "Content-Length: x"), 400),
    "broken chunk": (
        post("/v1/completions", b"zz\r\n", "Transfer-Encoding: chunked"),
        400,
    ),
    "oversized chunks": (
        post(
            "/v1/completions",
            b"5000\r\n" + b"x" * 0x5000 + b"\r\n" + b"ffff\r\n" + b"x" * 0xFFFF,
            "Transfer-Encoding: chunked",
        ),
        413,
    ),
    "unsupported encoding": (
        post("/v1/completions", GOOD_BODY, "Transfer-Encoding: gzip"),
        501,
    ),
    "oversized head": (
        post("/v1/completions", GOOD_BODY, "X-Long: " + "x" * 20000),
        431,
    ),
    "too many headers": (post("/v1/completions", GOOD_BODY, *["X-A: b"] * 200), 400),
    "oversized path": (post("/" + "x" * 9000, GOOD_BODY), 414),
    "no protocol": (b"HELLO\r\n\r\n", 400),
    "unknown path": (post("/v2/completions", GOOD_BODY), 404),
    "unknown service": (post("/v1/services/none/x", b""), 404),
    "missing idempotency key": (post("/v1/services/ledger/postings", b"{}"), 400),
    "relative path segment": (post("/v1/services/ledger/./postings", b"{}"), 400),
    "empty path segment": (post("/v1/services/ledger//postings", b"{}"), 400),
    "percent-encoded path": (post("/v1/services/ledger/%70ostings", b"{}"), 400),
    "encoded line break": (
        post("/v1/services/ledger/a%0d%0aPOST%20/postings", b"{}"),
        400,
    ),
}


def test_bad_input_gets_a_problem_document_and_one_log_line(case):
    """Guards against stack traces, missing replies and leaks after bad input."""
    served = case.enterContext(gateway())
    logger = absl_logging.get_absl_logger()
    for name, (request, expected) in REFUSED_REQUESTS.items():
        with case.subTest(name):
            with case.assertLogs(logger, logging.INFO) as logs:
                reply = raw_exchange(served.address, request)
            status, document, head = read_reply(reply)
            case.assertEqual(status, expected)
            case.assertEqual(document["status"], expected)
            verdict = "may_have_run" if name == "offset without token" else "not_run"
            case.assertEqual(document["verdict"], verdict)
            case.assertIn(b"application/problem+json", head)
            case.assertNotIn(b"Traceback", reply)
            case.assertNotIn(SECRET.encode(), reply)
            case.assertEqual([record.msg for record in logs.records], ["refused"])
            case.assertNotIn(SECRET, str(vars(logs.records[0])))
    case.assertEqual(served.harness.engine.ran, set())
    case.assertEqual(served.daemon.admission.active, 0)


def test_chunked_body_is_served(case):
    """Guards against a chunked body that is read as empty."""
    served = case.enterContext(gateway())
    body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(GOOD_BODY), GOOD_BODY)
    reply = raw_exchange(
        served.address,
        post("/v1/completions", body, "Transfer-Encoding: chunked", version="1.0"),
    )
    status, document, _ = read_reply(reply)
    case.assertEqual(status, 200)
    case.assertEqual(document["usage"]["completion_tokens"], 8)


def test_incomplete_body_runs_nothing(case):
    """Guards against a request that is served although its body is cut off."""
    served = case.enterContext(gateway())
    request = post(
        "/v1/completions", GOOD_BODY, f"Content-Length: {len(GOOD_BODY) + 5}"
    )
    with socket.create_connection(split_address(served.address), 10) as conn:
        conn.sendall(request)
        conn.shutdown(socket.SHUT_WR)
        status, document, _ = read_reply(conn.recv(65536))
    case.assertEqual(status, 400)
    case.assertEqual(document["verdict"], "not_run")
    case.assertEqual(served.harness.engine.ran, set())


def test_internal_error_is_reported_as_may_have_run_without_details(case):
    """Guards against an internal error that claims ``not_run`` or leaks its text."""
    engine = FakeEngine()

    def fail(attempt):
        raise KeyError(SECRET)

    engine.on_prefill = fail
    served = case.enterContext(gateway(engine))
    reply = raw_exchange(served.address, post("/v1/completions", GOOD_BODY))
    status, document, _ = read_reply(reply)
    case.assertEqual(status, 500)
    case.assertEqual(document["verdict"], "may_have_run")
    case.assertNotIn(SECRET.encode(), reply)
    case.assertEqual(served.harness.slots_held(), 0)
    case.assertEqual(served.daemon.admission.active, 0)


def test_pipelined_bytes_do_not_hide_a_closed_connection(case):
    """Guards against a request that runs and holds memory after its caller left.

    Unread bytes of a next request hide the end of the connection from a read.
    """
    engine = FakeEngine()
    prefill_started = gevent.event.Event()

    def block(attempt):
        prefill_started.set()
        gevent.sleep(60)

    engine.on_prefill = block
    served = case.enterContext(gateway(engine))
    with socket.create_connection(split_address(served.address), 10) as conn:
        conn.sendall(post("/v1/completions", GOOD_BODY))
        case.assertTrue(prefill_started.wait(10))
        # Sent after the head; otherwise the server's reader would buffer it.
        conn.sendall(b"GET / HTTP/1.1\r\n")
    wait_until(lambda: served.daemon.admission.active == 0)
    case.assertEqual(len(engine.ran), 0)
    case.assertTrue(engine.cancelled)


def test_draining_gateway_refuses_with_other_addresses_and_closes(case):
    """Guards against connections that stay open during a drain."""
    served = case.enterContext(gateway())
    request = post("/v1/completions", GOOD_BODY).replace(b"Connection: close\r\n", b"")
    with socket.create_connection(split_address(served.address), 10) as conn:
        conn.sendall(request)
        first_reply = conn.recv(65536)
        case.assertTrue(first_reply.startswith(b"HTTP/1.1 200"))
        while b"0\r\n\r\n" not in first_reply:
            first_reply += conn.recv(65536)
        served.daemon.drain()
        served.server.drain()
        conn.sendall(request)
        second_reply = conn.makefile("rb").read()
    status, document, head = read_reply(second_reply)
    case.assertEqual(status, 503)
    case.assertIn(b"Connection: close", head)
    case.assertEqual(document["verdict"], "not_run")
    case.assertEqual(document["addresses"], ["127.0.0.1:2"])
    status, _, _ = read_reply(raw_exchange(served.address, request))
    case.assertEqual(status, 503)


def test_unsupported_method_gets_a_problem_document(case):
    """Guards against an error page that callers can't decode."""
    served = case.enterContext(gateway())
    reply = raw_exchange(
        served.address,
        b"PATCH /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
    )
    status, document, _ = read_reply(reply)
    case.assertEqual((status, document["verdict"]), (405, Verdict.NOT_RUN))


load_tests = collect(globals())
