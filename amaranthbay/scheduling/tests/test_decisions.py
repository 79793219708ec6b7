"""Decisions on waiting streams, priorities and retry times."""

import itertools
from dataclasses import replace
from types import SimpleNamespace

from hypothesis import given, settings, strategies as st

from amaranthbay.relay.codec import CallHead
from amaranthbay.relay.speed import PrefillSpeed
from amaranthbay.routing import CallKind, Route, Service, WeightedService
from amaranthbay.routing.table import RoutingTable
from amaranthbay.scheduling import streams
from amaranthbay.scheduling.arrivals import ClassArrivals
from amaranthbay.scheduling.priorities import ClassCredits, ServicePriorities
from amaranthbay.scheduling.rates import RecentRate
from amaranthbay.scheduling.retries import ReturnTimes
from amaranthbay.scheduling.streams import Pressure, Urgency
from amaranthbay.utils.testing import collect
from amaranthbay.workspaces import Workspace
from amaranthbay.workspaces.keys import KeyTable

SHARES = (WeightedService("lm", 1.0),)
ROUTE = Route("r", "h", "/", CallKind.STREAM, SHARES, timeout_s=14.0, target_s=1.0)


def make_call(priority=1, arrived_at=0.0, deadline_s=14.0):
    return SimpleNamespace(
        priority=priority,
        service=SimpleNamespace(name="lm"),
        route=ROUTE,
        head=CallHead("a", deadline_s=deadline_s),
        arrived_at=arrived_at,
        target_at=arrived_at + ROUTE.target_s,
    )


def make_start(urgency, order_time, rank=None, **fields):
    call = make_call(rank or 0, **fields)
    has_returned = fields.get("deadline_s", ROUTE.timeout_s) < ROUTE.timeout_s
    return streams.WaitingStart(
        None, call, Urgency(urgency), order_time, rank=rank, returned=has_returned
    )


STARTS = st.builds(
    make_start,
    st.sampled_from(list(Urgency)),
    st.floats(0, 99),
    deadline_s=st.sampled_from((14.0, 5.0)),
)
SHARE = st.floats(0, 1)


@settings(derandomize=True, max_examples=100)
@given(st.lists(STARTS, max_size=20), st.floats(0, 1), SHARE, st.integers(0, 9))
def test_equal_priorities_change_neither_order_nor_starts(
    case, starts, wait_s, share, places
):
    """Guards against other orders and starts in a service with a single priority."""
    before = sorted(starts, key=lambda start: (start.urgency, start.order_time))
    case.assertEqual(streams.start_sequence(starts, lambda *key: 3), before)
    pressure = Pressure(wait_s, PrefillSpeed(), share, 0.1, places, 9)
    spare = wait_s <= streams.LATE_PREFILL_WAIT_S and share <= streams.LATE_MEMORY_SHARE
    for start in starts:
        expected = start.urgency is Urgency.IN_TIME or spare
        case.assertEqual(streams.may_start(start.urgency, pressure, None), expected)


def test_order_by_urgency_priority_and_arrival(case):
    """Guards against late or less urgent streams that start first, against new streams
    that overtake those whose callers have events, against returned streams that make
    others late although they are late themselves, and against late streams that wait
    behind others whose callers stay longer."""
    began = replace(make_start(0, 5.0, rank=2), continued=True)
    returned = make_start(1, 1.02, rank=0, deadline_s=5.0)
    new, owed = make_start(0, 1.0, rank=0), make_start(0, 3.0, rank=2)
    other = make_start(0, 0.0, rank=1)
    late = make_start(2, 9.0, rank=1, arrived_at=0.0)
    later = make_start(2, 0.0, rank=0, arrived_at=0.5)
    expected = [began, owed, new, other, returned, late, later]
    for starts in itertools.permutations(expected):
        sequence = streams.start_sequence(
            starts, lambda service, priority: priority == 2
        )
        case.assertEqual([s.call for s in sequence], [s.call for s in expected])


def test_late_stream_with_a_usual_short_deadline_has_not_returned(case):
    """Guards against late streams that take all memory, as those of callers who were
    refused do, since their callers usually state less than the route's timeout."""
    new = replace(make_start(1, 0.0, rank=0, deadline_s=5.0), returned=False)
    returned = make_start(1, 0.0, rank=0, deadline_s=5.0)
    sequence = streams.start_sequence([new, returned], lambda *key: 0)
    urgencies = [start.urgency for start in sequence]
    case.assertEqual(urgencies, [Urgency.RETURNED, Urgency.LATE])


