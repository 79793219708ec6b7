"""One daemon: assembly, start, status and graceful stop."""

import signal
from collections import defaultdict
from datetime import timedelta

import gevent
import gevent.event

from amaranthbay import dispatch, placement  # noqa: F401  (registers plug-ins)
from amaranthbay.daemon.pool_queries import PoolQueries
from amaranthbay.daemon.status import describe_daemon
from amaranthbay.daemon.telemetry import start_logs, start_metrics, stop_metrics
from amaranthbay.dispatch.cancels import CancelQueue
from amaranthbay.dispatch.deaths import DeathReporter
from amaranthbay.dispatch.engine_http import HttpEngineClient
from amaranthbay.dispatch.guarded import GuardedRecords
from amaranthbay.dispatch.guards import RecordCopier
from amaranthbay.dispatch.inflight import InFlightTable
from amaranthbay.dispatch.metering import MeteredEngine
from amaranthbay.dispatch.pauses import PauseWatch
from amaranthbay.dispatch.resume import Takeovers
from amaranthbay.gateway import create_app, describe_malformed
from amaranthbay.kernel.clock import SystemClock
from amaranthbay.kernel.context import DispatchContext
from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.kernel.pipeline import Pipeline
from amaranthbay.kernel.registry import find
from amaranthbay.kernel.retries import RetryBudget
from amaranthbay.membership import BackendDirectory, ProbedMembership, lookup_order
from amaranthbay.observe import log_decision, log_event
from amaranthbay.peering import KeyRing, ZmqPeerChannel
from amaranthbay.placement.admission import BoundedAdmission
from amaranthbay.placement.demands import to_demand
from amaranthbay.placement.slots import AllocatorContext
from amaranthbay.placement.tracker import LoadTracker
from amaranthbay.platform.grouping import GroupedTable
from amaranthbay.platform.http import (
    HttpInstanceList,
    HttpObjectStore,
    HttpTableService,
)
from amaranthbay.platform.limiter import PlatformLimiter
from amaranthbay.state.cleaner import RecordCleaner
from amaranthbay.state.config_store import ConfigStore
from amaranthbay.state.crash_marks import CrashMarks
from amaranthbay.state.idempotency import IdempotencyStore
from amaranthbay.state.isolation import SuspectClaims
from amaranthbay.utils.jobs import JobGroup
from amaranthbay.utils.runtime import check_event_loop
from amaranthbay.utils.serving import Server

__all__ = ["Daemon", "run_daemon"]

RETRY_AFTER = timedelta(seconds=1)
IDLE_POLL_INTERVAL_S = 0.05
OUTSTANDING_TIMEOUT_S = 30.0
# Interval between reads of the keys. The steps of a key rotation must be at least this
# far apart.
KEY_RELOAD_INTERVAL_S = 5.0


