"""Tests of the client library: failover by verdict, old lookups, broken replies."""

import contextlib

import msgspec
from gevent.server import StreamServer

from amaranthbay.client import CallFailed, Client
from amaranthbay.utils.testing import collect, free_port


def json_response(status, value):
    """Returns the bytes of an HTTP response with a JSON body."""
    body = msgspec.json.encode(value)
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


def refusal(reason, verdict="not_run", status=503):
    """Returns the bytes of a refusal with a problem document."""
    return json_response(
        status, {"reason": reason, "verdict": verdict, "status": status}
    )


@contextlib.contextmanager
def fake_daemon(reply, addresses=()):
    """Serves lookups and a fixed reply to all other requests.

    Args:
        reply: Bytes of the reply.
        addresses: Addresses that lookups return.

    Yields:
        Address of the server, and the list of requests received except lookups.
    """
    received = []

    def handle(conn, peer):
        request = conn.recv(65536)
        if b"/v1/lookup" in request:
            entries = [{"address": address} for address in addresses]
            value = {"addresses": entries, "ttl_s": 0.0, "config_version": 1}
            conn.sendall(json_response(200, value))
        else:
            received.append(request)
            conn.sendall(reply)
        conn.close()

    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    try:
        yield f"127.0.0.1:{server.server_port}", received
    finally:
        server.stop()


def call_two_daemons(case, first_reply, second_reply):
    """Makes a call that may fail over from one daemon to another.

    Args:
        case: Test case.
        first_reply: Bytes that the first daemon replies.
        second_reply: Bytes that the second daemon replies.

    Returns:
        `Reply` or CallFailed, and the number of requests that each daemon received.
    """
    first_address, first_received = case.enterContext(fake_daemon(first_reply))
    second_address, second_received = case.enterContext(fake_daemon(second_reply))
    client = Client([first_address], "ws-1")
    client.addresses = lambda service: (first_address, second_address)
    try:
        outcome = client.call("ledger", "GET", "/balances/a")
    except CallFailed as exc:
        outcome = exc
    return outcome, len(first_received), len(second_received)


def test_refusal_by_one_daemon_fails_over_to_another(case):
    """Guards against a call that fails although another daemon could serve it."""
    good = json_response(200, {"balance": 5})
    for reason in ("draining", "not_ready", "configuration_unconfirmed"):
        with case.subTest(reason):
            outcome, first, second = call_two_daemons(case, refusal(reason), good)
            case.assertEqual((outcome.status, first, second), (200, 1, 1))


def test_refusal_for_the_whole_service_is_final(case):
    """Guards against callers that send a refused load to each daemon in turn."""
    good = json_response(200, {"balance": 5})
    for reason in ("overloaded", "backend_refused", "would_miss_target"):
        with case.subTest(reason):
            outcome, first, second = call_two_daemons(case, refusal(reason), good)
            case.assertEqual((outcome.verdict, first, second), ("not_run", 1, 0))


def test_broken_replies_may_have_run_and_are_not_repeated(case):
    """Guards against a call that runs a second time through another daemon."""
    good = json_response(200, {"balance": 5})
    for reply in (
        b"",
        b"HTTP/1.1 2",
        json_response(500, "oops"),
        json_response(502, {"a": 1}),
    ):
        with case.subTest(reply):
            outcome, first, second = call_two_daemons(case, reply, good)
            case.assertEqual((outcome.verdict, first, second), ("may_have_run", 1, 0))


def test_last_lookup_is_used_when_the_seeds_are_gone(case):
    """Guards against a client that finds no daemon once its seeds have stopped."""
    good = json_response(200, {"balance": 5})
    live, _ = case.enterContext(fake_daemon(good))
    stopped = f"127.0.0.1:{free_port()}"
    with fake_daemon(good, [stopped, live]) as (seed, _):
        client = Client([seed], "ws-1")
        case.assertEqual(client.addresses("ledger"), (stopped, live))
    case.assertEqual(client.call("ledger", "GET", "/balances/a").address, live)


load_tests = collect(globals())
