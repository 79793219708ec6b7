"""Accounts for the streams and the prompts of a day by what the logs say of them."""

from collections import Counter, defaultdict
from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Fate", "StreamLedger", "stream_ledger"]

# Fields of lines about a stream that an instance has opened or placed.
STREAM_EVENTS = frozenset(("prefilled", "stream_opened", "stream_ended"))
STREAM_DECISION = "stream_servers"
# Events that tell why a prompt was computed in vain, and the fields with the cause.
CAUSES = {
    "handle_refused": (),
    "server_refused": ("status",),
    "attempt_failed": ("reason",),
    "caller_gone": (),
    "request_ended": ("reason", "outcome"),
}


class Fate(StrEnum):
    """What became of a stream; each has one."""

    IN_TIME = "in time"
    LATE_START = "first event late"
    LATE_GAP = "a gap too long"
    REFUSED = "refused"
    BROKEN = "broken off"
    CALLER_LEFT = "caller left"
    LOST = "process ended"


@dataclass(frozen=True)
class StreamLedger:
    """Streams by fate, and prompt tokens by use.

    Attributes:
        streams: Number of streams by `Fate`, and for those refused or broken off by
            the reason beside it.
        tokens: Computed prompt tokens by cause; an empty text for those that a decode
            server has fetched.
    """

    streams: dict[tuple[Fate, str], int]
    tokens: dict[str, int]

    def count(self):
        """Returns the number of streams."""
        return sum(self.streams.values())


def stream_ledger(lines, target_s, gap_s):
    """Returns the `StreamLedger` of log lines.

    Args:
        lines: Decoded lines of all instances, in the order of each.
        target_s: Time to the head of an answer that counts as late.
        gap_s: Pause between events that counts as too long.
    """
    by_request = defaultdict(list)
    for line in lines:
        if line.get("request_id"):
            by_request[line["request_id"]].append(line)
    streams, tokens = Counter(), Counter()
    for found in by_request.values():
        if _is_stream(found):
            streams[_fate(found, target_s, gap_s)] += 1
            for cause, count in _prompts(found):
                tokens[cause] += count
    return StreamLedger(dict(streams), dict(tokens))


def _is_stream(lines):
    return any(
        line["event"] in STREAM_EVENTS or line.get("decision") == STREAM_DECISION
        for line in lines
    )


def _fate(lines, target_s, gap_s):
    """Returns the `Fate` of a stream and its reason."""
    last = {line["event"]: line for line in lines}
    if "stream_ended" in last:
        if last["stream_opened"]["seconds"] > target_s:
            return Fate.LATE_START, ""
        if last["stream_ended"].get("longest_gap_s", 0.0) > gap_s:
            return Fate.LATE_GAP, ""
        return Fate.IN_TIME, ""
    end = last.get("request_ended", {})
    if "caller_gone" in last or end.get("outcome") == "gone":
        return Fate.CALLER_LEFT, ""
    if end.get("outcome") == "refused":
        return Fate.REFUSED, str(end.get("reason", ""))
    if not end:
        return Fate.LOST, ""
    return Fate.BROKEN, str(end.get("reason", ""))


def _prompts(lines):
    """Yields the cause and the tokens of each prompt that was computed."""
    prompts = [n for n, line in enumerate(lines) if line["event"] == "prefilled"]
    for start, end in zip(prompts, [*prompts[1:], len(lines)]):
        after = lines[start + 1 : end]
        opened = any(line["event"] == "stream_opened" for line in after)
        yield "" if opened else _cause(after), lines[start]["tokens"]


def _cause(lines):
    for line in lines:
        if line["event"] in CAUSES:
            detail = [str(line.get(name) or "") for name in CAUSES[line["event"]]]
            return " ".join(filter(None, [line["event"], *detail]))
    return "process ended"
