"""Fake engines, a fake directory and a harness for dispatch in memory, for tests."""

from result import Err, Ok

from amaranthbay.config.types import CallerKind, Configuration, Pool, Service
from amaranthbay.dispatch.cancels import CancelQueue
from amaranthbay.dispatch.guarded import GuardedRecords
from amaranthbay.dispatch.guards import RecordCopier
from amaranthbay.dispatch.inflight import InFlightTable
from amaranthbay.dispatch.pauses import PauseWatch
from amaranthbay.dispatch.resume import Takeovers
from amaranthbay.dispatch.tests.fake_peers import (
    FakeChannel,
    FakeMembership,
    FakePeers,
    MemoryTable,
)
from amaranthbay.dispatch.types import ModelCall, PrefillOutcome, TokenEvent
from amaranthbay.kernel.context import DispatchContext
from amaranthbay.kernel.errors import Reason, may_have_run, not_run
from amaranthbay.kernel.interfaces import EngineClient, PlacementObserver
from amaranthbay.kernel.requests import BackendServer, CallerRequest, Work
from amaranthbay.kernel.retries import RetryBudget
from amaranthbay.placement.baselines import LeastLoadedPolicy
from amaranthbay.placement.slots import AllocatorContext, IndependentAllocator
from amaranthbay.placement.types import PoolView, ServerView
from amaranthbay.state.crash_marks import CrashMarks
from amaranthbay.state.idempotency import IdempotencyStore
from amaranthbay.state.isolation import SuspectClaims
from amaranthbay.utils.testing import ManualClock


class FakeEngine(EngineClient):
    """Engines whose calls end as scripted; without a script they succeed.

    Steps of prefill and decode: ``ok``, ``refuse`` (explicit, nothing ran),
    ``unreachable`` (nothing was sent), ``lost`` (it ran, the reply was lost),
    ``garbled`` (it ran, the reply was unreadable).

    Attributes:
        steps: Outcomes of the next calls of prefill and decode.
        streams: Functions that change the events of the next connections; None for
            no change.
        ran: Ids of the attempts that an engine worked on.
        decoded: Ids of the attempts whose decode started, in order.
        cancelled: Pairs of server instance and attempt id, in order.
        prefill_timeouts: Timeouts of the prefills in seconds, in order.
        on_prefill: Function called with the `Attempt` at each prefill.
    """

    def __init__(self, steps=(), streams=()):
        self.steps = list(steps)
        self.streams = list(streams)
        self.ran = set()
        self.decoded = []
        self.cancelled = []
        self.prefill_timeouts = []
        self.on_prefill = None

    def _next_outcome(self, attempt):
        step = self.steps.pop(0) if self.steps else "ok"
        if step == "refuse":
            return Err(not_run(Reason.BACKEND_REFUSED, "refused"))
        if step == "unreachable":
            return Err(not_run(Reason.BACKEND_FAILED, "connection refused"))
        self.ran.add(attempt.attempt_id)
        if step in ("lost", "garbled"):
            return Err(may_have_run(Reason.BACKEND_FAILED, step))
        return Ok(None)

    def prefill(self, server, attempt, call, priority, timeout):
        self.prefill_timeouts.append(timeout)
        if self.on_prefill:
            self.on_prefill(attempt)
        outcome = PrefillOutcome("kv-1", server.address, 10, 0, 1.0)
        return self._next_outcome(attempt).map(lambda _: outcome)

    def decode(self, server, attempt, call, prefill, priority, timeout):
        taken = self._next_outcome(attempt)
        if taken.is_ok():
            self.decoded.append(attempt.attempt_id)
        return taken.map(lambda _: self.events(attempt, 0, call.max_tokens))

    def resume(self, server, attempt, offset):
        if attempt.attempt_id not in self.decoded:
            return Err(may_have_run(Reason.STREAM_BROKEN, "unknown", status=404))
        return Ok(self.events(attempt, offset, 8))

    def events(self, attempt, offset, count):
        """Returns the events of one connection, changed by the script."""
        ids = attempt.request_id, attempt.attempt_id
        events = [
            TokenEvent(*ids, index=index, text=token_text(attempt, index))
            for index in range(offset, count)
        ]
        events.append(TokenEvent(*ids, done=True, count=count))
        change = self.streams.pop(0) if self.streams else None
        return iter(change(events) if change else events)

    def cancel(self, server, attempt_id):
        self.cancelled.append((server.instance, attempt_id))
        return True


