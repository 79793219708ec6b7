"""Series of faults that a seed draws, and how each is brought about."""

import signal
import time
from abc import ABC, abstractmethod
from dataclasses import dataclass

import gevent

from amaranthbay.platform.tests.soak.links import Mode
from amaranthbay.platform.tests.soak.world import SERVERS

__all__ = ["FAULTS", "Step", "draw_steps", "play"]

# Effects of a fault that may be seen after its end: connections that were cut are
# found, servers that were avoided are tried again.
SETTLE_S = 1.5
# A process that was killed starts, asks the store and is ready again.
START_S = 4.0
# A silent store is noticed after its open polls have timed out.
STORE_SETTLE_S = 4.0
LOST_ANSWERS, LATE_S = 3, 1.0
# Longest time until what a restore has undone is written again.
REWRITE_S = 2.0
# Time for which a server serves on after it has begun to say that it leaves.
LEAVE_S = 3.0
LONGEST_PAUSE_S = 4.0
FEWEST, MOST = 6, 14
SHORTEST_S, LONGEST_S = 0.3, 3.0


@dataclass(frozen=True)
class Step:
    """One fault of a series.

    Attributes:
        at_s: Seconds from the start of the traffic.
        kind: Name of a class in `FAULTS`.
        target: What it strikes.
        for_s: How long it lasts.
        strength: Number from 0 to 1 that the kind makes use of.
    """

    at_s: float
    kind: str
    target: str
    for_s: float
    strength: float


def _pick(forms, strength):
    """Returns one of some forms by a number from 0 to 1."""
    return forms[min(len(forms) - 1, int(strength * len(forms)))]


class Fault(ABC):
    """A kind of fault."""

    settle_s = SETTLE_S

    def targets(self, world):
        """Returns what it may strike."""
        return list(world.processes)

    @abstractmethod
    def strike(self, world, step):
        """Brings the fault about, and ends it."""


class Pause(Fault):
    """A process is stopped for some time, at a high strength several times."""

    def strike(self, world, step):
        times = 1 + int(step.strength * 4)
        for _ in range(times):
            world.signal(step.target, signal.SIGSTOP)
            gevent.sleep(step.for_s / times)
            world.signal(step.target, signal.SIGCONT)
            gevent.sleep(0.05)


class Kill(Fault):
    """A process is killed and starts again."""

    settle_s = START_S

    def strike(self, world, step):
        world.kill_and_restart(step.target)


class KillAll(Fault):
    """All processes are killed at once."""

    settle_s = START_S

    def targets(self, world):
        return ["all"]

    def strike(self, world, step):
        jobs = [gevent.spawn(world.kill_and_restart, each) for each in world.processes]
        gevent.joinall(jobs)


class Stop(Fault):
    """A process is stopped as planned and starts again; a planned disturbance."""

    settle_s = START_S

    def strike(self, world, step):
        world.stop_and_restart(step.target)


class Reload(Fault):
    """The settings of a process change, with SIGHUP; a planned disturbance."""

    settle_s = 0.0

    def strike(self, world, step):
        path = world.processes[step.target].boot_path
        text = path.read_text().replace("LinkMbps = 1000.0", "LinkMbps = 900.0")
        path.write_text(text)
        world.signal(step.target, signal.SIGHUP)


class _LinkFault(Fault):
    """A link is disturbed for some time."""

    MODES = (
        Mode.DELAY,
        Mode.SILENT,
        Mode.CUT_REQUESTS,
        Mode.CUT_ANSWERS,
        Mode.REFUSE,
    )

    def links(self, world, target):
        """Returns the links of a target."""
        return [world.processes[target].callers]

    def strike(self, world, step):
        links = self.links(world, step.target)
        mode = _pick(self.MODES, step.strength)
        for link in links:
            link.delay_s = step.strength
            link.mode = mode
        gevent.sleep(step.for_s)
        for link in links:
            link.mode = Mode.PASS
            if step.strength < 0.5:
                # Connections that were silent end in a reset.
                link.reset()


class CallerLink(_LinkFault):
    """The path of callers to a process."""


class StoreLink(_LinkFault):
    """The path of a process to the store."""

    settle_s = STORE_SETTLE_S

    def links(self, world, target):
        return [world.processes[target].store]


class ServerLink(_LinkFault):
    """The path of all processes to a server."""

    def targets(self, world):
        return list(SERVERS)

    def links(self, world, target):
        return [world.links[target]]


class Reset(Fault):
    """All connections of a link are reset."""

    def targets(self, world):
        return [*world.processes, *SERVERS]

    def strike(self, world, step):
        if step.target in SERVERS:
            world.links[step.target].reset()
            return
        process = world.processes[step.target]
        (process.callers if step.strength < 0.5 else process.store).reset()


class Store(Fault):
    """The store is down, silent, loses answers or its history."""

    FORMS = ("down", "silent", "forgetful", "lost", "late")
    settle_s = STORE_SETTLE_S

    def targets(self, world):
        return ["store"]

    def strike(self, world, step):
        store = world.store
        form = _pick(self.FORMS, step.strength)
        if form == "down":
            store.down = 503
        elif form == "silent":
            store.silent = True
            store.put("other", "wakes", b"polls that wait")
        elif form == "forgetful":
            store.compacted_version = store.version
            # Its next poll starts from a version that is gone.
            next(iter(world.processes.values())).store.reset()
        else:
            store.answers_to_lose = LOST_ANSWERS
            store.late_write_s = LATE_S if form == "late" else 0.0
        gevent.sleep(step.for_s)
        store.down, store.silent, store.answers_to_lose = 0, False, 0


