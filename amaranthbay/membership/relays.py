"""Indirect probes that this daemon makes for other members."""

from dataclasses import dataclass

__all__ = ["Relay", "RelayTable"]

# Bounds what a flood of requests can make this daemon remember.
MAX_RELAYS = 64
RELAY_EXPIRY_S = 2.0


@dataclass(frozen=True)
class Relay:
    """A probe made for another member.

    Attributes:
        address: Where the request came from.
        requester: Instance that asked.
        number: Number of the requester's probe.
        target: Instance to probe.
        expires: Monotonic time after which an answer is of no use.
    """

    address: str
    requester: str
    number: int
    target: str
    expires: float


class RelayTable:
    """Relays that wait for an answer, by the number of this daemon's probe."""

    def __init__(self):
        self._relays = {}

    def add(self, number, address, request, now):
        """Enters a request; returns False if too many wait."""
        for key in [key for key, each in self._relays.items() if each.expires <= now]:
            del self._relays[key]
        if len(self._relays) >= MAX_RELAYS:
            return False
        self._relays[number] = Relay(
            address,
            request.sender,
            request.number,
            request.target,
            now + RELAY_EXPIRY_S,
        )
        return True

    def take(self, number, sender):
        """Removes and returns the relay that an answer belongs to, or None."""
        relay = self._relays.get(number)
        if relay is None or relay.target != sender:
            return None
        return self._relays.pop(number)
