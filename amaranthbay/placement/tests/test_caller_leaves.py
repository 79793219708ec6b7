"""Tests a caller that leaves before its first token, with separate processes."""

import socket

import msgspec

from amaranthbay.standins.processes import Deployment, start_small_deployment
from amaranthbay.utils.http import split_address
from amaranthbay.utils.testing import collect, wait_until

# Slows the engine down so that the prefill takes longer than any wait of the test.
SLOW_SCALE = 20.0
PROMPT = "x" * 80_000


def test_caller_that_leaves_before_the_first_token_frees_its_place(case):
    """Guards against admission and slot being held until the prefill has ended."""
    deployment = case.enterContext(Deployment())
    start_small_deployment(deployment, daemons=1, scale=SLOW_SCALE)
    address = deployment.daemons["entry-1"].address
    body = msgspec.json.encode({"model": "summary", "prompt": PROMPT, "stream": True})
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: {address}\r\nX-Workspace: ws-1\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    conn = socket.create_connection(split_address(address))
    conn.sendall(head.encode() + body)
    wait_until(lambda: deployment.status("entry-1")["in_flight"] == 1)
    conn.close()
    wait_until(lambda: deployment.status("entry-1")["in_flight"] == 0)
    case.assertEqual(deployment.status("entry-1")["active"], 0)


load_tests = collect(globals())
