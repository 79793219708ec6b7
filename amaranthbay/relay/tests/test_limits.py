"""Limits that servers name for the requests of all instances together."""

import random

from hypothesis import given, settings, strategies as st

from amaranthbay.relay.limits import ServerLimits
from amaranthbay.utils.testing import ManualClock, collect, largest_count

# The platform's bound on the requests of instances that know of a limit: in each window
# half as much again as the limit allows, and five more.
WINDOW_S, FACTOR, SLACK = 4.0, 1.5, 5
STEP_S = 0.1
RUN_S = 30.0


def make_limits(clock=None, own="entry-1", names=("entry-1",), error_s=0.0):
    """Returns the `ServerLimits` of one instance.

    Args:
        clock: `ManualClock`, by default a new one.
        own: Name of the instance.
        names: Names of the instances that it knows.
        error_s: Seconds by which its shared time is ahead.
    """
    clock = clock or ManualClock()
    known_names = frozenset(names)
    return ServerLimits(
        clock, lambda: 1000.0 + clock.monotonic() + error_s, own, lambda: known_names
    )


def make_fleet(clock, size, errors_s=lambda number: 0.0, unknown=lambda number: ()):
    """Returns the `ServerLimits` of each instance of a fleet.

    Args:
        clock: `ManualClock`.
        size: Number of instances.
        errors_s: Function of an instance's number that returns the seconds by which its
            shared time is ahead.
        unknown: Function of an instance's number that returns the numbers of those that
            it doesn't know.
    """
    numbers = range(size)
    return [
        make_limits(
            clock,
            f"entry-{number}",
            [f"entry-{other}" for other in numbers if other not in unknown(number)],
            errors_s(number),
        )
        for number in numbers
    ]


def send_times(clock, fleet, rate_per_s, server="a", seconds=RUN_S):
    """Returns the times of the requests that a fleet sends under constant demand."""
    for limits in fleet:
        limits.note_limit(server, rate_per_s)
    times = []
    while clock.monotonic() < seconds:
        clock.advance(STEP_S)
        for limits in fleet:
            while limits.withdraw(server):
                times.append(clock.monotonic())
    return times


def allowed(rate_per_s):
    return FACTOR * WINDOW_S * rate_per_s + SLACK


SIZES = st.sampled_from((1, 2, 3, 8, 9, 40, 195))
RATES = st.floats(0.0, 20.0)


@settings(max_examples=30, derandomize=True, deadline=None)
@given(SIZES, RATES, st.text(min_size=1, max_size=5))
def check_fleet(size, rate_per_s, server):
    clock = ManualClock()
    times = send_times(clock, make_fleet(clock, size), rate_per_s, server, 10.0)
    assert largest_count(times, WINDOW_S) <= allowed(rate_per_s)


def test_limit_holds_for_any_number_of_instances(case):
    """Guards against shares of a limit that are rounded up, one for each instance."""
    check_fleet()


def test_each_of_several_servers_gets_what_its_limit_allows(case):
    """Guards against one budget for all servers, and against a limit that lies unused
    although every instance has requests."""
    clock = ManualClock()
    fleet = make_fleet(clock, 8)
    for limits in fleet:
        for server, rate_per_s in (("a", 1.0), ("b", 3.5), ("c", 24.0)):
            limits.note_limit(server, rate_per_s)
    sent = {"a": 0, "b": 0, "c": 0}
    while clock.monotonic() < 40.0:
        clock.advance(STEP_S)
        for limits in fleet:
            for server in sent:
                while limits.withdraw(server):
                    sent[server] += 1
    for server, rate_per_s in (("a", 1.0), ("b", 3.5), ("c", 24.0)):
        case.assertLessEqual(sent[server], 40.0 * rate_per_s + 2)
        case.assertGreater(sent[server], 0.85 * 40.0 * rate_per_s)


def test_limit_holds_between_instances_that_do_not_know_each_other_yet(case):
    """Guards against two owners of many slots while an instance has just come."""
    for newcomer in range(8):
        clock = ManualClock()
        fleet = make_fleet(
            clock, 8, unknown=lambda number: () if number == newcomer else (newcomer,)
        )
        times = send_times(clock, fleet, 1.0)
        case.assertLessEqual(largest_count(times, WINDOW_S), allowed(1.0))


def test_limit_holds_with_shared_times_that_differ(case):
    """Guards against bursts of instances whose shared time is wrong by the time that a
    slow store takes to answer."""
    for seed in range(8):
        rng = random.Random(seed)
        errors_s = [rng.uniform(-0.9, 0.0) for _ in range(9)]
        clock = ManualClock()
        fleet = make_fleet(clock, 9, errors_s=lambda number: errors_s[number])
        times = send_times(clock, fleet, 1.2)
        case.assertLessEqual(largest_count(times, WINDOW_S), allowed(1.2))


def test_wait_ends_with_a_slot_that_may_be_used(case):
    """Guards against a time to come back at which there is no room either."""
    clock = ManualClock()
    fleet = make_fleet(clock, 5)
    for limits in fleet:
        limits.note_limit("a", 0.7)
    for _ in range(20):
        for limits in fleet:
            while limits.withdraw("a"):
                pass
        waits_s = [limits.wait_s("a") for limits in fleet]
        case.assertGreater(min(waits_s), 0.0)
        clock.advance(min(waits_s) + 0.001)
        limits = fleet[waits_s.index(min(waits_s))]
        case.assertEqual(limits.wait_s("a"), 0.0)


