"""Backend servers that name a limit for the requests of all instances together."""

import random
import time
from unittest import mock

import gevent

from amaranthbay.daemon.entry import EntryDaemon
from amaranthbay.fleet.reports import LimitNotice, PeerStatus, ServerLoad
from amaranthbay.platform.adapter import PlatformAdapter
from amaranthbay.platform.tests.fixtures import (
    call,
    call_raw,
    entry_fixture,
    make_settings,
    request,
    stream_request,
)
from amaranthbay.platform.tests.standins import STORE_LEAD_S
from amaranthbay.relay.placing import StreamQueue
from amaranthbay.utils.testing import collect, largest_count, wait_until

INSTANCES = 6
LIMIT_PER_S = 1.0
# The platform's bound on the requests of instances that know of a limit: in each window
# half as much again as the limit allows, and five more.
WINDOW_S, FACTOR, SLACK = 4.0, 1.5, 5
# Time after its first answer from which an instance counts as knowing the limit.
TOLD_S = 0.5
TRAFFIC_S = 7.0
CALL_INTERVAL_S = 0.1
# Limits that allow a request each 10 s and each 0.1 s.
SCARCE_PER_S, AMPLE_PER_S = 0.1, 10.0
# A shared time at which slots of both begin.
START_S = 1000.0


def set_shared_time(fixture, seconds):
    """Stops the shared time of a daemon, so that no slot begins by itself."""
    fixture.daemon.ctx.limits._store_now = lambda: seconds


def start_instances(case, fixture):
    """Starts further instances beside that of a fixture; returns all addresses."""
    daemons = [fixture.daemon]
    for number in range(2, INSTANCES + 1):
        settings = make_settings(fixture.daemon.settings.store_address, f"e-{number}")
        daemon = EntryDaemon(settings, PlatformAdapter(), rng=random.Random(number))
        daemon.start()
        case.addCleanup(daemon.close)
        daemons.append(daemon)
    wait_until(lambda: all(daemon.is_ready() for daemon in daemons))
    wait_until(lambda: all(len(daemon.peers.live()) == INSTANCES for daemon in daemons))
    return [daemon.settings.caller_address for daemon in daemons]


def test_limit_of_a_server_holds_for_all_instances_together(case):
    """Guards against instances that together exceed the limit that a server names."""
    fixture = case.enterContext(entry_fixture(plain=("desk-1", "desk-2")))
    addresses = start_instances(case, fixture)
    server = fixture.servers["desk-1"]
    server.limit = LIMIT_PER_S
    ends_at = time.monotonic() + TRAFFIC_S
    answers = []

    def send_calls(address):
        number = 0
        while time.monotonic() < ends_at:
            number += 1
            raw_request = request("/look/x", attempt=f"{address}-{number}")
            answers.append(call_raw(address, raw_request).status)
            gevent.sleep(CALL_INTERVAL_S)

    jobs = [gevent.spawn(send_calls, address) for address in addresses]
    told_at = time.monotonic() + 2 * TOLD_S
    gevent.joinall(jobs, raise_error=True)
    times = [moment for moment in server.received_at if moment >= told_at]
    case.assertLessEqual(
        largest_count(times, WINDOW_S), FACTOR * WINDOW_S * LIMIT_PER_S + SLACK
    )
    case.assertGreater(len(times), 0)
    case.assertEqual(set(answers), {200})


def test_call_is_refused_at_once_when_all_limits_are_used_up(case):
    """Guards against waiting for room that no server has, and against a time to come
    back at which there is still none."""
    fixture = case.enterContext(entry_fixture())
    set_shared_time(fixture, START_S)
    server = fixture.servers["desk-1"]
    server.limit = SCARCE_PER_S
    case.assertEqual(call(fixture, "/look/x").status, 200)
    for path in ("/look/x", "/book/x", "/pay/x"):
        answer = call(fixture, path, attempt=path)
        wait_s = fixture.daemon.ctx.limits.wait_s("desk-1")
        case.assertEqual(answer.status, 503)
        case.assertIn(b"limits", answer.body)
        case.assertGreaterEqual(float(answer.headers["retry-after"]), wait_s - 0.001)
        case.assertLess(float(answer.headers["retry-after"]), 1.5 / SCARCE_PER_S + 1)
    case.assertEqual(len(server.received), 1)


def test_slot_that_ends_before_the_request_is_sent_moves_it_elsewhere(case):
    """Guards against taking a server whose limit forbids a request for one that can't
    be reached."""
    fixture = case.enterContext(entry_fixture(plain=("desk-1", "desk-2")))
    set_shared_time(fixture, START_S)
    ctx = fixture.daemon.ctx
    for server in fixture.servers.values():
        server.limit = SCARCE_PER_S
    while not ctx.limits.rate_per_s("desk-1"):
        call(fixture, "/look/x")
    ctx.limits.has_room = lambda name: True
    received = len(fixture.servers["desk-1"].received)
    answers = [call(fixture, "/look/x", attempt=f"b{k}").status for k in range(4)]
    case.assertEqual(len(fixture.servers["desk-1"].received), received)
    case.assertFalse(ctx.outcomes.is_avoided("desk-1"))
    case.assertLessEqual(set(answers), {200, 503})


