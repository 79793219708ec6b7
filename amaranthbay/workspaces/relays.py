"""Usage of quotas that a third instance passes on while a single link is cut.

An instance that doesn't hear a busy peer asks another one to pass on what this peer
reports. It then charges, confirms and is confirmed as if the link worked. Counts are
cumulative, so that charges that arrive on both ways count once.
"""

from dataclasses import dataclass, field
from math import inf

from amaranthbay.fleet.reports import RelayedUsage
from amaranthbay.observe import log_event
from amaranthbay.workspaces.shares import QUEUED_S

__all__ = ["Relays"]

# A peer is late after this many of its intervals between full reports, and this time.
# Usage must be passed on before the peer counts as silent; see `shares.SILENT_S`.
LATE_INTERVALS = 1.5
LATE_S = 0.1
# Interval that is assumed of a process that was never heard.
USUAL_INTERVAL_S = 0.2
# A peer counts as heard for this long after a third instance passed on its usage. Its
# confirmations are awaited meanwhile, so that a lost datagram costs nothing.
RELAYED_S = 1.5
# Another instance is asked if nothing was passed on for this long.
RETRY_S = 0.5
# A request to pass on usage holds for this long. Full reports repeat it.
REQUEST_TTL_S = 1.5
# Reports of changes have requests for this long after one has changed.
REQUESTED_S = 0.1
# A process is asked for until this long after it was waited for or known to charge.
WANTED_S = 10.0
# A process that charged while nobody passed it on counts as charging for this long.
INDIRECT_TTL_S = 1.5
# Silence after which charges that others have heard are no late reports.
UNHEARD_S = 1.0
# Most processes that are asked for; their requests fit into a datagram.
MAX_MISSING = 40
# Most usages that wait for the next report. Peers repeat what they report.
MAX_PENDING = 32
# Shortest interval between two log lines about peers that are not heard.
LOG_INTERVAL_S = 10.0


@dataclass
class _IndirectCharges:
    """What third instances have heard of a process.

    Attributes:
        first_at: Monotonic time at which one named the process for the first time.
        mark: Number of its last charge that any of them has heard of.
        grown_at: Time at which this number grew for the last time.
        reporters: Time at which each third process named it for the last time.
    """

    first_at: float
    mark: int = 0
    grown_at: float = -inf
    reporters: dict = field(default_factory=dict)


