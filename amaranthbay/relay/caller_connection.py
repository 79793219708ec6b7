"""The life cycle of a caller's connection: its requests, its place and its close."""

import socket as std_socket
import sys
from functools import partial

import gevent
import h11

from amaranthbay.ingress.places import PlaceHolder
from amaranthbay.ingress.refusals import SHORTAGE_RETRY_S
from amaranthbay.kernel.errors import CallerGone
from amaranthbay.observe import log_event
from amaranthbay.relay.caller_requests import Rejected, RequestReader
from amaranthbay.relay.caller_responses import ResponseWriter
from amaranthbay.relay.caller_socket import (
    EARLY_BYTES,
    MEMORY_FULL,
    PLACES_FULL,
    UNREAD_BYTES,
    Phase,
)
from amaranthbay.utils.reading import ReadLimitExceeded
from amaranthbay.utils.sockets import has_input, peek

__all__ = ["CallerConnection"]

# Tells a caller that was refused in a shortage when to come back.
RETRY_HEADER = (b"Retry-After", b"%g" % SHORTAGE_RETRY_S)
# Time for which input is read before a close. Unread input would turn the close into a
# reset, which may discard the answer before the caller reads it.
LINGER_S = 0.5
# Connections that linger at the same time after they have lost their place. Further
# ones are closed at once, as each still has a descriptor.
MAX_LINGERING = 32


class _PlaceLost(Exception):
    """Raised in a connection that has lost its place to a new one."""