def test_slots_lie_on_the_clock_of_the_store(case):
    """Guards against slots on the clocks of the instances, which differ."""
    started_at = time.monotonic()
    fixture = case.enterContext(entry_fixture())
    slot_time = fixture.daemon.ctx.limits._slot_time()
    case.assertGreaterEqual(slot_time, started_at + STORE_LEAD_S - 0.001)
    case.assertLessEqual(slot_time, time.monotonic() + STORE_LEAD_S)


def test_limit_in_the_answer_of_another_server_is_ignored(case):
    """Guards against limiting a server whose address another one has taken over."""
    fixture = case.enterContext(entry_fixture())
    fixture.servers["desk-1"].limit = SCARCE_PER_S
    address = fixture.addresses["desk-1"]
    fixture.write_entry("desk-9", "desk", address=address)
    fixture.wait_for_servers("desk", 2)

    def is_forgotten():
        call(fixture, "/look/x")
        return not fixture.daemon.backends.is_listed("desk-9")

    wait_until(is_forgotten)
    case.assertIsNone(fixture.daemon.ctx.limits.rate_per_s("desk-9"))


def test_instances_report_limits_to_each_other(case):
    """Guards against instances that each ask a server in trouble for its limit, and
    that miss its end."""
    fixture = case.enterContext(entry_fixture())
    limits, peers = fixture.daemon.ctx.limits, fixture.daemon.peers
    set_shared_time(fixture, START_S)
    fixture.servers["desk-1"].limit = SCARCE_PER_S
    call(fixture, "/look/x")
    case.assertEqual(
        peers.next_report().limits, {"desk-1": LimitNotice(START_S, SCARCE_PER_S)}
    )
    for sequence, notice in enumerate(
        (LimitNotice(START_S + 1), LimitNotice(START_S + 2, 3.0)), 1
    ):
        set_shared_time(fixture, notice.noted_at)
        status = PeerStatus("e-2", 7, sequence, True, {}, limits={"desk-1": notice})
        peers.receive(status)
        case.assertEqual(limits.rate_per_s("desk-1"), notice.rate_per_s)


def test_limit_that_has_ended_holds_nothing_back(case):
    """Guards against keeping the limit of a server that has recovered."""
    fixture = case.enterContext(entry_fixture())
    server = fixture.servers["desk-1"]
    server.limit = AMPLE_PER_S
    call(fixture, "/look/x")
    case.assertEqual(fixture.daemon.ctx.limits.rate_per_s("desk-1"), AMPLE_PER_S)
    server.limit = None

    def has_ended():
        call(fixture, "/look/x")
        return fixture.daemon.ctx.limits.rate_per_s("desk-1") is None

    wait_until(has_ended)
    case.assertEqual({call(fixture, "/look/x").status for _ in range(30)}, {200})


def test_refusal_without_a_limit_does_not_end_it(case):
    """Guards against ending a limit because of an answer to a refused request."""
    fixture = case.enterContext(entry_fixture())
    set_shared_time(fixture, START_S)
    server, limits = fixture.servers["desk-1"], fixture.daemon.ctx.limits
    limits.note_limit("desk-1", AMPLE_PER_S)
    set_shared_time(fixture, START_S + 1.01)
    server.replies.append(server.refusal())
    case.assertEqual(call(fixture, "/look/x").status, 503)
    case.assertEqual(limits.rate_per_s("desk-1"), AMPLE_PER_S)


def test_limit_that_cannot_be_read_is_ignored(case):
    """Guards against an unreadable limit that fails a request or excludes a server."""
    fixture = case.enterContext(entry_fixture())
    for value in ("-1", "nan", "inf", "", "1e999", "ten"):
        fixture.servers["desk-1"].limit = value
        case.assertEqual(call(fixture, "/look/x").status, 200, value)
        case.assertIsNone(fixture.daemon.ctx.limits.rate_per_s("desk-1"), value)


def test_streams_go_to_servers_with_room(case):
    """Guards against prompts and streams beyond the limit of a model server."""
    pools = {"prefill": ("pre-1", "pre-2"), "decode": ("dec-1", "dec-2")}
    for limited in ("pre-1", "dec-1"):
        with entry_fixture(**pools) as fixture:
            set_shared_time(fixture, START_S)
            fixture.servers[limited].limit = SCARCE_PER_S
            for number in range(20):
                raw_request = stream_request("/once/x", f"a{number}")
                answer = call_raw(fixture.address, raw_request)
                case.assertEqual((answer.status, answer.complete), (200, True))
            case.assertEqual(len(fixture.servers[limited].received_at), 1)


