"""Replicated token buckets: the decisions, without a clock and a network of their own.

Each instance has a replica of the bucket of a workspace. It charges its own requests at
once, and those of its peers when it hears of them.
"""

from dataclasses import dataclass
from math import exp, inf, log

from amaranthbay.workspaces.types import QuotaUnit

__all__ = ["Bucket", "Pace", "Position", "Quota", "QuotaBounds", "wait_s"]

# Time in which a charge is known to the busy peers and they have said so.
SETTLE_S = 0.05
# Wait where no refill is due, as after a pause, until reports have arrived.
UNKNOWN_WAIT_S = 1.0
# Turn of some instances to pass a request that not all of them could pass at once, and
# the end of it that is left out, in which the charges of the turn become known.
TURN_S = 0.25
TURN_END_S = 0.1
# Part of the overshoot that unknown charges may use. As much covers charges that no
# process knows any more after a kill, or that a cut left unknown.
UNKNOWN_FRACTION = 0.35
# Part of the overshoot by which rate and burst are raised, each, so that what the
# replicas don't know exactly refuses nothing under the limit.
LENIENT_FRACTION = 0.15
# An instance that hears less of the fleet passes no request above the burst.
MIN_PART_ABOVE_BURST = 0.5
ROUNDING = 1e-6


@dataclass(frozen=True)
class Quota:
    """Limit of one workspace.

    Attributes:
        rate_per_s: Units per second.
        burst: Most units that the bucket holds.
        unknown: Units that all instances together may have charged without each
            other's knowledge.
    """

    rate_per_s: float
    burst: float
    unknown: float


@dataclass(frozen=True)
class QuotaBounds:
    """What the platform tolerates beyond a quota.

    Attributes:
        window_s: Window in seconds over which it counts.
        overshoot: Excess as a fraction of what the window allows.
        slack_tokens: Excess in addition, for quotas in tokens.
    """

    window_s: float = 8.0
    overshoot: float = 0.1
    slack_tokens: float = 0.0

    def limit(self, workspace):
        """Returns the largest number of units that may begin to run in a window."""
        allowed = workspace.rate_per_s * self.window_s + workspace.burst
        return allowed + self._excess(workspace)

    def quota_of(self, workspace):
        """Returns the `Quota` of a `Workspace`; None if it has no limit."""
        if not workspace.rate_per_s:
            return None
        excess = self._excess(workspace)
        lenient = LENIENT_FRACTION * excess
        return Quota(
            workspace.rate_per_s + lenient / self.window_s,
            workspace.burst + lenient,
            UNKNOWN_FRACTION * excess,
        )

    def _excess(self, workspace):
        allowed = workspace.rate_per_s * self.window_s + workspace.burst
        slack = self.slack_tokens if workspace.unit is QuotaUnit.TOKENS else 0.0
        return self.overshoot * allowed + slack


class Pace:
    """Progress of the refill, the same for all buckets of a process.

    A part of the fleet that hears a fraction of it refills at that fraction of the
    rate. If the fraction falls, each bucket gives up what the silent peers may use.

    Attributes:
        part: Fraction of the fleet that this process hears, itself included.
        full_s: Seconds at the full rate that have passed.
        kept_log: Logarithm of the fraction of its units that a bucket has kept.
        emptied_s: `full_s` at which all buckets counted as empty for the last time.
        emptied_log: `kept_log` at that time.
    """

    def __init__(self, now, part):
        """Starts with empty buckets, of which earlier processes may have used all."""
        self.part = part
        self.full_s = 0.0
        self.kept_log = 0.0
        self.emptied_s = 0.0
        self.emptied_log = 0.0
        self._now = now

    def advance(self, now, part):
        """Adds the time that has passed, and applies a new fraction."""
        self.full_s += max(0.0, now - self._now) * self.part
        self._now = now
        if part < self.part:
            self.kept_log += log(part / self.part)
        self.part = part

    def empty(self, now):
        """Empties all buckets after a pause, in which the refill doesn't count."""
        self._now = now
        self.emptied_s, self.emptied_log = self.full_s, self.kept_log


