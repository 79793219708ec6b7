"""Checks of a soak run against what callers and backend servers recorded."""

from collections import Counter, defaultdict

from amaranthbay.platform.tests.soak.callers import DEADLINE_MS, KINDS
from amaranthbay.platform.tests.soak.deployment import (
    MEMORY_MB,
    RETRY_ALLOWANCE,
    RETRY_RATIO,
    RETRY_WINDOW_S,
)
from amaranthbay.platform.tests.soak.faults import FAULTS
from amaranthbay.platform.tests.soak.servers import expected_body, expected_events

__all__ = ["CHECKS", "find_violations"]

# Limits that the platform sets, with the names that it gives them.
CONFIGURATION_S = 2.0  # ConfigApplyMs
DRAIN_S = 2.0  # DrainMs
CONTACT_S = 3.0  # ContactMs; a fault excuses what begins up to this much later
# A request that has no answer at the timeout of its route gets one within this time
# after it.
MAX_LATENESS_S = 0.5
# Statuses that rule out that the request was run, now or later.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
STORE_FAULTS = frozenset(("Store", "StoreLink", "Restore"))
# At most this many requests may reach a server in its pause. Those that arrive within
# `IN_TRANSIT_S` after the server asked for the pause don't count, as they may have been
# on their way.
MAX_PAUSE_REQUESTS, IN_TRANSIT_S = 2, 0.5
# In each window, half as much again as its limit allows and five more requests reach a
# server, from processes that know of the limit for `TOLD_S`.
LIMIT_WINDOW_S, LIMIT_FACTOR, LIMIT_SLACK, TOLD_S = 4.0, 1.5, 5, 0.5
# Faults of a process that excuse it from limits: a cut from the store does not.
LIMIT_EXCUSES = frozenset(("Pause", "Kill", "KillAll", "Stop"))
PLANNED_FAULTS = frozenset(("Stop", "Reload"))
FAULT_KINDS = frozenset(FAULTS)
LINK_FAULTS = frozenset(("CallerLink", "StoreLink", "Reset"))
CHECKS = []


def check(function):
    """Registers a check: a function that yields a sentence for each violation."""
    CHECKS.append(function)
    return function


class RunHistory:
    """Exchanges and arrivals of a run, by attempt id.

    Attributes:
        deployment: The `Deployment`.
        exchanges: Each `Exchange` of the callers.
        by_attempt: `Exchange` by attempt id.
        arrivals: List of `Arrival` by attempt id, in order of time.
    """

    def __init__(self, deployment, exchanges):
        self.deployment = deployment
        self.exchanges = exchanges
        self.by_attempt = {exchange.attempt: exchange for exchange in exchanges}
        self.arrivals = defaultdict(list)
        for arrival in sorted(
            deployment.arrivals(), key=lambda arrival: arrival.arrived_at
        ):
            self.arrivals[arrival.attempt].append(arrival)

    def runs(self, attempt):
        """Returns the arrivals at which a request was run."""
        return [arrival for arrival in self.arrivals[attempt] if arrival.ran]

    def is_excused(self, exchange, ignored_kinds=frozenset()):
        """Returns whether the process had a fault during an exchange.

        A fault that ended up to `CONTACT_S` before the exchange counts too.

        Args:
            exchange: The `Exchange`.
            ignored_kinds: Kinds of faults that don't count.
        """
        return self.deployment.had_fault(
            exchange.process,
            exchange.sent_at - CONTACT_S,
            exchange.ended_at,
            ignored_kinds,
        )


def find_violations(deployment, exchanges):
    """Runs all checks; returns a sentence for each violation.

    Args:
        deployment: `Deployment` of the run.
        exchanges: Each `Exchange` of the callers.
    """
    history = RunHistory(deployment, exchanges)
    return [violation for function in CHECKS for violation in function(history)]


@check
def unrepeatable_requests_run_once(history):
    """A request that must not be repeated runs at most once."""
    for exchange in history.exchanges:
        runs = history.runs(exchange.attempt)
        if len(runs) > 1 and not KINDS[exchange.kind].repeatable:
            yield f"{exchange.attempt} ({exchange.kind}) ran {len(runs)} times"


@check
def refused_requests_never_run(history):
    """A request never runs, not even later, if its status rules out a run."""
    for exchange in history.exchanges:
        if exchange.status in NOT_RUN_STATUSES and history.runs(exchange.attempt):
            yield (
                f"{exchange.attempt} ({exchange.kind}) was refused with "
                f"{exchange.status} and ran"
            )


@check
def answers_match_their_requests(history):
    """A success has a stamp, a stamped answer is that of a server that ran the request,
    and no bytes follow an answer."""
    for exchange in history.exchanges:
        if exchange.trailing:
            yield (
                f"{exchange.attempt}: {len(exchange.trailing)} bytes "
                "follow its answer"
            )
        stamp = (exchange.headers or {}).get("x-response-stamp")
        if exchange.status == 200 and exchange.complete and stamp is None:
            yield f"{exchange.attempt}: success without a stamp"
        if stamp is None or KINDS[exchange.kind].stream:
            continue
        servers = {run.server for run in history.runs(exchange.attempt)}
        if stamp.removeprefix("stamp-") not in servers:
            yield f"{exchange.attempt}: stamped {stamp}, ran at {sorted(servers)}"
        elif exchange.status == 200:
            expected = expected_body(stamp.removeprefix("stamp-"), exchange.attempt)
            whole = exchange.body == expected if exchange.complete else True
            if not whole or not expected.startswith(exchange.body):
                yield f"{exchange.attempt}: unexpected body {exchange.body[:40]!r}"


