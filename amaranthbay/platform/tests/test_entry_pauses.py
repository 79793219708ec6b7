"""Backend servers that announce in an answer that they leave, or ask for a pause."""

import gevent

from amaranthbay.fleet.reports import PeerStatus
from amaranthbay.platform.tests.fixtures import (
    call,
    call_raw,
    entry_fixture,
    stream_request,
)
from amaranthbay.platform.tests.standins import Reply
from amaranthbay.routing import Stage
from amaranthbay.utils.testing import collect, wait_until

# Values of ``Retry-After`` in seconds: the long pause outlasts a test, the short one
# ends during it.
LONG_PAUSE, SHORT_PAUSE = "30", "0.4"


def stage_names(fixture, stage):
    return [server.name for server in fixture.daemon.backends.usable("lm", stage)]


def test_leaving_server_gets_no_calls_whatever_its_entry_says(case):
    """Guards against calls to a server that has announced in an answer that it leaves,
    while its entry still says that it is ready."""
    fixture = case.enterContext(entry_fixture(plain=("desk-1", "desk-2")))
    fixture.servers["desk-1"].leaving = True
    for number in range(8):
        case.assertEqual(call(fixture, "/book/x", attempt=f"a{number}").status, 200)
    case.assertLessEqual(len(fixture.servers["desk-1"].received), 1)
    fixture.write_entry("desk-1", "desk", Sequence=9)
    gevent.sleep(0.2)
    received_before = len(fixture.servers["desk-1"].received)
    for number in range(8, 16):
        case.assertEqual(call(fixture, "/book/x", attempt=f"a{number}").status, 200)
    case.assertEqual(len(fixture.servers["desk-1"].received), received_before)


def test_departure_is_read_from_answers_to_each_kind_of_call(case):
    """Guards against missing the announcement in the answer to a prefill, to a stream
    or to a control call."""
    for stage, name in ((Stage.PREFILL, "pre-1"), (Stage.DECODE, "dec-1")):
        pools = {"prefill": ("pre-1", "pre-2"), "decode": ("dec-1", "dec-2")}
        with entry_fixture(**pools) as fixture:
            fixture.servers[name].leaving = True
            for number in range(20):
                answer = call_raw(
                    fixture.address, stream_request("/sum/x", f"a{number}")
                )
                case.assertEqual(answer.status, 200)
            case.assertNotIn(name, stage_names(fixture, stage))
            case.assertLessEqual(len(fixture.servers[name].received), 1)


def test_leaving_server_that_another_instance_reports_gets_no_work(case):
    """Guards against instances that each send a call to a leaving server before they
    learn that it leaves."""
    fixture = case.enterContext(entry_fixture(plain=("desk-1", "desk-2")))
    status = PeerStatus("entry-2", 7, 1, True, {}, leaving={"desk-1": 0})
    fixture.daemon.peers.receive(status)
    for number in range(8):
        case.assertEqual(call(fixture, "/book/x", attempt=f"a{number}").status, 200)
    case.assertEqual(fixture.servers["desk-1"].received, [])


def test_new_server_under_the_name_of_one_that_left_gets_work(case):
    """Guards against avoiding a new server because an earlier one of its name left."""
    fixture = case.enterContext(entry_fixture(plain=("desk-1", "desk-2")))
    server = fixture.servers["desk-1"]
    server.leaving = True
    while not server.received:
        call(fixture, "/look/x")
    fixture.wait_for_servers("desk", 1)
    server.leaving = False
    fixture.write_entry("desk-1", "desk", born=1_800_000_000_000)
    fixture.wait_for_servers("desk", 2)


def test_call_that_is_refused_while_all_servers_leave_does_not_run(case):
    """Guards against a late refusal when the last server leaves, and against one that
    says ``not run`` of a call that ran."""
    fixture = case.enterContext(entry_fixture())
    fixture.servers["desk-1"].leaving = True
    case.assertEqual(call(fixture, "/book/x").status, 200)
    wait_until(lambda: not fixture.daemon.backends.usable("desk"))
    received_before = len(fixture.servers["desk-1"].received)
    answer = call(fixture, "/book/x", attempt="a2")
    case.assertEqual(answer.status, 503)
    case.assertIn("retry-after", answer.headers)
    case.assertEqual(len(fixture.servers["desk-1"].received), received_before)


