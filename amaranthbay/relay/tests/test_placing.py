"""Which waiting streams the queue places, and what a pass over it costs."""

from unittest import mock

import gevent

from amaranthbay.fleet.reports import MeasuredDemand, PeerStatus, ServerLoad
from amaranthbay.relay import placing
from amaranthbay.relay.context import RelayContext
from amaranthbay.relay.tests.placing_fixture import (
    MEMORY_TOKENS,
    QueueFixture,
    make_call,
)
from amaranthbay.relay.waiting import CandidateCache
from amaranthbay.utils.testing import collect

FULL = ServerLoad(1, MEMORY_TOKENS, 0)


def place_soon(case, fixture, call, **options):
    """Returns the greenlet in which a stream is placed or waits."""
    greenlet = gevent.spawn(fixture.queue.place, call, **options)
    case.addCleanup(greenlet.kill)
    gevent.sleep(0)
    return greenlet


def test_stream_with_events_enters_a_full_queue(case):
    """Guards against breaking off a stream that the caller has events of while streams
    that have not begun wait, and against other refusals with a single priority."""
    case.enterContext(mock.patch.object(placing, "MAX_QUEUE_LENGTH", 1))
    for priorities, is_kept in (((0, 1, 2), True), ((1,), False)):
        fixture = QueueFixture(priorities=priorities)
        fixture.fill(FULL)
        new = place_soon(case, fixture, make_call(1, 100.0))
        began = place_soon(case, fixture, make_call(1, 100.0), continued=True)
        refused, other = (new, began) if is_kept else (began, new)
        case.assertTrue(refused.get(timeout=5).is_err())
        case.assertFalse(other.ready())


def test_repeat_after_the_longest_wait_starts_if_there_is_room(case):
    """Guards against refusing a repeat without a look at the servers as other streams
    wait and a pass was a moment ago."""
    fixture = QueueFixture()
    ends = fixture.fill(FULL)
    place_soon(case, fixture, make_call(0, 100.0, 20_000))
    fixture.clock.advance(3.6)
    fixture.queue.advance(at_once=True)
    ends[0]()
    repeat = place_soon(case, fixture, make_call(1, 100.0), must_skip_prefill=True)
    case.assertTrue(repeat.ready() and repeat.value.is_ok())


def test_pass_sees_what_it_has_placed(case):
    """Guards against a pass that fills a server beyond its memory, and against one that
    reads the state of all servers again for each stream."""
    fixture = QueueFixture(20)
    ends = fixture.fill(FULL)
    waiting = [place_soon(case, fixture, make_call(0, 100.0)) for _ in range(60)]
    for end in ends:
        end()
    read, candidate = [], RelayContext._candidate

    def note_read(*arguments):
        read.append(1)
        return candidate(*arguments)

    with mock.patch.object(RelayContext, "_candidate", note_read):
        fixture.queue.advance(at_once=True)
    gevent.sleep(0)
    placed = [greenlet.value.unwrap() for greenlet in waiting if greenlet.ready()]
    case.assertEqual(len(placed), 60)
    for load in fixture.placed_load.loads().values():
        case.assertLessEqual(load.memory_tokens, MEMORY_TOKENS)
    case.assertLessEqual(len(read), 20 + 2 * 60)


def test_held_back_streams_are_not_looked_at_one_by_one(case):
    """Guards against passes that choose servers for each stream of a long queue, none
    of which may start, and against holding back a smaller stream for a larger one."""
    fixture = QueueFixture(20)
    ends = fixture.fill(FULL)
    for size in (3100, 3000, *range(3001, 3031)):
        place_soon(case, fixture, make_call(1, 100.0, size))
    fixture.clock.advance(1.5)
    # The next pass is due later, so that none runs as the loads change.
    fixture.queue.advance(at_once=True)
    for end in ends:
        end()
    fixture.fill(ServerLoad(1, 19_000, 0))
    chosen, choose = [], placing.choose_decode

    def note_chosen(candidates, need_tokens, *arguments):
        chosen.append(need_tokens)
        return choose(candidates, need_tokens, *arguments)

    with mock.patch.object(placing, "choose_decode", note_chosen):
        fixture.queue.advance(at_once=True)
    case.assertEqual(fixture.queue.length(), 32)
    case.assertLessEqual(len(chosen), 2)


def test_small_stream_starts_beside_a_large_one_that_is_held_back(case):
    """Guards against places counted in the size of another stream, so that a small one
    waits although it leaves the reserved places free."""
    fixture = QueueFixture()
    for name, used in zip(fixture.names[2:], (4000, 20_000)):
        fixture.placed_load.add(name, ServerLoad(1, used, 0))
    # The large one would take the only place of its size.
    large_call = make_call(1, 100.0, 18_000, target_s=3.0)
    large = place_soon(case, fixture, large_call)
    fixture.clock.advance(0.8)
    small = place_soon(case, fixture, make_call(1, 100.8, 1000, target_s=3.0))
    fixture.queue.advance(at_once=True)
    gevent.sleep(0)
    case.assertFalse(large.ready())
    case.assertTrue(small.ready() and small.value.is_ok())


