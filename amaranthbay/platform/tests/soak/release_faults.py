"""Releases of other software versions of the model servers."""

import random
import time

import gevent

from amaranthbay.platform.tests.soak.deployment import (
    DRAIN_S,
    MODEL_PLACES,
    SPARE_PLACES,
    VERSIONS,
)
from amaranthbay.platform.tests.soak.process_faults import KillAll
from amaranthbay.platform.tests.soak.steps import Fault

__all__ = ["Release"]

# Shortest time for which two versions serve, and longest time between two departures.
MIN_BESIDE_S, MAX_INTERVAL_S = 1.0, 0.8
# Longest time for which a server serves after `DRAIN_S`.
MAX_EXTRA_S = 1.0
# Moments at which all processes may be killed at once.
SIDE_BY_SIDE, DRAINING, LEFT = "side by side", "draining", "left"


class Release(Fault):
    """Model servers are replaced by ones of another version, which may be an earlier
    one; all processes may be killed at once in the meantime.

    Servers of the version start at spare places, so that two versions serve for a
    while. Then the other servers are replaced, one after another or all at once, and
    the ones at the spare places leave.
    """

    max_steps = 2
    waits = True

    def targets(self, deployment):
        return ["models"]

    def inject(self, deployment, step):
        rng = random.Random(step.strength)
        version = rng.choice([v for v in VERSIONS if v != deployment.software])
        kill_moment = rng.choice((None, SIDE_BY_SIDE, DRAINING, LEFT))
        interval_s = rng.choice((0.0, rng.uniform(0.2, MAX_INTERVAL_S)))
        deployment.software = version
        deployment.played["releases"] += 1
        for place in SPARE_PLACES:
            if place in deployment.servers:
                # A crash may have started a server after the last one had left.
                deployment.remove_server(place)
            deployment.release_server(place, version)
        gevent.sleep(MIN_BESIDE_S + step.duration_s)
        if kill_moment == SIDE_BY_SIDE:
            _kill_all(deployment)
        jobs = [
            gevent.spawn_later(
                number * interval_s, _replace, deployment, place, version, rng
            )
            for number, place in enumerate(MODEL_PLACES)
        ]
        if kill_moment == DRAINING:
            gevent.sleep(rng.uniform(0.0, DRAIN_S))
            _kill_all(deployment)
        gevent.joinall(jobs, raise_error=True)
        if kill_moment == LEFT:
            _kill_all(deployment)
        for place in SPARE_PLACES:
            deployment.remove_server(place)


def _replace(deployment, place, version, rng):
    """Lets the server at a place leave, and starts one of a version there."""
    server = deployment.servers[place]
    if rng.random() < 0.5:
        deployment.drain_server(place)
    else:
        deployment.remove_server(place)
    gevent.sleep(DRAIN_S + rng.uniform(0.0, MAX_EXTRA_S))
    # A crash may have started a server there in the meantime.
    if deployment.servers[place] is server:
        deployment.remove_server(place)
        deployment.release_server(place, version)


def _kill_all(deployment):
    deployment.played["kills during a release"] += 1
    started_at = time.monotonic()
    fault = KillAll()
    fault.inject(deployment, None)
    for name in deployment.processes:
        deployment.record_fault(name, KillAll.__name__, started_at, fault.settle_s)
