"""Prefix index: which prefill server should hold which blocks of a prompt."""

from collections import OrderedDict
from dataclasses import dataclass

from amaranthbay.utils.tokens import BLOCK_TOKENS

__all__ = ["PrefixError", "PrefixIndex"]


CAPACITY_BLOCKS = 20_000
MAX_HOLDERS = 16
# Engines evict unseen; an entry of unknown age is worth less than a confirmed one.
GUESSED_HALF_LIFE_S = 60.0
CONFIRMED_HALF_LIFE_S = 600.0
BELIEF = 0.5


@dataclass(frozen=True)
class PrefixError:
    """Error of the index against the engines' own counts.

    Attributes:
        samples: Prefills that were compared.
        missing_tokens: Tokens that were expected and not cached.
        surplus_tokens: Tokens that were cached and not expected.
    """

    samples: int = 0
    missing_tokens: int = 0
    surplus_tokens: int = 0


@dataclass
class _Entry:
    at: float
    confirmed: bool


class PrefixIndex:
    """Bounded index of blocks, from own placements and cache events."""

    def __init__(self, capacity=CAPACITY_BLOCKS):
        self._capacity = capacity
        self._blocks = OrderedDict()
        self._event_numbers = {}
        self._gap_at = {}
        self.error = PrefixError()

    def __len__(self):
        return len(self._blocks)

    def cached_tokens(self, instance, hashes, now):
        """Returns how many leading tokens a server should hold."""
        count = 0
        for block in hashes:
            entry = self._blocks.get(block, {}).get(instance)
            if entry is None or self._confidence(instance, entry, now) < BELIEF:
                break
            count += 1
        return count * BLOCK_TOKENS

    def _confidence(self, instance, entry, now):
        is_sure = entry.confirmed and entry.at >= self._gap_at.get(instance, -1.0)
        half_life = CONFIRMED_HALF_LIFE_S if is_sure else GUESSED_HALF_LIFE_S
        return 0.5 ** ((now - entry.at) / half_life)

    def holders(self, hashes):
        """Returns the instances that may hold the first block of a prompt."""
        return tuple(self._blocks.get(hashes[0], ())) if hashes else ()

    def record(self, instance, hashes, now):
        """Records that a server has computed the blocks of a prompt."""
        for block in hashes:
            self._store(instance, block, now, confirmed=False)

    def _store(self, instance, block, now, confirmed):
        holders = self._blocks.setdefault(block, {})
        self._blocks.move_to_end(block)
        known = holders.get(instance)
        holders[instance] = _Entry(now, confirmed or bool(known and known.confirmed))
        if len(holders) > MAX_HOLDERS:
            del holders[min(holders, key=lambda name: holders[name].at)]
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)

    def _drop(self, instance, block):
        holders = self._blocks.get(block)
        if holders and holders.pop(instance, None) and not holders:
            del self._blocks[block]

    def observe(self, instance, hashes, expected, cached, now):
        """Corrects the index by what a prefill found in the cache.

        Args:
            instance: The prefill server.
            hashes: Blocks of the prompt.
            expected: Tokens that the index expected.
            cached: Tokens that the engine found.
            now: Monotonic time in seconds.
        """
        self.error = PrefixError(
            self.error.samples + 1,
            self.error.missing_tokens + max(0, expected - cached),
            self.error.surplus_tokens + max(0, cached - expected),
        )
        self.record(instance, hashes, now)

    def forget(self, instance):
        """Drops all that is known about a server, for example after its restart."""
        for block in [b for b, holders in self._blocks.items() if instance in holders]:
            self._drop(instance, block)
        self._event_numbers.pop(instance, None)

    def last_event(self, instance):
        """Returns the number of the last event that was applied."""
        return self._event_numbers.get(instance, 0)

    def apply(self, instance, events, now):
        """Applies cache events of a server.

        After a gap in the numbers an eviction may be missing, so that older
        confirmations count as guesses.

        Args:
            instance: The prefill server.
            events: Mappings with ``number``, ``kind`` and ``block``, in order.
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
