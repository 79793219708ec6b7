"""Plain calls under load: several instances place calls, without a network.

A player simulates callers, instances and servers. Instances know the calls of the
others from reports, as the real ones do. The baseline is the choice by mean latency,
without a bound on queues.
"""

import heapq
import itertools
import random
from collections import Counter, deque
from dataclasses import dataclass, replace
from statistics import median
from types import SimpleNamespace
from unittest import mock

from amaranthbay.fleet.reports import ServerLoad
from amaranthbay.relay.choice import Candidate, choose_cheapest, failure_factor
from amaranthbay.relay.outcomes import ServerOutcomes
from amaranthbay.relay.placed_load import MIN_PLAIN_CHANGE, PlacedLoad, PlainReporter
from amaranthbay.routing import BackendServer
from amaranthbay.scheduling import plain_line
from amaranthbay.scheduling.first_deadlines import FirstDeadlines
from amaranthbay.scheduling.plain import choose_plain, load_factor
from amaranthbay.scheduling.plain_line import (
    PlainLine,
    WaitingCall,
    retry_s,
)
from amaranthbay.utils.testing import ManualClock, collect, wait_until

SLOTS = 6
QUEUE_LIMIT = 24
REPORT_DELAY_S = 0.005
TICK_S = 0.01
FULL_REPORT_S = 0.4
# Spells in which a noisy server takes longer for its calls, 15 in 100 of the time.
SLOW_FACTOR = 2.5
SPELL_S = 0.6
SPELLS_PER_S = 0.3


@dataclass
class Load:
    """A load to play.

    Attributes:
        rates: Calls per second of each second.
        speeds: Speed of each server; the time of a call is divided by it.
        lost: Number of servers that go away after two seconds.
    """

    rates: list
    speeds: tuple = (1.0, 1.0, 1.0)
    service_s: float = 0.045
    target_s: float = 0.258
    deadline_s: float = 2.5
    instances: int = 9
    report_s: float = 0.05
    retries: int = 1
    priorities: tuple = (0,)
    noisy: bool = False
    lost: int = 0


def make_server(number, speed):
    """Returns a server with some slots and a queue."""
    entry = BackendServer(f"s{number}", "desk", "127.0.0.1:1", "z", slots=SLOTS)
    return SimpleNamespace(
        entry=entry, speed=speed, gone=False, running=0, queue=deque(), slow_until=0.0
    )


def make_instance(clock):
    """Returns what an instance knows."""
    outcomes, line = ServerOutcomes(clock), PlainLine()
    return SimpleNamespace(
        outcomes=outcomes,
        line=line,
        own=Counter(),
        reported=Counter(),
        told=Counter(),
        next_full_at=0.0,
    )


