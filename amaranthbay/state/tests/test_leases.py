"""Leases have one holder at a time despite pauses, late commits and lost replies."""

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
    run_until_pause,
)
from amaranthbay.state.tests.machines import (
    assert_invariant_breaks,
    assert_invariants_hold,
)
from amaranthbay.utils.testing import collect

DAEMONS = 3
DURATION_S = 10.0
FAULT = st.sampled_from((*FAULTS, "ok", "ok", "ok"))


class LeaseMachine(RuleBasedStateMachine):
    """Daemons that acquire, renew and release one lease, and may be paused.

    Attributes:
        leases: `Lease` by number of the daemon that last acquired or renewed it.
        jobs: Number of the daemon and greenlet of each paused operation.
        highest_fence: Highest fencing number of any holder.
    """

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
            assert lease.fence > self.highest_fence, "a fencing number did not rise"
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
    def operate_one(self, number, faults):
        self.operate(number, faults)

    def operate(self, number, faults):
        """Lets a daemon acquire, renew or release the lease, unless it is paused."""
        if any(paused_number == number for paused_number, _ in self.jobs):
            return
        has_lease = number in self.leases
        release = has_lease and faults[:1] == ["lost"]
        function = (
            self.release if release else self.renew if has_lease else self.acquire
        )
        job = run_until_pause(function, number)
        while not job.dead and faults:
            job.switch(faults.pop(0))
        if not job.dead:
            self.jobs.append((number, job))

    # Two daemons conflict only if both have read the row before one writes it.
    @rule(first=st.integers(0, DAEMONS - 1), faults=st.lists(FAULT, max_size=1))
    def operate_two(self, first, faults):
        for number in (first, (first + 1) % DAEMONS):
            self.operate(number, ["ok", *faults])

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
    """The same machine on a table that doesn't check conditions of writes."""

    conditional = False


def test_one_daemon_holds_a_lease(case):
    """Guards against two holders, and against a fencing number that is used twice."""
    assert_invariants_hold(case, LeaseMachine)


def test_the_machine_finds_a_missing_condition(case):
    """Guards against a state machine that doesn't detect two holders."""
    assert_invariant_breaks(case, UnconditionalMachine)


class SlowTable(MemoryTable):
    """Table whose replies arrive `DURATION_S` after the write took effect."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    def commit(self, writes):
        outcome = super().commit(writes)
        self.clock.advance(DURATION_S)
        return outcome


def test_a_slow_reply_does_not_lengthen_a_lease(case):
    """Guards against a holder that counts its lease from the reply to the write."""
    clock = StepClock()
    store = LeaseStore(SlowTable(clock), clock, "a")
    lease = store.acquire("orders", DURATION_S)
    case.assertFalse(store.is_held(lease))


load_tests = collect(globals())
