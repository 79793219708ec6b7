"""Orders that move model servers between the pools."""

from amaranthbay.daemon.staging import MIN_UNBALANCED_S, RANK_DELAY_S, StageBalancer
from amaranthbay.fleet.reports import MeasuredDemand, PeerStatus, ServerLoad
from amaranthbay.platform.tests.fixtures import entry_fixture
from amaranthbay.relay.pools import StageDemand
from amaranthbay.relay.switches import LIST_LAG_S, SwitchRecord
from amaranthbay.state.leases import LeaseStore
from amaranthbay.utils.testing import ManualClock, collect, wait_until

PREFILL = ("pre-1", "pre-2", "pre-3")


class FixedMeter:
    """Stand-in for the `DemandMeter`, with a fixed demand."""

    def __init__(self, prefill_s, decode_s):
        self._measured = MeasuredDemand(3000.0, 3000.0 / prefill_s, decode_s, 100)

    def demand(self, service):
        return StageDemand(
            self._measured.prompt_tokens / self._measured.prefill_speed,
            self._measured.decode_s,
        )


def make_balancer(case, prefill_s=0.1, decode_s=0.5, prefill=PREFILL, **fields):
    """Returns a balancer for three prefill servers and one decode server.

    It comes with its fixture and its clock. By default, decode takes longer than
    prefill, so that two prefill servers should switch. Further fields are arguments of
    `entry_fixture`.
    """
    fixture = case.enterContext(entry_fixture(prefill=prefill, **fields))
    daemon, clock = fixture.daemon, ManualClock()
    daemon._balancer_jobs.stop()
    table = daemon._adapter.open_table(daemon.store, "leases")
    balancer = StageBalancer(
        daemon.ctx,
        daemon.configuration,
        LeaseStore(table, clock, "entry-1"),
        FixedMeter(prefill_s, decode_s),
        "entry-1",
        3.0,
    )
    # Only the balancer uses the manual clock; the daemon runs on the system's clock.
    balancer._ctx = _ContextWithClock(daemon.ctx, clock)
    return balancer, fixture, clock


class _ContextWithClock:
    """`RelayContext` with another clock and a record of switches that uses it."""

    def __init__(self, ctx, clock):
        self._ctx = ctx
        self.clock = clock
        self.switches = SwitchRecord(clock, ctx.backends.stage_of)

    def __getattr__(self, name):
        return getattr(self._ctx, name)


def sent_orders(fixture):
    """Returns the orders that the servers received."""
    orders = []
    for server in fixture.servers.values():
        orders += [call for call in server.control_calls if isinstance(call, dict)]
    return orders


def test_surplus_prefill_servers_switch_to_decode(case):
    """Guards against idle prefill servers while the decode server is full, and against
    orders without a fencing number or the server's count of orders."""
    balancer, fixture, clock = make_balancer(case)
    balancer.step()
    case.assertEqual(sent_orders(fixture), [])
    clock.advance(MIN_UNBALANCED_S + 0.1)
    balancer.step()
    orders = sent_orders(fixture)
    case.assertEqual(len(orders), 2)
    for order in orders:
        case.assertEqual((order["Op"], order["Stage"]), ("Stage", "decode"))
        # The fence of the first lease, and the order count that servers report.
        case.assertEqual((order["Fence"], order["Expected"]), (1, 4))
    case.assertEqual(len(balancer._ctx.switches.switching()), 2)


def test_switching_servers_count_in_their_new_pool(case):
    """Guards against further orders for a move that has been ordered, and against work
    for a server that is not listed in its new pool yet."""
    balancer, fixture, clock = make_balancer(case)
    balancer.step()
    clock.advance(MIN_UNBALANCED_S + 0.1)
    balancer.step()
    for _ in range(8):
        clock.advance(1.0)
        balancer.step()
    case.assertEqual(len(sent_orders(fixture)), 2)
    case.assertEqual(len(balancer._ctx.switches.switching()), 2)
    for name in balancer._ctx.switches.switching():
        fixture.write_entry(name, "lm", "decode")
    wait_until(lambda: not balancer._ctx.switches.switching())
    balancer.step()
    case.assertEqual(len(sent_orders(fixture)), 2)


def test_order_with_a_lost_answer_is_sent_again(case):
    """Guards against pools that stay out of balance while answers to orders are lost,
    and against a second attempt that the server would carry out in addition."""
    balancer, fixture, clock = make_balancer(case)
    for name in PREFILL:
        fixture.servers[name].orders_to_lose = 1
    balancer.step()
    clock.advance(MIN_UNBALANCED_S + 0.1)
    balancer.step()
    orders = sent_orders(fixture)
    case.assertEqual(len(orders), 4)
    case.assertEqual(
        {(order["Fence"], order["Expected"]) for order in orders}, {(1, 4)}
    )
    case.assertEqual(len(balancer._ctx.switches.switching()), 2)


