"""Splits a stream of server-sent events into whole events."""

import re

__all__ = ["EventSplitter"]

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)


class EventSplitter:
    """Collects bytes and gives out whole events.

    A backend server may break off in the middle of an event; the rest of it would
    be mistaken for a part of the next one.

    Attributes:
        last_id: Id of the last event given out; None before the first.
    """

    def __init__(self, last_id=None):
        self.last_id = last_id
        self._buffer = b""

    def feed(self, data):
        """Returns the bytes of the events that are whole now.

        Events whose id was given out before are left out.
        """
        self._buffer += data
        whole, start = [], 0
        for end in _END.finditer(self._buffer):
            event = self._buffer[start : end.end()]
            start = end.end()
            if self._is_new(event):
                whole.append(event)
        self._buffer = self._buffer[start:]
        return b"".join(whole)

    def _is_new(self, event):
        found = _ID.search(event)
        if found is None:
            return True
        number = int(found.group(1))
        if self.last_id is not None and number <= self.last_id:
            return False
        self.last_id = number
        return True

    def rest(self):
        """Returns what follows the last whole event."""
        return self._buffer

    def restart(self):
        """Drops a part of an event, as another server continues the stream."""
        self._buffer = b""
