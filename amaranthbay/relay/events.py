"""Splits a stream of server-sent events into whole events."""

import codecs
import re

__all__ = ["MAX_EVENT_BYTES", "EventSplitter"]

# Events hold some tokens each. Comments before the next event count like a part of it.
MAX_EVENT_BYTES = 2**20

# Blank line after an event; lines end with CRLF, LF or CR. A CR at the end of the bytes
# is the whole blank line only if the line before it ended with a CR too.
_END = re.compile(rb"\r?\n(?:\r?\n|\r(?=[^\n]))|\r\r\n?")
_COMMENT_OR_BLANK = re.compile(rb"(?::[^\r\n]*)?[\r\n]+")
_LINE = re.compile(rb"(?P<field>[A-Za-z][A-Za-z0-9_-]*)?(?::|\Z)")
_FIELDS_WITHOUT_EVENT = (None, b"event", b"retry")
_ID = re.compile(rb"id: ?(\d{1,18})")


class EventSplitter:
    """Collects bytes and returns whole events.

    A backend server may break off in the middle of an event. The partial event must not
    be joined with the events of the next server; see `switch_server`.

    Attributes:
        last_id: Id of the last event that was returned, or the one after which the
            caller continues; None before the first.
        fault: Why the bytes of the current server can't be passed on, or None.
        caught_up: Whether the current server has sent the last event that was returned.
        has_new: Whether the current server has sent an event that was returned.
    """

    def __init__(self, last_id=None):
        self.last_id = last_id
        self.fault = None
        self.caught_up = False
        self.has_new = False
        self._buffer = bytearray()
        # Bytes of comments since the last event.
        self._comment_bytes = 0
        self._passed_any = False
        # Whether the next event must be the one after `last_id`.
        self._awaits_next = False

    def feed(self, data):
        """Adds bytes and returns the events that are whole now.

        Events whose id isn't above `last_id` are left out. Nothing is returned from the
        first `fault` on.
        """
        if self.fault is not None:
            return b""
        # The blank line may begin in the bytes that have been searched.
        searched = max(0, len(self._buffer) - 3)
        self._buffer += data
        complete, start = [], 0
        for end in _END.finditer(self._buffer, searched):
            event = bytes(self._buffer[start : end.end()])
            start = end.end()
            self.fault, is_new = self._check(event)
            if self.fault is not None:
                break
            if is_new:
                complete.append(event)
        del self._buffer[:start]
        if len(self._buffer) + self._comment_bytes > MAX_EVENT_BYTES:
            self.fault = self.fault or "event_too_large"
        return b"".join(complete)

    def _check(self, event):
        """Returns why an event can't be passed on, or None, and whether it is new."""
        content = _read(event)
        if content is None:
            return "not_an_event", False
        event_id, has_data = content
        if event_id is None and not has_data:
            # Clients see no event, such as for a comment.
            self._comment_bytes += len(event)
            return None, True
        self._comment_bytes = 0
        if event_id is not None and self.last_id is not None:
            if event_id <= self.last_id:
                self.caught_up = self.caught_up or event_id == self.last_id
                return None, False
        if self._awaits_next and not self._is_next(event_id):
            return "not_continued", False
        self.last_id = self.last_id if event_id is None else event_id
        self.caught_up = self.has_new = self._passed_any = True
        self._awaits_next = False
        return None, True

    def _is_next(self, event_id):
        return None not in (event_id, self.last_id) and event_id == self.last_id + 1

    def finish(self):
        """Returns the comments and blank lines after the last whole event.

        Other bytes after it, such as a CR without the LF of its CRLF, belong to a
        partial event and are kept; see `has_partial`.
        """
        lines = self._buffer.splitlines(keepends=True)
        partial = not all(_COMMENT_OR_BLANK.fullmatch(line) for line in lines)
        if partial or self._buffer.endswith(b"\n\r"):
            return b""
        comments, self._buffer = bytes(self._buffer), bytearray()
        return comments

    def has_partial(self):
        """Returns whether there are bytes after the last whole event."""
        return bool(self._buffer)

    def partial_bytes(self):
        """Returns the number of bytes after the last whole event."""
        return len(self._buffer)

    def drop_partial(self):
        """Drops the bytes after the last whole event; no more can be fed then."""
        self._buffer = bytearray()
        self.fault = self.fault or "memory_full"

    def switch_server(self):
        """Drops a partial event, as another server starts or continues the stream.

        If events were returned, the stream has to go on with the one after `last_id`;
        without it, the answer isn't the rest of the stream.
        """
        self.fault = None
        self.caught_up = self.has_new = False
        self._buffer = bytearray()
        self._comment_bytes = 0
        self._awaits_next = self._passed_any


def _read(event):
    """Returns the id of an event, or None, and whether it has data.

    An event may have fields of the server's own. The result is None if a line is
    neither a field nor a comment, or if there are only such fields, as in the head of
    an answer.
    """
    event_id, has_data, has_other = None, False, False
    for line in event.removeprefix(codecs.BOM_UTF8).splitlines():
        match = _LINE.match(line)
        if match is None:
            return None
        if match["field"] == b"data":
            has_data = True
        elif match["field"] == b"id" and (id_match := _ID.fullmatch(line)):
            event_id = int(id_match[1])
        elif match["field"] not in _FIELDS_WITHOUT_EVENT:
            has_other = True
    if has_other and event_id is None and not has_data:
        return None
    return event_id, has_data
