"""Requests that arrive, or are in progress, late in the grace period of a stop."""

import contextlib
import os
import signal
import time

import gevent

from amaranthbay.platform.tests.fixtures import (
    configuration,
    connect,
    entry_process,
    read_answer,
    request,
    server_entry,
)
from amaranthbay.platform.tests.standins import ServerStandin, StoreStandin, serve_http
from amaranthbay.platform.tests.test_entry_silence import hang
from amaranthbay.utils.testing import collect, wait_until

# Requests that were sent later than this after SIGTERM must be answered.
LATEST_S = 3.0
GRACE_S = 3
ROUTE_TIMEOUT_MS = 30_000


@contextlib.contextmanager
def entry_with_server(grace_s=GRACE_S):
    """Yields an `EntryProcess` and the only server of the service ``desk``."""
    store, server = StoreStandin(), ServerStandin("desk-1")
    document = configuration()
    for route in document["Routes"]:
        route["TimeoutMs"] = ROUTE_TIMEOUT_MS
    store.put("op", "config", document)
    with serve_http(store.answer) as store_address, serve_http(server.answer) as desk:
        store.put("servers", "desk-1", server_entry("desk", desk))
        with entry_process(store_address, grace_s) as entry:
            yield entry, server


def exchange(address, raw_request):
    """Returns the status of the answer; None if the connection fails or ends."""
    try:
        with connect(address) as sock:
            sock.sendall(raw_request)
            return read_answer(sock).status
    except OSError:
        return None


def check_latest_request(case, grace_s):
    """Sends requests until after `LATEST_S` and checks which ones reach the server."""
    with entry_with_server(grace_s) as (entry, server):
        sent_at = {}
        entry.process.send_signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        gevent.sleep(LATEST_S - 0.3)
        while (elapsed_s := time.monotonic() - stopped_at) < LATEST_S + 0.3:
            attempt = f"a{len(sent_at)}"
            sent_at[attempt] = elapsed_s
            raw_request = request("/book/x", "POST", b"1", attempt=attempt)
            gevent.spawn(exchange, entry.address, raw_request)
            gevent.sleep(0.005)
        late = [
            round(sent_at[req.headers["x-attempt-id"]], 3)
            for req in server.received
            if sent_at[req.headers["x-attempt-id"]] > LATEST_S
        ]
        case.assertEqual(late, [])


def test_request_after_the_excused_time_reaches_no_server(case):
    """Guards against passing on a request that came so late in the grace period that a
    cut of its answer is a fault."""
    check_latest_request(case, 8)


def test_request_late_in_a_long_grace_period_reaches_no_server(case):
    """Guards against a serving time that grows with the grace period beyond the time
    within which a cut of a long request is excused."""
    check_latest_request(case, 30)


def test_process_paused_at_its_signal_answers_before_it_is_killed(case):
    """Guards against a grace period that is counted from the end of a pause, so that
    the process is killed before it has answered."""
    with entry_with_server() as (entry, server):
        server.replies.append(hang)
        with connect(entry.address) as sock:
            sock.sendall(request("/book/x", "POST", b"1"))
            wait_until(lambda: server.received)
            os.kill(entry.process.pid, signal.SIGSTOP)
            gevent.sleep(0.2)
            entry.process.send_signal(signal.SIGTERM)
            gevent.sleep(1.0)
            os.kill(entry.process.pid, signal.SIGCONT)
            gevent.sleep(GRACE_S - 1.0)
            entry.process.kill()
            answer = read_answer(sock)
        case.assertEqual((answer.status, answer.complete), (504, True))


load_tests = collect(globals())
