"""Moves model servers between the prefill and decode pools to fit the load."""

from collections import Counter

import gevent

from amaranthbay.observe import log_decision, log_event
from amaranthbay.relay.codec import StageOrder
from amaranthbay.relay.exchange import control_exchange
from amaranthbay.relay.pools import plan_prefill_servers
from amaranthbay.routing import Stage

__all__ = ["StageBalancer"]

LEASE_NAME = "stages"
STEP_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 0.5
# A second attempt fits into the window even if the first one has timed out.
MAX_ORDER_ATTEMPTS = 2
# HTTP statuses from here on mean that the server doesn't carry out the order.
MIN_REFUSED_STATUS = 300
# Orders are sent only in this first part of a lease, so that the orders of two holders
# are further apart than the platform's minimum.
ORDER_WINDOW_S = 2.0
# The pools must be out of balance for this long before servers move, since crashed
# servers are often back sooner. Each further chosen instance, in order of name, waits
# longer by the rank delay; it takes over if the ones before it can't reach the store.
MIN_UNBALANCED_S = 2.0
RANK_DELAY_S = 0.5


class StageBalancer:
    """Orders model servers into another stage while it holds a lease with a fence.

    Each order carries the fencing number of the lease, so that servers can reject the
    orders of an earlier holder.
    """

    def __init__(self, ctx, configuration, leases, meter, instance, min_order_gap_s):
        """Creates the balancer.

        Args:
            ctx: `RelayContext`.
            configuration: `ConfigurationView` that names the services.
            leases: `LeaseStore` that grants the lease.
            meter: `DemandMeter` that measures the load.
            instance: Name of this instance.
            min_order_gap_s: Minimum seconds between the orders of two holders of the
                lease.
        """
        self._ctx = ctx
        self._configuration = configuration
        self._leases = leases
        self._meter = meter
        self._instance = instance
        self._min_order_gap_s = min_order_gap_s
        self._unbalanced_since = {}
        self._ordered_at = {}
        self._logged_plans = {}

    def run(self):
        """Balances all services until killed."""
        while True:
            self._ctx.clock.sleep(STEP_INTERVAL_S)
            self.step()

    def step(self):
        """Balances each service with model servers once."""
        table = self._configuration.table
        for service in table.services.values() if table else ():
            if service.engine is not None and service.engine.stage_switch_s > 0:
                self._balance(service)

    def _balance(self, service):
        """Orders servers to move if the pools have been out of balance for long."""
        now = self._ctx.clock.monotonic()
        cooldown_s = self._min_order_gap_s + ORDER_WINDOW_S
        if now - self._ordered_at.get(service.name, -cooldown_s) < cooldown_s:
            return
        move = self._plan_move(service)
        if move is None:
            self._unbalanced_since.pop(service.name, None)
            return
        unbalanced_since = self._unbalanced_since.setdefault(service.name, now)
        if now - unbalanced_since < MIN_UNBALANCED_S + RANK_DELAY_S * self._rank():
            return
        self._order_servers(service, *move)

    def _rank(self):
        """Returns the rank of this instance by name among the chosen instances.

        The chosen instances report most often, and so also report soonest which servers
        they have ordered to switch.
        """
        names = sorted(self._ctx.peers.chosen_names())
        if self._instance not in names:
            return len(names)
        return names.index(self._instance)

    def _plan_move(self, service):
        """Returns the target stage and the number of servers to move, or None."""
        demand = self._meter.demand(service.name)
        if demand is None:
            return None
        prefill = self._count(service, Stage.PREFILL)
        decode = self._count(service, Stage.DECODE)
        wanted = plan_prefill_servers(prefill, decode, demand)
        plan = (prefill, decode, wanted)
        if plan != self._logged_plans.get(service.name):
            self._logged_plans[service.name] = plan
            log_event(
                "stage_plan",
                service=service.name,
                prefill=prefill,
                decode=decode,
                wanted_prefill=wanted,
                prefill_s=round(demand.prefill_s, 3),
                decode_s=round(demand.decode_s, 3),
            )
        if prefill > wanted:
            return Stage.DECODE, prefill - wanted
        if prefill < wanted:
            return Stage.PREFILL, wanted - prefill
        return None

    def _order_servers(self, service, stage, count):
        """Orders up to ``count`` servers into a stage if the lease is granted."""
        lease = self._leases.acquire(LEASE_NAME, self._min_order_gap_s + ORDER_WINDOW_S)
        if lease is None:
            return
        self._ordered_at[service.name] = self._ctx.clock.monotonic()
        self._unbalanced_since.pop(service.name, None)
        source = Stage.PREFILL if stage is Stage.DECODE else Stage.DECODE
        candidates = sorted(
            self._ctx.candidates(service.name, source),
            key=lambda candidate: (candidate.memory_tokens + candidate.prefill_tokens),
        )
        if source is Stage.DECODE:
            candidates = _without_last_of_version(candidates)
        # The prefill pool gives all surplus servers at once. The decode pool, which is
        # the bottleneck, gives half of them at a time, since a server that switches
        # serves neither pool.
        order_count = count if stage is Stage.DECODE else max(1, count // 2)
        ordered = candidates[:order_count]
        log_decision(
            "stage",
            ",".join(candidate.server.name for candidate in ordered),
            (candidate.server.name for candidate in candidates),
            "the pools do not fit the load",
            service=service.name,
            stage=stage,
            fence=lease.fence,
        )
        jobs = [
            gevent.spawn(self._order_server, candidate.server, stage, lease, service)
            for candidate in ordered
        ]
        gevent.joinall(jobs)

    def _count(self, service, stage):
        """Returns the number of servers of a pool, with those that switch into it."""
        switching = self._ctx.peers.switching() | self._ctx.switches.switching()
        usable = {server.name for server in self._ctx.backends.usable(service.name)}
        arriving = [
            name
            for name, target in switching.items()
            if target == stage.value and name in usable
        ]
        return len(self._ctx.candidates(service.name, stage)) + len(arriving)

    def _order_server(self, server, stage, lease, service):
        """Orders one server into a stage, again if the first answer is lost.

        Both attempts state how many orders the server has accepted so far. It carries
        out at most one of them, however late they arrive.
        """
        reply = self._call(server, *self._ctx.codec.report_request(), b"")
        report = reply.and_then(lambda answer: self._ctx.codec.read_report(answer[1]))
        if report.is_err() or report.unwrap().switching:
            log_event(
                "order_not_sent",
                level="warning",
                backend_server=server.name,
                detail=report.err() or "an order is being carried out",
            )
            return
        order = StageOrder(
            stage, self._instance, lease.fence, report.unwrap().accepted_orders
        )
        for _ in range(MAX_ORDER_ATTEMPTS):
            if not self._leases.is_held(lease, self._min_order_gap_s):
                return
            answer = self._call(server, *self._ctx.codec.order_request(order))
            self._log_order(server, order, answer)
            if answer.is_ok():
                if answer.unwrap()[0] < MIN_REFUSED_STATUS:
                    switch_s = service.engine.stage_switch_s
                    self._ctx.switches.note(server.name, stage, switch_s)
                return

    def _log_order(self, server, order, answer):
        log_event(
            "order_sent",
            backend_server=server.name,
            stage=order.stage,
            fence=order.fence,
            status=answer.unwrap()[0] if answer.is_ok() else None,
            detail=answer.err(),
        )

    def _call(self, server, method, path, body):
        """Returns ``Result[tuple[int, bytes], str]``: status and body."""
        return control_exchange(
            self._ctx.connections,
            self._ctx.codec,
            server,
            method,
            path,
            body,
            CALL_TIMEOUT_S,
            (self._ctx.codec.expect_server(server.name),),
        )


def _without_last_of_version(candidates):
    """Returns the candidates without the most loaded one of each software version.

    Streams that began at a version can go on only at a decode server of it.

    Args:
        candidates: `Candidate` of each decode server, the least loaded first.
    """
    left = Counter(candidate.server.version for candidate in candidates)
    surplus = []
    for candidate in candidates:
        if left[candidate.server.version] > 1:
            left[candidate.server.version] -= 1
            surplus.append(candidate)
    return surplus
