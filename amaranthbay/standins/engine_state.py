"""State of the engine stand-in: prefills, KV cache, decode slots and streams."""

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
EVENT_HISTORY = 4096
LOAD_HISTORY = 256


@dataclass(frozen=True)
class EngineOptions:
    """Sizes and times of one engine; times are multiplied by ``scale``."""

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
    """Faults that are switched on."""

    slow_factor: float = 1.0
    stall_transfers: bool = False
    event_loss: float = 0.0
    break_after: int = 0
    refuse: bool = False


@dataclass
class Stream:
    """A decode in progress, or finished and not yet delivered."""

    request_id: str
    attempt_id: str
    prompt: str
    max_tokens: int
    tokens: list = field(default_factory=list)
    finished: bool = False
    cancelled: bool = False
    changed: gevent.event.Event = field(default_factory=gevent.event.Event)


class PriorityGate:
    """Admits a bounded number of holders, highest priority first."""

    def __init__(self, slots):
        self._free = slots
        self._waiting = []
        self._order = itertools.count()

    @property
    def waiting(self):
        """Number of waiting requests."""
        return len(self._waiting)

    def enter(self, priority):
        """Waits for a slot."""
        if self._free and not self._waiting:
            self._free -= 1
            return
        granted = gevent.event.Event()
        entry = (-priority, next(self._order), granted)
        heapq.heappush(self._waiting, entry)
        try:
            granted.wait()
        except BaseException:
            self._abandon(entry)
            raise

    def _abandon(self, entry):
        if entry in self._waiting:
            self._waiting.remove(entry)
            heapq.heapify(self._waiting)
        else:
            self.leave()

    def leave(self):
        """Frees a slot or hands it to the next waiting request."""
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self._free += 1


class EngineState:
    """Everything that one engine holds in memory."""

    def __init__(self, options):
        self.options = options
        self.faults = EngineFaults()
        self.random = random.Random(options.seed)
        self.kv = {}
        self.streams = {}
        self.prefills = {}
        self.cancelled = set()
        self.orders = []
        self.setup = {"model": "", "adapter": "", "version": "", "role": options.role}
        self.fence = 0
        self.crashed = False
        self.counts = {"prefill_tokens": 0, "decoded_tokens": 0, "wasted_kv": 0}
        self.counts["wasted_tokens"] = 0
        self.prefill_gate = PriorityGate(1)
        self.decode_gate = PriorityGate(options.slots)
        self.active = 0
        self.link = gevent.lock.BoundedSemaphore(1)
        self.cache = OrderedDict()
        self.events = deque(maxlen=EVENT_HISTORY)
        self._event_numbers = itertools.count(1)
        self._handles = itertools.count(1)
        self._loads = deque([(0.0, self.load_now())], maxlen=LOAD_HISTORY)

    def load_now(self):
        """Returns the engine's load without a lag."""
        return {
            "active": self.active,
            "waiting": self.decode_gate.waiting + self.prefill_gate.waiting,
            "prefilling": len(self.prefills),
            "queued_tokens": sum(self.prefills.values()),
            "slots": self.options.slots,
        }

    def record_loads(self):
        """Samples the load for the lagging report, until killed."""
        while True:
            self._loads.append((time.monotonic(), self.load_now()))
            gevent.sleep(0.05)

    def load(self):
        """Returns the load as it was before the lag."""
        limit = time.monotonic() - self.options.load_lag_s
        known = [entry for at, entry in self._loads if at <= limit]
        return known[-1] if known else self._loads[0][1]

    def cached_tokens(self, hashes):
        """Returns how many leading tokens of a prompt are in the cache."""
        count = 0
        for each in hashes:
            if each not in self.cache:
                break
            self.cache.move_to_end(each)
            count += 1
        return count * BLOCK_TOKENS

    def store_blocks(self, hashes):
        """Caches the blocks of a prompt, evicting the least recently used."""
        for each in hashes:
            if each not in self.cache:
                self._emit("stored", each)
            self.cache[each] = True
            self.cache.move_to_end(each)
        while len(self.cache) > self.options.cache_blocks:
            evicted, _ = self.cache.popitem(last=False)
            self._emit("evicted", evicted)

    def _emit(self, kind, block):
        number = next(self._event_numbers)
        if self.random.random() >= self.faults.event_loss:
            event = {"number": number, "kind": kind, "block": block}
            self.events.append((time.monotonic(), event))

    def events_after(self, number):
        """Returns the events after a number that are older than the lag."""
        limit = time.monotonic() - self.options.event_lag_s
        return [
            event
            for at, event in self.events
            if event["number"] > number and at <= limit
        ]

    def pace(self, seconds):
        """Sleeps for an engine time."""
        gevent.sleep(seconds * self.options.scale * self.faults.slow_factor)

    def run_prefill(self, attempt_id, model, prompt, priority):
        """Runs one prefill and returns the handle of its KV cache."""
        hashes = block_hashes(model, prompt)
        tokens = estimate_tokens(prompt)
        self.prefills[attempt_id] = tokens
        try:
            self.prefill_gate.enter(priority)
            try:
                cached = min(self.cached_tokens(hashes), tokens)
                self.counts["prefill_tokens"] += tokens - cached
                self.pace((tokens - cached) * self.options.prefill_token_s)
                self.store_blocks(hashes)
            finally:
                self.prefill_gate.leave()
        finally:
            self.prefills.pop(attempt_id, None)
        handle = f"kv-{next(self._handles)}"
        self.kv[handle] = (attempt_id, prompt, tokens, tokens - cached)
        gevent.spawn_later(self.options.kv_life_s, self.expire, handle)
        return handle, tokens, cached

    def expire(self, handle):
        """Drops a KV cache that nobody took."""
        entry = self.kv.pop(handle, None)
        if entry:
            self.counts["wasted_kv"] += 1
            self.counts["wasted_tokens"] += entry[3]

    def export(self, handle):
        """Sends a KV cache over the shared link; returns its prompt or None."""
        if handle not in self.kv:
            return None
        while self.faults.stall_transfers:
            gevent.sleep(0.05)
        with self.link:
            entry = self.kv.pop(handle, None)
            if entry is None:
                return None
            size = entry[2] * KV_BYTES_PER_TOKEN
            self.pace(size / self.options.link_bytes_s)
        return entry[1]

    def run_stream(self, stream, priority):
        """Decodes a stream to its end or its cancellation."""
        if not self.options.import_needs_slot:
            self.decode_gate.enter(priority)
        self.active += 1
        try:
            while len(stream.tokens) < stream.max_tokens and not stream.cancelled:
                self.pace(self.options.decode_step_s)
                token = answer_token(stream.prompt, len(stream.tokens))
                stream.tokens.append(token)
                self.counts["decoded_tokens"] += 1
                stream.changed.set()
        finally:
            self.active -= 1
            self.decode_gate.leave()
            stream.finished = True
            stream.changed.set()

    def cancel(self, attempt_id):
        """Releases all that an attempt holds; repeatable."""
        self.cancelled.add(attempt_id)
        stream = self.streams.pop(attempt_id, None)
        if stream:
            stream.cancelled = True
            stream.changed.set()
        for handle, entry in list(self.kv.items()):
            if entry[0] == attempt_id:
                self.expire(handle)

    def held(self):
        """Returns the attempts that hold memory."""
        kv_attempts = [entry[0] for entry in self.kv.values()]
        return sorted({*self.streams, *self.prefills, *kv_attempts})
