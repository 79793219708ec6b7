"""Datagrams between daemons: types, codec and bounds."""

from enum import IntEnum
from typing import Annotated

import msgspec
from result import Err, Ok

from amaranthbay.peering.sealing import SEAL_BYTES, FrameFault, open_frame, seal

__all__ = [
    "IP_UDP_HEADER_BYTES",
    "MAX_DATAGRAM_BYTES",
    "BackendNotice",
    "BackendState",
    "Datagram",
    "DatagramKind",
    "MemberDetails",
    "MemberUpdate",
    "WireState",
    "datagram_bytes",
    "encode",
    "encode_part",
    "open_datagram",
    "seal_datagram",
]

# Four datagrams of this size a second, with headers, stay under 2,048 bytes.
MAX_DATAGRAM_BYTES = 480
IP_UDP_HEADER_BYTES = 28
PURPOSE = b"probe"

Name = Annotated[str, msgspec.Meta(max_length=64)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]{7,15}:[0-9]{1,5}$")]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**62)]


class DatagramKind(IntEnum):
    """What a datagram asks or answers."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    RELAYED_ACK = 3


class WireState(IntEnum):
    """State of a member on the wire, in order of precedence."""

    LIVE = 0
    LEAVING = 1
    SUSPECTED = 2
    DEAD = 3


class BackendState(IntEnum):
    """State of a backend server that daemons tell each other."""

    REFUSING = 0
    LEAVING = 1


class MemberDetails(msgspec.Struct, array_like=True, frozen=True):
    """What doesn't change while a process runs."""

    availability_zone: Name
    region: Name
    address: Address
    membership_address: Address
    peer_address: Address


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What is said about a member."""

    instance: Name
    incarnation: Number
    revision: Number
    state: WireState
    details: MemberDetails | None = None


class BackendNotice(msgspec.Struct, array_like=True, frozen=True):
    """What is said about a backend server.

    Attributes:
        instance: The backend server.
        state: Its state.
        seen_ms: Wall-clock time at which a daemon saw it.
    """

    instance: Name
    state: BackendState
    seen_ms: Number


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """One datagram.

    Attributes:
        kind: What it asks or answers.
        sender: Instance that sent it.
        incarnation: Incarnation of the sender.
        revision: Revision of the sender.
        state: State of the sender by its own word, live or leaving.
        number: Matches an answer to its question.
        target: Instance that is to answer, or that has answered.
        config_version: Configuration version that the sender has in force.
        known: How many members the sender knows.
        introduced: Whether the sender has the receiver's details.
        updates: What is said about members.
        notices: What is said about backend servers.
    """

    kind: DatagramKind
    sender: Name
    incarnation: Number
    revision: Number
    state: WireState
    number: Number
    target: Name
    config_version: Number
    known: Number
    introduced: bool
    updates: tuple[MemberUpdate, ...] = ()
    notices: tuple[BackendNotice, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


def encode(datagram):
    """Returns the payload of a datagram."""
    return _encoder.encode(datagram)


def encode_part(part):
    """Returns the encoded update or notice, whose length fills the room."""
    return _encoder.encode(part)


def datagram_bytes(payload_bytes):
    """Returns what a payload costs on the network, headers included."""
    return payload_bytes + SEAL_BYTES + IP_UDP_HEADER_BYTES


def seal_datagram(keys, payload):
    """Returns the authenticated frame of an encoded datagram."""
    return seal(keys, PURPOSE, payload)


def open_datagram(keys, frame):
    """Returns ``Result[Datagram, FrameFault]`` for a frame from the network."""
    opened = open_frame(keys, PURPOSE, frame, MAX_DATAGRAM_BYTES)
    if opened.is_err():
        return opened
    try:
        return Ok(_decoder.decode(opened.unwrap()))
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Err(FrameFault.MALFORMED)
