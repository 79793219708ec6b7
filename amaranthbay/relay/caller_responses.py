"""Writes the responses to a caller, whole or as a stream."""

from functools import partial

import gevent
import h11

from amaranthbay.relay.caller_socket import MEMORY_FULL, CallerSocket
from amaranthbay.utils.sockets import peek, reset_on_close

__all__ = ["ResponseWriter"]

# Bodies up to this size are written with their head. Each connection that waits to
# write a larger one would hold it twice.
JOINED_BYTES = 8192


class ResponseWriter(CallerSocket):
    """Writes responses to the socket of a caller."""

    def answer(self, status, headers, body, close=False, message=None):
        """Sends a whole answer.

        Args:
            status: HTTP status.
            headers: Pairs of name and value in bytes; Content-Length is added.
            body: Bytes of the body, which an answer to HEAD leaves out.
            close: Whether the connection ends after the answer.
            message: `HeldMessage` of the body, which the caller loses in a shortage of
                memory if it reads slowly; None if the body must stay.
        """
        headers = [h for h in headers if h[0].lower() != b"content-length"]
        if _may_have_body(status):
            headers.append((b"Content-Length", str(len(body)).encode()))
        parts = [self._head(status, headers, close)]
        if body and self._method != b"HEAD":
            parts += self._http.send_with_data_passthrough(h11.Data(data=body))
        parts.append(self._http.send(h11.EndOfMessage()))
        if len(body) <= JOINED_BYTES:
            parts = [b"".join(parts)]
        elif message is not None:
            loop = gevent.get_hub().loop
            drop = partial(loop.run_callback, self._raise_dropped, MEMORY_FULL)
            message.yield_as_response(self._progress, drop)
        # The parts of a long answer are not joined, which would copy its body.
        for part in parts:
            self._write(part, may_idle=True)
        self.answered = True

    def answer_head_request(self, status, headers):
        """Sends an answer to HEAD, whose Content-Length is that of the omitted body."""
        output = self._head(status, headers, False)
        output += self._http.send(h11.EndOfMessage())
        self._write(output)
        self.answered = True

    def start_stream(self, status, headers):
        """Sends the head of an answer whose length isn't known yet."""
        headers = [h for h in headers if h[0].lower() != b"content-length"]
        output = self._head(status, headers, False)
        if not self._sends_chunks():
            # A close, also by the end of the process, would look like the end of the
            # stream.
            reset_on_close(self.sock)
        self._write(output)

    def send(self, data):
        """Sends a part of a stream."""
        self._write(self._http.send(h11.Data(data=data)))

    def finish_stream(self):
        """Marks a stream as complete."""
        output = self._http.send(h11.EndOfMessage())
        self._write(output)
        reset_on_close(self.sock, False)
        self.answered = True

    def _head(self, status, headers, close):
        is_last = self._listener.draining and not self._has_more_input()
        if close or is_last or not self._has_place:
            headers = [*headers, (b"Connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        output = self._http.send(response)
        self.started = True
        return output

    def _has_more_input(self):
        """Returns whether the next request has arrived, at least in part."""
        return bool(self._http.trailing_data[0] or peek(self.sock))

    def _sends_chunks(self):
        return (self._http.their_http_version or b"") >= b"1.1"


def _may_have_body(status):
    return status >= 200 and status not in (204, 304)
