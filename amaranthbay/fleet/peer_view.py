"""What the last reports of the other instances say: who is live, chosen and busy."""

from amaranthbay.fleet.load_sums import LoadSums
from amaranthbay.fleet.registrations import RegisteredInstances

__all__ = ["PeerView"]

# Up to this size of the fleet, instances send a full report every `REPORT_INTERVAL_S`.
# In larger fleets they do so less often, so that the rate of datagrams that each
# instance sends doesn't grow with the fleet.
SMALL_FLEET_SIZE = 12
REPORT_INTERVAL_S = 0.2
# Shortest interval between reports of changed loads, a few round trips between zones.
# Several instances that decide on outdated loads would choose the same server.
MIN_REPORT_INTERVAL_S = 0.02
MAX_REPORT_INTERVAL_S = 2.0
# Busy instances send a full report to everybody at least this often. Full reports make
# up for lost reports of changes, and the interval is shorter than the TTL of loads.
MAX_BUSY_INTERVAL_S = 0.6
# Time within which the reports are read that waited in the socket during a pause of
# this process, and the time that a regular report may be late.
QUEUED_S = 0.1
REPORT_MARGIN_S = 0.1
# Number of successive full reports that may be lost before lookups leave out an
# instance.
MAX_MISSED_REPORTS = 4
# Time for which the reported loads of an instance count.
LOAD_TTL_S = 1.0
# Time for which an instance takes part in quotas after its last reported charge. Full
# reports repeat charges, so that one lost report doesn't end it.
CHARGING_S = 3.0
# Instances whose reports are kept; three times as many as at the target size.
MAX_REPORTING = 1000


