"""The socket of a caller, which the reader and the writer of a connection share."""

import sys
from enum import Enum, auto

import gevent
import h11

from amaranthbay.ingress.progress import Progress
from amaranthbay.kernel.errors import CallerGone
from amaranthbay.utils.reading import BoundedReader, ReadLimitExceeded
from amaranthbay.utils.sockets import (
    limit_unread,
    limit_unsent,
    reset_on_close,
    unsent_bytes,
)

__all__ = ["MEMORY_FULL", "PLACES_FULL", "WRITE_BYTES", "CallerSocket", "Phase"]

# A caller that reads nothing of a stream is cut off after this time, as it keeps a
# backend server busy. One that reads slowly isn't.
WRITE_TIMEOUT_S = 5.0
WRITE_BYTES = 65536
# Bytes of responses that the kernel takes before the network does. The caller of a far
# region gets its response as fast as with more, as those on their way don't count.
UNSENT_BYTES = 16384
# Bytes that the kernel holds until they are read. While a request is handled, they
# belong to later ones.
UNREAD_BYTES, EARLY_BYTES = 65536, 16384
MEMORY_FULL, PLACES_FULL = "memory_full", "places_full"


class Phase(Enum):
    """What a connection does, as far as it matters in a shortage.

    Attributes:
        BUSY: It handles a request, or closes.
        IDLE: It waits for a request.
        READING: It reads a request.
        DISCARDING: It reads the rest of a refused request.
        WRITING: It waits for the caller to read a response.
    """

    BUSY = auto()
    IDLE = auto()
    READING = auto()
    DISCARDING = auto()
    WRITING = auto()


class CallerSocket:
    """Socket of a caller, with the state of its HTTP exchange.

    Attributes:
        address: Address of the caller.
        sock: Socket of the connection.
        greenlet: Greenlet that serves the connection.
        started: Whether any part of the answer to the current request was sent.
        answered: Whether all of it was sent.
    """

    def __init__(self, sock, listener, address=""):
        """Takes over an accepted socket in the greenlet that serves it.

        Args:
            sock: Socket of the connection.
            listener: `Listener` that has accepted it.
            address: Address of the caller.
        """
        self.address = address
        self.sock = sock
        self.greenlet = gevent.getcurrent()
        self._listener = listener
        self._reader = BoundedReader(sock, listener.memory, queue=listener.turns)
        # The limit of h11 is fixed for the life of the connection; see `RequestReader`.
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)
        self.started = False
        self.answered = False
        self._method = b""
        self._has_place = True
        self._phase = Phase.IDLE
        self._progress = Progress(self._reader.read_at)
        # `HeldMessage` of what the kernel holds while a response waits to be written.
        self._unsent = listener.memory.begin()
        limit_unsent(sock, UNSENT_BYTES)
        self._unread_bytes = 0

    def _limit_unread(self, count):
        """Bounds the bytes that the kernel holds until they are read."""
        if count != self._unread_bytes:
            self._unread_bytes = count
            limit_unread(self.sock, count)

    def _write(self, output, may_idle=False):
        """Writes bytes, of which the caller must read some all the time.

        Args:
            output: Bytes to write.
            may_idle: Whether the caller may read nothing for as long as a connection
                may be idle, since no backend server waits for it.

        Raises:
            CallerGone: If it doesn't read, has closed the connection, or lost it in a
                shortage.
        """
        if not output:
            return
        phase, self._phase = self._phase, Phase.WRITING
        stall_s = WRITE_TIMEOUT_S
        if may_idle:
            stall_s = max(stall_s, self._listener.limits().idle_timeout_s)
        # The rate is noted for each part, so that of a single one is never known.
        size = len(output) if len(output) > WRITE_BYTES else None
        clock = self._listener.clock
        self._progress.begin(clock.monotonic(), size)
        left = memoryview(output)
        try:
            while left:
                count = self._send_some(left[:WRITE_BYTES], stall_s)
                left = left[count:]
                if size is not None:
                    self._progress.note(clock.monotonic(), count)
        except OSError as exc:
            raise CallerGone("the caller has closed the connection") from exc
        finally:
            self._phase = phase
            self._unsent.release()

    def _send_some(self, part, stall_s):
        """Sends the beginning of some bytes as soon as there is room; returns its size.

        Raises:
            CallerGone: If there is none for too long, or no memory.
            OSError: If the caller has closed the connection.
        """
        try:
            return self.sock.send(part, 0, 0.0)
        except (BlockingIOError, TimeoutError):
            pass
        unsent = self._hold_unsent()
        while True:
            with gevent.Timeout(stall_s, False):
                return self.sock.send(part)
            # The kernel reports room only once it is large.
            if unsent_bytes(self.sock) >= unsent:
                reset_on_close(self.sock)
                raise CallerGone("the caller does not read its answer")
            unsent = self._hold_unsent()

    def _hold_unsent(self):
        """Counts what the kernel holds for the caller; returns the number of bytes.

        Raises:
            CallerGone: If there is no memory for it.
        """
        count = unsent_bytes(self.sock)
        self._unsent.release()
        self._unsent = self._listener.memory.begin(sys.maxsize)
        self._unsent.yield_as_response(self._progress, self._drop_unsent)
        try:
            self._unsent.add(count)
        except ReadLimitExceeded as exc:
            reset_on_close(self.sock)
            self._listener.drops.note(MEMORY_FULL)
            raise CallerGone("no memory for an answer that is not read") from exc
        return count

    def _drop_unsent(self):
        """Ends the response in the next turn of the event loop."""
        gevent.get_hub().loop.run_callback(self._raise_dropped, MEMORY_FULL)

    def _raise_dropped(self, reason):
        """Interrupts a response that the caller reads too slowly; runs in the loop."""
        if self._phase is Phase.WRITING:
            self._listener.drops.note(reason)
            reset_on_close(self.sock)
            self.greenlet.throw(CallerGone("the caller reads too slowly in a shortage"))
