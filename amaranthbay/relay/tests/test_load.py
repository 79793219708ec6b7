"""Loads of the heaviest days, played against the decision code without a network."""

import heapq
import itertools
import math
import random
from dataclasses import dataclass, field
from types import SimpleNamespace

from amaranthbay.fleet.peers import HASTY_INTERVAL_S
from amaranthbay.relay.admission import start_order
from amaranthbay.relay.choice import Candidate, choose_decode
from amaranthbay.relay.codec import CallHead
from amaranthbay.relay.placing import memory_need
from amaranthbay.routing import BackendServer, CallKind, Route, WeightedService
from amaranthbay.utils.testing import collect

# The grown mup-retiros at its calm: nine instances serve, nineteen servers decode.
INSTANCES, SERVERS, MEMORY_TOKENS = 9, 19, 26_473
STREAMS_PER_S, LENGTH_S = 50.0, 12.0
SHORTEST_S, LONGEST_S = 0.8, 3.2
FEWEST_TOKENS, MOST_TOKENS = 2000, 6000
ZONE_TRIP_S = 0.005
POLL_S = 0.03
PATIENCE_S = 1.0
# Part of the streams that may be placed in vain.
WASTE_GOAL = 0.1
# Its burst: streams a second, and what a decode server does with them.
CALM_RATE, BURST_RATE = 45.0, 90.0
BURST_START_S, BURST_END_S = 3.0, 10.0
EVENT_TOKENS, TOKEN_S = 13, 0.0037
BURST_SERVER_TOKENS = 0.9 * MEMORY_TOKENS
SHARES = (WeightedService("lm", 1.0),)
ROUTE = Route("r", "h", "/", CallKind.STREAM, SHARES, timeout_s=14.0, target_s=1.0)


@dataclass
class Played:
    """What came of the streams."""

    placed: int = 0
    refused: int = 0
    lost: int = 0


@dataclass
class Instances:
    """Instances that place streams on what they know of each other."""

    own: list = field(default_factory=lambda: [[0] * SERVERS for _ in range(INSTANCES)])
    reported: list = field(
        default_factory=lambda: [[0] * SERVERS for _ in range(INSTANCES)]
    )
    servers: list = field(
        default_factory=lambda: [
            BackendServer(f"s{number}", "lm", "", f"zone-{number % 3}", slots=64)
            for number in range(SERVERS)
        ]
    )

    def report(self):
        """Lets all learn what the others have placed."""
        self.reported = [list(each) for each in self.own]

    def candidates(self, instance):
        """Returns what one instance believes."""
        others = [r for n, r in enumerate(self.reported) if n != instance]
        return [
            Candidate(
                server,
                number % 3 == instance % 3,
                memory_tokens=self.own[instance][number]
                + sum(each[number] for each in others),
            )
            for number, server in enumerate(self.servers)
        ]

    def taken(self, number):
        """Returns the memory of a server that is really taken."""
        return sum(each[number] for each in self.own)


def play_streams(report_age_s, seed=1):
    """Places streams of a Poisson process and returns the `Played`."""
    rng, fleet, played = random.Random(seed), Instances(), Played()
    order = itertools.count()
    events, at, reports_at = [], 0.0, 0.0
    while at < LENGTH_S:
        at += rng.expovariate(STREAMS_PER_S)
        need = rng.randint(FEWEST_TOKENS, MOST_TOKENS)
        stream = (rng.randrange(INSTANCES), need, at)
        heapq.heappush(events, (at, next(order), stream, None))
    while events:
        now, _, (instance, need, since), server = heapq.heappop(events)
        while reports_at <= now:
            fleet.report()
            reports_at += report_age_s
        if server is not None:
            fleet.own[instance][server] -= need
            continue
        chosen = choose_decode(
            fleet.candidates(instance), need, MEMORY_TOKENS, rng.random()
        )
        number = fleet.servers.index(chosen.server) if chosen else None
        fits = chosen and fleet.taken(number) + need <= MEMORY_TOKENS
        stream = (instance, need, since)
        if fits:
            played.placed += 1
            fleet.own[instance][number] += need
            ends_at = now + rng.uniform(SHORTEST_S, LONGEST_S)
            heapq.heappush(events, (ends_at, next(order), stream, number))
            continue
        played.refused += chosen is not None
        if now - since > PATIENCE_S:
            played.lost += 1
        else:
            heapq.heappush(events, (now + POLL_S, next(order), stream, None))
    return played


