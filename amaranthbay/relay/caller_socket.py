"""The socket of a caller, which the reader and the writer of a connection share."""

import sys
from enum import Enum, auto

import gevent
import h11

from amaranthbay.ingress.progress import Progress
from amaranthbay.kernel.errors import CallerGone
from amaranthbay.utils.reading import BoundedReader

__all__ = ["MEMORY_FULL", "PLACES_FULL", "WRITE_BYTES", "CallerSocket", "Phase"]

# A caller that doesn't read its answer is cut off after this time, as it keeps memory
# and a backend server busy. One that reads slowly isn't: the time holds for each part.
WRITE_TIMEOUT_S = 5.0
WRITE_BYTES = 65536
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
        self._reader = BoundedReader(sock, listener.memory)
        # The limit of h11 is fixed for the life of the connection; see `RequestReader`.
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)
        self.started = False
        self.answered = False
        self._method = b""
        self._has_place = True
        self._phase = Phase.IDLE
        self._progress = Progress(self._reader.read_at)

    def _write(self, output):
        """Writes bytes, of which the caller must read each part in time.

        Raises:
            CallerGone: If it doesn't, or has closed the connection.
        """
        if not output:
            return
        parts = memoryview(output)
        gone = CallerGone("the caller does not read its answer")
        phase, self._phase = self._phase, Phase.WRITING
        clock = self._listener.clock
        # The rate is noted for each part, so that of a single one is never known.
        size = len(parts) if len(parts) > WRITE_BYTES else None
        self._progress.begin(clock.monotonic(), size)
        try:
            for start in range(0, len(parts), WRITE_BYTES):
                part = parts[start : start + WRITE_BYTES]
                with gevent.Timeout(WRITE_TIMEOUT_S, gone):
                    self.sock.sendall(part)
                if size is not None:
                    self._progress.note(clock.monotonic(), len(part))
        except OSError as exc:
            raise CallerGone("the caller has closed the connection") from exc
        finally:
            self._phase = phase
            # A traceback that refers to itself would keep the response.
            del gone