class Daemon:
    """Connects the parts of one daemon."""

    def __init__(self, settings, clock=None):
        """Creates the parts of the daemon; `start` begins to serve.

        Args:
            settings: `DaemonSettings`.
            clock: `Clock`; the system's clock if None.
        """
        self.settings = settings
        self.clock = clock or SystemClock()
        self.draining = False
        self.stop_requested = gevent.event.Event()
        self.keys = KeyRing(settings.keys)
        # `pool_queries` needs the limiter and is created below, before the first call.
        platform_limiter = PlatformLimiter(
            self.clock, lambda: self.pool_queries.daemon_count()
        )
        table = self.table = HttpTableService(
            settings.platform_address, platform_limiter
        )
        objects = HttpObjectStore(settings.platform_address, platform_limiter)
        instances = HttpInstanceList(settings.platform_address, platform_limiter)
        self.idempotency = IdempotencyStore(GroupedTable(table), self.clock)
        self.directory = BackendDirectory(instances, self.clock)
        self.pool_queries = pool_queries = PoolQueries(
            self.configuration, self.directory
        )
        self.cleaner = RecordCleaner(
            table, self.clock, settings.instance, pool_queries.live_daemons
        )
        self.membership = self._create_membership()
        self.channel = self._create_channel()
        self.loads = LoadTracker(
            self.directory,
            settings.availability_zone,
            self.clock,
            pool_queries.slots_of,
        )
        self.inflight = InFlightTable()
        engine = MeteredEngine(HttpEngineClient(self.clock))
        self.cancels = CancelQueue(engine, self.clock, self._is_gone)
        policy = find("placement_policy", settings.placement_policy)()
        self.admission = BoundedAdmission(
            settings.limits.queue_length,
            self.clock,
            self._make_may_start(policy) if policy.queues_patient else None,
            pool_queries.daemon_count,
            prefill_count=pool_queries.prefill_count,
        )
        self.allocator = find("slot_allocator", settings.slot_allocator)(
            AllocatorContext(
                slots_of=pool_queries.slots_of,
                clock=self.clock,
                reported_active=self.loads.reported_active,
                daemon_count=pool_queries.daemon_count,
                membership=self.membership,
                channel=self.channel,
            )
        )
        budgets = defaultdict(RetryBudget)
        self.config_store = ConfigStore(
            table, objects, self.clock, self.membership, self.channel
        )
        self.membership.on_version(
            lambda instance, version: self.config_store.note_peer_version(
                version, instance
            )
        )
        self.copier = RecordCopier(self.inflight, self.membership, self.channel)
        self.guarded = GuardedRecords(
            self.membership, self.channel, self.cancels, self.clock
        )
        self.pause_watch = PauseWatch(self.clock)
        self.membership.on_reincarnation(self._on_reincarnation)
        self.crashes = CrashMarks(
            table,
            self.membership,
            self.channel,
            self.clock,
            pool_queries.crash_limit,
            pool_queries.listed_daemons,
        )
        claims = SuspectClaims(table, self.clock)
        ctx = DispatchContext(
            configuration=self.configuration,
            directory=self.directory,
            view=self._pool_view,
            policy=policy,
            allocator=self.allocator,
            engine=engine,
            inflight=self.inflight,
            copier=self.copier,
            takeovers=Takeovers(self.membership, self.channel, self.guarded),
            pause_count=self.pause_watch.count,
            crashes=self.crashes,
            claims=claims,
            deaths=DeathReporter(self.inflight, self.crashes, claims, self.directory),
            cancels=self.cancels,
            idempotency=self.idempotency,
            clock=self.clock,
            budget=budgets.__getitem__,
            availability_zone=settings.availability_zone,
            observer=self.loads,
        )
        self.pipeline = Pipeline(
            ctx,
            self.admission,
            self._refusal_of_all,
            lambda: self.config_store.newest_version,
        )
        limits = settings.limits
        self._server = Server(
            settings.caller_address,
            create_app(self),
            limits.connections,
            limits.header_bytes,
            describe_malformed,
        )
        self._jobs = JobGroup(self.clock)

    def _create_membership(self):
        membership = ProbedMembership(
            self.settings, self.keys, self.clock, lambda: self.config_store.version
        )
        self.directory.on_list(membership.apply_list)
        self.directory.use_peers(membership.peer_silence_s, membership.gossip_notice)
        membership.on_notice(self.directory.apply_notice)
        return membership

    def _create_channel(self):
        channel = ZmqPeerChannel(
            self.settings.instance,
            lambda: self.incarnation,
            self.settings.peer_address,
            self._peer_address,
            self.keys,
            self.clock,
        )
        channel.on_verified_message(self.membership.note_peer_message)
        return channel

    def _on_reincarnation(self, old, new):
        """Breaks the open streams, which guards cancelled for the old incarnation.

        Guards are two other daemons; see `dispatch.guards`.
        """
        self.pause_watch.count_interruption()

    def _peer_address(self, instance):
        member = self.membership.member(instance)
        return member.peer_address if member else None

    def _reload_keys(self):
        while True:
            gevent.sleep(KEY_RELOAD_INTERVAL_S)
            self.keys.reload()

    @property
    def incarnation(self):
        """Incarnation of this process that the other daemons see."""
        return self.membership.own().incarnation

    def configuration(self):
        """Returns the configuration in force, or None."""
        return self.config_store.current

    def _pool_view(self, service_name, call):
        """Returns the `PoolView` of a service's pools for a call."""
        cfg = self.configuration()
        return self.loads.view(cfg.service(service_name), call, cfg.goodput_weight)

    def _make_may_start(self, policy):
        """Returns a function that decides whether a patient request may start.

        Patient requests are those that are not interactive.
        """

        def may_start(work, below_share):
            request = work.request
            if self.configuration().service(request.service) is None:
                # The pipeline refuses it; here it would block the queue.
                return True
            now = self.clock.monotonic()
            demand = to_demand(work, now, request.request_id, below_share)
            view = self._pool_view(request.service, request.payload)
            return policy.may_start(demand, view, now)

        return may_start

    def _is_gone(self, server):
        return not self.directory.is_listed(server.instance)

    def _refusal_of_all(self):
        """Returns the `Refusal` of all requests; None if the daemon takes new work."""
        if self.draining:
            detail = "the daemon is draining"
            members = self.lookup("", "", None)
            addresses = tuple(member.address for member in members)
            return not_run(Reason.DRAINING, detail, 503, RETRY_AFTER, addresses)
        if self.configuration() is None:
            detail = "the daemon has no configuration yet"
            return not_run(Reason.NOT_READY, detail, 503, RETRY_AFTER)
        detail = self.config_store.unconfirmed_reason()
        if detail is not None:
            reason = Reason.CONFIGURATION_UNCONFIRMED
            return not_run(reason, detail, 503, RETRY_AFTER)
        return None

    def lookup(self, service, workspace, availability_zone):
        """Returns the live daemons that a workspace should use, best first.

        Args:
            service: Name of the service.
            workspace: Name of the workspace.
            availability_zone: Availability zone of the caller; that of this daemon if
                empty or None.
        """
        zone = availability_zone or self.settings.availability_zone
        members = self.membership.live()
        regions = [
            member.region for member in members if member.availability_zone == zone
        ]
        region = regions[0] if regions else self.settings.region
        chosen = lookup_order(members, service, workspace, zone, region)
        names = [member.instance for member in chosen]
        log_decision(
            "lookup",
            names[:1],
            names,
            "availability zone, then rendezvous hash",
            service=service,
            workspace=workspace,
        )
        return chosen

    def status(self):
        """Returns the status document; see `daemon.status.describe_daemon`."""
        return describe_daemon(self)

    def start(self):
        """Starts all jobs and listens; returns the caller address."""
        check_event_loop()
        self._start_jobs()
        address = self._server.start()
        self.channel.start()
        # Probes of this daemon start only now that it accepts connections, since a
        # closed port would prove it dead.
        self.membership.start()
        log_event("started", address=address)
        return address

    def _start_jobs(self):
        jobs = self._jobs
        jobs.start("configuration", self.config_store.run)
        jobs.start("directory", self.directory.run)
        jobs.start("idempotency", self.idempotency.run)
        jobs.start("cleaner", self.cleaner.run)
        jobs.start("allocator", self.allocator.run)
        jobs.start("guard_copies", self.copier.run)
        jobs.start("pauses", self.pause_watch.run)
        jobs.start("crash_marks", self.crashes.run)
        jobs.start("loads", self.loads.run, self.pool_queries.pools)
        jobs.start("keys", self._reload_keys)

    def drain(self):
        """Refuses new work from now on; may be called again."""
        self.draining = True
        self._server.drain()
        self.membership.leave()
        log_event("draining", active=self.admission.active)

    def wait_idle(self):
        """Waits until all requests in progress have ended, without a time limit.

        After that, it waits up to `OUTSTANDING_TIMEOUT_S` for unfinished records and
        cancellations; the guards repeat the cancellations once this daemon is gone.
        """
        while self.admission.active or self.inflight.active_count():
            gevent.sleep(IDLE_POLL_INTERVAL_S)
        self._server.wait_written()
        deadline = self.clock.monotonic() + OUTSTANDING_TIMEOUT_S
        while self._has_outstanding() and self.clock.monotonic() < deadline:
            gevent.sleep(IDLE_POLL_INTERVAL_S)

    def _has_outstanding(self):
        return self.cancels.outstanding or self.idempotency.outstanding

    def stop(self):
        """Stops the membership, the channel, the listener and the jobs."""
        self.membership.stop()
        self.channel.stop()
        self._server.stop()
        self._jobs.stop()
        log_event("stopped")


def run_daemon(settings):
    """Runs a daemon until a signal has drained it."""
    start_logs(settings)
    daemon = Daemon(settings)
    start_metrics(daemon)
    for signum in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signum, daemon.stop_requested.set)
    daemon.start()
    daemon.stop_requested.wait()
    daemon.drain()
    daemon.wait_idle()
    daemon.stop()
    stop_metrics()
