"""An entry process on the users' platform: its start, its jobs and its end."""

import gevent.event

from amaranthbay.daemon.entry_parts import EntryParts, budget_limits
from amaranthbay.daemon.lookup import choose_addresses
from amaranthbay.daemon.planned_stop import CHECK_INTERVAL_S, PlannedStop, lookup_ttl_s
from amaranthbay.daemon.polling import (
    instances_batch_delay_s,
    max_poll_wait_s,
    servers_batch_delay_s,
)
from amaranthbay.daemon.ticks import LoopTicks
from amaranthbay.fleet.settings import FIXED_FIELDS, changed_fields, merge
from amaranthbay.fleet.tables import OnDemandFollower, TableFollower
from amaranthbay.observe import Gauge, log_event
from amaranthbay.utils.jobs import JobGroup
from amaranthbay.utils.serving import Server

__all__ = ["EntryDaemon"]

SWEEP_INTERVAL_S = 1.0
# Timeout of reads of requests for lookups and readiness.
LOOKUP_READ_TIMEOUT_S = 15.0
# Interval at which rows of streams are looked for whose instances have died.
ORPHAN_INTERVAL_S = 300.0
# Shorter than every time limit within which a changed setting must apply.
SETTINGS_RELOAD_INTERVAL_S = 2.0
# Time after its start for which an instance waits for the configuration that others
# have in force. After a restore, the store may lack it until the operator writes it
# again.
CATCH_UP_TIMEOUT_S = 3.0


class EntryDaemon(EntryParts):
    """Runs the parts of one entry process."""

    def __init__(self, settings, adapter, clock=None, rng=None):
        """Creates the parts of the process; `start` begins to serve.

        Args:
            settings: `EntrySettings`.
            adapter: Platform adapter, see `amaranthbay.platform.adapter`.
            clock: `Clock`; the system's clock if None.
            rng: `random.Random`; one with a random seed if None.
        """
        super().__init__(settings, adapter, clock, rng)
        self.stop_requested = gevent.event.Event()
        self._ticks = LoopTicks(self.clock)
        self.draining = False
        self._created_at = self.clock.monotonic()
        self._jobs = JobGroup(self.clock)
        self._balancer_jobs = JobGroup(self.clock)
        self._servers = []

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
        self._follow_tables()
        self._start_jobs()
        self._serve_apps()
        self.listener.start()
        log_event(
            "started",
            address=settings.caller_address,
            lookup_address=settings.lookup_address,
            store=settings.store_address,
        )

    def _follow_tables(self):
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

    def _follow(self, table, view, follower_class=TableFollower, **options):
        follower = follower_class(
            self.store, table, view, self.health, self.clock, self.rng, **options
        )
        follower.start()
        self._followers[table] = follower

    def _max_poll_wait_s(self):
        return max_poll_wait_s(self.settings, self.peers)

    def _servers_batch_delay_s(self):
        return servers_batch_delay_s(self.settings, self.peers)

    def _instances_batch_delay_s(self):
        return instances_batch_delay_s(self.peers)

    def _start_jobs(self):
        self._jobs.start("register", self._registration_writer.run)
        self._jobs.start("record_streams", self.origins.run)
        self._jobs.start("record_crashes", self.crash_log.run, self.ctx.crashes.replay)
        self._jobs.start("delete_orphans", self._delete_orphans_loop)
        self._jobs.start("sweep", self._sweep_loop)
        self._jobs.start("tick", self._ticks.run)
        self._jobs.start("watch_quotas", self.quotas.run)
        self._jobs.start("reload", self._reload_loop)
        self._balancer_jobs.start("balance_stages", self.balancer.run)

    def _serve_apps(self):
        settings = self.settings
        self._serve_app(
            settings.ready_address, self._adapter.create_ready_app(self.is_ready)
        )
        if settings.lookup_address:
            app = self._adapter.create_lookup_app(
                self.addresses, lookup_ttl_s(settings)
            )
            self._serve_app(settings.lookup_address, app)

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

    def _sweep_loop(self):
        """Tells peers when this instance becomes ready, and drops expired state.

        It also replaces the open poll of the configuration when the longest wait of its
        polls changes.
        """
        poll_wait_s = self._max_poll_wait_s()
        while True:
            if self._max_poll_wait_s() != poll_wait_s:
                poll_wait_s = self._max_poll_wait_s()
                self._followers[self._adapter.configuration_table].poll_again()
            serving = self.is_ready()
            if serving != self.peers.serving:
                self.peers.serving = serving
                self.peers.report_now()
            self._drop_expired()
            self.clock.sleep(SWEEP_INTERVAL_S if serving else CHECK_INTERVAL_S)

    def _drop_expired(self):
        """Drops expired state, and logs the last callers that were dropped."""
        self.ctx.connections.sweep()
        self.listener.drops.flush()
        self.ctx.crashes.sweep()
        self.ctx.handles.sweep()
        self.ctx.pauses.sweep()
        self.ctx.limits.sweep(self.backends.is_listed)
        self.ctx.switches.sweep()
        self.versions.sweep()
        self.origins.sweep()

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
        self._budgets.configure(budget_limits(self.settings))

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
        """Drains within the platform's grace period; see `PlannedStop`."""
        signalled_at = self._ticks.earliest_signal()
        stop = PlannedStop(
            self.listener, self.clock, lambda: self.settings, signalled_at
        )
        self.service.serves_until = stop.serves_until
        self.draining = True
        self.peers.serving = False
        self.peers.report_now()
        self._balancer_jobs.stop()
        stop.run()
