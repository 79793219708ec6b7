"""Index of the prompt blocks that prefill servers are expected to cache.

An entry comes from this daemon's own placements or from a cache event of the engine;
an event confirms it. Confidence in an entry decays with its age.
"""

from collections import OrderedDict
from dataclasses import dataclass

from amaranthbay.utils.tokens import BLOCK_TOKENS

__all__ = ["PrefixError", "PrefixIndex"]

CAPACITY_BLOCKS = 20_000
MAX_SERVERS_PER_BLOCK = 16
# Engines may evict a block without this daemon's knowledge, so that confidence in an
# unconfirmed entry decays faster.
UNCONFIRMED_HALF_LIFE_S = 60.0
CONFIRMED_HALF_LIFE_S = 600.0
# Entries of lower confidence don't count as cached.
MIN_CONFIDENCE = 0.5


@dataclass(frozen=True)
class PrefixError:
    """Total difference between the index and the engines' own counts.

    Attributes:
        samples: Prefills that were compared.
        missing_tokens: Tokens that were expected but not cached.
        surplus_tokens: Tokens that were cached but not expected.
    """

    samples: int = 0
    missing_tokens: int = 0
    surplus_tokens: int = 0


@dataclass
class _Entry:
    """A block that a server is expected to cache.

    Attributes:
        stored_at: Monotonic time in seconds at which it was last recorded.
        confirmed: Whether a cache event has confirmed it.
    """

    stored_at: float
    confirmed: bool


class PrefixIndex:
    """Bounded index from blocks to the servers that are expected to cache them.

    A block is identified by its hash, see `block_hashes`.

    Attributes:
        error: `PrefixError` since the start.
    """

    def __init__(self, capacity=CAPACITY_BLOCKS):
        """Creates an empty index.

        Args:
            capacity: Most blocks that are kept; the least recently stored go first.
        """
        self._capacity = capacity
        self._blocks = OrderedDict()
        # By server: number of the last event, and time of the last gap in the numbers.
        self._event_numbers = {}
        self._gap_at = {}
        self.error = PrefixError()

    def __len__(self):
        return len(self._blocks)

    def cached_tokens(self, instance, hashes, now):
        """Returns the number of leading tokens that a server is expected to cache.

        Args:
            instance: The prefill server.
            hashes: Hashes of the prompt's blocks, in order.
            now: Monotonic time in seconds.
        """
        count = 0
        for block in hashes:
            entry = self._blocks.get(block, {}).get(instance)
            if entry is None or self._confidence(instance, entry, now) < MIN_CONFIDENCE:
                break
            count += 1
        return count * BLOCK_TOKENS

    def _confidence(self, instance, entry, now):
        """Returns the confidence in an entry, 0 to 1."""
        is_confirmed = entry.confirmed and entry.stored_at >= self._gap_at.get(
            instance, -1.0
        )
        half_life = CONFIRMED_HALF_LIFE_S if is_confirmed else UNCONFIRMED_HALF_LIFE_S
        return 0.5 ** ((now - entry.stored_at) / half_life)

    def prefix_holders(self, hashes):
        """Returns the instances that may cache the first block of a prompt."""
        return tuple(self._blocks.get(hashes[0], ())) if hashes else ()

    def record(self, instance, hashes, now):
        """Records that a server has computed the blocks of a prompt."""
        for block in hashes:
            self._store(instance, block, now, confirmed=False)

    def _store(self, instance, block, now, confirmed):
        entries = self._blocks.setdefault(block, {})
        self._blocks.move_to_end(block)
        previous = entries.get(instance)
        entries[instance] = _Entry(
            now, confirmed or bool(previous and previous.confirmed)
        )
        if len(entries) > MAX_SERVERS_PER_BLOCK:
            del entries[min(entries, key=lambda name: entries[name].stored_at)]
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)

    def _drop(self, instance, block):
        entries = self._blocks.get(block)
        if entries and entries.pop(instance, None) and not entries:
            del self._blocks[block]

    def observe(self, instance, hashes, expected, cached, now):
        """Records a finished prefill and the error of the index for it.

        Args:
            instance: The prefill server.
            hashes: Hashes of the prompt's blocks, in order.
            expected: Cached tokens that the index had expected.
            cached: Cached tokens that the engine found.
            now: Monotonic time in seconds.
        """
        self.error = PrefixError(
            self.error.samples + 1,
            self.error.missing_tokens + max(0, expected - cached),
            self.error.surplus_tokens + max(0, cached - expected),
        )
        self.record(instance, hashes, now)

    def forget(self, instance):
        """Drops all entries of a server, for example after its restart."""
        for block in [b for b, entries in self._blocks.items() if instance in entries]:
            self._drop(instance, block)
        self._event_numbers.pop(instance, None)

    def last_event(self, instance):
        """Returns the number of the last applied event of a server, or 0."""
        return self._event_numbers.get(instance, 0)

    def apply_events(self, instance, events, now):
        """Applies cache events of a server; skips those already applied.

        After a gap in the event numbers an eviction may have been missed, so that
        older confirmed entries count as unconfirmed.

        Args:
            instance: The prefill server.
            events: Mappings with ``number``, ``kind`` and ``block``, in order. The
                kind ``stored`` adds a block; any other kind removes it.
            now: Monotonic time in seconds.
        """
        for event in events:
            last = self.last_event(instance)
            if event["number"] <= last:
                continue
            if event["number"] > last + 1:
                self._gap_at[instance] = now
            self._event_numbers[instance] = event["number"]
            if event["kind"] == "stored":
                self._store(instance, event["block"], now, confirmed=True)
            else:
                self._drop(instance, event["block"])
