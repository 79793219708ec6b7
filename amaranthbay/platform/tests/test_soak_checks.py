"""Tests of the soak checks: each finds its violations, and none in a sound run."""

from types import SimpleNamespace

from amaranthbay.platform.tests.soak.callers import Exchange
from amaranthbay.platform.tests.soak.checks import CHECKS
from amaranthbay.platform.tests.soak.crash_checks import (
    MAX_LATE_ARRIVALS,
    MIN_COMPARED,
    crashing_part_is_held_back,
    crashing_request_is_held_back,
    requests_beside_a_crashing_part_begin,
)
from amaranthbay.platform.tests.soak.deployment import (
    DRAIN_S,
    MEMORY_MB,
    RETRY_ALLOWANCE,
    ConfigurationVersion,
    Deployment,
    InjectedFault,
)
from amaranthbay.platform.tests.soak.history import RunHistory
from amaranthbay.platform.tests.soak.key_checks import (
    REMOVED_S,
    lasting_keys_are_known,
    removed_keys_end,
    requests_run_for_their_workspace,
)
from amaranthbay.platform.tests.soak.keys import LIMITED_KEY
from amaranthbay.platform.tests.soak.monitor import Stall
from amaranthbay.platform.tests.soak.parts import CRASHING_PART, FIRST_PARTS
from amaranthbay.platform.tests.soak.quota_checks import MAX_IN_WINDOW, quotas_hold
from amaranthbay.platform.tests.soak.request_checks import (
    CONFIGURATION_S,
    answers_come_in_time,
    answers_match_their_requests,
    answers_of_sound_servers_arrive,
    configuration_is_in_force,
    processes_answer,
    processes_are_sound,
    refused_requests_never_run,
    requests_are_not_lost,
    requests_arrive_as_sent,
    retries_stay_within_budget,
    streams_are_in_order,
    unrepeatable_requests_run_once,
)
from amaranthbay.platform.tests.soak.server_checks import (
    leaving_servers_get_nothing,
    limits_are_kept,
    pauses_are_kept,
    servers_that_announce_leaving_get_nothing,
)
from amaranthbay.platform.tests.soak.servers import (
    Arrival,
    NamedLimit,
    Notice,
    expected_body,
)
from amaranthbay.platform.tests.soak.streams import expected_events
from amaranthbay.platform.tests.soak.version_checks import (
    MIN_TAKEN_UP,
    streams_stay_at_one_version,
    taken_up_streams_go_on,
)
from amaranthbay.utils.testing import collect

STAMPED = {"x-response-stamp": "stamp-desk-1"}
STREAMS = {"once": "/once/", "resume": "/resume/"}
PATHS = {"look": "/look/", "book": "/book/", "move": "/move/"} | STREAMS


def deployment(arrivals=(), injected_faults=(), **fields):
    """Returns a stand-in for a `Deployment` with the attributes that checks read."""
    standin = SimpleNamespace(
        arrivals=lambda: list(arrivals),
        injected_faults=injected_faults,
        versions=[ConfigurationVersion(1, "desk", 0.0)],
        leaving_since={},
        notices=lambda: [],
        named_limits=lambda: [],
        all_servers=lambda: [],
        crashed_at=[],
        processes={"entry-1": SimpleNamespace(exit_codes=[0])},
        log_lines=lambda name: ([], []),
        peaks_mb={"entry-1": 60.0},
        stalls=[],
        request_crashed_at=[],
        crashing_attempts={},
    )
    standin.had_fault = lambda *args: Deployment.had_fault(standin, *args)
    vars(standin).update(fields)
    return standin


def exchange(
    kind="book", status=200, attempt="a1", sent_at=10.0, duration_s=0.1, **fields
):
    """Returns an `Exchange` that violates nothing unless a field is given."""
    stream = kind in STREAMS
    body = expected_events(attempt) if stream else expected_body("desk-1", attempt)
    defaults = {"headers": STAMPED, "body": body, "complete": True}
    target = f"{PATHS[kind]}{attempt}?n=1"
    values = (attempt, kind, "entry-1", target, sent_at, sent_at + duration_s, status)
    return Exchange(*values, **(defaults | fields))


