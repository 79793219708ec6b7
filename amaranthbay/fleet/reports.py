"""Reports that entry instances send each other as UDP datagrams.

A full report has all loads of its sender, in one datagram or several. Between two full
reports, the sender reports only changed loads: with dozens of busy servers, a full
report takes six times as many bytes.
"""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from amaranthbay.observe import log_event
from amaranthbay.utils.decoding import Count64

__all__ = [
    "CRASH_FIELDS",
    "MAX_DATAGRAM_BYTES",
    "LimitNotice",
    "MeasuredDemand",
    "MergedReport",
    "PartBlock",
    "PeerStatus",
    "RelayedUsage",
    "ServerLoad",
    "Usage",
    "WorkspaceUsage",
    "add_datagram",
    "encode_datagram",
    "has_valid_part",
    "split_report",
]

MAX_DATAGRAM_BYTES = 1400
# Loads that fit into a datagram with the other fields. A load, which is a name and
# three numbers, takes up to 30 bytes.
LOADS_PER_DATAGRAM = 24
# A full report of all servers at the target size takes 55 datagrams.
MAX_DATAGRAMS = 64
# Bytes of usage in a datagram, and most bytes of one heard charge. The other fields fit
# in the rest.
USAGE_BYTES = 1100
HEARD_BYTES = 18
# Heard charges of a datagram that has nothing else of the usage.
MAX_HEARD = 60
# Heard charges that leave enough room for entries beside them.
MAX_HEARD_BESIDE = 20
# Fields that go into a datagram of their own if the details don't fit into one.
CRASH_FIELDS = (
    "crashes",
    "crashed_parts",
    "sound_parts",
    "blocked_parts",
    "sound_requests",
    "known_crashes",
)
# Numbers in datagrams. The bounds are far beyond those of sound reports; they keep out
# negative work, NaN, infinity and numbers that become infinite in sums and products.
Amount = Annotated[float, msgspec.Meta(ge=0.0, le=1e100)]
Seconds = Annotated[float, msgspec.Meta(ge=-1e100, le=1e100)]
# The longest interval of reports that is believed. An instance counts as live for some
# intervals after its last report.
Interval = Annotated[float, msgspec.Meta(ge=0.0, le=60.0)]


class ServerLoad(msgspec.Struct, frozen=True, array_like=True):
    """Work that one instance has placed on a model server.

    Attributes:
        running: Number of requests that are placed on the server.
        memory_tokens: Tokens of KV cache that these requests hold or will hold.
        prefill_tokens: Prompt tokens of these requests that are not computed yet.
    """

    running: Count64 = 0
    memory_tokens: Count64 = 0
    prefill_tokens: Count64 = 0

    def __add__(self, other):
        return ServerLoad(
            self.running + other.running,
            self.memory_tokens + other.memory_tokens,
            self.prefill_tokens + other.prefill_tokens,
        )


class MeasuredDemand(msgspec.Struct, frozen=True, array_like=True):
    """What an instance's latest streams of one service took; see `relay.demand`.

    Attributes:
        prompt_tokens: Mean length of a prompt in tokens.
        prefill_speed: Prompt tokens per second that a prefill server computes; 0 if
            unknown.
        decode_s: Mean time in seconds that a stream takes on a decode server.
        streams: Number of streams that the means cover.
        prefill_base_s: Seconds that each prompt takes regardless of its length.
    """

    prompt_tokens: Amount
    prefill_speed: Amount
    decode_s: Amount
    streams: Count64
    prefill_base_s: Amount = 0.0


class LimitNotice(msgspec.Struct, frozen=True, array_like=True):
    """What an answer of a backend server has said of its limit; see `relay.limits`.

    Attributes:
        noted_at: Time of the answer on the store's clock in seconds; of an answer
            without a limit, the time at which its request was sent.
        rate_per_s: Requests per second that the server takes from all instances
            together; None if its limit has ended.
    """

    noted_at: Seconds
    rate_per_s: Amount | None = None


class PartBlock(msgspec.Struct, frozen=True, array_like=True):
    """A part of a prompt that is refused; see `relay.crash_parts`.

    Attributes:
        left_s: Seconds for which it is still refused.
        block_s: Seconds for which it is refused in all.
        crashes: Names of the crashes at which it was present.
    """

    left_s: Amount
    block_s: Amount
    crashes: tuple[str, ...]


class WorkspaceUsage(msgspec.Struct, frozen=True, array_like=True):
    """Units of its quota that one process has charged for a workspace.

    Attributes:
        workspace: Name of the workspace.
        since: Number of the charge with which the count began.
        count: Units that the process has charged since then.
        mark: Number of the last of these charges.
    """

    workspace: str
    since: Count64
    count: Count64
    mark: Count64


