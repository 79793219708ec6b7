"""Tests of the decisions of the cost policy under load and with failing servers."""

from hypothesis import given, settings, strategies as st

from amaranthbay.kernel.errors import Reason, Verdict
from amaranthbay.placement.cost import CostPolicy, join_pairs, make_pair, scan_pairs
from amaranthbay.placement.tests.samples import demand, pool, view
from amaranthbay.placement.types import PoolTimes
from amaranthbay.utils.testing import collect

POLICY = CostPolicy()


def choose_names(snapshot, wanted):
    """Returns the instances of the chosen pair."""
    placement = POLICY.choose(wanted, snapshot, 0.0).unwrap()
    return (
        placement.prefill.server.instance,
        placement.decode.server.instance,
    )


def test_wait_is_weighed_against_cached_tokens(case):
    """Guards against a hot spot on the server that caches a popular prefix."""
    decode = [view("d-1", "decode")]
    free = view("p-2")
    holder = view("p-1", cached_tokens=2048, queued_tokens=1000)
    wanted = demand(4000, remaining_s=5.0)
    case.assertEqual(choose_names(pool([holder, free], decode), wanted)[0], "p-1")
    busy = view("p-1", cached_tokens=2048, queued_tokens=4000)
    case.assertEqual(choose_names(pool([busy, free], decode), wanted)[0], "p-2")


def test_slow_but_alive_server_is_avoided(case):
    """Guards against choosing a slow server because its queue is short."""
    decode = [view("d-1", "decode")]
    prefill = [view("p-1", slowdown=10.0), view("p-2", queued_tokens=2000)]
    case.assertEqual(choose_names(pool(prefill, decode), demand())[0], "p-2")


def test_degraded_link_is_avoided(case):
    """Guards against a prefill whose KV cache can't be transferred in time."""
    decode = [view("d-1", "decode")]
    prefill = [view("p-1", link_bytes_s=5.0e7), view("p-2", queued_tokens=1000)]
    case.assertEqual(choose_names(pool(prefill, decode), demand())[0], "p-2")


def test_other_zone_is_used_only_for_a_gain(case):
    """Guards against transfers across zones that save less than they cost."""
    prefill = [view("p-1", zone="zone-a")]
    near = view("d-1", "decode", "zone-a")
    far = view("d-2", "decode", "zone-b")
    case.assertEqual(choose_names(pool(prefill, [far, near]), demand())[1], "d-1")
    half = view("d-1", "decode", "zone-a", active=10)
    case.assertEqual(choose_names(pool(prefill, [far, half]), demand())[1], "d-1")
    full = view("d-1", "decode", "zone-a", active=25)
    case.assertEqual(choose_names(pool(prefill, [far, full]), demand())[1], "d-2")


def test_decode_wait_counts_at_the_end_of_the_prefill(case):
    """Guards against refusing a long prefill for slots that will be free by then."""
    times = PoolTimes(stream_s=1.0)
    full = view("d-1", "decode", active=20)
    short = make_pair(view("p-1"), full, demand(50), times)
    long = make_pair(view("p-1"), full, demand(5000), times)
    case.assertGreater(short.kv_wait_s, 0.0)
    case.assertEqual(long.kv_wait_s, 0.0)


def test_interactive_is_refused_before_a_prefill(case):
    """Guards against a prefill whose first token would come too late."""
    snapshot = pool([view("p-1", queued_tokens=9000)], [view("d-1", "decode")])
    refusal = POLICY.choose(demand(), snapshot, 0.0).unwrap_err()
    case.assertEqual(refusal.reason, Reason.WOULD_MISS_TARGET)
    case.assertEqual(refusal.verdict, Verdict.NOT_RUN)
    case.assertGreater(refusal.retry_after.total_seconds(), 0.0)
    # A status of 500 or more would be tried again inside the daemon.
    case.assertLess(refusal.status, 500)


def test_patient_is_never_refused_for_slowness(case):
    """Guards against losing patient work under load."""
    snapshot = pool([view("p-1", queued_tokens=90000)], [view("d-1", "decode")])
    wanted = demand(interactive=False)
    case.assertTrue(POLICY.choose(wanted, snapshot, 0.0).is_ok())
    case.assertFalse(POLICY.may_start(wanted, snapshot, 0.0))


def test_patient_starts_only_if_a_slot_will_be_free(case):
    """Guards against a prefill whose KV cache expires before a slot is free."""
    wanted = demand(interactive=False)
    free = pool([view("p-1")], [view("d-1", "decode")])
    case.assertTrue(POLICY.may_start(wanted, free, 0.0))
    full = pool([view("p-1")], [view("d-1", "decode", active=30)])
    case.assertFalse(POLICY.may_start(wanted, full, 0.0))
    below_share = demand(interactive=False, below_share=True)
    case.assertFalse(POLICY.may_start(below_share, full, 0.0))


def test_patient_below_share_starts_behind_interactive_work(case):
    """Guards against patient work that starves under interactive load."""
    busy = pool([view("p-1", queued_tokens=4000)], [view("d-1", "decode")])
    case.assertFalse(POLICY.may_start(demand(interactive=False), busy, 0.0))
    below_share = demand(interactive=False, below_share=True)
    case.assertTrue(POLICY.may_start(below_share, busy, 0.0))


