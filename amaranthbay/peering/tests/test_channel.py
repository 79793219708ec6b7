"""Peer channel between two channels of one process on loopback."""

import contextlib
import tempfile
from dataclasses import dataclass
from pathlib import Path

import gevent
import zmq.green as zmq

from amaranthbay.kernel.clock import SystemClock
from amaranthbay.kernel.registry import register
from amaranthbay.peering import KeyRing, ZmqPeerChannel
from amaranthbay.peering.envelope import MAX_FRAME_BYTES
from amaranthbay.peering.links import OUTBOX_LENGTH
from amaranthbay.settings.daemon import KeySettings
from amaranthbay.utils.testing import collect, free_port, wait_until

KEY = "0123456789abcdef0123456789abcdef"
ASK_S = 5.0


@register("peer_message", "test_note")
@dataclass(frozen=True)
class Note:
    """Message of these tests."""

    text: str


def key_ring(secret=KEY):
    """Returns a ring with one key."""
    return KeyRing([KeySettings("k", environment="K")], {"K": secret})


class Pair:
    """Two channels that know each other."""

    def __init__(self, rings):
        self.addresses = {name: f"127.0.0.1:{free_port()}" for name in "ab"}
        self.a, self.b = (
            ZmqPeerChannel(
                name,
                lambda: 1,
                self.addresses[name],
                self.addresses.get,
                ring,
                SystemClock(),
            )
            for name, ring in zip("ab", rings)
        )


@contextlib.contextmanager
def running_pair(rings=None):
    """Starts two channels and stops them on exit."""
    pair = Pair(rings or (key_ring(), key_ring()))
    pair.a.start()
    pair.b.start()
    try:
        yield pair
    finally:
        pair.a.stop()
        pair.b.stop()


def test_question_is_answered(case):
    """Guards against a reply that goes to nobody or to another question."""
    pair = case.enterContext(running_pair())
    pair.b.on(Note, lambda sender, note: Note(f"{sender} {note.text}"))
    jobs = [gevent.spawn(pair.a.ask, "b", Note(str(n)), ASK_S) for n in range(20)]
    answers = [job.get() for job in jobs]
    case.assertEqual(answers, [Note(f"a {n}") for n in range(20)])


def test_message_arrives_once(case):
    """Guards against a message that is lost or repeated in a working channel."""
    pair = case.enterContext(running_pair())
    got = []
    pair.b.on(Note, lambda sender, note: got.append(note.text))
    for number in range(50):
        case.assertTrue(pair.a.send("b", Note(str(number))))
    wait_until(lambda: len(got) == 50)
    case.assertEqual(got, [str(number) for number in range(50)])


def test_absent_peer_blocks_nobody(case):
    """Guards against a request that waits for a peer that is not there."""
    pair = case.enterContext(running_pair())
    pair.addresses["c"] = f"127.0.0.1:{free_port()}"
    case.assertIsNone(pair.a.ask("c", Note("x"), 0.05))
    sent = [pair.a.send("c", Note("x")) for _ in range(2 * OUTBOX_LENGTH)]
    case.assertFalse(all(sent))
    case.assertFalse(pair.a.send("unknown", Note("x")))


def test_wrong_key_is_dropped(case):
    """Guards against work on a message from an unauthenticated sender."""
    pair = case.enterContext(running_pair((key_ring("x" * 32), key_ring())))
    got = []
    pair.b.on(Note, lambda sender, note: got.append(note))
    case.assertIsNone(pair.a.ask("b", Note("x"), 0.3))
    wait_until(lambda: pair.b.drops.counts["unauthenticated"] == 1)
    case.assertEqual(got, [])


def test_recorded_message_is_dropped(case):
    """Guards against a message that runs again when its bytes are sent again."""
    pair = case.enterContext(running_pair())
    got = []
    pair.b.on(Note, lambda sender, note: got.append(note))
    frame = pair.a._frame("b", Note("x"), 0, 0)
    context = zmq.Context()
    dealer = context.socket(zmq.DEALER)
    dealer.connect(f"tcp://{pair.addresses['b']}")
    dealer.send(frame)
    dealer.send(frame)
    wait_until(lambda: pair.b.drops.counts["replayed"] == 1)
    dealer.close(linger=0)
    context.term()
    wait_until(lambda: got == [Note("x")])


def test_long_message_is_refused_by_the_sender(case):
    """Guards against a frame that the receiver would drop."""
    pair = case.enterContext(running_pair())
    case.assertFalse(pair.a.send("b", Note("x" * MAX_FRAME_BYTES)))


def test_keys_rotate_without_a_stop(case):
    """Guards against messages that are refused during a key rotation."""
    folder = Path(case.enterContext(tempfile.TemporaryDirectory()))
    paths = [folder / name for name in "ab"]
    for path in paths:
        path.write_text(KEY)
    rings = [KeyRing([KeySettings("k", file=str(path))]) for path in paths]
    pair = case.enterContext(running_pair(rings))
    pair.b.on(Note, lambda sender, note: note)
    new = "new-key-of-the-deployment"
    for content in (f"{KEY}\n{new}", f"{new}\n{KEY}", new):
        for path, ring in zip(paths, rings):
            path.write_text(content)
            ring.reload()
            case.assertEqual(pair.a.ask("b", Note(content), ASK_S), Note(content))


load_tests = collect(globals())
