"""Tests of the slot allocators, with daemons connected by an in-memory channel."""

import gevent

from amaranthbay.kernel.interfaces import Membership, PeerChannel
from amaranthbay.kernel.retries import new_attempt
from amaranthbay.membership.types import Member
from amaranthbay.placement.owner_slots import OwnerAllocator, owner_of
from amaranthbay.placement.slot_ledger import GRANT_TTL_S, REBUILD_PERIOD_S
from amaranthbay.placement.slots import (
    AllocatorContext,
    IndependentAllocator,
    StaticShareAllocator,
)
from amaranthbay.placement.tests.samples import server
from amaranthbay.utils.testing import ManualClock, collect, greenlet, wait_until

SLOTS = 4
DECODE = server("d-1", "decode")


class Network:
    """In-memory network of daemons.

    Attributes:
        members: `Member` of each live daemon, by name.
        handlers: Message handlers by type, by daemon.
        silent: Names of daemons that neither receive nor answer messages.
        on_death: Functions that are called with a daemon that was killed.
    """

    def __init__(self, names):
        self.members = {name: Member(name, "zone-a", "r", "", "", "") for name in names}
        self.handlers = {name: {} for name in names}
        self.silent = set()
        self.on_death = []

    def kill(self, name):
        """Removes a daemon and tells the others."""
        member = self.members.pop(name)
        for callback in self.on_death:
            callback(member)


class FakeMembership(Membership):
    """Membership with the same view for all daemons."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    def own(self):
        return Member(self._name, "zone-a", "r", "", "", "")

    def live(self):
        return tuple(self._network.members.values())

    def member(self, instance):
        return self._network.members.get(instance)

    def on_death(self, callback):
        self._network.on_death.append(callback)


class FakeChannel(PeerChannel):
    """Channel that delivers messages synchronously."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    def send(self, instance, message):
        return self.ask(instance, message, 0.0) is not None

    def ask(self, instance, message, timeout_s):
        if instance in self._network.silent or instance not in self._network.members:
            return None
        return self._network.handlers[instance][type(message)](self._name, message)

    def register_handler(self, message_type, handler):
        self._network.handlers[self._name][message_type] = handler


def start_daemons(count=3, reported=lambda instance: 0):
    """Returns a network, its clock and the allocators, that of DECODE's owner first."""
    names = [f"entry-{number}" for number in range(count)]
    network = Network(names)
    clock = ManualClock()
    allocators = {}
    for name in names:
        allocators[name] = start_daemon(network, name, clock, reported)
    owner = owner_of(DECODE.instance, tuple(network.members.values()))
    others = [allocators[name] for name in names if name != owner]
    return network, clock, [allocators[owner], *others]


def start_daemon(network, name, clock, reported=lambda instance: 0):
    """Starts a daemon and returns its allocator."""
    ctx = AllocatorContext(
        slots_of=lambda server: SLOTS,
        clock=clock,
        reported_active=reported,
        membership=FakeMembership(network, name),
        channel=FakeChannel(network, name),
    )
    return OwnerAllocator(ctx)


def acquire(allocator, interactive=True):
    """Tries to get a slot of DECODE for a new attempt."""
    return allocator.acquire(DECODE, new_attempt("r", 1), interactive, 100)


def test_owner_bounds_the_grants_of_all_daemons(case):
    """Guards against daemons that together overload a server."""
    _, _, allocators = start_daemons()
    grants = [acquire(allocators[number % 3]) for number in range(6)]
    case.assertEqual([grant.is_ok() for grant in grants], [True] * 4 + [False] * 2)
    allocators[1].release(grants[1].unwrap())
    case.assertTrue(acquire(allocators[2]).is_ok())


