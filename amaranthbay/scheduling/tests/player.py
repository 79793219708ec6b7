"""Plays loads of streams against the decisions on them, with a clock of its own.

The player stands for one instance that sees the load of all servers at once. It models
memory of decode servers, queues of prefill servers and callers that retry once.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field, replace
from types import SimpleNamespace

from amaranthbay.relay.calls import Call
from amaranthbay.relay.codec import CallHead
from amaranthbay.relay.speed import PrefillSpeed
from amaranthbay.routing import CallKind, Engine, Route, Service, WeightedService
from amaranthbay.scheduling import streams
from amaranthbay.scheduling.arrivals import ClassArrivals
from amaranthbay.scheduling.priorities import ClassCredits, priority_rank
from amaranthbay.scheduling.rates import RecentRate
from amaranthbay.scheduling.retries import ReturnTimes, longest_retry_s

STEP_S, DECODE_SERVERS = 0.02, 12
MEMORY_TOKENS = 26_000
USABLE_TOKENS = 24_440
TIMEOUT_S = 14.0
DECODE_START_S = 0.12
END_S, BURST_START_S, BURST_END_S, CALM_PER_S = 16.0, 3.0, 13.0, 20.0
SHARES = (WeightedService("lm", 1.0),)
ROUTE = Route("r", "h", "/", CallKind.STREAM, SHARES, TIMEOUT_S, target_s=1.0)
HEAD = CallHead("a", max_output_tokens=900)
LM = Service("lm", 64, Engine(slots=64, memory_tokens=MEMORY_TOKENS))


@dataclass(frozen=True)
class Load:
    """A load to play.

    Attributes:
        classes: Target in seconds and share of the streams, by priority.
        burst_per_s: Streams per second in the burst.
        prefill_speeds: Prompt tokens per second of each prefill server.
        lost_at: Time at which half of the decode servers stop; None for never.
    """

    classes: dict
    burst_per_s: float = 60.0
    prefill_speeds: tuple = (50_000.0,) * 3
    lost_at: float | None = None


@dataclass(eq=False)
class Caller:
    """A caller with its stream.

    Attributes:
        priority: Priority of the stream.
        sent_at: Time of the first attempt.
        seconds: Time for which the decode server runs the stream.
        prompt_tokens: Length of the prompt.
        call: `Call` of the latest attempt.
        tries: Number of attempts.
        first_event_at: Time of the first event; None without one.
        returned: Whether the latest attempt is taken for a second one.
        until: End of the wait of the latest attempt.
    """

    priority: int
    sent_at: float
    seconds: float
    prompt_tokens: int
    call: object = None
    tries: int = 0
    first_event_at: float | None = None
    returned: bool = False
    until: float = 0.0

    @property
    def need_tokens(self):
        """Memory that the stream needs."""
        return streams.memory_need(self.call.head)

    @property
    def served(self):
        """Whether there was a first event."""
        return self.first_event_at is not None

    @property
    def in_time(self):
        """Whether the first event came within the target, from the first attempt."""
        target_s = self.call.route.target_s
        return self.served and self.first_event_at <= self.sent_at + target_s

    def send(self, now, target_s):
        """Sends an attempt."""
        self.tries += 1
        ends_at = self.sent_at + TIMEOUT_S
        head = replace(HEAD, deadline_s=ends_at - now, prompt_tokens=self.prompt_tokens)
        route = replace(ROUTE, target_s=target_s, priority=self.priority)
        self.call = Call("a", b"", b"", (), b"", False, head, route, LM, now, ends_at)


def arrivals(load, rng):
    """Returns the `Caller` of each stream of a load."""
    callers, now = [], 0.0
    weights = [share for _, share in load.classes.values()]
    while now < END_S:
        in_burst = BURST_START_S <= now < BURST_END_S
        now += rng.expovariate(load.burst_per_s if in_burst else CALM_PER_S)
        priority = rng.choices(list(load.classes), weights)[0]
        prompt_tokens = int(min(6600, max(400, rng.lognormvariate(7.9, 0.45))))
        callers.append(Caller(priority, now, rng.uniform(1.0, 2.6), prompt_tokens))
    return callers


def shares(callers):
    """Returns the shares of callers served, and served in time, by priority."""
    result = {}
    for priority in sorted({caller.priority for caller in callers}):
        of_class = [caller for caller in callers if caller.priority == priority]
        served = sum(caller.served for caller in of_class) / len(of_class)
        in_time = sum(caller.in_time for caller in of_class) / len(of_class)
        result[priority] = SimpleNamespace(served=served, in_time=in_time)
    return result


@dataclass
class Player:
    """Plays a load; subclasses decide on order, starts and retry times.

    Attributes:
        load: `Load` to play.
        rng: `random.Random` of the load and the decisions.
    """

    load: Load
    rng: random.Random
    now: float = 0.0
    waiting: list = field(default_factory=list)
    freed: RecentRate = field(default_factory=lambda: RecentRate(4.0, 3))

    def __post_init__(self):
        self.used = [0] * DECODE_SERVERS
        self.free_at = [0.0] * len(self.load.prefill_speeds)
        self.mean_speed = sum(self.load.prefill_speeds) / len(self.free_at)
        self.priorities = tuple((priority, priority) for priority in self.load.classes)
        self._events, self._order = [], itertools.count()
        self.credits, self.returns = ClassCredits(), ReturnTimes()
        self.arrivals = ClassArrivals()

    def run(self):
        """Returns the `Caller` of each stream after the end of the load."""
        callers = arrivals(self.load, self.rng)
        for caller in callers:
            self._at(caller.sent_at, self._arrive, caller)
        if self.load.lost_at is not None:
            self._at(self.load.lost_at, self._lose_servers)
        while self._events or self.waiting:
            self.now += STEP_S
            while self._events and self._events[0][0] <= self.now:
                _, _, function, arguments = heapq.heappop(self._events)
                function(*arguments)
            for caller in [c for c in self.waiting if self.now >= c.until]:
                self._refuse(caller)
            if self.waiting:
                self._run_pass()
        return callers

    def _at(self, moment, function, *arguments):
        heapq.heappush(self._events, (moment, next(self._order), function, arguments))

    def _arrive(self, caller):
        caller.send(self.now, self.load.classes[caller.priority][0])
        self.waiting.append(caller)
        call, now = caller.call, self.now
        self.credits.note_arrived("lm", call.priority, now)
        self.arrivals.note(call, now)
        caller.returned = self.arrivals.has_returned(call)
        rank = priority_rank(call.priority, self.priorities)
        caller.until = now + streams.longest_wait_s(call, rank)

    def _lose_servers(self):
        for server in range(DECODE_SERVERS // 2):
            self.used[server] = MEMORY_TOKENS * 1000

    def _refuse(self, caller):
        self.waiting.remove(caller)
        if caller.tries > 1:
            return
        longest_s = longest_retry_s(caller.call.left_s(self.now))
        retry_s = min(longest_s, self._retry_s(caller, longest_s))
        self._at(self.now + retry_s, self._arrive, caller)

    def _prefill_wait_s(self):
        return max(0.0, min(self.free_at) - self.now)

    def _fits(self, caller):
        """Returns the least loaded decode server if the stream fits, else None."""
        least = min(self.used)
        fits = least + caller.need_tokens <= USABLE_TOKENS
        return self.used.index(least) if fits else None

    def _start(self, caller, decode):
        self.waiting.remove(caller)
        server = self.free_at.index(min(self.free_at))
        compute_s = caller.prompt_tokens / self.load.prefill_speeds[server]
        self.free_at[server] = self.now + self._prefill_wait_s() + compute_s
        first_at = self.free_at[server] + 0.1 + DECODE_START_S
        self.used[decode] += caller.need_tokens
        target_s = caller.call.route.target_s
        gives_up_at = caller.call.arrived_at + streams.GIVE_UP_TARGETS * target_s
        ends_at = gives_up_at
        if first_at <= gives_up_at:
            caller.first_event_at, ends_at = first_at, first_at + caller.seconds
        self._at(ends_at, self._end, caller, decode)

    def _end(self, caller, decode):
        self.used[decode] -= caller.need_tokens
        if self.used[decode] <= MEMORY_TOKENS:
            self.freed.note(caller.need_tokens, self.now)


class FirstComeFirstServed(Player):
    """Starts streams in the order of arrival, and names random retry times."""

    def _run_pass(self):
        for caller in sorted(self.waiting, key=lambda c: c.call.arrived_at):
            if (decode := self._fits(caller)) is None:
                return
            self._start(caller, decode)

    def _retry_s(self, caller, longest_s):
        return 0.5 + self.rng.uniform(0.0, 3.0)


class Scheduled(Player):
    """Uses the decisions of the package `scheduling`."""

    def _run_pass(self):
        speed = PrefillSpeed(self.mean_speed, 0.1)
        idle = streams.Pressure(self._prefill_wait_s(), speed, 0.0, DECODE_START_S)
        orders = streams.start_order([(c.call, c.need_tokens) for c in self.waiting])
        starts = []
        for order_time, caller in zip(orders, self.waiting):
            call = caller.call
            rank = priority_rank(call.priority, self.priorities)
            first_s = streams.first_event_s(call.head.prompt_tokens, idle)
            urgency = streams.urgency_of(call, first_s, self.now)
            start = streams.WaitingStart(
                caller, call, urgency, order_time, False, rank, caller.returned
            )
            starts.append(start)
        blocked = False
        for start in streams.start_sequence(starts, self.credits.owed):
            decode = None if blocked else self._fits(start.stream)
            if decode is None or not self._may_start(start, decode, speed):
                blocked |= decode is None and start.urgency is streams.Urgency.IN_TIME
                continue
            self.credits.note_started("lm", start.call.priority, self.now)
            self._start(start.stream, decode)

    def _may_start(self, start, decode, speed):
        need = start.stream.need_tokens
        servers = (self.used, [0] * len(self.used))
        places = [streams.free_places(used, need, USABLE_TOKENS) for used in servers]
        share = (self.used[decode] + need) / MEMORY_TOKENS
        wait_s = self._prefill_wait_s()
        need = self.arrivals.urgent_need(
            "lm",
            start.call.priority,
            1,
            lambda tokens: speed.prompt_s(tokens) + DECODE_START_S,
            self.now,
        )
        pressure = streams.Pressure(wait_s, speed, share, DECODE_START_S, *places, need)
        first_s = streams.first_event_s(start.call.head.prompt_tokens, pressure)
        is_useful = self.now <= streams.latest_start_at(start.call, first_s, start.rank)
        return is_useful and streams.may_start(start.urgency, pressure, start.rank)

    def _retry_s(self, caller, longest_s):
        ahead = sum(other.need_tokens for other in self.waiting)
        need, rate = caller.need_tokens, self.freed.per_s(self.now)
        draw = self.rng.random()
        return self.returns.retry_s(self.now, ahead, need, rate, longest_s, draw)
