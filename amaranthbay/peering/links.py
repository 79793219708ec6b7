"""Outgoing connection to one peer."""

from collections import deque

import gevent
import gevent.event
import zmq.green as zmq

__all__ = ["PeerLink"]

# A few seconds of messages to one peer; older messages would be useless.
OUTBOX_LENGTH = 256
HIGH_WATER_MESSAGES = 256
# A message that could not be sent for this long is dropped.
OUTBOX_TTL_S = 5.0
POLL_INTERVAL_S = 0.5


class PeerLink:
    """DEALER socket with a bounded outbox; queueing a frame never blocks.

    Attributes:
        address: ``host:port`` of the peer.
        last_used: Monotonic time in seconds of the last queued frame.
    """

    def __init__(self, context, address, clock, on_frame):
        """Opens the connection.

        Args:
            context: ZeroMQ context of the channel.
            address: ``host:port`` of the peer.
            clock: Clock for monotonic time.
            on_frame: Function that is called with each frame that the peer returns.
        """
        self.address = address
        self.last_used = clock.monotonic()
        self._clock = clock
        self._on_frame = on_frame
        self._outbox = deque()
        self._has_frames = gevent.event.Event()
        self._socket = context.socket(zmq.DEALER)
        self._socket.setsockopt(zmq.LINGER, 0)
        # Without a connection, frames stay in the outbox, where they expire.
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MESSAGES)
        self._socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MESSAGES)
        self._socket.connect(f"tcp://{address}")
        self._greenlets = [gevent.spawn(self._write), gevent.spawn(self._read)]

    def put(self, frame):
        """Queues a frame; returns False if the outbox is full."""
        if len(self._outbox) >= OUTBOX_LENGTH:
            return False
        self.last_used = self._clock.monotonic()
        self._outbox.append((self.last_used + OUTBOX_TTL_S, frame))
        self._has_frames.set()
        return True

    def close(self):
        """Closes the connection and drops the frames in the outbox."""
        gevent.killall(self._greenlets)
        self._socket.close()

    def _write(self):
        """Sends the frames of the outbox in order; drops those that have expired."""
        while True:
            self._has_frames.wait()
            if not self._outbox:
                self._has_frames.clear()
                continue
            expires_at, frame = self._outbox[0]
            if self._clock.monotonic() >= expires_at or self._try_send(frame):
                self._outbox.popleft()

    def _try_send(self, frame):
        """Returns whether the frame was sent within a poll interval."""
        if not self._socket.poll(POLL_INTERVAL_S * 1000, zmq.POLLOUT):
            return False
        try:
            self._socket.send(frame, zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    def _read(self):
        while True:
            self._on_frame(self._socket.recv())