def arrival(sent, server="desk-1", service="desk", arrived_at=None, ran=True, **fields):
    """Returns the `Arrival` of an `Exchange` at a server."""
    stream = sent.kind in STREAMS
    body = b"prompt of " + sent.attempt.encode() if stream else b""
    defaults = {"target": sent.target, "body": body, "prefill": False}
    return Arrival(
        attempt=sent.attempt,
        server=server,
        service=service,
        arrived_at=sent.sent_at if arrived_at is None else arrived_at,
        ran=ran,
        **(defaults | fields),
    )


def find(check, exchanges, arrivals=(), **fields):
    """Returns the violations that one check finds."""
    return list(check(RunHistory(deployment(arrivals, **fields), exchanges)))


def test_sound_run_has_no_violations(case):
    """Guards against checks that report allowed behaviour."""
    sent = [exchange(kind, attempt=f"a{n}") for n, kind in enumerate(sorted(PATHS))]
    history = RunHistory(deployment([arrival(request) for request in sent]), sent)
    for check in CHECKS:
        case.assertEqual(list(check(history)), [], check.__name__)


def test_misused_keys_are_detected(case):
    """Guards against checks that miss a key at a server, the name of another workspace,
    a key that is unknown or removed and runs, and a valid one that is refused."""
    versions = [
        ConfigurationVersion(1, "desk", 0.0, {"kept": "w", "old": "w"}),
        ConfigurationVersion(2, "desk", 5.0, {"kept": "w"}),
    ]

    def count(check, key, sent_at=6.0, status=200, **fields):
        sent = exchange(key=key, sent_at=sent_at, status=status)
        arrivals = [arrival(sent, **({"workspace": "w"} | fields))]
        return len(find(check, [sent], arrivals, versions=versions))

    check = requests_run_for_their_workspace
    case.assertEqual(count(check, "kept"), 0)
    for key, fields in (
        ("kept", {"credential": "kept"}),
        ("kept", {"workspace": "v"}),
        ("kept", {"workspace": None}),
        ("", {"workspace": None}),
        ("never", {}),
    ):
        case.assertEqual(count(check, key, **fields), 1, (key, fields))
    late = 5.0 + REMOVED_S
    for key, sent_at, found in (("old", late, 1), ("old", 7.9, 0), ("kept", late, 0)):
        case.assertEqual(count(removed_keys_end, key, sent_at), found)
    fault = InjectedFault("store", "Store", 6.0, 7.0)
    sent = exchange(key="old", sent_at=late)
    excused = {"versions": versions, "injected_faults": [fault]}
    case.assertEqual(find(removed_keys_end, [sent], [arrival(sent)], **excused), [])
    for key, status, found in (("kept", 401, 1), ("old", 401, 0), ("kept", 503, 0)):
        case.assertEqual(count(lasting_keys_are_known, key, status=status), found)


def test_exceeded_quota_is_detected(case):
    """Guards against a check that misses requests beyond a quota in one window, or that
    counts those of other windows, of other keys and without a run."""

    def count(requests, gap_s, key=LIMITED_KEY, ran=True):
        sent = [
            exchange(attempt=f"a{number}", key=key, sent_at=number * gap_s)
            for number in range(requests)
        ]
        arrivals = [arrival(one, arrived_at=one.sent_at, ran=ran) for one in sent]
        return len(find(quotas_hold, sent, arrivals))

    many = int(MAX_IN_WINDOW) + 1
    case.assertEqual(count(many, 0.01), 1)
    case.assertEqual(count(many - 1, 0.01), 0)
    case.assertEqual(count(2 * many, 0.1), 0)
    case.assertEqual(count(many, 0.01, key="other"), 0)
    case.assertEqual(count(many, 0.01, ran=False), 0)


def test_second_run_is_detected(case):
    """Guards against a check that misses a request that ran twice."""
    sent = exchange()
    twice = [arrival(sent), arrival(sent, "desk-2")]
    case.assertTrue(find(unrepeatable_requests_run_once, [sent], twice))
    repeatable = exchange("look")
    twice = [arrival(repeatable), arrival(repeatable, "desk-2")]
    case.assertFalse(find(unrepeatable_requests_run_once, [repeatable], twice))


