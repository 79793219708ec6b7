"""Orders that move model servers between the pools."""

from amaranthbay.daemon.staging import MIN_UNBALANCED_S, RANK_DELAY_S, StageBalancer
from amaranthbay.fleet.reports import MeasuredDemand, PeerStatus
from amaranthbay.platform.tests.fleet import small_fleet
from amaranthbay.relay.pools import StageDemand
from amaranthbay.relay.switches import LIST_LAG_S, SwitchRecord
from amaranthbay.state.leases import LeaseStore
from amaranthbay.utils.testing import ManualClock, collect, wait_until

PREFILL = ("pre-1", "pre-2", "pre-3")


class Demand:
    """Stands for the meter: a stream takes much more of decode than of prefill."""

    def __init__(self, prefill_s, decode_s):
        self._measured = MeasuredDemand(3000.0, 3000.0 / prefill_s, decode_s, 100)

    def demand(self, service):
        return StageDemand(
            self._measured.prompt_tokens / self._measured.prefill_speed,
            self._measured.decode_s,
        )


def balancer(case, prefill_s=0.1, decode_s=0.5):
    """Returns a balancer over a fleet of three prefill and one decode servers."""
    fleet = case.enterContext(small_fleet(prefill=PREFILL))
    daemon, clock = fleet.daemon, ManualClock()
    for job in daemon._balancer_jobs:
        job.kill()
    table = daemon._adapter.open_table(daemon.store, "leases")
    made = StageBalancer(
        daemon.ctx,
        daemon.configuration,
        LeaseStore(table, clock, "entry-1"),
        Demand(prefill_s, decode_s),
        "entry-1",
        3.0,
    )
    # The balancer's own time; the fleet runs on the system's clock.
    made._ctx = _WithClock(daemon.ctx, clock)
    return made, fleet, clock


class _WithClock:
    def __init__(self, ctx, clock):
        self._inner = ctx
        self.clock = clock
        self.switches = SwitchRecord(clock, ctx.backends.stage_of)

    def __getattr__(self, name):
        return getattr(self._inner, name)


def orders(fleet):
    """Returns the orders that the servers were given."""
    found = []
    for worker in fleet.workers.values():
        found += [each for each in worker.control if isinstance(each, dict)]
    return found


def test_large_pool_gives_servers_to_the_one_that_binds(case):
    """Guards against idle prefill servers beside a full decode server, and against
    orders without a fencing number or the server's count."""
    made, fleet, clock = balancer(case)
    made.step()
    case.assertEqual(orders(fleet), [])
    clock.advance(MIN_UNBALANCED_S + 0.1)
    made.step()
    given = orders(fleet)
    case.assertEqual(len(given), 2)
    for order in given:
        case.assertEqual((order["Op"], order["Stage"]), ("Stage", "decode"))
        case.assertEqual((order["Fence"], order["Expected"]), (1, 4))
    case.assertEqual(len(made._ctx.switches.current()), 2)


def test_servers_on_their_way_count_where_they_will_be(case):
    """Guards against further orders for a move that was ordered already, and against
    work for a server that is not listed in its new pool yet."""
    made, fleet, clock = balancer(case)
    made.step()
    clock.advance(MIN_UNBALANCED_S + 0.1)
    made.step()
    for _ in range(8):
        clock.advance(1.0)
        made.step()
    case.assertEqual(len(orders(fleet)), 2)
    case.assertEqual(len(made._ctx.switches.current()), 2)
    for name in made._ctx.switches.current():
        fleet.entry(name, "lm", "decode")
    wait_until(lambda: not made._ctx.switches.current())
    made.step()
    case.assertEqual(len(orders(fleet)), 2)


def test_order_with_a_lost_answer_is_sent_again(case):
    """Guards against pools that stay out of balance while answers to orders are lost,
    and against a second order that the server would carry out besides the first."""
    made, fleet, clock = balancer(case)
    for name in PREFILL:
        fleet.workers[name].lost_orders = 1
    made.step()
    clock.advance(MIN_UNBALANCED_S + 0.1)
    made.step()
    given = orders(fleet)
    case.assertEqual(len(given), 4)
    case.assertEqual({(each["Fence"], each["Expected"]) for each in given}, {(1, 4)})
    case.assertEqual(len(made._ctx.switches.current()), 2)