def test_less_urgent_streams_leave_places(case):
    """Guards against urgent streams that find all servers full, and against a reserve
    that keeps a class from its least share."""
    full = Pressure(0.0, PrefillSpeed(), 0.9, 0.1, free_places=2, all_places=100)
    queued = replace(full, prefill_wait_s=0.6, free_places=50)
    for pressure in (full, queued):
        starts = [
            streams.may_start(Urgency.IN_TIME, pressure, rank) for rank in (-1, 0, 1)
        ]
        case.assertEqual(starts, [True, True, False])


def test_room_follows_the_streams_that_arrive(case):
    """Guards against capacity that is kept for more urgent streams that don't come, and
    against prompts that make the next ones of these late."""
    arrivals = ClassArrivals()
    idle = Pressure(0.0, PrefillSpeed(), 0.9, 0.1, free_places=2, all_places=100)

    def starts(wait_s, now):
        need = arrivals.urgent_need("lm", 1, 1, lambda tokens: 0.2, now)
        pressure = replace(idle, prefill_wait_s=wait_s, urgent_need=need)
        return streams.may_start(Urgency.IN_TIME, pressure, 1)

    # Nothing is known yet, so that the fixed reserve and wait hold.
    arrivals.note(make_call(1), 0.0)
    case.assertFalse(starts(0.0, 0.5))
    case.assertTrue(starts(9.0, 1.5))
    for number in range(100):
        arrivals.note(make_call(0), 2.0 + 0.01 * number)
    # They can spare 0.8 s, and some 30 of them per second arrive.
    case.assertFalse(starts(0.0, 3.0))
    idle = replace(idle, free_places=20)
    case.assertTrue(starts(0.39, 3.0))
    case.assertFalse(starts(0.41, 3.0))
    idle = replace(idle, free_places=2)
    case.assertTrue(starts(9.0, 9.0))


def test_stream_does_not_start_more_easily_once_it_is_late(case):
    """Guards against less urgent streams that are held back until they are late, and
    then take the places that were kept for more urgent ones."""
    full = Pressure(0.0, PrefillSpeed(), 0.7, 0.1, free_places=2, all_places=100)
    for urgency, rank in itertools.product((Urgency.IN_TIME, Urgency.LATE), (0, 1)):
        starts = streams.may_start(urgency, full, rank)
        case.assertEqual(starts, rank == 0, (urgency, rank))


def test_returned_streams_are_known_by_the_usual_deadline(case):
    """Guards against new streams that start last as their callers state less than the
    route's timeout, and against returned ones that count as new."""
    arrivals = ClassArrivals()

    def has_returned(deadline_s, now=0.0):
        call = make_call(0, deadline_s=deadline_s)
        arrivals.note(call, now)
        return arrivals.has_returned(call)

    returned = [has_returned(d) for d in (5.0, 5.0, 14.0, 9.0, 12.0, None)]
    case.assertEqual(returned, [False, False, False, True, False, False])
    later = [has_returned(5.0, now) for now in (14.0, 16.0, 32.0)]
    case.assertEqual(later, [True, True, False])
    # The longest deadline was stated minutes ago.
    arrivals.note(make_call(0, deadline_s=14.0), 40.0)
    case.assertFalse(has_returned(5.0, 600.0))


def test_class_that_never_starts_is_owed_its_share(case):
    """Guards against a class that starves, also one with few streams."""
    credits, owed = ClassCredits(), 0
    for number in range(200):
        now = 0.1 * number
        credits.note_arrived("lm", 0, now)
        if number % 2:
            credits.note_started("lm", 0, now)
        if number % 20 == 0:
            credits.note_arrived("lm", 2, now)
            if credits.owed("lm", 2):
                credits.note_started("lm", 2, now)
                owed += 1
    case.assertIn(owed, (1, 2))


