"""Checks of a soak run: what callers and backend servers have seen."""

from collections import Counter, defaultdict

from amaranthbay.platform.tests.soak.callers import DEADLINE_MS, KINDS
from amaranthbay.platform.tests.soak.servers import expected_body, expected_events
from amaranthbay.platform.tests.soak.world import (
    MEMORY_MB,
    REPEAT_ALLOWANCE,
    REPEAT_RATIO,
    REPEAT_WINDOW_S,
)

__all__ = ["CHECKS", "broken_promises"]

# Bounds of the platform's settings, with the names that they have there.
CONFIGURATION_S = 2.0  # ConfigApplyMs
DRAIN_S = 2.0  # DrainMs
CONTACT_S = 3.0  # ContactMs
# A request that is unanswered at its route's time gets its answer this much later.
LATE_S = 0.5
PROMISING = frozenset((408, 421, 429, 503))
STORE_FORMS = frozenset(("Store", "StoreLink", "Restore"))
# Requests that may reach a server in its pause, and the time after the server has asked
# for it in which those on their way don't count.
PAUSE_REQUESTS, ON_THE_WAY_S = 2, 0.5
PLANNED_FORMS = frozenset(("Stop", "Reload"))
LINK_FORMS = frozenset(("CallerLink", "StoreLink", "Reset"))
CHECKS = []


def check(function):
    """Registers a check: a function that yields a sentence for each violation."""
    CHECKS.append(function)
    return function


class Evidence:
    """What a run has left, by the identity of the requests."""

    def __init__(self, world, exchanges):
        self.world = world
        self.exchanges = exchanges
        self.by_attempt = {each.attempt: each for each in exchanges}
        self.arrivals = defaultdict(list)
        for each in sorted(world.arrivals(), key=lambda each: each.at):
            self.arrivals[each.attempt].append(each)

    def runs(self, attempt):
        """Returns the arrivals of a request that ran."""
        return [each for each in self.arrivals[attempt] if each.ran]

    def is_excused(self, exchange, without=frozenset()):
        """Returns whether its process was disturbed while the request was open."""
        return self.world.disturbed(
            exchange.process,
            exchange.sent_at - CONTACT_S,
            exchange.ended_at,
            without,
        )


def broken_promises(world, exchanges):
    """Returns a sentence for each promise that was broken."""
    evidence = Evidence(world, exchanges)
    return [found for function in CHECKS for found in function(evidence)]


@check
def runs_once(evidence):
    """A request that may not be repeated runs once at most."""
    for each in evidence.exchanges:
        runs = evidence.runs(each.attempt)
        if len(runs) > 1 and not KINDS[each.kind].repeatable:
            yield f"{each.attempt} ({each.kind}) ran {len(runs)} times"


@check
def refused_requests_never_run(evidence):
    """A status that promises that nothing ran is true, also later."""
    for each in evidence.exchanges:
        if each.status in PROMISING and evidence.runs(each.attempt):
            yield f"{each.attempt} ({each.kind}) was refused with {each.status} and ran"


@check
def answers_belong_to_their_requests(evidence):
    """A signed answer is that of the server that ran the request."""
    for each in evidence.exchanges:
        if each.trailing:
            yield f"{each.attempt}: {len(each.trailing)} bytes follow its answer"
        stamp = (each.headers or {}).get("x-response-stamp")
        if each.status == 200 and each.complete and stamp is None:
            yield f"{each.attempt}: success without a signature"
        if stamp is None or KINDS[each.kind].stream:
            continue
        servers = {run.server for run in evidence.runs(each.attempt)}
        if stamp.removeprefix("stamp-") not in servers:
            yield f"{each.attempt}: signed {stamp}, ran at {sorted(servers)}"
        elif each.status == 200:
            expected = expected_body(stamp.removeprefix("stamp-"), each.attempt)
            whole = each.body == expected if each.complete else True
            if not whole or not expected.startswith(each.body):
                yield f"{each.attempt}: its body is {each.body[:40]!r}"


@check
def streams_are_in_order(evidence):
    """Events come in order, whole and once; a complete stream has them all."""
    for each in evidence.exchanges:
        if each.status != 200 or not KINDS[each.kind].stream:
            continue
        expected = expected_events(each.attempt)
        if not expected.startswith(each.body):
            yield f"{each.attempt}: events {each.body!r}"
        elif each.complete and each.body != expected:
            yield f"{each.attempt}: ends as complete after {each.body!r}"


@check
def requests_arrive_as_sent(evidence):
    """Servers get what callers sent, at most at as many as the route allows."""
    for attempt, arrivals in evidence.arrivals.items():
        sent = evidence.by_attempt.get(attempt)
        if sent is None:
            # The caller's own record is missing only if its send failed at once.
            yield f"{attempt!r} arrived and was not sent"
            continue
        prompt = b"prompt of " + attempt.encode()
        body = prompt if KINDS[sent.kind].stream else b""
        for each in arrivals:
            if each.target != sent.target or each.body != body:
                yield f"{attempt} arrived as {each.target} {each.body!r}"
        servers = {each.server for each in arrivals if not each.prefill}
        if len(servers) > KINDS[sent.kind].attempts:
            yield f"{attempt} ({sent.kind}) was sent to {sorted(servers)}"


