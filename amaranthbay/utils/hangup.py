"""Notices a caller that closes its connection while its request is in progress."""

import socket

import gevent

from amaranthbay.kernel.errors import CallerGone
from amaranthbay.observe import log_event

__all__ = ["HangupWatch"]

# Unread bytes of a next request hide the end of the connection from a read, so
# the state of the connection is polled from then on.
POLL_S = 0.25
ESTABLISHED = 1
# Event mask of the event loop.
READ = 1


class HangupWatch:
    """Interrupts the serving greenlet when the caller's connection closes."""

    def __init__(self, conn, request_id):
        """Starts to watch.

        Args:
            conn: Socket of the caller; None watches nothing.
            request_id: Id of the request, for the log.
        """
        self._conn = conn
        self._request_id = request_id
        self._serving = gevent.getcurrent()
        self._job = None
        self._readable = None
        if conn is not None:
            loop = gevent.get_hub().loop
            self._readable = loop.io(conn.fileno(), READ)
            self._readable.start(self._on_readable)

    def _on_readable(self):
        """Runs in the event loop, where nothing may block."""
        self._readable.stop()
        self._job = gevent.spawn(self._watch)

    def _watch(self):
        try:
            peeked = self._conn.recv(1, socket.MSG_PEEK)
            while peeked and self._is_established():
                gevent.sleep(POLL_S)
        except OSError:
            pass
        log_event("caller_gone", request_id=self._request_id)
        gevent.kill(self._serving, CallerGone("the caller has gone"))

    def _is_established(self):
        info = self._conn.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return info[0] == ESTABLISHED

    def stop(self):
        """Stops watching.

        The event loop must let go of the socket before it is closed: a watcher that
        is left would hide the events of the next socket with the same number.
        """
        if self._readable is not None:
            self._readable.stop()
            self._readable.close()
            self._readable = None
        if self._job is not None:
            self._job.kill(block=False)

    def guard(self, chunks):
        """Returns an iterator that stops watching once it ends or is closed."""
        return _GuardedChunks(self, chunks)


class _GuardedChunks:
    """Chunks of an answer whose caller is watched.

    It is a class because a generator that was never started, for a caller that
    left before the first chunk, wouldn't release anything.
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
        """Stops watching and releases the answer; repeatable."""
        self._watch.stop()
        self._chunks.close()
