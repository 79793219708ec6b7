"""Peer channel: messages between two channels of one process on loopback."""

import contextlib
import tempfile
from dataclasses import dataclass
from pathlib import Path

import gevent
import zmq.green as zmq

from amaranthbay.kernel.clock import SystemClock
from amaranthbay.kernel.registry import register
from amaranthbay.peering import KeyRing, ZmqPeerChannel
from amaranthbay.peering.channel import IDLE_TIMEOUT_S
from amaranthbay.peering.envelope import MAX_FRAME_BYTES
from amaranthbay.peering.links import OUTBOX_LENGTH
from amaranthbay.settings.daemon import KeySettings
from amaranthbay.utils.testing import ManualClock, collect, free_port, wait_until

KEY = "0123456789abcdef0123456789abcdef"
ASK_TIMEOUT_S = 5.0


@register("peer_message", "test_note")
@dataclass(frozen=True)
class Note:
    """Peer message with a text."""

    text: str


def key_ring(secret=KEY):
    """Returns a `KeyRing` with one key."""
    return KeyRing([KeySettings("k", environment="K")], {"K": secret})


class Pair:
    """Two channels that know each other's address."""

    def __init__(self, rings, clock):
        self.clock = clock
        self.addresses = {name: f"127.0.0.1:{free_port()}" for name in "ab"}
        self.a, self.b = (self.channel(name, ring) for name, ring in zip("ab", rings))

    def channel(self, name, ring, incarnation=1):
        """Returns a channel that is not started."""
        return ZmqPeerChannel(
            name,
            lambda: incarnation,
            self.addresses[name],
            self.addresses.get,
            ring,
            self.clock,
        )


@contextlib.contextmanager
def running_pair(rings=None, clock=None):
    """Starts two channels and stops them on exit."""
    pair = Pair(rings or (key_ring(), key_ring()), clock or SystemClock())
    pair.a.start()
    pair.b.start()
    try:
        yield pair
    finally:
        pair.a.stop()
        pair.b.stop()


def send_raw(pair, *frames):
    """Sends raw frames to the second channel over a separate connection."""
    context = zmq.Context()
    dealer = context.socket(zmq.DEALER)
    dealer.connect(f"tcp://{pair.addresses['b']}")
    for frame in frames:
        dealer.send(frame)
    dealer.close(linger=1000)
    context.term()


def test_request_is_answered(case):
    """Guards against a reply that is lost or passed to another request."""
    pair = case.enterContext(running_pair())
    pair.b.register_handler(Note, lambda sender, note: Note(f"{sender} {note.text}"))
    jobs = [
        gevent.spawn(pair.a.ask, "b", Note(str(n)), ASK_TIMEOUT_S) for n in range(20)
    ]
    answers = [job.get() for job in jobs]
    case.assertEqual(answers, [Note(f"a {n}") for n in range(20)])


def test_message_arrives_once(case):
    """Guards against a message that a working channel loses or repeats."""
    pair = case.enterContext(running_pair())
    received = []
    pair.b.register_handler(Note, lambda sender, note: received.append(note.text))
    for number in range(50):
        case.assertTrue(pair.a.send("b", Note(str(number))))
    wait_until(lambda: len(received) == 50)
    case.assertEqual(received, [str(number) for number in range(50)])


def test_absent_peer_does_not_block_the_sender(case):
    """Guards against a sender that blocks because its peer does not listen."""
    pair = case.enterContext(running_pair())
    pair.addresses["c"] = f"127.0.0.1:{free_port()}"
    case.assertIsNone(pair.a.ask("c", Note("x"), 0.05))
    sent = [pair.a.send("c", Note("x")) for _ in range(2 * OUTBOX_LENGTH)]
    case.assertFalse(all(sent))
    case.assertFalse(pair.a.send("unknown", Note("x")))


def test_wrong_key_is_dropped(case):
    """Guards against handling a message from an unauthenticated sender."""
    pair = case.enterContext(running_pair((key_ring("x" * 32), key_ring())))
    received = []
    pair.b.register_handler(Note, lambda sender, note: received.append(note))
    case.assertIsNone(pair.a.ask("b", Note("x"), 0.3))
    wait_until(lambda: pair.b.drops.counts["unauthenticated"] == 1)
    case.assertEqual(received, [])


