"""Parts of prompts that crash decode servers, without callers and platform."""

import random
from unittest import mock

from amaranthbay.relay import crash_parts
from amaranthbay.relay.crash_parts import (
    BLOCK_S,
    CRASH_LIFE_S,
    MAX_BLOCK_S,
    MAX_PARTS,
    MIN_SPAN_S,
    CrashingParts,
)
from amaranthbay.utils.testing import ManualClock, collect


def make_parts(crashes=(), parts=("first", "bad")):
    """Returns `CrashingParts` with crashes at intervals, and its clock."""
    clock = ManualClock()
    crashing_parts = CrashingParts(clock)
    note_crashes(crashing_parts, clock, crashes, parts)
    return crashing_parts, clock


def note_crashes(crashing_parts, clock, crashes, parts):
    for crash in crashes:
        crashing_parts.note_crash(parts, crash)
        clock.advance(MIN_SPAN_S)


def test_part_is_blocked_after_three_crashes_on_different_requests(case):
    """Guards against a part that crashes one server after the other."""
    crashing_parts, clock = make_parts(("s1", "s2"))
    case.assertFalse(crashing_parts.is_blocked(("first", "bad")))
    note_crashes(crashing_parts, clock, ["s2"], ("first", "bad"))
    case.assertFalse(crashing_parts.is_blocked(("first", "bad")))
    note_crashes(crashing_parts, clock, ["s3"], ("first", "bad"))
    case.assertTrue(crashing_parts.is_blocked(("first", "bad")))
    case.assertTrue(crashing_parts.is_blocked(("first", "bad", "other")))


def test_request_with_some_of_the_suspected_parts_is_tried(case):
    """Guards against refusing requests that have only a sound one of several parts that
    were always present together."""
    crashing_parts, clock = make_parts(("s1", "s2", "s3"))
    case.assertFalse(crashing_parts.is_blocked(("first",)))
    crashing_parts.note_served(("first",))
    case.assertTrue(crashing_parts.is_blocked(("second", "bad")))
    case.assertFalse(crashing_parts.is_blocked(("first", "other")))


def test_part_that_is_also_present_at_other_crashes_is_found(case):
    """Guards against refusing no request, as the part that crashes servers was always
    present together with another one."""
    crashing_parts, clock = make_parts(("s1", "s2", "s3"))
    note_crashes(crashing_parts, clock, ["s4"], ("second", "bad"))
    case.assertTrue(crashing_parts.is_blocked(("third", "bad")))
    case.assertFalse(crashing_parts.is_blocked(("first",)))


def test_popular_part_is_not_blocked_as_several_servers_fail_at_once(case):
    """Guards against refusing all requests after the loss of a rack."""
    clock = ManualClock()
    crashing_parts = CrashingParts(clock)
    for crash in ("s1", "s2", "s3", "s4"):
        crashing_parts.note_crash(("popular",), crash)
    case.assertFalse(crashing_parts.is_blocked(("popular",)))
    crashing_parts.note_served(("popular",))
    clock.advance(MIN_SPAN_S)
    crashing_parts.note_crash(("popular",), "s5")
    case.assertFalse(crashing_parts.is_blocked(("popular",)))


def test_sound_part_stays_cleared_of_crashes_that_are_reported_again(case):
    """Guards against blocking a sound part by repeated reports of old crashes."""
    crashing_parts, clock = make_parts(("s1", "s2"))
    crashing_parts.note_served(("first",))
    for _ in range(3):
        crashing_parts.merge({"first": ("s1", "s2")}, ())
        clock.advance(MIN_SPAN_S)
    crashing_parts.merge({"first": ("s3",)}, ())
    case.assertFalse(crashing_parts.is_blocked(("first",)))


def test_instances_share_crashes_and_sound_parts(case):
    """Guards against instances that each have to see three crashes, and against one
    that refuses a part on which another one has completed a stream."""
    first, clock = make_parts(("s1", "s2", "s3"))
    second, second_clock = make_parts()
    for _ in range(2):
        second.merge(first.crash_report(), first.sound_report())
    case.assertFalse(second.is_blocked(("first", "bad")))
    second_clock.advance(MIN_SPAN_S)
    note_crashes(second, second_clock, ["s4"], ("first", "bad"))
    case.assertTrue(second.is_blocked(("first", "bad")))
    first.note_served(("first",))
    second.merge(first.crash_report(), first.sound_report())
    case.assertTrue(second.is_blocked(("bad",)))
    case.assertFalse(second.is_blocked(("first",)))
    case.assertEqual(set(first.crash_report()), {"bad"})


