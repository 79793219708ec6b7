"""The soak's checks: each one sees what it is there for, and nothing in a sound run."""

from types import SimpleNamespace

from amaranthbay.platform.tests.soak.callers import Exchange
from amaranthbay.platform.tests.soak.promises import (
    CHECKS,
    CONFIGURATION_S,
    DRAIN_S,
    Evidence,
    answers_belong_to_their_requests,
    answers_come_in_time,
    answers_that_say_leaving_are_heeded,
    configuration_is_in_force,
    leaving_servers_get_nothing,
    pauses_are_kept,
    processes_are_sound,
    refused_requests_never_run,
    repeats_keep_their_budget,
    requests_are_not_lost,
    requests_arrive_as_sent,
    runs_once,
    streams_are_in_order,
)
from amaranthbay.platform.tests.soak.servers import (
    Arrival,
    Statement,
    expected_body,
    expected_events,
)
from amaranthbay.platform.tests.soak.world import (
    MEMORY_MB,
    REPEAT_ALLOWANCE,
    Disturbance,
    Version,
    World,
)
from amaranthbay.utils.testing import collect

PLAIN = {"x-response-stamp": "stamp-desk-1"}
PATHS = {"look": "/look/", "book": "/book/", "move": "/move/", "once": "/once/"}


def world(arrivals=(), disturbances=(), **fields):
    """Returns what the checks read of a `World`."""
    made = SimpleNamespace(
        arrivals=lambda: list(arrivals),
        disturbances=disturbances,
        versions=[Version(1, "desk", 0.0)],
        leaving={},
        statements=lambda: [],
        processes={"entry-1": SimpleNamespace(exits=[0])},
        log_lines=lambda name: ([], []),
        peaks_mb={"entry-1": 60.0},
    )
    made.disturbed = lambda *args: World.disturbed(made, *args)
    vars(made).update(fields)
    return made


def exchange(kind="book", status=200, attempt="a1", at=10.0, seconds=0.1, **fields):
    """Returns a sound exchange, but for the fields given."""
    stream = kind == "once"
    body = expected_events(attempt) if stream else expected_body("desk-1", attempt)
    defaults = {"headers": PLAIN, "body": body, "complete": True}
    target = f"{PATHS[kind]}{attempt}?n=1"
    made = (attempt, kind, "entry-1", target, at, at + seconds, status)
    return Exchange(*made, **(defaults | fields))


def arrival(sent, server="desk-1", service="desk", at=None, ran=True, **fields):
    """Returns the arrival of an exchange at a server."""
    stream = sent.kind == "once"
    body = b"prompt of " + sent.attempt.encode() if stream else b""
    defaults = {"target": sent.target, "body": body, "prefill": False}
    return Arrival(
        attempt=sent.attempt,
        server=server,
        service=service,
        at=sent.sent_at if at is None else at,
        ran=ran,
        **(defaults | fields),
    )


def found(check, exchanges, arrivals=(), **fields):
    """Returns what one check says of a run."""
    return list(check(Evidence(world(arrivals, **fields), exchanges)))


def test_sound_run_breaks_nothing(case):
    """Guards against checks that fail for what is allowed."""
    sent = [exchange(kind, attempt=f"a{n}") for n, kind in enumerate(sorted(PATHS))]
    evidence = Evidence(world([arrival(each) for each in sent]), sent)
    for check in CHECKS:
        case.assertEqual(list(check(evidence)), [], check.__name__)


def test_second_run_is_seen(case):
    """Guards against a check that overlooks a request that ran twice."""
    sent = exchange()
    twice = [arrival(sent), arrival(sent, "desk-2")]
    case.assertTrue(found(runs_once, [sent], twice))
    again = exchange("look")
    twice = [arrival(again), arrival(again, "desk-2")]
    case.assertFalse(found(runs_once, [again], twice))


def test_run_after_a_refusal_is_seen(case):
    """Guards against a check that overlooks a false promise."""
    sent = exchange(status=503, headers={}, body=b"")
    late = [arrival(sent, at=15.0)]
    case.assertTrue(found(refused_requests_never_run, [sent], late))
    refused = [arrival(sent, ran=False)]
    case.assertFalse(found(refused_requests_never_run, [sent], refused))


def test_foreign_answers_are_seen(case):
    """Guards against a check that overlooks answers of other requests."""
    check = answers_belong_to_their_requests
    for wrong in (
        exchange(body=expected_body("desk-1", "a2")),
        exchange(headers={"x-response-stamp": "stamp-desk-9"}),
        exchange(headers={}),
        exchange(trailing=b"HTTP/1.1 200"),
    ):
        case.assertTrue(found(check, [wrong], [arrival(wrong)]), wrong)


def test_broken_order_of_events_is_seen(case):
    """Guards against a check that overlooks lost, repeated or missing events."""
    events = expected_events("a1")
    first = events[: events.index(b"id: 2")]
    for body in (events[len(first) :], first + events, first):
        wrong = exchange("once", body=body)
        case.assertTrue(found(streams_are_in_order, [wrong]), body)
    cut = exchange("once", body=first, complete=False)
    case.assertFalse(found(streams_are_in_order, [cut]))


