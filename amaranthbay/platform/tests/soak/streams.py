"""Events of streams, which name their stream and the version that wrote them."""

import re
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

__all__ = [
    "PROMPT",
    "Event",
    "encode_event",
    "event_count",
    "expected_events",
    "read_events",
]

# Start of the body of a request for a stream, before the id of the stream.
PROMPT = b"prompt of "
EVENT_COUNT = 4
EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: (\S+) piece \1 by (\S+)\n\n")


@dataclass(frozen=True)
class Event:
    """An event of a stream.

    Attributes:
        number: Its id, counted from 1.
        stream: Attempt id of the request with which the stream began.
        software: Software version of the server that wrote it.
    """

    number: int
    stream: str
    software: str


def encode_event(event):
    """Returns the bytes of an `Event`.

    Examples:
        >>> encode_event(Event(2, "a1", "v1"))
        b'id: 2\\ndata: a1 piece 2 by v1\\n\\n'
    """
    piece = f"{event.stream} piece {event.number} by {event.software}"
    return f"id: {event.number}\ndata: {piece}\n\n".encode()


def event_count(target):
    """Returns the number of events of a whole stream.

    Args:
        target: Path and query of the request.

    Examples:
        >>> event_count("/resume/a1?events=12")
        12
    """
    query = parse_qs(urlsplit(target).query)
    return int(query.get("events", [EVENT_COUNT])[0])


def expected_events(stream, software="v1", first=1, last=EVENT_COUNT):
    """Returns the bytes of consecutive events that one version wrote."""
    numbers = range(first, last + 1)
    return b"".join(encode_event(Event(n, stream, software)) for n in numbers)


def read_events(body):
    """Returns the whole events at the start of a body, and the bytes after them.

    Examples:
        >>> read_events(b"id: 1\\ndata: a1 piece 1 by v1\\n\\nid: 2")
        ([Event(number=1, stream='a1', software='v1')], b'id: 2')
    """
    events, start = [], 0
    while match := EVENT_PATTERN.match(body, start):
        number, stream, software = match.groups()
        events.append(Event(int(number), stream.decode(), software.decode()))
        start = match.end()
    return events, body[start:]