class PeerView(RegisteredInstances):
    """Registered instances with the last report of each.

    Attributes:
        serving: Whether callers may be sent to this process.
    """

    def __init__(self, own, clock, has_work, choose):
        """Creates the view, without reports.

        Args:
            own: `Registration` of this process.
            clock: `Clock`.
            has_work: Function that returns whether this process has loads.
            choose: Function of the live instances that returns those whose addresses
                lookups give to callers.
        """
        super().__init__(own)
        self.serving = False
        self._clock = clock
        self._has_work = has_work
        self._choose = choose
        self._choice_cache = self._usual_cache = None
        self._received = {}
        self._load_sums = LoadSums()
        # Names of the peers whose last report is not in the sums yet.
        self._unsummed = set()
        # Time of the last report with charges of each instance, this one included.
        self._charging = {}

    def replace(self, rows, restored=False):
        """Applies the whole table.

        After a restore, instances whose rows are gone stay registered while they
        report; they write their rows again.
        """
        reporting = (
            {status.instance for status in self._reporting_statuses()}
            if restored
            else ()
        )
        self.replace_all(rows, reporting)

    def known_names(self):
        """Returns the names of all instances that may run, this one included.

        Instances that the store names stay registered while they are silent. Others are
        known by their reports alone, as the store has not been read since they came.
        """
        reporting = {status.instance for status in self._reporting_statuses()}
        return frozenset(self._registered) | reporting

    def wait_for_majority(self):
        """Waits for new reports of most registered instances.

        Earlier reports say nothing of what the others know now: this instance may have
        been cut off since, or paused while reports waited in its socket.

        Returns:
            Whether they have arrived within the time between two regular reports.
        """
        since = self._clock.monotonic() + QUEUED_S
        ends_at = since + self._idle_interval_s() + REPORT_MARGIN_S
        while not self._hears_majority(since):
            if self._clock.monotonic() >= ends_at:
                return False
            self._clock.sleep(MIN_REPORT_INTERVAL_S)
        return True

    def _hears_majority(self, since):
        """Returns whether most registered instances have reported since a time."""
        heard = {
            name
            for name, merged in self._received.items()
            if merged.received_at > since
        }
        heard = heard.intersection(self._registered) | {self.own.instance}
        return 2 * len(heard) > len(self._registered)

    def interval_s(self):
        """Returns the seconds between two regular full reports."""
        interval_s = self._idle_interval_s()
        return min(interval_s, MAX_BUSY_INTERVAL_S) if self.is_busy() else interval_s

    def _idle_interval_s(self):
        size_factor = max(1.0, len(self._registered) / SMALL_FLEET_SIZE)
        return min(MAX_REPORT_INTERVAL_S, REPORT_INTERVAL_S * size_factor)

    def is_busy(self):
        """Returns whether callers are sent to this instance, or it has work left."""
        own = self.own.instance
        return self._has_work() or own in self.busy_names() | self.charging_names()

    def is_chosen(self):
        """Returns whether lookups give callers the address of this instance."""
        return self.own.instance in self.chosen_names()

    def chosen_names(self):
        """Returns the names of the instances that lookups give to callers."""
        return self._choice()[1]

    def chosen_instances(self):
        """Returns the `Registration` of each instance that lookups give to callers."""
        return self._choice()[0]

    def _choice(self):
        """Returns the chosen instances and their names.

        Each report needs the choice, and in a large fleet it costs more than a report.
        It is cached while the live instances stay the same.
        """
        live = self.live()
        if self._choice_cache is None or self._choice_cache[:2] != (self._choose, live):
            chosen = tuple(self._choose(live))
            names = frozenset(registration.instance for registration in chosen)
            self._choice_cache = (self._choose, live, (chosen, names))
        return self._choice_cache[2]

    def usually_chosen_names(self):
        """Returns whom lookups would name if all registered instances were live."""
        registered = tuple(self._registered.values())
        if self._usual_cache is None or self._usual_cache[0] != registered:
            chosen = frozenset(entry.instance for entry in self._choose(registered))
            self._usual_cache = registered, chosen
        return self._usual_cache[1]

    def received(self):
        """Returns the `MergedReport` of each peer by name, whatever its age."""
        return self._received

    def busy_names(self):
        """Returns the names of the chosen instances and of those that report loads."""
        loaded = {status.instance for status in self.fresh_statuses() if status.loads}
        return self.chosen_names() | loaded

    def charging_names(self):
        """Returns the names of the instances that have charged quotas lately."""
        now = self._clock.monotonic()
        return {
            name
            for name, charged_at in self._charging.items()
            if now - charged_at <= CHARGING_S
        }

    def live(self):
        """Returns the `Registration` of each instance that callers may use."""
        registrations = [self.own] if self.serving else []
        for status in self._reporting_statuses():
            if status.instance in self._registered and status.serving:
                registrations.append(self._registered[status.instance])
        return registrations

    def _reporting_statuses(self):
        """Returns the newest `PeerStatus` of each peer whose reports still arrive."""
        now = self._clock.monotonic()
        return [
            merged.status
            for merged in self._received.values()
            if now - merged.received_at <= MAX_MISSED_REPORTS * merged.status.interval_s
        ]

    def fresh_statuses(self):
        """Returns the `PeerStatus` of each peer that is younger than `LOAD_TTL_S`."""
        now = self._clock.monotonic()
        return [
            merged.status
            for merged in self._received.values()
            if now - merged.received_at <= LOAD_TTL_S
        ]

    def loads(self):
        """Returns the sum of the `ServerLoad` of all peers, by server.

        Callers don't change it.
        """
        now = self._clock.monotonic()
        for name in self._unsummed:
            merged = self._received.get(name)
            self._load_sums.replace(name, merged.status.loads if merged else {})
        self._unsummed.clear()
        for name in tuple(self._load_sums.names()):
            merged = self._received.get(name)
            if merged is None or now - merged.received_at > LOAD_TTL_S:
                self._load_sums.replace(name, {})
        return self._load_sums.sums()

    def placers(self):
        """Returns the number of peers that `loads` contains, by server."""
        return self._load_sums.placers()

    def switching(self):
        """Returns the target stage of each server that peers have ordered to switch.

        A switch takes longer than `LOAD_TTL_S`. The last report of a peer counts until
        the peer has missed several reports.
        """
        switching = {}
        for status in self._reporting_statuses():
            switching |= status.switching
        return switching

    def lost_handles(self):
        """Returns the prefill servers whose KV cache peers could not fetch."""
        servers = set()
        for status in self.fresh_statuses():
            servers.update(status.lost_handles)
        return frozenset(servers)

    def newest_configuration(self):
        """Returns the highest version that peers report as in force; 0 if none."""
        return max(
            (status.configuration for status in self._reporting_statuses()), default=0
        )

    def demands(self, service):
        """Returns the `MeasuredDemand` of a service from each peer that has one."""
        demands = [status.demands.get(service) for status in self.fresh_statuses()]
        return [demand for demand in demands if demand is not None]

    def _keep(self, merged):
        """Keeps the newest `MergedReport` of a peer."""
        name = merged.status.instance
        self._received[name] = merged
        self._unsummed.add(name)

    def _forget_most_silent(self):
        """Forgets the instance that has been silent for longest; returns its name."""
        silent = min(self._received, key=lambda name: self._received[name].received_at)
        del self._received[silent]
        self._charging.pop(silent, None)
        return silent

    def _note_charging(self, name, usage, now):
        if usage.charged or usage.joins:
            self._charging[name] = now