def test_changed_and_unknown_requests_are_seen(case):
    """Guards against a check that overlooks what no caller has sent."""
    sent = exchange()
    for wrong in (
        [arrival(sent, body=b"x")],
        [arrival(sent, target="/book/other")],
        [arrival(exchange(attempt="a9"))],
        [arrival(sent), arrival(sent, "desk-2", ran=False)],
    ):
        case.assertTrue(found(requests_arrive_as_sent, [sent], wrong))


def test_repeats_beyond_the_budget_are_seen(case):
    """Guards against a check that overlooks a storm of repeats."""
    sent = exchange("look")
    storm = [arrival(sent, ran=False) for _ in range(REPEAT_ALLOWANCE + 3)]
    case.assertTrue(found(repeats_keep_their_budget, [sent], storm))


def test_lost_request_is_seen_unless_its_process_was_struck(case):
    """Guards against a check that overlooks a lost request, or excuses it by an outage
    of the store or by planned work."""
    lost = exchange(status=None, headers={}, body=b"", complete=False)
    ran = [arrival(lost)]
    case.assertTrue(found(requests_are_not_lost, [lost], ran))
    for form, excused in (("Kill", True), ("Stop", False), ("StoreLink", False)):
        struck = [Disturbance("entry-1", form, 9.0, 12.0)]
        broken = found(requests_are_not_lost, [lost], ran, disturbances=struck)
        case.assertEqual(not broken, excused, form)


def test_held_answers_are_seen(case):
    """Guards against a check that overlooks answers beyond the route's time."""
    held = [exchange(attempt=f"a{n}", seconds=2.8) for n in range(3)]
    case.assertTrue(found(answers_come_in_time, held))
    late = [exchange(attempt=f"a{n}", seconds=2.3) for n in range(3)]
    case.assertFalse(found(answers_come_in_time, late))


def test_old_configuration_is_seen(case):
    """Guards against a check that overlooks requests on a route that has moved."""
    versions = [Version(1, "desk", 0.0), Version(2, "other", 5.0)]
    old = exchange("move", at=5.0 + CONFIGURATION_S + 0.1)
    ran = [arrival(old)]
    case.assertTrue(found(configuration_is_in_force, [old], ran, versions=versions))
    soon = exchange("move", at=5.0 + CONFIGURATION_S - 0.1)
    ran = [arrival(soon)]
    case.assertFalse(found(configuration_is_in_force, [soon], ran, versions=versions))


def test_request_at_a_server_that_left_is_seen(case):
    """Guards against a check that overlooks work for leaving servers."""
    sent = exchange()
    for beyond_s, broken in ((0.1, True), (-0.1, False)):
        left_at = sent.sent_at - DRAIN_S - beyond_s
        leaving = {"desk-1": left_at}
        seen = found(
            leaving_servers_get_nothing, [sent], [arrival(sent)], leaving=leaving
        )
        case.assertEqual(bool(seen), broken)


def test_request_at_a_server_that_said_it_leaves_is_seen(case):
    """Guards against a check that overlooks work for a server whose answers say that
    it leaves, and against one that excuses it by a cut."""
    told = exchange(attempt="a1", at=10.0)
    said = [Statement("desk-1", "a1", 10.0, 0.0)]
    for at, form, broken in (
        (10.2 + DRAIN_S, "StoreLink", True),
        (10.0 + DRAIN_S, "StoreLink", False),
        (10.2 + DRAIN_S, "Pause", False),
    ):
        sent = exchange(attempt="a2", at=at)
        seen = found(
            answers_that_say_leaving_are_heeded,
            [told, sent],
            [arrival(told), arrival(sent)],
            disturbances=[Disturbance("entry-1", form, 11.0, 12.0)],
            statements=lambda: said,
        )
        case.assertEqual(bool(seen), broken, (at, form))


def test_requests_in_a_pause_are_seen(case):
    """Guards against a check that overlooks a third request in a pause, or counts those
    that were on their way."""
    asked = exchange(attempt="a0", at=10.0, status=503)
    said = [Statement("desk-1", "a0", 10.0, 3.0)]
    for times, broken in (
        ((10.6, 11.0, 12.9), True),
        ((10.6, 11.0, 13.1), False),
        ((10.4, 11.0, 12.9), False),
    ):
        sent = [exchange(attempt=f"a{at}", at=at) for at in times]
        seen = found(
            pauses_are_kept,
            [asked, *sent],
            [arrival(each) for each in (asked, *sent)],
            statements=lambda: said,
        )
        case.assertEqual(bool(seen), broken, times)


def test_unsound_processes_are_seen(case):
    """Guards against a check that overlooks exits, defects, stray output and memory."""
    crashed = {"entry-1": SimpleNamespace(exits=[0, -11])}
    defect = ([{"event": "defect"}], [])
    for fields in (
        {"processes": crashed},
        {"log_lines": lambda name: defect},
        {"log_lines": lambda name: ([], ["Traceback"])},
        {"peaks_mb": {"entry-1": MEMORY_MB + 1.0}},
    ):
        case.assertTrue(found(processes_are_sound, [], **fields))


load_tests = collect(globals())
