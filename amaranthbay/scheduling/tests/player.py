"""Plays loads of streams against the decisions on them, with a clock of its own.

The player stands for one instance that sees the load of all servers at once. It models
memory of decode servers, queues of prefill servers and callers that retry once.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field
from types import SimpleNamespace

from amaranthbay.relay.calls import Call
from amaranthbay.relay.codec import CallHead
from amaranthbay.relay.speed import PrefillSpeed
from amaranthbay.routing import CallKind, Engine, Route, Service, WeightedService
from amaranthbay.scheduling.priorities import ClassCredits
from amaranthbay.scheduling.rates import RecentRate
from amaranthbay.scheduling.retries import ReturnTimes, longest_retry_s
from amaranthbay.scheduling.streams import (
    GIVE_UP_TARGETS,
    Pressure,
    Urgency,
    WaitingStart,
    first_event_s,
    free_places,
    latest_start_at,
    may_start,
    memory_need,
    start_order,
    start_sequence,
    urgency_of,
)

STEP_S = 0.02
MEMORY_TOKENS = 26_000
USABLE_TOKENS = 24_440
TIMEOUT_S = 14.0
MAX_WAIT_TARGETS = 3.0
DECODE_START_S = 0.12
SERVICE = Service("lm", 64, Engine(slots=64, memory_tokens=MEMORY_TOKENS))


@dataclass(frozen=True)
class Load:
    """A load to play.

    Attributes:
        classes: Target in seconds and share of the streams, by priority.
        rate_per_s: Streams per second, before and after the burst.
        burst_per_s: Streams per second from 3 to 13 s.
        decode_servers: Number of decode servers.
        prefill_speeds: Prompt tokens per second of each prefill server.
        lost_at: Time at which half of the decode servers stop; None for never.
        returns: Whether refused callers come back once.
    """

    classes: dict
    rate_per_s: float = 20.0
    burst_per_s: float = 60.0
    decode_servers: int = 12
    prefill_speeds: tuple = (50_000.0,) * 3
    lost_at: float | None = None
    returns: bool = True


@dataclass(eq=False)
class Caller:
    """A caller with its stream.

    Attributes:
        priority: Priority of the stream.
        sent_at: Time of the first attempt.
        seconds: Time for which the decode server runs the stream.
        call: `Call` of the latest attempt.
        tries: Number of attempts.
        first_event_at: Time of the first event; None without one.
        wasted_tokens: Prompt tokens that were computed although the caller had left.
    """

    priority: int
    sent_at: float
    seconds: float
    call: object = None
    tries: int = 0
    first_event_at: float | None = None
    wasted_tokens: int = 0
    need_tokens: int = 0
    until: float = 0.0
    continued: bool = False

    @property
    def in_time(self):
        """Whether the first event came within the target, from the first attempt."""
        target_s = self.call.route.target_s
        return self.served and self.first_event_at <= self.sent_at + target_s

    @property
    def served(self):
        """Whether there was a first event."""
        return self.first_event_at is not None


def shares(callers):
    """Returns the shares of callers served, and served in time, by priority."""
    result = {}
    for priority in sorted({caller.priority for caller in callers}):
        of_class = [caller for caller in callers if caller.priority == priority]
        served = sum(caller.served for caller in of_class) / len(of_class)
        in_time = sum(caller.in_time for caller in of_class) / len(of_class)
        result[priority] = SimpleNamespace(served=served, in_time=in_time)
    return result


def arrivals(load, rng, end_s=16.0):
    """Returns the `Caller` of each stream of a load."""
    callers, now = [], 0.0
    while now < end_s:
        now += rng.expovariate(
            load.burst_per_s if 3.0 <= now < 13.0 else load.rate_per_s
        )
        weights = [share for _, share in load.classes.values()]
        priority = rng.choices(list(load.classes), weights)[0]
        caller = Caller(priority, now, rng.uniform(1.0, 2.6))
        prompt = int(min(6600, max(400, rng.lognormvariate(7.9, 0.45))))
        head = CallHead("a", TIMEOUT_S, prompt_tokens=prompt, max_output_tokens=900)
        caller.call = build_call(head, load, priority, now)
        callers.append(caller)
    return callers


def build_call(head, load, priority, now):
    """Returns the `Call` of an attempt that is sent at a time."""
    route = Route(
        f"r{priority}",
        "h",
        "/",
        CallKind.STREAM,
        (WeightedService("lm", 1.0),),
        TIMEOUT_S,
        load.classes[priority][0],
        priority=priority,
    )
    ends_at = now + head.deadline_s
    return Call("a", b"", b"", (), b"", False, head, route, SERVICE, now, ends_at)


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
        self.used = [0] * self.load.decode_servers
        self.free_at = [0.0] * len(self.load.prefill_speeds)
        self.mean_speed = sum(self.load.prefill_speeds) / len(self.free_at)
        self._events, self._order = [], itertools.count()

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
                self.refuse(caller)
            if self.waiting:
                self.run_pass()
        return callers

    def _at(self, moment, function, *arguments):
        heapq.heappush(self._events, (moment, next(self._order), function, arguments))

    def _arrive(self, caller):
        caller.tries += 1
        if caller.tries > 1:
            left_s = caller.sent_at + TIMEOUT_S - self.now
            head = CallHead(
                "a",
                left_s,
                prompt_tokens=caller.call.head.prompt_tokens,
                max_output_tokens=900,
            )
            caller.call = build_call(head, self.load, caller.priority, self.now)
        caller.need_tokens = memory_need(caller.call.head)
        caller.until = self.now + MAX_WAIT_TARGETS * caller.call.route.target_s
        self.waiting.append(caller)
        self.arrived(caller)

    def arrived(self, caller):
        """Called after a stream has arrived."""

    def _lose_servers(self):
        for server in range(self.load.decode_servers // 2):
            self.used[server] = MEMORY_TOKENS * 1000

    def refuse(self, caller):
        """Refuses a waiting stream, whose caller may come back."""
        self.waiting.remove(caller)
        if caller.tries > 1 or not self.load.returns:
            return
        longest_s = longest_retry_s(caller.call.left_s(self.now))
        retry_s = min(longest_s, self.retry_s(caller, longest_s))
        self._at(self.now + retry_s, self._arrive, caller)

    def prefill(self):
        """Returns the number of the best prefill server and its wait in seconds."""
        server = min(range(len(self.free_at)), key=self.free_at.__getitem__)
        return server, max(0.0, self.free_at[server] - self.now)

    def fits(self, caller):
        """Returns the least loaded decode server if the stream fits, else None."""
        server = min(range(len(self.used)), key=self.used.__getitem__)
        fits = self.used[server] + caller.need_tokens <= USABLE_TOKENS
        return server if fits else None

    def start(self, caller, decode):
        """Starts a waiting stream on a decode server."""
        self.waiting.remove(caller)
        server, wait_s = self.prefill()
        tokens = caller.call.head.prompt_tokens
        ready_at = self.now + wait_s + tokens / self.load.prefill_speeds[server]
        self.free_at[server] = ready_at
        first_at = ready_at + 0.1 + DECODE_START_S
        self.used[decode] += caller.need_tokens
        ends_at = first_at + caller.seconds
        gives_up_at = (
            caller.call.arrived_at + GIVE_UP_TARGETS * caller.call.route.target_s
        )
        if first_at > gives_up_at:
            caller.wasted_tokens += tokens
            ends_at = gives_up_at
        else:
            caller.first_event_at = first_at
        self._at(ends_at, self._end, caller, decode)

    def _end(self, caller, decode):
        self.used[decode] -= caller.need_tokens
        if self.used[decode] <= MEMORY_TOKENS:
            self.freed.note(caller.need_tokens, self.now)


class FirstComeFirstServed(Player):
    """Starts streams in the order of arrival, and names random retry times."""

    def run_pass(self):
        for caller in sorted(self.waiting, key=lambda c: c.call.arrived_at):
            decode = self.fits(caller)
            if decode is None:
                return
            self.start(caller, decode)

    def retry_s(self, caller, longest_s):
        """Returns a random retry time."""
        return 0.5 + self.rng.uniform(0.0, 3.0)


class Scheduled(Player):
    """Uses the decisions of the package `scheduling`."""

    def __post_init__(self):
        super().__post_init__()
        self.credits, self.returns = ClassCredits(), ReturnTimes()
        self.mixed = len(self.load.classes) > 1

    def arrived(self, caller):
        self.credits.note_arrived("lm", caller.priority, self.now)

    def run_pass(self):
        speed, (_, wait_s) = PrefillSpeed(self.mean_speed, 0.1), self.prefill()
        idle = Pressure(wait_s, speed, 0.0, DECODE_START_S)
        orders = start_order([(c.call, c.need_tokens) for c in self.waiting])
        starts = []
        for order_time, caller in zip(orders, self.waiting):
            first_s = first_event_s(caller.call.head.prompt_tokens, idle)
            urgency = urgency_of(caller.call, first_s, self.now)
            rank = list(self.load.classes).index(caller.priority)
            rank = rank if self.mixed else None
            starts.append(
                WaitingStart(
                    caller, caller.call, urgency, order_time, caller.continued, rank
                )
            )
        blocked = False
        for start in start_sequence(starts, self.credits.owed):
            decode = None if blocked else self.fits(start.stream)
            if decode is None or not self.may_start(start, decode, speed):
                blocked |= decode is None and start.urgency is Urgency.IN_TIME
                continue
            self.credits.note_started("lm", start.stream.priority, self.now)
            self.start(start.stream, decode)

    def may_start(self, start, decode, speed):
        """Returns whether a stream may start on a decode server."""
        need = start.stream.need_tokens
        places = (
            free_places(self.used, need, USABLE_TOKENS),
            free_places([0] * len(self.used), need, USABLE_TOKENS),
        )
        share = (self.used[decode] + need) / MEMORY_TOKENS
        _, wait_s = self.prefill()
        pressure = Pressure(wait_s, speed, share, DECODE_START_S, *places)
        first_s = first_event_s(start.call.head.prompt_tokens, pressure)
        is_useful = self.now <= latest_start_at(start.call, first_s)
        return is_useful and may_start(start.urgency, pressure, start.rank)

    def retry_s(self, caller, longest_s):
        """Returns a retry time from the rate at which streams end."""
        ahead = sum(other.need_tokens for other in self.waiting)
        rate = self.freed.per_s(self.now)
        draw, need = self.rng.random(), caller.need_tokens
        return self.returns.retry_s(self.now, ahead, need, rate, longest_s, draw)
