"""End-to-end tests over separate processes: lookup, stream, posting, hang-up."""

import signal

import msgspec
import uuid6

from amaranthbay.client import Client
from amaranthbay.standins.processes import Deployment, call_json, start_small_deployment
from amaranthbay.standins.tokens import answer_text
from amaranthbay.utils.http import open_exchange
from amaranthbay.utils.testing import collect, wait_until


def small_deployment(case):
    """Starts the small deployment for one test."""
    return start_small_deployment(case.enterContext(Deployment()))


def test_long_prompt_is_streamed_whole(case):
    """Guards against a truncated or reordered stream."""
    deployment = small_deployment(case)
    client = Client([deployment.daemons["entry-1"].address], "ws-1")
    prompt = "complaint file " * 1000
    texts = list(client.complete("summary", prompt, 50))
    case.assertEqual("".join(texts), answer_text(prompt, 50))
    case.assertEqual(len(client.addresses("summary")), 3)


def test_posting_twice_under_one_key_runs_once(case):
    """Guards against running a non-idempotent call a second time."""
    deployment = small_deployment(case)
    daemons = list(deployment.daemons.values())
    key = str(uuid6.uuid7())
    posting = {"account": "a", "amount": 5, "reference": "r1"}
    body = msgspec.json.encode(posting)
    replies = [
        Client([daemon.address], "ws-1").call("ledger", "POST", "/postings", body, key)
        for daemon in daemons
    ]
    case.assertEqual(len({reply.body for reply in replies}), 1)
    ledger = deployment.backend_servers["ledger-1"].address
    counts = call_json(ledger, "GET", "/control/counts")
    case.assertEqual(counts["postings"], {"r1": 1})


def test_caller_that_leaves_frees_engine_memory(case):
    """Guards against engine memory that stays held after the caller hangs up."""
    deployment = small_deployment(case)
    address = deployment.daemons["entry-1"].address
    body = {"model": "summary", "prompt": "x" * 400, "max_tokens": 5000}
    body["stream"] = True
    headers = [("X-Workspace", "ws-1")]
    exchange = open_exchange(
        address, "POST", "/v1/completions", msgspec.json.encode(body), headers
    ).unwrap()
    lines = exchange.lines()
    case.assertTrue(next(lines).startswith(b"data: "))
    case.assertTrue(deployment.attempts_in_memory())
    exchange.close()
    wait_until(lambda: not deployment.attempts_in_memory())


def test_sigterm_lets_a_stream_end(case):
    """Guards against a planned stop that cuts off a request in progress."""
    deployment = small_deployment(case)
    daemon = deployment.daemons["entry-1"]
    client = Client([daemon.address], "ws-1")
    client.addresses = lambda service: (daemon.address,)
    texts = client.complete("summary", "x" * 400, 200)
    parts = [next(texts)]
    daemon.signal(signal.SIGTERM)
    wait_until(lambda: deployment.status("entry-1")["draining"])
    daemon.signal(signal.SIGTERM)
    parts.extend(texts)
    case.assertEqual("".join(parts), answer_text("x" * 400, 200))
    case.assertEqual(daemon.popen.wait(10), 0)


load_tests = collect(globals())
