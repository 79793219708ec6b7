"""Drives protocol state machines over a virtual network, without real time.

Used by the property-based tests and by the measurement tool. Nothing here models
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
    """One virtual daemon."""

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
        """UDP address."""
        return self.protocol.view.own.membership_address

    def state_of(self, name):
        """Returns the state in which this daemon holds another, or None."""
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
    """Virtual daemons, time and datagrams.

    Attributes:
        loss: Share of the datagrams that are lost.
        duplication: Share of the datagrams that arrive twice.
        delay_s: Shortest and longest delay.
        has_list: Whether the platform answers.
        cut: Daemons on one side of a partition.
        cut_links: Pairs of daemons that can't reach each other.
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
        self._order = itertools.count()
        self.nodes = {}
        self.started = []
        for number in range(size):
            self.start(number)

    def start(self, number):
        """Starts a daemon, as a new process if it ran before."""
        node = Node(self, number, self.now)
        self.nodes[node.name] = node
        self.started.append(node)
        self._schedule(self.now + self.rng.random() * TICK_INTERVAL_S, self._tick, node)
        self._schedule(self.now + 0.01, self._fetch_list, node)
        return node

    def kill(self, name):
        """Ends a daemon at once."""
        self.nodes[name].running = False

    def handle(self, node, event):
        """Gives an event to a daemon and performs what follows."""
        for action in node.protocol.handle(event, self.now):
            node.actions.append(action)
            if isinstance(action, SendDatagram):
                self._send(node, action)
            elif isinstance(action, CheckPort):
                self._check_port(node, action.member)

    def run(self, seconds):
        """Lets virtual time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            event_time, _, callback, args = heapq.heappop(self._queue)
            self.now = max(self.now, event_time)
            callback(*args)
        self.now = end

    def run_until(self, condition, timeout_s):
        """Lets time pass until a condition holds; returns the time or None."""
        start = self.now
        while self.now < start + timeout_s:
            if condition():
                return self.now - start
            self.run(TICK_INTERVAL_S)
        return None

    def _schedule(self, time, callback, *args):
        heapq.heappush(self._queue, (time, next(self._order), callback, args))

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
            running = [each for each in self.nodes.values() if each.running]
            entries = tuple(each.list_entry() for each in running)
            self.handle(node, ListFetched(entries))
        self._schedule(self.now + LIST_INTERVAL_S, self._fetch_list, node)

    def _send(self, node, action):
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                delay = self.rng.uniform(*self.delay_s)
                self._schedule(self.now + delay, self._arrive, node, action)

    def _arrive(self, sender, action):
        target = self._node_at(action.address)
        if target is None or not target.running or self._is_unreachable(sender, target):
            return
        if target.frozen:
            self._schedule(self.now + TICK_INTERVAL_S, self._arrive, sender, action)
            return
        size = datagram_bytes(len(action.payload))
        datagram = _decode(action.payload)
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


def _decode(payload):
    return _decoder.decode(payload)


_decoder = msgspec.msgpack.Decoder(Datagram)