def test_orders_of_other_instances_count(case):
    """Guards against two instances that move servers for the same imbalance, one after
    the other, because the second one ignores the servers that switch already."""
    balancer, fixture, clock = make_balancer(case)
    daemon = fixture.daemon
    status = PeerStatus(
        "entry-2", 1, 1, True, {}, switching={"pre-1": "decode", "pre-2": "decode"}
    )
    daemon.peers.receive(status)
    balancer.step()
    clock.advance(MIN_UNBALANCED_S + 0.1)
    balancer.step()
    case.assertEqual(sent_orders(fixture), [])
    usable = {candidate.server.name for candidate in daemon.ctx.candidates("lm")}
    case.assertEqual(usable, {"pre-3", "dec-1"})


def test_last_decode_server_of_a_version_stays(case):
    """Guards against a switch that leaves the streams of a version no server."""
    versions = {"dec-1": "v1", "dec-2": "v1", "dec-3": "v2", "dec-4": "v3"}
    balancer, fixture, clock = make_balancer(
        case, 1.0, 0.5, ("pre-1",), decode=tuple(versions), versions=versions
    )
    fixture.daemon.placed_load.add("dec-1", ServerLoad(1, 100, 0))
    fixture.daemon.placed_load.add("dec-2", ServerLoad(1, 200, 0))
    balancer.step()
    clock.advance(MIN_UNBALANCED_S + 0.1)
    balancer.step()
    case.assertEqual(set(balancer._ctx.switches.switching()), {"dec-1"})


def test_switch_that_never_shows_is_given_up(case):
    """Guards against a server that gets no work forever after a lost order."""
    balancer, fixture, clock = make_balancer(case)
    balancer.step()
    clock.advance(MIN_UNBALANCED_S + 0.1)
    balancer.step()
    clock.advance(6.0 + LIST_LAG_S + 0.1)
    case.assertEqual(balancer._ctx.switches.switching(), {})


def test_only_the_first_instance_orders_at_once(case):
    """Guards against all instances requesting the lease at the same time."""
    balancer, fixture, clock = make_balancer(case)
    balancer._rank = lambda: 2
    balancer.step()
    clock.advance(MIN_UNBALANCED_S + RANK_DELAY_S)
    balancer.step()
    case.assertEqual(sent_orders(fixture), [])
    clock.advance(RANK_DELAY_S + 0.1)
    balancer.step()
    case.assertEqual(len(sent_orders(fixture)), 2)


def test_no_order_without_the_lease(case):
    """Guards against orders while another instance holds the lease or the store is
    down."""
    balancer, fixture, clock = make_balancer(case)
    table = fixture.daemon._adapter.open_table(fixture.daemon.store, "leases")
    other = LeaseStore(table, clock, "entry-9")
    case.assertIsNotNone(other.acquire("stages", 5.0))
    balancer.step()
    clock.advance(MIN_UNBALANCED_S + 0.1)
    balancer.step()
    case.assertEqual(sent_orders(fixture), [])
    fixture.store.error_status = 503
    clock.advance(20.0)
    balancer.step()
    case.assertEqual(sent_orders(fixture), [])


def test_no_order_is_sent_once_the_lease_has_run_out(case):
    """Guards against a process that is paused between two steps of an order and then
    acts on an expired lease. A server that checks no fencing number would carry out the
    order."""
    for step, sent_count in (("lease", 0), ("/report", 0), ("/order", 1)):
        balancer, fixture, clock = make_balancer(case)
        _pause_after(balancer, clock, step)
        balancer.step()
        clock.advance(MIN_UNBALANCED_S + 0.1)
        balancer.step()
        # The two servers are ordered concurrently.
        case.assertIn(len(sent_orders(fixture)), (sent_count, 2 * sent_count), step)


def _pause_after(balancer, clock, step):
    """Makes the clock advance by 10 s after a step, as if the process paused.

    Args:
        balancer: `StageBalancer`.
        clock: Its `ManualClock`.
        step: ``"lease"``, or the path of a call.
    """
    call, acquire = balancer._call, balancer._leases.acquire

    def acquire_slowly(*args):
        lease = acquire(*args)
        clock.advance(10.0 if step == "lease" else 0.0)
        return lease

    def call_slowly(server, method, path, body):
        answer = call(server, method, path, body)
        clock.advance(10.0 if step == path else 0.0)
        return answer

    balancer._leases.acquire = acquire_slowly
    balancer._call = call_slowly


def test_server_that_carries_out_an_order_gets_no_other(case):
    """Guards against a second order while a server carries out the first."""
    balancer, fixture, clock = make_balancer(case)
    for name in PREFILL:
        fixture.servers[name].busy = True
    balancer.step()
    clock.advance(MIN_UNBALANCED_S + 0.1)
    balancer.step()
    case.assertEqual(sent_orders(fixture), [])
    case.assertEqual(balancer._ctx.switches.switching(), {})


load_tests = collect(globals())
