"""Relays requests of callers to backend servers without changing their bodies."""

from amaranthbay.relay.codec import CallCodec, ForwardOptions, find_codec
from amaranthbay.relay.listener import Listener
from amaranthbay.relay.service import RelayService
