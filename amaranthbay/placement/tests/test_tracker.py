"""Tests of the load tracker: its snapshots, and what it learns from attempts."""

from amaranthbay.config.types import Service
from amaranthbay.dispatch.types import ModelCall, PrefillOutcome
from amaranthbay.placement.cost import CostPolicy
from amaranthbay.placement.tests.samples import demand, server
from amaranthbay.placement.tracker import LoadTracker
from amaranthbay.utils.testing import ManualClock, collect

SERVICE = Service("summary", "model", ("prefill", "decode"), ("desk",))
CALL = ModelCall("summary", "x" * 4 * 3000, 100, True)


class FixedDirectory:
    """Directory of two prefill servers and one decode server."""

    def __init__(self):
        self._servers = {
            "prefill": (server("p-1"), server("p-2")),
            "decode": (server("d-1", "decode"),),
        }

    def servers(self, pools, role):
        """Returns the servers of a role."""
        return self._servers[role]


def start_attempt(attempt_id="a-1"):
    """Returns a tracker, its clock and the placement of a started attempt."""
    clock = ManualClock()
    tracker = LoadTracker(FixedDirectory(), "zone-a", clock, lambda server: 20)
    view = tracker.view(SERVICE, CALL)
    wanted = demand(3000, remaining_s=9.0)
    placement = CostPolicy().choose(wanted, view, 0.0).unwrap()
    tracker.placed(attempt_id, CALL, placement, view)
    return tracker, clock, placement


def loads(tracker):
    """Returns the queued tokens of the prefill servers and the decode server's load."""
    view = tracker.view(SERVICE, CALL)
    return (
        sorted(prefill.queued_tokens for prefill in view.prefill),
        view.decode[0].active,
    )


def outcome(clock, cached=0):
    """Returns a finished prefill of CALL."""
    return PrefillOutcome("kv-1", "", 3000, cached, clock.monotonic() + 0.9)


def test_own_attempt_counts_from_its_placement_to_its_end(case):
    """Guards against load of own attempts that is lost, or that stays for ever."""
    tracker, clock, _ = start_attempt()
    case.assertEqual(loads(tracker), ([0, 3000], 1))
    clock.advance(0.6)
    tracker.prefilled("a-1", outcome(clock))
    case.assertEqual(loads(tracker), ([0, 0], 1))
    tracker.first_token("a-1")
    tracker.released("a-1")
    tracker.released("a-1")
    case.assertEqual(loads(tracker), ([0, 0], 0))


def test_failed_attempt_leaves_no_load(case):
    """Guards against load left by an attempt that failed before its first token."""
    for has_prefilled in (False, True):
        tracker, clock, placement = start_attempt()
        if has_prefilled:
            tracker.prefilled("a-1", outcome(clock))
        tracker.released("a-1")
        case.assertEqual(loads(tracker), ([0, 0], 0))
        for prefill in tracker.view(SERVICE, CALL).prefill:
            case.assertEqual(prefill.link_queued_bytes, 0.0)


def test_transfer_occupies_the_link_until_the_first_token(case):
    """Guards against planning simultaneous transfers over one link at its full rate."""
    tracker, clock, placement = start_attempt()
    tracker.prefilled("a-1", outcome(clock))

    def queued():
        view = tracker.view(SERVICE, CALL)
        return max(prefill.link_queued_bytes for prefill in view.prefill)

    case.assertGreater(queued(), 0.0)
    tracker.first_token("a-1")
    case.assertEqual(queued(), 0.0)


def test_prefix_is_expected_where_it_was_computed(case):
    """Guards against a prefix index that ignores own placements."""
    tracker, clock, placement = start_attempt()
    tracker.prefilled("a-1", outcome(clock))
    view = tracker.view(SERVICE, CALL)
    cached = {
        prefill.server.instance: prefill.cached_tokens for prefill in view.prefill
    }
    name = placement.prefill.server.instance
    case.assertEqual(cached[name], 2048)
    case.assertEqual(sum(cached.values()), 2048)
    positions = [view.prefill[number].server.instance for number in view.prefix_holders]
    case.assertEqual(positions, [name])


def test_prefix_error_is_counted(case):
    """Guards against an error of the prefix index that isn't counted."""
    tracker, clock, _ = start_attempt()
    tracker.prefilled("a-1", outcome(clock, cached=1024))
    case.assertEqual(tracker.index.error.surplus_tokens, 1024)


def test_slow_prefill_raises_the_slowdown_of_its_server(case):
    """Guards against a slow server whose prefills aren't compared with the estimate."""
    for taken_s in (0.6, 6.0):
        tracker, clock, placement = start_attempt()
        clock.advance(taken_s)
        tracker.prefilled("a-1", outcome(clock))
        name = placement.prefill.server.instance
        slowdowns = {
            prefill.server.instance: prefill.slowdown
            for prefill in tracker.view(SERVICE, CALL).prefill
        }
        case.assertEqual(slowdowns.pop(name) > 2.0, taken_s > 1.0)
        case.assertEqual(set(slowdowns.values()), {1.0})


load_tests = collect(globals())
