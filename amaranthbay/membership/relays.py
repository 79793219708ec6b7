"""Indirect probes that this daemon performs for other members."""

from dataclasses import dataclass

__all__ = ["RelayedProbe", "RelayTable"]

# Limits the memory that a flood of requests can take.
MAX_RELAYS = 64
RELAY_EXPIRY_S = 2.0


@dataclass(frozen=True)
class RelayedProbe:
    """A probe performed for another member.

    Attributes:
        address: ``host:port`` that the request came from.
        requester: Instance that sent the request.
        number: Number of the requester's probe.
        target: Instance to probe.
        expires_at: Monotonic time in seconds after which an answer is useless.
    """

    address: str
    requester: str
    number: int
    target: str
    expires_at: float


class RelayTable:
    """Relayed probes that wait for an answer, by the number of this daemon's probe."""

    def __init__(self):
        self._relays = {}

    def add(self, number, address, request, now):
        """Adds a relayed probe; returns False if too many are pending.

        Args:
            number: Number of this daemon's probe.
            address: ``host:port`` that the request came from.
            request: `Datagram` of kind ``PING_REQUEST``.
            now: Monotonic time in seconds.
        """
        for expired in [
            key for key, relay in self._relays.items() if relay.expires_at <= now
        ]:
            del self._relays[expired]
        if len(self._relays) >= MAX_RELAYS:
            return False
        self._relays[number] = RelayedProbe(
            address,
            request.sender,
            request.number,
            request.target,
            now + RELAY_EXPIRY_S,
        )
        return True

    def take(self, number, sender):
        """Removes and returns the `RelayedProbe` of an answer, or None."""
        relay = self._relays.get(number)
        if relay is None or relay.target != sender:
            return None
        return self._relays.pop(number)