def test_recorded_message_is_dropped(case):
    """Guards against a replayed message that is handled again."""
    pair = case.enterContext(running_pair())
    received = []
    pair.b.register_handler(Note, lambda sender, note: received.append(note))
    frame = pair.a._seal_message("b", Note("x"), 0, 0)
    send_raw(pair, frame, frame)
    wait_until(lambda: pair.b.drops.counts["replayed"] == 1)
    wait_until(lambda: received == [Note("x")])


def test_long_message_is_refused_by_the_sender(case):
    """Guards against sending a frame that the receiver would drop."""
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
    pair.b.register_handler(Note, lambda sender, note: note)
    new_key = "new-key-of-the-deployment"
    for content in (f"{KEY}\n{new_key}", f"{new_key}\n{KEY}", new_key):
        for path, ring in zip(paths, rings):
            path.write_text(content)
            ring.reload()
            case.assertEqual(
                pair.a.ask("b", Note(content), ASK_TIMEOUT_S), Note(content)
            )


def test_bad_frames_do_not_end_the_receive_loop(case):
    """Guards against a frame that ends the receive loop."""
    pair = case.enterContext(running_pair())
    pair.b.register_handler(Note, lambda sender, note: note)
    misaddressed = pair.a._seal_message("c", Note("x"), 0, 0)
    send_raw(pair, b"", b"x", bytes(MAX_FRAME_BYTES + 1), misaddressed)
    wait_until(lambda: sum(pair.b.drops.counts.values()) == 4)
    case.assertEqual(pair.b.drops.counts["wrong_recipient"], 1)
    case.assertEqual(pair.b.drops.counts["oversized"], 1)
    case.assertEqual(pair.a.ask("b", Note("y"), ASK_TIMEOUT_S), Note("y"))


def test_replaced_peer_is_reached_again(case):
    """Guards against a link that stays broken after its peer was restarted."""
    pair = case.enterContext(running_pair())
    incarnations = []
    pair.a.on_verified_message(
        lambda instance, incarnation: incarnations.append(incarnation)
    )
    pair.b.register_handler(Note, lambda sender, note: note)
    case.assertEqual(pair.a.ask("b", Note("1"), ASK_TIMEOUT_S), Note("1"))
    pair.b.stop()
    pair.b = pair.channel("b", key_ring(), incarnation=2)
    pair.b.register_handler(Note, lambda sender, note: note)
    pair.b.start()
    wait_until(lambda: pair.a.ask("b", Note("2"), 1.0) == Note("2"))
    case.assertEqual(incarnations[0], 1)
    case.assertEqual(incarnations[-1], 2)


def test_unused_connection_is_closed(case):
    """Guards against open connections to every peer that was ever used."""
    clock = ManualClock()
    pair = case.enterContext(running_pair(clock=clock))
    pair.b.register_handler(Note, lambda sender, note: note)
    pair.a.ask("b", Note("1"), ASK_TIMEOUT_S)
    pair.a.close_idle()
    case.assertEqual(pair.a.connections, 1)
    clock.advance(IDLE_TIMEOUT_S + 1)
    pair.a.close_idle()
    case.assertEqual(pair.a.connections, 0)
    case.assertEqual(pair.a.ask("b", Note("2"), ASK_TIMEOUT_S), Note("2"))


def test_failing_handler_sends_no_reply(case):
    """Guards against a defect in a handler that ends the channel."""
    pair = case.enterContext(running_pair())
    failures = [ValueError("defect")]

    def handle(sender, note):
        if failures:
            raise failures.pop()
        return note

    pair.b.register_handler(Note, handle)
    case.assertIsNone(pair.a.ask("b", Note("1"), 0.5))
    case.assertEqual(pair.a.ask("b", Note("2"), ASK_TIMEOUT_S), Note("2"))


load_tests = collect(globals())