class Player:
    """Plays a load with the new decisions or with the baseline."""

    def __init__(self, load, baseline, seed=1):
        self.load, self.baseline, self.rng = load, baseline, random.Random(seed)
        self.clock = ManualClock()
        self.servers = [make_server(n, speed) for n, speed in enumerate(load.speeds)]
        self.instances = [make_instance(self.clock) for _ in range(load.instances)]
        self.events, self.order = [], itertools.count()
        self.results, self.refusals, self.waits = Counter(), 0, {}
        self.latencies, self.own_refusals = [], 0
        # Time and name of the server of each call that a server begins.
        self.starts = []
        # Number of answered calls by number of the instance.
        self.answered = Counter()

    def at(self, time_s, action, *args):
        heapq.heappush(self.events, (time_s, next(self.order), action, args))

    def now(self):
        return self.clock.monotonic()

    def play(self):
        """Plays the load to its end and returns this player."""
        for second, rate in enumerate(self.load.rates):
            for _ in range(rate):
                first_at = second + self.rng.random()
                priority = self.rng.choice(self.load.priorities)
                call = SimpleNamespace(first_at=first_at, priority=priority, tries=0)
                self.at(first_at, self.arrive, call)
        ends_at = len(self.load.rates) + self.load.deadline_s
        for instance in self.instances:
            offset_s = self.rng.random() * self.load.report_s
            for tick in range(int(ends_at / self.load.report_s)):
                sent_at = offset_s + tick * self.load.report_s
                self.at(sent_at, self.report, instance)
            for tick in range(0 if self.baseline else int(ends_at / TICK_S)):
                self.at(tick * TICK_S, self.advance, instance)
        for server in self.servers if self.load.noisy else ():
            spell_at = self.rng.expovariate(SPELLS_PER_S)
            while spell_at < ends_at:
                self.at(spell_at, setattr, server, "slow_until", spell_at + SPELL_S)
                spell_at += SPELL_S + self.rng.expovariate(SPELLS_PER_S)
        for server in self.servers[: self.load.lost]:
            self.at(2.0, setattr, server, "gone", True)
        while self.events:
            time_s, _, action, args = heapq.heappop(self.events)
            self.clock.advance(time_s - self.now())
            action(*args)
        return self

    def report(self, instance):
        own, told = instance.own, instance.told
        differs = any(abs(own[name] - told[name]) >= MIN_PLAIN_CHANGE for name in own)
        if differs or self.now() >= instance.next_full_at or self.baseline:
            if not differs:
                instance.next_full_at = self.now() + FULL_REPORT_S
            instance.told = Counter(own)
            self.at(
                self.now() + REPORT_DELAY_S, setattr, instance, "reported", Counter(own)
            )

    def candidates(self, instance):
        others = [each for each in self.instances if each is not instance]
        peers = sum((each.reported for each in others), Counter())
        outcomes = instance.outcomes
        return [
            Candidate(
                server.entry,
                True,
                running=instance.own[name] + peers[name],
                own=instance.own[name],
                placers=1 + sum(each.reported[name] > 0 for each in others),
                failure_share=outcomes.failure_share(name),
                latency_s=outcomes.latency_s(name),
                service_s=outcomes.service_s(name),
                outdated=outcomes.is_outdated(name),
                full_s=outcomes.full_s(name),
            )
            for server in self.servers
            if not server.gone
            for name in (server.entry.name,)
        ]

    def arrive(self, call):
        call.tries += 1
        call.instance = instance = self.rng.choice(self.instances)
        if self.baseline:
            chosen = choose_by_mean(self.candidates(instance), self.rng.random())
            self.place(call, chosen)
            return
        waiting = WaitingCall(
            self.now(),
            self.load.target_s,
            call.priority,
            self.now() - call.first_at,
            self.rng.random(),
        )
        self.waits[waiting] = call
        instance.line.add(waiting)
        self.advance(instance)

    def advance(self, instance):
        if not len(instance.line):
            return
        candidates = self.candidates(instance)
        for outcome in instance.line.advance(self.now(), candidates, self.rng):
            call = self.waits.pop(outcome.waiting)
            if outcome.chosen is not None:
                self.place(call, outcome.chosen)
                continue
            self.own_refusals += 1
            draw = self.rng.random()
            self.refuse(call, retry_s(outcome.wait_s, self.load.target_s, draw))

    def place(self, call, chosen, attempt=1):
        server = next(s for s in self.servers if s.entry is chosen.server)
        name, instance = server.entry.name, call.instance
        if server.running < SLOTS:
            instance.own[name] += 1
            self.start(server, call, chosen, self.now())
        elif len(server.queue) < QUEUE_LIMIT:
            instance.own[name] += 1
            server.queue.append((call, chosen, self.now()))
        else:
            self.refusals += 1
            self.note_refusal(call, chosen, attempt)

    def note_refusal(self, call, chosen, attempt):
        name, outcomes = chosen.server.name, call.instance.outcomes
        if self.baseline:
            outcomes.note_failed(name)
        else:
            outcomes.note_queue_full(name, chosen.running < chosen.server.slots)
        others = [
            candidate
            for candidate in self.candidates(call.instance)
            if candidate.server.name != name
        ]
        choose = choose_by_mean if self.baseline else choose_plain
        other = choose(others, self.rng.random())
        if attempt == 1 and other is not None:
            self.place(call, other, attempt=2)
        else:
            self.refuse(call, 0.2)

    def start(self, server, call, chosen, placed_at):
        server.running += 1
        self.starts.append((self.now(), server.entry.name))
        slow = SLOW_FACTOR if self.now() < server.slow_until else 1.0
        service_s = self.load.service_s / server.speed * slow
        args = (server, call, chosen, placed_at)
        self.at(self.now() + service_s, self.end, *args)

    def end(self, server, call, chosen, placed_at):
        name, outcomes = server.entry.name, call.instance.outcomes
        server.running -= 1
        call.instance.own[name] -= 1
        if server.queue:
            self.start(server, *server.queue.popleft())
        seconds = self.now() - placed_at
        outcomes.note_answered(name, seconds)
        factor = load_factor(chosen.running, chosen.server.slots)
        outcomes.note_call(name, seconds, factor)
        in_time = self.now() - call.first_at <= self.load.target_s
        self.results["in_time" if in_time else "late", call.priority] += 1
        self.latencies.append(self.now() - call.first_at)
        self.answered[self.instances.index(call.instance)] += 1
        self.advance(call.instance)

    def refuse(self, call, after_s):
        returns_at = self.now() + after_s
        if call.tries > self.load.retries or returns_at > call.first_at + 1.5:
            self.results["refused", call.priority] += 1
        else:
            self.at(returns_at, self.arrive, call)

    def share(self, result, priority=None):
        """Returns the share of calls with a result, of one priority or of all."""
        counts = {
            key: count
            for key, count in self.results.items()
            if priority in (None, key[1])
        }
        number = sum(count for key, count in counts.items() if key[0] == result)
        return number / sum(counts.values())