class RelayedUsage(msgspec.Struct, frozen=True, array_like=True):
    """Usage of a process that another one passes on; see `workspaces.relays`.

    Attributes:
        instance: Name of the instance that charged.
        process: Number of its process.
        after: As in its `Usage`, like the fields below.
        upto: See `Usage`.
        charged: See `Usage`.
        heard: See `Usage`.
        missing: See `Usage`.
    """

    instance: str
    process: int
    after: Count64 = 0
    upto: Count64 = 0
    charged: tuple[WorkspaceUsage, ...] = ()
    heard: dict[int, Count64] = {}
    missing: dict[int, int] = {}


class Usage(msgspec.Struct, frozen=True, array_like=True):
    """Charges of one process; see `workspaces.quotas`.

    Attributes:
        after: Number of the charge after which `charged` is complete.
        upto: Number of the charge up to which it is; 0 if the process has no quotas.
        charged: `WorkspaceUsage` of each workspace charged in between, by mark.
        heard: Number of the last charge that the sender has heard of, by the number of
            the process that charged.
        joins: Whether the sender is not known as busy yet and waits to hear that the
            busy instances know that it charges.
        missing: Number of the process that is asked to pass on the usage of another
            one, by the number of the latter, which the sender doesn't hear.
        relayed: `RelayedUsage` for recipients that have asked for it.
    """

    after: Count64 = 0
    upto: Count64 = 0
    charged: tuple[WorkspaceUsage, ...] = ()
    heard: dict[int, Count64] = {}
    joins: bool = False
    missing: dict[int, int] = {}
    relayed: tuple[RelayedUsage, ...] = ()

    def has_news(self):
        """Returns whether recipients need it although no load has changed."""
        return bool(self.charged or self.heard or self.missing or self.relayed)


_NO_USAGE = Usage()


class PeerStatus(msgspec.Struct, frozen=True, array_like=True):
    """Status of an entry instance, as one datagram of a report.

    Each datagram has some of the loads and of the usage. Only the first one has the
    other details of a full report; those of crashes may follow in the second one. A
    report of changes has none of them: they are as in the last full report.

    Attributes:
        instance: Name of the sender.
        process: Random number that identifies the process of the sender.
        sequence: Number of the report; rises with each report of the process.
        serving: Whether callers may be sent to the sender.
        loads: `ServerLoad` by backend server, without those that are zero.
        demands: `MeasuredDemand` by service.
        switching: Target stage of each model server that the sender has ordered into
            another pool and that is not listed there yet.
        interval_s: Seconds until the sender's next regular full report.
        crashes: Names of crashes, by fingerprint of the request that the crashed
            server ran; see `relay.crashes`.
        versions: Version of the last change that the sender has seen, by table.
        lost_handles: Prefill servers whose KV cache can't be fetched; see
            `relay.handles`.
        part: Index of the datagram in the report, from 0.
        parts: Number of datagrams of the report.
        only_changes: Whether the report has only the loads that changed since the
            previous report, with zeros for loads that ended.
        era: Era of the store that `versions` belong to; None if the store reports none.
        configuration: Version of the configuration in force; 0 for none.
        leaving: Backend servers whose answers say that they leave, with the start of
            their process in Unix milliseconds.
        limits: `LimitNotice` of each backend server whose answers to the sender have
            named or ended a limit lately.
        crashed_parts: Names of crashes by part of a prompt that was present at them;
            see `relay.crash_parts`.
        sound_parts: Suspected parts of prompts on which streams have completed.
        blocked_parts: `PartBlock` by part of a prompt.
        sound_requests: Fingerprints of suspected requests that were answered.
        known_crashes: Seconds since each crash that the sender knows of, by its name,
            by fingerprint; see `relay.crash_requests`.
        usage: `Usage` of quotas. In a report of changes, it has the charges that not
            all busy peers are known to have heard of.
    """

    instance: str
    process: int
    sequence: int
    serving: bool
    loads: dict[str, ServerLoad]
    demands: dict[str, MeasuredDemand] = {}
    switching: dict[str, str] = {}
    interval_s: Interval = 0.2
    crashes: dict[str, tuple[str, ...]] = {}
    versions: dict[str, int] = {}
    lost_handles: tuple[str, ...] = ()
    part: int = 0
    parts: int = 1
    only_changes: bool = False
    era: int | None = None
    configuration: int = 0
    leaving: dict[str, int] = {}
    limits: dict[str, LimitNotice] = {}
    crashed_parts: dict[str, tuple[str, ...]] = {}
    sound_parts: tuple[str, ...] = ()
    blocked_parts: dict[str, PartBlock] = {}
    sound_requests: tuple[str, ...] = ()
    known_crashes: dict[str, dict[str, Amount]] = {}
    usage: Usage = _NO_USAGE


