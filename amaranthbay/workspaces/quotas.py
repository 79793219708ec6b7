"""Quotas of workspaces, which hold over all instances.

Each process charges its requests to its own replicas of the buckets at once, and tells
its peers. It numbers its charges; peers tell it up to which number they have heard of
them. What a process may charge without that is bounded; see `buckets.wait_s`.
"""

from dataclasses import dataclass, replace
from math import inf

from result import Err, Ok

from amaranthbay.fleet.reports import Usage, WorkspaceUsage
from amaranthbay.observe import current_metrics, log_event
from amaranthbay.workspaces.buckets import SETTLE_S, Bucket, Pace, Position, wait_s
from amaranthbay.workspaces.relays import Relays

__all__ = ["Charge", "Quotas", "Shortage"]

# The process looks at the clock and at its peers this often. A longer time between two
# looks is a pause, in which others may have charged what this process didn't hear of.
WATCH_INTERVAL_S = 0.2
PAUSE_S = 1.0
# Time for which the fleet that the process hears is not looked up again.
FLEET_TTL_S = 0.1
# Full reports name charges for this long after the last one, and until busy peers
# have confirmed them. Instances on standby get two or three such reports.
REPORTED_S = 1.5
# A process that has not charged a workspace for this long begins a new count, after
# its peers have forgotten nothing of the old one.
COUNT_TTL_S = 10.0
BUCKET_TTL_S = 20.0
# An instance on standby joins the busy ones again if it has not charged for this long.
# Its peers wait for its confirmations for longer; see `CHARGING_S` in
# `fleet.peer_view`.
JOINED_S = 2.0
# Time after which a join that was not confirmed is reported again.
JOIN_RETRY_S = 0.2
SWEEP_INTERVAL_S = 1.0
# Charged units are reported soon from this part of what may be unknown of them.
REPORTED_PART = 0.25
# Callers that are refused come back over this part of their wait in addition.
RETURN_SPREAD = 0.25
# Longest time ahead for which refill is promised to refused callers. Those beyond it
# wait no longer, as most callers give up then.
MAX_PROMISE_S = 4.0
# Longest time after which a refused caller is told to come back.
MAX_RETRY_S = 3600.0


@dataclass(frozen=True)
class Shortage:
    """Why a request may not be charged now.

    Attributes:
        retry_s: Seconds after which it probably may.
        level: Units in the bucket of the workspace.
    """

    retry_s: float
    level: float


class Charge:
    """Units that were charged for one request."""

    def __init__(self, give_back=lambda: None):
        self._give_back = give_back

    def refund(self):
        """Gives the units back, as the request did not run and never will."""
        give_back, self._give_back = self._give_back, lambda: None
        give_back()


