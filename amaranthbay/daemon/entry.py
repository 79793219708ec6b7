"""An entry process on the users' platform: assembly, start and graceful stop."""

import random
from functools import partial

import gevent
import gevent.event

from amaranthbay.daemon.lookup import (
    choose_addresses,
    serving_instances,
    serving_places,
    watching,
)
from amaranthbay.daemon.registration import RowWriter
from amaranthbay.daemon.staging import StageBalancer
from amaranthbay.fleet import BackendPool, ConfigurationView, Peers, Registration
from amaranthbay.fleet.health import StoreHealth
from amaranthbay.fleet.peers import OwnReport
from amaranthbay.fleet.settings import FIXED_FIELDS, changed_fields, merge
from amaranthbay.fleet.tables import FEED_WAIT_S, OnDemandFollower, TableFollower
from amaranthbay.kernel.clock import SystemClock
from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.observe import Gauge, current_metrics, log_event
from amaranthbay.relay import Listener, RelayService, find_codec
from amaranthbay.relay.budget import BudgetLimits, RepeatBudgets, allowance_part
from amaranthbay.relay.connections import ConnectionPool
from amaranthbay.relay.context import RelayContext
from amaranthbay.relay.crashes import CrashRecord, answers_connections
from amaranthbay.relay.demand import DemandMeter
from amaranthbay.relay.handles import HandleRecord
from amaranthbay.relay.ledger import WorkLedger
from amaranthbay.relay.outcomes import ServerOutcomes
from amaranthbay.relay.pauses import ServerPauses
from amaranthbay.relay.placing import StreamQueue
from amaranthbay.relay.plain import PlainRelay
from amaranthbay.relay.refusals import RETRY_SOON
from amaranthbay.relay.streams import StreamRelay
from amaranthbay.relay.switches import SwitchRecord
from amaranthbay.routing import ClientLimits
from amaranthbay.state.leases import LeaseStore
from amaranthbay.utils.serving import Server

__all__ = ["EntryDaemon"]

SWEEP_S = 1.0
# Pauses after a change, in which further ones gather: each costs a call of each
# instance. One that callers are not sent to pauses for longer, but leaves time for the
# call of the time within which a leaving server must be known.
SERVERS_PAUSE_S = 0.3
IDLE_PAUSE_SHARE = 0.6
MEMBERS_PAUSE_S = 1.5
IDLE_MEMBERS_PAUSE_S = 3.0
# Part of the time within which a configuration must be in force after which a poll is
# repeated by an instance that serves. The answer's own time limit must fit in,
# before the platform takes the instance to be up to date again. Where others learn
# from one that watches, their reports and a poll must fit in, too.
WATCH_SHARE = 0.95
LONE_WATCH_SHARE = 0.7
# Shorter than any bound that a changed setting has to be in force by.
RELOAD_S = 2.0
# Time after its start for which an instance waits for a configuration that others have
# in force. The operator writes it again after a restore.
CATCH_UP_S = 3.0
# Descriptors kept back for files, the store, the platform and backend servers.
RESERVED_DESCRIPTORS = 700
# Caller connections: a small instance serves some at least, and each costs memory.
LEAST_CONNECTIONS, MOST_CONNECTIONS = 64, 2000
# After SIGTERM callers come for a while with addresses that they have kept; requests
# that arrive in this part of the grace period are still served.
SERVE_SHARE = 0.38
# Times that some callers keep a lookup's answer beyond what it says.
LONGEST_KEPT = 3.0
# Part of the grace period after which the process ends whatever is in progress.
STOP_SHARE = 0.92
IDLE_POLL_S = 0.05
PROCESS_BITS = 63


