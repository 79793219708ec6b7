"""Finds the log lines about one request and says them in sentences."""

import msgspec

__all__ = ["explain_lines", "read_lines", "sentence"]

# Fields that a sentence shows in other ways, or that are the same on each line.
_SHOWN = {
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
    """Yields the JSON lines of log files; other lines are passed over."""
    if stream is not None:
        yield from _decoded(stream)
    for path in paths or ():
        with open(path, encoding="utf-8", errors="replace") as file:
            yield from _decoded(file)


def _decoded(texts):
    for text in texts:
        # Collectors of logs put the time and the instance before each line.
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = msgspec.json.decode(text[start:], type=dict)
        except msgspec.DecodeError:
            continue
        if "time" in line:
            yield line


def explain_lines(request_id, lines):
    """Returns the lines about a request and its attempts, in order of time.

    A line about an attempt may not name the request, and may come in another
    daemon's file before the line that connects the two.
    """
    attempts = set()
    named = []
    by_attempt = {}
    for line in lines:
        attempt = line.get("attempt_id")
        if line.get("request_id") == request_id:
            named.append(line)
            attempts.add(attempt)
        elif attempt is not None and "request_id" not in line:
            by_attempt.setdefault(attempt, []).append(line)
    attempts.discard(None)
    for attempt in attempts:
        named.extend(by_attempt.get(attempt, ()))
    return sorted(named, key=lambda line: line["time"])


def sentence(line):
    """Returns one log line in words."""
    head = f"{line['time']} {line.get('instance', '?')}:"
    rest = ", ".join(
        f"{key} {line[key]}"
        for key in line
        if key not in _SHOWN and line[key] not in (None, "")
    )
    tail = f" ({rest})" if rest else ""
    if line.get("event") == "decision":
        return f"{head} {_decision(line)}{tail}"
    reason = f": {line['reason']}" if line.get("reason") else ""
    return f"{head} {line['event'].replace('_', ' ')}{reason}{tail}"


def _decision(line):
    chosen = line.get("chosen")
    if not chosen:
        return f"{line['decision']} chose nothing: {line['reason']}"
    names = chosen if isinstance(chosen, str) else ", ".join(chosen)
    count = line.get("candidate_count", 0)
    return f"{line['decision']} chose {names} of {count}: {line['reason']}"
