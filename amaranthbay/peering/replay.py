"""Recognises messages that were recorded and sent again."""

from dataclasses import dataclass

from amaranthbay.peering.sealing import FrameFault

__all__ = ["ReplayGuard"]

# Bounds what a receiver that has just started, and so has seen no sequence
# number, accepts of a recording. Instances' clocks differ by far less.
MAX_AGE_MS = 120_000
# More than a daemon sends to all peers while a message waits in an outbox.
WINDOW = 4096
MAX_SENDERS = 4096


@dataclass
class _Seen:
    incarnation: int
    highest: int = 0
    bits: int = 0


class ReplayGuard:
    """Sliding window of the sequence numbers of each sender's incarnation."""

    def __init__(self, clock):
        self._clock = clock
        self._seen = {}

    def fault(self, sender, incarnation, sequence, sent_ms):
        """Records a message; returns None if it is new, else a `FrameFault`.

        An incarnation lower than the highest one heard of a sender is refused,
        because its process has been replaced.
        """
        now_ms = self._clock.now().timestamp() * 1000
        if abs(now_ms - sent_ms) > MAX_AGE_MS:
            return FrameFault.TOO_OLD
        seen = self._seen.get(sender)
        if seen is None or incarnation > seen.incarnation:
            seen = self._forget_and_add(sender, incarnation)
        if incarnation < seen.incarnation:
            return FrameFault.REPLAYED
        return None if _enter(seen, sequence) else FrameFault.REPLAYED

    def _forget_and_add(self, sender, incarnation):
        self._seen.pop(sender, None)
        if len(self._seen) >= MAX_SENDERS:
            del self._seen[next(iter(self._seen))]
        self._seen[sender] = _Seen(incarnation)
        return self._seen[sender]


def _enter(seen, sequence):
    """Returns whether a sequence number is new, and marks it."""
    ahead = sequence - seen.highest
    if ahead > 0:
        kept = (seen.bits << ahead) if ahead < WINDOW else 0
        seen.bits = (kept | 1) & ((1 << WINDOW) - 1)
        seen.highest = sequence
        return True
    if -ahead >= WINDOW or seen.bits >> -ahead & 1:
        return False
    seen.bits |= 1 << -ahead
    return True
