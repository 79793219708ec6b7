"""Connections to backend servers, kept for reuse."""

from collections import defaultdict
from dataclasses import dataclass

import h11

from amaranthbay.utils.http import connect
from amaranthbay.utils.sockets import peek

__all__ = ["ConnectionPool", "ServerConnection"]

# A server that states no timeout of its own may close an idle connection at any
# time. A request that may not run twice is lost if that happens as it is sent.
IDLE_LIMIT_S = 4.0
IDLE_LIMIT_NON_IDEMPOTENT_S = 1.5
# Kept below what the server states, since its timer starts earlier than ours.
KEEP_ALIVE_MARGIN_S = 1.0
KEPT_FOR_EACH_SERVER = 32
READ_BYTES = 65536


@dataclass(eq=False)
class ServerConnection:
    """One connection to a backend server.

    Attributes:
        server: Name of the server.
        sock: Connected socket.
        idle_limit_s: Time without a request after which it isn't used again.
        idle_since: Monotonic time at which it was given back.
        uses: Requests that were sent on it.
    """

    server: str
    sock: object
    idle_limit_s: float = IDLE_LIMIT_S
    idle_since: float = 0.0
    uses: int = 0

    def close(self):
        """Closes the socket; never raises."""
        self.sock.close()

    def is_quiet(self):
        """Returns whether the peer has neither closed it nor sent more bytes.

        Bytes that no request is waiting for belong to an earlier answer.
        """
        return peek(self.sock) is None


class ConnectionPool:
    """Idle connections by backend server; the latest used is taken first."""

    def __init__(
        self,
        clock,
        on_open=lambda server: None,
        on_answer=lambda server, traits: None,
        may_send=lambda server: True,
    ):
        """Creates an empty pool.

        Args:
            clock: `Clock`.
            on_open: Function of a `BackendServer` to which a connection is made.
            on_answer: Function of a server's name and the `AnswerTraits` of each of
                its answers.
            may_send: Function of a server's name that returns whether one more
                request may be sent to it, and counts that one.
        """
        self._clock = clock
        self._on_open = on_open
        self._idle = defaultdict(list)
        self.note_answer = on_answer
        self.may_send = may_send

    def take(self, server, repeatable, timeout_s):
        """Returns an idle or a new `ServerConnection`.

        Args:
            server: `BackendServer`.
            repeatable: Whether the request may be sent again if it breaks.
            timeout_s: Longest wait for a new connection.

        Raises:
            OSError: If no connection could be made; nothing was sent then.
        """
        idle = self._idle[server.name]
        while idle:
            conn = idle.pop()
            limit_s = conn.idle_limit_s
            if not repeatable:
                limit_s = min(limit_s, IDLE_LIMIT_NON_IDEMPOTENT_S)
            fresh = self._clock.monotonic() - conn.idle_since < limit_s
            if fresh and conn.is_quiet():
                return conn
            conn.close()
        self._on_open(server)
        return ServerConnection(server.name, connect(server.address, timeout_s))

    def give_back(self, conn, keep_alive_s):
        """Keeps a connection whose last answer is complete.

        Args:
            conn: `ServerConnection`.
            keep_alive_s: Idle time that the server states; None if it doesn't.
        """
        if keep_alive_s is not None:
            conn.idle_limit_s = max(0.0, keep_alive_s - KEEP_ALIVE_MARGIN_S)
        idle = self._idle[conn.server]
        if len(idle) >= KEPT_FOR_EACH_SERVER or conn.idle_limit_s <= 0:
            conn.close()
            return
        conn.idle_since = self._clock.monotonic()
        idle.append(conn)

    def drop_server(self, name):
        """Closes the idle connections of a server that has gone."""
        for conn in self._idle.pop(name, ()):
            conn.close()

    def sweep(self):
        """Closes connections that have been idle for too long."""
        now = self._clock.monotonic()
        for name in list(self._idle):
            kept = []
            for conn in self._idle[name]:
                if now - conn.idle_since < conn.idle_limit_s:
                    kept.append(conn)
                else:
                    conn.close()
            if kept:
                self._idle[name] = kept
            else:
                del self._idle[name]


def answer_parser(method):
    """Returns an h11 connection that is ready to parse one answer."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method=method, target="/", headers=[("Host", "server")]))
    parser.send(h11.EndOfMessage())
    return parser
