"""Faults of a soak run: the random schedule and its execution."""

import random
import time

import gevent

from amaranthbay.platform.tests.soak import (
    process_faults,
    release_faults,
    server_faults,
    store_faults,
)
from amaranthbay.platform.tests.soak.deployment import MODEL_PLACES, SERVERS
from amaranthbay.platform.tests.soak.server_faults import LIMIT_S, NameLimit
from amaranthbay.platform.tests.soak.steps import Step

__all__ = [
    "FAULTS",
    "Step",
    "draw_limits",
    "draw_own_steps",
    "draw_steps",
    "run_steps",
]

MAX_LIMITED_SERVERS = 5
MIN_STEPS, MAX_STEPS = 6, 14
MIN_DURATION_S, MAX_DURATION_S = 0.3, 3.0
POLL_S = 0.05

# `draw_steps` draws from the sorted names of the kinds that have no generator of their
# own, so a new name among these would change the schedules of all seeds.
FAULTS = {
    fault_class.__name__: fault_class()
    for fault_class in (
        process_faults.Pause,
        process_faults.Kill,
        process_faults.KillAll,
        process_faults.Stop,
        process_faults.Reload,
        process_faults.CallerLink,
        process_faults.StoreLink,
        process_faults.ServerLink,
        process_faults.Reset,
        store_faults.Store,
        store_faults.Restore,
        server_faults.Leave,
        server_faults.AskPause,
        server_faults.NameLimit,
        server_faults.ServerFaults,
        server_faults.Replace,
        server_faults.Drain,
        store_faults.Configure,
        server_faults.CrashingPart,
        server_faults.Silence,
        server_faults.RepeatRefusal,
        server_faults.ContinuationError,
        server_faults.Unframed,
        store_faults.ChangeKeys,
        store_faults.OddEntries,
        release_faults.Release,
        server_faults.Endless,
        server_faults.CrashingRequest,
    )
}


def draw_steps(rng, deployment, traffic_s):
    """Draws the schedule of a run: a list of `Step` in the order of their start.

    Args:
        rng: `random.Random` that draws them.
        deployment: `Deployment` whose processes may be targets.
        traffic_s: Seconds of traffic.
    """
    own_kinds = {name for name, fault in FAULTS.items() if fault.max_steps}
    kinds = sorted(FAULTS.keys() - own_kinds - {NameLimit.__name__})
    steps = []
    for _ in range(rng.randint(MIN_STEPS, MAX_STEPS)):
        kind = rng.choice(kinds)
        target = rng.choice(sorted(FAULTS[kind].targets(deployment)))
        start_s = rng.uniform(0.5, traffic_s - MAX_DURATION_S)
        duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        steps.append(Step(start_s, kind, target, duration_s, rng.random()))
    return sorted(steps, key=lambda step: step.start_s)


def draw_limits(rng, traffic_s):
    """Draws the steps at which servers name limits, in the order of their start.

    They have a random generator of their own, so that the other steps of a seed stay as
    they were when it failed.

    Args:
        rng: `random.Random` that draws them.
        traffic_s: Seconds of traffic.
    """
    steps = []
    for target in rng.sample(sorted(SERVERS), rng.randint(0, MAX_LIMITED_SERVERS)):
        start_s = rng.uniform(0.5, traffic_s - LIMIT_S)
        duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        steps.append(Step(start_s, "NameLimit", target, duration_s, rng.random()))
    return sorted(steps, key=lambda step: step.start_s)


def draw_own_steps(seed, deployment, traffic_s, other_steps=()):
    """Draws the steps of the other kinds with own generators, as `draw_limits` does.

    Args:
        seed: Seed of the run.
        deployment: `Deployment` whose processes may be targets.
        traffic_s: Seconds of traffic.
        other_steps: Steps that are drawn already, beside which some of these come.
    """
    steps = []
    for kind, fault in FAULTS.items():
        rng = random.Random(f"{kind} {seed}")
        for _ in range(rng.randint(0, fault.max_steps)):
            target = rng.choice(sorted(fault.targets(deployment)))
            start_s = rng.uniform(0.5, traffic_s - MAX_DURATION_S)
            others = [step for step in other_steps if step.kind in fault.beside]
            if others and rng.random() < 0.5:
                start_s = max(0.0, rng.choice(others).start_s - rng.uniform(0.0, 0.5))
            duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
            steps.append(Step(start_s, kind, target, duration_s, rng.random()))
    return sorted(steps, key=lambda step: step.start_s)


def run_steps(deployment, steps):
    """Runs a schedule; returns once the last fault has ended.

    Steps overlap. A step is skipped, or waits, if a running one uses the same resource,
    since the end of the first fault would also end the second.
    """
    started_at = time.monotonic()
    resources_in_use = set()
    jobs = []
    for step in steps:
        gevent.sleep(max(0.0, started_at + step.start_s - time.monotonic()))
        jobs.append(gevent.spawn(_run_step, deployment, step, resources_in_use))
    gevent.joinall(jobs, raise_error=True)


def _run_step(deployment, step, resources_in_use):
    fault = FAULTS[step.kind]
    resources = _exclusive_resources(deployment, step)
    while resources & resources_in_use:
        if not fault.waits:
            return
        gevent.sleep(POLL_S)
    resources_in_use |= resources
    started_at = time.monotonic()
    try:
        fault.inject(deployment, step)
    finally:
        resources_in_use -= resources
        for target in _affected_targets(deployment, step):
            deployment.record_fault(target, step.kind, started_at, fault.settle_s)


def _affected_targets(deployment, step):
    groups = {"all": list(deployment.processes), "models": list(MODEL_PLACES)}
    return groups.get(step.target, [step.target])


def _exclusive_resources(deployment, step):
    """Returns the names of the resources that only one step may use at a time."""
    group = step.kind
    if step.kind in ("Pause", "Kill", "KillAll", "Stop"):
        group = "process"
    elif step.kind in ("Replace", "Drain", "Leave", "Release"):
        group = "place"
    elif step.kind in ("Store", "Restore"):
        group = "store"
    elif step.kind in ("ServerFaults", "AskPause"):
        group = "answers"
    return {f"{group} {target}" for target in _affected_targets(deployment, step)}
