"""Quotas of a simulated fleet, with the real buckets and reports."""

from dataclasses import replace

from hypothesis import given, settings, strategies as st
from msgspec.structs import replace as replace_status

from amaranthbay.fleet.reports import (
    MAX_DATAGRAM_BYTES,
    PeerStatus,
    ServerLoad,
    Usage,
    WorkspaceUsage,
    encode_datagram,
    split_report,
)
from amaranthbay.utils.testing import collect
from amaranthbay.workspaces import Workspace
from amaranthbay.workspaces.shares import GONE_S
from amaranthbay.workspaces.tests.fleets import (
    BOUNDS,
    RATE,
    REQUEST,
    STEP_S,
    STOP_S,
    Fleet,
    largest_window,
    workspace,
)

NAMES = [f"entry-{index}" for index in range(4)]
FLOOD = 100
TOKENS = workspace()
REQUESTS = Workspace("north", rate_per_s=20, burst=20)
FEW_REQUESTS = Workspace("north", rate_per_s=2, burst=2)
FAULTS = st.one_of(
    st.tuples(st.just("cut"), st.sets(st.sampled_from(NAMES))),
    st.tuples(st.just("isolate"), st.just(None)),
    st.tuples(st.just("heal"), st.just(None)),
    st.tuples(st.just("lose"), st.sampled_from([0.5, 0.9, 1.0])),
    st.tuples(st.just("delay"), st.sampled_from([0.1, 0.5, 2.0])),
    st.tuples(st.just("freeze"), st.sampled_from(NAMES)),
    st.tuples(st.just("wake"), st.just(None)),
    st.tuples(st.just("restart"), st.sets(st.sampled_from(NAMES), min_size=1)),
    st.tuples(st.just("load"), st.sampled_from([0.0, 0.9, 3.0, FLOOD])),
    st.tuples(st.just("lower"), st.just(None)),
)
STEPS = st.lists(
    st.tuples(FAULTS, st.sampled_from([0.1, 0.5, 1.0, 3.0])), min_size=2, max_size=6
)


class Demand:
    """Requests at random instances, at a multiple of a quota's rate."""

    def __init__(self, fleet, units=REQUEST, load=0.0, names=None):
        self.fleet, self.units, self.load = fleet, units, load
        self.names = names
        self.rate_per_s = fleet.workspaces["north"].rate_per_s

    def __call__(self):
        """Sends the requests of one step."""
        names = self.names or list(self.fleet.nodes)
        share = self.load * self.rate_per_s * STEP_S / self.units / len(names)
        for name in names:
            if not self.fleet.nodes[name].frozen and self.fleet.rng.random() < share:
                self.fleet.charge(name, self.units)


def apply_fault(fleet, demand, kind, value):
    if kind == "cut":
        fleet.cut([value])
    elif kind == "isolate":
        fleet.cut([[name] for name in NAMES])
    elif kind == "heal":
        fleet.cut([])
        fleet.loss = fleet.late_s = 0.0
    elif kind == "lose":
        fleet.loss = value
    elif kind == "delay":
        fleet.late_s = value
    elif kind == "freeze":
        fleet.nodes[value].frozen = True
    elif kind == "wake":
        wake_all(fleet)
    elif kind == "restart":
        for name in value:
            fleet.restart(name)
    elif kind == "load":
        demand.load = value
    elif kind == "lower":
        limit = fleet.workspaces["north"]
        fleet.workspaces["north"] = replace(
            limit, rate_per_s=limit.rate_per_s / 2, burst=limit.burst / 2
        )


def wake_all(fleet):
    for node in fleet.nodes.values():
        node.frozen = False


def used(fleet, since, limit=None):
    """Returns the largest use of a window since a time, as a fraction of its bound."""
    passed = [charge for charge in fleet.passed if charge[0] >= since]
    limit = limit or fleet.workspaces["north"]
    return largest_window(passed) / BOUNDS.limit(limit)


@settings(derandomize=True, deadline=None, max_examples=25)
@given(
    limit=st.sampled_from([TOKENS, TOKENS, REQUESTS, FEW_REQUESTS]),
    calm_s=st.sampled_from([0.3, 1.0]),
    steps=STEPS,
)
def test_no_window_exceeds_the_bound(case, limit, calm_s, steps):
    """Guards against more than the bound in any window, whatever is cut, lost, late,
    frozen, killed or lowered at whatever load."""
    fleet = Fleet(len(NAMES), seed=5, limits=(limit,))
    demand = Demand(fleet, REQUEST if limit is TOKENS else 1)
    fleet.run(2)
    # Buckets that are full late in a window leave the least room for errors.
    demand.load = 0.9
    fleet.run(6, demand)
    demand.load = 0.0
    fleet.run(calm_s, demand)
    demand.load = FLOOD
    for (kind, value), seconds in steps:
        apply_fault(fleet, demand, kind, value)
        fleet.run(seconds, demand)
    fleet.cut([])
    wake_all(fleet)
    fleet.run(1, demand)
    case.assertLessEqual(used(fleet, 0.0, limit), 1.0)