@check
def streams_are_in_order(history):
    """Events arrive whole, in order and once; a complete stream has all of them."""
    for exchange in history.exchanges:
        if exchange.status != 200 or not KINDS[exchange.kind].stream:
            continue
        expected = expected_events(exchange.attempt)
        if not expected.startswith(exchange.body):
            yield f"{exchange.attempt}: unexpected events {exchange.body!r}"
        elif exchange.complete and exchange.body != expected:
            yield f"{exchange.attempt}: ends as complete after {exchange.body!r}"


@check
def requests_arrive_as_sent(history):
    """Servers receive what callers sent, and no more servers than the route allows."""
    for attempt, arrivals in history.arrivals.items():
        exchange = history.by_attempt.get(attempt)
        if exchange is None:
            # A caller records each request that it begins to send.
            yield f"{attempt!r} arrived, but no caller sent it"
            continue
        prompt = b"prompt of " + attempt.encode()
        body = prompt if KINDS[exchange.kind].stream else b""
        for arrival in arrivals:
            if arrival.target != exchange.target or arrival.body != body:
                yield f"{attempt} arrived changed: {arrival.target} {arrival.body!r}"
        servers = {arrival.server for arrival in arrivals if not arrival.prefill}
        if len(servers) > KINDS[exchange.kind].max_attempts:
            yield (
                f"{attempt} ({exchange.kind}) was sent to too many servers: "
                f"{sorted(servers)}"
            )


@check
def retries_stay_within_budget(history):
    """Arrivals after the first of each request stay within the shared retry budget."""
    desk_kinds = {"look", "book", "pay"}
    sent_at = sorted(
        exchange.sent_at
        for exchange in history.exchanges
        if exchange.kind in desk_kinds
    )
    retried_at = []
    for attempt, arrivals in history.arrivals.items():
        exchange = history.by_attempt.get(attempt)
        if exchange is not None and exchange.kind in desk_kinds:
            retried_at += [arrival.arrived_at for arrival in arrivals[1:]]
    for start in sent_at[:: max(1, len(sent_at) // 50)]:
        retries = _count(retried_at, start, start + RETRY_WINDOW_S)
        # A retry may draw on requests of the window before it.
        requests = max(
            _count(sent_at, start - shift, start - shift + RETRY_WINDOW_S)
            for shift in (0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
        )
        if retries > RETRY_RATIO * requests + RETRY_ALLOWANCE:
            yield f"{retries} retries for {requests} requests"
            return


def _count(times, start, end):
    return sum(start <= moment < end for moment in times)


@check
def requests_are_not_lost(history):
    """A plain request that reached a server is answered, whatever the server does.

    A fault of the entry process is an excuse, but not one of the store or planned work.
    """
    for exchange in history.exchanges:
        if exchange.abandoned or exchange.complete or KINDS[exchange.kind].stream:
            continue
        if not history.arrivals[exchange.attempt]:
            continue
        if not history.is_excused(exchange, STORE_FAULTS | PLANNED_FAULTS):
            yield (
                f"{exchange.attempt} ({exchange.kind}) at {exchange.process} "
                "got no answer"
            )


@check
def answers_come_in_time(history):
    """Of the requests that outlast the timeout of their route, at most half, or two if
    that is more, end later than `MAX_LATENESS_S` after it."""
    timeout_s = DEADLINE_MS / 1000
    late = [
        exchange
        for exchange in history.exchanges
        if exchange.duration_s > timeout_s
        and not exchange.abandoned
        and not history.is_excused(exchange)
    ]
    too_late = [
        exchange
        for exchange in late
        if exchange.duration_s > timeout_s + MAX_LATENESS_S
    ]
    if len(too_late) > max(2, len(late) / 2):
        examples = ", ".join(exchange.attempt for exchange in too_late[:5])
        yield f"{len(too_late)} of {len(late)} late answers are too late: {examples}"


@check
def configuration_is_in_force(history):
    """A process that reaches the store serves a request by the newest configuration
    that is older than `CONFIGURATION_S`, or by a newer one."""
    deployment = history.deployment
    for exchange in history.exchanges:
        runs = history.runs(exchange.attempt)
        if exchange.kind != "move" or not runs:
            continue
        due = [
            version
            for version in deployment.versions
            if version.written_at < exchange.sent_at - CONFIGURATION_S
        ]
        current = deployment.versions[len(due) - 1 :] if due else deployment.versions
        allowed = {
            version.service
            for version in current
            if version.written_at <= exchange.ended_at
        }
        if {run.service for run in runs} <= allowed:
            continue
        since = current[0].written_at - CONTACT_S
        excused = any(
            deployment.had_fault(target, since, exchange.ended_at)
            for target in (exchange.process, "store")
        )
        if not excused:
            yield f"{exchange.attempt} ran at {runs[0].service}, allowed: {allowed}"


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
        count = _count(arrival_times[exchange.process, notice.server], start, end)
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
            count = _count(times, moment - LIMIT_WINDOW_S, moment + 1e-6)
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


@check
def processes_are_sound(history):
    """Processes exit with 0 and in time, log JSON without defects and keep to their
    memory limit."""
    deployment = history.deployment
    for name, process in deployment.processes.items():
        codes = Counter(process.exit_codes)
        if set(codes) - {0}:
            yield f"{name} exited with the codes {dict(codes)}"
        lines, other_lines = deployment.log_lines(name)
        # A killed process may leave an incomplete JSON line.
        stray = [line for line in other_lines if not line.startswith("{")]
        if stray:
            yield f"{name} logged {stray[0]!r}"
        defects = [line for line in lines if line.get("event") == "defect"]
        if defects:
            yield f"{name} logged {len(defects)} defects: {defects[0]}"
        if deployment.peaks_mb[name] > MEMORY_MB:
            yield f"{name} used {deployment.peaks_mb[name]:.0f} MB"
