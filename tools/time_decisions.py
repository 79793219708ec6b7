"""Times placement decisions on a pool of the target size.

Compares the cost policy with the full scan of its sample, each decision with a
snapshot of its own, as a daemon makes them.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from amaranthbay.utils.runtime import pin_event_loop  # noqa: E402

pin_event_loop()

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

ZONES = 12
PREFILL_SHARE = 0.4


class _Service:
    pools = ("prefill", "decode")


class _Directory:
    """Directory of a fixed set of servers."""

    def __init__(self, workers):
        self._servers = {"prefill": (), "decode": ()}
        split = int(workers * PREFILL_SHARE)
        for role, count in (("prefill", split), ("decode", workers - split)):
            self._servers[role] = tuple(
                BackendServer(f"{role}-{n}", role, role, "", f"zone-{n % ZONES}")
                for n in range(count)
            )

    def servers(self, pools, role):
        """Returns the servers of a role."""
        return self._servers[role]


def build_tracker(workers, rng):
    """Returns a tracker with a load report of each server."""
    directory = _Directory(workers)
    clock = SystemClock()
    tracker = LoadTracker(directory, "zone-0", clock, lambda server: 20)
    for role in ("prefill", "decode"):
        for server in directory.servers((), role):
            active = rng.randrange(20) if role == "decode" else 0
            queued = rng.randrange(8000) if role == "prefill" else 0
            report = LoadReport(active, 0, queued, 20)
            tracker._load(server.instance).receive(report, clock.monotonic())
    return tracker


def time_policy(name, workers, decisions):
    """Returns histograms of the decision and of the snapshot, in nanoseconds."""
    rng = random.Random(1)
    tracker = build_tracker(workers, rng)
    policy = find("placement_policy", name)()
    call = ModelCall("summary", "x" * 16000, 100, True)
    chosen_ns = HdrHistogram(1, 10**10, 3)
    view_ns = HdrHistogram(1, 10**10, 3)
    for _ in range(decisions):
        seed = rng.randrange(1 << 32)
        demand = Demand(4000, 100, True, 30.0, seed=seed)
        start = time.perf_counter_ns()
        view = tracker.view(_Service, call)
        middle = time.perf_counter_ns()
        policy.choose(demand, view, 0.0)
        end = time.perf_counter_ns()
        view_ns.record_value(middle - start)
        chosen_ns.record_value(end - middle)
    return chosen_ns, view_ns


def main():
    """Prints one line for each policy and size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, nargs="*", default=[5, 1300])
    parser.add_argument("--policies", nargs="*", default=["cost"])
    parser.add_argument("--decisions", type=int, default=3000)
    args = parser.parse_args()
    print(f"{'policy':16}{'workers':>8}{'p50 us':>9}{'p95 us':>9}{'view us':>9}")
    for name in args.policies:
        for workers in args.workers:
            chosen_ns, view_ns = time_policy(name, workers, args.decisions)
            p50, p95, view = (
                chosen_ns.get_value_at_percentile(50) / 1000,
                chosen_ns.get_value_at_percentile(95) / 1000,
                view_ns.get_value_at_percentile(50) / 1000,
            )
            print(f"{name:16}{workers:8}{p50:9.1f}{p95:9.1f}{view:9.1f}")


if __name__ == "__main__":
    main()
