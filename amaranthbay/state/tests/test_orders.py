"""Orders to engines with paused lease holders and delayed orders."""

from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from amaranthbay.kernel.requests import BackendServer
from amaranthbay.standins.processes import Deployment
from amaranthbay.state.leases import LeaseStore
from amaranthbay.state.orders import (
    ACTIONS,
    LEASE_S,
    SEND_TIMEOUT_S,
    EngineOrders,
    EngineReconciler,
    EngineSetup,
)
from amaranthbay.state.tests.fakes import (
    MemoryTable,
    StepClock,
    pause,
    run_until_pause,
)
from amaranthbay.state.tests.machines import assert_invariants_hold
from amaranthbay.utils.testing import collect, wait_until

FENCED = BackendServer("fenced", "p", "prefill", "127.0.0.1:1", "zone-a")
UNFENCED = replace(FENCED, instance="unfenced")
SERVERS = (FENCED, UNFENCED)
DAEMONS = 3


def checks_fence(server):
    return server is FENCED


class MemoryEngines:
    """Engines that apply an order immediately, later or never.

    Attributes:
        fault: Function that is called before an order is sent; ``"ok"`` applies it,
            ``"delayed"`` keeps it for later, anything else drops it.
        setups: `EngineSetup` by server.
        fences: Fencing numbers of the applied orders by server.
        delayed: Arguments of `apply` of the orders that are kept for later.
    """

    def __init__(self, clock, fault):
        self.clock = clock
        self.fault = fault
        self.setups = {server: EngineSetup() for server in SERVERS}
        self.fences = {server: [] for server in SERVERS}
        self.delayed = []

    def read(self, server):
        return self.setups[server]

    def send(self, server, order):
        checked_at = self.clock.monotonic()
        fault = self.fault("send")
        if fault == "delayed":
            self.delayed.append((server, order, checked_at))
        elif fault == "ok":
            self.apply(server, order, checked_at)

    def apply(self, server, order, checked_at):
        fences = self.fences[server]
        if server is FENCED:
            if order.fence < max(fences, default=0):
                return
        elif self.clock.monotonic() - checked_at > LEASE_S + SEND_TIMEOUT_S:
            # An engine that ignores fencing numbers isn't protected against orders
            # that are delayed for longer than this, so the test drops them.
            return
        fences.append(order.fence)
        fields = {action: field for field, action in ACTIONS.items()}
        change = {fields[order.action]: order.target}
        self.setups[server] = replace(self.setups[server], **change)


class OrdersMachine(RuleBasedStateMachine):
    """Daemons that order different setups, are paused and lose the lease.

    Attributes:
        jobs: Greenlet of each paused daemon by its number.
    """

    def __init__(self):
        super().__init__()
        self.clock = StepClock()
        self.table = MemoryTable()
        self.engines = MemoryEngines(self.clock, pause)
        self.reconcilers = [
            self.make_reconciler(str(number)) for number in range(DAEMONS)
        ]
        self.jobs = {}

    def make_reconciler(self, name):
        leases = LeaseStore(self.table, self.clock, name)
        return EngineReconciler(leases, self.engines, self.clock, checks_fence)

    def desired(self, number):
        return {server: EngineSetup(f"m{number}", role="r") for server in SERVERS}

    @rule(number=st.integers(0, DAEMONS - 1))
    def step(self, number):
        if number in self.jobs:
            return
        job = run_until_pause(self.reconcilers[number].step, self.desired(number))
        if not job.dead:
            self.jobs[number] = job

    @precondition(lambda self: self.jobs)
    @rule(index=st.integers(0, 9), fault=st.sampled_from(("ok", "ok", "delayed", "no")))
    def resume(self, index, fault):
        number = sorted(self.jobs)[index % len(self.jobs)]
        self.jobs[number].switch(fault)
        if self.jobs[number].dead:
            del self.jobs[number]

    @precondition(lambda self: self.engines.delayed)
    @rule(index=st.integers(0, 9))
    def apply_delayed(self, index):
        delayed = self.engines.delayed
        self.engines.apply(*delayed.pop(index % len(delayed)))

    @rule(seconds=st.sampled_from((1.0, 4.0, 11.0)))
    def advance(self, seconds):
        self.clock.advance(seconds)

    @rule(rounds=st.integers(2, 4), number=st.integers(0, DAEMONS - 1))
    def change_holder(self, rounds, number):
        for _ in range(rounds):
            self.clock.advance(LEASE_S * 0.6)
            self.step(number)

    @invariant()
    def fences_never_fall(self):
        for fences in self.engines.fences.values():
            assert fences == sorted(fences), "an order of an earlier holder was applied"

    def teardown(self):
        self.jobs = {}
        reconciler = self.make_reconciler("last")
        desired = self.desired("last")
        self.engines.fault = lambda operation: "ok"
        for _ in range(20):
            self.clock.advance(LEASE_S * 0.4)
            if reconciler.step(desired):
                break
        assert self.engines.setups == desired, "the engines did not converge"


def test_no_order_of_an_earlier_holder_is_applied(case):
    """Guards against orders that arrive after another daemon acquired the lease."""
    assert_invariants_hold(case, OrdersMachine)


def make_reconciler(table, clock, engines, name):
    leases = LeaseStore(table, clock, name)
    return EngineReconciler(leases, engines, clock, checks_fence)


def test_a_new_holder_waits_only_for_engines_that_ignore_numbers(case):
    """Guards against a new holder's orders while the earlier one may still send.

    The new holder waits only for engines that ignore fencing numbers.
    """
    clock, table = StepClock(), MemoryTable()
    engines = MemoryEngines(clock, lambda operation: "ok")
    first, second = (make_reconciler(table, clock, engines, name) for name in "ab")
    case.assertTrue(first.step({server: EngineSetup("m1") for server in SERVERS}))
    desired = {server: EngineSetup("m2") for server in SERVERS}
    case.assertFalse(second.step(desired))
    clock.advance(LEASE_S * 1.1)
    second.step(desired)
    case.assertEqual(engines.setups[FENCED].model, "m2")
    case.assertEqual(engines.setups[UNFENCED].model, "m1")
    for _ in range(4):
        clock.advance(LEASE_S * 0.4)
        second.step(desired)
    case.assertEqual(engines.setups[UNFENCED].model, "m2")


def test_engine_process_takes_orders_and_refuses_old_numbers(case):
    """Guards against a client that doesn't match the order interface of the engines."""
    deployment = case.enterContext(Deployment())
    process = deployment.start_engine("prefill-1", "prefill")
    server = replace(FENCED, address=process.address)
    engines, clock, table = EngineOrders(), StepClock(), MemoryTable()
    wait_until(lambda: engines.read(server) is not None)
    desired = EngineSetup("m1", "a1", "7", "decode")
    first = EngineReconciler(
        LeaseStore(table, clock, "a"), engines, clock, lambda _: True
    )
    case.assertTrue(first.step({server: desired}))
    clock.advance(LEASE_S * 2)
    second = EngineReconciler(
        LeaseStore(table, clock, "b"), engines, clock, lambda _: True
    )
    second.step({server: desired})
    clock.advance(LEASE_S * 2)
    changed = replace(desired, version="8")
    case.assertTrue(second.step({server: changed}))
    outdated = EngineReconciler(
        LeaseStore(MemoryTable(), clock, "a"), engines, clock, bool
    )
    case.assertFalse(outdated.step({server: desired}))
    case.assertEqual(engines.read(server), changed)


load_tests = collect(globals())