class Bucket:
    """This process's replica of the bucket of one workspace.

    Attributes:
        level: Units that may be charged; negative after a charge that was too large,
            or that was not known in time.
        count: Units that this process has charged.
        since: Number of the charge with which `count` began; 0 if there is none.
        mark: Number of the last charge of this process.
        charged_at: Monotonic time of that charge.
        heard_at: Monotonic time of the last change of any kind.
    """

    __slots__ = (
        "level",
        "count",
        "since",
        "mark",
        "charged_at",
        "heard_at",
        "_counts",
        "_open",
        "_largest",
        "_full_s",
        "_kept_log",
    )

    def __init__(self, pace):
        """Creates a bucket that was last empty when all buckets were."""
        self.level = 0.0
        self.count = self.since = self.mark = 0
        self.charged_at = self.heard_at = -inf
        self._counts = {}
        self._open = []
        self._largest = 0
        self._full_s, self._kept_log = pace.emptied_s, pace.emptied_log

    def advance(self, quota, pace):
        """Refills the bucket up to the current state of the `Pace`."""
        if self._full_s < pace.emptied_s:
            self.level = min(self.level, 0.0)
            self._full_s, self._kept_log = pace.emptied_s, pace.emptied_log
        if self._kept_log != pace.kept_log:
            self.level *= exp(pace.kept_log - self._kept_log)
            self._kept_log = pace.kept_log
        self.level += quota.rate_per_s * (pace.full_s - self._full_s)
        self._full_s = pace.full_s
        self.level = min(self.level, quota.burst * pace.part)

    def is_full(self, quota, pace):
        """Returns whether a new bucket would be no different."""
        self.advance(quota, pace)
        return self.level >= quota.burst * pace.part - ROUNDING

    def open_units(self, confirmed):
        """Returns the units that not all busy peers are known to have heard of.

        Args:
            confirmed: Number of the last charge that all of them have heard of.
        """
        while self._open and self._open[0][0] <= confirmed:
            del self._open[0]
        return sum(units for _, units in self._open)

    def charge(self, units, mark, now):
        """Charges a request of this process, which its peers have to be told."""
        self.level -= units
        self._largest = max(self._largest, units)
        self.heard_at = now
        self.count += units
        self.since = self.since or mark
        self.mark, self.charged_at = mark, now
        self._open.append((mark, units))

    def refund(self, units):
        """Gives back the units of a request that did not run.

        Peers go on counting them as charged: their buckets may have refilled since, and
        units that were charged long ago must not be usable everywhere at once.
        """
        self.level += units

    def forget_own(self):
        """Drops the own count; the next charge begins a new one."""
        self.count = self.since = self.mark = 0
        self._open.clear()

    def knows(self, process, since, count):
        """Returns whether a count of a peer is known, or an older one; see `note`."""
        return (since, count) <= self._counts.get(process, (0, 0))

    def note(self, process, since, count, quota, now):
        """Charges what a peer reports beyond what is known of it.

        Args:
            process: Number of its process.
            since: Number of the charge with which its count began.
            count: Units that it has charged since.
            quota: `Quota` of the workspace.
            now: Monotonic time.
        """
        if self.knows(process, since, count):
            return
        known_since, known = self._counts.get(process, (0, 0))
        units = count - known if since == known_since else count
        self._counts[process] = (since, count)
        self.heard_at = now
        # All instances together never charge more than this beyond the level, so that
        # a lower level is that of charges from before this process heard of any.
        lowest = min(self.level, -(quota.unknown + max(quota.burst, self._largest)))
        self.level = max(lowest, self.level - units)


@dataclass(frozen=True)
class Position:
    """What an instance knows of the fleet when it charges.

    Attributes:
        share: Its share of the quota while it hears nobody.
        part: Sum of the shares of all that it hears, itself included.
        rank: Its position among the busy instances that it hears, by name.
        instances: Number of these, itself included.
        shared_s: Time in seconds on the clock that the instances share.
    """

    share: float
    part: float
    rank: int = 0
    instances: int = 1
    shared_s: float = 0.0


def wait_s(quota, level, units, open_units, position):
    """Returns the seconds until a request may be charged; 0 if it may be now.

    Args:
        quota: `Quota` of the workspace.
        level: Level of this replica.
        units: Units of the request.
        open_units: Charged units that some busy peers may not have heard of.
        position: `Position` of this instance.

    Examples:
        >>> quota = Quota(rate_per_s=100.0, burst=100.0, unknown=45.0)
        >>> alone = Position(share=1.0, part=1.0)
        >>> wait_s(quota, 100.0, 40, 0, alone), wait_s(quota, 20.0, 40, 0, alone)
        (0.0, 0.2)
    """
    full = quota.burst * position.part
    needed = min(units, full)
    if not _may_exceed_burst(quota, units, full, position):
        return UNKNOWN_WAIT_S
    if level < needed - ROUNDING:
        refill_per_s = quota.rate_per_s * position.part
        return (needed - level) / refill_per_s if refill_per_s else UNKNOWN_WAIT_S
    if position.instances == 1:
        return 0.0
    # Each instance may have charged its share of the level and of what may be unknown
    # without being heard of, so that all together stay within both.
    known = position.share * (quota.unknown + max(level, 0.0) / position.part)
    if open_units + units <= known:
        return 0.0
    if open_units:
        return SETTLE_S
    return _turn_wait_s(quota.unknown * position.part + level, units, position)


def _may_exceed_burst(quota, units, full, position):
    """Returns whether a request may pass that is larger than a full bucket."""
    if units <= full:
        return True
    if units > quota.burst:
        return position.part >= MIN_PART_ABOVE_BURST
    return units - full <= quota.unknown * position.part


def _turn_wait_s(room, units, position):
    """Returns the seconds until this instance may pass one request ahead of its share.

    As many instances may at once as the room holds requests; they take turns.

    Args:
        room: Units that all instances that hear each other may charge at once.
        units: Units of the request.
        position: `Position` of this instance.
    """
    at_once = max(1, int(room / units))
    if at_once >= position.instances:
        return 0.0
    turn, into_s = divmod(position.shared_s, TURN_S)
    ahead = (position.rank - int(turn) * at_once) % position.instances
    if ahead < at_once and into_s < TURN_S - TURN_END_S:
        return 0.0
    turns = max(1, ahead // at_once)
    return turns * TURN_S - into_s