def choose_by_mean(candidates, draw):
    """Returns a candidate as the baseline chooses it."""
    measured = [each.latency_s for each in candidates if each.latency_s]
    assumed_s = min(measured, default=0.025)

    def cost(each):
        latency_s = each.latency_s or assumed_s
        return latency_s * (1 + 0.5 * each.running) * failure_factor(each)

    return choose_cheapest(candidates, cost, draw)


def compare(load):
    """Plays a load with the baseline, whose reports are older, and the new choice."""
    baseline = Player(replace(load, report_s=FULL_REPORT_S), baseline=True).play()
    return baseline, Player(load, baseline=False).play()


def test_servers_with_room_refuse_nothing_and_delay_nothing(case):
    """Guards against refusals and waiting within the capacity, at servers of even and
    uneven speed, after the loss of a server, and in the first second after a start."""
    loads = (
        Load([116, 116, 232, 232, 116]),
        Load([116, 116, 232, 232, 232], lost=1),
        Load([300] * 4, speeds=(0.7, 0.7, 1.7)),
        Load([360] * 2),
        Load([250] * 4, lost=1),
    )
    for load in loads:
        baseline, player = compare(load)
        case.assertEqual(player.refusals + player.own_refusals, 0, load)
        case.assertEqual(player.share("in_time"), 1.0, load)
        medians = median(player.latencies), median(baseline.latencies)
        case.assertLessEqual(medians[0], medians[1] * 1.05, load)


def test_overload_is_refused_before_queues_make_answers_late(case):
    """Guards against queues at the servers in which all calls become late."""
    for load in (Load([200, 700, 230, 230], lost=1), Load([600] * 4)):
        baseline, player = compare(load)
        case.assertLess(player.refusals, baseline.refusals / 50)
        case.assertGreater(player.share("in_time"), baseline.share("in_time") + 0.05)
        served = 1 - player.share("refused")
        case.assertGreater(served, 1 - baseline.share("refused") - 0.05)


def test_instances_with_equal_load_serve_about_the_same_in_overload(case):
    """Guards against instances that get no place, since those whose calls end know of
    free places first, or since the first calls after the start were slow."""
    for seed, load in itertools.product(
        (1, 2, 3), (Load([600] * 4), Load([700] * 4, priorities=(0, 0, 0, 0, 0, 2)))
    ):
        player = Player(load, baseline=False, seed=seed).play()
        answered = [player.answered[n] for n in range(load.instances)]
        case.assertGreater(min(answered), 0.55 * max(answered), (seed, answered))


def test_urgent_calls_come_first_and_none_starve(case):
    """Guards against priorities that change nothing in overload, and against a class
    that is served less than a quarter as often as all calls."""
    for priorities in ((0, 1, 2), (0, 0, 0, 0, 0, 2)):
        player = Player(Load([700] * 4, priorities=priorities), baseline=False).play()
        served = [1 - player.share("refused", each) for each in sorted({*priorities})]
        case.assertGreater(served[0], served[-1] + 0.2)
        case.assertEqual(served, sorted(served, reverse=True))
        case.assertGreater(served[-1], (1 - player.share("refused")) / 4)


