"""Orders to engines: a desired state, given by one daemon at a time.

Engines that check fencing numbers refuse the orders of an earlier holder. For the
others a new holder waits until the earlier one can't send any more. An order that
is delayed beyond that wait can still arrive; the next round puts it right.
"""

import uuid
from dataclasses import asdict, dataclass

import msgspec

from amaranthbay.observe import log_decision
from amaranthbay.utils.http import json_exchange

__all__ = ["EngineOrders", "EngineSetup", "Order", "OrderGiver", "missing_orders"]

LEASE_NAME = "orders"
LEASE_S = 10.0
SEND_TIMEOUT_S = 2.0
ACTIONS = {
    "model": "load_model",
    "adapter": "load_adapter",
    "version": "load_version",
    "role": "change_role",
}


@dataclass(frozen=True)
class EngineSetup:
    """What an engine has loaded and what it does."""

    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""


@dataclass(frozen=True)
class Order:
    """One order; its fencing number is that of the lease it is given under."""

    order_id: str
    fence: int
    action: str
    target: str


class _OrdersReply(msgspec.Struct):
    setup: EngineSetup


def missing_orders(actual, desired, fence):
    """Returns the orders that take an engine from one setup to another.

    Examples:
        >>> orders = missing_orders(EngineSetup("a"), EngineSetup("b"), 3)
        >>> [(order.action, order.target) for order in orders]
        [('load_model', 'b')]
    """
    now, wanted = asdict(actual), asdict(desired)
    return [
        Order(uuid.uuid4().hex, fence, action, wanted[name])
        for name, action in ACTIONS.items()
        if wanted[name] != now[name]
    ]


class EngineOrders:
    """Sends orders over HTTP and reads back what came of them."""

    def read(self, server):
        """Returns the engine's `EngineSetup`, or None if it doesn't answer."""
        outcome = json_exchange(
            server.address, "GET", "/orders", timeout_s=SEND_TIMEOUT_S
        )
        if outcome.is_err() or outcome.unwrap()[0] != 200:
            return None
        try:
            return msgspec.json.decode(outcome.unwrap()[1], type=_OrdersReply).setup
        except msgspec.DecodeError:
            return None

    def send(self, server, order):
        """Sends an order; only reading back tells whether it took effect."""
        body = msgspec.json.encode(order)
        json_exchange(server.address, "POST", "/orders", body, timeout_s=SEND_TIMEOUT_S)


class OrderGiver:
    """Brings engines to their desired state while it holds the lease."""

    def __init__(self, leases, engines, clock, checks_fence):
        """Creates the giver.

        Args:
            leases: `LeaseStore`.
            engines: `EngineOrders`.
            clock: `Clock`.
            checks_fence: Function of a `BackendServer` that returns whether its
                engine refuses orders with an old fencing number.
        """
        self._leases = leases
        self._engines = engines
        self._clock = clock
        self._checks_fence = checks_fence
        self._lease = None
        self._quiet_until = 0.0

    def step(self, desired):
        """Does one round; the caller repeats it.

        Args:
            desired: `EngineSetup` by `BackendServer`.

        Returns:
            Whether all engines were read back in their desired state.
        """
        if not self._hold_lease():
            return False
        return all([self._converge(*entry) for entry in desired.items()])

    def _hold_lease(self):
        held = self._lease
        if held is not None and self._leases.is_held(held, LEASE_S / 2):
            return True
        if held is not None:
            self._lease = self._leases.renew(held, LEASE_S)
        if self._lease is None:
            self._lease = self._leases.acquire(LEASE_NAME, LEASE_S)
            self._wait_for_earlier_holder()
        return self._lease is not None

    def _wait_for_earlier_holder(self):
        if self._lease is not None and self._lease.fence > 1:
            wait_s = self._lease.previous_s + SEND_TIMEOUT_S
            self._quiet_until = self._clock.monotonic() + wait_s

    def _converge(self, server, setup):
        actual = self._engines.read(server)
        if actual is None:
            return False
        for order in missing_orders(actual, setup, self._lease.fence):
            if not self._may_send(server):
                return False
            self._engines.send(server, order)
            log_decision(
                "order",
                server.instance,
                [server.instance],
                "differs from the desired state",
                action=order.action,
                fence=order.fence,
            )
        return actual == setup or self._engines.read(server) == setup

    def _may_send(self, server):
        """Checks the lease before each send, with time for the send itself."""
        if not self._leases.is_held(self._lease, SEND_TIMEOUT_S):
            return False
        if self._checks_fence(server):
            return True
        return self._clock.monotonic() >= self._quiet_until
