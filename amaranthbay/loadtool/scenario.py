"""Runs one load on one deployment of processes, with a fault or without."""

import subprocess
import sys
import time
from dataclasses import dataclass
from signal import SIGCONT, SIGSTOP

import gevent
import msgspec

from amaranthbay.config.types import CallerKind, Configuration, Pool, Service
from amaranthbay.loadtool.arrivals import estimate_capacity, generate_arrivals
from amaranthbay.loadtool.generator import Job, Outcome
from amaranthbay.loadtool.profiles import Profile
from amaranthbay.standins.engine_state import EngineOptions
from amaranthbay.standins.processes import Deployment, call_json

__all__ = ["FAULTS", "Scenario", "Trace", "run_scenario"]

# ``worker`` kills a prefill engine, ``zone`` suspends the processes of a zone,
# ``platform`` makes the platform answer 503, and ``stale`` makes the engines report old
# loads.
FAULTS = ("none", "worker", "zone", "platform", "stale")
FIRST_TOKEN_TARGET_S = 1.3
BETWEEN_TOKENS_TARGET_S = 0.051
STALE_LOAD_LAG_S = 4.0
# Time until the load starts, in which the daemons get their first load reports.
SETTLE_S = 2.0
GENERATOR_COUNT = 3
SERVICE = "summary"


@dataclass(frozen=True)
class Scenario:
    """One run of the load tool.

    The times of the engines, the life of a KV cache and the targets are all multiplied
    by ``scale``, so that their ratios are those of a full-size deployment.

    Attributes:
        profile: `Profile` of the deployment and its load.
        policy: Name of the daemons' placement policy.
        allocator: Name of the daemons' slot allocator.
        fault: One of `FAULTS`; present during the middle third of the load, or, if
            ``stale``, during the whole run.
        seed: Seed of the arrivals and prompts.
        load: Arrival rate as a multiple of ``Capacity.requests_s``.
        duration_s: Seconds of load.
        drain_s: Seconds after the load during which answers may still arrive.
        scale: Factor on engine times, KV cache life and targets.
        patient_factor: Factor on the rate of the patient arrivals.
    """

    profile: Profile
    policy: str
    allocator: str = "independent"
    fault: str = "none"
    seed: int = 1
    load: float = 1.2
    duration_s: float = 22.0
    drain_s: float = 18.0
    scale: float = 1.0
    patient_factor: float = 1.0

    @property
    def first_token_s(self):
        """Target for the time to the first token, in seconds."""
        return FIRST_TOKEN_TARGET_S * self.scale

    @property
    def between_tokens_s(self):
        """Target for the mean time between tokens, in seconds."""
        return BETWEEN_TOKENS_TARGET_S * self.scale


@dataclass(frozen=True)
class Trace:
    """Measurements of one run.

    Attributes:
        outcomes: `Outcome` of each request.
        prefill_tokens: Number of tokens that the prefill engines computed.
        wasted_tokens: Number of computed tokens whose KV cache was never transferred.
        decision_us: Duration of each placement decision in microseconds.
        requests_s: Mean arrival rate in requests per second, before
            ``patient_factor`` is applied.
        prefix_missing: Number of tokens that the daemons' prefix indexes expected in a
            prefix cache and that were not there.
        prefix_surplus: Number of tokens that were in a prefix cache and that the
            prefix indexes did not expect there.
    """

    outcomes: tuple[Outcome, ...]
    prefill_tokens: int
    wasted_tokens: int
    decision_us: tuple[float, ...]
    requests_s: float
    prefix_missing: int = 0
    prefix_surplus: int = 0


def _configuration(scenario):
    """Returns the configuration of the scenario's deployment."""
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


def _start_deployment(deployment, scenario):
    """Starts engines and daemons, spread over the zones, and waits for them."""
    profile = scenario.profile
    options = ["--scale", str(scenario.scale), "--slots", str(profile.slots)]
    options += ["--kv-life-s", str(EngineOptions.kv_life_s * scenario.scale)]
    options += ["--import-needs-slot"]
    if scenario.fault == "stale":
        options += ["--load-lag-s", str(STALE_LOAD_LAG_S)]
    for role in ("prefill", "decode"):
        for number in range(getattr(profile, role)):
            zone = profile.zones[number % len(profile.zones)]
            deployment.start_engine(f"{role}-{number + 1}", role, zone, *options)
    extra_settings = f'placement_policy = "{scenario.policy}"\n'
    extra_settings += f'slot_allocator = "{scenario.allocator}"\n'
    for number in range(profile.daemons):
        zone = profile.zones[number % len(profile.zones)]
        deployment.start_daemon(f"entry-{number + 1}", zone, extra_settings)
    deployment.publish()
    deployment.accept(_configuration(scenario))
    deployment.wait_ready()


