"""The shares of the instances in a quota, and which of them this instance hears."""

from dataclasses import dataclass, replace
from math import inf
from types import MappingProxyType

__all__ = ["FleetPart", "FleetShares", "shares_of"]

# Share of a quota for the chosen instances. All instances divide the rest, as callers
# also use addresses from older lookups.
CHOSEN_SHARE = 0.8
# A peer is silent if its last report is older than this, and than this many of its own
# intervals between two reports.
SILENT_S = 1.0
SILENT_INTERVALS = 1.5
# Reports that waited in the socket during a pause of this process are read within this
# time after it; see `QUEUED_S` in `fleet.peer_view`.
QUEUED_S = 0.1
# A silent peer counts as gone for good after this time, as rows of instances are never
# deleted. Partitions and replacements end well before.
GONE_S = 600.0
# The same for a row whose instance this process has never heard, although it hears
# others: at a start, most rows may be those of replaced instances.
NEVER_HEARD_S = 20.0
# Share of a process that has not read the table of instances. The fleet may have the
# target size of 320, and registered instances use the whole quota meanwhile.
UNREAD_SHARE = 0.5 / 320
NOTHING_RELAYED = MappingProxyType({})


@dataclass(frozen=True)
class FleetPart:
    """The part of the fleet that this instance hears.

    Attributes:
        share: Share of this instance.
        part: Sum of the shares of all instances but the silent ones.
        confirming: Number of the process of each busy peer that is heard.
        rank: Position of this instance among these peers and itself, by name.
        is_chosen: Whether its peers expect it to charge, as lookups name it.
    """

    share: float
    part: float
    confirming: tuple[int, ...] = ()
    rank: int = 0
    is_chosen: bool = True


def shares_of(registrations, choose):
    """Returns the share of each registered instance by name; they add up to 1.

    They depend on the registrations alone, so that instances that can't reach each
    other agree on them.

    Args:
        registrations: `Registration` of each instance, live or not.
        choose: Function of these that returns the chosen ones.
    """
    chosen = [registration.instance for registration in choose(registrations)]
    shares = dict.fromkeys(
        (registration.instance for registration in registrations),
        (1 - CHOSEN_SHARE) / len(registrations),
    )
    for name in chosen:
        shares[name] += CHOSEN_SHARE / len(chosen)
    return shares


class FleetShares:
    """Finds the part of the fleet that this instance hears."""

    def __init__(self, clock, peers, choose, stop_s=lambda: inf):
        """Creates the view.

        Args:
            clock: `Clock`.
            peers: `Peers` with the registrations and the last reports.
            choose: See `shares_of`.
            stop_s: Function that returns the longest time in seconds that a planned
                stop of an instance takes.
        """
        self._clock = clock
        self._peers = peers
        self._choose = choose
        self._stop_s = stop_s
        self._registered = ()
        self._shares = {}
        self._first_seen = {}
        self._busy = frozenset()

    def part(
        self,
        resumed_at,
        confirms,
        unconfirmed_since=lambda process: None,
        relayed=NOTHING_RELAYED,
    ):
        """Returns the `FleetPart` at this time.

        Args:
            resumed_at: Monotonic time at which the last pause of this process ended.
                Earlier reports say nothing of what the others know now.
            confirms: Function that returns whether the process of a number takes part
                in quotas; a release without quotas doesn't.
            unconfirmed_since: Function of the number of a process that returns the time
                since which it has confirmed none of the open charges; None if none
                are open.
            relayed: Number of the process of each instance that is heard through
                others, by name.
        """
        now = self._clock.monotonic()
        self._update_shares(now)
        own = self._peers.own.instance
        # An earlier process of this instance may still be passed on.
        relayed = {name: number for name, number in relayed.items() if name != own}
        received = self._peers.received()
        fresh_from = resumed_at + QUEUED_S
        heard = {
            name: merged.status.process
            for name, merged in received.items()
            if merged.received_at > fresh_from and _is_fresh(merged, now)
        }
        self._busy = self._still_busy(heard, received, now)
        # Others are asked to pass on the usage of busy peers. An instance on standby
        # that has stopped charging would otherwise be asked for as long as it is cut.
        using = self._peers.charging_names() | self._peers.usually_chosen_names()
        self._busy |= relayed.keys() & using
        heard = relayed | heard
        # A link that loses all that this process sends would hold its charges up for
        # ever. Such a peer doesn't know of them, like one that is silent.
        limit_s = self._confirm_limit_s()
        for name in self._busy:
            since = unconfirmed_since(heard[name]) if confirms(heard[name]) else None
            if since is not None and now - since > limit_s:
                del heard[name]
        silent = [
            share
            for name, share in self._shares.items()
            if name != own
            and name not in heard
            and not self._is_gone(name, received.get(name), now, bool(heard))
        ]
        share = self._shares[own]
        names = sorted(
            name for name in self._busy if name in heard and confirms(heard[name])
        )
        found = FleetPart(
            share=share,
            part=max(share, 1.0 - sum(silent)) if silent else 1.0,
            confirming=tuple(heard[name] for name in names),
            rank=sum(1 for name in names if name < own),
            is_chosen=self._peers.is_chosen(),
        )
        if self._peers.is_table_read:
            return found
        return replace(found, share=UNREAD_SHARE, part=UNREAD_SHARE)

    def _confirm_limit_s(self):
        """Returns the seconds after which a missing confirmation is no late one."""
        interval_s = self._peers.interval_s()
        return max(SILENT_S, SILENT_INTERVALS * interval_s) + interval_s

    def _still_busy(self, heard, received, now):
        """Returns the names of the peers that are heard and may use the quota.

        These are the busy ones, and those on standby that have charged lately.
        A peer whose report is late is no longer busy for lookups. It may still use the
        quota, and stays in the set until it is silent.
        """
        busy = self._peers.busy_names() | self._peers.charging_names()
        return {
            name
            for name in heard
            if name in busy or (name in self._busy and _is_late(received[name], now))
        }

    def processes(self):
        """Returns the numbers of all processes whose reports are kept."""
        return {merged.status.process for merged in self._peers.received().values()}

    def _update_shares(self, now):
        registered = tuple(self._peers.registrations())
        if registered == self._registered:
            return
        self._registered = registered
        self._shares = shares_of(registered, self._choose)
        self._first_seen = {
            name: self._first_seen.get(name, now) for name in self._shares
        }

    def _is_gone(self, name, merged, now, hears_others):
        """Returns whether a silent instance counts as gone for good."""
        if not hears_others:
            return False
        if merged is None:
            return now - self._first_seen[name] > NEVER_HEARD_S
        silent_s = now - merged.received_at
        # An instance that is replaced says first that it no longer serves.
        return silent_s > (
            GONE_S if merged.status.serving else min(GONE_S, self._stop_s())
        )


def _is_fresh(merged, now):
    longest_s = max(SILENT_S, SILENT_INTERVALS * merged.status.interval_s)
    return now - merged.received_at <= longest_s


def _is_late(merged, now):
    return now - merged.received_at > merged.status.interval_s