def test_paused_server_gets_no_requests(case):
    """Guards against more than two requests to a server that has asked for a pause."""
    fixture = case.enterContext(entry_fixture(plain=("desk-1", "desk-2")))
    server = fixture.servers["desk-1"]
    server.replies.extend([server.refusal(retry_after=LONG_PAUSE)] * 20)
    for number in range(20):
        case.assertEqual(call(fixture, "/look/x", attempt=f"a{number}").status, 200)
    case.assertEqual(len(server.received), 1)


def test_calls_are_refused_at_once_while_all_servers_pause(case):
    """Guards against waiting for servers that all pause, and against a retry time for
    callers that is before the end of the pause."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["desk-1"]
    server.replies.append(server.refusal(retry_after=LONG_PAUSE))
    answers = [call(fixture, "/look/x", attempt=attempt) for attempt in ("a1", "a2")]
    for answer in answers:
        case.assertEqual(answer.status, 503)
        case.assertGreater(float(answer.headers["retry-after"]), 25.0)
    case.assertEqual(len(server.received), 1)


def test_stream_waits_for_a_pause_that_ends_in_time(case):
    """Guards against refusing a stream that can still start in time."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["dec-1"]
    server.replies.append(server.refusal(retry_after=SHORT_PAUSE))
    call_raw(fixture.address, stream_request("/sum/x"))
    answer = call_raw(fixture.address, stream_request("/sum/x", "a2"))
    case.assertEqual((answer.status, answer.complete), (200, True))


def test_stream_is_refused_at_once_while_all_decode_servers_pause(case):
    """Guards against holding a stream until it is late although no server will accept
    it."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["dec-1"]
    server.replies.append(server.refusal(retry_after=LONG_PAUSE))
    first = call_raw(fixture.address, stream_request("/sum/x"))
    prefills = len(fixture.servers["pre-1"].received)
    for answer in (first, call_raw(fixture.address, stream_request("/sum/x", "a2"))):
        case.assertEqual(answer.status, 503)
        case.assertGreater(float(answer.headers["retry-after"]), 25.0)
    case.assertEqual(len(fixture.servers["pre-1"].received), prefills)


def test_paused_prefill_server_gets_no_prompts(case):
    """Guards against prompts to a prefill server that has asked for a pause."""
    fixture = case.enterContext(entry_fixture(prefill=("pre-1", "pre-2")))
    server = fixture.servers["pre-1"]
    server.replies.extend([server.refusal(retry_after=LONG_PAUSE)] * 20)
    for number in range(12):
        call_raw(fixture.address, stream_request("/once/x", f"a{number}"))
    case.assertEqual(len(server.received), 1)


def test_invalid_retry_after_is_ignored(case):
    """Guards against an invalid ``Retry-After`` that fails a request or excludes its
    server."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["desk-1"]
    invalid = (
        "Fri, 04 Dec 2026 12:00:00 GMT",
        "-5",
        "nan",
        "inf",
        "",
        "x" * 300,
        "1e999",
    )
    for number, value in enumerate(invalid):
        server.replies.append(server.refusal(retry_after=value))
        call(fixture, "/book/x", attempt=f"a{number}")
        answer = call(fixture, "/book/x", attempt=f"b{number}")
        case.assertEqual(answer.status, 200, value)


def test_retry_after_of_a_success_causes_no_pause(case):
    """Guards against avoiding a server because its application sent ``Retry-After``
    with a success."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["desk-1"]
    headers = (("Retry-After", LONG_PAUSE), ("X-Response-Stamp", "s"))
    server.replies.append(Reply(200, headers, b"full"))
    call(fixture, "/look/x")
    case.assertEqual(call(fixture, "/look/x", attempt="a2").status, 200)


load_tests = collect(globals())
