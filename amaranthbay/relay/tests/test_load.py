"""Loads of the heaviest days, played against the decision code without a network."""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from amaranthbay.fleet.peers import HASTY_INTERVAL_S
from amaranthbay.relay.choice import Candidate, choose_decode
from amaranthbay.routing import BackendServer
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


def test_instances_do_not_fill_the_same_server(case):
    """Guards against placing on loads of 0.2 s ago, which lets most placements of nine
    instances meet at a full server, and streams wait for nothing."""
    played = play_streams(HASTY_INTERVAL_S + ZONE_TRIP_S)
    case.assertEqual(played.lost, 0)
    placed = played.placed + played.refused
    case.assertLess(played.refused, WASTE_GOAL * placed)


load_tests = collect(globals())