class _FaultInjector:
    """Injects the fault of a scenario during the middle third of the load.

    The methods ``_begin_X`` and ``_end_X`` start and end the fault X. A killed engine
    isn't restarted, and stale loads are an option set when the engines start.

    Attributes:
        counts_before_kill: Counts of the killed prefill engine, read just before.
    """

    def __init__(self, deployment, scenario):
        self._deployment = deployment
        self._scenario = scenario
        self.counts_before_kill = []

    def run(self):
        """Starts the fault after one third of the load and ends it after two."""
        third_s = self._scenario.duration_s / 3
        gevent.sleep(third_s)
        getattr(self, f"_begin_{self._scenario.fault}")()
        gevent.sleep(third_s)
        getattr(self, f"_end_{self._scenario.fault}")()

    def _do_nothing(self):
        """Leaves the deployment as it is."""

    _begin_none = _end_none = _begin_stale = _end_stale = _end_worker = _do_nothing

    def _begin_worker(self):
        engine = self._deployment.backend_servers["prefill-1"]
        self.counts_before_kill.append(_engine_counts(engine))
        engine.kill()
        self._deployment.publish()

    def _zone_processes(self):
        """Returns the daemons and backend servers of the first zone."""
        zone = self._scenario.profile.zones[0]
        processes = self._deployment.processes()
        return [
            process
            for process in processes
            if process.instance_entry.availability_zone == zone
            and process is not self._deployment.platform
        ]

    def _begin_zone(self):
        for process in self._zone_processes():
            process.signal(SIGSTOP)

    def _end_zone(self):
        for process in self._zone_processes():
            process.signal(SIGCONT)

    def _set_outage(self, outage):
        """Switches the fault ``outage`` of the platform on or off."""
        address = self._deployment.platform.address
        call_json(address, "POST", "/control/faults", {"outage": outage})

    def _begin_platform(self):
        self._set_outage(True)

    def _end_platform(self):
        self._set_outage(False)


def _engine_counts(process):
    """Returns the counts of an engine since its start, by name."""
    return call_json(process.address, "GET", "/control/held")["counts"]


def _start_generators(deployment, scenario, arrivals):
    """Starts the generators and distributes the arrivals among them in turn."""
    start_unix_s = time.time() + SETTLE_S
    processes = []
    for offset in range(GENERATOR_COUNT):
        job = Job(
            start_unix_s=start_unix_s,
            duration_s=scenario.duration_s,
            drain_s=scenario.drain_s,
            service=SERVICE,
            seeds=tuple(daemon.address for daemon in deployment.daemons.values()),
            seed=scenario.seed,
            arrivals=tuple(arrivals[offset::GENERATOR_COUNT]),
        )
        command = [sys.executable, "-m", "amaranthbay.loadtool.generator"]
        process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        process.stdin.write(msgspec.json.encode(job))
        process.stdin.close()
        processes.append(process)
    return processes


def _read_outcomes(process):
    """Waits until a generator exits and returns the outcomes that it wrote."""
    output = process.stdout.read()
    process.wait()
    return [msgspec.json.decode(line, type=Outcome) for line in output.splitlines()]


def _decision_times(deployment):
    """Returns the microseconds of each placement decision in the daemons' logs."""
    times_us = []
    for daemon in deployment.daemons.values():
        for line in daemon.log_lines():
            if line.get("decision") == "placement" and "decision_us" in line:
                times_us.append(line["decision_us"])
    return tuple(times_us)


def _prefix_errors(deployment):
    """Returns the daemons' `Trace.prefix_missing` and `Trace.prefix_surplus`."""
    missing, surplus = 0, 0
    for name in deployment.daemons:
        error = deployment.status(name)["prefix_error"]
        missing += error["missing_tokens"]
        surplus += error["surplus_tokens"]
    return missing, surplus


def run_scenario(scenario):
    """Starts the deployment of a scenario, runs the load and returns the `Trace`."""
    defaults = EngineOptions()
    capacity = estimate_capacity(
        scenario.profile,
        defaults.prefill_token_s * scenario.scale,
        defaults.decode_step_s * scenario.scale,
    )
    requests_s = capacity.requests_s * scenario.load
    arrivals = generate_arrivals(
        scenario.profile,
        scenario.seed,
        scenario.duration_s,
        requests_s,
        scenario.patient_factor,
    )
    with Deployment() as deployment:
        _start_deployment(deployment, scenario)
        generators = _start_generators(deployment, scenario, arrivals)
        fault_injector = _FaultInjector(deployment, scenario)
        gevent.sleep(SETTLE_S)
        fault_greenlet = gevent.spawn(fault_injector.run)
        outcomes = []
        for process in generators:
            outcomes.extend(_read_outcomes(process))
        fault_greenlet.get()
        counts = [*fault_injector.counts_before_kill]
        for name, process in deployment.backend_servers.items():
            if name.startswith("prefill") and process.popen.poll() is None:
                counts.append(_engine_counts(process))
        missing, surplus = _prefix_errors(deployment)
        return Trace(
            outcomes=tuple(outcomes),
            prefill_tokens=sum(count["prefill_tokens"] for count in counts),
            wasted_tokens=sum(count["wasted_tokens"] for count in counts),
            decision_us=_decision_times(deployment),
            requests_s=requests_s,
            prefix_missing=missing,
            prefix_surplus=surplus,
        )