def test_load_under_the_quota_is_practically_never_refused(case):
    """Guards against refusals under the limit while nine instances share the load."""
    fleet = Fleet(9)
    fleet.run(2)
    fleet.run(60, Demand(fleet, load=0.9))
    total = len(fleet.passed) + len(fleet.refused)
    case.assertGreater(total, 900)
    case.assertLess(len(fleet.refused) / total, 0.02)


def test_one_instance_can_use_the_whole_quota(case):
    """Guards against a quota that is divided among instances without requests."""
    fleet = Fleet(9)
    fleet.run(2)
    since = fleet.clock.monotonic()
    fleet.run(0.3, lambda: fleet.charge(NAMES[0]))
    case.assertGreaterEqual(sum(units for _, units in fleet.passed), TOKENS.burst)
    fleet.run(3.7, lambda: fleet.charge(NAMES[0]))
    used_s = fleet.clock.monotonic() - since
    allowed = TOKENS.burst + used_s * RATE
    case.assertGreater(sum(units for _, units in fleet.passed), 0.95 * allowed)


def test_refused_request_passes_after_its_retry_time(case):
    """Guards against retry times that are too short or far too long."""
    fleet = Fleet(1)
    fleet.run(2)
    refused = next(
        result
        for result in iter(lambda: fleet.charge(NAMES[0]), None)
        if result.is_err()
    )
    retry_s = refused.unwrap_err().retry_s
    case.assertLess(retry_s, 1.3 * REQUEST / RATE + STEP_S)
    fleet.run(retry_s + STEP_S)
    case.assertTrue(fleet.charge(NAMES[0]).is_ok())


def test_instance_that_wakes_has_no_old_units(case):
    """Guards against a frozen instance that uses the level of before its pause."""
    fleet = Fleet(3)
    fleet.run(3)
    fleet.nodes["entry-0"].frozen = True
    fleet.run(4, Demand(fleet, load=3.0, names=NAMES[1:3]))
    wake_all(fleet)
    case.assertTrue(fleet.charge("entry-0").is_err())
    fleet.run(4, Demand(fleet, load=FLOOD, names=NAMES[:3]))
    case.assertLessEqual(used(fleet, 0.0), 1.0)


def test_restarted_instance_begins_empty_and_is_heard_again(case):
    """Guards against a burst after each restart, and against counts of a new process
    that peers take for those of the earlier one."""
    fleet = Fleet(3)
    fleet.run(3)
    fleet.run(2, lambda: fleet.charge("entry-0"))
    for _ in range(3):
        fleet.restart("entry-0")
        case.assertTrue(fleet.charge("entry-0").is_err())
        fleet.run(1.5, lambda: fleet.charge("entry-0"))
    fleet.run(0.2, lambda: fleet.charge("entry-1"))
    case.assertLessEqual(used(fleet, 0.0), 1.0)


def test_instances_that_are_cut_off_share_the_rate(case):
    """Guards against parts of a fleet that each use the whole rate, and against an
    instance without peers that gets nothing."""
    fleet = Fleet(4)
    fleet.run(3)
    fleet.cut([[name] for name in NAMES])
    fleet.run(3, Demand(fleet, load=FLOOD))
    fleet.passed.clear()
    fleet.run(10, Demand(fleet, load=FLOOD))
    mean = sum(units for _, units in fleet.passed) / 10
    case.assertLess(mean, 1.1 * RATE)
    case.assertGreater(mean, 0.8 * RATE)
    fleet.cut([])
    fleet.run(2, Demand(fleet, load=0.9))
    fleet.passed.clear()
    fleet.refused.clear()
    fleet.run(10, Demand(fleet, load=0.9))
    case.assertLess(len(fleet.refused), 0.1 * len(fleet.passed))


def test_full_buckets_are_not_used_by_each_part(case):
    """Guards against parts of a fleet that each use the level of before the cut, late
    in a window that has seen most of its units."""
    fleet = Fleet(9)
    fleet.run(2)
    demand = Demand(fleet, load=0.9)
    fleet.run(6, demand)
    fleet.run(0.5)
    fleet.cut([[name] for name in fleet.nodes])
    demand.load = FLOOD
    fleet.run(4, demand)
    case.assertLessEqual(used(fleet, 0.0), 1.0)


