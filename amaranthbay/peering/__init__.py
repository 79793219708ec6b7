"""Peering: authenticated typed messages between daemons."""

from amaranthbay.peering.channel import ZmqPeerChannel
from amaranthbay.peering.keys import KeyRing
