"""Splits of a service's servers, played against a burst without a network."""

import heapq
import random
from collections import deque
from dataclasses import dataclass, field

from hypothesis import given, settings, strategies as st

from amaranthbay.relay.pools import (
    LEAST_GAIN,
    StageDemand,
    plan_prefill_servers,
    streams_per_s,
)
from amaranthbay.relay.reading import reading_s
from amaranthbay.relay.speed import PrefillSpeed
from amaranthbay.utils.testing import collect

# Six servers of the tour desk: prompts of 1,000 to 6,600 tokens, answers of 3.6 s, a
# calm of 6.5 streams a second and a burst of 2.2 times that.
SERVERS, MEMORY_TOKENS, SPEED = 6, 34_000, PrefillSpeed(33_333.0, 0.1)
PROMPT_TOKENS, ANSWER_TOKENS, LIFE_S = 3200, 400, 3.6
CALM_RATE, BURST_RATE, BURST_START_S, BURST_END_S, END_S = 6.5, 14.3, 3.0, 8.0, 14.0
TARGET_S, FIRST_EVENT_S = 1.0, 0.12
DEMAND = StageDemand(
    PROMPT_TOKENS / SPEED.tokens_s,
    LIFE_S * (PROMPT_TOKENS + ANSWER_TOKENS) / MEMORY_TOKENS,
)


@dataclass
class Decode:
    """A decode server: memory, ends of its streams, and until when it reads."""

    free: int = MEMORY_TOKENS
    ends: list = field(default_factory=list)
    reads_until: float = 0.0


def arrivals(rng):
    """Yields the time and the prompt length of each stream."""
    at = 0.0
    while at < END_S:
        burst = BURST_START_S <= at < BURST_END_S
        at += rng.expovariate(BURST_RATE if burst else CALM_RATE)
        yield at, min(6600, max(1000, int(rng.lognormvariate(7.95, 0.5))))


def play(prefill, seed):
    """Returns the share of the streams that begin in time with a split.

    Args:
        prefill: Number of prefill servers.
        seed: Seed of the arrivals.
    """
    rng = random.Random(seed)
    coming = deque(arrivals(rng))
    total, in_time, waiting, now = len(coming), 0, deque(), 0.0
    busy_until = [0.0] * prefill
    decodes = [Decode() for _ in range(SERVERS - prefill)]
    while coming or waiting:
        now += 0.01
        for each in decodes:
            while each.ends and each.ends[0][0] <= now:
                each.free += heapq.heappop(each.ends)[1]
        while coming and coming[0][0] <= now:
            waiting.append(coming.popleft())
        while waiting and now - waiting[0][0] > TARGET_S:
            waiting.popleft()
        while waiting:
            at, tokens = waiting[0]
            need = tokens + ANSWER_TOKENS
            best = max(decodes, key=lambda each: each.free)
            if best.free < need:
                break
            waiting.popleft()
            number = min(range(prefill), key=busy_until.__getitem__)
            wait_s = max(0.0, busy_until[number] - now)
            apart_s = wait_s + SPEED.prompt_s(tokens) + FIRST_EVENT_S
            read_s = reading_s(tokens, SPEED)
            left_s = at + TARGET_S - now
            reads_itself = read_s + FIRST_EVENT_S <= left_s < apart_s
            if reads_itself and best.reads_until <= now:
                best.reads_until = now + read_s
                # Its streams stand still meanwhile.
                best.ends = [(end + read_s, held) for end, held in best.ends]
                first_s = read_s + FIRST_EVENT_S
            else:
                busy_until[number] = now + wait_s + tokens / SPEED.tokens_s
                first_s = apart_s
            best.free -= need
            heapq.heappush(best.ends, (now + first_s + LIFE_S, need))
            in_time += now + first_s - at <= TARGET_S
    return in_time / total


def test_planned_split_lets_most_callers_of_a_burst_begin_in_time(case):
    """Guards against two prefill servers of six beside full decode servers: the plan
    took the fixed time of a prompt for work."""
    planned = plan_prefill_servers(2, SERVERS - 2, DEMAND)
    seeds = range(12)
    by_split = {
        prefill: sum(play(prefill, seed) for seed in seeds) / len(seeds)
        for prefill in (1, 2, 3)
    }
    case.assertEqual(by_split[planned], max(by_split.values()), by_split)
    case.assertGreater(by_split[planned], by_split[2] + 0.03, by_split)


def test_lost_prefill_server_is_replaced_from_the_decode_pool(case):
    """Guards against a service whose decode servers read all prompts for ever."""
    case.assertEqual(plan_prefill_servers(0, 5, DEMAND), 1)
    case.assertEqual(plan_prefill_servers(3, 0, DEMAND), 1)


COUNTS = st.integers(1, 200)
TIMES = st.floats(0.01, 2.0)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(COUNTS, COUNTS, TIMES, TIMES)
def check_plan(prefill, decode, prefill_s, decode_s):
    demand = StageDemand(prefill_s, decode_s)
    wanted = plan_prefill_servers(prefill, decode, demand)
    servers = prefill + decode
    assert 1 <= wanted < servers
    before = streams_per_s(prefill, decode, demand)
    after = streams_per_s(wanted, servers - wanted, demand)
    assert wanted == prefill or after > (1 + LEAST_GAIN) * before
    # The next look changes nothing.
    assert plan_prefill_servers(wanted, servers - wanted, demand) == wanted


def test_plan_gains_enough_and_does_not_swing(case):
    """Guards against servers that switch to and fro, each time for seconds."""
    check_plan()


load_tests = collect(globals())
