"""Checks of a soak run on what the backend servers ask of the processes."""

from collections import defaultdict

from amaranthbay.platform.tests.soak.deployment import DRAIN_S
from amaranthbay.platform.tests.soak.history import (
    CONTACT_S,
    FAULT_KINDS,
    check,
    count_times,
)

__all__ = [
    "leaving_servers_get_nothing",
    "limits_are_kept",
    "pauses_are_kept",
    "servers_that_announce_leaving_get_nothing",
]

# At most this many requests may reach a server in its pause. Those that arrive within
# `IN_TRANSIT_S` after the server asked for the pause don't count, as they may have been
# on their way.
MAX_PAUSE_REQUESTS, IN_TRANSIT_S = 2, 0.5
# In each window, half as much again as its limit allows and five more requests reach a
# server, from processes that know of the limit for `TOLD_S`.
LIMIT_WINDOW_S, LIMIT_FACTOR, LIMIT_SLACK, TOLD_S = 4.0, 1.5, 5, 0.5
# Faults of a process that excuse it from limits: a cut from the store does not.
LIMIT_EXCUSES = frozenset(("Pause", "Kill", "KillAll", "Stop"))
LINK_FAULTS = frozenset(("CallerLink", "StoreLink", "Reset"))


@check
def leaving_servers_get_nothing(history):
    """A server receives no request later than `DRAIN_S` after the store acknowledged
    that the server leaves."""
    deployment = history.deployment
    for attempt, arrivals in history.arrivals.items():
        exchange = history.by_attempt.get(attempt)
        for arrival in arrivals:
            left_at = deployment.leaving_since.get(arrival.server)
            if (
                exchange is None
                or left_at is None
                or arrival.arrived_at <= left_at + DRAIN_S
            ):
                continue
            excused = any(
                deployment.had_fault(target, left_at - CONTACT_S, arrival.arrived_at)
                for target in (exchange.process, "store")
            )
            if not excused:
                late_s = arrival.arrived_at - left_at
                yield f"{attempt} reached {arrival.server} {late_s:.1f} s after it left"


@check
def servers_that_announce_leaving_get_nothing(history):
    """A server receives no request that was sent later than `DRAIN_S` after the process
    forwarded an answer in which the server announced that it leaves."""
    announced = {}
    for notice in history.deployment.notices():
        exchange = history.by_attempt.get(notice.attempt)
        if notice.pause_s or exchange is None or not exchange.complete:
            continue
        key = exchange.process, notice.server
        announced[key] = min(announced.get(key, exchange.ended_at), exchange.ended_at)
    for attempt, arrivals in history.arrivals.items():
        exchange = history.by_attempt.get(attempt)
        for arrival in arrivals if exchange is not None else ():
            announced_at = announced.get((exchange.process, arrival.server))
            if announced_at is None or exchange.sent_at <= announced_at + DRAIN_S:
                continue
            ignored_kinds = LINK_FAULTS | {"Reload"}
            if not history.deployment.had_fault(
                exchange.process, announced_at, arrival.arrived_at, ignored_kinds
            ):
                yield f"{attempt} reached {arrival.server}, which announced it leaves"


@check
def pauses_are_kept(history):
    """At most `MAX_PAUSE_REQUESTS` requests of a process reach a server in a pause for
    which the server asked that process."""
    arrival_times = defaultdict(list)
    for attempt, arrivals in history.arrivals.items():
        exchange = history.by_attempt.get(attempt)
        for arrival in arrivals if exchange is not None else ():
            arrival_times[exchange.process, arrival.server].append(arrival.arrived_at)
    for notice in history.deployment.notices():
        exchange = history.by_attempt.get(notice.attempt)
        if not notice.pause_s or exchange is None:
            continue
        start, end = notice.sent_at + IN_TRANSIT_S, notice.sent_at + notice.pause_s
        count = count_times(arrival_times[exchange.process, notice.server], start, end)
        ignored_kinds = {"Reset", "Reload"}
        excused = history.deployment.had_fault(
            exchange.process, notice.sent_at, end, ignored_kinds
        )
        if count > MAX_PAUSE_REQUESTS and not excused:
            yield f"{count} requests reached {notice.server} in a pause"


@check
def limits_are_kept(history):
    """From `CONTACT_S` after a server first named its limit, no more requests reach it
    than allowed, from all processes that have forwarded an answer with the limit."""
    deployment = history.deployment
    named_limits = defaultdict(list)
    for named in deployment.named_limits():
        named_limits[named.server].append(named)
    for server, named in named_limits.items():
        named.sort(key=lambda answer: answer.sent_at)
        start, end = named[0].sent_at, named[-1].sent_at
        place = server.rsplit("-", 1)[0]
        # A faulty link delivers at once what it has held up.
        if deployment.had_fault(place, start, end, FAULT_KINDS - {"ServerLink"}):
            continue
        times = list(_times_of_informed_processes(history, named, start, end))
        rate_per_s = max(answer.rate_per_s for answer in named)
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * rate_per_s + LIMIT_SLACK
        for moment in times:
            count = count_times(times, moment - LIMIT_WINDOW_S, moment + 1e-6)
            if moment >= start + CONTACT_S and count > allowed:
                yield f"{count} requests in 4 s reached {server}, allowed {allowed:.0f}"
                break


def _times_of_informed_processes(history, named_limits, start, end):
    """Yields the arrival times of requests from processes that know of a limit.

    Args:
        history: `RunHistory`.
        named_limits: `NamedLimit` of each answer of one server with its limit.
        start: Monotonic time of the first of these answers.
        end: Monotonic time of the last one.
    """
    informed_at = {}
    for named in named_limits:
        exchange = history.by_attempt.get(named.attempt)
        if exchange is not None and exchange.complete:
            known_at = informed_at.get(exchange.process, exchange.ended_at)
            informed_at[exchange.process] = min(known_at, exchange.ended_at)
    for attempt, arrivals in history.arrivals.items():
        exchange = history.by_attempt.get(attempt)
        for arrival in arrivals:
            if exchange is None or arrival.server != named_limits[0].server:
                continue
            known_at = informed_at.get(exchange.process, end) + TOLD_S
            is_excused = history.deployment.had_fault(
                exchange.process, start, arrival.arrived_at, FAULT_KINDS - LIMIT_EXCUSES
            )
            if known_at <= arrival.arrived_at <= end and not is_excused:
                yield arrival.arrived_at
