"""An entry process on the users' platform: assembly, start and graceful stop."""

import random
from functools import partial

import gevent.event

from amaranthbay.daemon.lookup import (
    choose_addresses,
    choose_instances,
    choose_watchers,
    count_chosen,
)
from amaranthbay.daemon.registration import RegistrationWriter
from amaranthbay.daemon.staging import StageBalancer
from amaranthbay.daemon.ticks import MAX_REGULAR_AGE_S, LoopTicks
from amaranthbay.fleet import BackendPool, ConfigurationView, Peers, Registration
from amaranthbay.fleet.health import StoreHealth
from amaranthbay.fleet.peers import OwnReport
from amaranthbay.fleet.settings import FIXED_FIELDS, changed_fields, merge
from amaranthbay.fleet.tables import MAX_POLL_WAIT_S, OnDemandFollower, TableFollower
from amaranthbay.fleet.versions import VersionHistory
from amaranthbay.ingress.capacity import split_places
from amaranthbay.kernel.clock import SystemClock
from amaranthbay.kernel.errors import ProcessStops
from amaranthbay.observe import Gauge, current_metrics, log_event
from amaranthbay.relay import Listener, RelayService, find_codec
from amaranthbay.relay.budget import BudgetLimits, RepeatBudgets, allowance_part
from amaranthbay.relay.connections import ConnectionPool
from amaranthbay.relay.context import RelayContext
from amaranthbay.relay.crash_log import CrashLog
from amaranthbay.relay.crashes import CrashRecord, accepts_connections
from amaranthbay.relay.demand import DemandMeter
from amaranthbay.relay.handles import HandleRecord
from amaranthbay.relay.limits import ServerLimits
from amaranthbay.relay.origins import StreamOrigins, record_interval_s
from amaranthbay.relay.outcomes import ServerOutcomes
from amaranthbay.relay.pauses import ServerPauses
from amaranthbay.relay.placed_load import PlacedLoad, PlainReporter
from amaranthbay.relay.placing import StreamQueue
from amaranthbay.relay.plain import PlainRelay
from amaranthbay.relay.streams import StreamRelay
from amaranthbay.relay.switches import SwitchRecord
from amaranthbay.routing import ClientLimits
from amaranthbay.scheduling.priorities import ServicePriorities
from amaranthbay.state.leases import LeaseStore
from amaranthbay.utils.jobs import JobGroup
from amaranthbay.utils.reading import ReadMemory
from amaranthbay.utils.serving import Server
from amaranthbay.workspaces.fleet_quotas import create_quotas

__all__ = ["EntryDaemon"]

SWEEP_INTERVAL_S = 1.0
# Timeout of reads of requests for lookups and readiness.
LOOKUP_READ_TIMEOUT_S = 15.0
# Interval at which rows of streams are looked for whose instances have died.
ORPHAN_INTERVAL_S = 300.0
# Delays before the next read of a table after a change, so that one call reads several
# changes; otherwise each change would cost a call of each instance. Standby instances
# wait longer. In the table of backend servers, they wait for a fraction of the time
# within which a leaving server must be known; the call takes place in the rest.
SERVERS_BATCH_DELAY_S = 0.3
STANDBY_DELAY_FRACTION = 0.6
INSTANCES_BATCH_DELAY_S = 1.5
STANDBY_INSTANCES_BATCH_DELAY_S = 3.0
# Longest wait of a poll by an instance that watches the store, as a fraction of the
# time within which a configuration must be in force. In the rest, a lost poll must time
# out, before the platform expects the instance to be up to date again. If other
# instances rely on the watcher, its reports and one of their polls must fit in, too.
WATCH_FRACTION = 0.95
RELAYED_WATCH_FRACTION = 0.7
# Shorter than every time limit within which a changed setting must apply.
SETTINGS_RELOAD_INTERVAL_S = 2.0
# Time after its start for which an instance waits for the configuration that others
# have in force. After a restore, the store may lack it until the operator writes it
# again.
CATCH_UP_TIMEOUT_S = 3.0
# Fraction of the grace period in which new requests are still served after SIGTERM,
# since callers use cached addresses for a while.
SERVE_FRACTION = 0.38
# A long request that is sent later must not be cut at the end, however long the grace
# period is.
MAX_SERVE_S = 3.0
# Some callers cache the answer of a lookup for up to this many times its TTL.
MAX_TTL_OVERRUN = 3.0
# Fraction of the grace period after which the process ends with requests in progress.
STOP_FRACTION = 0.92
# Fraction of the grace period by which the last answers must be written.
ANSWER_FRACTION = 0.97
# Interval of checks whether an instance is ready, or its last requests have ended.
CHECK_INTERVAL_S = 0.05
# Size of the random number that identifies a process.
PROCESS_NUMBER_BITS = 63


