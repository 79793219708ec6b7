"""A `StreamQueue` with the real views of servers and peers, without a network."""

import random
from dataclasses import dataclass
from types import SimpleNamespace

import msgspec
from result import Ok

from amaranthbay.fleet.backends import BackendPool
from amaranthbay.fleet.health import StoreHealth
from amaranthbay.fleet.peers import OwnReport, Peers, Registration
from amaranthbay.fleet.reports import PeerStatus
from amaranthbay.fleet.tables import ChangedRow
from amaranthbay.relay.calls import Call
from amaranthbay.relay.codec import CallHead
from amaranthbay.relay.context import RelayContext
from amaranthbay.relay.demand import DemandMeter
from amaranthbay.relay.handles import HandleRecord
from amaranthbay.relay.limits import ServerLimits
from amaranthbay.relay.outcomes import ServerOutcomes
from amaranthbay.relay.pauses import ServerPauses
from amaranthbay.relay.placed_load import PlacedLoad
from amaranthbay.relay.placing import StreamQueue
from amaranthbay.relay.switches import SwitchRecord
from amaranthbay.routing import (
    BackendServer,
    CallKind,
    Engine,
    Route,
    Service,
    Stage,
    WeightedService,
)
from amaranthbay.utils.testing import ManualClock

__all__ = ["QueueFixture", "make_call"]

MEMORY_TOKENS, PREFILL_SERVERS = 26_000, 20
SHARES = (WeightedService("lm", 1.0),)
ROUTE = Route("r", "h", "/", CallKind.STREAM, SHARES, 14.0, target_s=1.0)
LM = Service("lm", 64, Engine(slots=64, memory_tokens=MEMORY_TOKENS))
# Targets in seconds, by priority.
TARGETS = {0: 0.8, 1: 1.0, 2: 2.0}


def make_call(priority, now, prompt_tokens=2900, deadline_s=14.0, target_s=None):
    """Returns a `Call` that arrives at a monotonic time."""
    route = Route(
        *("r", "h", "/", CallKind.STREAM, SHARES, 14.0),
        target_s=target_s or TARGETS[priority],
        priority=priority,
    )
    head = CallHead(
        "a",
        prompt_tokens=prompt_tokens,
        max_output_tokens=900,
        deadline_s=deadline_s,
    )
    ends_at = now + deadline_s
    return Call("a", b"", b"", (), b"", False, head, route, LM, now, ends_at)


def _decode(name, value):
    stage, zone = value.decode().split()
    return Ok(BackendServer(name, "lm", "", zone, stage=Stage(stage), slots=64))


@dataclass
class QueueFixture:
    """A queue whose placements nobody runs.

    Attributes:
        servers: Number of model servers; `PREFILL_SERVERS` of them, or half if they
            are fewer, are prefill servers.
        peers_count: Number of other instances.
        priorities: Priorities of the service's requests.
    """

    servers: int = 4
    peers_count: int = 0
    priorities: tuple = (0, 1, 2)

    def __post_init__(self):
        self.clock = ManualClock()
        self.clock.advance(100.0)
        own = Registration("entry-0", "zone-0", "region", "entry-0:80", "")
        self.peers = Peers(own, self.clock, OwnReport, bool, 1)
        names = [f"entry-{number}" for number in range(1, self.peers_count + 1)]
        self.peers.apply(
            [
                ChangedRow(
                    name,
                    1,
                    msgspec.json.encode(
                        Registration(
                            name, "zone-0", "region", f"{name}:80", "127.0.0.1:9"
                        )
                    ),
                )
                for name in names
            ]
        )
        health = StoreHealth(self.clock)
        self.backends = BackendPool(_decode, self.clock, health)
        prefill = min(PREFILL_SERVERS, self.servers // 2)
        stages = ["prefill"] * prefill + ["decode"] * (self.servers - prefill)
        self.names = [f"{stage[:3]}-{n}" for n, stage in enumerate(stages)]
        self.backends.replace(
            [
                ChangedRow(name, 1, f"{stage} zone-{n % 3}".encode())
                for n, (name, stage) in enumerate(zip(self.names, stages))
            ]
        )
        self.placed_load = PlacedLoad()
        versions = SimpleNamespace(registered_only=lambda service, servers: servers)
        pairs = tuple((priority, priority) for priority in self.priorities)
        self.ctx = RelayContext(
            clock=self.clock,
            rng=random.Random(1),
            codec=None,
            backends=self.backends,
            peers=self.peers,
            connections=None,
            placed_load=self.placed_load,
            outcomes=ServerOutcomes(self.clock),
            budget=None,
            demand=DemandMeter(self.clock, self.peers.demands),
            crashes=None,
            handles=HandleRecord(self.clock, self.peers.lost_handles),
            pauses=ServerPauses(self.clock),
            limits=ServerLimits(self.clock, self.clock.now, "entry-0", list, list),
            switches=SwitchRecord(self.clock, self.backends.stage_of),
            versions=versions,
            origins=None,
            quotas=None,
            priorities=SimpleNamespace(of=lambda service: pairs),
            availability_zone="zone-0",
        )
        self.queue = StreamQueue(self.ctx)
        self.placed_load.on_release(self.queue.advance)

    def report(self, load, sequence=1, names=None, demands=None):
        """Lets each other instance report the same `ServerLoad` at some servers."""
        loads = {name: load for name in names or self.names}
        for number in range(1, self.peers_count + 1):
            self.peers.receive(
                PeerStatus(
                    f"entry-{number}", 5, sequence, True, loads, demands=demands or {}
                )
            )

    def fill(self, load):
        """Adds a `ServerLoad` to each decode server; returns functions that end it."""
        names = [name for name in self.names if name.startswith("dec")]
        return [self.placed_load.add(name, load) for name in names]
