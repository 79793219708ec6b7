"""Outgoing connection to one peer."""

from collections import deque

import gevent
import gevent.event
import zmq.green as zmq

__all__ = ["PeerLink"]

# A few seconds of messages to one peer; more than that is of no use later.
OUTBOX_LENGTH = 256
HIGH_WATER_MESSAGES = 256
# A peer that takes no message for this long gets none of the waiting ones.
EXPIRY_S = 5.0
POLL_S = 0.5


class PeerLink:
    """DEALER socket with a bounded outbox; queueing never blocks."""

    def __init__(self, context, address, clock, on_frame):
        """Opens the connection.

        Args:
            context: ZeroMQ context.
            address: ``host:port`` of the peer.
            clock: Clock.
            on_frame: Function that takes each frame that comes back.
        """
        self.address = address
        self.last_used = clock.monotonic()
        self._clock = clock
        self._on_frame = on_frame
        self._outbox = deque()
        self._filled = gevent.event.Event()
        self._socket = context.socket(zmq.DEALER)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MESSAGES)
        self._socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MESSAGES)
        self._socket.connect(f"tcp://{address}")
        self._jobs = [gevent.spawn(self._write), gevent.spawn(self._read)]

    def put(self, frame):
        """Queues a frame; returns False if the outbox is full."""
        if len(self._outbox) >= OUTBOX_LENGTH:
            return False
        self.last_used = self._clock.monotonic()
        self._outbox.append((self.last_used + EXPIRY_S, frame))
        self._filled.set()
        return True

    def close(self):
        """Closes the connection and drops what waits."""
        gevent.killall(self._jobs)
        self._socket.close()

    def _write(self):
        while True:
            self._filled.wait()
            if not self._outbox:
                self._filled.clear()
                continue
            expires, frame = self._outbox[0]
            if self._clock.monotonic() >= expires or self._try_send(frame):
                self._outbox.popleft()

    def _try_send(self, frame):
        """Returns whether the frame was sent within a poll interval."""
        if not self._socket.poll(POLL_S * 1000, zmq.POLLOUT):
            return False
        try:
            self._socket.send(frame, zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    def _read(self):
        while True:
            self._on_frame(self._socket.recv())