def test_part_is_found_beside_many_streams_that_see_their_crash_elsewhere(case):
    """Guards against a part that no report names, as many other parts were present at
    each crash and each crash was seen by another instance."""
    clock = ManualClock()
    instances = [CrashingParts(clock) for _ in range(9)]
    for number, witness in enumerate(instances[:4]):
        beside = [f"z{number}{index}" for index in range(20)]
        witness.note_crash(("bad", *beside), f"s{number}")
        for _ in range(5):
            clock.advance(0.2)
            for sender in instances:
                report = sender.crash_report()
                for receiver in instances:
                    receiver.merge(report, ())
    for instance in instances:
        case.assertTrue(instance.is_blocked(("bad",)))


def test_all_sound_parts_are_reported_in_turn(case):
    """Guards against an instance that refuses sound requests, as the reports of another
    one that serves them name only some of their many parts."""
    parts = [f"p{number}" for number in range(20)]
    first, first_clock = make_parts(("s1", "s2", "s3"), parts)
    second, _ = make_parts(("s1", "s2", "s3"), parts)
    for _ in range(5):
        first.note_served(parts)
        second.merge({}, first.sound_report())
        first_clock.advance(0.2)
    case.assertFalse(second.is_blocked(parts))


def test_instance_that_starts_after_the_crashes_refuses_their_part(case):
    """Guards against new crashes each time that an instance starts, also after those
    that have seen the crashes are gone."""
    witness, clock = make_parts(("s1", "s2", "s3"))
    second, _ = make_parts()
    with mock.patch.object(crash_parts, "log_event") as log_event:
        for _ in range(2):
            second.merge_blocks(witness.block_report())
    logged = [call.kwargs["part"] for call in log_event.call_args_list]
    case.assertEqual(sorted(logged), ["bad", "first"])
    third, third_clock = make_parts()
    third.merge_blocks(second.block_report())
    case.assertTrue(third.is_blocked(("first", "bad")))
    case.assertFalse(third.is_blocked(("first",)))
    third.note_served(("first",))
    third.merge_blocks(second.block_report())
    case.assertTrue(third.is_blocked(("other", "bad")))
    case.assertFalse(third.is_blocked(("first",)))
    third_clock.advance(BLOCK_S)
    case.assertFalse(third.is_blocked(("other", "bad")))


def test_blocked_part_is_tried_again_and_blocked_for_longer(case):
    """Guards against a part that is refused forever, and against three crashes more
    each time that it is tried."""
    crashing_parts, clock = make_parts(("s1", "s2", "s3"), ("bad",))
    clock.advance(BLOCK_S)
    crashing_parts.sweep()
    case.assertFalse(crashing_parts.is_blocked(("bad",)))
    crashing_parts.note_crash(("bad",), "s4")
    clock.advance(1.5 * BLOCK_S)
    case.assertTrue(crashing_parts.is_blocked(("bad",)))
    crashing_parts.note_served(("bad",))
    case.assertFalse(crashing_parts.is_blocked(("bad",)))


def test_later_crash_does_not_unblock_requests_without_the_parts_beside_it(case):
    """Guards against a blocked part whose requests are run again after a later crash,
    at which a sound stream had also just begun on the server."""
    for waited_s in (CRASH_LIFE_S + 1, BLOCK_S + 1):
        crashing_parts, clock = make_parts(("s1", "s2", "s3"), ("bad",))
        clock.advance(waited_s)
        crashing_parts.sweep()
        crashing_parts.note_crash(("beside",), "s4")
        crashing_parts.note_crash(("bad",), "s4")
        case.assertTrue(crashing_parts.is_blocked(("first", "bad")), waited_s)
        clock.advance(2 * BLOCK_S + MAX_BLOCK_S)
        crashing_parts.sweep()
        case.assertEqual(crashing_parts._suspicions, {})


def test_blocked_part_is_kept_beside_many_suspected_ones(case):
    """Guards against new crashes after a request with very many parts."""
    crashing_parts, _ = make_parts(("s1", "s2", "s3"), ("bad",))
    crashing_parts.note_crash([f"p{number}" for number in range(MAX_PARTS)], "s4")
    case.assertTrue(crashing_parts.is_blocked(("bad",)))
    case.assertEqual(len(crashing_parts._suspicions), MAX_PARTS)


def test_part_is_found_beside_very_many_blocked_ones(case):
    """Guards against a table of blocked parts that has no room for another one."""
    many = [f"p{number}" for number in range(MAX_PARTS)]
    crashing_parts, clock = make_parts(("s1", "s2", "s3"), many)
    note_crashes(crashing_parts, clock, ("s4", "s5", "s6"), ("bad",))
    case.assertTrue(crashing_parts.is_blocked(("bad",)))
    case.assertEqual(len(crashing_parts._suspicions), MAX_PARTS)


