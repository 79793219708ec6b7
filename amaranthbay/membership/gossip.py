"""Updates that wait to be piggybacked, and the bytes that may be spent."""

import math
from dataclasses import dataclass

from amaranthbay.membership.wire import encode_part

__all__ = ["ByteBudget", "GossipQueue"]

# Times log2 of the members. Urgent updates must reach everyone; that a member
# has started is also told by the instance list and by the member's own probes.
URGENT_FACTOR = 3
ORDINARY_FACTOR = 1
# Below the promised 2,000 bytes a second, because received datagrams are spread
# unevenly over the daemons.
BUDGET_BYTES_S = 1400.0
BUDGET_BURST_BYTES = 6000.0
# Ordinary updates leave this much for urgent ones.
URGENT_RESERVE_BYTES = 3000.0


@dataclass
class _Waiting:
    part: object
    size: int
    urgent: bool
    sent: int = 0


class GossipQueue:
    """The newest update of each subject, sent a bounded number of times."""

    def __init__(self):
        self._waiting = {}

    def __len__(self):
        return len(self._waiting)

    def put(self, subject, part, urgent=True):
        """Queues an update; it replaces an older one of the subject."""
        size = len(encode_part(part))
        self._waiting[subject] = _Waiting(part, size, urgent)

    def note_heard(self, subject):
        """Counts an update that another member already spreads."""
        waiting = self._waiting.get(subject)
        if waiting is not None:
            waiting.sent += 1

    def take(self, room, members, urgent_only=False):
        """Returns parts that fit, and the room that is left.

        Urgent parts come first, then those that were sent least often.

        Args:
            room: Bytes that may be filled.
            members: Number of members, which bounds the transmissions.
            urgent_only: Whether ordinary parts must wait.
        """
        rounds = math.ceil(math.log2(members + 2))
        chosen = []
        for subject, waiting in sorted(self._waiting.items(), key=_precedence):
            if urgent_only and not waiting.urgent:
                break
            if waiting.sent >= _limit(waiting, rounds):
                del self._waiting[subject]
                continue
            if waiting.size > room:
                continue
            room -= waiting.size
            chosen.append(waiting.part)
            waiting.sent += 1
        return chosen, room


def _precedence(item):
    waiting = item[1]
    return not waiting.urgent, waiting.sent


def _limit(waiting, rounds):
    return rounds * (URGENT_FACTOR if waiting.urgent else ORDINARY_FACTOR)


class ByteBudget:
    """Token bucket and counts over all datagrams in both directions.

    Attributes:
        bytes_total: Bytes so far, IP and UDP headers included.
        datagrams_total: Datagrams so far.
    """

    def __init__(self):
        self.bytes_total = 0
        self.datagrams_total = 0
        self._tokens = BUDGET_BURST_BYTES
        self._filled_at = None

    def spend(self, size, now):
        """Accounts for a datagram that was sent or received."""
        self._fill(now)
        self._tokens -= size
        self.bytes_total += size
        self.datagrams_total += 1

    def allows_urgent(self, now):
        """Returns whether anything beyond plain probes may be sent."""
        self._fill(now)
        return self._tokens > 0

    def allows_ordinary(self, now):
        """Returns whether updates that can wait may be sent."""
        self._fill(now)
        return self._tokens > URGENT_RESERVE_BYTES

    def _fill(self, now):
        if self._filled_at is not None:
            gained = (now - self._filled_at) * BUDGET_BYTES_S
            self._tokens = min(BUDGET_BURST_BYTES, self._tokens + gained)
        self._filled_at = now
