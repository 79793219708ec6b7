"""Which waiting streams the queue places, and what a pass over it costs."""

from unittest import mock

import gevent

from amaranthbay.fleet.reports import ServerLoad
from amaranthbay.relay import placing
from amaranthbay.relay.context import RelayContext
from amaranthbay.relay.tests.placing_fixture import (
    MEMORY_TOKENS,
    QueueFixture,
    make_call,
)
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
    with mock.patch.object(fixture.queue, "advance"):
        ends[0]()
    repeat = place_soon(case, fixture, make_call(1, 100.0), must_skip_prefill=True)
    case.assertTrue(repeat.ready() and repeat.value.is_ok())


def test_pass_sees_what_it_has_placed(case):
    """Guards against a pass that fills a server beyond its memory, and against one that
    reads the state of all servers again for each stream."""
    fixture = QueueFixture(20)
    ends = fixture.fill(FULL)
    waiting = [place_soon(case, fixture, make_call(0, 100.0)) for _ in range(60)]
    with mock.patch.object(fixture.queue, "advance"):
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


load_tests = collect(globals())