@dataclass(frozen=True)
class MergedReport:
    """The newest state of a peer, merged from the datagrams that it sent.

    Attributes:
        status: `PeerStatus` with the loads of all datagrams, changes included.
        datagrams: `PeerStatus` of each datagram of the last full report, by part.
        changes: Sequence number of the report and `ServerLoad` for each load that
            changed after the full report, by server.
        received_at: Monotonic time at which the latest datagram arrived.
    """

    status: PeerStatus
    datagrams: dict
    changes: dict
    received_at: float

    def parts(self):
        """Returns the number of datagrams of the last full report."""
        return next(iter(self.datagrams.values())).parts

    def has_report(self, sequence):
        """Returns whether the last full report has this sequence number."""
        return any(
            datagram.sequence == sequence for datagram in self.datagrams.values()
        )


def split_report(status):
    """Splits a report into datagrams.

    Args:
        status: `PeerStatus` with all loads and the whole usage of the report.

    Returns:
        List of the `PeerStatus` of each datagram.
    """
    usage = status.usage
    status = msgspec.structs.replace(status, usage=_NO_USAGE)
    loads = sorted(status.loads.items())
    chunks = [
        dict(loads[first : first + LOADS_PER_DATAGRAM])
        for first in range(0, len(loads), LOADS_PER_DATAGRAM)
    ] or [{}]
    plain = _without_details(status)
    datagrams = [msgspec.structs.replace(plain, loads=chunk) for chunk in chunks]
    first = msgspec.structs.replace(status, loads=chunks[0])
    if _fits(first):
        datagrams[0] = first
    else:
        # Details that leave no room for loads, as after a crash, go by themselves.
        details = msgspec.structs.replace(status, loads={})
        datagrams = [*_split_details(details), *datagrams]
    count = len(datagrams)
    datagrams = _add_usage(datagrams, usage, plain)
    return [
        msgspec.structs.replace(datagram, part=part, parts=count)
        for part, datagram in enumerate(datagrams[:count])
    ] + datagrams[count:]


def _add_usage(datagrams, usage, plain):
    """Adds a `Usage` to the datagrams of a report, and more datagrams if needed.

    What doesn't fit into `MAX_DATAGRAMS` follows in a later report: each datagram
    states the charges between which it is complete.

    Args:
        datagrams: `PeerStatus` of each datagram, without usage.
        usage: `Usage` of the whole report.
        plain: `PeerStatus` without loads and details for further datagrams.
    """
    parts = _split_usage(usage)
    if parts == [_NO_USAGE]:
        return datagrams
    added = []
    # Receivers forget loads and versions when the number of datagrams of a full report
    # changes, so that those of usage alone don't count.
    spare = msgspec.structs.replace(plain, loads={}, only_changes=True)
    for datagram in datagrams:
        with_part = msgspec.structs.replace(datagram, usage=parts[0])
        if parts[0] is not _NO_USAGE and _fits(with_part):
            datagram = with_part
            parts = parts[1:] or [_NO_USAGE]
        added.append(datagram)
    rest = [part for part in parts if part is not _NO_USAGE]
    added += [msgspec.structs.replace(spare, usage=part) for part in rest]
    return added[: max(len(datagrams), MAX_DATAGRAMS)]


def _split_usage(usage):
    """Splits a `Usage` into some that fit into a datagram each."""
    parts, chunk, size, after = _split_relayed(usage), [], 0, usage.after
    heard = dict(usage.heard)
    while len(heard) > MAX_HEARD_BESIDE:
        first = dict(list(heard.items())[:MAX_HEARD])
        parts.append(Usage(after, after, (), first))
        heard = {number: heard[number] for number in heard if number not in first}
    room = USAGE_BYTES - HEARD_BYTES * len(heard)
    for entry in usage.charged:
        entry_size = len(msgspec.msgpack.encode(entry))
        if chunk and size + entry_size > room:
            parts.append(Usage(after, chunk[-1].mark, tuple(chunk), heard))
            after, chunk, size = chunk[-1].mark, [], 0
            heard, room = {}, USAGE_BYTES
        chunk.append(entry)
        size += entry_size
    return [*parts, Usage(after, usage.upto, tuple(chunk), heard, usage.joins)]


