"""Streams of several priorities through an entry daemon."""

from unittest import mock

import gevent

from amaranthbay.fleet.reports import ServerLoad
from amaranthbay.platform.tests.fixtures import (
    call_raw,
    configuration,
    entry_fixture,
    request,
    stream_request,
)
from amaranthbay.relay import placing
from amaranthbay.utils.testing import collect, wait_until


def enter_priorities(case):
    """Returns a fixture whose streams on ``/sum/`` are less urgent than the others."""
    fixture = case.enterContext(entry_fixture())
    changed = configuration(version=2)
    changed["Routes"][4] |= {"Priority": 3}
    fixture.store.put("op", "config", changed)
    wait_until(lambda: fixture.daemon.configuration.table.version == 2)
    return fixture


def urgencies(fixture):
    """Returns the urgency of each request of the model servers; None without one."""
    servers = fixture.servers["pre-1"], fixture.servers["dec-1"]
    received = [req.headers for server in servers for req in server.received]
    return [headers.get("x-request-urgency") for headers in received]


def test_urgency_is_told_if_a_service_has_several_priorities(case):
    """Guards against urgent prompts that are computed after others, against decode
    servers that preempt streams for more urgent ones, and against a changed request in
    services with a single priority."""
    fixture = enter_priorities(case)
    own = (("X-Request-Urgency", "7"),)
    call_raw(fixture.address, stream_request("/sum/x", headers=own))
    call_raw(fixture.address, stream_request("/once/x", "a2", own))
    case.assertEqual(urgencies(fixture), ["1", "0", None, None])
    single = case.enterContext(entry_fixture())
    call_raw(single.address, stream_request("/sum/x", headers=own))
    case.assertEqual(urgencies(single), [None, None])


def test_urgent_stream_takes_the_place_of_another_in_a_full_queue(case):
    """Guards against urgent streams that are refused while less urgent ones wait, and
    against a refusal that is told only at the end of the wait."""
    fixture = enter_priorities(case)
    case.enterContext(mock.patch.object(placing, "MAX_QUEUE_LENGTH", 1))
    release = fixture.daemon.placed_load.add("dec-1", ServerLoad(1, 9990, 0))
    answers = []
    for path in ("/sum/x", "/once/x"):
        raw_request = stream_request(path, path)
        answers.append(gevent.spawn(call_raw, fixture.address, raw_request))
        wait_until(lambda: fixture.daemon.queue.length() == 1)
    refused = answers[0].get(timeout=5)
    case.assertEqual((refused.status, answers[1].ready()), (503, False))
    case.assertIn(b"more urgent", refused.body)
    case.assertLessEqual(float(refused.headers["retry-after"]), 1.0)
    release()
    case.assertEqual(answers[1].get(timeout=5).status, 200)


def test_stream_that_no_server_can_hold_is_refused_at_once(case):
    """Guards against a wait for memory that no server has."""
    fixture = case.enterContext(entry_fixture())
    tokens = (("X-Token-Count", "9500,40"),)
    with mock.patch.object(placing.StreamQueue, "_wait", side_effect=AssertionError):
        raw_request = request("/once/x", "POST", b"prompt", tokens)
        answer = call_raw(fixture.address, raw_request)
    case.assertEqual(answer.status, 503)
    case.assertIn(b"can hold", answer.body)


load_tests = collect(globals())
