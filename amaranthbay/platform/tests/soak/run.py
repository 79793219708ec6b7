"""Runs one seed: traffic under faults, a calm end, and the checks."""

import random
import signal
import time
from dataclasses import dataclass

import gevent
from gevent import socket

from amaranthbay.platform.tests.soak.callers import KINDS, Caller, look_up, send
from amaranthbay.platform.tests.soak.faults import draw_steps, play
from amaranthbay.platform.tests.soak.promises import broken_promises
from amaranthbay.platform.tests.soak.world import EXIT_BOUND_S, World
from amaranthbay.utils.testing import wait_until

__all__ = ["Outcome", "run_seed"]

CALLERS = 8
START_BOUND_S = 30.0
# A deployment serves everything again within this time (RecoveryS).
RECOVERY_S = 12.0
CALM_S = 1.5
ANY_ZONE = "zone-a"
PROBE_PAUSE_S = 0.1


@dataclass(frozen=True)
class Outcome:
    """What a run has shown.

    Attributes:
        seed: Its seed.
        steps: `Step` series that was played.
        requests: Number of requests.
        answered: Number of complete answers of success.
        broken: A sentence for each broken promise.
    """

    seed: int
    steps: tuple
    requests: int
    answered: int
    broken: tuple


def run_seed(seed, length_s, processes=3, folder=None):
    """Plays one seed and returns its `Outcome`.

    Args:
        seed: Seed of faults and traffic.
        length_s: Seconds of traffic under faults.
        processes: Number of entry processes.
        folder: Where logs are kept; a temporary folder if None.
    """
    rng = random.Random(seed)
    exchanges = []
    with World(seed, processes, folder) as world:
        wait_until(lambda: all(map(_serves_lookups, _of(world))), START_BOUND_S)
        steps = draw_steps(rng, world, length_s)
        callers = [
            Caller(world, random.Random(rng.random()), exchanges)
            for _ in range(CALLERS)
        ]
        jobs = [gevent.spawn(each.run) for each in callers]
        supervisor = gevent.spawn(world.supervise)
        play(world, steps)
        broken = list(_recovery(world, exchanges))
        gevent.sleep(CALM_S)
        for caller in callers:
            caller.stopping = True
        gevent.joinall(jobs, raise_error=True)
        supervisor.kill()
        world.note_memory()
        broken += _stop(world)
        broken += broken_promises(world, exchanges)
    answered = sum(each.status == 200 and each.complete for each in exchanges)
    return Outcome(seed, tuple(steps), len(exchanges), answered, tuple(broken))


def _of(world):
    return list(world.processes.values())


def _serves_lookups(process):
    return bool(look_up(process.lookup_address, ANY_ZONE))


def _recovery(world, exchanges):
    """Yields a sentence for each process that does not serve every kind in time."""
    end = time.monotonic() + RECOVERY_S
    for process in _of(world):
        for kind in sorted(KINDS):
            found = _probe(process, kind, exchanges)
            while not _is_served(found) and time.monotonic() < end:
                gevent.sleep(PROBE_PAUSE_S)
                found = _probe(process, kind, exchanges)
            if not _is_served(found):
                status = found.status if found else "no connection"
                yield f"{process.name} does not serve {kind} again: {status}"


def _is_served(exchange):
    return exchange is not None and exchange.status == 200 and exchange.complete


def _probe(process, kind, exchanges):
    """Returns an `Exchange` on a new connection, or None without a connection."""
    host, port = process.callers.address.split(":")
    _probe.number += 1
    try:
        with socket.create_connection((host, int(port)), 1.0) as sock:
            sock.settimeout(4.0)
            found = send(sock, process.name, kind, f"p{_probe.number:07d}")
    except OSError:
        # The process is not back yet.
        return None
    exchanges.append(found)
    return found


_probe.number = 0


def _stop(world):
    """Ends all processes as planned; returns a sentence for each that does not."""
    for name in world.processes:
        world.signal(name, signal.SIGTERM)
    broken = []
    for name in world.processes:
        code = world.wait_exit(name, EXIT_BOUND_S)
        if code != 0:
            broken.append(f"{name} ended with {code} after SIGTERM")
    return broken
