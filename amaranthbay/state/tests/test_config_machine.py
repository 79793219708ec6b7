"""Acceptance and adoption of configurations in random orders of events."""

import itertools
from dataclasses import replace

import greenlet
import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from amaranthbay.platform.types import CommitState
from amaranthbay.standins.processes import small_configuration
from amaranthbay.state.config_store import ConfigStore, accept_configuration
from amaranthbay.state.sections import ConfigPointer, assemble, decode_manifest
from amaranthbay.state.tests.fakes import (
    FAULTS,
    MemoryObjects,
    MemoryPeers,
    MemoryTable,
    StepClock,
    pause,
    run_until_pause,
)
from amaranthbay.state.tests.machines import (
    assert_invariant_breaks,
    assert_invariants_hold,
)
from amaranthbay.utils.testing import collect

DAEMONS = 3
FAULT = st.sampled_from((*FAULTS, "ok", "ok"))


class RecordingTable(MemoryTable):
    """Table that records the pointer of each accepted configuration.

    Attributes:
        accepted: `ConfigPointer` of each acceptance, oldest first.
    """

    def __init__(self, fault, conditional=True):
        super().__init__(fault, conditional)
        self.accepted = []

    def apply(self, writes):
        outcome = super().apply(writes)
        if outcome.state is CommitState.DONE:
            pointer = msgspec.convert(writes[0].value, ConfigPointer)
            if pointer.attempt not in {known.attempt for known in self.accepted}:
                self.accepted.append(pointer)
        return outcome


class ConfigMachine(RuleBasedStateMachine):
    """Concurrent acceptances, polling daemons, outages and cut-off daemons.

    Attributes:
        versions: Version in force by daemon, as last checked.
        jobs: Greenlets of paused acceptances.
        outcomes: Deployment name, which identifies a configuration, and
            `AcceptOutcome` of each finished acceptance.
    """

    conditional = True

    def __init__(self):
        super().__init__()
        self.clock = StepClock()
        self.outage = False
        self.table = RecordingTable(self.fault, self.conditional)
        self.objects = MemoryObjects(self.fault)
        self.peers = MemoryPeers()
        self.names = [f"entry-{number}" for number in range(DAEMONS)]
        self.stores = {}
        self.versions = {}
        for name in self.names:
            self.restart(name)
        self.deployment_numbers = itertools.count(1)
        self.jobs = []
        self.outcomes = []

    def fault(self, operation):
        if greenlet.getcurrent().parent is not None:
            return pause(operation)
        return "down" if self.outage else "ok"

    def restart(self, name):
        endpoint = self.peers.join(name)
        self.stores[name] = ConfigStore(
            self.table, self.objects, self.clock, endpoint, endpoint
        )
        self.versions[name] = 0

    def accept(self):
        deployment = f"d{next(self.deployment_numbers)}"
        cfg = replace(small_configuration(), deployment=deployment)
        outcome = accept_configuration(self.table, self.objects, cfg, "tester")
        self.outcomes.append((deployment, outcome))

    # Two acceptances conflict only if both have read the row before one writes it.
    @rule(operators=st.integers(1, 2), steps=st.integers(1, 4))
    def start_acceptances(self, operators, steps):
        for _ in range(operators):
            job = run_until_pause(self.accept)
            for _ in range(steps):
                if not job.dead:
                    job.switch("ok")
            if not job.dead:
                self.jobs.append(job)

    @precondition(lambda self: self.jobs)
    @rule(index=st.integers(0, 9), faults=st.lists(FAULT, max_size=3))
    def finish_acceptance(self, index, faults):
        job = self.jobs.pop(index % len(self.jobs))
        while not job.dead:
            job.switch(faults.pop(0) if faults else "ok")

    @precondition(lambda self: self.jobs)
    @rule(index=st.integers(0, 9), fault=FAULT)
    def resume(self, index, fault):
        job = self.jobs.pop(index % len(self.jobs))
        job.switch(fault)
        if not job.dead:
            self.jobs.append(job)

    @precondition(lambda self: self.table.late)
    @rule(index=st.integers(0, 9))
    def apply_late_commit(self, index):
        self.table.apply_late(index)

    @rule(outage=st.booleans())
    def set_outage(self, outage):
        self.outage = outage

    @rule(cut_off=st.sets(st.integers(0, DAEMONS - 1), max_size=1))
    def set_cut_off(self, cut_off):
        self.peers.cut_off = {self.names[number] for number in cut_off}

    @rule(number=st.integers(0, DAEMONS - 1))
    def restart_daemon(self, number):
        self.restart(self.names[number])

    @rule(number=st.integers(0, DAEMONS - 1))
    def step(self, number):
        self.stores[self.names[number]].step()

    @rule(sender=st.integers(0, DAEMONS - 1), receiver=st.integers(0, DAEMONS - 1))
    def send_version(self, sender, receiver):
        version = self.stores[self.names[sender]].version
        self.stores[self.names[receiver]].note_peer_version(version, self.names[sender])

    @rule(seconds=st.sampled_from((0.5, 2.0, 6.0)))
    def advance(self, seconds):
        self.clock.advance(seconds)

    @rule()
    def step_all_without_faults(self):
        self.outage = False
        for store in self.stores.values():
            store.step()
            newest = max(
                (pointer.version for pointer in self.table.accepted), default=0
            )
            assert store.version == newest, "an accepted version is not in force"
            assert (
                store.unconfirmed_reason() is None
            ), "a daemon refuses work although the platform answers"

    @invariant()
    def each_version_is_one_configuration(self):
        versions = [pointer.version for pointer in self.table.accepted]
        assert versions == list(
            range(1, len(versions) + 1)
        ), "versions are not consecutive"

    @invariant()
    def versions_only_rise(self):
        for name, store in self.stores.items():
            assert (
                store.version >= self.versions[name]
            ), "a daemon returned to a lower version"
            self.versions[name] = store.version

    def teardown(self):
        while self.table.late:
            self.table.apply_late(0)
        accepted_versions = {}
        for pointer in self.table.accepted:
            manifest = decode_manifest(self.objects.objects[pointer.object_name])
            cfg = assemble(manifest, self.objects.objects)
            accepted_versions[cfg.deployment] = pointer.version
        for deployment, outcome in self.outcomes:
            if outcome.state == "accepted":
                assert (
                    accepted_versions.get(deployment) == outcome.version
                ), "reported as accepted, but was not"
            elif outcome.state in ("conflict", "not_accepted"):
                assert (
                    deployment not in accepted_versions
                ), "reported as not accepted, but came into force"


class UnconditionalMachine(ConfigMachine):
    """The same machine on a table that doesn't check conditions of writes."""

    conditional = False


def test_accepted_configurations_come_into_force_and_stay(case):
    """Guards against a reverted version and a wrong outcome for an operator."""
    assert_invariants_hold(case, ConfigMachine)


def test_the_machine_finds_a_missing_condition(case):
    """Guards against a state machine that misses two acceptances of one version."""
    assert_invariant_breaks(case, UnconditionalMachine)


load_tests = collect(globals())
