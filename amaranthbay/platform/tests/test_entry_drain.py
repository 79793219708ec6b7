"""Requests that arrive, or are in progress, late in the grace period of a stop."""

import contextlib
import os
import signal
import time
from unittest import mock

import gevent

from amaranthbay.daemon import planned_stop
from amaranthbay.daemon.planned_stop import SERVE_FRACTION
from amaranthbay.fleet.reports import ServerLoad
from amaranthbay.kernel.errors import ProcessStops
from amaranthbay.platform.tests.fixtures import (
    configuration,
    connect,
    entry_fixture,
    entry_process,
    read_answer,
    request,
    server_entry,
    stream_request,
)
from amaranthbay.platform.tests.standins import ServerStandin, StoreStandin, serve_http
from amaranthbay.platform.tests.test_entry_silence import (
    call_stream,
    check_whole,
    hang,
    pause_between_events,
)
from amaranthbay.platform.tests.test_entry_versions import split_route, take_up
from amaranthbay.utils.testing import collect, wait_until

# Requests that were sent later than this after SIGTERM must be answered.
LATEST_S = 3.0
GRACE_S = 3
ROUTE_TIMEOUT_MS = 30_000


@contextlib.contextmanager
def entry_with_server(grace_s=GRACE_S):
    """Yields an `EntryProcess` and the only server of the service ``desk``.

    Streams get one event per second for a long time.
    """
    store, server = StoreStandin(), ServerStandin("desk-1")
    prefill = ServerStandin("pre-1", stage="prefill")
    decode = ServerStandin("dec-1", stage="decode")
    decode.replies.append(lambda req: decode.stream_reply(req, last=30, pause_s=1.0))
    document = configuration()
    for route in document["Routes"]:
        route["TimeoutMs"] = ROUTE_TIMEOUT_MS
    store.put("op", "config", document)
    with contextlib.ExitStack() as stack:
        for standin, service in ((server, "desk"), (prefill, "lm"), (decode, "lm")):
            address = stack.enter_context(serve_http(standin.answer))
            entry = server_entry(service, address, standin.stage)
            store.put("servers", standin.name, entry)
        store_address = stack.enter_context(serve_http(store.answer))
        yield stack.enter_context(entry_process(store_address, grace_s)), server


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


def test_request_that_arrives_across_the_end_of_serving_is_answered(case):
    """Guards against a process that ends while a request is arriving."""
    with entry_with_server() as (entry, server), connect(entry.address) as sock:
        raw_request = request("/book/x", "POST", b"12345678")
        sock.sendall(raw_request[:-4])
        entry.process.send_signal(signal.SIGTERM)
        gevent.sleep(SERVE_FRACTION * GRACE_S + 0.3)
        sock.sendall(raw_request[-4:])
        answer = read_answer(sock)
        case.assertEqual((answer.status, answer.complete), (503, True))
        case.assertEqual(answer.headers["connection"], "close")
        case.assertEqual(server.received, [])


def test_many_requests_at_the_end_of_the_drain_are_answered(case):
    """Guards against a process that ends before it has written its last answers."""
    fixture = case.enterContext(entry_fixture())
    case.enterContext(mock.patch.object(planned_stop, "STOP_FRACTION", 0.5))
    service = fixture.daemon.service
    refuse = service._refuse

    def refuse_slowly(*args):
        gevent.sleep(0.3)
        refuse(*args)

    service._refuse = refuse_slowly
    fixture.servers["desk-1"].replies.append(hang)
    sock = case.enterContext(connect(fixture.address))
    sock.sendall(request("/book/x", "POST", b"1"))
    wait_until(lambda: fixture.servers["desk-1"].received)
    fixture.daemon._drain()
    case.assertFalse(fixture.daemon.listener.busy)
    case.assertEqual(read_answer(sock).status, 504)


def test_stream_that_the_end_of_the_process_cuts_looks_incomplete(case):
    """Guards against the end of a connection that looks like the end of a stream to a
    caller of HTTP/1.0."""
    with entry_with_server() as (entry, server), connect(entry.address) as sock:
        raw_request = stream_request("/once/x").replace(b"HTTP/1.1", b"HTTP/1.0")
        sock.sendall(raw_request)
        case.assertIn(b"200", sock.recv(100))
        entry.process.send_signal(signal.SIGTERM)
        with case.assertRaises(ConnectionResetError):
            while sock.recv(100):
                pass


def test_stream_of_a_silent_server_goes_on_after_the_serving_time(case):
    """Guards against a stream that a planned stop cuts while its server is silent."""
    fixture = case.enterContext(entry_fixture())
    silence_s = SERVE_FRACTION * fixture.daemon.settings.stop_s + 0.7
    reply = pause_between_events(fixture.servers["dec-1"], silence_s)
    fixture.servers["dec-1"].replies.append(reply)
    stream = gevent.spawn(call_stream, fixture, "/once/x")
    wait_until(lambda: fixture.servers["dec-1"].received)
    fixture.daemon._drain()
    # The process ends here.
    case.assertFalse(fixture.daemon.listener.busy)
    check_whole(case, stream.get())


def test_streams_without_an_answer_at_the_end_of_a_drain_get_one(case):
    """Guards against a closed connection of a stream that is in its prefill, or waits
    for a server, when the process ends."""
    fixture = case.enterContext(entry_fixture())
    case.enterContext(mock.patch.object(planned_stop, "STOP_FRACTION", 0.4))
    daemon, prefill = fixture.daemon, fixture.servers["pre-1"]
    prefill.replies.append(hang)
    in_prefill = gevent.spawn(call_stream, fixture)
    wait_until(lambda: prefill.received)
    daemon.placed_load.add("dec-1", ServerLoad(8, 10000, 0))
    in_queue = gevent.spawn(call_stream, fixture)
    wait_until(lambda: daemon.queue.length() == 1)
    daemon._drain()
    for stream in (in_prefill, in_queue):
        answer = stream.get()
        case.assertEqual((answer.status, answer.complete), (504, True))


def test_take_up_that_is_looked_up_at_the_end_of_a_drain_is_refused(case):
    """Guards against a failure in place of a refusal for a stream that no server has
    got, as the store is silent."""
    fixture = split_route(case)
    fixture.store.silent = True
    answer = gevent.spawn(take_up, fixture, "b1", "a1")
    wait_until(lambda: fixture.daemon.listener.busy)
    fixture.daemon.listener.interrupt_busy(ProcessStops("the daemon has to stop"))
    case.assertEqual(answer.get().status, 503)


load_tests = collect(globals())
