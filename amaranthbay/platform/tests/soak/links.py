"""Loopback links that pass, delay, cut, silence or reset connections."""

import struct
from enum import StrEnum

import gevent
from gevent import socket
from gevent.server import StreamServer

from amaranthbay.utils.testing import free_port

__all__ = ["Link", "Mode"]

READ_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0
# With a linger time of zero a close sends a reset.
RESET_OPTION = struct.pack("ii", 1, 0)
POLL_S = 0.02


class Mode(StrEnum):
    """What a link does with its connections."""

    PASS = "pass"
    DELAY = "delay"
    # Bytes are held back until the link passes again.
    SILENT = "silent"
    CUT_REQUESTS = "cut_requests"
    CUT_ANSWERS = "cut_answers"
    REFUSE = "refuse"


class Link:
    """Listens on loopback and passes connections on to one address.

    Attributes:
        address: Where it listens.
        target: Address that it passes connections on to.
        mode: `Mode`; applies to open connections too.
        delay_s: Time that bytes take while the mode is `DELAY`.
    """

    def __init__(self, target):
        self.target = target
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self._open = set()
        port = free_port()
        self.address = f"127.0.0.1:{port}"
        self._server = StreamServer(("127.0.0.1", port), self._serve)
        self._server.start()

    def close(self):
        """Ends the link and its connections."""
        self._server.stop(timeout=0)
        self.reset()

    def reset(self):
        """Resets all open connections."""
        for sock in tuple(self._open):
            _reset(sock)

    def _serve(self, near, peer):
        if self.mode is Mode.REFUSE:
            _reset(near)
            return
        host, port = self.target.split(":")
        try:
            far = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
        except OSError:
            # The process behind the link is down.
            _reset(near)
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open |= {near, far}
        jobs = [
            gevent.spawn(self._copy, near, far, Mode.CUT_REQUESTS),
            gevent.spawn(self._copy, far, near, Mode.CUT_ANSWERS),
        ]
        gevent.joinall(jobs, count=1)
        gevent.joinall(jobs, timeout=CONNECT_TIMEOUT_S)
        gevent.killall(jobs)
        self._open -= {near, far}
        near.close()
        far.close()

    def _copy(self, source, sink, cut):
        try:
            while True:
                data = source.recv(READ_BYTES)
                self._hold(cut)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(self.forward(data, cut is Mode.CUT_REQUESTS))
        except OSError:
            # A reset is passed on.
            _reset(sink)

    def forward(self, data, to_target):
        """Returns the bytes to send on; subclasses may look at them."""
        return data

    def _hold(self, cut):
        """Waits for as long as the mode holds back what goes one way."""
        if self.mode is Mode.DELAY:
            gevent.sleep(self.delay_s)
        while self.mode in (Mode.SILENT, cut):
            gevent.sleep(POLL_S)


def _reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_OPTION)
        sock.close()
    except OSError:
        # It was closed before.
        return
