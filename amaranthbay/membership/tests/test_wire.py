"""Datagram codec: round trip, size limit and arbitrary bytes."""

from hypothesis import given, settings, strategies as st

from amaranthbay.membership.events import DatagramReceived
from amaranthbay.membership.harness import Network
from amaranthbay.membership.wire import (
    MAX_DATAGRAM_BYTES,
    BackendNotice,
    BackendState,
    Datagram,
    DatagramKind,
    MemberDetails,
    MemberUpdate,
    WireState,
    encode,
    open_datagram,
    seal_datagram,
)
from amaranthbay.peering import KeyRing
from amaranthbay.peering.sealing import SEAL_BYTES
from amaranthbay.settings.daemon import KeySettings
from amaranthbay.utils.testing import collect

KEYS = KeyRing([KeySettings("k", environment="K")], {"K": "k" * 32})
NAMES = st.sampled_from([f"entry-{number}" for number in range(4)] + ["stranger", ""])
NUMBERS = st.integers(0, 2**62)
ADDRESSES = st.integers(0, 99999).map(lambda port: f"127.0.0.1:{port}")
DETAILS = st.builds(MemberDetails, NAMES, NAMES, ADDRESSES, ADDRESSES, ADDRESSES)
UPDATES = st.builds(
    MemberUpdate,
    NAMES,
    NUMBERS,
    NUMBERS,
    st.sampled_from(WireState),
    st.none() | DETAILS,
)
NOTICES = st.builds(BackendNotice, NAMES, st.sampled_from(BackendState), NUMBERS)
DATAGRAMS = st.builds(
    Datagram,
    st.sampled_from(DatagramKind),
    NAMES,
    NUMBERS,
    NUMBERS,
    st.sampled_from(WireState),
    NUMBERS,
    NAMES,
    NUMBERS,
    NUMBERS,
    st.booleans(),
    st.lists(UPDATES, max_size=4).map(tuple),
    st.lists(NOTICES, max_size=4).map(tuple),
)


@settings(derandomize=True)
@given(datagram=DATAGRAMS)
def check_round_trip(datagram):
    frame = seal_datagram(KEYS, encode(datagram))
    opened = open_datagram(KEYS, frame)
    if len(frame) <= MAX_DATAGRAM_BYTES:
        assert opened.unwrap() == datagram
    else:
        assert opened.is_err()


@settings(derandomize=True, max_examples=300)
@given(noise=st.binary(max_size=MAX_DATAGRAM_BYTES + 1))
def check_arbitrary_bytes(noise):
    assert open_datagram(KEYS, noise).is_err()


@settings(derandomize=True, max_examples=300)
@given(payload=st.binary(max_size=MAX_DATAGRAM_BYTES), datagram=DATAGRAMS)
def check_authenticated_noise(payload, datagram):
    open_datagram(KEYS, seal_datagram(KEYS, payload))
    encoded = encode(datagram)
    mutated = encoded[: len(payload)] + payload + encoded[len(payload) :]
    open_datagram(KEYS, seal_datagram(KEYS, mutated))


@settings(derandomize=True)
@given(datagram=DATAGRAMS, position=st.integers(0, 10**6), bit=st.integers(0, 7))
def check_changed_bit(datagram, position, bit):
    frame = bytearray(seal_datagram(KEYS, encode(datagram)))
    frame[position % len(frame)] ^= 1 << bit
    assert open_datagram(KEYS, bytes(frame)).is_err()


@settings(derandomize=True, deadline=None, max_examples=50)
@given(datagrams=st.lists(DATAGRAMS, max_size=5))
def check_any_datagram_is_handled(datagrams):
    network = Network(3)
    network.run(3)
    node = network.nodes["entry-0"]
    for datagram in datagrams:
        network.handle(node, DatagramReceived("127.0.0.1:10009", datagram, 100))
        network.run(1)


@settings(derandomize=True, max_examples=30)
@given(length=st.integers(1, 64), budget=st.booleans())
def check_longest_names_fit(length, budget):
    network = Network(2)
    network.run(0.5)
    node = network.nodes["entry-0"]
    view = node.protocol.view
    for number in range(20):
        name = f"{number:02}".ljust(length, "n")
        details = MemberDetails(
            "z" * length, "r" * length, *["255.255.255.255:65535"] * 3
        )
        update = MemberUpdate(name, 2**40, 0, WireState.LIVE, details)
        view.apply(update, "test", network.now)
    payload = node.protocol.composer.compose(
        DatagramKind.PING, 2**31, "t" * length, "t" * length, network.now
    )
    assert len(payload) + SEAL_BYTES <= MAX_DATAGRAM_BYTES


def test_datagram_survives_the_codec(case):
    """Guards against fields that are lost or mixed up in encoding."""
    check_round_trip()


def test_arbitrary_bytes_are_dropped(case):
    """Guards against a datagram that ends the receive loop."""
    check_arbitrary_bytes()
    check_authenticated_noise()


def test_changed_bit_is_noticed(case):
    """Guards against a header that the MAC does not cover."""
    check_changed_bit()


def test_any_authenticated_datagram_is_handled(case):
    """Guards against a datagram from an authenticated peer that raises an exception."""
    check_any_datagram_is_handled()


def test_datagrams_stay_within_the_size_limit(case):
    """Guards against an oversized datagram, which every receiver would drop."""
    check_longest_names_fit()


load_tests = collect(globals())