@check
def repeats_keep_their_budget(evidence):
    """Arrivals beyond the first of each request stay within the shared budget."""
    desk = {"look", "book", "pay"}
    sent = sorted(e.sent_at for e in evidence.exchanges if e.kind in desk)
    again = []
    for attempt, arrivals in evidence.arrivals.items():
        known = evidence.by_attempt.get(attempt)
        if known is not None and known.kind in desk:
            again += [each.at for each in arrivals[1:]]
    for start in sent[:: max(1, len(sent) // 50)]:
        window = _count(again, start, start + REPEAT_WINDOW_S)
        asked = max(
            _count(sent, start - shift, start - shift + REPEAT_WINDOW_S)
            for shift in (0, REPEAT_WINDOW_S / 2, REPEAT_WINDOW_S)
        )
        if window > REPEAT_RATIO * asked + REPEAT_ALLOWANCE:
            yield f"{window} repeats for {asked} requests"
            return


def _count(times, start, end):
    return sum(start <= each < end for each in times)


@check
def requests_are_not_lost(evidence):
    """A request that ran is answered if nothing struck its process but the store
    or planned work. A plain answer owes nothing to the soundness of its server."""
    for each in evidence.exchanges:
        if each.left or each.complete or KINDS[each.kind].stream:
            continue
        if not evidence.arrivals[each.attempt]:
            continue
        if not evidence.is_excused(each, STORE_FORMS | PLANNED_FORMS):
            yield f"{each.attempt} ({each.kind}) at {each.process} got no answer"


@check
def answers_come_in_time(evidence):
    """Of the requests without an answer at their route's time, half or more get it
    half a second later."""
    limit_s = DEADLINE_MS / 1000
    late = [
        each
        for each in evidence.exchanges
        if each.seconds > limit_s and not each.left and not evidence.is_excused(each)
    ]
    held = [each for each in late if each.seconds > limit_s + LATE_S]
    if len(held) > max(2, len(late) / 2):
        named = ", ".join(each.attempt for each in held[:5])
        yield f"{len(held)} of {len(late)} answers are late: {named}"


@check
def configuration_is_in_force(evidence):
    """A request is handled by the newest configuration, or by one that was
    acknowledged a moment ago, at a process in touch with the store."""
    world = evidence.world
    for each in evidence.exchanges:
        runs = evidence.runs(each.attempt)
        if each.kind != "move" or not runs:
            continue
        old = [v for v in world.versions if v.at < each.sent_at - CONFIGURATION_S]
        newer = world.versions[len(old) - 1 :] if old else world.versions
        allowed = {v.service for v in newer if v.at <= each.ended_at}
        if {run.service for run in runs} <= allowed:
            continue
        since = newer[0].at - CONTACT_S
        excused = any(
            world.disturbed(target, since, each.ended_at)
            for target in (each.process, "store")
        )
        if not excused:
            yield f"{each.attempt} ran at {runs[0].service}, allowed: {allowed}"


@check
def leaving_servers_get_nothing(evidence):
    """A server gets no request later than the drain bound after the store has
    acknowledged that it leaves."""
    world = evidence.world
    for attempt, arrivals in evidence.arrivals.items():
        sent = evidence.by_attempt.get(attempt)
        for each in arrivals:
            left_at = world.leaving.get(each.server)
            if sent is None or left_at is None or each.at <= left_at + DRAIN_S:
                continue
            excused = any(
                world.disturbed(target, left_at - CONTACT_S, each.at)
                for target in (sent.process, "store")
            )
            if not excused:
                late_s = each.at - left_at
                yield f"{attempt} reached {each.server} {late_s:.1f} s after it left"


@check
def answers_that_say_leaving_are_heeded(evidence):
    """A server gets no request that was sent later than the drain bound after the
    process has passed on an answer in which the server says that it leaves."""
    told = {}
    for each in evidence.world.statements():
        passed = evidence.by_attempt.get(each.attempt)
        if each.pause_s or passed is None or not passed.complete:
            continue
        key = passed.process, each.server
        told[key] = min(told.get(key, passed.ended_at), passed.ended_at)
    for attempt, arrivals in evidence.arrivals.items():
        sent = evidence.by_attempt.get(attempt)
        for each in arrivals if sent is not None else ():
            told_at = told.get((sent.process, each.server))
            if told_at is None or sent.sent_at <= told_at + DRAIN_S:
                continue
            without = LINK_FORMS | {"Reload"}
            if not evidence.world.disturbed(sent.process, told_at, each.at, without):
                yield f"{attempt} reached {each.server}, which had said it leaves"


@check
def pauses_are_kept(evidence):
    """No more than two requests of a process reach a server in a pause that it has
    asked that process for."""
    reached = defaultdict(list)
    for attempt, arrivals in evidence.arrivals.items():
        sent = evidence.by_attempt.get(attempt)
        for each in arrivals if sent is not None else ():
            reached[sent.process, each.server].append(each.at)
    for each in evidence.world.statements():
        sent = evidence.by_attempt.get(each.attempt)
        if not each.pause_s or sent is None:
            continue
        start, end = each.at + ON_THE_WAY_S, each.at + each.pause_s
        count = _count(reached[sent.process, each.server], start, end)
        without = {"Reset", "Reload"}
        excused = evidence.world.disturbed(sent.process, each.at, end, without)
        if count > PAUSE_REQUESTS and not excused:
            yield f"{count} requests reached {each.server} in a pause"


@check
def processes_are_sound(evidence):
    """Processes end by a signal only, in time, and log JSON lines without defects."""
    world = evidence.world
    for name, process in world.processes.items():
        codes = Counter(process.exits)
        if set(codes) - {0}:
            yield f"{name} ended with the codes {dict(codes)}"
        lines, other = world.log_lines(name)
        # A killed process may leave half a line.
        broken = [line for line in other if not line.startswith("{")]
        if broken:
            yield f"{name} logged {broken[0]!r}"
        defects = [line for line in lines if line.get("event") == "defect"]
        if defects:
            yield f"{name} logged {len(defects)} defects: {defects[0]}"
        if world.peaks_mb[name] > MEMORY_MB:
            yield f"{name} took {world.peaks_mb[name]:.0f} MB"
