"""Pool of reusable connections to backend servers."""

from collections import defaultdict
from dataclasses import dataclass, field

import h11

from amaranthbay.utils.http import connect
from amaranthbay.utils.reading import ReadMemory
from amaranthbay.utils.sockets import peek

__all__ = ["ConnectionPool", "ServerConnection"]

# Idle times after which a connection isn't reused if the server states no timeout. The
# server may close it at any time; a non-idempotent request that is sent at that moment
# is lost, so its limit is shorter.
IDLE_LIMIT_S = 4.0
IDLE_LIMIT_NON_IDEMPOTENT_S = 1.5
# Taken off the timeout that a server states, as its timer starts before ours.
KEEP_ALIVE_MARGIN_S = 1.0
MAX_IDLE_PER_SERVER = 32
# Largest number of refused attempts that a connection keeps; it is then closed.
MAX_REFUSED_IDS = 100


@dataclass(eq=False)
class ServerConnection:
    """One connection to a backend server.

    Attributes:
        server: Name of the server.
        sock: Connected socket.
        idle_limit_s: Idle time after which it isn't used again.
        idle_since: Monotonic time at which it was opened, or its last answer ended.
        uses: Number of requests that were sent on it.
        for_holds: Whether it carries only calls for holds. Their answers bear no
            attempt id, so that a repeat of one would pass for that to any request.
        refused: Hashes of the ids of the attempts that the server has refused on it. It
            may send such a refusal once more, so that no attempt may use the connection
            again. Callers choose the ids, which may be as long as a head.
    """

    server: str
    sock: object
    idle_limit_s: float = IDLE_LIMIT_S
    idle_since: float = 0.0
    uses: int = 0
    for_holds: bool = False
    refused: set = field(default_factory=set)

    def note_refused(self, attempt_id):
        """Records that the server has refused an attempt."""
        self.refused.add(hash(attempt_id))

    def close(self):
        """Closes the socket; never raises."""
        self.sock.close()

    def is_quiet(self):
        """Returns whether the server has neither closed it nor sent more bytes.

        Bytes before the next request belong to an earlier answer.
        """
        return peek(self.sock) is None


class ConnectionPool:
    """Idle connections by backend server; the last used one is taken first.

    Attributes:
        clock: `Clock`.
        memory: `ReadMemory` of the answers.
    """

    def __init__(
        self,
        clock,
        on_open=lambda server: None,
        on_answer=lambda server_name, traits, sent_at: None,
        check_send=lambda server_name, placed: None,
        memory=None,
    ):
        """Creates an empty pool.

        Args:
            clock: `Clock`.
            on_open: Called with the `BackendServer` before each new connection to it.
            on_answer: Called with the server's name and the `AnswerTraits` of each of
                its answers, and the monotonic time at which the request was sent, or
                None if the answer belongs to an earlier request.
            check_send: Function that is called with a server's name before each
                request to it, and whether its placement has counted the request. It
                returns None and counts the request, or why it must not be sent.
            memory: `ReadMemory` of the answers; one of the default size if None.
        """
        self.clock = clock
        self.memory = memory or ReadMemory.of_process(0)
        self._on_open = on_open
        self._idle = defaultdict(list)
        self.note_answer = on_answer
        self.check_send = check_send

    def take(self, server, repeatable, timeout_s, attempt_id="", for_holds=False):
        """Returns an idle or a new `ServerConnection`.

        Args:
            server: `BackendServer` to connect to.
            repeatable: Whether the request may be sent again if the connection breaks.
            timeout_s: Longest wait for a new connection.
            attempt_id: Id of the request; empty if it has none.
            for_holds: Whether the request is a call for a hold.

        Raises:
            OSError: If no connection could be made; nothing was sent.
        """
        idle = self._idle[_pool_key(server.name, for_holds)]
        while idle:
            conn = idle.pop()
            refused = hash(attempt_id) in conn.refused
            if not refused and self.is_usable(conn, repeatable):
                return conn
            conn.close()
        self._on_open(server)
        sock = connect(server.address, timeout_s)
        now = self.clock.monotonic()
        return ServerConnection(server.name, sock, idle_since=now, for_holds=for_holds)

    def is_usable(self, conn, repeatable):
        """Returns whether a request may be sent on an idle connection.

        Args:
            conn: `ServerConnection` to use.
            repeatable: Whether the request may be sent again if the connection breaks.
        """
        limit_s = conn.idle_limit_s
        if not repeatable:
            limit_s = min(limit_s, IDLE_LIMIT_NON_IDEMPOTENT_S)
        fresh = self.clock.monotonic() - conn.idle_since < limit_s
        return fresh and conn.is_quiet()

    def give_back(self, conn, keep_alive_s):
        """Keeps a connection for reuse, or closes it if there are enough.

        Args:
            conn: `ServerConnection` whose last answer is complete.
            keep_alive_s: Idle timeout that the server states; None if it states none.
        """
        if keep_alive_s is not None:
            conn.idle_limit_s = max(0.0, keep_alive_s - KEEP_ALIVE_MARGIN_S)
        conn.idle_since = self.clock.monotonic()
        self.give_back_unused(conn)

    def give_back_unused(self, conn):
        """Keeps a connection on which nothing was sent since it was taken."""
        idle = self._idle[_pool_key(conn.server, conn.for_holds)]
        is_used_up = conn.idle_limit_s <= 0 or len(conn.refused) >= MAX_REFUSED_IDS
        if is_used_up or len(idle) >= MAX_IDLE_PER_SERVER:
            conn.close()
            return
        idle.append(conn)

    def drop_server(self, name):
        """Closes the idle connections to a server that is gone."""
        for for_holds in (False, True):
            for conn in self._idle.pop(_pool_key(name, for_holds), ()):
                conn.close()

    def sweep(self):
        """Closes connections that have been idle for too long."""
        now = self.clock.monotonic()
        for name in list(self._idle):
            fresh_conns = []
            for conn in self._idle[name]:
                if now - conn.idle_since < conn.idle_limit_s:
                    fresh_conns.append(conn)
                else:
                    conn.close()
            if fresh_conns:
                self._idle[name] = fresh_conns
            else:
                del self._idle[name]


def _pool_key(server_name, for_holds):
    return (server_name, "holds") if for_holds else server_name


def answer_parser(method):
    """Returns an h11 connection that is ready to parse one answer."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method=method, target="/", headers=[("Host", "server")]))
    parser.send(h11.EndOfMessage())
    return parser
