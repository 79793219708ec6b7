"""Detects replayed messages."""

from dataclasses import dataclass

from amaranthbay.peering.sealing import FrameFault

__all__ = ["ReplayGuard"]

# Limits the age of a replayed message that a newly started receiver accepts, which has
# seen no sequence numbers yet. The clocks of the instances differ by far less.
MAX_AGE_MS = 120_000
# More messages than a daemon sends to all peers while a message waits in an outbox.
WINDOW_SIZE = 4096
MAX_SENDERS = 4096


@dataclass
class _SequenceWindow:
    incarnation: int
    highest_sequence: int = 0
    bitmap: int = 0


class ReplayGuard:
    """Sliding window of received sequence numbers for each sender's incarnation."""

    def __init__(self, clock):
        self._clock = clock
        self._windows = {}

    def check(self, sender, incarnation, sequence, sent_ms):
        """Records a message; returns None if it is new, else a `FrameFault`.

        A message of an incarnation below the sender's highest known one is rejected,
        because its process has been replaced.

        Args:
            sender: Instance that sent the message.
            incarnation: Incarnation of the sender.
            sequence: Sequence number of the message.
            sent_ms: Wall-clock time of sending in Unix milliseconds.
        """
        now_ms = self._clock.now().timestamp() * 1000
        if abs(now_ms - sent_ms) > MAX_AGE_MS:
            return FrameFault.TOO_OLD
        window = self._windows.get(sender)
        if window is None or incarnation > window.incarnation:
            window = self._reset_window(sender, incarnation)
        if incarnation < window.incarnation:
            return FrameFault.REPLAYED
        return None if _mark_new(window, sequence) else FrameFault.REPLAYED

    def _reset_window(self, sender, incarnation):
        """Returns a new window; at `MAX_SENDERS`, drops the one created first."""
        self._windows.pop(sender, None)
        if len(self._windows) >= MAX_SENDERS:
            del self._windows[next(iter(self._windows))]
        self._windows[sender] = _SequenceWindow(incarnation)
        return self._windows[sender]


def _mark_new(window, sequence):
    """Marks a sequence number as received; returns whether it was new.

    Bit ``n`` of the bitmap stands for the highest sequence number minus ``n``.
    """
    offset = sequence - window.highest_sequence
    if offset > 0:
        shifted = (window.bitmap << offset) if offset < WINDOW_SIZE else 0
        window.bitmap = (shifted | 1) & ((1 << WINDOW_SIZE) - 1)
        window.highest_sequence = sequence
        return True
    if -offset >= WINDOW_SIZE or window.bitmap >> -offset & 1:
        return False
    window.bitmap |= 1 << -offset
    return True
