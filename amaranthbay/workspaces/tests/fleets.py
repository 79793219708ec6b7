"""A fleet of instances without a network: real reports, buckets and a manual clock."""

import random
from collections import deque
from dataclasses import dataclass

import msgspec

from amaranthbay.daemon.lookup import choose_instances
from amaranthbay.fleet.peers import (
    MIN_REPORT_INTERVAL_S,
    OwnReport,
    Peers,
    Registration,
)
from amaranthbay.fleet.reports import PeerStatus, encode_datagram
from amaranthbay.utils.testing import ManualClock
from amaranthbay.workspaces import QuotaUnit, Workspace
from amaranthbay.workspaces.buckets import QuotaBounds
from amaranthbay.workspaces.quotas import Quotas
from amaranthbay.workspaces.shares import FleetShares

__all__ = [
    "BOUNDS",
    "RATE",
    "REQUEST",
    "STOP_S",
    "Fleet",
    "largest_window",
    "workspace",
]

STEP_S = 0.005
LATENCY_S = 0.005
STOP_S = 5.0
ZONES = 3
RATE = 280_000
# One second of the rate is some 20 requests.
REQUEST = RATE // 20
BOUNDS = QuotaBounds(8.0, 0.1, RATE / 2)


def workspace(rate=RATE, burst=None, name="north"):
    """Returns a workspace with a quota in tokens."""
    burst = rate if burst is None else burst
    return Workspace(name, rate_per_s=rate, burst=burst, unit=QuotaUnit.TOKENS)


@dataclass(frozen=True)
class Passed:
    """A request that passed its quota."""

    at: float
    name: str
    units: int


class Node:
    """One process of an instance."""

    def __init__(self, fleet, name, number, registrations):
        self.name = name
        self.frozen = False
        self.sent_at = self.full_at = fleet.clock.monotonic()
        self.requested = False
        own = next(row for row in registrations if row.instance == name)
        self.peers = Peers(
            own,
            fleet.clock,
            OwnReport,
            lambda: False,
            number,
            choose_instances,
            lambda status: self.quotas.merge(status),
            own_usage=lambda only_changes: self.quotas.report(only_changes),
        )
        for row in registrations:
            self.peers._registered[row.instance] = row
        self.peers.is_table_read = self.peers.serving = True
        self.quotas = Quotas(
            fleet.clock,
            FleetShares(fleet.clock, self.peers, choose_instances, lambda: STOP_S),
            number,
            lambda: BOUNDS,
            fleet.workspaces.get,
            fleet.rng,
            fleet.clock.monotonic,
            self._request_report,
            self.peers.join,
        )

    def _request_report(self):
        self.peers.report_soon()
        self.requested = True

    def next_datagrams(self, now):
        """Returns pairs of recipients and the datagrams for them that are due."""
        if now - self.sent_at < MIN_REPORT_INTERVAL_S:
            return []
        joins = self.peers.take_join()
        if joins or now - self.full_at >= self.peers.interval_s():
            self.sent_at = self.full_at = now
            recipients = None if joins else self.peers._recipients()
            names = self.peers._registered if recipients is None else recipients
            return self.peers.split_by_recipients(names, self.peers.next_report())
        if not self.requested and not self.peers._report_requested.is_set():
            return []
        self.sent_at, self.requested = now, False
        self.peers._report_requested.clear()
        recipients, status = self.peers.take_changes()
        return self.peers.split_by_recipients(recipients, status)


class Fleet:
    """Instances that exchange reports with a delay; links may be cut or lossy."""

    def __init__(self, count=9, seed=1, limits=(workspace(),), gone=0):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.workspaces = {limit.name: limit for limit in limits}
        self.registrations = [
            Registration(f"entry-{index}", f"zone-{index % ZONES}", "r", "a:1", "b:1")
            for index in range(count + gone)
        ]
        self.nodes = {}
        self.groups = {}
        self.cut_directions = frozenset()
        self.loss = 0.0
        self.late_s = 0.0
        self.passed = []
        self.refused = []
        # `Passed` of each request that passed, with the instance that served it.
        self.charges = []
        self.datagrams = self.sent_bytes = 0
        self._on_way = deque()
        for row in self.registrations[:count]:
            self.restart(row.instance)

    def restart(self, name):
        """Starts an instance, or replaces its process."""
        number = self.rng.getrandbits(63)
        self.nodes[name] = Node(self, name, number, self.registrations)

    def cut(self, groups):
        """Cuts the links between groups of names; names in none are together."""
        self.groups = {
            name: index for index, names in enumerate(groups) for name in names
        }

    def cut_links(self, directions):
        """Cuts links in some directions only, each a pair of sender and recipient."""
        self.cut_directions = frozenset(directions)

    def charge(self, name, units=REQUEST, limit="north"):
        """Sends a request to an instance; returns its ``Result``."""
        result = self.nodes[name].quotas.charge(self.workspaces[limit], units)
        kind = self.passed if result.is_ok() else self.refused
        kind.append((self.clock.monotonic(), units))
        if result.is_ok():
            self.charges.append(Passed(self.clock.monotonic(), name, units))
        return result

    def run(self, seconds, act=lambda: None):
        """Lets time pass; calls ``act`` in each step."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self._deliver()
            for node in list(self.nodes.values()):
                if not node.frozen:
                    node.quotas._look()
                    self._send(node)
            act()

    def _send(self, node):
        now = self.clock.monotonic()
        for recipients, datagrams in node.next_datagrams(now):
            frames = [encode_datagram(datagram) for datagram in datagrams]
            self._send_frames(node, recipients, frames, now)

    def _send_frames(self, node, recipients, frames, now):
        for name in sorted(recipients):
            for frame in frames if name != node.name else ():
                self.datagrams += 1
                self.sent_bytes += len(frame)
                if self.rng.random() >= self.loss:
                    due = now + LATENCY_S + self.late_s * self.rng.random()
                    self._on_way.append((due, node.name, name, frame))

    def _deliver(self):
        now, waiting = self.clock.monotonic(), deque()
        while self._on_way:
            due, sender, name, frame = self._on_way.popleft()
            node = self.nodes.get(name)
            if due > now or (node is not None and node.frozen):
                waiting.append((due, sender, name, frame))
            elif node is not None and self._linked(sender, name):
                node.peers.receive(msgspec.msgpack.decode(frame, type=PeerStatus))
        self._on_way = waiting

    def _linked(self, one, other):
        if (one, other) in self.cut_directions:
            return False
        return self.groups.get(one) == self.groups.get(other)


def largest_window(passed, window_s=8.0):
    """Returns the most units that have passed within a window."""
    largest, first, total = 0, 0, 0
    for at, units in passed:
        total += units
        while passed[first][0] < at - window_s:
            total -= passed[first][1]
            first += 1
        largest = max(largest, total)
    return largest
