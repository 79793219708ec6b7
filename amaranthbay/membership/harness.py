"""Discrete-event simulation of the membership protocol over a virtual network.

The property-based tests and the measurement tool use it. It does not simulate
callers, engines or load.
"""

import heapq
import itertools
import random

import msgspec

from amaranthbay.membership.events import (
    CheckPort,
    DatagramReceived,
    ListFetched,
    PortChecked,
    SendDatagram,
    Tick,
)
from amaranthbay.membership.protocol import Protocol
from amaranthbay.membership.types import Member
from amaranthbay.membership.wire import Datagram, datagram_bytes
from amaranthbay.platform.types import Instance

__all__ = ["Network", "Node"]

TICK_INTERVAL_S = 0.1
LIST_INTERVAL_S = 1.0
START_WALL_MS = 1_800_000_000_000
BASE_PORT = 10_000


class Node:
    """A simulated daemon.

    Attributes:
        name: Name of the instance.
        number: Number of the instance, from which its name and addresses derive.
        network: `Network` that the daemon belongs to.
        running: Whether the process runs; False after a kill.
        frozen: Whether the process is paused; datagrams then wait for it.
        config_version: Configuration version that the daemon has in force.
        actions: All actions that its protocol has returned.
        protocol: `Protocol` of the daemon.
    """

    def __init__(self, network, number, now):
        self.name = f"entry-{number}"
        self.number = number
        self.network = network
        self.running = True
        self.frozen = False
        self.config_version = 0
        self.actions = []
        member = Member(
            self.name,
            f"region-{number % 5}-zone-{number % 12}",
            f"region-{number % 5}",
            f"10.0.0.1:{BASE_PORT + number}",
            f"10.0.0.2:{BASE_PORT + number}",
            f"10.0.0.3:{BASE_PORT + number}",
            START_WALL_MS + int(now * 1000),
        )
        self.protocol = Protocol(
            member,
            random.Random(network.rng.random()),
            lambda: START_WALL_MS + int(network.now * 1000),
            lambda: self.config_version,
        )

    @property
    def address(self):
        """UDP ``host:port`` of the daemon."""
        return self.protocol.view.own.membership_address

    def state_of(self, name):
        """Returns the state of another daemon in this daemon's view, or None."""
        entry = self.protocol.view.roster.get(name)
        return entry.member.state if entry else None

    def list_entry(self):
        """Returns the node's entry in the instance list."""
        own = self.protocol.view.own
        return Instance(
            own.instance,
            "entry",
            own.availability_zone,
            "live",
            own.address,
            own.region,
            membership_address=own.membership_address,
            peer_address=own.peer_address,
        )


class Network:
    """Simulated daemons, their datagrams and the virtual time.

    Attributes:
        rng: `random.Random` that decides losses, delays and duplicates.
        now: Virtual time in seconds since the start.
        loss: Probability from 0 to 1 that a datagram is lost.
        duplication: Probability from 0 to 1 that a datagram is sent twice.
        delay_s: Shortest and longest delay of a datagram in seconds.
        list_available: Whether the platform returns the instance list.
        partitioned: Names of the daemons on one side of a partition.
        broken_links: Pairs of names, as frozen sets, of daemons that can't reach each
            other.
        nodes: Current `Node` of each daemon, by name.
        started: Every `Node` ever started, replaced ones included.
    """

    def __init__(self, size, seed=1):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = 0.0
        self.duplication = 0.0
        self.delay_s = (0.002, 0.02)
        self.list_available = True
        self.partitioned = set()
        self.broken_links = set()
        self._queue = []
        self._tie_breaker = itertools.count()
        self.nodes = {}
        self.started = []
        for number in range(size):
            self.start(number)

    def start(self, number):
        """Starts a daemon, or a new process of it if it was started before."""
        node = Node(self, number, self.now)
        self.nodes[node.name] = node
        self.started.append(node)
        self._schedule(self.now + self.rng.random() * TICK_INTERVAL_S, self._tick, node)
        self._schedule(self.now + 0.01, self._fetch_list, node)
        return node

    def kill(self, name):
        """Kills a daemon without a graceful shutdown."""
        self.nodes[name].running = False

    def handle(self, node, event):
        """Passes an event to a daemon and performs the resulting actions."""
        for action in node.protocol.handle(event, self.now):
            node.actions.append(action)
            if isinstance(action, SendDatagram):
                self._send(node, action)
            elif isinstance(action, CheckPort):
                self._check_port(node, action.member)

    def run(self, seconds):
        """Advances virtual time by some seconds."""
        end_time = self.now + seconds
        while self._queue and self._queue[0][0] <= end_time:
            event_time, _, callback, args = heapq.heappop(self._queue)
            self.now = max(self.now, event_time)
            callback(*args)
        self.now = end_time

    def run_until(self, condition, timeout_s):
        """Advances virtual time until a condition holds.

        Returns:
            The seconds that passed, or None after ``timeout_s``.
        """
        start_time = self.now
        while self.now < start_time + timeout_s:
            if condition():
                return self.now - start_time
            self.run(TICK_INTERVAL_S)
        return None

    def _schedule(self, event_time, callback, *args):
        heapq.heappush(
            self._queue, (event_time, next(self._tie_breaker), callback, args)
        )

    def _tick(self, node):
        if not node.running:
            return
        if not node.frozen:
            self.handle(node, Tick())
        self._schedule(self.now + TICK_INTERVAL_S, self._tick, node)

    def _fetch_list(self, node):
        if not node.running:
            return
        if self.list_available and not node.frozen:
            running = [other for other in self.nodes.values() if other.running]
            entries = tuple(other.list_entry() for other in running)
            self.handle(node, ListFetched(entries))
        self._schedule(self.now + LIST_INTERVAL_S, self._fetch_list, node)

    def _send(self, node, action):
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                delay = self.rng.uniform(*self.delay_s)
                self._schedule(self.now + delay, self._deliver, node, action)

    def _deliver(self, sender, action):
        target = self._node_at(action.address)
        if target is None or not target.running or self._is_unreachable(sender, target):
            return
        if target.frozen:
            self._schedule(self.now + TICK_INTERVAL_S, self._deliver, sender, action)
            return
        size = datagram_bytes(len(action.payload))
        datagram = _decode_payload(action.payload)
        self.handle(target, DatagramReceived(sender.address, datagram, size))

    def _check_port(self, node, member):
        target = self._node_at(member.membership_address)
        if target is not None and self._is_unreachable(node, target):
            return
        refused = target is None or not target.running
        event = PortChecked(member.instance, member.incarnation, refused)
        self._schedule(self.now + 0.01, self.handle, node, event)

    def _node_at(self, address):
        number = int(address.rpartition(":")[2]) - BASE_PORT
        return self.nodes.get(f"entry-{number}")

    def _is_unreachable(self, first, second):
        if frozenset((first.name, second.name)) in self.broken_links:
            return True
        return (first.name in self.partitioned) != (second.name in self.partitioned)


def _decode_payload(payload):
    return _decoder.decode(payload)


_decoder = msgspec.msgpack.Decoder(Datagram)
