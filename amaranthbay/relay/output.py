"""Writes a stream's answer to its caller."""

from amaranthbay.kernel.errors import Verdict
from amaranthbay.relay.events import EventSplitter
from amaranthbay.relay.exchange import ExchangeBroken

__all__ = ["StreamOutput"]


class StreamOutput:
    """Passes on whole events from one server, or from several in succession.

    Attributes:
        started: Whether the head was sent to the caller.
        longest_gap_s: Longest time between two writes of events.
    """

    def __init__(self, conn, codec, clock, last_event_id, on_start):
        """Creates the output.

        Args:
            conn: `CallerConnection` that gets the answer.
            codec: `CallCodec` that selects the headers.
            clock: `Clock` for the gaps between events.
            last_event_id: Event after which the caller continues, or None.
            on_start: Function that is called before anything is sent to the caller.
        """
        self._conn = conn
        self._codec = codec
        self._clock = clock
        self._events = EventSplitter(last_event_id)
        self._on_start = on_start
        self._sent_at = None
        self.started = False
        self.longest_gap_s = 0.0

    @property
    def last_id(self):
        """Id of the last event that was passed on, or None."""
        return self._events.last_id

    @property
    def has_new(self):
        """Whether the current server has sent an event that is new to the caller."""
        return self._events.has_new

    @property
    def partial_bytes(self):
        """Bytes of an event that is not whole yet."""
        return self._events.partial_bytes()

    def drop_partial(self):
        """Drops an event that is not whole yet; its server can't go on."""
        self._events.drop_partial()

    def switch_server(self):
        """Drops a partial event of the previous server, whose stream must go on."""
        self._events.switch_server()

    def feed(self, head, data):
        """Passes on the events that are whole after more bytes of the body.

        Args:
            head: `AnswerHead` of the server's answer.
            data: Next bytes of the body.

        Raises:
            ExchangeBroken: If bytes are no events or don't continue the stream.
        """
        events = self._events.feed(data)
        if events:
            self._note_gap()
            self._write(head, events)
        if self._events.fault is not None:
            raise ExchangeBroken(Verdict.MAY_HAVE_RUN, self._events.fault)

    def finish(self, head):
        """Marks the stream as complete.

        Args:
            head: `AnswerHead` of the server's answer.

        Raises:
            ExchangeBroken: If the server's answer ends inside an event, or with its
                connection before any event that is new or the last one sent.
        """
        events = self._events.finish()
        has_own_end = self._events.caught_up or _has_framing(head)
        if self._events.has_partial() or not has_own_end:
            raise ExchangeBroken(Verdict.MAY_HAVE_RUN, "answer_cut")
        self._write(head, events)
        self._conn.finish_stream()

    def is_surely_complete(self, head):
        """Returns whether the current server has written the rest of the stream.

        An answer without events may be that to a continuation after the last one, and
        one without framing may end as its server crashes.

        Args:
            head: `AnswerHead` of the server's answer, which has ended.
        """
        return self.has_new and _has_framing(head)

    def send_whole(self, head, body):
        """Sends a whole answer that isn't a stream.

        Args:
            head: `AnswerHead` of the server's answer.
            body: `AnswerBody`, which may yield its memory if the caller reads slowly.
        """
        self.started = True
        headers = self._codec.end_to_end(head.headers)
        self._conn.answer(head.status, headers, body.data, message=body.message)

    def _write(self, head, data):
        if not self.started:
            self.started = True
            self._on_start()
            headers = self._codec.end_to_end(head.headers)
            self._conn.start_stream(head.status, headers)
        if data:
            self._conn.send(data)

    def _note_gap(self):
        now = self._clock.monotonic()
        if self._sent_at is not None:
            self.longest_gap_s = max(self.longest_gap_s, now - self._sent_at)
        self._sent_at = now


def _has_framing(head):
    """Returns whether the headers of an answer tell where its body ends."""
    names = {name.lower() for name, _ in head.headers}
    return b"content-length" in names or b"transfer-encoding" in names
