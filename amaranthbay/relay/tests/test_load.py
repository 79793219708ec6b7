"""Simulations of peak loads that run the placement code without a network."""

import heapq
import itertools
import math
import random
from dataclasses import dataclass, field
from types import SimpleNamespace

from amaranthbay.fleet.peers import MIN_REPORT_INTERVAL_S
from amaranthbay.relay.choice import Candidate, choose_decode
from amaranthbay.relay.codec import CallHead
from amaranthbay.routing import BackendServer, CallKind, Route, WeightedService
from amaranthbay.scheduling.streams import memory_need, start_order
from amaranthbay.utils.testing import collect

# The steady load of the enlarged mup-retiros deployment: nine serving instances and
# nineteen decode servers.
INSTANCES, SERVERS, MEMORY_TOKENS = 9, 19, 26_473
STREAMS_PER_S, LENGTH_S = 50.0, 12.0
SHORTEST_S, LONGEST_S = 0.8, 3.2
FEWEST_TOKENS, MOST_TOKENS = 2000, 6000
ZONE_LATENCY_S = 0.005
POLL_S = 0.03
MAX_WAIT_S = 1.0
# Share of the placements that a full server may refuse.
MAX_REFUSED_SHARE = 0.1
# The burst of the same deployment: streams per second, tokens per event, seconds per
# token, and usable memory of a decode server.
CALM_RATE, BURST_RATE = 45.0, 90.0
BURST_START_S, BURST_END_S = 3.0, 10.0
EVENT_TOKENS, TOKEN_S = 13, 0.0037
BURST_SERVER_TOKENS = 0.9 * MEMORY_TOKENS
SHARES = (WeightedService("lm", 1.0),)
ROUTE = Route("r", "h", "/", CallKind.STREAM, SHARES, timeout_s=14.0, target_s=1.0)


@dataclass
class Placements:
    """Counts of placements.

    Attributes:
        placed: Placements on a server with enough memory.
        refused: Placements on a server that was full.
        timed_out: Streams that waited for too long.
    """

    placed: int = 0
    refused: int = 0
    timed_out: int = 0


@dataclass
class Instances:
    """Instances that place streams with their knowledge of each other's load.

    Attributes:
        own: Tokens that each instance has placed on each server.
        reported: The same at the time of the last reports.
        servers: `BackendServer` of each decode server.
    """

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
        """Tells all instances what the others have placed."""
        self.reported = [list(tokens) for tokens in self.own]

    def candidates(self, instance):
        """Returns the `Candidate` of each server from the view of one instance."""
        others = [
            tokens for sender, tokens in enumerate(self.reported) if sender != instance
        ]
        return [
            Candidate(
                server,
                number % 3 == instance % 3,
                memory_tokens=self.own[instance][number]
                + sum(tokens[number] for tokens in others),
            )
            for number, server in enumerate(self.servers)
        ]

    def used_tokens(self, number):
        """Returns the tokens that are really in use on a server."""
        return sum(tokens[number] for tokens in self.own)


def simulate_placements(report_age_s, seed=1):
    """Places streams of a Poisson process and returns the `Placements`.

    Args:
        report_age_s: Interval between reports, and largest age of a report in use.
        seed: Seed of the simulation.
    """
    rng, instances, placements = random.Random(seed), Instances(), Placements()
    order = itertools.count()
    events, arrived_at, reports_at = [], 0.0, 0.0
    while arrived_at < LENGTH_S:
        arrived_at += rng.expovariate(STREAMS_PER_S)
        need = rng.randint(FEWEST_TOKENS, MOST_TOKENS)
        stream = (rng.randrange(INSTANCES), need, arrived_at)
        heapq.heappush(events, (arrived_at, next(order), stream, None))
    while events:
        now, _, (instance, need, since), server = heapq.heappop(events)
        while reports_at <= now:
            instances.report()
            reports_at += report_age_s
        if server is not None:
            instances.own[instance][server] -= need
            continue
        chosen = choose_decode(
            instances.candidates(instance), need, MEMORY_TOKENS, rng.random()
        )
        number = instances.servers.index(chosen.server) if chosen else None
        fits = chosen and instances.used_tokens(number) + need <= MEMORY_TOKENS
        stream = (instance, need, since)
        if fits:
            placements.placed += 1
            instances.own[instance][number] += need
            ends_at = now + rng.uniform(SHORTEST_S, LONGEST_S)
            heapq.heappush(events, (ends_at, next(order), stream, number))
            continue
        placements.refused += chosen is not None
        if now - since > MAX_WAIT_S:
            placements.timed_out += 1
        else:
            heapq.heappush(events, (now + POLL_S, next(order), stream, None))
    return placements


