"""Finds the log lines about one request and renders them as sentences."""

import msgspec

__all__ = ["describe_line", "lines_about", "read_lines"]

# Fields that `describe_line` renders elsewhere, or that are the same on each line.
_OMITTED_FIELDS = {
    "time",
    "level",
    "instance",
    "availability_zone",
    "incarnation",
    "event",
    "decision",
    "chosen",
    "candidates",
    "candidate_count",
    "reason",
    "request_id",
}


def read_lines(paths, stream=None):
    """Yields the decoded JSON log lines of files and a stream; skips other lines.

    Args:
        paths: Log files, or None.
        stream: Iterable of text lines that is read first, or None.

    Raises:
        OSError: If a file can't be read.
    """
    if stream is not None:
        yield from _decode_lines(stream)
    for path in paths or ():
        with open(path, encoding="utf-8", errors="replace") as file:
            yield from _decode_lines(file)


def _decode_lines(text_lines):
    for text in text_lines:
        # Log collectors prefix each line with the time and the instance.
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = msgspec.json.decode(text[start:], type=dict)
        except msgspec.DecodeError:
            continue
        if "time" in line:
            yield line


def lines_about(request_id, lines):
    """Returns the lines about a request and its attempts, sorted by time.

    A line about an attempt may lack the request id, and may appear in another
    daemon's file before the line that links the attempt to the request.

    Args:
        request_id: Id of the request.
        lines: Decoded log lines, in any order.
    """
    attempt_ids = set()
    matching = []
    lines_by_attempt = {}
    for line in lines:
        attempt_id = line.get("attempt_id")
        if line.get("request_id") == request_id:
            matching.append(line)
            attempt_ids.add(attempt_id)
        elif attempt_id is not None and "request_id" not in line:
            lines_by_attempt.setdefault(attempt_id, []).append(line)
    attempt_ids.discard(None)
    for attempt_id in attempt_ids:
        matching.extend(lines_by_attempt.get(attempt_id, ()))
    return sorted(matching, key=lambda line: line["time"])


def describe_line(line):
    """Returns a decoded log line as a sentence."""
    head = f"{line['time']} {line.get('instance', '?')}:"
    details = ", ".join(
        f"{key} {line[key]}"
        for key in line
        if key not in _OMITTED_FIELDS and line[key] not in (None, "")
    )
    tail = f" ({details})" if details else ""
    if line.get("event") == "decision":
        return f"{head} {_describe_decision(line)}{tail}"
    reason = f": {line['reason']}" if line.get("reason") else ""
    return f"{head} {line['event'].replace('_', ' ')}{reason}{tail}"


def _describe_decision(line):
    chosen = line.get("chosen")
    if not chosen:
        return f"{line['decision']} chose nothing: {line['reason']}"
    names = chosen if isinstance(chosen, str) else ", ".join(chosen)
    count = line.get("candidate_count", 0)
    return f"{line['decision']} chose {names} of {count}: {line['reason']}"
