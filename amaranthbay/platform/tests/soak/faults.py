"""Faults of a soak run: the random schedule and the injection of each kind."""

import signal
import time
from abc import ABC, abstractmethod
from dataclasses import dataclass

import gevent

from amaranthbay.platform.tests.soak.deployment import SERVERS
from amaranthbay.platform.tests.soak.links import Mode

__all__ = ["FAULTS", "Step", "draw_limits", "draw_steps", "run_steps"]

# After most faults, requests may still be affected for this long: processes find broken
# connections, and try servers again that they had avoided.
SETTLE_S = 1.5
# In this time a process that was killed starts, reads the store and becomes ready.
START_S = 4.0
# Processes notice a silent store only when their open polls time out.
STORE_SETTLE_S = 4.0
LOST_ANSWERS, LATE_WRITE_S = 3, 1.0
# Longest time until the writers write again after a restore.
MAX_REWRITE_DELAY_S = 2.0
# A server keeps serving at least this long after it announces that it leaves.
LEAVE_S = 3.0
MAX_PAUSE_S = 4.0
# Limits that servers name, in requests per second, and the shortest time for which they
# do so; limits are checked from three seconds after the first answer that names one.
MIN_LIMIT_PER_S, MAX_LIMIT_PER_S = 1.0, 5.0
LIMIT_S = 6.0
MAX_LIMITED_SERVERS = 5
MIN_STEPS, MAX_STEPS = 6, 14
MIN_DURATION_S, MAX_DURATION_S = 0.3, 3.0


@dataclass(frozen=True)
class Step:
    """One fault of a schedule.

    Attributes:
        start_s: Seconds from the start of the traffic.
        kind: Key in `FAULTS`.
        target: One of the `Fault.targets` of the kind.
        duration_s: Duration in seconds.
        strength: Number from 0 to 1; each kind uses it in its own way.
    """

    start_s: float
    kind: str
    target: str
    duration_s: float
    strength: float


def _choose_by_strength(variants, strength):
    """Returns the variant that a strength from 0 to 1 selects."""
    return variants[min(len(variants) - 1, int(strength * len(variants)))]


class Fault(ABC):
    """A kind of fault.

    Attributes:
        settle_s: Seconds after the end of the fault in which it may still have effects.
    """

    settle_s = SETTLE_S

    def targets(self, deployment):
        """Returns the names of its possible targets; by default all processes."""
        return list(deployment.processes)

    @abstractmethod
    def inject(self, deployment, step):
        """Injects the fault and ends it.

        Args:
            deployment: `Deployment`.
            step: `Step` with target, duration and strength.
        """


class Pause(Fault):
    """A process is suspended with SIGSTOP, several times if the strength is high."""

    def inject(self, deployment, step):
        times = 1 + int(step.strength * 4)
        for _ in range(times):
            deployment.signal(step.target, signal.SIGSTOP)
            gevent.sleep(step.duration_s / times)
            deployment.signal(step.target, signal.SIGCONT)
            gevent.sleep(0.05)


class Kill(Fault):
    """A process is killed and starts again."""

    settle_s = START_S

    def inject(self, deployment, step):
        deployment.kill_and_restart(step.target)


class KillAll(Fault):
    """All processes are killed at once."""

    settle_s = START_S

    def targets(self, deployment):
        return ["all"]

    def inject(self, deployment, step):
        jobs = [
            gevent.spawn(deployment.kill_and_restart, name)
            for name in deployment.processes
        ]
        gevent.joinall(jobs)


class Stop(Fault):
    """A process is stopped with SIGTERM and starts again: planned work."""

    settle_s = START_S

    def inject(self, deployment, step):
        deployment.stop_and_restart(step.target)


class Reload(Fault):
    """The settings of a process change and it gets SIGHUP: planned work."""

    settle_s = 0.0

    def inject(self, deployment, step):
        path = deployment.processes[step.target].boot_path
        text = path.read_text().replace("LinkMbps = 1000.0", "LinkMbps = 900.0")
        path.write_text(text)
        deployment.signal(step.target, signal.SIGHUP)