def lognormal(rng, mean, spread, most):
    return min(most, rng.lognormvariate(math.log(mean) - spread**2 / 2, spread))


@dataclass(eq=False)
class Stream:
    """A stream of the sheet: its prompt, its answer, and the caller's estimate."""

    call: object
    need: int
    seconds: float
    started: bool = False


def burst(rng):
    """Returns the streams of ten seconds, with twice as many in the middle."""
    streams, at = [], 0.0
    while at < BURST_END_S:
        rate = BURST_RATE if BURST_START_S <= at < BURST_END_S - 2 else CALM_RATE
        at += rng.expovariate(rate)
        prompt = int(200 + lognormal(rng, 3000, 0.5, 6600))
        output = int(EVENT_TOKENS * lognormal(rng, 68, 0.7, 160))
        expected = int(output * rng.lognormvariate(0.0, 0.5))
        head = CallHead(
            "a",
            prompt_tokens=prompt,
            output_tokens=EVENT_TOKENS * 160,
            expected_tokens=expected,
        )
        call = SimpleNamespace(head=head, route=ROUTE, arrived_at=at)
        streams.append(Stream(call, memory_need(head), output * TOKEN_S))
    return streams


def play_burst(order, seed):
    """Starts the streams of a burst as memory allows; returns them.

    Args:
        order: Function of the waiting streams that returns their times of order.
        seed: Seed of the burst.
    """
    streams = burst(random.Random(seed))
    free = [BURST_SERVER_TOKENS] * SERVERS
    ends, arriving, waiting, now = [], list(streams), [], 0.0
    while arriving or waiting:
        now += 0.01
        while ends and ends[0][0] <= now:
            _, number, need = heapq.heappop(ends)
            free[number] += need
        while arriving and arriving[0].call.arrived_at <= now:
            waiting.append(arriving.pop(0))
        waiting = [s for s in waiting if now - s.call.arrived_at < ROUTE.target_s]
        for _, _, stream in sorted(
            zip(order(waiting), itertools.count(), waiting), key=lambda e: e[:2]
        ):
            number = max(range(SERVERS), key=free.__getitem__)
            if free[number] < stream.need:
                break
            free[number] -= stream.need
            stream.started = True
            waiting.remove(stream)
            heapq.heappush(ends, (now + stream.seconds, number, stream.need))
    return streams


def by_arrival(streams):
    return [each.call.arrived_at for each in streams]


def by_cost(streams):
    return start_order([(each.call, each.need) for each in streams]) if streams else []


def test_more_callers_start_in_time_and_large_ones_are_not_left(case):
    """Guards against a burst in which long streams hold the memory that several short
    ones need, and against an order that serves the short ones alone: the largest tenth
    is served at least half as often as all."""
    for seed in range(3):
        old = play_burst(by_arrival, seed)
        new = play_burst(by_cost, seed)
        in_time = sum(each.started for each in new)
        case.assertGreater(in_time, sum(each.started for each in old))
        largest = sorted(new, key=lambda each: each.call.head.prompt_tokens)
        largest = largest[-len(new) // 10 :]
        share = sum(each.started for each in largest) / len(largest)
        case.assertGreaterEqual(share, 0.5 * in_time / len(new))


def test_instances_do_not_fill_the_same_server(case):
    """Guards against placing on loads of 0.2 s ago, which lets most placements of nine
    instances meet at a full server, and streams wait for nothing."""
    played = play_streams(HASTY_INTERVAL_S + ZONE_TRIP_S)
    case.assertEqual(played.lost, 0)
    placed = played.placed + played.refused
    case.assertLess(played.refused, WASTE_GOAL * placed)


load_tests = collect(globals())
