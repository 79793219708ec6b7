"""Moves model servers between the prefill and the decode pool as the load asks."""

import gevent

from amaranthbay.observe import log_decision, log_event
from amaranthbay.relay.codec import StageOrder
from amaranthbay.relay.exchange import control_exchange
from amaranthbay.relay.pools import plan_prefill_servers
from amaranthbay.routing import Stage

__all__ = ["StageBalancer"]

LEASE_NAME = "stages"
STEP_S = 1.0
CALL_TIMEOUT_S = 0.5
# A second order fits into the window after one whose answer took the whole time.
ORDER_TRIES = 2
# Statuses from here on say that the order is not carried out.
REFUSED_STATUS = 300
# Orders are sent in the first part of a lease only, so that those of two holders lie
# further apart than the bound of the platform.
ORDER_WINDOW_S = 2.0
# A pool must be out of balance for this long: servers that crash are often back
# sooner. Each further instance in order of name waits longer, as the first one may
# not reach the store.
UNBALANCED_S = 2.0
RANK_S = 0.5


class StageBalancer:
    """Gives stage orders while it holds a lease with a fencing number."""

    def __init__(self, ctx, configuration, leases, meter, instance, turn_s):
        """Creates the balancer.

        Args:
            ctx: `RelayContext`.
            configuration: `ConfigurationView`.
            leases: `LeaseStore`.
            meter: `DemandMeter`.
            instance: Name of this instance.
            turn_s: Least time between the orders of two holders.
        """
        self._ctx = ctx
        self._configuration = configuration
        self._leases = leases
        self._meter = meter
        self._instance = instance
        self._turn_s = turn_s
        self._unbalanced_at = {}
        self._ordered_at = {}
        self._plans = {}

    def run(self):
        """Balances all services until killed."""
        while True:
            self._ctx.clock.sleep(STEP_S)
            self.step()

    def step(self):
        """Looks at each service with model servers once."""
        table = self._configuration.table
        for service in table.services.values() if table else ():
            if service.engine is not None and service.engine.stage_switch_s > 0:
                self._balance(service)

    def _balance(self, service):
        now = self._ctx.clock.monotonic()
        pause_s = self._turn_s + ORDER_WINDOW_S
        if now - self._ordered_at.get(service.name, -pause_s) < pause_s:
            return
        move = self._wanted_move(service)
        if move is None:
            self._unbalanced_at.pop(service.name, None)
            return
        since = self._unbalanced_at.setdefault(service.name, now)
        if now - since < UNBALANCED_S + RANK_S * self._rank():
            return
        self._order(service, *move)

    def _rank(self):
        """Returns the place of this instance among those that serve callers.

        They report most often, and so which servers they have ordered to switch.
        """
        names = sorted(self._ctx.peers.chosen_names())
        if self._instance not in names:
            return len(names)
        return names.index(self._instance)

    def _wanted_move(self, service):
        """Returns the stage to move servers to and their number, or None."""
        demand = self._meter.demand(service.name)
        if demand is None:
            return None
        prefill = self._count(service, Stage.PREFILL)
        decode = self._count(service, Stage.DECODE)
        wanted = plan_prefill_servers(prefill, decode, demand)
        plan = (prefill, decode, wanted)
        if plan != self._plans.get(service.name):
            self._plans[service.name] = plan
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

    def _order(self, service, stage, count):
        lease = self._leases.acquire(LEASE_NAME, self._turn_s + ORDER_WINDOW_S)
        if lease is None:
            return
        self._ordered_at[service.name] = self._ctx.clock.monotonic()
        self._unbalanced_at.pop(service.name, None)
        source = Stage.PREFILL if stage is Stage.DECODE else Stage.DECODE
        candidates = sorted(
            self._ctx.candidates(service.name, source),
            key=lambda each: (each.memory_tokens + each.prefill_tokens),
        )
        # A pool that is too large can spare all; the one that binds gives half at a
        # time, since a server that switches serves neither pool.
        spared = count if stage is Stage.DECODE else max(1, count // 2)
        moved = candidates[:spared]
        log_decision(
            "stage",
            ",".join(each.server.name for each in moved),
            (each.server.name for each in candidates),
            "the pools do not fit the load",
            service=service.name,
            stage=stage,
            fence=lease.fence,
        )
        jobs = [
            gevent.spawn(self._move, each.server, stage, lease, service)
            for each in moved
        ]
        gevent.joinall(jobs)

    def _count(self, service, stage):
        """Returns the servers of a pool; those that switch count where they will be."""
        switching = self._ctx.peers.switching() | self._ctx.switches.current()
        known = {each.name for each in self._ctx.backends.usable(service.name)}
        arriving = [
            name
            for name, target in switching.items()
            if target == stage.value and name in known
        ]
        return len(self._ctx.candidates(service.name, stage)) + len(arriving)

    def _move(self, server, stage, lease, service):
        """Orders one server into a pool, again if the first answer is lost.

        Both orders name the number of orders that the server has accepted, so that it
        carries out one of them at most, however late they arrive.
        """
        found = self._call(server, *self._ctx.codec.report_request(), b"")
        report = found.and_then(lambda answer: self._ctx.codec.read_report(answer[1]))
        if report.is_err() or report.unwrap().switching:
            log_event(
                "order_not_sent",
                level="warning",
                backend_server=server.name,
                detail=report.err() or "an order is being carried out",
            )
            return
        order = StageOrder(stage, self._instance, lease.fence, report.unwrap().orders)
        for _ in range(ORDER_TRIES):
            if not self._leases.is_held(lease, self._turn_s):
                return
            answer = self._call(server, *self._ctx.codec.order_request(order))
            self._note_order(server, order, answer)
            if answer.is_ok():
                if answer.unwrap()[0] < REFUSED_STATUS:
                    switch_s = service.engine.stage_switch_s
                    self._ctx.switches.note(server.name, stage, switch_s)
                return

    def _note_order(self, server, order, answer):
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
