"""TCP proxies on loopback that pass, delay, cut, silence or reset connections."""

import struct
from enum import StrEnum

import gevent
from gevent import socket
from gevent.server import StreamServer

from amaranthbay.utils.testing import free_port

__all__ = ["RESET_OPTION", "Link", "Mode"]

READ_BYTES = 65536
# Timeout of a connect, and of the second direction after the first one has ended.
LINK_TIMEOUT_S = 2.0
# A linger time of zero makes a close send a reset.
RESET_OPTION = struct.pack("ii", 1, 0)
POLL_S = 0.02


class Mode(StrEnum):
    """What a link does with its connections.

    Attributes:
        PASS: Forwards everything.
        DELAY: Forwards bytes after a delay.
        SILENT: Holds bytes back until the mode changes.
        CUT_REQUESTS: Holds back the bytes to the target.
        CUT_ANSWERS: Holds back the bytes from the target.
        REFUSE: Resets new connections.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    CUT_REQUESTS = "cut_requests"
    CUT_ANSWERS = "cut_answers"
    REFUSE = "refuse"


class Link:
    """TCP proxy that listens on loopback and forwards connections to one address.

    Attributes:
        address: Host and port on which it listens.
        target: Host and port to which it forwards.
        mode: `Mode`; applies to open connections too.
        delay_s: Delay of the bytes while the mode is `DELAY`, in seconds.
    """

    def __init__(self, target):
        self.target = target
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self._open_socks = set()
        self._local = ("127.0.0.1", free_port())
        self.address = f"127.0.0.1:{self._local[1]}"
        self._port_holder = None
        self._listen()

    def _listen(self):
        self._server = StreamServer(self._local, self._serve)
        self._server.start()

    def close(self):
        """Stops listening and resets all connections."""
        self._server.stop(timeout=0)
        self.reset()
        if self._port_holder is not None:
            self._port_holder.close()

    def go_down(self):
        """Resets all connections and refuses new ones, as after a crash."""
        self._server.stop(timeout=0)
        self.reset()
        # The port is bound without a listener, so that no other program gets it.
        self._port_holder = socket.socket()
        self._port_holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._port_holder.bind(self._local)

    def come_up(self):
        """Accepts connections again."""
        self._port_holder.close()
        self._port_holder = None
        self._listen()

    def reset(self):
        """Resets all open connections."""
        for sock in tuple(self._open_socks):
            _reset(sock)

    def _serve(self, caller_sock, peer):
        if self.mode is Mode.REFUSE:
            _reset(caller_sock)
            return
        host, port = self.target.split(":")
        try:
            target_sock = socket.create_connection((host, int(port)), LINK_TIMEOUT_S)
        except OSError:
            # Nothing listens at the target.
            _reset(caller_sock)
            return
        target_sock.settimeout(None)
        for sock in (caller_sock, target_sock):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open_socks |= {caller_sock, target_sock}
        jobs = [
            gevent.spawn(self._copy, caller_sock, target_sock, Mode.CUT_REQUESTS),
            gevent.spawn(self._copy, target_sock, caller_sock, Mode.CUT_ANSWERS),
        ]
        gevent.joinall(jobs, count=1)
        gevent.joinall(jobs, timeout=LINK_TIMEOUT_S)
        gevent.killall(jobs)
        self._open_socks -= {caller_sock, target_sock}
        caller_sock.close()
        target_sock.close()

    def _copy(self, source, sink, cut_mode):
        try:
            while True:
                data = source.recv(READ_BYTES)
                self._wait_while_held(cut_mode)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(self.forward(data, cut_mode is Mode.CUT_REQUESTS))
        except OSError:
            # Forward a reset of the source.
            _reset(sink)

    def forward(self, data, to_target):
        """Returns the bytes to send; subclasses may inspect them.

        Args:
            data: Bytes that were received.
            to_target: Whether they go to the target, or come from it.
        """
        return data

    def _wait_while_held(self, cut_mode):
        """Delays bytes, or waits while the mode holds back their direction."""
        if self.mode is Mode.DELAY:
            gevent.sleep(self.delay_s)
        while self.mode in (Mode.SILENT, cut_mode):
            gevent.sleep(POLL_S)


def _reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_OPTION)
        sock.close()
    except OSError:
        # It is closed already.
        return
