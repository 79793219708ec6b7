"""Envelope of a peer message, and the codecs of the envelope and its body."""

from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated

import msgspec
from result import Err

from amaranthbay.kernel.errors import UnknownPlugin
from amaranthbay.kernel.registry import find, registered_names
from amaranthbay.peering.sealing import FrameFault, open_frame, seal
from amaranthbay.utils.decoding import decode_msgpack, decode_with

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
    """Role of a message: one-way message, request or reply."""

    SEND = 0
    ASK = 1
    REPLY = 2


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """Authenticated header and encoded body of one message.

    Attributes:
        sender: Instance that sent it.
        incarnation: Incarnation of the sender.
        recipient: Instance that it is addressed to; no other instance accepts it.
        sequence: Number that increases with each message of an incarnation.
        sent_ms: Wall-clock time of sending in Unix milliseconds.
        exchange: Role of the message.
        ask_id: Number that matches a reply to its request; 0 in a one-way message.
        name: Registered name of the message type; empty if the reply is None.
        body: Encoded message; empty if the reply is None.
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
    """Verifies and decodes a frame; returns ``Result[Envelope, FrameFault]``."""
    opened = open_frame(keys, PURPOSE, frame, MAX_FRAME_BYTES)
    if opened.is_err():
        return opened
    decoded = decode_with(_codec.decoder, opened.unwrap())
    return decoded.map_err(lambda detail: FrameFault.MALFORMED)


def message_name(message_type):
    """Returns the name under which a message type is registered.

    Raises:
        UnknownPlugin: If the type is not registered.
    """
    for name in registered_names(MESSAGE_KIND):
        if find(MESSAGE_KIND, name) is message_type:
            return name
    raise UnknownPlugin(
        MESSAGE_KIND, message_type.__name__, registered_names(MESSAGE_KIND)
    )


def decode_body(name, body):
    """Decodes the body of an envelope.

    Args:
        name: Registered name of the message type.
        body: Encoded message.

    Returns:
        ``Result[message, FrameFault]``.
    """
    try:
        message_type = find(MESSAGE_KIND, name)
    except UnknownPlugin:
        return Err(FrameFault.UNKNOWN_MESSAGE)
    decoded = decode_msgpack(body, message_type)
    return decoded.map_err(lambda detail: FrameFault.MALFORMED)