def test_placement_that_is_given_up_earns_no_credit(case):
    """Guards against a class that is owed starts because servers have refused it."""
    fixture = QueueFixture()
    call, placements = make_call(2, 100.0), []
    for _ in range(3):
        placements.append(place_soon(case, fixture, call).value.unwrap())
    for placement in placements:
        placement.release()
        fixture.queue.note_not_started(call, placement)
    case.assertEqual(fixture.queue._credits.owed("lm", call.priority), 0)


def test_standby_instances_count_by_the_streams_that_they_measure(case):
    """Guards against places that are kept for instances that place few streams."""
    fixture = QueueFixture(peers_count=3)
    for number, streams in enumerate((60, 60, 3), 1):
        demand = MeasuredDemand(2900, 30_000, 1.8, streams)
        demands = {"lm": demand}
        fixture.peers.receive(PeerStatus(f"entry-{number}", 5, 1, True, {}, demands))
    cache = CandidateCache(fixture.ctx)
    case.assertAlmostEqual(cache.placing_instances("lm"), 1 + 2 + 3 / 60)
    case.assertEqual(cache.placing_instances("other"), 1)


def test_busy_instance_counts_others_by_its_own_streams(case):
    """Guards against places that a single busy instance keeps for others, each of which
    it would take for as busy as itself, although all are on standby."""
    fixture = QueueFixture(peers_count=2)
    few = {"lm": MeasuredDemand(2900, 30_000, 1.8, 3)}
    for number in (1, 2):
        status = PeerStatus(f"entry-{number}", 5, 1, True, {}, demands=few)
        fixture.peers.receive(status)
    own = {"lm": MeasuredDemand(2900, 30_000, 1.8, 60)}
    with mock.patch.object(fixture.ctx.demand, "own_demands", lambda: own):
        instances = CandidateCache(fixture.ctx).placing_instances("lm")
    case.assertAlmostEqual(instances, 1 + 2 * 3 / 60)


def test_slow_passes_are_run_less_often(case):
    """Guards against passes over a long queue that use up a small machine's core."""
    fixture = QueueFixture()
    fixture.fill(FULL)
    place_soon(case, fixture, make_call(0, 100.0))
    passes = []

    def run_slowly(*arguments):
        passes.append(fixture.clock.monotonic())
        fixture.clock.advance(0.003)
        return []

    with mock.patch.object(fixture.queue, "_start_sequence", run_slowly):
        for _ in range(60):
            fixture.clock.advance(0.001)
            fixture.queue.advance()
    gaps = [later - first for first, later in zip(passes, passes[1:])]
    case.assertGreaterEqual(min(gaps), 0.02 - 1e-9)
    case.assertLessEqual(max(gaps), placing.RECHECK_INTERVAL_S)


def test_memory_is_reserved_until_the_others_have_reported(case):
    """Guards against instances that fill the same decode servers after a restart of all
    of them, and against reserving memory for long as some of them never come back."""

    def may_be_full(fixture):
        call = make_call(0, fixture.clock.monotonic(), 400)
        placement = place_soon(case, fixture, call).value.unwrap()
        placement.release()
        return placement.may_be_full

    fixture = QueueFixture(8, peers_count=4)
    case.assertTrue(may_be_full(fixture))
    fixture.report(ServerLoad(1, 100, 0))
    case.assertFalse(may_be_full(fixture))
    silent = QueueFixture(8, peers_count=4)
    case.assertTrue(may_be_full(silent))
    silent.clock.advance(2.1)
    case.assertFalse(may_be_full(silent))
    case.assertFalse(may_be_full(QueueFixture(8)))


def test_placements_of_others_count_before_they_measure_a_demand(case):
    """Guards against servers that are overcommitted within the delay of reports in the
    seconds after a restart of all instances, as no stream has ended yet."""
    shares = []
    for loads in (ServerLoad(), ServerLoad(1, 100, 0)):
        fixture = QueueFixture(4, peers_count=11)
        fixture.report(loads)
        placed = []
        for _ in range(6):
            call = make_call(0, fixture.clock.monotonic(), 2900)
            placed.append(place_soon(case, fixture, call).value.unwrap())
        shares.append(placed[-1].may_be_full)
    case.assertEqual(shares, [False, True])


def test_first_measured_demand_does_not_hide_other_instances(case):
    """Guards against overcommitted servers as the first instances after a restart have
    measured a demand, and the others only report loads."""
    fixture = QueueFixture(4, peers_count=11)
    fixture.report(ServerLoad(1, 100, 0))
    demand = MeasuredDemand(2900, 30_000, 1.8, 60)
    load = {name: ServerLoad(1, 100, 0) for name in fixture.names}
    fixture.peers.receive(PeerStatus("entry-1", 5, 2, True, load, {"lm": demand}))
    for _ in range(6):
        call = make_call(0, fixture.clock.monotonic(), 2900)
        placement = place_soon(case, fixture, call).value.unwrap()
    case.assertTrue(placement.may_be_full)


load_tests = collect(globals())
