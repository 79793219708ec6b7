"""Splits a stream of server-sent events into whole events."""

import re

__all__ = ["EventSplitter"]

# Blank line after an event; lines end with CRLF, LF or CR. A CR at the end of the bytes
# is the whole blank line only if the line before it ended with a CR too.
_END = re.compile(rb"\r?\n(?:\r?\n|\r(?=[^\n]))|\r\r\n?")
_COMMENT_OR_BLANK = re.compile(rb"(?::[^\r\n]*)?[\r\n]+")
_ID = re.compile(rb"id: ?(\d{1,18})")


class EventSplitter:
    """Collects bytes and returns whole events.

    A backend server may break off in the middle of an event. The partial event must not
    be joined with the events of the next server; see `drop_partial`.

    Attributes:
        last_id: Id of the last event that was returned, or the one after which the
            caller continues; None before the first.
    """

    def __init__(self, last_id=None):
        self.last_id = last_id
        self._buffer = b""

    def feed(self, data):
        """Adds bytes and returns the events that are whole now.

        Events whose id isn't above `last_id` are left out.
        """
        self._buffer += data
        complete, start = [], 0
        for end in _END.finditer(self._buffer):
            event = self._buffer[start : end.end()]
            start = end.end()
            if self._record_if_new(event):
                complete.append(event)
        self._buffer = self._buffer[start:]
        return b"".join(complete)

    def _record_if_new(self, event):
        event_id = _id_of(event)
        if event_id is None:
            return True
        if self.last_id is not None and event_id <= self.last_id:
            return False
        self.last_id = event_id
        return True

    def finish(self):
        """Returns the comments and blank lines after the last whole event.

        Other bytes after it, such as a CR without the LF of its CRLF, belong to a
        partial event and are kept; see `has_partial`.
        """
        lines = self._buffer.splitlines(keepends=True)
        partial = not all(_COMMENT_OR_BLANK.fullmatch(line) for line in lines)
        if partial or self._buffer.endswith(b"\n\r"):
            return b""
        comments, self._buffer = self._buffer, b""
        return comments

    def has_partial(self):
        """Returns whether there are bytes after the last whole event."""
        return bool(self._buffer)

    def drop_partial(self):
        """Drops a partial event when another server continues the stream."""
        self._buffer = b""


def _id_of(event):
    """Returns the number in the id line of an event; None if it has none."""
    for line in event.splitlines():
        match = _ID.fullmatch(line)
        if match:
            return int(match.group(1))
    return None