def test_instances_on_standby_keep_the_bound(case):
    """Guards against instances on standby that each pass requests ahead of their share,
    as busy instances don't wait for them and they don't hear each other."""
    fleet = Fleet(24, seed=3)
    fleet.run(4)
    fleet.run(8, Demand(fleet, load=FLOOD))
    case.assertLessEqual(used(fleet, 0.0), 1.0)
    case.assertGreater(sum(units for _, units in fleet.passed), 7 * RATE)


def test_process_without_the_table_uses_a_small_share(case):
    """Guards against processes that each take themselves for the whole fleet, as none
    has read the table of instances."""
    fleet = Fleet(4, seed=3, limits=(REQUESTS,))
    fleet.cut([[name] for name in NAMES])
    for node in fleet.nodes.values():
        node.peers._registered = {node.name: node.peers.own}
        node.peers.is_table_read = False
    fleet.run(8, Demand(fleet, 1, load=FLOOD))
    case.assertLessEqual(len(fleet.passed), 4)
    for node in fleet.nodes.values():
        node.peers.replace([])
        case.assertTrue(node.peers.is_table_read)
    fleet.passed.clear()
    fleet.run(1, Demand(fleet, 1, load=FLOOD, names=NAMES[:1]))
    case.assertGreater(len(fleet.passed), 15)


def test_link_that_works_one_way_does_not_stop_an_instance(case):
    """Guards against an instance that waits for ever for the confirmations of a peer
    that it hears, but that doesn't hear it."""
    fleet = Fleet(9, seed=3)
    fleet.run(3)
    fleet._linked = lambda sender, name: (sender, name) != ("entry-0", "entry-1")
    fleet.run(3, Demand(fleet, load=0.1, names=["entry-0"]))
    fleet.passed.clear()
    fleet.refused.clear()
    fleet.run(20, Demand(fleet, load=0.1, names=["entry-0"]))
    case.assertGreater(len(fleet.passed), 20)
    case.assertLess(len(fleet.refused), 0.1 * len(fleet.passed))
    fleet._linked = lambda sender, name: True
    fleet.run(3, Demand(fleet, load=0.1))
    quotas = fleet.nodes["entry-0"].quotas
    case.assertEqual((quotas._part.part, len(quotas._part.confirming)), (1.0, 8))


def test_lowered_limit_binds_and_raised_one_is_usable_at_once(case):
    """Guards against buckets that keep what an earlier configuration allowed; the
    configuration in force decides, whether or not the store answers."""
    fleet = Fleet(4)
    fleet.run(3, Demand(fleet, load=2.0))
    fleet.workspaces["north"] = lower = workspace(RATE / 4)
    since = fleet.clock.monotonic()
    demand = Demand(fleet, load=20.0)
    fleet.run(9, demand)
    case.assertLessEqual(used(fleet, since, lower), 1.0)
    fleet.workspaces["north"] = workspace()
    fleet.passed.clear()
    fleet.run(4, demand)
    case.assertGreater(sum(units for _, units in fleet.passed), 3.5 * RATE)


def test_rows_of_removed_instances_cost_no_quota_for_ever(case):
    """Guards against shares that are kept for instances which never come back."""
    fleet = Fleet(3, gone=6)
    fleet.run(30)
    fleet.run(10, Demand(fleet, load=3.0))
    case.assertGreater(sum(units for _, units in fleet.passed), 9.5 * RATE)
    del fleet.nodes["entry-0"]
    fleet.run(5)
    part = fleet.nodes["entry-1"].quotas
    case.assertLess(part._look() and part._part.part, 1.0)
    for node in fleet.nodes.values():
        node.peers._received["entry-0"] = _aged(node.peers._received["entry-0"])
    fleet.run(1)
    case.assertEqual(part._part.part, 1.0)


def test_replaced_instances_cost_no_quota_after_their_stop(case):
    """Guards against a quota that is halved after a replacement of all instances under
    new names, and against a share that is freed while an instance may still stop."""
    fleet = Fleet(6)
    fleet.run(3)
    for name in ("entry-0", "entry-1", "entry-2"):
        fleet.nodes[name].peers.serving = False
    fleet.run(1)
    for name in ("entry-0", "entry-1", "entry-2"):
        del fleet.nodes[name]
    fleet.run(STOP_S - 1)
    quotas = fleet.nodes["entry-3"].quotas
    case.assertLess(quotas._part.part, 0.6)
    fleet.run(2)
    case.assertEqual(quotas._part.part, 1.0)


def _aged(merged):
    fields = merged.__dict__ | {"received_at": merged.received_at - GONE_S}
    return type(merged)(**fields)


def test_refund_is_usable_at_once_and_only_once(case):
    """Guards against units of requests that did not run, and against a second refund
    of the same charge."""
    fleet = Fleet(1)
    fleet.run(2)
    burst = int(BOUNDS.quota_of(workspace()).burst)
    charge = fleet.charge(NAMES[0], burst).unwrap()
    case.assertTrue(fleet.charge(NAMES[0]).is_err())
    charge.refund()
    charge.refund()
    case.assertTrue(fleet.charge(NAMES[0], burst).is_ok())
    case.assertTrue(fleet.charge(NAMES[0]).is_err())