def test_start_that_a_server_refuses_uses_up_no_credit(case):
    """Guards against a class that starves as its streams find full servers, and against
    a share of starts below 0 after they are taken back late."""
    credits = ClassCredits()
    for _ in range(10):
        credits.note_arrived("lm", 2, 0.0)
        credits.note_started("lm", 2, 0.0)
    for _ in range(4):
        credits.note_arrived("lm", 2, 0.0)
    owed = credits.owed("lm", 2)
    case.assertGreaterEqual(owed, 1)
    used = credits.note_started("lm", 2, 0.0)
    credits.note_not_started("lm", 2, used, 0.0)
    case.assertEqual(credits.owed("lm", 2), owed)
    for _ in range(3):
        credits.note_not_started("lm", 2, 1.0, 99.0)
        credits.note_arrived("lm", 2, 99.0)
    case.assertGreaterEqual(credits.owed("lm", 2), owed)


def test_start_that_a_server_refuses_earns_no_credit(case):
    """Guards against less urgent streams that go before urgent ones because their
    servers were full, although their class was owed nothing."""
    credits = ClassCredits()
    for _ in range(5):
        used = credits.note_started("lm", 2, 0.0)
        credits.note_not_started("lm", 2, used, 0.0)
    case.assertEqual(credits.owed("lm", 2), 0)


def test_full_queue_drops_a_less_urgent_stream(case):
    """Guards against urgent streams that are refused while others wait, and against
    dropping streams of equal priority, with events or of returned callers."""
    first, second = make_call(2, 0.0), make_call(2, 0.1)
    calls = (make_call(1), first, second, make_call(2, 0.2, deadline_s=5.0))
    waiting = [SimpleNamespace(call=call, continued=False) for call in calls]
    waiting.append(SimpleNamespace(call=make_call(3), continued=True))
    case.assertIs(streams.stream_to_drop(waiting, make_call(0), 0.5).call, second)
    case.assertIs(streams.stream_to_drop(waiting, make_call(0), 1.05).call, first)
    case.assertIsNone(streams.stream_to_drop(waiting, make_call(2), 0.5))


def test_retry_times_follow_the_rate_of_ends(case):
    """Guards against refused callers who all come back at once, and against times that
    callers don't wait for."""
    rate = RecentRate(4.0, 3)
    for number in range(20):
        rate.note(0.1, 0.2 * number)
    freed_per_s = rate.per_s(3.99)
    case.assertAlmostEqual(freed_per_s, 0.5)
    case.assertIsNone(rate.per_s(20.0))
    returns = ReturnTimes()
    times = [returns.retry_s(4.0, 0.4, 0.1, freed_per_s, 4.0, 0.0) for _ in range(4)]
    case.assertEqual([round(seconds, 6) for seconds in times], [1.0, 1.4, 1.8, 2.2])
    for _ in range(50):
        seconds = returns.retry_s(4.0, 9.0, 0.1, freed_per_s, 4.0, 0.5)
        case.assertLessEqual(seconds, 4.0)


def test_priorities_of_a_service_follow_the_table(case):
    """Guards against an urgency that is told in services with a single priority, or not
    told as soon as a workspace brings a second one."""
    other = replace(ROUTE, services=(WeightedService("other", 1.0),), priority=4)
    services = {name: Service(name, 9) for name in ("lm", "other")}
    table = RoutingTable(1, (ROUTE, other), services)
    tables = [None, table]
    priorities = ServicePriorities(lambda: tables[-1])
    single = [priorities.of(name) for name in ("lm", "other")]
    case.assertEqual(single, [((1, 1),), ((4, 4),)])
    workspaces = [(Workspace("a", 0), ()), (Workspace("b"), ())]
    tables.append(replace(table, version=2, workspaces=KeyTable(workspaces)))
    mixed = [priorities.of(name) for name in ("lm", "other")]
    case.assertEqual(mixed, [((0, 1), (1, 1)), ((0, 4), (4, 4))])


def test_memory_is_reserved_sooner_while_instances_place_much(case):
    """Guards against servers that are overcommitted by placements which instances make
    within the delay of their reports."""
    case.assertEqual(streams.reservation_share(0.0, 11, 26_000), 0.6)
    case.assertEqual(streams.reservation_share(500_000.0, 0, 26_000), 0.6)
    busy = [streams.reservation_share(rate, 11, 26_000) for rate in (2e4, 3e4, 4e4)]
    case.assertEqual(busy, sorted(busy, reverse=True))
    case.assertLess(busy[-1], 0.3)


load_tests = collect(globals())