def test_stream_is_refused_at_once_when_all_limits_are_used_up(case):
    """Guards against computing prompts that no decode server takes, and against holding
    streams until they are late."""
    fixture = case.enterContext(entry_fixture())
    set_shared_time(fixture, START_S)
    server = fixture.servers["dec-1"]
    server.limit = SCARCE_PER_S
    answer = call_raw(fixture.address, stream_request("/once/x"))
    case.assertEqual(answer.status, 200)
    prefills = len(fixture.servers["pre-1"].received)
    # The next slot would begin within the time for which a stream may wait.
    server.limit = AMPLE_PER_S
    fixture.daemon.ctx.limits.note_limit("dec-1", AMPLE_PER_S)
    with mock.patch.object(StreamQueue, "_wait", side_effect=AssertionError):
        for number in range(5):
            answer = call_raw(fixture.address, stream_request("/once/x", f"b{number}"))
            case.assertEqual(answer.status, 503)
            case.assertGreater(float(answer.headers["retry-after"]), 0.0)
    case.assertEqual(len(server.received_at), 1)
    case.assertEqual(len(fixture.servers["pre-1"].received), prefills)


def test_limit_named_during_a_prefill_holds_for_the_decode(case):
    """Guards against decodes beyond the limit of a server that named it after they were
    placed there."""
    fixture = case.enterContext(entry_fixture(decode=("dec-1", "dec-2")))
    set_shared_time(fixture, START_S)
    prefill, daemon = fixture.servers["pre-1"], fixture.daemon
    limited = []

    def name_limit(req):
        loads = daemon.placed_load.loads()
        limited.extend({"dec-1", "dec-2"} & loads.keys())
        daemon.ctx.limits.note_limit(limited[0], SCARCE_PER_S)
        return prefill.prefill_reply()

    prefill.replies.append(name_limit)
    answer = call_raw(fixture.address, stream_request("/once/x"))
    case.assertEqual((answer.status, answer.complete), (200, True))
    case.assertEqual(fixture.servers[limited[0]].received_at, [])
    case.assertEqual(len(prefill.received), 1)
    case.assertFalse(daemon.ctx.outcomes.is_avoided(limited[0]))


def test_streams_that_begin_together_waste_no_prompt(case):
    """Guards against prompts computed for the same request that a limit allows."""
    fixture = case.enterContext(entry_fixture())
    set_shared_time(fixture, START_S)
    server = fixture.servers["dec-1"]
    server.limit = AMPLE_PER_S
    call_raw(fixture.address, stream_request("/once/x"))
    # The ten slots of a second have begun, so that several streams start at once.
    set_shared_time(fixture, START_S + 1.01)
    jobs = [
        gevent.spawn(call_raw, fixture.address, stream_request("/once/x", f"c{number}"))
        for number in range(30)
    ]
    gevent.joinall(jobs, raise_error=True)
    served = sum(job.value.status == 200 for job in jobs)
    case.assertEqual(served, 10)
    case.assertEqual(len(server.received), 1 + served)
    case.assertEqual(len(fixture.servers["pre-1"].received), 1 + served)
    refusals = [job.value for job in jobs if job.value.status == 503]
    case.assertEqual(served + len(refusals), 30)
    for answer in refusals:
        case.assertIn(b"limits", answer.body)


def test_stream_that_has_begun_waits_for_a_slot(case):
    """Guards against giving up a stream whose caller has events already, although the
    next slot begins in time."""
    fixture = case.enterContext(entry_fixture(decode=("dec-1", "dec-2")))
    set_shared_time(fixture, START_S)
    fixture.daemon.ctx.limits.note_limit("dec-2", AMPLE_PER_S)
    server = fixture.servers["dec-1"]

    def break_off(req):
        gevent.spawn_later(0.2, set_shared_time, fixture, START_S + 1.01)
        return server.stream_reply(req, last=1, cut=True)

    server.replies.append(break_off)
    answer = call_raw(fixture.address, stream_request("/resume/x"))
    case.assertEqual((answer.status, answer.complete), (200, True))
    case.assertEqual(len(fixture.servers["dec-2"].received), 1)


def test_control_calls_count_as_requests(case):
    """Guards against calls of the daemon itself that exceed the limit of a server."""
    fixture = case.enterContext(entry_fixture())
    set_shared_time(fixture, START_S)
    prefill, decode = fixture.servers["pre-1"], fixture.servers["dec-1"]
    prefill.limit = SCARCE_PER_S
    decode.replies.append(decode.refusal())
    case.assertEqual(call_raw(fixture.address, stream_request("/sum/x")).status, 503)
    # The daemon would give back the KV cache that no decode server took.
    gevent.sleep(0.2)
    case.assertEqual(len(prefill.received_at), 1)


def test_limited_server_is_not_asked_for_a_hold(case):
    """Guards against spending the few requests of a server on reservations."""
    fixture = case.enterContext(entry_fixture())
    set_shared_time(fixture, START_S)
    fixture.daemon.ctx.limits.note_limit("dec-1", AMPLE_PER_S)
    set_shared_time(fixture, START_S + 1.01)
    case.addCleanup(fixture.daemon.placed_load.add("dec-1", ServerLoad(1, 8000, 0)))
    case.assertEqual(call_raw(fixture.address, stream_request("/sum/x")).status, 200)
    case.assertEqual(fixture.servers["dec-1"].control_calls, [])


load_tests = collect(globals())