def test_run_after_a_refusal_is_detected(case):
    """Guards against a check that misses a run after a status that rules it out."""
    sent = exchange(status=503, headers={}, body=b"")
    late_run = [arrival(sent, arrived_at=15.0)]
    case.assertTrue(find(refused_requests_never_run, [sent], late_run))
    not_run = [arrival(sent, ran=False)]
    case.assertFalse(find(refused_requests_never_run, [sent], not_run))


def test_foreign_answers_are_detected(case):
    """Guards against a check that misses answers of other requests."""
    check = answers_match_their_requests
    for wrong in (
        exchange(body=expected_body("desk-1", "a2")),
        exchange(headers={"x-response-stamp": "stamp-desk-9"}),
        exchange(headers={}),
        exchange(trailing=b"HTTP/1.1 200"),
    ):
        case.assertTrue(find(check, [wrong], [arrival(wrong)]), wrong)


def test_broken_order_of_events_is_detected(case):
    """Guards against a check that misses lost, repeated or missing events."""
    events = expected_events("a1")
    first = events[: events.index(b"id: 2")]
    within = events[: len(first) + 9]
    for body in (events[len(first) :], first + events, first, within):
        wrong = exchange("once", body=body)
        case.assertTrue(find(streams_are_in_order, [wrong]), body)
    cut = exchange("once", body=first, complete=False)
    case.assertFalse(find(streams_are_in_order, [cut]))


def test_changed_and_unknown_requests_are_detected(case):
    """Guards against a check that misses requests which differ from what a caller sent,
    or which more servers received than the route allows."""
    sent = exchange()
    for arrivals in (
        [arrival(sent, body=b"x")],
        [arrival(sent, target="/book/other")],
        [arrival(exchange(attempt="a9"))],
        [arrival(sent), arrival(sent, "desk-2", ran=False)],
    ):
        case.assertTrue(find(requests_arrive_as_sent, [sent], arrivals))


def test_retries_beyond_the_budget_are_detected(case):
    """Guards against a check that misses a retry storm."""
    sent = exchange("look")
    storm = [arrival(sent, ran=False) for _ in range(RETRY_ALLOWANCE + 3)]
    case.assertTrue(find(retries_stay_within_budget, [sent], storm))


def test_lost_request_is_detected_unless_its_process_had_a_fault(case):
    """Guards against a check that misses a lost request, or accepts an outage of the
    store or planned work as an excuse."""
    lost = exchange(status=None, headers={}, body=b"", complete=False)
    ran = [arrival(lost)]
    case.assertTrue(find(requests_are_not_lost, [lost], ran))
    for kind, excused in (("Kill", True), ("Stop", False), ("StoreLink", False)):
        faults = [InjectedFault("entry-1", kind, 9.0, 12.0)]
        violations = find(requests_are_not_lost, [lost], ran, injected_faults=faults)
        case.assertEqual(not violations, excused, kind)
    for fields, is_violation in (
        ({"status": None}, True),
        ({"status": 200}, False),
        ({"status": None, "parts": (FIRST_PARTS[0], CRASHING_PART, "9")}, False),
    ):
        stream = exchange("once", complete=False, **fields)
        violations = find(requests_are_not_lost, [stream], [arrival(stream)])
        case.assertEqual(bool(violations), is_violation, fields)


def test_lost_answer_of_a_sound_server_is_detected(case):
    """Guards against a check that misses an answer which a sound server went on with
    after a silence, or accepts its silence, its departure or planned work as an excuse.
    """
    check = answers_of_sound_servers_arrive
    cut = exchange("once", body=b"id: 1", complete=False, duration_s=1.3)
    ran = [arrival(cut, "dec-1-4")]
    for target, kind, is_violation in (
        ("dec-1", "Silence", True),
        ("dec-1", "Leave", True),
        ("entry-1", "Stop", True),
        ("dec-2", "ServerLink", True),
        ("dec-1", "ServerLink", False),
        ("entry-1", "CallerLink", False),
    ):
        faults = [InjectedFault(target, kind, 9.0, 12.0)]
        violations = find(check, [cut], ran, injected_faults=faults)
        case.assertEqual(bool(violations), is_violation, (target, kind))
    failed = exchange("once", status=502, body=b"failed")
    case.assertTrue(find(check, [failed], [arrival(failed, "dec-1-4")]))
    crashing = exchange("once", complete=False, parts=("1f", CRASHING_PART, "9"))
    late = exchange("once", complete=False, duration_s=2.01)
    for excused, spoiled in ((crashing, False), (late, False), (cut, True)):
        ran = [arrival(excused, "dec-1-4", spoiled=spoiled)]
        case.assertFalse(find(check, [excused], ran), excused)


