"""Leases: one holder at a time, over pauses, late effects and lost replies."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from amaranthbay.state.leases import LeaseStore
from amaranthbay.state.tests.fakes import (
    FAULTS,
    MemoryTable,
    StepClock,
    pause,
    start,
)
from amaranthbay.state.tests.machines import finds_a_failure, holds
from amaranthbay.utils.testing import collect

DAEMONS = 3
DURATION_S = 10.0
FAULT = st.sampled_from((*FAULTS, "ok", "ok", "ok"))


class LeaseMachine(RuleBasedStateMachine):
    """Daemons that take, renew and release one lease, and may be paused."""

    conditional = True

    def __init__(self):
        super().__init__()
        self.clock = StepClock()
        self.table = MemoryTable(pause, self.conditional)
        self.stores = [
            LeaseStore(self.table, self.clock, str(number)) for number in range(DAEMONS)
        ]
        self.leases = {}
        self.jobs = []
        self.highest_fence = 0

    def acquire(self, number):
        lease = self.stores[number].acquire("orders", DURATION_S)
        if lease is None:
            return
        if self.stores[number].is_held(lease):
            assert lease.fence > self.highest_fence, "a fencing number came back"
            self.highest_fence = lease.fence
        self.leases[number] = lease

    def renew(self, number):
        renewed = self.stores[number].renew(self.leases[number], DURATION_S)
        if renewed is None:
            self.leases.pop(number, None)
        else:
            self.leases[number] = renewed

    def release(self, number):
        self.stores[number].release(self.leases.pop(number))

    @rule(number=st.integers(0, DAEMONS - 1), faults=st.lists(FAULT, max_size=4))
    def use_one(self, number, faults):
        self.use(number, faults)

    def use(self, number, faults):
        if any(owner == number for owner, _ in self.jobs):
            return
        held = number in self.leases
        release = held and faults[:1] == ["lost"]
        function = self.release if release else self.renew if held else self.acquire
        job = start(function, number)
        while not job.dead and faults:
            job.switch(faults.pop(0))
        if not job.dead:
            self.jobs.append((number, job))

    # Two daemons that have both read the row are the interesting case.
    @rule(first=st.integers(0, DAEMONS - 1), faults=st.lists(FAULT, max_size=1))
    def use_together(self, first, faults):
        for number in (first, (first + 1) % DAEMONS):
            self.use(number, ["ok", *faults])

    @precondition(lambda self: self.jobs)
    @rule(index=st.integers(0, 9), faults=st.lists(FAULT, max_size=2))
    def resume(self, index, faults):
        _, job = self.jobs.pop(index % len(self.jobs))
        while not job.dead:
            job.switch(faults.pop(0) if faults else "ok")

    @precondition(lambda self: self.table.late)
    @rule(index=st.integers(0, 9))
    def apply_late_commit(self, index):
        self.table.apply_late(index)

    @rule(seconds=st.sampled_from((1.0, 4.0, 11.0)))
    def advance(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def at_most_one_holder(self):
        holders = [
            number
            for number, lease in self.leases.items()
            if self.stores[number].is_held(lease)
        ]
        assert len(holders) <= 1, "two daemons hold the lease"


class UnconditionalMachine(LeaseMachine):
    """The same on a table that ignores conditions."""

    conditional = False


def test_one_daemon_holds_a_lease(case):
    """Guards against two holders, and against a fencing number used twice."""
    holds(case, LeaseMachine)


def test_the_machine_finds_a_missing_condition(case):
    """Guards against a machine that proves nothing."""
    finds_a_failure(case, UnconditionalMachine)


class SlowTable(MemoryTable):
    """Table whose replies come long after the write took effect."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    def commit(self, writes):
        outcome = super().commit(writes)
        self.clock.advance(DURATION_S)
        return outcome


def test_a_slow_reply_does_not_lengthen_a_lease(case):
    """Guards against a holder that counts its lease from the reply."""
    clock = StepClock()
    store = LeaseStore(SlowTable(clock), clock, "a")
    lease = store.acquire("orders", DURATION_S)
    case.assertFalse(store.is_held(lease))


load_tests = collect(globals())
