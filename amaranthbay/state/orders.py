"""Orders that bring engines to a desired state, sent by one daemon at a time.

Engines that check fencing numbers refuse the orders of an earlier lease holder. For the
other engines, a new holder waits until the earlier one can no longer send. An order
that is delayed beyond that wait can still arrive; the next round corrects its effect.
"""

import uuid
from dataclasses import asdict, dataclass

import msgspec

from amaranthbay.observe import log_decision
from amaranthbay.utils.decoding import decode_json
from amaranthbay.utils.http import exchange_whole

__all__ = ["EngineOrders", "EngineReconciler", "EngineSetup", "Order", "missing_orders"]

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
    """What an engine has loaded, and its role.

    Attributes:
        model: Name of the model.
        adapter: Name of the adapter.
        version: Version that is loaded.
        role: ``"prefill"`` or ``"decode"``.
    """

    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""


@dataclass(frozen=True)
class Order:
    """Order to change one part of an engine's setup.

    Attributes:
        order_id: Unique ID of the order.
        fence: Fencing number of the lease under which the order is sent.
        action: What to do, one of the values of `ACTIONS`.
        target: New value of the part that the action changes.
    """

    order_id: str
    fence: int
    action: str
    target: str


class _OrdersReply(msgspec.Struct):
    setup: EngineSetup


def missing_orders(actual, desired, fence):
    """Returns the orders that change an engine's actual setup to the desired one.

    Args:
        actual: `EngineSetup` of the engine.
        desired: `EngineSetup` to reach.
        fence: Fencing number of the orders.

    Examples:
        >>> orders = missing_orders(EngineSetup("a"), EngineSetup("b"), 3)
        >>> [(order.action, order.target) for order in orders]
        [('load_model', 'b')]
    """
    actual_values, desired_values = asdict(actual), asdict(desired)
    return [
        Order(uuid.uuid4().hex, fence, action, desired_values[name])
        for name, action in ACTIONS.items()
        if desired_values[name] != actual_values[name]
    ]


class EngineOrders:
    """Client of the engines' order interface over HTTP."""

    def read(self, server):
        """Returns the engine's `EngineSetup`, or None without a usable answer."""
        outcome = exchange_whole(
            server.address, "GET", "/orders", timeout_s=SEND_TIMEOUT_S
        )
        if outcome.is_err() or outcome.unwrap()[0] != 200:
            return None
        reply = decode_json(outcome.unwrap()[1], _OrdersReply)
        return reply.unwrap().setup if reply.is_ok() else None

    def send(self, server, order):
        """Sends an order; only a later `read` tells whether it took effect."""
        body = msgspec.json.encode(order)
        exchange_whole(
            server.address, "POST", "/orders", body, timeout_s=SEND_TIMEOUT_S
        )


class EngineReconciler:
    """Brings engines to their desired setup while this daemon holds the lease."""

    def __init__(self, leases, engines, clock, checks_fence):
        """Creates the reconciler.

        Args:
            leases: `LeaseStore` of this daemon.
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
        """Reads all engines once and sends the orders that they need.

        The caller repeats this periodically.

        Args:
            desired: `EngineSetup` by `BackendServer`.

        Returns:
            Whether the lease is held and all engines have their desired setup.
        """
        if not self._hold_lease():
            return False
        return all([self._reconcile(*entry) for entry in desired.items()])

    def _hold_lease(self):
        """Renews or acquires the lease; returns whether it is held."""
        lease = self._lease
        if lease is not None and self._leases.is_held(lease, LEASE_S / 2):
            return True
        if lease is not None:
            self._lease = self._leases.renew(lease, LEASE_S)
        if self._lease is None:
            self._lease = self._leases.acquire(LEASE_NAME, LEASE_S)
            self._start_quiet_period()
        return self._lease is not None

    def _start_quiet_period(self):
        """Starts the time in which an earlier holder may still send orders."""
        if self._lease is not None and self._lease.fence > 1:
            wait_s = self._lease.previous_duration_s + SEND_TIMEOUT_S
            self._quiet_until = self._clock.monotonic() + wait_s

    def _reconcile(self, server, desired):
        """Sends one engine's orders; returns whether it has the desired setup."""
        actual = self._engines.read(server)
        if actual is None:
            return False
        for order in missing_orders(actual, desired, self._lease.fence):
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
        return actual == desired or self._engines.read(server) == desired

    def _may_send(self, server):
        """Returns whether an order may be sent now.

        The lease must outlast the send. If the engine ignores fencing numbers, an
        earlier holder must also have stopped sending.
        """
        if not self._leases.is_held(self._lease, SEND_TIMEOUT_S):
            return False
        if self._checks_fence(server):
            return True
        return self._clock.monotonic() >= self._quiet_until