class EntryDaemon:
    """Connects the parts of one entry process."""

    def __init__(self, settings, adapter, clock=None, rng=None):
        """Creates the parts of the process; `start` begins to serve.

        Args:
            settings: `EntrySettings`.
            adapter: Platform adapter, see `amaranthbay.platform.adapter`.
            clock: `Clock`; the system's clock if None.
            rng: `random.Random`; one with a random seed if None.
        """
        self.settings = settings
        self.clock = clock or SystemClock()
        self.rng = rng or random.Random()
        self._adapter = adapter
        self.health = StoreHealth(self.clock)
        self.memory = ReadMemory.of_measured_process(settings.limits.memory_mb)
        self.store = adapter.open_store(
            settings.store_address,
            self.health.era,
            self.health.time.note,
            self.memory,
        )
        self.configuration = ConfigurationView(
            adapter.decode_configuration, adapter.configuration_key
        )
        self.backends = BackendPool(
            adapter.decode_server, self.clock, self.health, settings.entry_life_s
        )
        self.placed_load = PlacedLoad()
        connections = ConnectionPool(
            self.clock,
            _count_connection,
            self._note_answer,
            self._check_send,
            self.memory,
        )
        process_number = random.SystemRandom().getrandbits(PROCESS_NUMBER_BITS)
        self.crash_log = CrashLog(
            adapter.open_table(self.store, adapter.crashes_table),
            self.clock,
            self.health.time.now,
            f"{process_number:x}",
        )
        crashes = CrashRecord(
            self.clock,
            partial(accepts_connections, connections),
            lambda: self.peers.report_now(),
            self.crash_log,
        )
        self.peers = Peers(
            self._registration(),
            self.clock,
            self._own_report,
            lambda: bool(self.placed_load.loads()),
            process_number,
            choose_instances,
            self._merge_peer_status,
            self._read_instances,
            crashes.retell,
            lambda only_changes: self.quotas.report(only_changes),
        )
        self.quotas = create_quotas(self, process_number, choose_instances)
        self._followers = {}
        self._budgets = RepeatBudgets(
            _budget_limits(settings), self._allowance_part, self.clock
        )
        self.versions = VersionHistory(
            adapter.open_table(self.store, adapter.versions_table),
            self.backends.versions,
            self.clock,
            self.health.time.now,
            self.rng,
            self._is_first_chosen,
        )
        self.origins = StreamOrigins(
            adapter.open_table(self.store, adapter.streams_table),
            self.versions,
            self.clock,
            self.health.time.now,
            self._record_interval_s,
            self._may_servers_be_behind,
        )
        self.health.era.on_restored(self._record_again)
        self.ctx = RelayContext(
            clock=self.clock,
            rng=self.rng,
            codec=find_codec(adapter.codec),
            backends=self.backends,
            peers=self.peers,
            connections=connections,
            placed_load=self.placed_load,
            outcomes=ServerOutcomes(self.clock),
            budget=self._budgets.get,
            demand=DemandMeter(self.clock, self.peers.demands),
            crashes=crashes,
            handles=HandleRecord(self.clock, self.peers.lost_handles),
            pauses=ServerPauses(self.clock),
            limits=ServerLimits(
                self.clock,
                self.health.time.now,
                settings.instance,
                self.peers.known_names,
                self._report_to_chosen,
            ),
            switches=SwitchRecord(
                self.clock, self.backends.stage_of, self._report_to_chosen
            ),
            versions=self.versions,
            origins=self.origins,
            quotas=self.quotas,
            priorities=ServicePriorities(lambda: self.configuration.table),
            availability_zone=settings.availability_zone,
        )
        self.queue = StreamQueue(self.ctx)
        self.placed_load.on_release(self.queue.advance)
        self.placed_load.on_memory_change(self.peers.report_soon)
        self.placed_load.on_plain_change(
            PlainReporter(
                self.placed_load.loads, self.peers.report_soon, self.clock
            ).note_change
        )
        self.service = RelayService(
            self.ctx,
            self.configuration,
            PlainRelay(self.ctx),
            StreamRelay(self.ctx, self.queue),
        )
        self._places = split_places(
            settings.limits.descriptors, self.memory.total_bytes
        )
        self.listener = Listener(
            settings.caller_address,
            self.service.handle,
            self._client_limits,
            self._places.callers,
            self.memory,
        )
        leases = LeaseStore(
            adapter.open_table(self.store, adapter.leases_table),
            self.clock,
            settings.instance,
        )
        self.balancer = StageBalancer(
            self.ctx,
            self.configuration,
            leases,
            self.ctx.demand,
            settings.instance,
            settings.order_turn_s,
        )
        self.stop_requested = gevent.event.Event()
        self._ticks = LoopTicks(self.clock)
        self.draining = False
        self._created_at = self.clock.monotonic()
        self._registration_writer = RegistrationWriter(
            self.store,
            adapter.instances_table,
            self.peers.own,
            self.health.era,
            self.clock,
            self.rng,
            self._read_instances,
        )
        self._jobs = JobGroup(self.clock)
        self._balancer_jobs = JobGroup(self.clock)
        self._servers = []

    def _registration(self):
        settings = self.settings
        return Registration(
            settings.instance,
            settings.availability_zone,
            settings.region,
            settings.caller_address,
            f"{settings.ip}:{settings.peer_port}",
            settings.limits.cores,
            settings.limits.link_mbps,
        )

    def _own_report(self):
        """Returns the `OwnReport` that is sent to peers."""
        return OwnReport(
            dict(self.placed_load.loads()),
            self.ctx.demand.own_demands(),
            self.ctx.switches.switching(),
            self.ctx.crashes.requests.report(),
            self._versions(),
            tuple(self.ctx.handles.own_distrusted()),
            self.health.era.number,
            self._configuration_version(),
            self.backends.leaving(),
            self.ctx.limits.report(),
            self.ctx.crashes.parts.crash_report(),
            self.ctx.crashes.parts.sound_report(),
            self.ctx.crashes.parts.block_report(),
            self.ctx.crashes.requests.sound_report(),
            self.ctx.crashes.requests.known_report(),
        )

    def _versions(self):
        """Returns the version of the last known change, by table.

        The table of instances is left out.
        """
        followers = self._followers.items()
        instances_table = self._adapter.instances_table
        return {
            name: follower.last_change
            for name, follower in followers
            if name != instances_table
        }

    def _merge_peer_status(self, status):
        """Merges the knowledge that another instance reports into that of this one."""
        self.quotas.merge(status)
        requests = self.ctx.crashes.requests
        if status.crashes or status.sound_requests:
            requests.merge(status.crashes, status.sound_requests)
        if status.known_crashes:
            requests.merge_known(status.known_crashes)
        if status.crashed_parts or status.sound_parts:
            self.ctx.crashes.parts.merge(status.crashed_parts, status.sound_parts)
        if status.blocked_parts:
            self.ctx.crashes.parts.merge_blocks(status.blocked_parts)
        for name, last_change in status.versions.items():
            if name in self._followers:
                self._followers[name].note_newer(last_change, status.era)
        if status.leaving:
            self.backends.merge_leaving(status.leaving)
        if status.limits:
            self.ctx.limits.merge(status.limits)

    def _check_send(self, server_name, placed):
        return self.ctx.check_send(server_name, placed)

    def _note_answer(self, server_name, traits, sent_at):
        """Processes what an answer of a backend server says of the server itself.

        Args:
            server_name: Name of the server.
            traits: `AnswerTraits` of the answer.
            sent_at: Monotonic time at which the request was sent; None if the answer
                belongs to an earlier request.
        """
        if traits.leaving and not traits.misdirected:
            if self.backends.mark_leaving(server_name):
                self._report_to_chosen()
        if traits.pause_s is not None:
            self.ctx.pauses.note_pause(server_name, traits.pause_s)
        if traits.limit_per_s is not None and not traits.misdirected:
            self.ctx.limits.note_limit(server_name, traits.limit_per_s)
        elif traits.stamped and sent_at is not None:
            self.ctx.limits.note_unlimited(server_name, sent_at)

    def _report_to_chosen(self):
        """Sends a report to the chosen instances at once."""
        self.peers.report_now(self.peers.chosen_names())

    def _is_first_chosen(self):
        """Returns whether this is the first of the instances that callers use."""
        return self.settings.instance == min(self.peers.chosen_names(), default=None)

    def _record_interval_s(self):
        instances = len(self.peers.chosen_names())
        return record_interval_s(
            instances,
            self.settings.store_writes_per_s,
            self.settings.store_part_writes_per_s,
        )

    def _may_servers_be_behind(self):
        """Returns whether other instances may know a newer list of servers.

        Waits for their next reports, which tell what they know now.
        """
        follower = self._followers[self._adapter.servers_table]
        if follower.is_behind() or not self.peers.wait_for_majority():
            return True
        return follower.is_behind()

    def _record_again(self):
        """Records versions again that a restored store may lack."""
        self.versions.forget_records()
        self.origins.record_again()
        self.ctx.crashes.record_again()

    def _read_instances(self):
        """Requests a read of the table of instances, as the view may lack some."""
        self._followers[self._adapter.instances_table].request_read()

    def _allowance_part(self):
        """Returns this instance's part of the repeats that all instances may send."""
        registered = self.peers.registrations()
        chosen_count = count_chosen(registered)
        return allowance_part(len(registered), chosen_count, self.peers.is_chosen())

    def _client_limits(self):
        table = self.configuration.table
        return table.limits if table is not None else ClientLimits()

    def is_ready(self):
        """Returns whether callers may be sent to this instance."""
        if self.configuration.table is None or self.draining:
            return False
        return self._has_caught_up()

    def _has_caught_up(self):
        """Returns whether this instance knows what the others know.

        It has read the crashes that earlier processes have seen, and its configuration
        is no older than theirs. The table that a process reads at its start may be a
        copy of some seconds ago.
        After `CATCH_UP_TIMEOUT_S` the configuration is taken as it is.
        """
        if self.clock.monotonic() - self._created_at > CATCH_UP_TIMEOUT_S:
            return True
        if not self.crash_log.loaded:
            return False
        return self._configuration_version() >= self.peers.newest_configuration()

    def addresses(self, availability_zone, region):
        """Returns the addresses that a caller in a zone and region should use."""
        live = self.peers.live()
        return choose_addresses(live, availability_zone, region)

    def start(self):
        """Starts all jobs and servers, and listens for callers."""
        settings = self.settings
        self.peers.start(self._jobs)
        adapter = self._adapter
        self._follow(
            adapter.configuration_table,
            self.configuration,
            max_poll_wait_s=self._max_poll_wait_s,
        )
        self._follow(
            adapter.servers_table,
            self.backends,
            batch_delay_s=self._servers_batch_delay_s,
        )
        self._follow(
            adapter.instances_table,
            self.peers,
            OnDemandFollower,
            batch_delay_s=self._instances_batch_delay_s,
        )
        self._jobs.start("register", self._registration_writer.run)
        self._jobs.start("record_streams", self.origins.run)
        self._jobs.start("record_crashes", self.crash_log.run, self.ctx.crashes.replay)
        self._jobs.start("delete_orphans", self._delete_orphans_loop)
        self._jobs.start("sweep", self._sweep_loop)
        self._jobs.start("tick", self._ticks.run)
        self._jobs.start("watch_quotas", self.quotas.run)
        self._jobs.start("reload", self._reload_loop)
        self._balancer_jobs.start("balance_stages", self.balancer.run)
        self._serve_app(
            settings.ready_address, self._adapter.create_ready_app(self.is_ready)
        )
        if settings.lookup_address:
            app = self._adapter.create_lookup_app(self.addresses, self._lookup_ttl_s())
            self._serve_app(settings.lookup_address, app)
        self.listener.start()
        log_event(
            "started",
            address=settings.caller_address,
            lookup_address=settings.lookup_address,
            store=settings.store_address,
        )

    def _lookup_ttl_s(self):
        """Returns the TTL in seconds of the answers of lookups.

        Callers that exceed it by the factor `MAX_TTL_OVERRUN` still leave this instance
        before it closes its listener in a planned stop.
        """
        serve_s = max(0.0, self._serve_s() - MAX_REGULAR_AGE_S)
        return min(self.settings.lookup_ttl_s, serve_s / MAX_TTL_OVERRUN)

    def _serve_s(self):
        """Returns for how many seconds new requests are served after SIGTERM."""
        return min(MAX_SERVE_S, SERVE_FRACTION * self.settings.stop_s)

    def _serve_app(self, address, app):
        server = Server(
            address,
            app,
            reads_bodies=False,
            read_timeout_s=LOOKUP_READ_TIMEOUT_S,
            places=self._places.services,
        )
        server.start()
        self._servers.append(server)

    def _max_poll_wait_s(self):
        """Returns the longest wait in seconds of polls for the configuration.

        An instance that doesn't watch the store learns from the reports of the watchers
        that its own poll is lost.
        """
        chosen = self.peers.chosen_instances()
        watchers = choose_watchers(chosen)
        if self.settings.instance not in watchers:
            return MAX_POLL_WAIT_S
        relayed = len(watchers) < len(chosen)
        fraction = RELAYED_WATCH_FRACTION if relayed else WATCH_FRACTION
        return fraction * self.settings.configuration_s

    def _servers_batch_delay_s(self):
        if self.peers.is_busy():
            return SERVERS_BATCH_DELAY_S
        return max(
            SERVERS_BATCH_DELAY_S, STANDBY_DELAY_FRACTION * self.settings.drain_s
        )

    def _instances_batch_delay_s(self):
        return (
            INSTANCES_BATCH_DELAY_S
            if self.peers.is_busy()
            else STANDBY_INSTANCES_BATCH_DELAY_S
        )

    def _follow(self, table, view, follower_class=TableFollower, **options):
        follower = follower_class(
            self.store, table, view, self.health, self.clock, self.rng, **options
        )
        follower.start()
        self._followers[table] = follower

    def _sweep_loop(self):
        """Tells peers when this instance becomes ready, and drops expired state.

        It also replaces the open poll of the configuration when the longest wait of its
        polls changes.
        """
        max_poll_wait_s = self._max_poll_wait_s()
        while True:
            if self._max_poll_wait_s() != max_poll_wait_s:
                max_poll_wait_s = self._max_poll_wait_s()
                self._followers[self._adapter.configuration_table].poll_again()
            serving = self.is_ready()
            if serving != self.peers.serving:
                self.peers.serving = serving
                self.peers.report_now()
            self.ctx.connections.sweep()
            self.listener.drops.flush()
            self.ctx.crashes.sweep()
            self.ctx.handles.sweep()
            self.ctx.pauses.sweep()
            self.ctx.limits.sweep(self.backends.is_listed)
            self.ctx.switches.sweep()
            self.versions.sweep()
            self.origins.sweep()
            self.clock.sleep(SWEEP_INTERVAL_S if serving else CHECK_INTERVAL_S)

    def _delete_orphans_loop(self):
        while True:
            self.clock.sleep(ORPHAN_INTERVAL_S)
            if self._is_first_chosen():
                self.origins.delete_orphans()
                self.crash_log.delete_expired()

    def register_gauges(self, metrics):
        """Registers the gauges of this process."""
        metrics.observe_gauge(Gauge.QUEUE, self.queue.length)
        metrics.observe_gauge(Gauge.STORE_SILENCE, self.health.silence_s)
        metrics.observe_gauge(Gauge.CONFIGURATION, self._configuration_version)
        self.listener.register_gauges(metrics)

    def _configuration_version(self):
        table = self.configuration.table
        return table.version if table is not None else 0

    def reload(self):
        """Reads the settings again and applies what has changed.

        A changed field of `FIXED_FIELDS` applies only after a restart. So do the
        limits, the lookup TTL, `order_turn_s` and `entry_life_s`, which are read only
        at the start.
        """
        loaded = self._adapter.load_settings()
        if loaded.is_err():
            log_event("settings_unusable", level="error", detail=loaded.unwrap_err())
            return
        loaded_settings = loaded.unwrap()
        changed = changed_fields(self.settings, loaded_settings)
        if not changed:
            return
        log_event(
            "settings_reloaded",
            changed=changed,
            after_restart=[name for name in changed if name in FIXED_FIELDS],
        )
        self.settings = merge(self.settings, loaded_settings)
        self._budgets.configure(_budget_limits(self.settings))

    def _reload_loop(self):
        """Reloads the settings regularly, as the file may change without a signal."""
        while True:
            self.clock.sleep(SETTINGS_RELOAD_INTERVAL_S)
            self.reload()

    def close(self):
        """Stops everything at once without draining, as in tests."""
        self._jobs.stop()
        self._balancer_jobs.stop()
        self.versions.close()
        self.listener.close()
        for follower in self._followers.values():
            follower.stop()
        for server in self._servers:
            server.stop()
        self.peers.close()

    def run(self):
        """Serves until a stop is requested, then drains."""
        self.start()
        self.stop_requested.wait()
        self._drain()

    def _drain(self):
        """Drains within the platform's grace period.

        New requests are served first, then refused while the others end. Those that
        don't end in time are answered, unless a part of their answer was sent.

        The process may have been paused since the signal was sent. What has to happen
        before it is killed counts from the earliest time of the signal.
        """
        signalled_at, now = self._ticks.earliest_signal(), self.clock.monotonic()
        self.service.serves_until = signalled_at + self._serve_s()
        self.draining = True
        self.peers.serving = False
        self.peers.report_now()
        self._balancer_jobs.stop()
        self.listener.draining = True
        age_s = round(now - signalled_at, 3)
        log_event("draining", requests=len(self.listener.busy), signal_age_s=age_s)
        self.clock.sleep(max(0.0, self.service.serves_until - now))
        self.listener.close()
        self.listener.close_idle()
        # Requests may have arrived that no greenlet has begun to read.
        self.clock.sleep(CHECK_INTERVAL_S)
        self.listener.close_idle()
        lasts_s = STOP_FRACTION * self.settings.stop_s
        self._wait_for_requests(signalled_at + lasts_s)
        self.listener.interrupt_busy(ProcessStops("the daemon has to stop"))
        self._wait_for_requests(now + lasts_s)
        answers_by = now + ANSWER_FRACTION * self.settings.stop_s
        while self.listener.has_unanswered() and self.clock.monotonic() < answers_by:
            self.clock.sleep(CHECK_INTERVAL_S)
        log_event("stopped", requests=len(self.listener.busy))

    def _wait_for_requests(self, ends_at):
        while self.listener.has_requests() and self.clock.monotonic() < ends_at:
            self.clock.sleep(CHECK_INTERVAL_S)
            self.listener.close_idle()


def _budget_limits(settings):
    return BudgetLimits(
        settings.retry_ratio, settings.retry_allowance, settings.retry_window_s
    )


def _count_connection(server):
    current_metrics().connection_opened(server.service)