class CallerConnection(RequestReader, ResponseWriter, PlaceHolder):
    """One connection of a caller, which serves one request at a time."""

    @property
    def reads_response(self):
        """Whether the caller reads a response."""
        return self._phase is Phase.WRITING

    def wait_s(self, now):
        """Returns the seconds until the caller is expected to be done; None if busy."""
        if self._phase is Phase.BUSY:
            return None
        return self._progress.wait_for_place_s(now)

    def has_input(self):
        """Returns whether the connection was idle and its next request has arrived.

        One whose next request is always there would never lose its place.
        """
        is_idle = self._phase is Phase.IDLE and not self._succession.is_endless
        return is_idle and has_input(self.sock)

    def has_hung_up(self):
        """Returns whether the caller has closed the connection already."""
        return peek(self.sock) == b""

    def drop(self):
        """Ends the connection in the next turn of the event loop.

        One that has become busy by then ends after its answer.
        """
        self._has_place = False
        gevent.get_hub().loop.run_callback(self._raise_place_lost)

    def _raise_place_lost(self):
        """Interrupts the connection unless it has become busy; runs in the loop."""
        if self._phase is Phase.WRITING:
            self._raise_dropped(PLACES_FULL)
        elif self._phase is not Phase.BUSY and not self._is_spared():
            self._listener.drops.note(PLACES_FULL)
            self.greenlet.throw(_PlaceLost())

    def _is_spared(self):
        """Returns whether a request has arrived since the choice, and is answered.

        A close would reset the connection. Their number is bounded, as they have no
        place but a descriptor.
        """
        spared = self._listener.spared
        if not self.has_input() or len(spared) >= MAX_LINGERING:
            return False
        spared.add(self)
        return True

    def serve(self, handler):
        """Serves requests until the connection ends.

        Args:
            handler: Called with this connection and each `IncomingRequest`.
        """
        is_dropped = False
        try:
            while self._serve_one(handler):
                pass
        except (OSError, CallerGone):
            # The caller has hung up or doesn't read, so no answer is possible.
            pass
        except _PlaceLost:
            is_dropped = True
        except Exception:
            log_event(
                "defect",
                level="error",
                exc=sys.exc_info(),
                message="the connection of a caller failed",
            )
        # The exception, whose traceback holds the request, is freed by now.
        try:
            if is_dropped:
                self._end_without_place()
        finally:
            self._phase = Phase.BUSY
            self._listener.spared.discard(self)
            self._reader.release()
            self._release_early()
            self._close()

    def _serve_one(self, handler):
        self.started = False
        self.answered = False
        self._method = b""
        self._phase = Phase.IDLE
        self._progress.begin(self._listener.clock.monotonic())
        if not self._succession.is_endless:
            self._limit_unread(UNREAD_BYTES)
        try:
            req, refuse = self._try_read_request()
            # The exception, whose traceback holds the request, is freed by now.
            if refuse is not None:
                return refuse()
        finally:
            self._listener.arriving.discard(self)
        if req is None:
            return False
        if not self._count_early():
            return self._refuse_pipelined()
        self._listener.busy.add(self)
        self._limit_unread(EARLY_BYTES)
        try:
            handler(self, req)
        finally:
            self._listener.busy.discard(self)
            self._reader.release()
        return self._start_next_cycle()

    def _try_read_request(self):
        """Returns the `IncomingRequest`, and the function that refuses it or None."""
        try:
            req = self._read_request()
            self._phase = Phase.BUSY
            return req, None
        except Rejected as exc:
            return None, partial(self._answer_rejected, exc.status)
        except h11.RemoteProtocolError as exc:
            return None, partial(self._answer_rejected, exc.error_status_hint)
        except ReadLimitExceeded:
            return None, self._refuse_unread

    def _start_next_cycle(self):
        """Returns whether the connection may carry another request."""
        if (
            not self._has_place
            or not self.answered
            or self._http.our_state is not h11.DONE
        ):
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    def _answer_rejected(self, status):
        """Refuses a request for its form; the connection ends then."""
        self._phase = Phase.BUSY
        self._reader.release()
        log_event("request_rejected", level="warning", status=status)
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.answer(status, [], b"", close=True)
            self._linger()
        return False

    def _refuse_pipelined(self):
        """Refuses a request, and those behind it for which there is no memory."""
        self._note_memory_full()
        self.answer(503, [RETRY_HEADER], b"", close=True)
        return False

    def _note_memory_full(self):
        self._reader.release()
        self._listener.drops.note(MEMORY_FULL)
        log_event("request_rejected", level="warning", status=503, reason=MEMORY_FULL)

    def _refuse_unread(self):
        """Refuses a request whose body finds no memory, and drops the rest of it.

        Returns:
            Whether the connection may carry another request.
        """
        self._phase = Phase.BUSY
        self._note_memory_full()
        if self._http.our_state is h11.IDLE:
            # The end of the request is unknown, as its head is incomplete.
            self.answer(503, [RETRY_HEADER], b"", close=True)
            return False
        if self._http.our_state is not h11.SEND_RESPONSE:
            return False
        self.answer(503, [RETRY_HEADER], b"")
        if not self._has_place:
            return False
        self._phase = Phase.DISCARDING
        try:
            dropped = self._within("idle_timeout_s", self._drop_body)
        except (Rejected, h11.RemoteProtocolError):
            return False
        return dropped and self._start_next_cycle()

    def _end_without_place(self):
        """Refuses a request that is arriving, as its connection has lost its place."""
        is_arriving = self._phase is Phase.READING
        self._phase = Phase.BUSY
        self._reader.release()
        if not is_arriving or self._http.our_state not in (
            h11.IDLE,
            h11.SEND_RESPONSE,
        ):
            return
        try:
            self.answer(503, [RETRY_HEADER], b"", close=True)
            self._linger()
        except (OSError, CallerGone):
            pass
        finally:
            # The close must not linger once more.
            self.answered = False

    def close_idle(self):
        """Ends a connection that waits for its next request.

        One whose request has begun to arrive is left to be read and answered.
        """
        if peek(self.sock):
            return
        try:
            self.sock.shutdown(std_socket.SHUT_RD)
        except OSError:
            # The connection has already ended.
            pass

    def _close(self):
        self._listener.idle.discard(self)
        try:
            if self.answered and self._http.our_state is h11.MUST_CLOSE:
                self._linger()
        except CallerGone:
            # The answer has been sent.
            pass
        finally:
            self.sock.close()

    def _linger(self):
        """Reads and drops input for a short time before the close; see `LINGER_S`."""
        if self._has_place:
            self._drop_input()
        elif self._listener.lingering < MAX_LINGERING:
            self._listener.lingering += 1
            try:
                self._drop_input()
            finally:
                self._listener.lingering -= 1

    def _drop_input(self):
        try:
            self.sock.shutdown(std_socket.SHUT_WR)
            with gevent.Timeout(LINGER_S, False):
                while self._reader.recv():
                    pass
        except OSError:
            # Already reset by the caller.
            pass
