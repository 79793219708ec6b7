"""Compares whole HTTP sessions with golden files.

Set ``AMARANTHBAY_REWRITE_GOLDEN=1`` to rewrite the files.
"""

import os
import re
from pathlib import Path

import msgspec

from amaranthbay.dispatch.tests.fakes import FakeEngine
from amaranthbay.gateway.tests.serving import gateway, raw_exchange
from amaranthbay.kernel.requests import BackendServer
from amaranthbay.standins.ledger import LedgerState, create_app as create_ledger
from amaranthbay.utils.serving import Server
from amaranthbay.utils.testing import collect

FOLDER = Path(__file__).parent / "golden"
REWRITE_VARIABLE = "AMARANTHBAY_REWRITE_GOLDEN"
# Version 7 UUID of the time at which the clock of the fakes starts.
IDEMPOTENCY_KEY = "019b76da-a800-7000-8000-000000000000"
# Patterns of text that differs between runs, and what replaces it.
NORMALISATIONS = (
    (re.compile(r"\b[0-9a-f]{32}\b"), "<id>"),
    (re.compile(r'"created":\d+'), '"created":<time>'),
    (re.compile(r"(?m)^Date: .*$"), "Date: <date>"),
    (re.compile(r"127\.0\.0\.1:\d+"), "<address>"),
    (re.compile(r"\b[0-9a-f]{6}:(\d+) "), r"<attempt>:\1 "),
)


def request(method, path, value=None, *headers):
    """Returns the text of a request."""
    body = "" if value is None else msgspec.json.encode(value).decode()
    lines = (
        f"{method} {path} HTTP/1.1",
        "Host: entry",
        "Connection: close",
        "X-Workspace: ws-1",
        *headers,
        f"Content-Length: {len(body)}",
    )
    return "\r\n".join(lines) + "\r\n\r\n" + body


def completion(path="/v1/completions", stream=True, **fields):
    """Returns the text of a completion call."""
    value = {"model": "m", "prompt": "lot 17", "max_tokens": 8, "stream": stream}
    return request("POST", path, value | fields, "X-Request-Id: request-1")


def chat(stream):
    """Returns the text of a chat call."""
    messages = [{"role": "user", "content": "lot 17"}]
    value = {"model": "m", "messages": messages, "max_tokens": 8, "stream": stream}
    header = "X-Request-Id: request-1"
    return request("POST", "/v1/chat/completions", value, header)


def posting(*headers, path="postings"):
    """Returns the text of a posting to the ledger."""
    value = {"account": "a", "amount": 5, "reference": "r1"}
    headers = ("Content-Type: application/json", "X-Request-Id: request-1", *headers)
    return request("POST", f"/v1/services/ledger/{path}", value, *headers)


def compare(case, name, served, requests):
    """Sends requests and compares them and their replies with a golden file.

    Args:
        case: Test case.
        name: Name of the file without its suffix.
        served: Namespace of `gateway`.
        requests: Texts of the requests, sent one after the other.
    """
    parts = []
    for text in requests:
        reply = raw_exchange(served.address, text.encode()).decode()
        parts += ["--> request", text, "<-- reply", reply]
    session = "\n".join(parts).replace("\r\n", "\n").rstrip("\n") + "\n"
    for pattern, replacement in NORMALISATIONS:
        session = pattern.sub(replacement, session)
    path = FOLDER / f"{name}.txt"
    if os.environ.get(REWRITE_VARIABLE):
        path.write_text(session)
    case.assertEqual(session, path.read_text())


def test_streamed_completion(case):
    """Guards against a changed stream of server-sent events."""
    served = case.enterContext(gateway())
    compare(case, "streamed_completion", served, [completion()])


def test_whole_completion(case):
    """Guards against a changed completion document."""
    served = case.enterContext(gateway())
    compare(case, "whole_completion", served, [completion(stream=False)])


def test_chat(case):
    """Guards against changed chat answers, streamed or whole."""
    served = case.enterContext(gateway())
    compare(case, "chat", served, [chat(stream=True), chat(stream=False)])


def test_stream_that_breaks(case):
    """Guards against a broken stream that ends without an error event."""

    class EngineThatCannotResume(FakeEngine):
        def resume(self, server, attempt, offset):
            self.decoded.clear()
            return super().resume(server, attempt, offset)

    engine = EngineThatCannotResume(streams=[lambda events: events[:3]])
    served = case.enterContext(gateway(engine))
    compare(case, "broken_stream", served, [completion()])


def test_plain_calls(case):
    """Guards against changed plain calls, also repeated under an idempotency key."""
    ledger = Server("127.0.0.1:0", create_ledger(LedgerState()))
    address = ledger.start()
    case.addCleanup(ledger.stop)
    served = case.enterContext(gateway())
    server = BackendServer("ledger-1", "ledger", "plain", address, "zone-a")
    served.harness.directory.add(server)
    posting_with_key = posting(f"Idempotency-Key: {IDEMPOTENCY_KEY}")
    balance = request("GET", "/v1/services/ledger/balances/a")
    compare(case, "plain_calls", served, [posting_with_key, posting_with_key, balance])


def test_refusals(case):
    """Guards against changed problem documents."""
    served = case.enterContext(gateway(FakeEngine(["refuse"] * 10)))
    requests = [
        completion(),
        completion(model="other"),
        completion(max_tokens=0),
        posting(),
        posting("Idempotency-Key: no-uuid"),
        request("GET", "/v1/other"),
        request("GET", "/v1/lookup"),
        "HELLO\r\n\r\n",
    ]
    compare(case, "refusals", served, requests)


def test_refusal_while_draining(case):
    """Guards against a drain whose refusals name no other daemon."""
    served = case.enterContext(gateway())
    served.daemon.drain()
    served.server.drain()
    lookup = request("GET", "/v1/lookup?service=m&workspace=ws-1")
    compare(case, "draining", served, [completion(), lookup])


load_tests = collect(globals())
