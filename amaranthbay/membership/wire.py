"""Datagrams between daemons: types, codec and size limits."""

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
    "encode_item",
    "open_datagram",
    "seal_datagram",
]

# Four datagrams of this size per second, with headers, stay under 2,048 bytes.
MAX_DATAGRAM_BYTES = 480
IP_UDP_HEADER_BYTES = 28
PURPOSE = b"probe"

Name = Annotated[str, msgspec.Meta(max_length=64)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]{7,15}:[0-9]{1,5}$")]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**62)]


class DatagramKind(IntEnum):
    """Kind of a probe or of its answer."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    RELAYED_ACK = 3


class WireState(IntEnum):
    """State of a member on the wire; a higher value takes precedence."""

    LIVE = 0
    LEAVING = 1
    SUSPECTED = 2
    DEAD = 3


class BackendState(IntEnum):
    """State of a backend server in a notice; a higher value takes precedence."""

    REFUSING = 0
    LEAVING = 1


class MemberDetails(msgspec.Struct, array_like=True, frozen=True):
    """Properties of a member that don't change while its process runs."""

    availability_zone: Name
    region: Name
    address: Address
    membership_address: Address
    peer_address: Address


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """State of a member, as one daemon reports it to another.

    Attributes:
        instance: The member.
        incarnation: Incarnation that the state belongs to.
        revision: Revision of the member's own state that the report is based on.
        state: State of the member.
        details: The member's properties; None if the update leaves them out.
    """

    instance: Name
    incarnation: Number
    revision: Number
    state: WireState
    details: MemberDetails | None = None


class BackendNotice(msgspec.Struct, array_like=True, frozen=True):
    """State of a backend server, as one daemon reports it to another.

    Attributes:
        instance: The backend server.
        state: State of the backend server.
        seen_ms: Wall-clock time in milliseconds at which a daemon observed it.
    """

    instance: Name
    state: BackendState
    seen_ms: Number


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """Probe or answer, with piggybacked gossip.

    Attributes:
        kind: Kind of the probe or answer.
        sender: Instance that sent it.
        incarnation: Incarnation of the sender.
        revision: Revision of the sender.
        state: State that the sender reports for itself, live or leaving.
        number: Probe number, which matches an answer to its probe.
        target: Instance that is to answer, or that has answered.
        config_version: Configuration version that the sender has in force.
        known: Number of members that the sender doesn't consider dead.
        introduced: Whether the sender has the receiver's details.
        updates: Gossip about members.
        notices: Gossip about backend servers.
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


def encode_item(item):
    """Returns an encoded update or notice; its length counts towards the datagram."""
    return _encoder.encode(item)


def datagram_bytes(payload_bytes):
    """Returns the bytes that a payload takes on the network, headers included."""
    return payload_bytes + SEAL_BYTES + IP_UDP_HEADER_BYTES


def seal_datagram(keys, payload):
    """Returns the authenticated frame of an encoded datagram."""
    return seal(keys, PURPOSE, payload)


def open_datagram(keys, frame):
    """Verifies and decodes a frame; returns ``Result[Datagram, FrameFault]``."""
    opened = open_frame(keys, PURPOSE, frame, MAX_DATAGRAM_BYTES)
    if opened.is_err():
        return opened
    try:
        return Ok(_decoder.decode(opened.unwrap()))
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Err(FrameFault.MALFORMED)
