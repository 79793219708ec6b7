"""State of the engine stand-in: prefills, KV caches, decode slots and streams."""

import heapq
import itertools
import random
import time
from collections import OrderedDict, deque
from dataclasses import dataclass, field

import gevent
import gevent.event
import gevent.lock

from amaranthbay.standins.tokens import answer_token
from amaranthbay.utils.tokens import BLOCK_TOKENS, block_hashes, estimate_tokens

__all__ = ["EngineFaults", "EngineOptions", "EngineState", "Stream"]

KV_BYTES_PER_TOKEN = 100_000
MAX_CACHE_EVENTS = 4096
MAX_LOAD_SAMPLES = 256


@dataclass(frozen=True)
class EngineOptions:
    """Sizes and speeds of one engine.

    Attributes:
        role: ``prefill`` or ``decode``.
        slots: Number of streams that the engine decodes at once.
        scale: Factor on the times of prefills, transfers and decode steps.
        prefill_token_s: Seconds to prefill one token that is not cached.
        decode_step_s: Seconds between two tokens of a stream.
        kv_life_s: Seconds after which a KV cache that was not transferred is
            dropped; not multiplied by ``scale``.
        link_bytes_s: Bytes per second of the link that transfers KV caches.
        cache_blocks: Number of blocks that the prefix cache holds.
        load_lag_s: Age in seconds of the load that the engine reports.
        event_lag_s: Seconds after which the engine reports a cache event.
        import_needs_slot: Whether a KV cache is imported only once a decode slot is
            free; otherwise the import comes first.
        checks_fence: Whether an order is refused whose fencing number (fence) is lower
            than the highest one accepted so far.
        crash_marker: A prompt that contains this text ends the process; empty for
            none.
        seed: Seed of the random choice of lost events.
    """

    role: str = "decode"
    slots: int = 20
    scale: float = 1.0
    prefill_token_s: float = 0.0002
    decode_step_s: float = 0.02
    kv_life_s: float = 0.9
    link_bytes_s: float = 2.0e9
    cache_blocks: int = 256
    load_lag_s: float = 0.5
    event_lag_s: float = 0.5
    import_needs_slot: bool = False
    checks_fence: bool = True
    crash_marker: str = ""
    seed: int = 1


@dataclass(frozen=True)
class EngineFaults:
    """Faults that are switched on; the defaults switch all of them off.

    Attributes:
        slow_factor: Factor on the times of prefills, transfers and decode steps.
        stall_transfers: Whether transfers of KV caches stall; they continue once the
            fault is switched off.
        event_loss: Probability that a cache event is lost, 0 to 1.
        break_after: Number of tokens after which the connection of a stream breaks;
            0 for never.
        refuse: Whether prefills and decodes are refused with status 503.
    """

    slow_factor: float = 1.0
    stall_transfers: bool = False
    event_loss: float = 0.0
    break_after: int = 0
    refuse: bool = False


@dataclass
class Stream:
    """A decode that is in progress, or finished and not yet delivered.

    Attributes:
        request_id: Id of the request.
        attempt_id: Id of the attempt at the request.
        prompt: Text of the prompt.
        max_tokens: Length of the answer.
        tokens: Tokens generated so far.
        finished: Whether no further token will be generated.
        cancelled: Whether the attempt was cancelled.
        changed: Set on each new token and when the stream finishes or is cancelled.
    """

    request_id: str
    attempt_id: str
    prompt: str
    max_tokens: int
    tokens: list = field(default_factory=list)
    finished: bool = False
    cancelled: bool = False
    changed: gevent.event.Event = field(default_factory=gevent.event.Event)


