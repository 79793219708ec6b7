"""Checks of a soak run on software versions of servers and streams taken up again."""

import math
from collections import defaultdict

from amaranthbay.platform.tests.soak.callers import KINDS
from amaranthbay.platform.tests.soak.history import CONTACT_S, check
from amaranthbay.platform.tests.soak.streams import read_events

__all__ = ["MIN_TAKEN_UP", "streams_stay_at_one_version", "taken_up_streams_go_on"]

# At least this share of the streams that are taken up go on, if there are enough.
MIN_SHARE, MIN_TAKEN_UP = 0.5, 12
# Number of decode servers of a version that must serve.
MIN_SERVERS = 2
# Faults that leave a server able to go on with streams; which servers a release makes
# leave is known.
HARMLESS_KINDS = frozenset(("Release", "Silence"))


@check
def streams_stay_at_one_version(history):
    """No stream holds events that two versions wrote, in one answer or in several."""
    for stream, exchanges in _streams(history).items():
        events = [e for exchange in exchanges for e in read_events(exchange.body)[0]]
        versions = {event.software for event in events}
        if len(versions) > 1:
            written = ", ".join(f"{event.number} {event.software}" for event in events)
            yield f"{stream} holds events of {len(versions)} versions: {written}"


@check
def taken_up_streams_go_on(history):
    """Half of the streams that callers take up go on, if two sound decode servers of
    their version have served all the while; also half of those beside another version.

    Those whose store or processes had a fault in the `CONTACT_S` before don't count.
    """
    went_on, went_on_beside = {}, {}
    for stream, exchanges in _streams(history).items():
        begun, *take_ups = exchanges
        if not take_ups or not _is_due(history, begun, take_ups):
            continue
        goes_on = any(read_events(exchange.body)[0] for exchange in take_ups)
        if goes_on or not take_ups[-1].abandoned:
            went_on[stream] = goes_on
            if _is_beside_another_version(history, begun, take_ups):
                went_on_beside[stream] = goes_on
    for what, outcomes in (("", went_on), (" beside another version", went_on_beside)):
        share = sum(outcomes.values()) / max(1, len(outcomes))
        if len(outcomes) >= MIN_TAKEN_UP and share < MIN_SHARE:
            failed = [stream for stream, goes_on in outcomes.items() if not goes_on]
            yield (
                f"{share:.0%} of {len(outcomes)} streams that were taken up{what} went "
                f"on, not {', '.join(failed[:5])}"
            )


def _streams(history):
    """Returns the exchanges of each stream, by its id, in order of time."""
    streams = defaultdict(list)
    for exchange in sorted(history.exchanges, key=lambda e: e.sent_at):
        if KINDS[exchange.kind].stream:
            streams[exchange.stream].append(exchange)
    return streams


def _is_due(history, begun, take_ups):
    """Returns whether a stream should go on.

    Args:
        history: The `RunHistory`.
        begun: `Exchange` that brought the first event.
        take_ups: Each later `Exchange` of the stream.
    """
    start, end = take_ups[0].sent_at, take_ups[-1].ended_at
    if history.deployment.had_fault("store", start - CONTACT_S, end):
        return False
    if any(map(history.is_excused, take_ups)):
        return False
    version = _version(begun)
    servers = [
        server
        for server in history.deployment.all_servers()
        if server.stage == "decode"
        and server.software == version
        and _has_served(history.deployment, server, start, end)
    ]
    return len(servers) >= MIN_SERVERS


def _is_beside_another_version(history, begun, take_ups):
    """Returns whether decode servers of another version served at the same time."""
    version = _version(begun)
    deployment = history.deployment
    return any(
        server.stage == "decode"
        and server.software != version
        and server.started_at <= take_ups[-1].ended_at
        and deployment.leaving_since.get(server.name, math.inf) >= take_ups[0].sent_at
        for server in deployment.all_servers()
    )


def _version(begun):
    """Returns the version that wrote the first event of a stream."""
    events, _ = read_events(begun.body)
    return events[0].software


def _has_served(deployment, server, start, end):
    """Returns whether a server has served for a whole interval without a fault."""
    place = server.name.rsplit("-", 1)[0]
    return (
        server.started_at <= start
        and deployment.leaving_since.get(server.name, end) >= end
        and not any(
            deployment.had_fault(target, start, end, HARMLESS_KINDS)
            for target in (place, server.stage)
        )
    )