class _LinkFault(Fault):
    """A link is set to a faulty mode for some time."""

    MODES = (
        Mode.DELAY,
        Mode.SILENT,
        Mode.CUT_REQUESTS,
        Mode.CUT_ANSWERS,
        Mode.REFUSE,
    )

    def links(self, deployment, target):
        """Returns the links that the fault of a target affects."""
        return [deployment.processes[target].caller_link]

    def inject(self, deployment, step):
        links = self.links(deployment, step.target)
        mode = _choose_by_strength(self.MODES, step.strength)
        for link in links:
            link.delay_s = step.strength
            link.mode = mode
        gevent.sleep(step.duration_s)
        for link in links:
            link.mode = Mode.PASS
            if step.strength < 0.5:
                # At a low strength the connections that were held end with a reset.
                link.reset()


class CallerLink(_LinkFault):
    """The link from callers to a process is faulty."""


class StoreLink(_LinkFault):
    """The link from a process to the store is faulty."""

    settle_s = STORE_SETTLE_S

    def links(self, deployment, target):
        return [deployment.processes[target].store_link]


class ServerLink(_LinkFault):
    """The link from all processes to a server is faulty."""

    def targets(self, deployment):
        return list(SERVERS)

    def links(self, deployment, target):
        return [deployment.links[target]]


class Reset(Fault):
    """All connections to a server are reset, or those of a process: from callers if the
    strength is low, else to the store."""

    def targets(self, deployment):
        return [*deployment.processes, *SERVERS]

    def inject(self, deployment, step):
        if step.target in SERVERS:
            deployment.links[step.target].reset()
            return
        process = deployment.processes[step.target]
        (process.caller_link if step.strength < 0.5 else process.store_link).reset()


class Store(Fault):
    """The store is down or silent, or it loses answers or its history.

    Its variants, by strength: ``down`` answers 503, ``silent`` answers nothing,
    ``forgetful`` has dropped its history of changes, ``lost`` loses the answers to some
    writes, and ``late`` also applies these writes late.
    """

    VARIANTS = ("down", "silent", "forgetful", "lost", "late")
    settle_s = STORE_SETTLE_S

    def targets(self, deployment):
        return ["store"]

    def inject(self, deployment, step):
        store = deployment.store
        variant = _choose_by_strength(self.VARIANTS, step.strength)
        if variant == "down":
            store.error_status = 503
        elif variant == "silent":
            store.silent = True
            # The change wakes the polls that wait, so that they get no answer either.
            store.put("other", "wakes", b"polls that wait")
        elif variant == "forgetful":
            store.compacted_version = store.version
            # The next poll of one process starts at a version that is gone.
            next(iter(deployment.processes.values())).store_link.reset()
        else:
            store.answers_to_lose = LOST_ANSWERS
            store.late_write_s = LATE_WRITE_S if variant == "late" else 0.0
        gevent.sleep(step.duration_s)
        store.error_status, store.silent, store.answers_to_lose = 0, False, 0


class Restore(Fault):
    """The store is restored from an older copy, after an outage if strength is low."""

    settle_s = STORE_SETTLE_S

    def targets(self, deployment):
        return ["store"]

    def inject(self, deployment, step):
        copy = deployment.store.copy()
        gevent.sleep(step.duration_s)
        if step.strength < 0.5:
            deployment.store.error_status = 503
            gevent.sleep(step.duration_s)
            deployment.store.error_status = 0
        deployment.restore_store(copy, MAX_REWRITE_DELAY_S * step.strength)


class Leave(Fault):
    """A server announces in its answers that it leaves.

    Its entry says so later if the strength is low, else never.
    """

    settle_s = 1.0

    def targets(self, deployment):
        return list(SERVERS)

    def inject(self, deployment, step):
        place = step.target
        server = deployment.servers[place]
        server.leaving = True
        gevent.sleep(LEAVE_S + step.duration_s)
        if step.strength < 0.5:
            deployment.drain_server(place)
            gevent.sleep(step.duration_s)
        deployment.remove_server(place)
        deployment.start_server(place, server.service, server.stage)


class AskPause(Fault):
    """A server refuses half of its requests and asks for a pause."""

    def targets(self, deployment):
        return list(SERVERS)

    def inject(self, deployment, step):
        server = deployment.servers[step.target]
        server.pause_s = MAX_PAUSE_S * step.strength
        server.faults = {"pause": 0.5}
        gevent.sleep(step.duration_s)
        server.faults = {}