def test_returned_call_goes_before_new_ones_while_it_can_be_in_time(case):
    """Guards against refusing the same caller twice, and against late calls that take
    the place of calls which can be in time."""
    line, rng = PlainLine(), random.Random(1)
    late, new = WaitingCall(0.0, 0.258, elapsed_s=0.25), WaitingCall(0.0, 0.258)
    returned = WaitingCall(0.1, 0.258, elapsed_s=0.06)
    urgent = WaitingCall(0.1, 0.258, priority=-1)
    for waiting in (late, new, returned, urgent):
        line.add(waiting)
    candidates = [make_candidate(running=4), make_candidate("b", running=3)]
    placed = line.advance(0.1, candidates, rng)
    case.assertEqual([each.waiting for each in placed[:3]], [urgent, returned, new])


def test_waiting_call_does_not_block_calls_with_a_longer_target(case):
    """Guards against servers that take no call since the first in the line has a short
    target, and against making that call late."""
    for running, priority, placed in ((11, 0, 1), (11, 1, 0), (16, 0, 0)):
        line, rng = PlainLine(), random.Random(1)
        short = WaitingCall(0.0, 0.15)
        for waiting in (short, WaitingCall(0.0, 2.5, priority)):
            line.add(waiting)
        busy = [make_candidate(running=running, own=running)]
        for now in (0.0, 0.001):
            outcomes = line.advance(now, busy, rng)
            case.assertEqual(len(outcomes), placed, (running, priority))
            case.assertNotIn(short, [each.waiting for each in outcomes])
            placed = 0
        free = [make_candidate(running=5, own=5)]
        case.assertIs(line.advance(0.002, free, rng)[0].waiting, short)


def test_noise_of_even_servers_costs_nothing(case):
    """Guards against instances that flee from a server in each slow spell."""
    load = Load(
        [700] * 5, (1.0,) * 4, 0.022, target_s=0.153, deadline_s=0.632, noisy=True
    )
    baseline, player = compare(load)
    case.assertGreaterEqual(player.share("in_time"), baseline.share("in_time") - 0.005)


def test_server_that_was_slow_is_used_again(case):
    """Guards against a server that gets no calls for good after a slow second."""
    for rate, speeds in ((60, (1.0, 1.0, 1.0)), (100, (1.0, 1.0))):
        player = Player(Load([rate] * 8, speeds), baseline=False)
        player.servers[0].slow_until = 1.5
        player.play()
        names = [name for time_s, name in player.starts if time_s >= 5.0]
        case.assertGreater(names.count("s0"), len(names) / 5)
        case.assertEqual(player.share("refused"), 0.0)


def test_server_that_stays_slow_gets_few_calls(case):
    """Guards against measuring a slow server with a large share of the calls."""
    for rate in (50, 100, 200):
        player = Player(Load([rate] * 8, speeds=(0.3, 1.0, 1.0)), baseline=False).play()
        names = [name for time_s, name in player.starts if time_s >= 3.0]
        case.assertLess(names.count("s0"), len(names) / 10)


def test_server_of_another_zone_is_measured_only_if_it_could_be_chosen(case):
    """Guards against calls that cross zones at low load, in order to measure a server
    that costs more than the others at any speed."""
    for service_s, running, measured in ((0.022, 0, False), (0.022, 6, True)):
        near = make_candidate(service_s=service_s, running=running)
        far = make_candidate("b", same_zone=False, service_s=0.03, outdated=True)
        chosen = choose_plain([near, far], 0.05, measures=True)
        case.assertIs(chosen, far if measured else near, (service_s, running))
    near = make_candidate(service_s=0.15)
    far = make_candidate("b", same_zone=False, service_s=0.3, outdated=True)
    case.assertIs(choose_plain([near, far], 0.05, measures=True), far)


def test_pass_looks_at_few_of_many_waiting_calls(case):
    """Guards against passes that cost more the more calls are waiting."""
    line, rng = PlainLine(), random.Random(1)
    for _ in range(200):
        line.add(WaitingCall(0.0, 5.0))
    busy = [make_candidate(running=60, own=60)]
    with mock.patch.object(plain_line, "_terms", wraps=plain_line._terms) as terms:
        line.advance(0.0, busy, rng)
        case.assertEqual(terms.call_count, 200)
        first = WaitingCall(0.001, 4.0)
        line.add(first)
        for number in range(20):
            outcomes = line.advance(0.001 * number, busy, rng)
            case.assertEqual(outcomes, [])
        case.assertEqual(terms.call_count, 201)
        free = [make_candidate(running=4, own=4)]
        placed = line.advance(0.02, free, rng)
    case.assertIs(placed[0].waiting, first)
    case.assertEqual(len(line) + len(placed), 201)


