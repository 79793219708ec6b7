"""Reports of the entry instances to each other, as datagrams.

A whole report has all loads of its sender, in one datagram or several. Between two of
them, reports of changed loads follow: with dozens of busy servers a whole one takes six
times as many bytes.
"""

from dataclasses import dataclass

import msgspec

from amaranthbay.observe import log_event

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "Heard",
    "MeasuredDemand",
    "PeerStatus",
    "ServerLoad",
    "add_datagram",
    "encode_datagram",
    "is_sound",
    "split_report",
]

MAX_DATAGRAM_BYTES = 1400
# Loads that fit into a datagram beside the rest: a name and three numbers take up to 30
# bytes.
LOADS_PER_DATAGRAM = 24
# A report of all servers at the target size takes 55 datagrams.
MOST_DATAGRAMS = 64


class ServerLoad(msgspec.Struct, frozen=True, array_like=True):
    """Work that one daemon has placed on a model server.

    Attributes:
        running: Requests that are placed on it.
        memory_tokens: Tokens of KV cache that they hold or will hold.
        prefill_tokens: Prompt tokens that are not computed yet.
    """

    running: int = 0
    memory_tokens: int = 0
    prefill_tokens: int = 0

    def __add__(self, other):
        return ServerLoad(
            self.running + other.running,
            self.memory_tokens + other.memory_tokens,
            self.prefill_tokens + other.prefill_tokens,
        )


class MeasuredDemand(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon's latest streams of one service took; see `relay.demand`.

    Attributes:
        prompt_tokens: Mean length of a prompt.
        prefill_speed: Prompt tokens that a prefill server computes in a second; 0 if
            it can't be told.
        decode_s: Mean seconds of a decode server.
        streams: Number of streams in the means.
        prefill_base_s: Seconds that each prompt takes beside its tokens.
    """

    prompt_tokens: float
    prefill_speed: float
    decode_s: float
    streams: int
    prefill_base_s: float = 0.0


class PeerStatus(msgspec.Struct, frozen=True, array_like=True):
    """What an instance says of itself, in one datagram or several.

    Each datagram has some of the loads; the first one has all else, too. Between two
    whole reports, one may follow with only the loads that have changed.

    Attributes:
        instance: Name of the sender.
        process: Random number of its process.
        sequence: Rises with each report of the process.
        serving: Whether callers may be sent to it.
        loads: `ServerLoad` by backend server, without those that are zero.
        demands: `MeasuredDemand` by service.
        switching: Stage of each model server that it has ordered into another pool
            and that is not listed there yet.
        interval_s: Seconds until its next report to everybody.
        crashes: Names of crashed servers by fingerprint of the request that they
            ran; see `relay.crashes`.
        versions: Version of the last change that it has seen in a table.
        lost_handles: Prefill servers whose KV cache can't be fetched; see
            `relay.handles`.
        part: Number of the datagram in the report.
        parts: Number of datagrams of the report.
        only_changes: Whether the loads are those that have changed since the report
            before, with zeros for those that have ended, and all else is as it was.
        era: Era of the store in which `versions` count; None if it names none.
        configuration: Version of the configuration in force; 0 for none.
        leaving: Backend servers whose answers say that they leave, with the start of
            their process in Unix milliseconds.
    """

    instance: str
    process: int
    sequence: int
    serving: bool
    loads: dict[str, ServerLoad]
    demands: dict[str, MeasuredDemand] = {}
    switching: dict[str, str] = {}
    interval_s: float = 0.2
    crashes: dict[str, tuple[str, ...]] = {}
    versions: dict[str, int] = {}
    lost_handles: tuple[str, ...] = ()
    part: int = 0
    parts: int = 1
    only_changes: bool = False
    era: int | None = None
    configuration: int = 0
    leaving: dict[str, int] = {}


@dataclass(frozen=True)
class Heard:
    """The newest report of a peer.

    Attributes:
        status: What it says, with the loads of all its datagrams and their changes.
        datagrams: `PeerStatus` of each part of the last whole report.
        changes: Sequence and `ServerLoad` of what has changed after it, by server.
        at: Monotonic time of the latest datagram.
    """

    status: PeerStatus
    datagrams: dict
    changes: dict
    at: float

    def parts(self):
        """Returns the number of datagrams of the last whole report."""
        return next(iter(self.datagrams.values())).parts


def split_report(status):
    """Returns the `PeerStatus` of each datagram of a report.

    Args:
        status: `PeerStatus` with all loads.
    """
    loads = sorted(status.loads.items())
    parts = max(1, -(-len(loads) // LOADS_PER_DATAGRAM))
    found = []
    for part in range(parts):
        first = part * LOADS_PER_DATAGRAM
        some = dict(loads[first : first + LOADS_PER_DATAGRAM])
        each = msgspec.structs.replace(status, loads=some, part=part, parts=parts)
        found.append(each if part == 0 else _without_details(each))
    return found


def _without_details(status):
    return msgspec.structs.replace(
        status,
        demands={},
        switching={},
        crashes={},
        versions={},
        lost_handles=(),
        leaving={},
    )


def is_sound(status):
    """Returns whether a `PeerStatus` can be one of a report's datagrams."""
    return 0 <= status.part < status.parts <= MOST_DATAGRAMS


def encode_datagram(status):
    """Returns the bytes of a `PeerStatus`, without details if they would not fit."""
    frame = msgspec.msgpack.encode(status)
    if len(frame) <= MAX_DATAGRAM_BYTES:
        return frame
    # Placement needs the loads most.
    log_event("status_too_large", level="warning", size=len(frame))
    return msgspec.msgpack.encode(_without_details(status))


def add_datagram(known, status, now):
    """Returns the `Heard` with one more datagram, or None if that is no use.

    Args:
        known: `Heard` of the same process, or None.
        status: `PeerStatus` of the new datagram.
        now: Monotonic time.
    """
    if known is None:
        # Changes say nothing without what they change.
        return None if status.only_changes else _merge({status.part: status}, {}, now)
    if status.only_changes:
        # One report of changes may take several datagrams, too.
        if status.sequence < known.status.sequence:
            return None
        newer = {name: (status.sequence, load) for name, load in status.loads.items()}
        return _merge(known.datagrams, known.changes | newer, now, status)
    before = known.datagrams.get(status.part)
    if before is not None and status.sequence <= before.sequence:
        return None
    datagrams = known.datagrams | {status.part: status}
    if known.parts() != status.parts:
        if status.sequence < known.status.sequence:
            return None
        datagrams = {status.part: status}
    changes = {
        name: change
        for name, change in known.changes.items()
        if change[0] > status.sequence
    }
    return _merge(datagrams, changes, now)


def _merge(datagrams, changes, now, latest=None):
    """Returns the `Heard` that datagrams amount to.

    Args:
        datagrams: `PeerStatus` by part.
        changes: Sequence and `ServerLoad` by server.
        now: Monotonic time.
        latest: `PeerStatus` of the latest changes, if they came last.
    """
    newest = max(datagrams.values(), key=lambda each: each.sequence)
    latest = latest or newest
    loads = {}
    for each in datagrams.values():
        loads |= each.loads
    loads |= {name: load for name, (_, load) in changes.items()}
    status = msgspec.structs.replace(
        datagrams.get(0, newest),
        sequence=max(newest.sequence, latest.sequence),
        serving=latest.serving,
        interval_s=latest.interval_s,
        loads={name: load for name, load in loads.items() if load != ServerLoad()},
    )
    return Heard(status, datagrams, changes, now)