class Relays:
    """Finds peers that only others hear, and passes on usage to those that ask."""

    def __init__(self, process_number):
        """Creates it.

        Args:
            process_number: Number that identifies this process among its peers.
        """
        self._process_number = process_number
        # Time of the last report of each process, and its interval.
        self._direct = {}
        self._indirect = {}
        # Time until which each process is asked for while it is late.
        self._wanted = {}
        # Process that was asked for each one that is late, and the time.
        self._asked = {}
        self._changed_at = self._logged_at = -inf
        # Instance of each process that was passed on, and the time.
        self._relayed = {}
        # Processes that ask this one to pass on the usage of a process, and the times.
        self._requests = {}
        self._pending = []
        self._resumed_at = -inf

    def heard(self, now):
        """Returns the process of each instance that is heard through others only."""
        fresh_from = max(now - RELAYED_S, self._resumed_at + QUEUED_S)
        return {
            instance: process
            for process, (instance, relayed_at) in self._relayed.items()
            if relayed_at > fresh_from
        }

    def has_unheard(self, now, heard_mark):
        """Returns whether a process charges that this one doesn't hear in any way.

        Args:
            now: Monotonic time.
            heard_mark: Function of a process that returns the number of its last charge
                that this process has heard of.
        """
        return any(
            charges.mark > heard_mark(process)
            and now - charges.grown_at <= INDIRECT_TTL_S
            and charges.grown_at - self._last_heard(process) > UNHEARD_S
            for process, charges in self._indirect.items()
        )

    def look(self, now, confirming, resumed_at, is_charging):
        """Decides which processes to ask for, and whom.

        Args:
            now: Monotonic time.
            confirming: Processes whose confirmations are awaited.
            resumed_at: Time at which the last pause of this process ended.
            is_charging: Whether this process has charged quotas lately. Its charges
                then wait for the confirmations of idle peers, too.

        Returns:
            Whether other requests than before have to be reported soon.
        """
        self._resumed_at = resumed_at
        self._wanted.update(dict.fromkeys(confirming, now + WANTED_S))
        asked = {}
        for process, wanted_until in tuple(self._wanted.items()):
            if now > wanted_until:
                del self._wanted[process]
            elif (
                self._is_late(process, now)
                and (is_charging or self._charges_elsewhere(process, now))
                and len(asked) < MAX_MISSING
            ):
                helper = self._choose_helper(process, confirming, now)
                if helper is not None:
                    asked[process] = helper
        previous, self._asked = self.missing(), asked
        if not asked or self.missing() == previous:
            return False
        self._changed_at = now
        if now - self._logged_at > LOG_INTERVAL_S:
            self._logged_at = now
            log_event("quota_relay_requested", processes=len(asked))
        return True

    def missing(self):
        """Returns the process that is asked, by the process whose usage is missing."""
        return {process: helper for process, (helper, _) in self._asked.items()}

    def changed_missing(self, now):
        """Returns `missing` if it has changed lately; nothing otherwise."""
        return self.missing() if now - self._changed_at <= REQUESTED_S else {}

    def note(self, status, now):
        """Notes a report of a peer.

        Args:
            status: `PeerStatus` of a datagram.
            now: Monotonic time.

        Returns:
            Whether usage has to be passed on soon.
        """
        self._direct[status.process] = (now, status.interval_s)
        self._note_indirect(status.usage.heard, status.process, now)
        for process, helper in status.usage.missing.items():
            if helper == self._process_number:
                self._requests.setdefault(process, {})[status.process] = now
        return self._pass_on(status, now)

    def note_relayed(self, relayed, now):
        """Notes a `RelayedUsage` for this process."""
        self._relayed[relayed.process] = (relayed.instance, now)
        self._note_indirect(relayed.heard, relayed.process, now)

    def take_pending(self):
        """Returns the `RelayedUsage` to report now."""
        pending, self._pending = self._pending, []
        return tuple(pending)

    def processes(self):
        """Returns the processes that were passed on lately."""
        return set(self._relayed)

    def sweep(self, now, running):
        """Drops what is no longer needed.

        Args:
            now: Monotonic time.
            running: Numbers of the processes whose reports are kept.
        """
        for process in [name for name in self._direct if name not in running]:
            del self._direct[process]
        for process, (_, relayed_at) in tuple(self._relayed.items()):
            if now - relayed_at > WANTED_S:
                del self._relayed[process]
        for process, charges in tuple(self._indirect.items()):
            if now - max(charges.reporters.values()) > WANTED_S:
                del self._indirect[process]
        for process, askers in tuple(self._requests.items()):
            if now - max(askers.values()) > REQUEST_TTL_S:
                del self._requests[process]

    def _note_indirect(self, heard, reporter, now):
        for process, mark in heard.items():
            if process == self._process_number:
                continue
            charges = self._indirect.get(process)
            if charges is None:
                charges = self._indirect[process] = _IndirectCharges(now)
            charges.reporters[reporter] = now
            if mark > charges.mark:
                charges.mark, charges.grown_at = mark, now
                self._wanted[process] = now + WANTED_S

    def _pass_on(self, status, now):
        askers = self._requests.get(status.process)
        # Reports that waited in the socket during a pause of this process are old.
        if not askers or now <= self._resumed_at + QUEUED_S:
            return False
        usage = status.usage
        is_fresh = now - max(askers.values()) <= REQUEST_TTL_S
        if is_fresh and len(self._pending) < MAX_PENDING:
            self._pending.append(
                RelayedUsage(
                    status.instance,
                    status.process,
                    usage.after,
                    usage.upto,
                    usage.charged,
                    usage.heard,
                    usage.missing,
                )
            )
        return is_fresh and bool(usage.charged or askers.keys() & usage.heard)

    def _last_direct(self, process):
        """Returns the time of the last report of a process, or from which to count."""
        charges = self._indirect.get(process)
        default_s = charges.first_at if charges else -inf
        heard_at = self._direct.get(process, (default_s, USUAL_INTERVAL_S))[0]
        return max(heard_at, self._resumed_at)

    def _last_heard(self, process):
        """Returns the time at which a process was heard, or passed on."""
        relayed_at = self._relayed.get(process, ("", -inf))[1]
        return max(self._last_direct(process), relayed_at)

    def _is_late(self, process, now):
        interval_s = self._direct.get(process, (0.0, USUAL_INTERVAL_S))[1]
        late_s = LATE_INTERVALS * interval_s + LATE_S
        return now - self._last_direct(process) > late_s

    def _charges_elsewhere(self, process, now):
        """Returns whether third instances have heard charges of a process lately.

        Instances that don't charge ask for no others. Without quotas, hundreds of them
        would ask one another for each process that is late or has ended.
        """
        charges = self._indirect.get(process)
        return charges is not None and (
            now - max(charges.reporters.values()) <= INDIRECT_TTL_S
        )

    def _choose_helper(self, process, confirming, now):
        """Returns the process to ask for another one, and the time; None if none.

        Those that have named it lately are asked first, one after the other.
        """
        heard = [other for other in sorted(confirming) if not self._is_late(other, now)]
        charges = self._indirect.get(process)
        reporters = charges.reporters if charges else {}
        recent = [
            other
            for other in heard
            if now - reporters.get(other, -inf) <= INDIRECT_TTL_S
        ]
        candidates = recent or heard
        if not candidates:
            return None
        helper, asked_at = self._asked.get(process, (None, -inf))
        relayed_at = self._relayed.get(process, ("", -inf))[1]
        if helper in candidates:
            if now - max(asked_at, relayed_at) <= RETRY_S:
                return helper, asked_at
            index = candidates.index(helper) + 1
        else:
            index = process ^ self._process_number
        return candidates[index % len(candidates)], now
