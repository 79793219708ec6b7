"""Envelope of a peer message and the codec of its body."""

from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated

import msgspec
from result import Err, Ok

from amaranthbay.kernel.errors import UnknownPlugin
from amaranthbay.kernel.registry import find, names
from amaranthbay.peering.sealing import FrameFault, open_frame, seal

__all__ = [
    "MAX_FRAME_BYTES",
    "MESSAGE_KIND",
    "Envelope",
    "Exchange",
    "decode_body",
    "message_name",
    "open_envelope",
    "seal_envelope",
]

MAX_FRAME_BYTES = 65536
MESSAGE_KIND = "peer_message"
PURPOSE = b"peer message"

Name = Annotated[str, msgspec.Meta(max_length=64)]
Number = Annotated[int, msgspec.Meta(ge=0)]


class Exchange(IntEnum):
    """Part that a message plays in an exchange."""

    SEND = 0
    ASK = 1
    REPLY = 2


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """Authenticated header and encoded body of one message.

    Attributes:
        sender: Instance that sent it.
        incarnation: Incarnation of the sender.
        recipient: Instance it is meant for, so that it can't be sent to another.
        sequence: Rises with each message of an incarnation.
        sent_ms: Wall-clock time of sending.
        exchange: Part that it plays.
        ask_id: Matches a reply to its question.
        name: Registered name of the message type; empty in a reply of None.
        body: Encoded message.
    """

    sender: Name
    incarnation: Number
    recipient: Name
    sequence: Number
    sent_ms: Number
    exchange: Exchange
    ask_id: Number
    name: Name
    body: bytes


@dataclass(frozen=True)
class _Codec:
    encoder: msgspec.msgpack.Encoder
    decoder: msgspec.msgpack.Decoder


_codec = _Codec(msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Envelope))


def seal_envelope(keys, envelope):
    """Returns the authenticated frame of an envelope."""
    return seal(keys, PURPOSE, _codec.encoder.encode(envelope))


def open_envelope(keys, frame):
    """Returns ``Result[Envelope, FrameFault]`` for a frame from the network."""
    opened = open_frame(keys, PURPOSE, frame, MAX_FRAME_BYTES)
    if opened.is_err():
        return opened
    try:
        return Ok(_codec.decoder.decode(opened.unwrap()))
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Err(FrameFault.MALFORMED)


def message_name(message_type):
    """Returns the name under which a message type is registered.

    Raises:
        UnknownPlugin: If the type is not registered.
    """
    for name in names(MESSAGE_KIND):
        if find(MESSAGE_KIND, name) is message_type:
            return name
    raise UnknownPlugin(MESSAGE_KIND, message_type.__name__, names(MESSAGE_KIND))


def decode_body(name, body):
    """Returns ``Result[message, FrameFault]`` for the body of an envelope."""
    try:
        message_type = find(MESSAGE_KIND, name)
    except UnknownPlugin:
        return Err(FrameFault.UNKNOWN_MESSAGE)
    try:
        return Ok(msgspec.msgpack.decode(body, type=message_type))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return Err(FrameFault.MALFORMED)