def test_instances_that_hear_nobody_still_serve(case):
    """Guards against a deployment that stops while reports are lost."""
    player = Player(Load([250] * 4, report_s=60.0), baseline=False).play()
    case.assertGreater(player.share("in_time"), 0.95)


def make_candidate(name="a", **fields):
    server = BackendServer(name, "desk", "127.0.0.1:1", "z", slots=6)
    return Candidate(server, **{"same_zone": True, "service_s": 0.045} | fields)


def test_full_server_gets_no_call_while_another_has_room(case):
    """Guards against calls that a server refuses at once."""
    full, busy = make_candidate(full_s=0.1), make_candidate("b", running=20)
    case.assertIs(choose_plain([full, busy], 0.0), busy)
    line, rng = PlainLine(), random.Random(1)
    line.add(WaitingCall(0.0, 0.258))
    case.assertEqual(line.advance(0.0, [full], rng), [])
    case.assertEqual(len(line), 1)
    case.assertIsNotNone(line.advance(0.1, [make_candidate()], rng)[0].chosen)


def test_slow_server_that_misses_the_target_still_serves(case):
    """Guards against refusing all calls of a service whose servers miss the target."""
    line, rng = PlainLine(), random.Random(1)
    line.add(WaitingCall(0.0, 0.258))
    line.add(WaitingCall(0.0, 0.258))
    slow = make_candidate(running=5, service_s=0.5)
    case.assertEqual(len(line.advance(0.0, [slow], rng)), 1)
    case.assertEqual(len(line), 1)


def test_time_of_one_call_does_not_contain_queueing(case):
    """Guards against taking a queue for a slow server, and a refusal for a failure."""
    clock = ManualClock()
    outcomes = ServerOutcomes(clock)
    for ahead in (0, 11, 17, 5) * 5:
        factor = load_factor(ahead, 6)
        outcomes.note_call("a", 0.045 * factor, factor)
    outcomes.note_call("a", 0.3, 1.0)
    case.assertLess(outcomes.service_s("a"), 0.06)
    outcomes.note_queue_full("a", expected_free=False)
    case.assertEqual(outcomes.failure_share("a"), 0.0)
    case.assertTrue(outcomes.is_full("a"))
    clock.advance(0.2)
    case.assertFalse(outcomes.is_full("a"))
    for _ in range(3):
        outcomes.note_queue_full("a", expected_free=True)
    clock.advance(0.5)
    case.assertTrue(outcomes.is_full("a"))


def test_first_try_is_known_from_the_deadline(case):
    """Guards against new calls that count as returned, since callers have several
    deadlines, one of them states a long one, or some lose milliseconds on the way."""
    deadlines = FirstDeadlines()

    def elapsed(*stated):
        return [round(deadlines.elapsed_s("r", each, 0.0), 1) for each in stated]

    case.assertEqual(elapsed(*(2.5, 2.49) * 10, 4.5, None, 2.5), [0.0] * 23)
    case.assertEqual(elapsed(2.1, 0.6, 2.5), [0.4, 0.0, 0.0])
    elapsed(*(1.3,) * 20)
    case.assertEqual(elapsed(1.3, 2.5, 1.0, 2.1), [0.0, 0.0, 0.3, 0.4])


def test_reports_of_changes_have_a_bounded_rate(case):
    """Guards against a datagram to each instance for each call, and against a last
    change that is never reported."""
    clock, reports = ManualClock(), []
    load = PlacedLoad()
    reporter = PlainReporter(load.loads, lambda: reports.append(1), clock)
    load.on_plain_change(reporter.note_change)
    for _ in range(20):
        load.add("a", ServerLoad(running=1))()
    case.assertEqual(len(reports), 0)
    for _ in range(20):
        load.add("a", ServerLoad(running=1))
    case.assertEqual(len(reports), 1)
    wait_until(lambda: len(reports) == 2)


load_tests = collect(globals())