def _split_relayed(usage):
    """Returns what a `Usage` has for single instances, as some that fit each."""
    parts, chunk, size = [], [], 0
    if usage.missing:
        parts.append(Usage(usage.after, usage.after, missing=usage.missing))
    for relayed in usage.relayed:
        relayed_size = len(msgspec.msgpack.encode(relayed))
        if chunk and size + relayed_size > USAGE_BYTES:
            parts.append(Usage(usage.after, usage.after, relayed=tuple(chunk)))
            chunk, size = [], 0
        chunk.append(relayed)
        size += relayed_size
    if chunk:
        parts.append(Usage(usage.after, usage.after, relayed=tuple(chunk)))
    return parts


def _fits(status):
    return len(msgspec.msgpack.encode(status)) <= MAX_DATAGRAM_BYTES


def _split_details(status):
    """Splits a `PeerStatus` without loads, so that crashes go by themselves if needed.

    Receivers use what a datagram says of crashes at once, whatever its index.
    """
    if _fits(status):
        return [status]
    crashes = {name: getattr(status, name) for name in CRASH_FIELDS}
    none = {name: type(value)() for name, value in crashes.items()}
    return [
        msgspec.structs.replace(status, **none),
        msgspec.structs.replace(_without_details(status), **crashes),
    ]


def _without_details(status):
    return msgspec.structs.replace(
        status,
        demands={},
        switching={},
        crashes={},
        versions={},
        lost_handles=(),
        leaving={},
        limits={},
        crashed_parts={},
        sound_parts=(),
        blocked_parts={},
        sound_requests=(),
        known_crashes={},
        usage=_NO_USAGE,
    )


def has_valid_part(status):
    """Returns whether ``part`` and ``parts`` of a `PeerStatus` are in range."""
    return 0 <= status.part < status.parts <= MAX_DATAGRAMS


def encode_datagram(status):
    """Encodes a `PeerStatus`, with loads only if it exceeds `MAX_DATAGRAM_BYTES`."""
    frame = msgspec.msgpack.encode(status)
    if len(frame) <= MAX_DATAGRAM_BYTES:
        return frame
    # Placement depends on the loads more than on the details.
    log_event("status_too_large", level="warning", size=len(frame))
    return msgspec.msgpack.encode(_without_details(status))


def add_datagram(merged, status, now):
    """Merges one more datagram into the state of a peer.

    Args:
        merged: `MergedReport` of the same process; None before the first datagram.
        status: `PeerStatus` of the new datagram.
        now: Monotonic time.

    Returns:
        The new `MergedReport`; None if the datagram is outdated, or has changes of a
        full report that is missing.
    """
    if merged is None:
        # Changes can't be applied without a full report.
        return None if status.only_changes else _merge({status.part: status}, {}, now)
    if status.only_changes:
        # The datagrams of one report of changes have the same sequence.
        if status.sequence < merged.status.sequence:
            return None
        newer = {name: (status.sequence, load) for name, load in status.loads.items()}
        return _merge(merged.datagrams, merged.changes | newer, now, status)
    previous = merged.datagrams.get(status.part)
    if previous is not None and status.sequence <= previous.sequence:
        return None
    datagrams = merged.datagrams | {status.part: status}
    if merged.parts() != status.parts:
        if status.sequence < merged.status.sequence:
            return None
        datagrams = {status.part: status}
    changes = {
        name: change
        for name, change in merged.changes.items()
        if change[0] > status.sequence
    }
    return _merge(datagrams, changes, now)


def _merge(datagrams, changes, now, latest=None):
    """Returns the `MergedReport` of a full report and the changes after it.

    Args:
        datagrams: `PeerStatus` of the full report, by part.
        changes: Sequence number and `ServerLoad` of each changed load, by server.
        now: Monotonic time.
        latest: `PeerStatus` of the latest changes; None if a datagram of the full
            report arrived last.
    """
    newest = max(datagrams.values(), key=lambda datagram: datagram.sequence)
    latest = latest or newest
    loads = {}
    for datagram in datagrams.values():
        loads |= datagram.loads
    loads |= {name: load for name, (_, load) in changes.items()}
    status = msgspec.structs.replace(
        datagrams.get(0, newest),
        sequence=max(newest.sequence, latest.sequence),
        serving=latest.serving,
        interval_s=latest.interval_s,
        loads={name: load for name, load in loads.items() if load != ServerLoad()},
    )
    return MergedReport(status, datagrams, changes, now)