class Restore(Fault):
    """The store comes back from an older copy, at a low strength after an outage."""

    settle_s = STORE_SETTLE_S

    def targets(self, world):
        return ["store"]

    def strike(self, world, step):
        copy = world.store.copy()
        gevent.sleep(step.for_s)
        if step.strength < 0.5:
            world.store.down = 503
            gevent.sleep(step.for_s)
            world.store.down = 0
        world.restore_store(copy, REWRITE_S * step.strength)


class Leave(Fault):
    """A server's answers say that it leaves; its entry says so later, or never."""

    settle_s = 1.0

    def targets(self, world):
        return list(SERVERS)

    def strike(self, world, step):
        place = step.target
        server = world.servers[place]
        server.leaving = True
        gevent.sleep(LEAVE_S + step.for_s)
        if step.strength < 0.5:
            world.drain_server(place)
            gevent.sleep(step.for_s)
        world.remove_server(place)
        world.start_server(place, server.service, server.stage)


class AskPause(Fault):
    """A server refuses requests and asks to be left alone for some time."""

    def targets(self, world):
        return list(SERVERS)

    def strike(self, world, step):
        server = world.servers[step.target]
        server.pause_s = LONGEST_PAUSE_S * step.strength
        server.faults = {"pause": 0.5}
        gevent.sleep(step.for_s)
        server.faults = {}


class ServerFaults(Fault):
    """A server answers part of its requests wrongly."""

    FORMS = ("refuse", "error", "cut", "break", "extra", "hang")

    def targets(self, world):
        return list(SERVERS)

    def strike(self, world, step):
        server = world.servers[step.target]
        form = _pick(self.FORMS, step.strength)
        server.faults = {form: 0.5}
        gevent.sleep(step.for_s)
        server.faults = {}


class Replace(Fault):
    """A server's address passes to a new one, at times of another service."""

    settle_s = 2.0

    def targets(self, world):
        return [place for place, (_, stage) in SERVERS.items() if stage is None]

    def strike(self, world, step):
        service = SERVERS[step.target][0]
        if step.strength < 0.5:
            service = "other" if service == "desk" else "desk"
        old = world.servers[step.target].name
        world.start_server(step.target, service, None)
        gevent.sleep(step.for_s)
        world.drop_entry(old)


class Drain(Fault):
    """A server drains, leaves and comes back under another name."""

    settle_s = 1.0

    def targets(self, world):
        return list(SERVERS)

    def strike(self, world, step):
        place = step.target
        server = world.servers[place]
        world.drain_server(place)
        gevent.sleep(step.for_s)
        if world.servers[place] is server:
            world.remove_server(place)
            gevent.sleep(0.5)
            world.start_server(place, server.service, server.stage)


class Configure(Fault):
    """The configuration changes, at a high strength in quick succession."""

    settle_s = 0.0

    def targets(self, world):
        return ["configuration"]

    def strike(self, world, step):
        for _ in range(1 + int(step.strength * 4)):
            before = world.versions[-1].service
            world.configure("other" if before == "desk" else "desk")
            gevent.sleep(0.3)


FAULTS = {
    each.__name__: each()
    for each in (
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
        ServerFaults,
        Replace,
        Drain,
        Configure,
    )
}


def draw_steps(rng, world, length_s):
    """Returns the `Step` series of a run, by time.

    Args:
        rng: `random.Random`.
        world: `World`.
        length_s: Seconds of traffic.
    """
    steps = []
    for _ in range(rng.randint(FEWEST, MOST)):
        kind = rng.choice(sorted(FAULTS))
        target = rng.choice(sorted(FAULTS[kind].targets(world)))
        at_s = rng.uniform(0.5, length_s - LONGEST_S)
        for_s = rng.uniform(SHORTEST_S, LONGEST_S)
        steps.append(Step(at_s, kind, target, for_s, rng.random()))
    return sorted(steps, key=lambda each: each.at_s)


def play(world, steps):
    """Plays a series; returns once the last fault has ended.

    Steps overlap. A step that would strike what another one of its kind still strikes
    is left out, since the end of the first would end the second.
    """
    started_at = time.monotonic()
    running = set()
    jobs = []
    for step in steps:
        gevent.sleep(max(0.0, started_at + step.at_s - time.monotonic()))
        jobs.append(gevent.spawn(_strike, world, step, running))
    gevent.joinall(jobs, raise_error=True)


def _strike(world, step, running):
    fault = FAULTS[step.kind]
    taken = _taken(world, step)
    if taken & running:
        return
    running |= taken
    started_at = time.monotonic()
    try:
        fault.strike(world, step)
    finally:
        running -= taken
        for target in _struck(world, step):
            world.note(target, step.kind, started_at, fault.settle_s)


def _struck(world, step):
    return list(world.processes) if step.target == "all" else [step.target]


def _taken(world, step):
    """Returns names of what only one step may strike at a time."""
    group = step.kind
    if step.kind in ("Pause", "Kill", "KillAll", "Stop"):
        group = "process"
    elif step.kind in ("Replace", "Drain", "Leave"):
        group = "place"
    elif step.kind in ("Store", "Restore"):
        group = "store"
    elif step.kind in ("ServerFaults", "AskPause"):
        group = "answers"
    return {f"{group} {target}" for target in _struck(world, step)}
