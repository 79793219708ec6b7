"""Caller library: fail-over by verdict, old lookups, broken replies."""

import contextlib

import msgspec
from gevent.server import StreamServer

from amaranthbay.client import CallFailed, Client
from amaranthbay.utils.testing import collect, free_port


def http(status, value):
    """Returns the bytes of a JSON response."""
    body = msgspec.json.encode(value)
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


def refusal(reason, verdict="not_run", status=503):
    """Returns the bytes of a refusal."""
    return http(status, {"reason": reason, "verdict": verdict, "status": status})


@contextlib.contextmanager
def daemon(reply, addresses=()):
    """Serves lookups and a fixed reply; yields address and requests seen."""
    seen = []

    def handle(conn, peer):
        request = conn.recv(65536)
        if b"/v1/lookup" in request:
            found = [{"address": each} for each in addresses]
            value = {"addresses": found, "ttl_s": 0.0, "config_version": 1}
            conn.sendall(http(200, value))
        else:
            seen.append(request)
            conn.sendall(reply)
        conn.close()

    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    try:
        yield f"127.0.0.1:{server.server_port}", seen
    finally:
        server.stop()


def call(case, first, second):
    """Calls two daemons; returns reply or failure, and the requests each saw."""
    one, seen_by_one = case.enterContext(daemon(first))
    two, seen_by_two = case.enterContext(daemon(second))
    client = Client([one], "ws-1")
    client.addresses = lambda service: (one, two)
    try:
        outcome = client.call("ledger", "GET", "/balances/a")
    except CallFailed as exc:
        outcome = exc
    return outcome, len(seen_by_one), len(seen_by_two)


def test_refusals_of_one_daemon_are_taken_elsewhere(case):
    """Guards against a call that fails although another daemon serves."""
    good = http(200, {"balance": 5})
    for reason in ("draining", "not_ready", "configuration_unconfirmed"):
        with case.subTest(reason):
            outcome, one, two = call(case, refusal(reason), good)
            case.assertEqual((outcome.status, one, two), (200, 1, 1))


def test_refusals_of_the_service_are_final(case):
    """Guards against callers that multiply an overload by the daemons."""
    good = http(200, {"balance": 5})
    for reason in ("overloaded", "backend_refused", "would_miss_target"):
        with case.subTest(reason):
            outcome, one, two = call(case, refusal(reason), good)
            case.assertEqual((outcome.verdict, one, two), ("not_run", 1, 0))


def test_broken_replies_may_have_run_and_are_not_repeated(case):
    """Guards against a call that a second daemon runs again."""
    good = http(200, {"balance": 5})
    for reply in (b"", b"HTTP/1.1 2", http(500, "oops"), http(502, {"a": 1})):
        with case.subTest(reply):
            outcome, one, two = call(case, reply, good)
            case.assertEqual((outcome.verdict, one, two), ("may_have_run", 1, 0))


def test_old_lookup_outlives_its_seeds(case):
    """Guards against a client that is lost with the daemons it started from."""
    good = http(200, {"balance": 5})
    two, _ = case.enterContext(daemon(good))
    gone = f"127.0.0.1:{free_port()}"
    with daemon(good, [gone, two]) as (seed, _):
        client = Client([seed], "ws-1")
        case.assertEqual(client.addresses("ledger"), (gone, two))
    case.assertEqual(client.call("ledger", "GET", "/balances/a").address, two)


load_tests = collect(globals())
