"""Peer messages: codec, arbitrary bytes, replays, keys and the drop log."""

import tempfile
from pathlib import Path

import msgspec
from hypothesis import given, settings, strategies as st

from amaranthbay.kernel.errors import SettingsError
from amaranthbay.kernel.registry import registered_names
from amaranthbay.peering import KeyRing
from amaranthbay.peering.drops import BURST_LINES, DropLog
from amaranthbay.peering.envelope import (
    MAX_FRAME_BYTES,
    MESSAGE_KIND,
    PURPOSE,
    Envelope,
    Exchange,
    decode_body,
    open_envelope,
    seal_envelope,
)
from amaranthbay.peering.replay import MAX_AGE_MS, WINDOW_SIZE, ReplayGuard
from amaranthbay.peering.sealing import FrameFault, seal
from amaranthbay.settings.daemon import KeySettings
from amaranthbay.utils.testing import ManualClock, collect

SECRET = "k" * 32
KEYS = KeyRing([KeySettings("k", environment="K")], {"K": SECRET})
TEXTS = st.text(max_size=64)
NUMBERS = st.integers(0, 2**63)
ENVELOPES = st.builds(
    Envelope,
    TEXTS,
    NUMBERS,
    TEXTS,
    NUMBERS,
    NUMBERS,
    st.sampled_from(Exchange),
    NUMBERS,
    TEXTS,
    st.binary(max_size=200),
)


@settings(derandomize=True)
@given(envelope=ENVELOPES)
def check_round_trip(envelope):
    assert open_envelope(KEYS, seal_envelope(KEYS, envelope)).unwrap() == envelope


@settings(derandomize=True, max_examples=300)
@given(noise=st.binary(max_size=500))
def check_arbitrary_bytes(noise):
    assert open_envelope(KEYS, noise).is_err()
    open_envelope(KEYS, seal(KEYS, PURPOSE, noise))


@settings(derandomize=True, max_examples=300)
@given(body=st.binary(max_size=500), name=TEXTS)
def check_arbitrary_bodies(body, name):
    for type_name in (*registered_names(MESSAGE_KIND), name):
        decode_body(type_name, body)


@settings(derandomize=True)
@given(envelope=ENVELOPES, position=st.integers(0, 10**6), bit=st.integers(0, 7))
def check_changed_bit(envelope, position, bit):
    frame = bytearray(seal_envelope(KEYS, envelope))
    frame[position % len(frame)] ^= 1 << bit
    assert open_envelope(KEYS, bytes(frame)).is_err()


@settings(derandomize=True)
@given(sequences=st.lists(st.integers(1, 2 * WINDOW_SIZE), max_size=60))
def check_each_sequence_once(sequences):
    clock = ManualClock()
    guard = ReplayGuard(clock)
    sent_ms = int(clock.now().timestamp() * 1000)
    accepted = [
        sequence
        for sequence in sequences
        if guard.check("a", 1, sequence, sent_ms) is None
    ]
    assert len(accepted) == len(set(accepted))
    if max(sequences, default=0) < WINDOW_SIZE:
        assert set(accepted) == set(sequences)


def test_envelope_survives_the_codec(case):
    """Guards against fields that are lost or mixed up in encoding."""
    check_round_trip()


def test_arbitrary_bytes_are_dropped(case):
    """Guards against bytes that end the receive loop."""
    check_arbitrary_bytes()
    check_arbitrary_bodies()


def test_changed_bit_is_noticed(case):
    """Guards against a header that the MAC does not cover."""
    check_changed_bit()


def test_deeply_nested_body_is_dropped(case):
    """Guards against a body that exhausts the stack."""
    nested_payload = b"\x91" * (MAX_FRAME_BYTES - 500)
    frame = seal(KEYS, PURPOSE, nested_payload)
    case.assertIs(open_envelope(KEYS, frame).unwrap_err(), FrameFault.MALFORMED)


def test_oversized_frame_is_dropped(case):
    """Guards against decoding a frame of unbounded length."""
    opened = open_envelope(KEYS, bytes(MAX_FRAME_BYTES + 1))
    case.assertIs(opened.unwrap_err(), FrameFault.OVERSIZED)


def test_unknown_version_is_dropped(case):
    """Guards against a message of another protocol version that is accepted."""
    frame = b"\x02" + seal(KEYS, PURPOSE, b"")[1:]
    case.assertIs(open_envelope(KEYS, frame).unwrap_err(), FrameFault.UNKNOWN_VERSION)


def test_probe_is_no_peer_message(case):
    """Guards against a frame recorded in one protocol and replayed in the other."""
    payload = msgspec.msgpack.encode(["a", 1, "b", 1, 1, 0, 0, "", b""])
    case.assertTrue(open_envelope(KEYS, seal(KEYS, PURPOSE, payload)).is_ok())
    case.assertTrue(open_envelope(KEYS, seal(KEYS, b"probe", payload)).is_err())


def test_sequence_is_accepted_once(case):
    """Guards against a replayed message that is accepted."""
    check_each_sequence_once()


def test_old_messages_and_processes_are_refused(case):
    """Guards against accepting old messages, or those of a replaced process."""
    clock = ManualClock()
    guard = ReplayGuard(clock)
    sent_ms = int(clock.now().timestamp() * 1000)
    case.assertIsNone(guard.check("a", 2, 1, sent_ms))
    case.assertIs(guard.check("a", 1, 9, sent_ms), FrameFault.REPLAYED)
    old_ms = sent_ms - MAX_AGE_MS - 1
    case.assertIs(guard.check("b", 1, 1, old_ms), FrameFault.TOO_OLD)
    case.assertIsNone(guard.check("a", 3, 1, sent_ms))


def test_flood_of_bad_messages_writes_few_lines(case):
    """Guards against an attacker that fills the logs."""
    drops = DropLog("peer_message_dropped", ManualClock())
    with case.assertLogs("absl", "WARNING") as logs:
        for _ in range(1000):
            drops.add(FrameFault.MALFORMED)
    case.assertEqual(len(logs.records), BURST_LINES)
    case.assertEqual(drops.counts["malformed"], 1000)


def test_keys_are_checked_and_not_shown(case):
    """Guards against short keys, and against keys in log lines and error messages."""
    folder = Path(case.enterContext(tempfile.TemporaryDirectory()))
    path = folder / "peers.key"
    key_settings = KeySettings("k", file=str(path))
    with case.assertRaises(SettingsError):
        KeyRing([key_settings])
    path.write_text("short")
    with case.assertRaises(SettingsError) as caught:
        KeyRing([key_settings])
    case.assertNotIn("short\n", f"{caught.exception}\n".replace("shorter", ""))
    path.write_text(SECRET)
    ring = KeyRing([key_settings])
    case.assertNotIn(SECRET, repr(ring))
    path.unlink()
    ring.reload()
    case.assertTrue(
        ring.verify(b"p", *verify_arguments(ring.sign(b"p", b"data"), b"data"))
    )
    path.write_text("\n".join([SECRET, "l" * 32, "m" * 32]))
    with case.assertRaises(SettingsError):
        KeyRing([key_settings])


def verify_arguments(signed, data):
    """Returns the arguments of `KeyRing.verify` that follow the purpose."""
    key_id, mac = signed
    return key_id, data, mac


load_tests = collect(globals())
