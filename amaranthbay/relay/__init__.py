"""Relays requests of callers to backend servers, byte for byte."""

from amaranthbay.relay.codec import CallCodec, Directions, find_codec
from amaranthbay.relay.listener import Listener
from amaranthbay.relay.service import RelayService
