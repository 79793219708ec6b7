"""Accepts the connections of callers, and ends them in a graceful shutdown."""

import gevent
from gevent import socket
from gevent.server import StreamServer

from amaranthbay.ingress.capacity import CONNECTION_BYTES
from amaranthbay.ingress.drops import DropLog
from amaranthbay.ingress.heads import ParseTurns
from amaranthbay.ingress.places import PlaceAccount
from amaranthbay.ingress.refusals import refuse_connection
from amaranthbay.kernel.clock import SystemClock
from amaranthbay.observe import Gauge
from amaranthbay.relay.caller_connection import CallerConnection
from amaranthbay.relay.caller_requests import IncomingRequest
from amaranthbay.relay.caller_socket import PLACES_FULL
from amaranthbay.utils.http import split_address
from amaranthbay.utils.reading import ReadMemory, TurnQueue

__all__ = ["CallerConnection", "IncomingRequest", "Listener"]

# Connections that are accepted in one turn; more than that would get a descriptor
# before those that lose their place have given theirs back.
MAX_ACCEPTS = 16
# Connections that wait to be accepted; the kernel holds up to 64 KiB for each.
BACKLOG = 128


class Listener:
    """Accepts connections of callers.

    Attributes:
        limits: Function that returns the `ClientLimits` in force.
        memory: `ReadMemory` of the requests.
        draining: Whether each connection ends after an answer, unless the next request
            has arrived.
        busy: Connections with a request in progress.
        idle: Connections that wait for a request.
        arriving: Connections of which a part of a request has been read.
        parse_turns: `ParseTurns` of the heads.
        turns: `TurnQueue` of the connections that keep the process busy.
        drops: `DropLog` of the callers that lost memory or their place.
        lingering: Number of connections that linger after they lost their place.
        spared: Connections that lost their place, but have a request to answer.
        clock: `Clock`.
    """

    def __init__(self, address, handler, limits, max_connections, memory=None):
        """Creates the listener.

        Args:
            address: Host and port to listen on.
            handler: Called with the `CallerConnection` and each `IncomingRequest`.
            limits: Function that returns the `ClientLimits` in force.
            max_connections: Largest number of connections at the same time.
            memory: `ReadMemory` of the requests; one of the default size if None.
        """
        self.limits = limits
        self.memory = memory or ReadMemory.of_process(0)
        self.draining = False
        self.busy = set()
        self.idle = set()
        self.arriving = set()
        self.parse_turns = ParseTurns()
        self.turns = TurnQueue()
        self.drops = DropLog()
        self.lingering = 0
        self.spared = set()
        self.clock = SystemClock()
        self._handler = handler
        self._places = PlaceAccount(max_connections, self.clock)
        self._sock = _listen(address)
        self._server = StreamServer(self._sock, self._serve)
        self._server.max_accept = MAX_ACCEPTS

    def _serve(self, sock, peer):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn = CallerConnection(sock, self, peer[0])
        if not self._places.enter(conn):
            self._refuse(sock)
            return
        self.memory.add_fixed(CONNECTION_BYTES)
        try:
            conn.serve(self._handler)
        finally:
            self.memory.remove_fixed(CONNECTION_BYTES)
            self._places.leave(conn)

    def _refuse(self, sock):
        """Refuses a connection as all others are busy, without waiting."""
        self.drops.note(PLACES_FULL)
        refuse_connection(sock)

    def register_gauges(self, metrics):
        """Registers the gauges of connections and memory."""
        metrics.observe_gauge(Gauge.CALLERS, lambda: len(self._places))
        metrics.observe_gauge(Gauge.MEMORY, lambda: self.memory.used_bytes)

    def start(self):
        """Starts to accept connections."""
        self._server.start()

    def close(self):
        """Stops accepting connections; open ones continue.

        Those that the system has accepted are served, since a close would reset them.
        """
        self._server.stop_accepting()
        try:
            for _ in range(BACKLOG):
                sock, peer = self._sock.accept()
                gevent.spawn(self._serve, sock, peer)
        except OSError:
            # None is left, or the listener was closed before.
            pass
        self._server.close()

    def close_idle(self):
        """Ends the connections that wait for a request."""
        for conn in tuple(self.idle):
            conn.close_idle()

    def has_requests(self):
        """Returns whether a request is in progress or arriving."""
        return bool(self.busy or self.arriving)

    def has_unanswered(self):
        """Returns whether the caller of a request in progress has got nothing yet."""
        return any(not conn.started for conn in self.busy)

    def interrupt_busy(self, exc):
        """Raises an exception in each handler whose caller has got nothing yet."""
        loop = gevent.get_hub().loop
        for conn in tuple(self.busy):
            loop.run_callback(self._interrupt, conn, exc)

    def _interrupt(self, conn, exc):
        """Raises an exception in a handler; runs in the event loop.

        The answer may have begun since the interruption was scheduled.
        """
        if conn in self.busy and not conn.started:
            conn.greenlet.throw(exc)


def _listen(address):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(split_address(address))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock
