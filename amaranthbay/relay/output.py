"""The answer of a stream as its caller gets it."""

from amaranthbay.relay.events import EventSplitter

__all__ = ["StreamOutput"]


class StreamOutput:
    """Passes on whole events, from one server or several in turn.

    Attributes:
        started: Whether the caller has got the head.
        longest_gap_s: Longest pause between two writes of events.
    """

    def __init__(self, conn, codec, clock, last_event_id):
        """Creates the output.

        Args:
            conn: `CallerConnection`.
            codec: `CallCodec`.
            clock: `Clock`.
            last_event_id: Event after which the caller continues, or None.
        """
        self._conn = conn
        self._codec = codec
        self._clock = clock
        self._events = EventSplitter(last_event_id)
        self._sent_at = None
        self.started = False
        self.longest_gap_s = 0.0

    @property
    def last_id(self):
        """Id of the last event that was passed on, or None."""
        return self._events.last_id

    def switch_server(self):
        """Drops a part of an event that the server before has left."""
        self._events.restart()

    def feed(self, head, data):
        """Passes on the events that are whole with these bytes."""
        events = self._events.feed(data)
        if events:
            self._note_gap()
            self._write(head, events)

    def finish(self, head):
        """Marks the stream as complete, as its server has."""
        self._write(head, self._events.rest())
        self._conn.finish_stream()

    def send_whole(self, head, body):
        """Sends a whole answer that is no stream."""
        self.started = True
        headers = self._codec.end_to_end(head.headers)
        self._conn.answer(head.status, headers, body)

    def _write(self, head, data):
        if not self.started:
            self.started = True
            headers = self._codec.end_to_end(head.headers)
            self._conn.start_stream(head.status, headers)
        if data:
            self._conn.send(data)

    def _note_gap(self):
        now = self._clock.monotonic()
        if self._sent_at is not None:
            self.longest_gap_s = max(self.longest_gap_s, now - self._sent_at)
        self._sent_at = now
