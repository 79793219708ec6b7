"""Runs one seed: traffic under faults, recovery, stop of the processes, checks."""

import random
import signal
import time
from dataclasses import dataclass

import gevent
from gevent import socket

from amaranthbay.platform.tests.soak.callers import (
    KINDS,
    Caller,
    LimitedCaller,
    PartCaller,
    look_up,
    send,
)
from amaranthbay.platform.tests.soak.checks import find_violations
from amaranthbay.platform.tests.soak.deployment import Deployment
from amaranthbay.platform.tests.soak.faults import (
    draw_limits,
    draw_own_steps,
    draw_steps,
    run_steps,
)
from amaranthbay.platform.tests.soak.keys import LIMITED_KEY
from amaranthbay.platform.tests.soak.monitor import ProcessMonitor
from amaranthbay.platform.tests.soak.processes import EXIT_TIMEOUT_S
from amaranthbay.platform.tests.soak.resuming import ResumingCaller
from amaranthbay.platform.tests.soak.shares import (
    answering_share,
    lowest_answering_share,
    served_share,
)
from amaranthbay.utils.testing import wait_until

__all__ = ["Outcome", "run_seed"]

CALLER_COUNT = 8
# Further callers of a run in which a part of prompts crashes servers.
PART_CALLER_COUNT = 3
# The same of a run with releases of model servers.
RESUMING_CALLER_COUNT = 6
# The same of a run with a quota.
LIMITED_CALLER_COUNT = 4
START_TIMEOUT_S = 30.0
# Within this time after the last fault every process serves every kind of request
# (RecoveryS of the platform).
RECOVERY_S = 12.0
# Time without faults in which the callers go on after the check of the recovery.
QUIET_S = 1.5
# The same in a run in which a part of prompts crashes servers or model servers are
# released, as checks compare with this time or count streams in it.
LONG_QUIET_S = 4.0
ANY_ZONE = "zone-a"
PROBE_INTERVAL_S = 0.1


@dataclass(frozen=True)
class Outcome:
    """Result of a run.

    Attributes:
        seed: Seed of the run.
        steps: Each `Step` of the schedule, by time; some may have been skipped.
        requests: Number of requests.
        answered: Number of requests with a complete answer of status 200.
        served_share: Share of the requests to serving processes that were answered.
        answering_share: Share of the time in which requests were answered.
        lowest_answering_share: Share of the time in which a process answered requests,
            for the process of which it is the lowest.
        violations: A sentence for each violation that a check found.
        played: Number of times that the faults with own generators were played, by
            what was counted.
    """

    seed: int
    steps: tuple
    requests: int
    answered: int
    served_share: float
    answering_share: float
    lowest_answering_share: float
    violations: tuple
    played: dict


def run_seed(seed, traffic_s, processes=3, folder=None):
    """Runs one seed and returns its `Outcome`.

    Args:
        seed: Seed of the faults and the traffic.
        traffic_s: Seconds of traffic under faults.
        processes: Number of entry processes.
        folder: Folder for boot files and logs; a temporary one if None.
    """
    rng = random.Random(seed)
    exchanges = []
    with Deployment(seed, processes, folder) as deployment:
        wait_until(
            lambda: all(map(_serves_lookups, _entry_processes(deployment))),
            START_TIMEOUT_S,
        )
        steps = draw_steps(rng, deployment, traffic_s)
        steps += draw_limits(random.Random(f"limits {seed}"), traffic_s)
        steps += draw_own_steps(seed, deployment, traffic_s, steps)
        steps.sort(key=lambda step: step.start_s)
        callers = [
            Caller(deployment, random.Random(rng.random()), exchanges)
            for _ in range(CALLER_COUNT)
        ]
        has_crashing_part = any(step.kind == "CrashingPart" for step in steps)
        if has_crashing_part:
            callers += [
                PartCaller(deployment, random.Random(f"{seed} {number}"), exchanges)
                for number in range(PART_CALLER_COUNT)
            ]
        if deployment.keys.in_use:
            callers += [
                LimitedCaller(
                    deployment, random.Random(f"limited {seed} {n}"), exchanges
                )
                for n in range(LIMITED_CALLER_COUNT)
            ]
        has_releases = any(step.kind == "Release" for step in steps)
        if has_releases:
            callers += [
                ResumingCaller(
                    deployment, random.Random(f"take up {seed} {n}"), exchanges
                )
                for n in range(RESUMING_CALLER_COUNT)
            ]
        jobs = [gevent.spawn(caller.run) for caller in callers]
        supervisor = gevent.spawn(deployment.supervise)
        monitor = gevent.spawn(ProcessMonitor(deployment).run)
        run_steps(deployment, steps)
        violations = list(_check_recovery(deployment, exchanges))
        gevent.sleep(LONG_QUIET_S if has_crashing_part or has_releases else QUIET_S)
        for caller in callers:
            caller.stopping = True
        gevent.joinall(jobs, raise_error=True)
        supervisor.kill()
        monitor.kill()
        violations += _stop_processes(deployment)
        violations += find_violations(deployment, exchanges)
        served = served_share(exchanges, deployment.processes)
    answered = sum(
        exchange.status == 200 and exchange.complete and not exchange.crashing
        for exchange in exchanges
    )
    played = deployment.played
    played["crashing requests"] = sum(exchange.crashing for exchange in exchanges)
    played["refusals over a quota"] = sum(
        exchange.status == 429 and exchange.key == LIMITED_KEY for exchange in exchanges
    )
    played["take-ups"] = sum(bool(exchange.resumes) for exchange in exchanges)
    return Outcome(
        seed,
        tuple(steps),
        len(exchanges),
        answered,
        served,
        answering_share(exchanges),
        lowest_answering_share(exchanges, deployment.processes),
        tuple(violations),
        dict(played),
    )


def _entry_processes(deployment):
    return list(deployment.processes.values())


def _serves_lookups(process):
    return bool(look_up(process.lookup_address, ANY_ZONE))


def _check_recovery(deployment, exchanges):
    """Yields a violation for each kind of request that a process does not serve."""
    ends_at = time.monotonic() + RECOVERY_S
    for process in _entry_processes(deployment):
        for kind in sorted(KINDS):
            exchange = _probe(deployment, process, kind, exchanges)
            while not _is_served(exchange) and time.monotonic() < ends_at:
                gevent.sleep(PROBE_INTERVAL_S)
                exchange = _probe(deployment, process, kind, exchanges)
            if not _is_served(exchange):
                status = exchange.status if exchange else "no connection"
                yield f"{process.name} does not serve {kind} after the faults: {status}"


def _is_served(exchange):
    return exchange is not None and exchange.status == 200 and exchange.complete


def _probe(deployment, process, kind, exchanges):
    """Sends a request on a new connection; returns the `Exchange`, or None."""
    host, port = process.caller_link.address.split(":")
    _probe.number += 1
    try:
        with socket.create_connection((host, int(port)), 1.0) as sock:
            sock.settimeout(4.0)
            attempt = f"p{_probe.number:07d}"
            key = deployment.keys.lasting(attempt)
            exchange = send(sock, process.name, kind, attempt, key=key)
    except OSError:
        # The process has not started again yet.
        return None
    exchanges.append(exchange)
    return exchange


_probe.number = 0


def _stop_processes(deployment):
    """Stops all processes with SIGTERM; returns a violation for each that fails."""
    for process in deployment.processes.values():
        process.signal(signal.SIGTERM)
    violations = []
    for process in deployment.processes.values():
        code = process.wait_exit(EXIT_TIMEOUT_S)
        if code != 0:
            violations.append(f"{process.name} exited with {code} after SIGTERM")
    return violations
