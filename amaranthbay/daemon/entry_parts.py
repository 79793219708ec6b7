"""The parts of an entry process, and what they ask of each other."""

import random
from functools import partial

from amaranthbay.daemon.answer_traits import note_traits
from amaranthbay.daemon.lookup import choose_instances, count_chosen
from amaranthbay.daemon.peer_reports import PeerReports
from amaranthbay.daemon.registration import RegistrationWriter, create_registration
from amaranthbay.daemon.staging import StageBalancer
from amaranthbay.fleet import BackendPool, ConfigurationView, Peers
from amaranthbay.fleet.health import StoreHealth
from amaranthbay.fleet.versions import VersionHistory
from amaranthbay.ingress.capacity import split_places
from amaranthbay.kernel.clock import SystemClock
from amaranthbay.observe import current_metrics
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
from amaranthbay.utils.reading import ReadMemory
from amaranthbay.workspaces.fleet_quotas import create_quotas

__all__ = ["EntryParts", "budget_limits"]

# Size of the random number that identifies a process.
PROCESS_NUMBER_BITS = 63


class EntryParts:
    """Creates the parts of one entry process and connects them."""

    def __init__(self, settings, adapter, clock=None, rng=None):
        """Creates the parts; none of them runs yet.

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
        self._followers = {}
        process_number = random.SystemRandom().getrandbits(PROCESS_NUMBER_BITS)
        self._create_store()
        self._create_views()
        connections = self._create_connections()
        crashes = self._create_crash_records(connections, process_number)
        self.peers = self._create_peers(crashes, process_number)
        self.quotas = create_quotas(self, process_number, choose_instances)
        self._budgets = RepeatBudgets(
            budget_limits(settings), self._allowance_part, self.clock
        )
        self._create_stream_records()
        self.ctx = self._create_context(connections, crashes)
        self._reports = PeerReports(
            self.ctx,
            self.health.era,
            self._followers,
            self._versions,
            self._configuration_version,
        )
        self._create_service()
        self._create_listener()
        self.balancer = self._create_balancer()
        self._registration_writer = self._create_registration_writer()

    def _create_store(self):
        settings = self.settings
        self.health = StoreHealth(self.clock)
        self.memory = ReadMemory.of_measured_process(settings.limits.memory_mb)
        self.store = self._adapter.open_store(
            settings.store_address,
            self.health.era,
            self.health.time.note,
            self.memory,
        )

    def _open_table(self, name):
        return self._adapter.open_table(self.store, name)

    def _create_views(self):
        """Creates what is known of the configuration, the servers and their load."""
        adapter = self._adapter
        self.configuration = ConfigurationView(
            adapter.decode_configuration, adapter.configuration_key
        )
        self.backends = BackendPool(
            adapter.decode_server, self.clock, self.health, self.settings.entry_life_s
        )
        self.placed_load = PlacedLoad()

    def _create_connections(self):
        return ConnectionPool(
            self.clock,
            _count_connection,
            self._note_answer,
            self._check_send,
            self.memory,
        )

    def _create_crash_records(self, connections, process_number):
        """Creates the log of crashes, and returns the `CrashRecord`."""
        self.crash_log = CrashLog(
            self._open_table(self._adapter.crashes_table),
            self.clock,
            self.health.time.now,
            f"{process_number:x}",
        )
        return CrashRecord(
            self.clock,
            partial(accepts_connections, connections),
            lambda: self.peers.report_now(),
            self.crash_log,
        )

    def _create_peers(self, crashes, process_number):
        return Peers(
            create_registration(self.settings),
            self.clock,
            lambda: self._reports.own(),
            lambda: bool(self.placed_load.loads()),
            process_number,
            choose_instances,
            lambda status: self._reports.merge(status),
            self._read_instances,
            crashes.retell,
            lambda only_changes: self.quotas.report(only_changes),
        )

    def _create_stream_records(self):
        """Creates the records of versions, and of those at which streams began."""
        self.versions = VersionHistory(
            self._open_table(self._adapter.versions_table),
            self.backends.versions,
            self.clock,
            self.health.time.now,
            self.rng,
            self._is_first_chosen,
        )
        self.origins = StreamOrigins(
            self._open_table(self._adapter.streams_table),
            self.versions,
            self.clock,
            self.health.time.now,
            self._record_interval_s,
            self._may_servers_be_behind,
        )
        self.health.era.on_restored(self._record_again)

    def _create_context(self, connections, crashes):
        return RelayContext(
            clock=self.clock,
            rng=self.rng,
            codec=find_codec(self._adapter.codec),
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
            limits=self._create_server_limits(),
            switches=SwitchRecord(
                self.clock, self.backends.stage_of, self._report_to_chosen
            ),
            versions=self.versions,
            origins=self.origins,
            quotas=self.quotas,
            priorities=ServicePriorities(lambda: self.configuration.table),
            availability_zone=self.settings.availability_zone,
        )

    def _create_server_limits(self):
        return ServerLimits(
            self.clock,
            self.health.time.now,
            self.settings.instance,
            self.peers.known_names,
            self._report_to_chosen,
        )

    def _create_service(self):
        """Creates the queue of streams and the service that relays requests."""
        self.queue = StreamQueue(self.ctx)
        self.placed_load.on_release(self.queue.advance)
        self.placed_load.on_memory_change(self.peers.report_soon)
        reporter = PlainReporter(
            self.placed_load.loads, self.peers.report_soon, self.clock
        )
        self.placed_load.on_plain_change(reporter.note_change)
        self.service = RelayService(
            self.ctx,
            self.configuration,
            PlainRelay(self.ctx),
            StreamRelay(self.ctx, self.queue),
        )

    def _create_listener(self):
        self._places = split_places(
            self.settings.limits.descriptors, self.memory.total_bytes
        )
        self.listener = Listener(
            self.settings.caller_address,
            self.service.handle,
            self._client_limits,
            self._places.callers,
            self.memory,
        )

    def _create_balancer(self):
        leases = LeaseStore(
            self._open_table(self._adapter.leases_table),
            self.clock,
            self.settings.instance,
        )
        return StageBalancer(
            self.ctx,
            self.configuration,
            leases,
            self.ctx.demand,
            self.settings.instance,
            self.settings.order_turn_s,
        )

    def _create_registration_writer(self):
        return RegistrationWriter(
            self.store,
            self._adapter.instances_table,
            self.peers.own,
            self.health.era,
            self.clock,
            self.rng,
            self._read_instances,
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

    def _check_send(self, server_name, placed):
        return self.ctx.check_send(server_name, placed)

    def _note_answer(self, server_name, traits, sent_at):
        note_traits(self.ctx, self._report_to_chosen, server_name, traits, sent_at)

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

    def _configuration_version(self):
        table = self.configuration.table
        return table.version if table is not None else 0


def budget_limits(settings):
    """Returns the `BudgetLimits` of the settings."""
    return BudgetLimits(
        settings.retry_ratio, settings.retry_allowance, settings.retry_window_s
    )


def _count_connection(server):
    current_metrics().connection_opened(server.service)
