"""Summarizes the outcomes of streams and the use of prefills from log lines."""

from collections import Counter, defaultdict
from dataclasses import dataclass
from enum import StrEnum

__all__ = ["StreamOutcome", "StreamSummary", "summarize_streams"]

# A request with one of these events or with this decision is a stream.
STREAM_EVENTS = frozenset(("prefilled", "stream_opened", "stream_ended"))
STREAM_DECISION = "stream_servers"
# Events that explain why a prefill was wasted, and their fields that detail the cause.
WASTE_CAUSES = {
    "handle_refused": (),
    "server_refused": ("status",),
    "attempt_failed": ("reason",),
    "caller_gone": (),
    "request_ended": ("reason", "outcome"),
}


class StreamOutcome(StrEnum):
    """How a stream ended; each stream has exactly one outcome."""

    IN_TIME = "in time"
    LATE_FIRST_EVENT = "first event late"
    LONG_GAP = "a gap too long"
    REFUSED = "refused"
    BROKEN = "broken off"
    CALLER_LEFT = "caller left"
    PROCESS_ENDED = "process ended"


@dataclass(frozen=True)
class StreamSummary:
    """Streams by outcome, and computed prompt tokens by use.

    Attributes:
        streams: Number of streams by `StreamOutcome` and reason; the reason is empty
            except for refused and broken streams.
        tokens: Number of computed prompt tokens by cause of waste; an empty string
            for tokens whose KV cache a decode server has fetched.
    """

    streams: dict[tuple[StreamOutcome, str], int]
    tokens: dict[str, int]

    def count(self):
        """Returns the total number of streams."""
        return sum(self.streams.values())


def summarize_streams(lines, target_s, gap_s):
    """Returns the `StreamSummary` of log lines.

    Args:
        lines: Decoded log lines of all instances; those of one instance in the order
            in which it wrote them.
        target_s: Longest time in seconds from the arrival of a request to the head
            of its answer; after it, the first event counts as late.
        gap_s: Longest gap in seconds between two events of an answer in time.
    """
    by_request = defaultdict(list)
    for line in lines:
        if line.get("request_id"):
            by_request[line["request_id"]].append(line)
    streams, tokens = Counter(), Counter()
    for request_lines in by_request.values():
        if _is_stream(request_lines):
            streams[_outcome(request_lines, target_s, gap_s)] += 1
            for cause, count in _prefills(request_lines):
                tokens[cause] += count
    return StreamSummary(dict(streams), dict(tokens))


def _is_stream(lines):
    return any(
        line["event"] in STREAM_EVENTS or line.get("decision") == STREAM_DECISION
        for line in lines
    )


def _outcome(lines, target_s, gap_s):
    """Returns the `StreamOutcome` of a request and the reason, which may be empty."""
    last_by_event = {line["event"]: line for line in lines}
    if "stream_ended" in last_by_event:
        # The line is missing if the process has suppressed lines, as under heavy load.
        opened = last_by_event.get("stream_opened", {})
        if opened.get("seconds", 0.0) > target_s:
            return StreamOutcome.LATE_FIRST_EVENT, ""
        if last_by_event["stream_ended"].get("longest_gap_s", 0.0) > gap_s:
            return StreamOutcome.LONG_GAP, ""
        return StreamOutcome.IN_TIME, ""
    end = last_by_event.get("request_ended", {})
    if "caller_gone" in last_by_event or end.get("outcome") == "gone":
        return StreamOutcome.CALLER_LEFT, ""
    if end.get("outcome") == "refused":
        return StreamOutcome.REFUSED, str(end.get("reason", ""))
    if not end:
        # Every request logs its end unless its process ends first.
        return StreamOutcome.PROCESS_ENDED, ""
    return StreamOutcome.BROKEN, str(end.get("reason", ""))


def _prefills(lines):
    """Yields the cause of waste and the token count of each prefill of a request.

    The cause is empty if a stream was opened before the next prefill.
    """
    starts = [n for n, line in enumerate(lines) if line["event"] == "prefilled"]
    for start, end in zip(starts, [*starts[1:], len(lines)]):
        following = lines[start + 1 : end]
        opened = any(line["event"] == "stream_opened" for line in following)
        yield "" if opened else _waste_cause(following), lines[start]["tokens"]


def _waste_cause(lines):
    """Returns the first event that explains a wasted prefill, with its details."""
    for line in lines:
        if line["event"] in WASTE_CAUSES:
            details = [
                str(line.get(name) or "") for name in WASTE_CAUSES[line["event"]]
            ]
            return " ".join(filter(None, [line["event"], *details]))
    return "process ended"
