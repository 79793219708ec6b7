"""Times placement decisions on pools of several sizes.

Each decision gets a new snapshot of the pools, as in a daemon. By default, the tool
times the policy ``cost`` on a small pool, where the policy considers every server, and
on a pool of the target size, where it considers a sample of them.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from amaranthbay.utils.runtime import select_event_loop  # noqa: E402

select_event_loop()

import argparse  # noqa: E402
import random  # noqa: E402
import time  # noqa: E402

from hdrh.histogram import HdrHistogram  # noqa: E402

from amaranthbay.dispatch.types import ModelCall  # noqa: E402
from amaranthbay.kernel.clock import SystemClock  # noqa: E402
from amaranthbay.kernel.registry import find  # noqa: E402
from amaranthbay.kernel.requests import BackendServer  # noqa: E402
from amaranthbay.placement.loads import LoadReport  # noqa: E402
from amaranthbay.placement.tracker import LoadTracker  # noqa: E402
from amaranthbay.placement.types import Demand  # noqa: E402

ZONE_COUNT = 12
PREFILL_SHARE = 0.4


class _StubService:
    """Model service of one prefill and one decode pool."""

    pools = ("prefill", "decode")


class _StubDirectory:
    """Directory with a fixed set of backend servers."""

    def __init__(self, server_count):
        self._servers = {"prefill": (), "decode": ()}
        prefill_count = int(server_count * PREFILL_SHARE)
        for role, count in (
            ("prefill", prefill_count),
            ("decode", server_count - prefill_count),
        ):
            self._servers[role] = tuple(
                BackendServer(f"{role}-{n}", role, role, "", f"zone-{n % ZONE_COUNT}")
                for n in range(count)
            )

    def servers(self, pools, role):
        """Returns the backend servers of a role, whatever the pools."""
        return self._servers[role]


def build_tracker(server_count, rng):
    """Returns a `LoadTracker` that has a random load report of each server."""
    directory = _StubDirectory(server_count)
    clock = SystemClock()
    tracker = LoadTracker(directory, "zone-0", clock, lambda server: 20)
    for role in ("prefill", "decode"):
        for server in directory.servers((), role):
            active = rng.randrange(20) if role == "decode" else 0
            queued = rng.randrange(8000) if role == "prefill" else 0
            report = LoadReport(active, 0, queued, 20)
            tracker._load_estimate(server.instance).receive(report, clock.monotonic())
    return tracker


def time_policy(name, server_count, decision_count):
    """Times the decisions of one policy.

    Args:
        name: Name of the placement policy.
        server_count: Number of backend servers, of both roles together.
        decision_count: Number of decisions to time.

    Returns:
        Histograms of the time of a decision and of the snapshot before it, both in
        nanoseconds.
    """
    rng = random.Random(1)
    tracker = build_tracker(server_count, rng)
    policy = find("placement_policy", name)()
    call = ModelCall("summary", "x" * 16000, 100, True)
    decision_ns = HdrHistogram(1, 10**10, 3)
    snapshot_ns = HdrHistogram(1, 10**10, 3)
    for _ in range(decision_count):
        seed = rng.randrange(1 << 32)
        demand = Demand(4000, 100, True, 30.0, seed=seed)
        started_ns = time.perf_counter_ns()
        snapshot = tracker.view(_StubService, call)
        built_ns = time.perf_counter_ns()
        policy.choose(demand, snapshot, 0.0)
        decided_ns = time.perf_counter_ns()
        snapshot_ns.record_value(built_ns - started_ns)
        decision_ns.record_value(decided_ns - built_ns)
    return decision_ns, snapshot_ns


def main():
    """Prints a line for each policy and size, with times in microseconds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, nargs="*", default=[5, 1300])
    parser.add_argument("--policies", nargs="*", default=["cost"])
    parser.add_argument("--decisions", type=int, default=3000)
    args = parser.parse_args()
    print(f"{'policy':16}{'workers':>8}{'p50 us':>9}{'p95 us':>9}{'view us':>9}")
    for name in args.policies:
        for server_count in args.workers:
            decision_ns, snapshot_ns = time_policy(name, server_count, args.decisions)
            p50_us, p95_us, snapshot_us = (
                decision_ns.get_value_at_percentile(50) / 1000,
                decision_ns.get_value_at_percentile(95) / 1000,
                snapshot_ns.get_value_at_percentile(50) / 1000,
            )
            print(
                f"{name:16}{server_count:8}{p50_us:9.1f}{p95_us:9.1f}{snapshot_us:9.1f}"
            )


if __name__ == "__main__":
    main()