def token_text(attempt, index):
    """Returns the text of a token, which contains its attempt and index."""
    return f"{attempt.attempt_id[:6]}:{index} "


class FakeDirectory:
    """Directory of the backend servers of a test."""

    def __init__(self, servers):
        self._servers = {server.instance: server for server in servers}
        self.failed = []

    def add(self, server):
        """Adds a backend server."""
        self._servers[server.instance] = server

    def find(self, instance):
        return self._servers.get(instance)

    def servers(self, pools, role=None):
        return tuple(
            server for server in self._servers.values() if role in (None, server.role)
        )

    def report_failure(self, instance):
        self.failed.append(instance)


class FakeDeaths:
    """Death reporter that reports every server as alive.

    Attributes:
        checked: Instances that were checked, in order.
    """

    def __init__(self):
        self.checked = []

    def check(self, server):
        self.checked.append(server.instance)
        return False


def server(instance, role):
    """Returns a backend server in a pool that has the name of its role."""
    return BackendServer(instance, role, role, f"127.0.0.1:{id(instance)}", "zone-a")


class NullObserver(PlacementObserver):
    """Ignores all placements."""

    def placed(self, attempt_id, call, placement, view):
        pass

    def prefilled(self, attempt_id, outcome):
        pass

    def first_token(self, attempt_id):
        pass

    def released(self, attempt_id):
        pass


class DispatchHarness:
    """Request path of one daemon with fake engines, peers and table service."""

    def __init__(
        self, engine, peers=None, name="entry-1", table=None, clock=None, cfg=None
    ):
        peers = peers or FakePeers(name)
        self.clock = clock or ManualClock()
        self.membership = FakeMembership(peers, name)
        self.channel = FakeChannel(peers, name)
        self.engine = engine
        self.table = InFlightTable()
        self.cancels = CancelQueue(engine, self.clock, lambda server: False)
        self.copier = RecordCopier(self.table, self.membership, self.channel)
        self.guarded = GuardedRecords(
            self.membership, self.channel, self.cancels, self.clock
        )
        self.pause_watch = PauseWatch(self.clock)
        store = table or MemoryTable()
        self.crashes = CrashMarks(
            store, self.membership, self.channel, self.clock, lambda: 2, tuple
        )
        self.prefill = server("prefill-1", "prefill")
        self.decode = server("decode-1", "decode")
        self.directory = FakeDirectory([self.prefill, self.decode])
        self.deaths = FakeDeaths()
        self.allocator = IndependentAllocator(
            AllocatorContext(lambda server: 20, self.clock)
        )
        self.budget = RetryBudget()
        # Tests may replace it as a new version that is in force at once.
        self.cfg = cfg or configuration()
        self.ctx = DispatchContext(
            configuration=lambda: self.cfg,
            directory=self.directory,
            view=self._view,
            policy=LeastLoadedPolicy(1),
            allocator=self.allocator,
            engine=engine,
            inflight=self.table,
            copier=self.copier,
            takeovers=Takeovers(self.membership, self.channel, self.guarded),
            pause_count=self.pause_watch.count,
            crashes=self.crashes,
            claims=SuspectClaims(store, self.clock),
            deaths=self.deaths,
            cancels=self.cancels,
            idempotency=IdempotencyStore(store, self.clock),
            clock=self.clock,
            budget=lambda name: self.budget,
            availability_zone="zone-a",
            observer=NullObserver(),
        )

    def _view(self, service, call):
        views = (ServerView(self.prefill),), (ServerView(self.decode),)
        return PoolView(*views, "zone-a")

    def slots_held(self):
        """Returns the number of granted slots."""
        return sum(self.allocator._held_counts.values())


def configuration():
    """Returns a configuration with one model service."""
    return Configuration(
        0,
        "test",
        (Service("m", "model", ("prefill", "decode"), ("desk",)),),
        (CallerKind("desk", False),),
        (Pool("prefill", "prefill"), Pool("decode", "decode")),
    )


def model_work(stream=True, deadline=None, prompt="hello", **fields):
    """Returns the work of a model call with at most eight tokens."""
    call = ModelCall("m", prompt, 8, stream, **fields)
    request = CallerRequest("request-1", "m", "ws-1", "desk", call)
    return Work(request, deadline is not None, deadline, True, 0.0)