def test_parts_that_were_present_together_are_compared_once(case):
    """Guards against a check of a long prompt that takes a third of a second."""
    many = [f"p{number}" for number in range(MAX_PARTS)]
    crashing_parts, _ = make_parts(("s1", "s2", "s3"), many)
    with mock.patch.object(
        crashing_parts, "_present_at", wraps=crashing_parts._present_at
    ) as present_at:
        case.assertFalse(crashing_parts.is_blocked(many[1:]))
    case.assertEqual(present_at.call_count, 1)


def test_suspicions_are_swept(case):
    """Guards against memory that grows with each crash."""
    crashing_parts, clock = make_parts(("s1", "s2"))
    crashing_parts.note_served(("first",))
    for number in range(2 * MAX_PARTS):
        crashing_parts.note_crash((f"p{number}",), "s9")
    case.assertLessEqual(len(crashing_parts._suspicions), MAX_PARTS)
    clock.advance(CRASH_LIFE_S + 1)
    crashing_parts.sweep()
    case.assertEqual(crashing_parts._suspicions, {})


class Fleet:
    """Instances that share reports, and servers that crash on a part.

    Attributes:
        sent_bad: Times at which requests with the part reached servers.
        crashes: Times of the crashes by the part.
        sound: Sound requests with the same first part that were served and refused.
    """

    def __init__(self, rng, instances):
        self.rng = rng
        self.clock = ManualClock()
        self.instances = [CrashingParts(self.clock) for _ in range(instances)]
        self.sent_bad, self.crashes, self.sound = [], [], [0, 0]
        self._running = []

    def send(self, parts):
        """Sends a request to a random instance, which may refuse it."""
        instance = self.rng.choice(self.instances)
        is_blocked = instance.is_blocked(parts)
        if "bad" not in parts:
            self.sound[is_blocked] += "first" in parts
        elif not is_blocked:
            self.sent_bad.append(self.clock.monotonic())
        if is_blocked:
            return
        server = self.rng.randrange(5)
        self._running.append((self.clock.monotonic(), instance, parts, server))
        if "bad" in parts:
            self.crash(server)
            self.crashes.append(self.clock.monotonic())

    def crash(self, server):
        """Crashes a server with all that it runs."""
        name = f"{server}/{self.clock.monotonic()}"
        for run in [run for run in self._running if run[3] == server]:
            self._running.remove(run)
            if self.clock.monotonic() - run[0] < 1.0:
                run[1].note_crash(run[2], name)

    def advance(self, seconds):
        """Ends streams that have run for long enough, and exchanges reports."""
        self.clock.advance(seconds)
        for run in [
            run for run in self._running if self.clock.monotonic() - run[0] > 2
        ]:
            self._running.remove(run)
            run[1].note_served(run[2])
        for sender in self.instances:
            for receiver in self.instances:
                receiver.merge(sender.crash_report(), sender.sound_report())
                receiver.merge_blocks(sender.block_report())

    def restart(self):
        """Replaces an instance by one that knows nothing."""
        number = self.rng.randrange(len(self.instances))
        gone = self.instances[number]
        self._running = [run for run in self._running if run[1] is not gone]
        self.instances[number] = CrashingParts(self.clock)


def test_part_is_blocked_beside_load_and_other_crashes_and_sound_ones_are_not(case):
    """Guards against more than three requests after the fifth crash, and against
    refusing half of the sound requests with the same first part."""
    for seed in range(40):
        rng = random.Random(seed)
        fleet = Fleet(rng, rng.choice((1, 4, 9)))
        bad_rate, firsts = rng.uniform(0.02, 0.3), rng.choice((1, 5, 200))
        for _ in range(300):
            if rng.random() < bad_rate:
                fleet.send(("first", "bad") if rng.random() < 0.8 else ("p3", "bad"))
            for _ in range(rng.randrange(3)):
                fleet.send(rng.choice((("first",), (f"p{rng.randrange(firsts)}", "q"))))
            if rng.random() < 0.02:
                fleet.crash(rng.randrange(5))
            if len(fleet.instances) > 1 and rng.random() < 0.05:
                fleet.restart()
            fleet.advance(0.2)
        fifth_at = fleet.crashes[4] if len(fleet.crashes) > 4 else float("inf")
        late = sum(sent_at > fifth_at + 3.0 for sent_at in fleet.sent_bad)
        case.assertLessEqual(late, 3, f"seed {seed}")
        served, refused = fleet.sound
        case.assertLess(refused, served, f"seed {seed}")


load_tests = collect(globals())
