"""The UDP socket through which instances exchange reports."""

from gevent import socket

from amaranthbay.fleet.reports import PeerStatus
from amaranthbay.observe import log_event
from amaranthbay.utils.decoding import decode_msgpack
from amaranthbay.utils.http import split_address
from amaranthbay.utils.reading import Turn

__all__ = ["ReportSocket"]

MAX_RECEIVE_BYTES = 2048


class ReportSocket:
    """Sends frames, and decodes those that arrive."""

    def __init__(self, clock, receive, retry_s):
        """Creates it, without a socket.

        Args:
            clock: `Clock`.
            receive: Function that is called with each `PeerStatus` that arrives and the
                address that it came from.
            retry_s: Function that returns the seconds to wait after a failed read.
        """
        self._clock = clock
        self._receive = receive
        self._retry_s = retry_s
        self._socket = None

    def open(self, address):
        """Opens the socket at an address of this instance."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(split_address(address))

    def is_open(self):
        """Returns whether frames can be sent."""
        return self._socket is not None

    def close(self):
        """Closes the socket."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def send(self, frame, address):
        """Sends a frame; a failure is logged only."""
        try:
            self._socket.sendto(frame, split_address(address))
        except OSError as exc:
            log_event("status_not_sent", level="debug", address=address, code=exc.errno)

    def receive_loop(self):
        """Receives datagrams for ever."""
        turn = Turn(self._clock)
        while True:
            turn.give_way()
            try:
                frame, (host, port) = turn.wait(
                    self._socket.recvfrom, MAX_RECEIVE_BYTES
                )
            except OSError as exc:
                log_event("status_receive_failed", level="warning", code=exc.errno)
                self._clock.sleep(self._retry_s())
                continue
            decoded = decode_msgpack(frame, PeerStatus)
            if decoded.is_err():
                detail = decoded.unwrap_err()
                log_event("status_unreadable", level="warning", detail=detail)
                continue
            self._receive(decoded.unwrap(), f"{host}:{port}")
