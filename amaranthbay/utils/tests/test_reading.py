"""Memory and turns of readers, without peers."""

import gevent
from gevent import socket

from amaranthbay.kernel.clock import SystemClock
from amaranthbay.utils.reading import (
    TURN_S,
    BoundedReader,
    ReadLimitExceeded,
    ReadMemory,
    TurnQueue,
)
from amaranthbay.utils.testing import ManualClock, collect

TOTAL, MESSAGE = 1000, 500


def test_largest_message_yields_to_others(case):
    """Guards against a peer that sends without end and displaces the messages of
    others."""
    memory, dropped = ReadMemory(TOTAL), []
    large = memory.begin(on_evicted=lambda: dropped.append("large"))
    large.add(400)
    others = [memory.begin() for _ in range(7)]
    for other in others:
        other.add(100)
    case.assertEqual(dropped, ["large"])
    with case.assertRaises(ReadLimitExceeded) as raised:
        large.add(1)
    case.assertEqual(raised.exception.reason, "memory_full")
    case.assertEqual(memory.used_bytes, 700)


def test_complete_message_keeps_its_bytes(case):
    """Guards against memory that is given away while an answer is passed on."""
    memory = ReadMemory(TOTAL)
    complete = memory.begin()
    complete.add(MESSAGE)
    complete.complete()
    second = memory.begin()
    second.add(MESSAGE)
    second.complete()
    with case.assertRaises(ReadLimitExceeded):
        memory.begin().add(1)
    complete.release()
    complete.release()
    memory.begin().add(1)
    case.assertFalse(second.evicted)


def test_message_has_a_limit_of_its_own(case):
    """Guards against one message that uses up all memory."""
    memory = ReadMemory(TOTAL)
    message = memory.begin()
    message.add(MESSAGE)
    with case.assertRaises(ReadLimitExceeded) as raised:
        message.add(1)
    case.assertEqual(raised.exception.reason, "answer_too_large")
    case.assertEqual(memory.used_bytes, 0)
    memory.begin(limit_bytes=TOTAL).add(TOTAL)


def test_dropped_message_frees_its_bytes(case):
    """Guards against memory that stays used, as a greenlet that reads is killed."""
    memory = ReadMemory(TOTAL)
    for complete in (False, True):
        message = memory.begin()
        message.add(10)
        if complete:
            message.complete()
        del message
        case.assertEqual(memory.used_bytes, 0)


def test_evicted_message_is_not_complete(case):
    """Guards against a request that is forwarded with an empty body, as its body was
    evicted after its last bytes had arrived."""
    memory = ReadMemory(TOTAL)
    ours, theirs = socket.socketpair()
    case.addCleanup(ours.close)
    case.addCleanup(theirs.close)
    reader = BoundedReader(ours, memory)
    reader.hold(400)
    others = [memory.begin() for _ in range(7)]
    for other in others:
        other.add(100)
    case.assertTrue(reader.evicted)
    with case.assertRaises(ReadLimitExceeded):
        reader.complete()


def test_connections_count(case):
    """Guards against connections that take the memory that the account still gives to
    messages."""
    memory, dropped = ReadMemory(TOTAL), []
    message = memory.begin(on_evicted=lambda: dropped.append(1))
    message.add(MESSAGE)
    memory.add_fixed(TOTAL - MESSAGE + 1)
    case.assertEqual((dropped, memory.used_bytes), ([1], TOTAL - MESSAGE + 1))
    memory.remove_fixed(TOTAL - MESSAGE + 1)
    memory.begin().add(MESSAGE)


def test_reader_gives_way_only_after_long_work(case):
    """Guards against a reader that stops all others, and against one that pauses after
    each read."""
    ours, theirs = socket.socketpair()
    case.addCleanup(ours.close)
    case.addCleanup(theirs.close)
    clock, turns = ManualClock(), []
    reader = BoundedReader(ours, ReadMemory(TOTAL), clock)
    theirs.sendall(b"x" * 10)
    for _ in range(5):
        gevent.spawn(turns.append, 1)
        reader.recv(1)
        case.assertFalse(turns)
    clock.advance(TURN_S)
    reader.recv(1)
    case.assertTrue(turns)


def test_reader_lets_evicted_messages_go_before_it_reads_on(case):
    """Guards against bytes that are read before those that had to yield are free."""
    ours, theirs = socket.socketpair()
    case.addCleanup(ours.close)
    case.addCleanup(theirs.close)
    memory, clock, turns = ReadMemory(TOTAL, TOTAL), ManualClock(), []
    reader = BoundedReader(ours, memory, clock)
    theirs.sendall(b"x" * 10)
    largest = memory.begin(on_evicted=lambda: gevent.spawn(turns.append, 1))
    largest.add(TOTAL)
    reader.hold(1)
    case.assertTrue(largest.evicted)
    case.assertFalse(turns)
    reader.recv(1)
    case.assertEqual(turns, [1])


def test_busy_greenlets_go_on_one_after_the_other(case):
    """Guards against many busy greenlets that all run between two looks at the
    sockets."""
    queue, clock, looks, gone_on_at = TurnQueue(), SystemClock(), [0], []

    def look():
        while True:
            looks[0] += 1
            clock.sleep(1e-5)

    def work():
        queue.wait(clock)
        gone_on_at.append(looks[0])

    looker = gevent.spawn(look)
    gevent.joinall([gevent.spawn(work) for _ in range(5)])
    looker.kill()
    case.assertEqual(len(set(gone_on_at)), 5)


load_tests = collect(globals())
