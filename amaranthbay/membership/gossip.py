"""Queue of updates to piggyback on datagrams, and the budget of bytes to send."""

import math
from dataclasses import dataclass

from amaranthbay.membership.wire import encode_item

__all__ = ["ByteBudget", "GossipQueue"]

# Transmissions of an update per log2 of the number of members. Urgent updates must
# reach every member. Ordinary updates say that a member has started, which the
# instance list and the member's own probes show as well.
URGENT_TRANSMISSION_FACTOR = 3
ORDINARY_TRANSMISSION_FACTOR = 1
# Below the limit of 2,000 bytes per second, because the daemons receive different
# numbers of datagrams.
BUDGET_BYTES_S = 1400.0
BUDGET_BURST_BYTES = 6000.0
# Ordinary updates are sent only while more than this is left for urgent ones.
URGENT_RESERVE_BYTES = 3000.0


@dataclass
class _QueuedItem:
    item: object
    size: int
    urgent: bool
    transmissions: int = 0


class GossipQueue:
    """Holds the newest item of each subject and limits its transmissions.

    An item is a `MemberUpdate` or a `BackendNotice`; the subject names the member
    or the backend server.
    """

    def __init__(self):
        self._queue = {}

    def __len__(self):
        return len(self._queue)

    def put(self, subject, item, urgent=True):
        """Queues an item, which replaces an older one of the same subject."""
        size = len(encode_item(item))
        self._queue[subject] = _QueuedItem(item, size, urgent)

    def count_transmission(self, subject):
        """Counts a transmission by another member as one of this daemon's own."""
        queued = self._queue.get(subject)
        if queued is not None:
            queued.transmissions += 1

    def take(self, free_bytes, member_count, urgent_only=False):
        """Selects items to send and counts their transmission.

        Urgent items come first, then those that were sent least often.

        Args:
            free_bytes: Bytes that the items may take.
            member_count: Number of members, which limits the transmissions of an item.
            urgent_only: Whether ordinary items are left in the queue.

        Returns:
            The items and the number of bytes still free.
        """
        log2_member_count = math.ceil(math.log2(member_count + 2))
        chosen = []
        for subject, queued in sorted(self._queue.items(), key=_send_order):
            if urgent_only and not queued.urgent:
                break
            if queued.transmissions >= _max_transmissions(queued, log2_member_count):
                del self._queue[subject]
                continue
            if queued.size > free_bytes:
                continue
            free_bytes -= queued.size
            chosen.append(queued.item)
            queued.transmissions += 1
        return chosen, free_bytes


def _send_order(subject_and_queued):
    queued = subject_and_queued[1]
    return not queued.urgent, queued.transmissions


def _max_transmissions(queued, log2_member_count):
    return log2_member_count * (
        URGENT_TRANSMISSION_FACTOR if queued.urgent else ORDINARY_TRANSMISSION_FACTOR
    )


class ByteBudget:
    """Token bucket and counters for datagrams sent and received.

    Plain probes are always sent and may overdraw the bucket.

    Attributes:
        bytes_total: Bytes since the start, IP and UDP headers included.
        datagrams_total: Datagrams since the start.
    """

    def __init__(self):
        self.bytes_total = 0
        self.datagrams_total = 0
        self._tokens = BUDGET_BURST_BYTES
        self._filled_at = None

    def spend(self, size, now):
        """Accounts for a datagram of ``size`` bytes that was sent or received."""
        self._fill(now)
        self._tokens -= size
        self.bytes_total += size
        self.datagrams_total += 1

    def allows_urgent(self, now):
        """Returns whether anything besides plain probes may be sent."""
        self._fill(now)
        return self._tokens > 0

    def allows_ordinary(self, now):
        """Returns whether ordinary updates may be sent."""
        self._fill(now)
        return self._tokens > URGENT_RESERVE_BYTES

    def _fill(self, now):
        if self._filled_at is not None:
            gained = (now - self._filled_at) * BUDGET_BYTES_S
            self._tokens = min(BUDGET_BURST_BYTES, self._tokens + gained)
        self._filled_at = now
