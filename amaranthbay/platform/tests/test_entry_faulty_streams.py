"""Streams whose placement fails, beside requests that have nothing to do with them."""

import gevent

from amaranthbay.platform.tests.fixtures import (
    call,
    call_raw,
    configuration,
    entry_fixture,
    request,
    stream_request,
)
from amaranthbay.platform.tests.test_entry_streams import events
from amaranthbay.utils.testing import collect, wait_until

# Longer than the interval between two passes over the queue of streams.
NEXT_PASS_S = 0.05


def check_others(case, fixture):
    """Checks that a plain call and a stream get whole answers."""
    gevent.sleep(NEXT_PASS_S)
    case.assertEqual(call(fixture, "/look/x", attempt="a2").status, 200)
    gevent.sleep(NEXT_PASS_S)
    answer = call_raw(fixture.address, stream_request("/once/x", attempt="a3"))
    case.assertEqual((answer.status, answer.complete), (200, True))
    case.assertEqual(answer.body, events(1, 3))
    case.assertEqual(fixture.daemon.queue.length(), 0)
    case.assertFalse(fixture.daemon.placed_load.loads())


def test_stream_that_fails_to_be_placed_ends_no_other_request(case):
    """Guards against a failed stream that stays in the queue and fails each request
    that ends, whose answer its caller then never gets."""
    fixture = case.enterContext(entry_fixture())
    queue = fixture.daemon.queue
    pressure = queue._pressure

    def fail_first(cache, call, *args):
        # Fails in a pass over the queue, not before the stream is in it.
        fails = call.request_id == "a1" and queue.length()
        return 1 / 0 if fails else pressure(cache, call, *args)

    queue._pressure = fail_first
    answer = call_raw(fixture.address, stream_request("/once/x"))
    case.assertEqual(answer.status, 500)
    check_others(case, fixture)


def test_stream_without_token_counts_is_placed(case):
    """Guards against a division by zero if all streams that wait name no tokens."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["dec-1"]
    server.replies.append(server.stream_reply)
    answer = call_raw(fixture.address, request("/once/x", "POST", b"prompt"))
    case.assertEqual((answer.status, answer.body), (200, events(1, 3)))
    check_others(case, fixture)


def test_stream_to_a_service_without_an_engine_is_refused(case):
    """Guards against a status that doesn't rule out a run, beside a configuration that
    doesn't describe the engine of a service."""
    fixture = case.enterContext(entry_fixture())
    changed = configuration(version=2)
    engine = changed["Services"][1].pop("Engine")
    fixture.store.put("op", "config", changed)
    wait_until(lambda: fixture.daemon.configuration.table.version == 2)
    answer = call_raw(fixture.address, stream_request("/once/x"))
    case.assertEqual(answer.status, 503)
    case.assertIn(b"not_run", answer.body)
    changed["Services"][1]["Engine"] = engine
    fixture.store.put("op", "config", changed | {"Version": 3})
    wait_until(lambda: fixture.daemon.configuration.table.version == 3)
    check_others(case, fixture)


load_tests = collect(globals())