class Quotas:
    """The buckets of all workspaces that are in use, as this process knows them."""

    def __init__(
        self,
        clock,
        fleet,
        process_number,
        bounds,
        find_workspace,
        rng,
        shared_time=lambda: 0.0,
        report_soon=lambda: None,
        join=lambda: None,
    ):
        """Creates the quotas, with empty buckets.

        Args:
            clock: `Clock`.
            fleet: `FleetShares` of this instance.
            process_number: Number that identifies this process among its peers.
            bounds: Function that returns the `QuotaBounds` in force.
            find_workspace: Function of a name that returns the `Workspace` in force;
                None if there is none.
            rng: `random.Random` that spreads the retries of callers.
            shared_time: Function that returns the time in seconds on the clock that the
                instances share.
            report_soon: Function that requests a report of changes; see
                `Peers.report_soon`.
            join: Function that requests a full report to all; see `Peers.join`.
        """
        self._clock = clock
        self._fleet = fleet
        self._process_number = process_number
        self._bounds = bounds
        self._find_workspace = find_workspace
        self._rng = rng
        self._shared_time = shared_time
        self._report_soon = report_soon
        self._join = join
        # Mark from after which busy peers know that this process charges, and the times
        # of its last join or charge, and of the last report of the join.
        self._join_mark = 0
        self._joined_at = self._join_sent_at = -inf
        self._buckets = {}
        # Number of the last charge. 0 means that a process has no quotas.
        self._mark = 1
        # Mark of each workspace that this process has charged, in order of the marks.
        self._marks = {}
        # Monotonic time up to which the refill of a workspace is promised to callers
        # that were refused.
        self._promised = {}
        # Last charge of each other process that this one has heard of, and last charge
        # of this process that each of them has.
        self._heard = {}
        self._confirmed = {}
        # What each process that is waited for has confirmed, and the time since which
        # that has not grown.
        self._unconfirmed = {}
        self._relays = Relays(process_number)
        # Time at which each other process reported charges for the last time.
        self._heard_at = {}
        self._reported_at = -inf
        self._looked_at = clock.monotonic()
        self._wall_offset_s = self._read_wall_offset()
        self._resumed_at = -inf
        self._swept_at = self._looked_at
        self._part = fleet.part(self._resumed_at, self._takes_part)
        self._part_at = self._looked_at
        self._pace = Pace(self._looked_at, self._part.part)

    def charge(self, workspace, units):
        """Charges a request to the quota of its workspace, or refuses it.

        Args:
            workspace: `Workspace` of the request.
            units: Units of the request.

        Returns:
            ``Result[Charge, Shortage]``.
        """
        charged = self.try_charge(workspace, units)
        return charged if charged.is_ok() else Err(self.refuse(workspace, units))

    def try_charge(self, workspace, units):
        """Charges a request if its quota allows it now; see `charge`.

        The `Shortage` doesn't count as a refusal.
        """
        quota = self._bounds().quota_of(workspace)
        if quota is None or units <= 0:
            return Ok(Charge())
        now = self._look()
        bucket, needed_s, is_urgent = self._check(workspace, quota, units)
        if needed_s:
            return Err(Shortage(needed_s, bucket.level))
        self._mark += 1
        self._joined_at = now
        bucket.charge(units, self._mark, now)
        self._marks.pop(workspace.name, None)
        self._marks[workspace.name] = self._mark
        if is_urgent:
            self._report_soon()
        return Ok(Charge(lambda: bucket.refund(units)))

    def _check(self, workspace, quota, units):
        """Returns the bucket, the seconds until a charge may be, and its urgency.

        A charge is urgent if peers have to hear of it soon.
        """
        bucket = self._bucket(workspace.name, quota)
        open_units = bucket.open_units(self._confirmed_mark())
        position = self._position()
        if units > self._bounds().limit(workspace):
            # It would exceed the window by itself, whenever it came.
            return bucket, MAX_RETRY_S, False
        needed_s = wait_s(quota, bucket.level, units, open_units, position)
        if not needed_s and not self._is_joined():
            return bucket, SETTLE_S, False
        unreported = REPORTED_PART * position.share * quota.unknown
        return bucket, needed_s, open_units + units >= unreported

    def _is_joined(self):
        """Returns whether the busy peers know that this process charges.

        Instances on standby don't report their charges to each other, and busy ones
        don't wait for them. Each would use what one instance may charge ahead of
        its share. It first joins the busy ones, which then expect its reports.
        """
        if self._part.is_chosen:
            return True
        now = self._looked_at
        if now - self._joined_at > JOINED_S:
            self._mark += 1
            self._join_mark, self._joined_at = self._mark, now
            self._send_join()
        if self._join_mark <= self._confirmed_mark():
            return True
        if now - self._join_sent_at > JOIN_RETRY_S:
            self._send_join()
        return False

    def _send_join(self):
        self._join_sent_at = self._looked_at
        self._join()

    def refuse(self, workspace, units):
        """Counts a refusal; returns its `Shortage`.

        What refills is promised to one refused caller after the other, so that they
        don't all come back for the same units.
        """
        quota = self._bounds().quota_of(workspace)
        now = self._look()
        bucket, needed_s, _ = self._check(workspace, quota, units)
        promised_at = max(now, self._promised.get(workspace.name, now))
        promised_at = min(promised_at + units / quota.rate_per_s, now + MAX_PROMISE_S)
        self._promised[workspace.name] = promised_at
        retry_s = min(max(needed_s, promised_at - now), MAX_RETRY_S)
        retry_s *= 1.0 + RETURN_SPREAD * self._rng.random()
        current_metrics().quota_refused(workspace.name, units)
        return Shortage(retry_s, bucket.level)

    def report(self, only_changes=False):
        """Returns the `Usage` of this process.

        Args:
            only_changes: Whether to leave out the charges that all busy peers are known
                to have heard of.
        """
        now = self._look()
        self._sweep(now)
        confirmed = self._confirmed_mark()
        charged = []
        for name, mark in reversed(self._marks.items()):
            bucket = self._buckets[name]
            is_known = mark <= confirmed
            if is_known and (only_changes or now - bucket.charged_at > REPORTED_S):
                break
            charged.append(WorkspaceUsage(name, bucket.since, bucket.count, mark))
        heard_from = self._reported_at if only_changes else now - REPORTED_S
        heard = {
            number: self._heard.get(number, 0)
            for number, heard_at in self._heard_at.items()
            if heard_at >= heard_from
        }
        self._reported_at = now
        after = min(confirmed, self._mark) if only_changes else 0
        joins = self._join_mark > confirmed and now - self._joined_at <= JOINED_S
        relays = self._relays
        missing = relays.changed_missing(now) if only_changes else relays.missing()
        relayed = relays.take_pending()
        charged = tuple(reversed(charged))
        return Usage(after, self._mark, charged, heard, joins, missing, relayed)

    def merge(self, status):
        """Merges the usage that a `PeerStatus` of a peer reports."""
        usage, process = status.usage, status.process
        if not usage.upto and not usage.has_news():
            return
        now = self._look()
        if self._relays.note(status, now):
            self._report_soon()
        self._merge_usage(process, usage, now)
        for relayed in usage.relayed:
            if relayed.process != self._process_number:
                self._relays.note_relayed(relayed, now)
                known = self._heard.get(relayed.process, 0)
                self._merge_usage(relayed.process, relayed, now)
                if self._heard.get(relayed.process, 0) > known:
                    # A join raises the number without a charge, and is answered too.
                    self._heard_at[relayed.process] = now
        if usage.joins:
            # The peers to wait for include the sender from now on.
            self._heard_at[process] = now
            self._part_at = -inf

    def _merge_usage(self, process, usage, now):
        """Merges the `Usage` of a process, or its `RelayedUsage`."""
        self._confirmed.setdefault(process, 0)
        for entry in usage.charged:
            self._merge_entry(process, entry, now)
        if usage.after <= self._heard.get(process, 0):
            self._heard[process] = max(self._heard.get(process, 0), usage.upto)
        own_mark = usage.heard.get(self._process_number, 0)
        if self._confirmed[process] < own_mark <= self._mark:
            self._confirmed[process] = own_mark
        if usage.charged:
            self._heard_at[process] = now

    def _merge_entry(self, process, entry, now):
        known = self._buckets.get(entry.workspace)
        if known is not None and known.knows(process, entry.since, entry.count):
            return
        workspace = self._find_workspace(entry.workspace)
        quota = self._bounds().quota_of(workspace) if workspace is not None else None
        if quota is not None:
            bucket = self._bucket(entry.workspace, quota)
            bucket.note(process, entry.since, entry.count, quota, now)

    def run(self):
        """Looks at the clock and at the peers regularly, for ever."""
        while True:
            self._look()
            self._clock.sleep(WATCH_INTERVAL_S)

    def _bucket(self, name, quota):
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = Bucket(self._pace)
        bucket.advance(quota, self._pace)
        return bucket

    def _look(self):
        """Applies the time that has passed and what is heard of peers.

        Returns:
            The monotonic time.
        """
        now, wall_offset_s = self._clock.monotonic(), self._read_wall_offset()
        if (
            now - self._looked_at > PAUSE_S
            or abs(wall_offset_s - self._wall_offset_s) > PAUSE_S
        ):
            log_event("quota_paused", seconds=round(now - self._looked_at, 3))
            self._resumed_at = now
            self._part_at = -inf
            self._unconfirmed.clear()
            self._pace.empty(now)
        self._looked_at, self._wall_offset_s = now, wall_offset_s
        if now - self._part_at >= FLEET_TTL_S:
            self._part = self._find_part(now)
            self._part_at = now
            self._pace.advance(now, self._part.part)
            confirming = self._part.confirming
            charges = now - self._joined_at <= JOINED_S
            if self._relays.look(now, confirming, self._resumed_at, charges):
                self._report_soon()
        return now

    def _find_part(self, now):
        previous, self._unconfirmed = self._unconfirmed, {}
        open_mark = next(reversed(self._marks.values()), 0)
        if now - self._joined_at <= JOINED_S:
            open_mark = max(open_mark, self._join_mark)

        def unconfirmed_since(process):
            confirmed = self._confirmed[process]
            known, since = previous.get(process, (None, now))
            if known != confirmed:
                if confirmed >= open_mark:
                    return None
                since = now
            # Without progress it stays, also when the charges are no longer reported:
            # the next ones would be held up in the same way.
            self._unconfirmed[process] = (confirmed, since)
            return since

        part = self._fleet.part(
            self._resumed_at,
            self._takes_part,
            unconfirmed_since,
            self._relays.heard(now),
        )
        if self._relays.has_unheard(now, lambda process: self._heard.get(process, 0)):
            # What the unheard process charges is known to those that hear it, and they
            # leave this one its share.
            return replace(part, part=part.share)
        return part

    def _read_wall_offset(self):
        return self._clock.now().timestamp() - self._clock.monotonic()

    def _takes_part(self, process):
        return process in self._confirmed

    def _confirmed_mark(self):
        """Returns the last charge that all busy peers that are heard have heard of.

        A process that was replaced since the last look is no longer waited for.
        """
        return min(
            (self._confirmed.get(process, inf) for process in self._part.confirming),
            default=inf,
        )

    def _position(self):
        part = self._part
        return Position(
            share=part.share,
            part=part.part,
            rank=part.rank,
            instances=len(part.confirming) + 1,
            shared_s=self._shared_time() or 0.0,
        )

    def _sweep(self, now):
        """Drops what is no longer needed."""
        if now - self._swept_at < SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        for name in list(self._marks):
            if now - self._buckets[name].charged_at <= COUNT_TTL_S:
                break
            del self._marks[name]
            self._buckets[name].forget_own()
        self._drop_idle_buckets(now)
        running = self._fleet.processes()
        self._relays.sweep(now, running)
        running = running | self._relays.processes()
        for numbers in (self._heard, self._heard_at, self._confirmed):
            for number in [number for number in numbers if number not in running]:
                del numbers[number]

    def _drop_idle_buckets(self, now):
        idle = [
            name
            for name, bucket in self._buckets.items()
            if now - bucket.heard_at > BUCKET_TTL_S and name not in self._marks
        ]
        for name in idle:
            self._promised.pop(name, None)
            workspace = self._find_workspace(name)
            quota = self._bounds().quota_of(workspace) if workspace else None
            if quota is None or self._buckets[name].is_full(quota, self._pace):
                del self._buckets[name]