def test_too_late_answers_are_detected(case):
    """Guards against a check that misses answers far beyond their route's timeout."""
    too_late = [exchange(attempt=f"a{n}", duration_s=2.8) for n in range(3)]
    case.assertTrue(find(answers_come_in_time, too_late))
    late = [exchange(attempt=f"a{n}", duration_s=2.3) for n in range(3)]
    case.assertFalse(find(answers_come_in_time, late))


def test_old_configuration_is_detected(case):
    """Guards against a check that misses requests on a route that has moved."""
    versions = [
        ConfigurationVersion(1, "desk", 0.0),
        ConfigurationVersion(2, "other", 5.0),
    ]
    old = exchange("move", sent_at=5.0 + CONFIGURATION_S + 0.1)
    ran = [arrival(old)]
    case.assertTrue(find(configuration_is_in_force, [old], ran, versions=versions))
    soon = exchange("move", sent_at=5.0 + CONFIGURATION_S - 0.1)
    ran = [arrival(soon)]
    case.assertFalse(find(configuration_is_in_force, [soon], ran, versions=versions))


def test_request_at_a_server_that_left_is_detected(case):
    """Guards against a check that misses work for leaving servers."""
    sent = exchange()
    for beyond_s, is_violation in ((0.1, True), (-0.1, False)):
        left_at = sent.sent_at - DRAIN_S - beyond_s
        leaving_since = {"desk-1": left_at}
        violations = find(
            leaving_servers_get_nothing,
            [sent],
            [arrival(sent)],
            leaving_since=leaving_since,
        )
        case.assertEqual(bool(violations), is_violation)


def test_request_at_a_server_that_said_it_leaves_is_detected(case):
    """Guards against a check that misses work for a server whose answers say that it
    leaves, or accepts a faulty link as an excuse."""
    first = exchange(attempt="a1", sent_at=10.0)
    notices = [Notice("desk-1", "a1", 10.0, 0.0)]
    for sent_at, kind, is_violation in (
        (10.2 + DRAIN_S, "StoreLink", True),
        (10.0 + DRAIN_S, "StoreLink", False),
        (10.2 + DRAIN_S, "Pause", False),
    ):
        sent = exchange(attempt="a2", sent_at=sent_at)
        violations = find(
            servers_that_announce_leaving_get_nothing,
            [first, sent],
            [arrival(first), arrival(sent)],
            injected_faults=[InjectedFault("entry-1", kind, 11.0, 12.0)],
            notices=lambda: notices,
        )
        case.assertEqual(bool(violations), is_violation, (sent_at, kind))


def test_requests_in_a_pause_are_detected(case):
    """Guards against a check that misses a third request in a pause, or counts requests
    that were on their way."""
    refused = exchange(attempt="a0", sent_at=10.0, status=503)
    notices = [Notice("desk-1", "a0", 10.0, 3.0)]
    for times, is_violation in (
        ((10.6, 11.0, 12.9), True),
        ((10.6, 11.0, 13.1), False),
        ((10.4, 11.0, 12.9), False),
    ):
        sent = [exchange(attempt=f"a{moment}", sent_at=moment) for moment in times]
        violations = find(
            pauses_are_kept,
            [refused, *sent],
            [arrival(request) for request in (refused, *sent)],
            notices=lambda: notices,
        )
        case.assertEqual(bool(violations), is_violation, times)


