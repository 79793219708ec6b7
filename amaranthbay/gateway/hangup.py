"""Notices a caller that closes its connection while its request is in progress."""

import socket

import gevent
from gevent.socket import wait_read

from amaranthbay.kernel.errors import AmaranthbayError
from amaranthbay.observe import log_event
from amaranthbay.utils.http import CONNECTION_KEY

__all__ = ["CallerGone", "HangupWatch"]


class CallerGone(AmaranthbayError):
    """Raised in the greenlet that serves a caller who has gone."""


class HangupWatch:
    """Interrupts the serving greenlet when the caller's connection closes."""

    def __init__(self, environ):
        self._conn = environ.get(CONNECTION_KEY)
        self._serving = gevent.getcurrent()
        self._job = None
        if self._conn is not None:
            self._job = gevent.spawn(self._watch)

    def _watch(self):
        try:
            wait_read(self._conn.fileno())
            data = self._conn.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except OSError:
            data = b""
        if data == b"":
            log_event("caller_gone")
            gevent.kill(self._serving, CallerGone("the caller has gone"))

    def stop(self):
        """Stops watching."""
        if self._job is not None:
            self._job.kill(block=False)

    def guard(self, chunks):
        """Yields the chunks; stops watching and closes them at the end."""
        try:
            yield from chunks
        finally:
            self.stop()
            chunks.close()