def test_one_prefill_server_is_kept_for_interactive_work(case):
    """Guards against long, uninterruptible prefills on every server."""
    prefill = [view(f"p-{number}") for number in range(3)]
    decode = [view("d-1", "decode")]
    names = {
        choose_names(pool(prefill, decode), demand(interactive=False, seed=seed))[0]
        for seed in range(50)
    }
    case.assertNotIn("p-0", names)


def test_low_goodput_weight_refuses_more(case):
    """Guards against a configured goodput weight that has no effect."""
    prefill = [view("p-1", queued_tokens=3600)]
    decode = [view("d-1", "decode")]
    high_weight = pool(prefill, decode, goodput_weight=1.0)
    low_weight = pool(prefill, decode, goodput_weight=0.0)
    case.assertTrue(POLICY.choose(demand(), high_weight, 0.0).is_ok())
    case.assertTrue(POLICY.choose(demand(), low_weight, 0.0).is_err())


def test_gone_and_leaving_servers_get_no_work(case):
    """Guards against placement on servers that are gone, excluded or leaving."""
    prefill = [view("p-1", leaving=True), view("p-2")]
    decode = [view("d-1", "decode"), view("d-2", "decode")]
    wanted = demand(excluded=frozenset({"d-1"}))
    case.assertEqual(choose_names(pool(prefill, decode), wanted), ("p-2", "d-2"))
    refusal = POLICY.choose(demand(), pool([], decode), 0.0).unwrap_err()
    case.assertEqual(refusal.reason, Reason.NO_BACKEND_SERVER)


def test_returned_servers_get_a_growing_share(case):
    """Guards against all daemons filling the servers of a returned zone at once."""
    others = [view(f"p-{number}", queued_tokens=2000) for number in range(7)]
    decode = [view("d-1", "decode")]

    def share(ramp):
        returned = [view(f"p-{number}", ramp=ramp) for number in range(7, 10)]
        snapshot = pool([*others, *returned], decode)
        names = [
            choose_names(snapshot, demand(remaining_s=9.0, seed=seed * 7919))[0]
            for seed in range(500)
        ]
        return sum(name in ("p-7", "p-8", "p-9") for name in names) / 500

    case.assertLess(share(0.1), 0.15)
    case.assertGreater(share(0.5), 0.3)
    case.assertGreater(share(1.0), 0.9)


def test_returned_servers_are_used_if_there_is_no_other(case):
    """Guards against refusing requests while all servers have just returned."""
    snapshot = pool([view("p-1", ramp=0.1)], [view("d-1", "decode", ramp=0.1)])
    case.assertEqual(choose_names(snapshot, demand(seed=999)), ("p-1", "d-1"))


def test_interactive_does_not_wait_for_waiting_patient_work(case):
    """Guards against refusing an interactive request for patient work in the queue."""
    busy = view("p-1", queued_tokens=20_000, blocking_tokens=2000)
    snapshot = pool([busy], [view("d-1", "decode")])
    case.assertTrue(POLICY.choose(demand(), snapshot, 0.0).is_ok())
    case.assertFalse(POLICY.may_start(demand(interactive=False), snapshot, 0.0))


def test_decision_is_a_function_of_its_arguments(case):
    """Guards against decisions that can't be reproduced from a log."""
    prefill = [view(f"p-{number}", queued_tokens=number % 7) for number in range(200)]
    decode = [view(f"d-{number}", "decode") for number in range(300)]
    snapshot = pool(prefill, decode)
    wanted = demand(seed=12345)
    case.assertEqual(
        POLICY.choose(wanted, snapshot, 1.0), POLICY.choose(wanted, snapshot, 2.0)
    )


QUEUED_TOKENS = st.lists(st.integers(0, 9000), min_size=1, max_size=6)
ZONES = st.lists(st.sampled_from(["zone-a", "zone-b"]), min_size=12, max_size=12)


@settings(derandomize=True, deadline=None)
@given(QUEUED_TOKENS, st.lists(st.integers(0, 40), min_size=1, max_size=6), ZONES)
def check_early_stop(case, queues, actives, zones):
    """Compares the rank join, which stops early, with a full scan."""
    prefills = [
        view(f"p-{n}", zone=zones[n], queued_tokens=q, link_queued_bytes=q * 1e5)
        for n, q in enumerate(queues)
    ]
    decodes = [
        view(f"d-{n}", "decode", zone=zones[n + 6], active=a)
        for n, a in enumerate(actives)
    ]
    joined, _ = join_pairs(prefills, decodes, demand(), PoolTimes())
    scanned = scan_pairs(prefills, decodes, demand(), PoolTimes())
    case.assertAlmostEqual(joined.cost_s, scanned.cost_s, places=12)


def test_early_stop_finds_the_cheapest_pair(case):
    """Guards against a wrong lower bound that skips a cheaper pair."""
    check_early_stop(case)


load_tests = collect(globals())