def test_idle_workspaces_take_no_memory_and_no_bytes(case):
    """Guards against state that grows with the workspaces that were ever used."""
    limits = [workspace(name=f"w-{index}") for index in range(200)]
    fleet = Fleet(2, limits=limits)
    fleet.run(3)
    for limit in limits:
        case.assertTrue(fleet.charge(NAMES[0], limit=limit.name).is_ok())
    fleet.run(1)
    case.assertEqual(len(fleet.nodes[NAMES[1]].quotas._buckets), 200)
    fleet.run(30)
    for node in fleet.nodes.values():
        case.assertEqual(node.quotas._buckets, {})
        case.assertEqual(node.quotas.report().charged, ())


@settings(derandomize=True, deadline=None, max_examples=50)
@given(
    usages=st.integers(0, 400),
    loads=st.integers(0, 80),
    heard=st.integers(0, 80),
    name=st.integers(1, 128),
)
def test_usage_fits_into_datagrams(case, usages, loads, heard, name):
    """Guards against datagrams that are too large, and against charges that a receiver
    counts as heard although their datagram is missing."""
    charged = tuple(
        WorkspaceUsage(f"{index:03d}".ljust(name, "x"), index + 1, 2**62, index + 2)
        for index in range(usages)
    )
    usage = Usage(1, usages + 1, charged, {2**62 + n: 2**62 for n in range(heard)})
    all_loads = {
        f"server-{index}": ServerLoad(9, 2**40, 2**40) for index in range(loads)
    }
    status = PeerStatus("entry-1", 2**62, 2**40, True, all_loads, usage=usage)
    datagrams = split_report(status)
    for datagram in datagrams:
        case.assertLessEqual(len(encode_datagram(datagram)), MAX_DATAGRAM_BYTES)
    parts = [datagram.usage for datagram in datagrams if datagram.usage.upto]
    told = [entry for part in parts for entry in part.charged]
    case.assertEqual(told, list(charged[: len(told)]))
    after = 1
    for part in parts:
        case.assertLessEqual(part.after, after)
        after = max(after, part.upto)
        case.assertTrue(all(entry.mark <= part.upto for entry in part.charged))
    if len(told) == len(charged):
        case.assertEqual(after, usages + 1)


def test_lost_datagram_of_usage_costs_no_loads(case):
    """Guards against receivers that forget loads and versions when usage changes the
    number of datagrams, and against answers to the usage of full reports."""
    fleet = Fleet(2)
    peers = fleet.nodes["entry-0"].peers
    all_loads = {f"server-{index}": ServerLoad(1, 1000, 10) for index in range(20)}
    first = PeerStatus("entry-1", 9, 1, True, all_loads, versions={"table": 5})
    charged = tuple(
        WorkspaceUsage(f"workspace-{index:03}", 1, 10**5, index + 1)
        for index in range(1, 120)
    )
    second = replace_status(first, sequence=2, usage=Usage(0, 120, charged))
    for datagram in split_report(first):
        peers.receive(datagram)
    full, *spilled = split_report(second)
    case.assertGreater(len(spilled), 1)
    peers._report_requested.clear()
    for lost in (True, False):
        if not lost:
            peers.receive(full)
            peers._report_requested.clear()
            peers._waiting.clear()
        for datagram in spilled:
            peers.receive(datagram)
        merged = peers.received()["entry-1"].status
        case.assertEqual((len(merged.loads), merged.versions), (20, {"table": 5}))
    case.assertEqual(peers._waiting, set())
    case.assertFalse(peers._report_requested.is_set())


def test_confirmations_go_only_to_instances_that_wait(case):
    """Guards against bytes between availability zones for confirmations that nobody
    waits for."""
    fleet = Fleet(24)
    fleet.run(3)
    fleet.run(0.5, Demand(fleet, load=0.9, names=["entry-0", "entry-1"]))
    nodes, names = fleet.nodes, set(fleet.nodes)
    waiting = nodes["entry-0"].peers.chosen_names() | {"entry-0", "entry-1"}
    standby = min(names - waiting)
    for name, informed in (("entry-0", set(waiting)), (standby, set())):
        peers = nodes[name].peers
        report = peers.next_report()
        case.assertNotEqual(report.usage.heard, {})
        told = {
            recipient
            for recipients, datagrams in peers.split_by_recipients(names, report)
            for recipient in recipients
            if any(datagram.usage.heard for datagram in datagrams)
        }
        case.assertEqual(told, informed)


load_tests = collect(globals())
