"""Runs one load on one deployment of real processes, with a fault or without."""

import subprocess
import sys
import time
from dataclasses import dataclass
from signal import SIGCONT, SIGSTOP

import gevent
import msgspec

from amaranthbay.config.types import CallerKind, Configuration, Pool, Service
from amaranthbay.loadtool.arrivals import capacity, generate
from amaranthbay.loadtool.generator import Job, Outcome
from amaranthbay.loadtool.profiles import Profile
from amaranthbay.standins.engine_state import EngineOptions
from amaranthbay.standins.processes import Deployment, call_json

__all__ = ["FAULTS", "Scenario", "Trace", "run_scenario"]

FAULTS = ("none", "worker", "zone", "platform", "stale")
FIRST_TOKEN_S = 1.3
BETWEEN_TOKENS_S = 0.051
STALE_LAG_S = 4.0
# Daemons take over their first load reports before the load starts.
SETTLE_S = 2.0
GENERATORS = 3
SERVICE = "summary"


@dataclass(frozen=True)
class Scenario:
    """One run of the load tool.

    Engine times, the life of a KV cache and the targets are all multiplied by
    ``scale``, so that their ratios stay those of the full size.

    Attributes:
        profile: Deployment and mix.
        policy: Placement policy of the daemons.
        allocator: Slot allocator of the daemons.
        fault: One of `FAULTS`.
        seed: Seed of the arrivals.
        load: Arrival rate over the capacity.
        duration_s: Length of the load.
        drain_s: How long answers may still arrive afterwards.
        scale: Factor on engine times and targets.
        patient_factor: Factor on the patient arrivals.
    """

    profile: Profile
    policy: str
    allocator: str = "independent"
    fault: str = "none"
    seed: int = 1
    load: float = 1.2
    duration_s: float = 22.0
    drain_s: float = 12.0
    scale: float = 1.0
    patient_factor: float = 1.0

    @property
    def first_token_s(self):
        """Target for the first token."""
        return FIRST_TOKEN_S * self.scale

    @property
    def between_tokens_s(self):
        """Target for the mean time between tokens."""
        return BETWEEN_TOKENS_S * self.scale


@dataclass(frozen=True)
class Trace:
    """What was recorded in one run.

    Attributes:
        outcomes: One `Outcome` for each request.
        prefill_tokens: Tokens that the prefill engines computed.
        wasted_tokens: Computed tokens whose KV cache nobody took.
        decision_us: Time of each placement decision in microseconds.
        requests_s: Arrival rate.
    """

    outcomes: tuple[Outcome, ...]
    prefill_tokens: int
    wasted_tokens: int
    decision_us: tuple[float, ...]
    requests_s: float


def _configuration(scenario):
    profile = scenario.profile
    return Configuration(
        version=0,
        deployment=profile.name,
        services=(
            Service(SERVICE, "model", ("prefill", "decode"), ("desk", "counter")),
        ),
        callers=(
            CallerKind(
                "counter", True, scenario.first_token_s, scenario.between_tokens_s
            ),
            CallerKind("desk", False),
        ),
        pools=(
            Pool("prefill", "prefill", profile.slots),
            Pool("decode", "decode", profile.slots),
        ),
        goodput_weight=profile.goodput_weight,
    )


def _start(deployment, scenario):
    profile = scenario.profile
    options = ["--scale", str(scenario.scale), "--slots", str(profile.slots)]
    options += ["--kv-life-s", str(EngineOptions.kv_life_s * scenario.scale)]
    options += ["--import-needs-slot"]
    if scenario.fault == "stale":
        options += ["--load-lag-s", str(STALE_LAG_S)]
    for role in ("prefill", "decode"):
        for number in range(getattr(profile, role)):
            zone = profile.zones[number % len(profile.zones)]
            deployment.start_engine(f"{role}-{number + 1}", role, zone, *options)
    extra = f'placement_policy = "{scenario.policy}"\n'
    extra += f'slot_allocator = "{scenario.allocator}"\n'
    for number in range(profile.daemons):
        zone = profile.zones[number % len(profile.zones)]
        deployment.start_daemon(f"entry-{number + 1}", zone, extra)
    deployment.publish()
    deployment.accept(_configuration(scenario))
    deployment.wait_ready()