class EntryDaemon:
    """Connects the parts of one entry process."""

    def __init__(self, settings, adapter, clock=None, rng=None):
        """Creates the process's parts; `start` begins to serve.

        Args:
            settings: `EntrySettings`.
            adapter: Platform adapter, see `amaranthbay.platform.adapter`.
            clock: `Clock`.
            rng: `random.Random`.
        """
        self.settings = settings
        self.clock = clock or SystemClock()
        self.rng = rng or random.Random()
        self._adapter = adapter
        self.health = StoreHealth(self.clock)
        self.store = adapter.open_store(settings.store_address, self.health.era)
        self.configuration = ConfigurationView(
            adapter.decode_configuration, adapter.configuration_key
        )
        self.backends = BackendPool(
            adapter.decode_server, self.clock, self.health, settings.entry_life_s
        )
        self.ledger = WorkLedger()
        pauses = ServerPauses(self.clock)
        connections = ConnectionPool(
            self.clock, _count_connection, self._note_answer, pauses.may_send
        )
        crashes = CrashRecord(self.clock, partial(answers_connections, connections))
        process = random.SystemRandom().getrandbits(PROCESS_BITS)
        self.peers = Peers(
            self._registration(),
            self.clock,
            self._report,
            lambda: bool(self.ledger.loads()),
            process,
            serving_instances,
            self._take_status,
            self._read_members,
        )
        self._followers = {}
        self._budgets = RepeatBudgets(
            _budget_limits(settings), self._allowance_part, self.clock
        )
        self.ctx = RelayContext(
            clock=self.clock,
            rng=self.rng,
            codec=find_codec(adapter.codec),
            backends=self.backends,
            peers=self.peers,
            connections=connections,
            ledger=self.ledger,
            outcomes=ServerOutcomes(self.clock),
            budget=self._budgets.of,
            demand=DemandMeter(self.clock, self.peers.demands),
            crashes=crashes,
            handles=HandleRecord(self.clock, self.peers.lost_handles),
            pauses=pauses,
            switches=SwitchRecord(
                self.clock, self.backends.stage_of, self._tell_others
            ),
            availability_zone=settings.availability_zone,
        )
        self.queue = StreamQueue(self.ctx)
        self.ledger.on_release(self.queue.advance)
        self.ledger.on_memory(self.peers.hasten)
        self.service = RelayService(
            self.ctx,
            self.configuration,
            PlainRelay(self.ctx),
            StreamRelay(self.ctx, self.queue),
        )
        most_callers = settings.limits.descriptors - RESERVED_DESCRIPTORS
        self.listener = Listener(
            settings.caller_address,
            self.service.handle,
            self._client_limits,
            max(LEAST_CONNECTIONS, min(MOST_CONNECTIONS, most_callers)),
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
        self.draining = False
        self._created_at = self.clock.monotonic()
        self._row = RowWriter(
            self.store,
            adapter.members_table,
            self.peers.own,
            self.health.era,
            self.clock,
            self.rng,
            self._read_members,
        )
        self._jobs = []
        self._orders = []
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

    def _report(self):
        """Returns what this process tells its peers."""
        return OwnReport(
            dict(self.ledger.loads()),
            self.ctx.demand.own(),
            self.ctx.switches.current(),
            self.ctx.crashes.report(),
            self._versions(),
            tuple(self.ctx.handles.own()),
            self.health.era.number,
            self._configuration_version(),
            self.backends.leaving(),
        )

    def _versions(self):
        """Returns the last change that is known in each table that is followed."""
        followers = self._followers.items()
        members = self._adapter.members_table
        return {name: each.changed for name, each in followers if name != members}

    def _take_status(self, status):
        """Takes what another instance knows and this one may not."""
        if status.crashes:
            self.ctx.crashes.learn(status.crashes)
        for name, changed in status.versions.items():
            if name in self._followers:
                self._followers[name].note_newer(changed, status.era)
        if status.leaving:
            self.backends.learn_leaving(status.leaving)

    def _note_answer(self, server, traits):
        """Takes what each answer of a backend server says of the server itself."""
        if traits.leaving and not traits.misdirected:
            if self.backends.note_leaving(server):
                self._tell_others()
        if traits.pause_s is not None:
            self.ctx.pauses.ask(server, traits.pause_s)

    def _tell_others(self):
        """Reports to the instances that serve at once."""
        self.peers.announce(self.peers.serving_names())

    def _read_members(self):
        """Reads the table of instances, as one reports that it does not name."""
        self._followers[self._adapter.members_table].ask()

    def _allowance_part(self):
        """Returns this instance's part of the repeats that all may send."""
        registered = self.peers.registrations()
        places = serving_places(registered)
        return allowance_part(len(registered), places, self.peers.is_chosen())

    def _client_limits(self):
        table = self.configuration.table
        return table.limits if table is not None else ClientLimits()

    def is_ready(self):
        """Returns whether callers may be sent here."""
        if self.configuration.table is None or self.draining:
            return False
        return self._has_caught_up()

    def _has_caught_up(self):
        """Returns whether the configuration is no older than those of the others.

        The table that a process reads as it starts may be a copy of some seconds ago.
        """
        if self.clock.monotonic() - self._created_at > CATCH_UP_S:
            return True
        return self._configuration_version() >= self.peers.newest_configuration()

    def addresses(self, availability_zone, region):
        """Returns the addresses that a caller should use."""
        live = self.peers.live()
        return choose_addresses(live, availability_zone, region)

    def start(self):
        """Begins to serve."""
        settings = self.settings
        self._jobs += self.peers.start()
        adapter = self._adapter
        self._follow(
            adapter.configuration_table,
            self.configuration,
            watch_s=self._watch_s,
        )
        self._follow(
            adapter.servers_table, self.backends, pause_s=self._servers_pause_s
        )
        self._follow(
            adapter.members_table,
            self.peers,
            OnDemandFollower,
            pause_s=self._members_pause_s,
        )
        self._jobs.append(gevent.spawn(self._row.run))
        self._jobs.append(gevent.spawn(self._sweep))
        self._jobs.append(gevent.spawn(self._watch_settings))
        self._orders = [gevent.spawn(self.balancer.run)]
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
        """Returns how long callers may keep a lookup's answer.

        Those that keep it for longer still have left this instance before it closes
        its listener in a planned stop.
        """
        serve_s = SERVE_SHARE * self.settings.stop_s
        return min(self.settings.lookup_ttl_s, serve_s / LONGEST_KEPT)

    def _serve_app(self, address, app):
        server = Server(address, app)
        server.start()
        self._servers.append(server)

    def _watch_s(self):
        """Returns the longest wait of the poll that watches the store.

        An instance that does not watch learns of a silent store from the others'
        reports.
        """
        serving = self.peers.serving_instances()
        watchers = watching(serving)
        if self.settings.instance not in watchers:
            return FEED_WAIT_S
        lone = len(watchers) < len(serving)
        share = LONE_WATCH_SHARE if lone else WATCH_SHARE
        return share * self.settings.configuration_s

    def _servers_pause_s(self):
        if self.peers.is_busy():
            return SERVERS_PAUSE_S
        return max(SERVERS_PAUSE_S, IDLE_PAUSE_SHARE * self.settings.drain_s)

    def _members_pause_s(self):
        return MEMBERS_PAUSE_S if self.peers.is_busy() else IDLE_MEMBERS_PAUSE_S

    def _follow(self, table, view, follower_class=TableFollower, **options):
        follower = follower_class(
            self.store, table, view, self.health, self.clock, self.rng, **options
        )
        follower.start()
        self._followers[table] = follower

    def _sweep(self):
        watch_s = self._watch_s()
        while True:
            if self._watch_s() != watch_s:
                watch_s = self._watch_s()
                self._followers[self._adapter.configuration_table].poll_again()
            serving = self.is_ready()
            if serving != self.peers.serving:
                self.peers.serving = serving
                self.peers.announce()
            self.ctx.connections.sweep()
            self.ctx.crashes.sweep()
            self.ctx.handles.sweep()
            self.ctx.pauses.sweep()
            self.ctx.switches.sweep()
            self.clock.sleep(SWEEP_S if serving else IDLE_POLL_S)

    def register_gauges(self, metrics):
        """Registers the gauges of this process."""
        metrics.observe_gauge(Gauge.QUEUE, self.queue.length)
        metrics.observe_gauge(Gauge.STORE_SILENCE, self.health.silence_s)
        metrics.observe_gauge(Gauge.CONFIGURATION, self._configuration_version)

    def _configuration_version(self):
        table = self.configuration.table
        return table.version if table is not None else 0

    def reload(self):
        """Reads the settings again and takes what has changed.

        Addresses and names stay as they were until the process starts again.
        """
        loaded = self._adapter.load_settings()
        if loaded.is_err():
            log_event("settings_unusable", level="error", detail=loaded.unwrap_err())
            return
        found = loaded.unwrap()
        changed = changed_fields(self.settings, found)
        if not changed:
            return
        log_event(
            "settings_reloaded",
            changed=changed,
            after_restart=[name for name in changed if name in FIXED_FIELDS],
        )
        self.settings = merge(self.settings, found)
        self._budgets.configure(_budget_limits(self.settings))

    def _watch_settings(self):
        """Notices a settings file that changes without a signal."""
        while True:
            self.clock.sleep(RELOAD_S)
            self.reload()

    def close(self):
        """Ends all jobs at once, as in tests."""
        gevent.killall(self._jobs + self._orders)
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
        """Ends gracefully within the platform's grace period."""
        started_at = self.clock.monotonic()
        self.draining = True
        self.peers.serving = False
        self.peers.announce()
        gevent.killall(self._orders)
        self.listener.draining = True
        log_event("draining", requests=len(self.listener.busy))
        grace_s = self.settings.stop_s
        self.clock.sleep(SERVE_SHARE * grace_s)
        self.listener.close()
        self.listener.close_idle()
        detail = "the daemon is draining"
        self.service.refusing = not_run(Reason.DRAINING, detail, 503, RETRY_SOON)
        ends_at = started_at + STOP_SHARE * grace_s
        while self.listener.busy and self.clock.monotonic() < ends_at:
            self.clock.sleep(IDLE_POLL_S)
            self.listener.close_idle()
        log_event("stopped", requests=len(self.listener.busy))


def _budget_limits(settings):
    return BudgetLimits(
        settings.retry_ratio, settings.retry_allowance, settings.retry_window_s
    )


def _count_connection(server):
    current_metrics().connection_opened(server.service)