class NameLimit(Fault):
    """A server names a limit for the requests of all processes together."""

    def targets(self, deployment):
        return list(SERVERS)

    def inject(self, deployment, step):
        server = deployment.servers[step.target]
        limit_range = MAX_LIMIT_PER_S - MIN_LIMIT_PER_S
        server.limit = round(MIN_LIMIT_PER_S + limit_range * step.strength, 1)
        gevent.sleep(LIMIT_S + step.duration_s)
        server.limit = None


class ServerFaults(Fault):
    """A server answers half of its requests wrongly."""

    VARIANTS = ("refuse", "error", "cut", "break", "extra", "hang")

    def targets(self, deployment):
        return list(SERVERS)

    def inject(self, deployment, step):
        server = deployment.servers[step.target]
        variant = _choose_by_strength(self.VARIANTS, step.strength)
        server.faults = {variant: 0.5}
        gevent.sleep(step.duration_s)
        server.faults = {}


class Replace(Fault):
    """A new server takes over an address, for another service if strength is low."""

    settle_s = 2.0

    def targets(self, deployment):
        return [place for place, (_, stage) in SERVERS.items() if stage is None]

    def inject(self, deployment, step):
        service = SERVERS[step.target][0]
        if step.strength < 0.5:
            service = "other" if service == "desk" else "desk"
        old_name = deployment.servers[step.target].name
        deployment.start_server(step.target, service, None)
        gevent.sleep(step.duration_s)
        deployment.remove_entry(old_name)


class Drain(Fault):
    """A server drains and leaves; a new one starts at its place."""

    settle_s = 1.0

    def targets(self, deployment):
        return list(SERVERS)

    def inject(self, deployment, step):
        place = step.target
        server = deployment.servers[place]
        deployment.drain_server(place)
        gevent.sleep(step.duration_s)
        if deployment.servers[place] is server:
            deployment.remove_server(place)
            gevent.sleep(0.5)
            deployment.start_server(place, server.service, server.stage)


class Configure(Fault):
    """The configuration changes, several times in a row if the strength is high."""

    settle_s = 0.0

    def targets(self, deployment):
        return ["configuration"]

    def inject(self, deployment, step):
        for _ in range(1 + int(step.strength * 4)):
            service = deployment.versions[-1].service
            deployment.configure("other" if service == "desk" else "desk")
            gevent.sleep(0.3)


# A seed draws from the sorted names, so a new name changes the schedules of all seeds;
# see `draw_limits` for a kind that does not.
FAULTS = {
    fault_class.__name__: fault_class()
    for fault_class in (
        Pause,
        Kill,
        KillAll,
        Stop,
        Reload,
        CallerLink,
        StoreLink,
        ServerLink,
        Reset,
        Store,
        Restore,
        Leave,
        AskPause,
        NameLimit,
        ServerFaults,
        Replace,
        Drain,
        Configure,
    )
}


def draw_steps(rng, deployment, traffic_s):
    """Draws the schedule of a run: a list of `Step` in the order of their start.

    Args:
        rng: `random.Random` that draws them.
        deployment: `Deployment` whose processes may be targets.
        traffic_s: Seconds of traffic.
    """
    steps = []
    for _ in range(rng.randint(MIN_STEPS, MAX_STEPS)):
        kind = rng.choice(sorted(FAULTS.keys() - {NameLimit.__name__}))
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


def run_steps(deployment, steps):
    """Runs a schedule; returns once the last fault has ended.

    Steps overlap. A step is skipped if a running one uses the same resource, since the
    end of the first fault would also end the second.
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
    if resources & resources_in_use:
        return
    resources_in_use |= resources
    started_at = time.monotonic()
    try:
        fault.inject(deployment, step)
    finally:
        resources_in_use -= resources
        for target in _affected_targets(deployment, step):
            deployment.record_fault(target, step.kind, started_at, fault.settle_s)


def _affected_targets(deployment, step):
    return list(deployment.processes) if step.target == "all" else [step.target]


def _exclusive_resources(deployment, step):
    """Returns the names of the resources that only one step may use at a time."""
    group = step.kind
    if step.kind in ("Pause", "Kill", "KillAll", "Stop"):
        group = "process"
    elif step.kind in ("Replace", "Drain", "Leave"):
        group = "place"
    elif step.kind in ("Store", "Restore"):
        group = "store"
    elif step.kind in ("ServerFaults", "AskPause"):
        group = "answers"
    return {f"{group} {target}" for target in _affected_targets(deployment, step)}