class _Fault:
    """Switches a fault on during the middle third of the load."""

    def __init__(self, deployment, scenario):
        self._deployment = deployment
        self._scenario = scenario
        self.lost_counts = []

    def run(self):
        """Waits for a third, causes the fault, waits and ends it."""
        third = self._scenario.duration_s / 3
        gevent.sleep(third)
        getattr(self, f"_begin_{self._scenario.fault}")()
        gevent.sleep(third)
        getattr(self, f"_end_{self._scenario.fault}")()

    def _nothing(self):
        """Has nothing to switch."""

    _begin_none = _end_none = _begin_stale = _end_stale = _end_worker = _nothing

    def _begin_worker(self):
        victim = self._deployment.backends["prefill-1"]
        self.lost_counts.append(_counts(victim))
        victim.kill()
        self._deployment.publish()

    def _zone_processes(self):
        zone = self._scenario.profile.zones[0]
        processes = self._deployment.processes()
        return [
            each
            for each in processes
            if each.entry.availability_zone == zone
            and each is not self._deployment.platform
        ]

    def _begin_zone(self):
        for process in self._zone_processes():
            process.signal(SIGSTOP)

    def _end_zone(self):
        for process in self._zone_processes():
            process.signal(SIGCONT)

    def _set_outage(self, outage):
        address = self._deployment.platform.address
        call_json(address, "POST", "/control/faults", {"outage": outage})

    def _begin_platform(self):
        self._set_outage(True)

    def _end_platform(self):
        self._set_outage(False)


def _counts(process):
    return call_json(process.address, "GET", "/control/held")["counts"]


def _start_generators(deployment, scenario, arrivals):
    start = time.time() + SETTLE_S
    started = []
    for share in range(GENERATORS):
        job = Job(
            start_unix_s=start,
            duration_s=scenario.duration_s,
            drain_s=scenario.drain_s,
            service=SERVICE,
            seeds=tuple(each.address for each in deployment.daemons.values()),
            seed=scenario.seed,
            arrivals=tuple(arrivals[share::GENERATORS]),
        )
        command = [sys.executable, "-m", "amaranthbay.loadtool.generator"]
        process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        process.stdin.write(msgspec.json.encode(job))
        process.stdin.close()
        started.append(process)
    return started


def _read_outcomes(process):
    raw = process.stdout.read()
    process.wait()
    return [msgspec.json.decode(line, type=Outcome) for line in raw.splitlines()]


def _decision_times(deployment):
    times = []
    for daemon in deployment.daemons.values():
        for line in daemon.log_lines():
            if line.get("decision") == "placement" and "decision_us" in line:
                times.append(line["decision_us"])
    return tuple(times)


def run_scenario(scenario):
    """Runs a scenario and returns its `Trace`."""
    defaults = EngineOptions()
    limit = capacity(
        scenario.profile,
        defaults.prefill_token_s * scenario.scale,
        defaults.decode_step_s * scenario.scale,
    )
    rate = limit.requests_s * scenario.load
    arrivals = generate(
        scenario.profile,
        scenario.seed,
        scenario.duration_s,
        rate,
        scenario.patient_factor,
    )
    with Deployment() as deployment:
        _start(deployment, scenario)
        generators = _start_generators(deployment, scenario, arrivals)
        fault = _Fault(deployment, scenario)
        gevent.sleep(SETTLE_S)
        job = gevent.spawn(fault.run)
        outcomes = []
        for process in generators:
            outcomes.extend(_read_outcomes(process))
        job.get()
        counts = [*fault.lost_counts]
        for name, process in deployment.backends.items():
            if name.startswith("prefill") and process.popen.poll() is None:
                counts.append(_counts(process))
        return Trace(
            outcomes=tuple(outcomes),
            prefill_tokens=sum(each["prefill_tokens"] for each in counts),
            wasted_tokens=sum(each["wasted_tokens"] for each in counts),
            decision_us=_decision_times(deployment),
            requests_s=rate,
        )