def test_unused_slots_do_not_add_up(case):
    """Guards against a burst after a time without requests."""
    clock = ManualClock()
    limits = make_limits(clock)
    limits.note_limit("a", 5.0)
    clock.advance(60.0)
    sent = sum(limits.withdraw("a") for _ in range(100))
    case.assertLessEqual(sent, 5 * 1.0 + 2)


def test_server_that_takes_nothing_is_asked_now_and_then(case):
    """Guards against never finding out that a limit of zero has ended."""
    clock = ManualClock()
    times = send_times(clock, make_fleet(clock, 3), 0.0, seconds=60.0)
    case.assertGreater(len(times), 2)
    case.assertLessEqual(largest_count(times, WINDOW_S), allowed(0.0))


def test_clock_of_the_store_that_goes_back_stops_no_requests(case):
    """Guards against waiting until a restored store's clock has caught up."""
    clock = ManualClock()
    start_s = [1000.0]
    limits = ServerLimits(
        clock,
        lambda: start_s[0] + clock.monotonic(),
        "entry-1",
        lambda: frozenset(("entry-1",)),
    )
    limits.note_limit("a", 1.0)
    start_s[0] = 0.0
    clock.advance(2.0)
    limits.wait_s("a")
    clock.advance(1.0)
    case.assertTrue(limits.withdraw("a"))


def test_server_without_a_limit_gets_all_requests(case):
    """Guards against holding requests back that no server has limited."""
    limits = make_limits()
    limits.note_limit("a", 1.0)
    case.assertEqual(limits.wait_s("b"), 0.0)
    case.assertTrue(all(limits.withdraw("b") for _ in range(50)))


def test_limit_ends_only_with_an_answer_to_a_later_request(case):
    """Guards against a late answer from before the limit that ends it."""
    clock = ManualClock()
    limits = make_limits(clock)
    sent_before = clock.monotonic()
    clock.advance(1.0)
    limits.note_limit("a", 2.0)
    limits.note_unlimited("a", sent_before)
    case.assertEqual(limits.rate_per_s("a"), 2.0)
    clock.advance(1.0)
    limits.note_unlimited("a", clock.monotonic())
    case.assertIsNone(limits.rate_per_s("a"))
    case.assertTrue(all(limits.withdraw("a") for _ in range(50)))


def test_start_and_end_of_a_limit_are_told_to_other_instances(case):
    """Guards against instances that each send a request to learn of a limit, and that
    hold requests back long after its end, as their next slot is far off."""
    clock = ManualClock()
    first, second = make_fleet(clock, 2)
    first.note_limit("a", 0.2)
    second.merge(first.report())
    case.assertEqual(second.rate_per_s("a"), 0.2)
    clock.advance(1.0)
    first.note_unlimited("a", clock.monotonic())
    second.merge(first.report())
    case.assertIsNone(second.rate_per_s("a"))


def test_report_that_is_overtaken_changes_nothing(case):
    """Guards against an older report that ends a limit or names it again."""
    clock = ManualClock()
    first, second = make_fleet(clock, 2)
    first.note_limit("a", 1.0)
    named = first.report()
    clock.advance(0.5)
    first.note_unlimited("a", clock.monotonic())
    ended = first.report()
    second.merge(ended)
    second.merge(named)
    second.merge(named)
    case.assertIsNone(first.rate_per_s("a"))
    clock.advance(0.5)
    second.note_limit("a", 2.0)
    second.merge(ended)
    case.assertEqual(second.rate_per_s("a"), 2.0)
    first.merge(named)
    case.assertIsNone(first.rate_per_s("a"))


def test_report_names_only_what_answers_have_said_lately(case):
    """Guards against a limit that instances tell each other forever."""
    clock = ManualClock()
    first, second = make_fleet(clock, 2)
    first.note_limit("a", 1.0)
    second.merge(first.report())
    case.assertEqual(second.report(), {})
    clock.advance(11.0)
    case.assertEqual(first.report(), {})


def test_clock_of_the_store_that_goes_back_lets_limits_end(case):
    """Guards against a limit that no answer and no report can end after a restore."""
    for told in (False, True):
        clock = ManualClock()
        start_s = [1000.0]
        fleet = [
            ServerLimits(
                clock,
                lambda: start_s[0] + clock.monotonic(),
                name,
                lambda: frozenset(("entry-1", "entry-2")),
            )
            for name in ("entry-1", "entry-2")
        ]
        for limits in fleet:
            limits.note_limit("a", 1.0)
        start_s[0] = 0.0
        clock.advance(1.0)
        fleet[0].note_unlimited("a", clock.monotonic())
        case.assertIsNone(fleet[0].rate_per_s("a"))
        if told:
            fleet[1].merge(fleet[0].report())
            case.assertIsNone(fleet[1].rate_per_s("a"))


def test_limit_of_a_server_that_is_gone_is_forgotten(case):
    """Guards against limits that pile up over the life of a process, and against
    forgetting the limit of a server whose entry is missing for a moment."""
    clock = ManualClock()
    limits = make_limits(clock)
    limits.note_limit("a", 1.0)
    clock.advance(10.0)
    limits.sweep(lambda name: False)
    case.assertEqual(limits.rate_per_s("a"), 1.0)
    clock.advance(200.0)
    limits.sweep(lambda name: True)
    case.assertEqual(limits.rate_per_s("a"), 1.0)
    limits.sweep(lambda name: False)
    case.assertIsNone(limits.rate_per_s("a"))


load_tests = collect(globals())
