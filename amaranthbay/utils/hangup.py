"""Detects callers that close their connection while their request is in progress."""

import socket

import gevent

from amaranthbay.kernel.errors import CallerGone
from amaranthbay.observe import log_event

__all__ = ["HangupWatch"]

# If the caller has already sent bytes of its next request, a read doesn't detect the
# end of the connection, so its TCP state is polled at this interval.
POLL_INTERVAL_S = 0.25
# TCP state in TCP_INFO.
TCP_ESTABLISHED = 1
# Event mask of the event loop for readable sockets.
READ_EVENT = 1


class HangupWatch:
    """Raises `CallerGone` in the serving greenlet when the caller disconnects."""

    def __init__(self, conn, request_id):
        """Starts watching on behalf of the current greenlet.

        Args:
            conn: Socket of the caller; None disables the watch.
            request_id: Id of the request, for the log.
        """
        self._conn = conn
        self._request_id = request_id
        self._serving_greenlet = gevent.getcurrent()
        self._hangup_greenlet = None
        self._read_watcher = None
        self._is_stopped = False
        if conn is not None:
            loop = gevent.get_hub().loop
            self._read_watcher = loop.io(conn.fileno(), READ_EVENT)
            self._read_watcher.start(self._on_readable)

    def _on_readable(self):
        """Handles the read event; runs in the event loop, where nothing may block."""
        self._read_watcher.stop()
        self._hangup_greenlet = gevent.spawn(self._interrupt_on_hangup)

    def _interrupt_on_hangup(self):
        """Waits until the caller is gone, and then interrupts the serving greenlet."""
        try:
            peeked = self._conn.recv(1, socket.MSG_PEEK)
            while peeked and self._is_established():
                gevent.sleep(POLL_INTERVAL_S)
        except OSError:
            pass
        log_event("caller_gone", request_id=self._request_id)
        gevent.get_hub().loop.run_callback(self._raise_gone)

    def _raise_gone(self):
        """Interrupts the serving greenlet; runs in the event loop.

        The watch may have stopped since the interruption was scheduled.
        """
        if not self._is_stopped:
            self._serving_greenlet.throw(CallerGone("the caller has gone"))

    def _is_established(self):
        tcp_info = self._conn.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return tcp_info[0] == TCP_ESTABLISHED

    def stop(self):
        """Stops watching.

        Must be called before the socket is closed: a remaining watcher of the event
        loop would hide the events of the next socket with the same file descriptor.
        """
        self._is_stopped = True
        if self._read_watcher is not None:
            self._read_watcher.stop()
            self._read_watcher.close()
            self._read_watcher = None
        if self._hangup_greenlet is not None:
            self._hangup_greenlet.kill(block=False)

    def wrap_chunks(self, chunks):
        """Returns an iterator over the chunks of a response.

        The iterator stops the watch when it ends, fails or is closed.
        """
        return _WatchedChunks(self, chunks)


class _WatchedChunks:
    """Chunks of a response whose caller is watched.

    This is a class because closing a generator that was never started doesn't run its
    ``finally`` block, which would leave the watch running if the caller disconnects
    before the first chunk.
    """

    def __init__(self, watch, chunks):
        self._watch = watch
        self._chunks = chunks

    def __iter__(self):
        return self

    def __next__(self):
        try:
            return next(self._chunks)
        except BaseException:
            self.close()
            raise

    def close(self):
        """Stops the watch and closes the response; may be called repeatedly."""
        self._watch.stop()
        self._chunks.close()