def lognormal(rng, mean, spread, limit):
    """Returns a log-normal random number; ``mean`` is that before the limit applies."""
    return min(limit, rng.lognormvariate(math.log(mean) - spread**2 / 2, spread))


@dataclass(eq=False)
class Stream:
    """A stream of the simulated burst.

    Attributes:
        call: Stand-in for a `Call` with prompt and estimated answer.
        need: KV cache tokens that it needs.
        seconds: Run time on a decode server.
        started: Whether it was placed.
    """

    call: object
    need: int
    seconds: float
    started: bool = False


def burst(rng):
    """Returns the streams of ten seconds, at twice the usual rate in the middle."""
    streams, arrived_at = [], 0.0
    while arrived_at < BURST_END_S:
        rate = (
            BURST_RATE if BURST_START_S <= arrived_at < BURST_END_S - 2 else CALM_RATE
        )
        arrived_at += rng.expovariate(rate)
        prompt = int(200 + lognormal(rng, 3000, 0.5, 6600))
        output = int(EVENT_TOKENS * lognormal(rng, 68, 0.7, 160))
        expected = int(output * rng.lognormvariate(0.0, 0.5))
        head = CallHead(
            "a",
            prompt_tokens=prompt,
            max_output_tokens=EVENT_TOKENS * 160,
            expected_tokens=expected,
        )
        call = SimpleNamespace(head=head, route=ROUTE, arrived_at=arrived_at)
        streams.append(Stream(call, memory_need(head), output * TOKEN_S))
    return streams


def simulate_burst(order, seed):
    """Starts the streams of a burst as memory allows and returns all of them.

    Args:
        order: Function of the waiting streams that returns the sort key of each.
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
    """Returns sort keys that start streams in order of arrival."""
    return [stream.call.arrived_at for stream in streams]


def by_cost(streams):
    """Returns the sort keys of `start_order`, which delay costly streams."""
    return (
        start_order([(stream.call, stream.need) for stream in streams])
        if streams
        else []
    )


def test_more_streams_start_in_time_and_large_ones_are_not_starved(case):
    """Guards against a burst in which long streams hold memory that several short ones
    could use, and against starving long streams: the largest tenth is served at least
    half as often as all."""
    for seed in range(3):
        first_come = simulate_burst(by_arrival, seed)
        cheapest_first = simulate_burst(by_cost, seed)
        in_time = sum(stream.started for stream in cheapest_first)
        case.assertGreater(in_time, sum(stream.started for stream in first_come))
        largest = sorted(
            cheapest_first, key=lambda stream: stream.call.head.prompt_tokens
        )
        largest = largest[-len(cheapest_first) // 10 :]
        share = sum(stream.started for stream in largest) / len(largest)
        case.assertGreaterEqual(share, 0.5 * in_time / len(cheapest_first))


def test_instances_do_not_fill_the_same_server(case):
    """Guards against placing by loads that are 0.2 s old: most placements of nine
    instances then reach a full server, and streams time out in the queue."""
    placements = simulate_placements(MIN_REPORT_INTERVAL_S + ZONE_LATENCY_S)
    case.assertEqual(placements.timed_out, 0)
    tried = placements.placed + placements.refused
    case.assertLess(placements.refused, MAX_REFUSED_SHARE * tried)


load_tests = collect(globals())