def test_requests_beyond_a_limit_are_detected(case):
    """Guards against a check that misses requests beyond a limit, accepts a cut from
    the store as an excuse, or counts processes that were not told or were restarted."""
    first = exchange(attempt="a0", sent_at=10.0)
    end = NamedLimit("desk-1", "none", 20.0, 1.0)
    sent = [exchange(attempt=f"a{k}", sent_at=12.0 + k / 4) for k in range(1, 13)]
    for requests, told, kind, is_violation in (
        (sent, "a0", "StoreLink", True),
        (sent, "a0", "Kill", False),
        (sent, "none", "StoreLink", False),
        (sent[:11], "a0", "StoreLink", False),
    ):
        violations = find(
            limits_are_kept,
            [first, *requests],
            [arrival(request, server="desk-1") for request in (first, *requests)],
            injected_faults=[InjectedFault("entry-1", kind, 11.0, 12.0)],
            named_limits=lambda: [NamedLimit("desk-1", told, 10.0, 1.0), end],
        )
        case.assertEqual(bool(violations), is_violation, (len(requests), told, kind))


def test_unsound_processes_are_detected(case):
    """Guards against a check that misses exits, defects, stray output or memory use."""
    crashed = {"entry-1": SimpleNamespace(exit_codes=[0, -11])}
    defect = ([{"event": "defect"}], [])
    for fields in (
        {"processes": crashed},
        {"log_lines": lambda name: defect},
        {"log_lines": lambda name: ([], ["Traceback"])},
        {"peaks_mb": {"entry-1": MEMORY_MB + 1.0}},
    ):
        case.assertTrue(find(processes_are_sound, [], **fields))


def test_stalled_process_is_detected(case):
    """Guards against a check that misses a process which answers nobody, or counts one
    that a fault has stopped."""
    stall = Stall("entry-1", 20.0, 21.0)
    case.assertTrue(find(processes_answer, [], stalls=[stall]))
    fault = InjectedFault("entry-1", "Pause", 19.0, 20.5)
    fields = {"stalls": [stall], "injected_faults": [fault]}
    case.assertFalse(find(processes_answer, [], **fields))


def test_late_crashing_request_is_detected(case):
    """Guards against a check that misses a fourth late arrival of a request that has
    crashed three servers."""
    crashes = {"request_crashed_at": [10.0, 11.0, 12.0]}
    for count, found in ((MAX_LATE_ARRIVALS, False), (MAX_LATE_ARRIVALS + 1, True)):
        attempts = {f"x{n}": "entry-1" for n in range(count)}
        sent = [exchange("book", attempt=attempt) for attempt in attempts]
        arrivals = [arrival(each, arrived_at=15.1) for each in sent]
        fields = crashes | {"crashing_attempts": attempts}
        violations = find(crashing_request_is_held_back, [], arrivals, **fields)
        case.assertEqual(bool(violations), found)


def test_late_requests_with_a_crashing_part_are_detected(case):
    """Guards against a check that misses a fourth late request with a part that has
    crashed five servers, or counts a process that had a fault just before."""
    parts = (*FIRST_PARTS[:1], CRASHING_PART, "9")
    sent = [
        exchange("once", attempt=f"a{n}", sent_at=28.2 + n / 100, parts=parts)
        for n in range(MAX_LATE_ARRIVALS + 1)
    ]
    arrivals = [arrival(request, "pre-1", prefill=True) for request in sent]
    crashes = [21.0, 22.0, 23.0, 24.0, 25.0]
    for crashed_at, count, fault_end, is_violation in (
        (crashes, MAX_LATE_ARRIVALS + 1, 25.0, True),
        (crashes, MAX_LATE_ARRIVALS, 25.0, False),
        (crashes, MAX_LATE_ARRIVALS + 1, 26.0, False),
        (crashes[:4], MAX_LATE_ARRIVALS + 1, 25.0, False),
        ([*crashes[:4], 25.5], MAX_LATE_ARRIVALS + 1, 25.0, False),
    ):
        violations = find(
            crashing_part_is_held_back,
            sent,
            arrivals[:count],
            crashed_at=crashed_at,
            injected_faults=[InjectedFault("entry-1", "Reset", 24.0, fault_end)],
        )
        case.assertEqual(bool(violations), is_violation, (crashed_at, count, fault_end))