def test_orders_of_other_instances_count(case):
    """Guards against two instances that move servers for the same need, one after the
    other, as the second one saw only that some were missing."""
    made, fleet, clock = balancer(case)
    daemon = fleet.daemon
    status = PeerStatus(
        "entry-2", 1, 1, True, {}, switching={"pre-1": "decode", "pre-2": "decode"}
    )
    daemon.peers.hear(status)
    made.step()
    clock.advance(MIN_UNBALANCED_S + 0.1)
    made.step()
    case.assertEqual(orders(fleet), [])
    usable = {each.server.name for each in daemon.ctx.candidates("lm")}
    case.assertEqual(usable, {"pre-3", "dec-1"})


def test_switch_that_never_shows_is_given_up(case):
    """Guards against a server that is left out for ever after a lost order."""
    made, fleet, clock = balancer(case)
    made.step()
    clock.advance(MIN_UNBALANCED_S + 0.1)
    made.step()
    clock.advance(6.0 + LIST_LAG_S + 0.1)
    case.assertEqual(made._ctx.switches.current(), {})


def test_only_the_first_instance_orders_at_once(case):
    """Guards against all instances that ask for the lease at the same time."""
    made, fleet, clock = balancer(case)
    made._rank = lambda: 2
    made.step()
    clock.advance(MIN_UNBALANCED_S + RANK_DELAY_S)
    made.step()
    case.assertEqual(orders(fleet), [])
    clock.advance(RANK_DELAY_S + 0.1)
    made.step()
    case.assertEqual(len(orders(fleet)), 2)


def test_no_order_without_the_lease(case):
    """Guards against two holders: another instance holds the lease."""
    made, fleet, clock = balancer(case)
    table = fleet.daemon._adapter.open_table(fleet.daemon.store, "leases")
    other = LeaseStore(table, clock, "entry-9")
    case.assertIsNotNone(other.acquire("stages", 5.0))
    made.step()
    clock.advance(MIN_UNBALANCED_S + 0.1)
    made.step()
    case.assertEqual(orders(fleet), [])
    fleet.store.down = 503
    clock.advance(20.0)
    made.step()
    case.assertEqual(orders(fleet), [])


def test_no_order_is_sent_once_the_lease_has_run_out(case):
    """Guards against a process that stands still between two steps of an order and
    acts on a lease that has ended meanwhile, which a server that checks no fencing
    number would carry out."""
    for paused, sent in (("lease", 0), ("/report", 0), ("/order", 1)):
        made, fleet, clock = balancer(case)
        _stand_still_after(made, clock, paused)
        made.step()
        clock.advance(MIN_UNBALANCED_S + 0.1)
        made.step()
        # The two servers are asked side by side.
        case.assertIn(len(orders(fleet)), (sent, 2 * sent), paused)


def _stand_still_after(made, clock, step):
    """Lets the process stand still for ten seconds after a step of an order."""
    call, acquire = made._call, made._leases.acquire

    def acquire_slowly(*args):
        lease = acquire(*args)
        clock.advance(10.0 if step == "lease" else 0.0)
        return lease

    def call_slowly(server, method, path, body):
        answer = call(server, method, path, body)
        clock.advance(10.0 if step == path else 0.0)
        return answer

    made._leases.acquire = acquire_slowly
    made._call = call_slowly


def test_server_that_carries_out_an_order_gets_no_other(case):
    """Guards against an order that another one crosses."""
    made, fleet, clock = balancer(case)
    for name in PREFILL:
        fleet.workers[name].busy = True
    made.step()
    clock.advance(MIN_UNBALANCED_S + 0.1)
    made.step()
    case.assertEqual(orders(fleet), [])
    case.assertEqual(made._ctx.switches.current(), {})


load_tests = collect(globals())