def test_patient_work_leaves_a_slot_and_waits(case):
    """Guards against patient work that takes the last slot or is refused."""
    _, _, allocators = start_daemons()
    held = [acquire(allocators[1]).unwrap() for _ in range(3)]
    with greenlet(acquire, allocators[2], False) as job:
        gevent.sleep(0)
        case.assertFalse(job.ready())
        allocators[1].release(held[0])
        wait_until(job.ready)
        case.assertTrue(job.value.is_ok())


def test_silent_owner_is_replaced_by_a_local_decision(case):
    """Guards against a request that fails because the owner doesn't answer."""
    network, _, allocators = start_daemons()
    network.silent = set(network.members)
    results = [acquire(allocators[1]).is_ok() for _ in range(SLOTS + 1)]
    case.assertEqual(results, [True] * SLOTS + [False])


def test_grants_end_when_the_holder_dies(case):
    """Guards against slots that stay taken by a daemon that has died."""
    network, _, allocators = start_daemons()
    for _ in range(SLOTS):
        acquire(allocators[1])
    case.assertTrue(acquire(allocators[2]).is_err())
    network.kill(allocators[1].ctx.membership.own().instance)
    case.assertTrue(acquire(allocators[2]).is_ok())


def test_grants_end_when_the_holder_is_silent(case):
    """Guards against slots that stay taken because a release message was lost."""
    network, clock, allocators = start_daemons()
    for _ in range(SLOTS):
        acquire(allocators[1])
    clock.advance(GRANT_TTL_S + 1)
    case.assertTrue(acquire(allocators[2]).is_ok())


def test_restarted_owner_rebuilds_its_count(case):
    """Guards against more grants than slots after the owner has restarted."""
    network, clock, allocators = start_daemons()
    for _ in range(SLOTS - 1):
        acquire(allocators[1])
    name = allocators[0].ctx.membership.own().instance
    restarted = start_daemon(network, name, clock)
    allocators[1].renew()
    case.assertTrue(acquire(restarted).is_ok())
    case.assertTrue(acquire(allocators[2]).is_err())


def test_new_owner_counts_reported_load_while_it_rebuilds(case):
    """Guards against double grants before holders renew theirs with a new owner."""
    network, clock, allocators = start_daemons(reported=lambda instance: SLOTS)
    case.assertTrue(acquire(allocators[1]).is_err())
    clock.advance(REBUILD_PERIOD_S + 1)
    case.assertTrue(acquire(allocators[1]).is_ok())


def test_renewal_ends_a_grant_that_nobody_uses(case):
    """Guards against a slot that stays taken because the owner's answer was lost."""
    _, _, allocators = start_daemons()
    acquire(allocators[1])
    owner = allocators[0]
    owner.ledger.grant(DECODE.instance, "lost", _name(allocators[1]), True, SLOTS)
    case.assertEqual(owner.ledger.used(DECODE.instance), 2)
    allocators[1].renew()
    case.assertEqual(owner.ledger.used(DECODE.instance), 1)


def _name(allocator):
    return allocator.ctx.membership.own().instance


def test_few_servers_change_their_owner(case):
    """Guards against new owners for other servers when one daemon leaves."""
    network, _, _ = start_daemons(8)
    names = [f"d-{number}" for number in range(400)]

    def owners():
        members = tuple(network.members.values())
        return [owner_of(name, members) for name in names]

    before = owners()
    network.kill("entry-3")
    changed = [old for old, new in zip(before, owners()) if old != new]
    case.assertEqual(set(changed), {"entry-3"})


def test_static_share_divides_the_slots(case):
    """Guards against daemons that together exceed the slots under static shares."""
    clock = ManualClock()
    ctx = AllocatorContext(lambda server: SLOTS, clock, daemon_count=lambda: 2)
    counts = []
    for allocator_type in (IndependentAllocator, StaticShareAllocator):
        allocator = allocator_type(ctx)
        counts.append(sum(acquire(allocator).is_ok() for _ in range(10)))
    case.assertEqual(counts, [SLOTS, SLOTS // 2])


load_tests = collect(globals())