def test_streams_kept_back_beside_a_crashing_part_are_detected(case):
    """Guards against a check that misses sound streams which are refused for a first
    part that they share with crashing ones, or that counts other faults as such."""
    first, own = FIRST_PARTS[0], "9"
    crashing = exchange(
        "once", attempt="a0", sent_at=40.0, parts=(first, CRASHING_PART, own)
    )

    def streams(start, begun, part=first):
        return [
            exchange(
                "once",
                attempt=f"{start}-{n}",
                sent_at=start + n / 20,
                status=200 if n < begun else 503,
                parts=(part, own),
            )
            for n in range(MIN_COMPARED)
        ]

    few = MIN_COMPARED // 2 - 1
    for beside, usual, faulty_place, is_violation in (
        (streams(32.0, few), streams(60.0, MIN_COMPARED), "desk-1", True),
        (streams(32.0, few + 1), streams(60.0, MIN_COMPARED), "desk-1", False),
        (streams(30.0, few), streams(60.0, MIN_COMPARED), "desk-1", False),
        (streams(32.0, few), streams(60.0, MIN_COMPARED), "dec-1", False),
        (streams(32.0, few), streams(60.0, MIN_COMPARED - 2), "desk-1", False),
        (streams(32.0, few, "2a0"), streams(60.0, MIN_COMPARED), "desk-1", False),
        (streams(32.0, few), streams(60.0, MIN_COMPARED)[1:], "desk-1", False),
    ):
        violations = find(
            requests_beside_a_crashing_part_begin,
            [crashing, *beside, *usual],
            crashed_at=[23.0, 25.0],
            injected_faults=[
                InjectedFault(faulty_place, "Reset", 20.0, 45.0),
                InjectedFault("dec-2", "CrashingPart", 20.0, 45.0),
            ],
        )
        case.assertEqual(bool(violations), is_violation, (len(usual), faulty_place))


def take_up(first, last, version="v1", attempt="a2", stream="a1", **fields):
    """Returns the `Exchange` of a caller that takes up a stream and gets some events.

    Args:
        first: Id of the first event that it gets.
        last: Id of the last one.
        version: Version that writes them.
        attempt: Attempt id.
        stream: Attempt id of the request with which the stream began.
        **fields: Further fields.
    """
    body = expected_events(stream, version, first, last)
    fields = {"body": body, "resumes": stream, "last_event": first - 1} | fields
    return exchange("resume", attempt=attempt, **fields)


def test_streams_of_two_versions_are_detected(case):
    """Guards against a check that misses a stream joined from two versions, in one
    answer or over the tries of its caller."""
    check = streams_stay_at_one_version
    begun = exchange("resume", body=expected_events("a1", last=2), complete=False)
    joined = begun.body + expected_events("a1", "v2", 3)
    case.assertTrue(find(check, [exchange("once", body=joined)]))
    case.assertTrue(find(check, [begun, take_up(3, 4, "v2")]))
    case.assertTrue(find(check, [begun, take_up(3, 4, "v2", abandoned=True)]))
    case.assertFalse(find(check, [begun, take_up(3, 4)]))
    other = exchange("resume", attempt="a3", body=expected_events("a3", "v2"))
    case.assertFalse(find(check, [begun, other]))


def test_wrong_events_of_a_taken_up_stream_are_detected(case):
    """Guards against a check that misses events that are lost or repeated where a
    caller takes up a stream, or that belong to another one."""
    for body, complete, is_violation in (
        (expected_events("a1", first=3), True, False),
        (expected_events("a1", first=3)[:-9], False, False),
        (expected_events("a1", first=3)[:-9], True, True),
        (expected_events("a1", first=2), True, True),
        (expected_events("a1", first=4), True, True),
        (expected_events("a1"), True, True),
        (expected_events("a2", first=3), True, True),
        (expected_events("a1", first=3, last=5), False, True),
        (expected_events("a1", first=3) + b"id: 5", False, True),
        (expected_events("a1", "v9", first=3), True, True),
    ):
        taken_up = take_up(3, 4, body=body, complete=complete)
        violations = find(streams_are_in_order, [taken_up])
        case.assertEqual(bool(violations), is_violation, body)