class PrioritySemaphore:
    """Semaphore that serves the waiter with the highest priority first.

    Waiters of equal priority are served in order of arrival.
    """

    def __init__(self, slots):
        self._free_slots = slots
        self._waiters = []
        self._waiter_numbers = itertools.count()

    @property
    def waiting(self):
        """Number of waiters."""
        return len(self._waiters)

    def acquire(self, priority):
        """Takes a slot; waits while none is free or others are waiting already."""
        if self._free_slots and not self._waiters:
            self._free_slots -= 1
            return
        granted = gevent.event.Event()
        waiter = (-priority, next(self._waiter_numbers), granted)
        heapq.heappush(self._waiters, waiter)
        try:
            granted.wait()
        except BaseException:
            self._withdraw(waiter)
            raise

    def _withdraw(self, waiter):
        """Removes a waiter; if it was granted a slot already, releases the slot."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            heapq.heapify(self._waiters)
        else:
            self.release()

    def release(self):
        """Frees a slot or hands it to the next waiter."""
        if self._waiters:
            heapq.heappop(self._waiters)[2].set()
        else:
            self._free_slots += 1


class EngineState:
    """Everything that one engine holds in memory.

    Attributes:
        options: `EngineOptions`.
        faults: `EngineFaults` that are switched on.
        rng: Random generator that chooses the lost events.
        kv_caches: By handle, a tuple of the attempt's id, the prompt, the length of
            the prompt in tokens, and the number of tokens that the prefill computed.
        streams: `Stream` by attempt id; removed once delivered or cancelled.
        pending_prefills: Length of the prompt in tokens of each prefill that waits or
            runs, by attempt id.
        cancelled_attempts: Ids of cancelled attempts.
        orders: Accepted orders, oldest first.
        setup: Model, adapter, version and role that the orders have set.
        highest_fence: Highest fencing number of the accepted orders.
        counts: Totals since the start: prefilled, decoded and wasted tokens, and
            wasted KV caches.
        prefill_semaphore: Admits one prefill at a time.
        decode_semaphore: Admits as many streams as there are slots.
        active_streams: Number of streams that are decoded now.
        link: Semaphore of the link, which transfers one KV cache at a time.
        prefix_cache: Hashes of the cached blocks, least recently used first.
        cache_events: Times and events of stored and evicted blocks, oldest first.
    """

    def __init__(self, options):
        self.options = options
        self.faults = EngineFaults()
        self.rng = random.Random(options.seed)
        self.kv_caches = {}
        self.streams = {}
        self.pending_prefills = {}
        self.cancelled_attempts = set()
        self.orders = []
        self.setup = {"model": "", "adapter": "", "version": "", "role": options.role}
        self.highest_fence = 0
        self.crashed = False
        self.counts = {"prefill_tokens": 0, "decoded_tokens": 0, "wasted_kv": 0}
        self.counts["wasted_tokens"] = 0
        self.prefill_semaphore = PrioritySemaphore(1)
        self.decode_semaphore = PrioritySemaphore(options.slots)
        self.active_streams = 0
        self.link = gevent.lock.BoundedSemaphore(1)
        self.prefix_cache = OrderedDict()
        self.cache_events = deque(maxlen=MAX_CACHE_EVENTS)
        self._event_numbers = itertools.count(1)
        self._handle_numbers = itertools.count(1)
        self._load_samples = deque(
            [(0.0, self.current_load())], maxlen=MAX_LOAD_SAMPLES
        )

    def current_load(self):
        """Returns the load at this moment."""
        return {
            "active": self.active_streams,
            "waiting": self.decode_semaphore.waiting + self.prefill_semaphore.waiting,
            "prefilling": len(self.pending_prefills),
            "queued_tokens": sum(self.pending_prefills.values()),
            "slots": self.options.slots,
        }

    def sample_load(self):
        """Samples the load every 50 ms, in an endless loop, for `reported_load`."""
        while True:
            self._load_samples.append((time.monotonic(), self.current_load()))
            gevent.sleep(0.05)

    def reported_load(self):
        """Returns the newest sample of the load that is at least ``load_lag_s`` old.

        If none is that old, returns the oldest sample.
        """
        cutoff = time.monotonic() - self.options.load_lag_s
        reportable = [
            load for sampled_at, load in self._load_samples if sampled_at <= cutoff
        ]
        return reportable[-1] if reportable else self._load_samples[0][1]

    def count_cached_tokens(self, hashes):
        """Returns how many leading tokens of a prompt are in the prefix cache.

        Marks their blocks as the most recently used ones.

        Args:
            hashes: Hashes of the prompt's blocks, in order.
        """
        count = 0
        for block_hash in hashes:
            if block_hash not in self.prefix_cache:
                break
            self.prefix_cache.move_to_end(block_hash)
            count += 1
        return count * BLOCK_TOKENS

    def store_blocks(self, hashes):
        """Caches the blocks of a prompt, evicting the least recently used."""
        for block_hash in hashes:
            if block_hash not in self.prefix_cache:
                self._record_cache_event("stored", block_hash)
            self.prefix_cache[block_hash] = True
            self.prefix_cache.move_to_end(block_hash)
        while len(self.prefix_cache) > self.options.cache_blocks:
            evicted, _ = self.prefix_cache.popitem(last=False)
            self._record_cache_event("evicted", evicted)

    def _record_cache_event(self, kind, block_hash):
        """Numbers an event, and keeps it unless the fault ``event_loss`` drops it."""
        number = next(self._event_numbers)
        if self.rng.random() >= self.faults.event_loss:
            event = {"number": number, "kind": kind, "block": block_hash}
            self.cache_events.append((time.monotonic(), event))

    def events_after(self, number):
        """Returns the events after a number that are at least ``event_lag_s`` old."""
        cutoff = time.monotonic() - self.options.event_lag_s
        return [
            event
            for recorded_at, event in self.cache_events
            if event["number"] > number and recorded_at <= cutoff
        ]

    def sleep_scaled(self, seconds):
        """Sleeps for the given seconds times ``scale`` and ``slow_factor``."""
        gevent.sleep(seconds * self.options.scale * self.faults.slow_factor)

    def run_prefill(self, attempt_id, model, prompt, priority):
        """Runs one prefill.

        Returns:
            Handle of the KV cache, length of the prompt in tokens, and how many of
            these tokens came from the prefix cache.
        """
        hashes = block_hashes(model, prompt)
        tokens = estimate_tokens(prompt)
        self.pending_prefills[attempt_id] = tokens
        try:
            self.prefill_semaphore.acquire(priority)
            try:
                cached = min(self.count_cached_tokens(hashes), tokens)
                self.counts["prefill_tokens"] += tokens - cached
                self.sleep_scaled((tokens - cached) * self.options.prefill_token_s)
                self.store_blocks(hashes)
            finally:
                self.prefill_semaphore.release()
        finally:
            self.pending_prefills.pop(attempt_id, None)
        handle = f"kv-{next(self._handle_numbers)}"
        self.kv_caches[handle] = (attempt_id, prompt, tokens, tokens - cached)
        gevent.spawn_later(self.options.kv_life_s, self.drop_kv_cache, handle)
        return handle, tokens, cached

    def drop_kv_cache(self, handle):
        """Drops a KV cache and counts it as wasted, unless it was transferred."""
        kv_cache = self.kv_caches.pop(handle, None)
        if kv_cache:
            self.counts["wasted_kv"] += 1
            self.counts["wasted_tokens"] += kv_cache[3]

    def export_kv_cache(self, handle):
        """Transfers a KV cache over the shared link, in time proportional to its size.

        Returns:
            The prompt, which stands for the KV cache's content, or None if the handle
            is unknown or has expired.
        """
        if handle not in self.kv_caches:
            return None
        while self.faults.stall_transfers:
            gevent.sleep(0.05)
        with self.link:
            kv_cache = self.kv_caches.pop(handle, None)
            if kv_cache is None:
                return None
            size_bytes = kv_cache[2] * KV_BYTES_PER_TOKEN
            self.sleep_scaled(size_bytes / self.options.link_bytes_s)
        return kv_cache[1]

    def run_stream(self, stream, priority):
        """Decodes a stream until it ends or is cancelled, and releases its slot.

        Takes the slot as well, unless the import of the KV cache already took it.
        """
        if not self.options.import_needs_slot:
            self.decode_semaphore.acquire(priority)
        self.active_streams += 1
        try:
            while len(stream.tokens) < stream.max_tokens and not stream.cancelled:
                self.sleep_scaled(self.options.decode_step_s)
                token = answer_token(stream.prompt, len(stream.tokens))
                stream.tokens.append(token)
                self.counts["decoded_tokens"] += 1
                stream.changed.set()
        finally:
            self.active_streams -= 1
            self.decode_semaphore.release()
            stream.finished = True
            stream.changed.set()

    def cancel(self, attempt_id):
        """Ends an attempt's stream and drops its KV caches; idempotent.

        A prefill that is already running isn't interrupted; its KV cache is dropped
        when it ends.
        """
        self.cancelled_attempts.add(attempt_id)
        stream = self.streams.pop(attempt_id, None)
        if stream:
            stream.cancelled = True
            stream.changed.set()
        for handle, kv_cache in list(self.kv_caches.items()):
            if kv_cache[0] == attempt_id:
                self.drop_kv_cache(handle)

    def attempts_in_memory(self):
        """Returns the sorted ids of the attempts that hold memory on the engine."""
        kv_attempts = [kv_cache[0] for kv_cache in self.kv_caches.values()]
        return sorted({*self.streams, *self.pending_prefills, *kv_attempts})