def taken_up(count, failed, sent_at=20.0):
    """Returns the exchanges of streams of version v2 that callers take up.

    Args:
        count: Number of streams.
        failed: Number of those that don't go on.
        sent_at: Time at which they are taken up.
    """
    exchanges = []
    for n in range(count):
        first, second = f"a{sent_at}-{n}", f"b{sent_at}-{n}"
        body = expected_events(first, "v2", last=2)
        begun = exchange("resume", attempt=first, body=body, complete=False)
        fields = {"status": 503, "body": b""} if n < failed else {}
        resumed = take_up(3, 4, "v2", second, first, sent_at=sent_at, **fields)
        exchanges += [begun, resumed]
    return exchanges


def decode_server(name, software="v2", started_at=0.0, stage="decode"):
    """Returns a stand-in for a `SoakServer` with the attributes that checks read."""
    fields = {"software": software, "started_at": started_at, "stage": stage}
    return SimpleNamespace(name=name, **fields)


def test_streams_taken_up_in_vain_are_detected(case):
    """Guards against a check that misses streams which do not go on at their version,
    or misses those beside another version among others that go on."""
    few = MIN_TAKEN_UP // 2
    for beside, later, is_violation in (
        ((MIN_TAKEN_UP, few + 1), (0, 0), True),
        ((MIN_TAKEN_UP, few), (0, 0), False),
        ((MIN_TAKEN_UP - 1, few + 1), (0, 0), False),
        ((0, 0), (MIN_TAKEN_UP, few + 1), True),
        ((MIN_TAKEN_UP, few + 1), (MIN_TAKEN_UP, 0), True),
        ((MIN_TAKEN_UP, few), (MIN_TAKEN_UP, 0), False),
    ):
        violations = find(
            taken_up_streams_go_on,
            [*taken_up(*beside), *taken_up(*later, sent_at=30.0)],
            all_servers=lambda: [
                decode_server("dec-1-r1"),
                decode_server("dec-2-r2"),
                decode_server("dec-3-3", "v1"),
            ],
            leaving_since={"dec-3-3": 25.0},
        )
        case.assertEqual(bool(violations), is_violation, (beside, later))


def test_streams_whose_servers_do_not_serve_are_not_counted(case):
    """Guards against a check that expects streams to go on without two sound servers of
    their version, the store or the process, or that accepts harmless faults."""
    usual = decode_server("dec-2-2")
    for second, fault, left_at, is_violation in (
        (usual, ("dec-1", "Silence", 21.0), 20.2, True),
        (usual, ("dec-1", "Release", 21.0), 20.2, True),
        (usual, ("dec-3", "ServerLink", 21.0), 20.2, True),
        (usual, ("entry-1", "Kill", 16.9), 20.2, True),
        (usual, ("dec-1", "ServerLink", 21.0), 20.2, False),
        (usual, ("decode", "ContinuationError", 21.0), 20.2, False),
        (usual, ("entry-1", "Kill", 17.1), 20.2, False),
        (usual, ("store", "Store", 17.1), 20.2, False),
        (usual, ("dec-1", "Silence", 21.0), 20.05, False),
        (decode_server("dec-2-2", "v1"), ("dec-1", "Silence", 21.0), 20.2, False),
        (
            decode_server("dec-2-2", "v2", 20.05),
            ("dec-1", "Silence", 21.0),
            20.2,
            False,
        ),
        (decode_server("pre-1-2", stage="prefill"), ("x", "Kill", 21.0), 20.2, False),
    ):
        violations = find(
            taken_up_streams_go_on,
            taken_up(MIN_TAKEN_UP, MIN_TAKEN_UP),
            all_servers=lambda: [decode_server("dec-1-r1"), second],
            leaving_since={"dec-1-r1": left_at},
            injected_faults=[InjectedFault(*fault[:2], 16.0, fault[2])],
        )
        case.assertEqual(bool(violations), is_violation, (second, fault, left_at))


load_tests = collect(globals())
