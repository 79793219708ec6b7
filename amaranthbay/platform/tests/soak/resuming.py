"""Callers of the soak test that take up streams whose connection breaks off."""

import time
from dataclasses import replace

import gevent
from gevent import socket

from amaranthbay.platform.tests.soak.callers import DEADLINE_MS, Caller, send
from amaranthbay.platform.tests.soak.parts import draw_parts
from amaranthbay.platform.tests.soak.streams import read_events

__all__ = ["ResumingCaller"]

# Time within which a caller takes up a stream, from the first request on. A request is
# sent only if all of the timeout of its route is left.
TAKE_UP_S = 6.0
EVENT_COUNT = 12
MAX_TAKE_UPS = 4
# Share of the requests whose connection breaks at the caller, and the time until then.
LOSS_SHARE, MIN_LOSS_S, MAX_LOSS_S = 0.5, 0.1, 0.6
RETRY_S = 0.1
# Statuses of complete answers after which a caller does not ask again.
FINAL_STATUSES = frozenset((200, 400, 401, 404, 413, 431))


class ResumingCaller(Caller):
    """A caller of resumable streams that takes up each one that breaks off."""

    kinds = ("resume",)

    def _exchange(self, kind):
        ends_at = time.monotonic() + TAKE_UP_S
        stream = self._next_attempt()
        self._connect()
        exchange = self._send(stream, stream, 0, ends_at)
        last_event = _last_event(exchange, 0)
        take_ups = 0
        while 0 < last_event < EVENT_COUNT and take_ups < MAX_TAKE_UPS:
            if exchange.complete and exchange.status in FINAL_STATUSES:
                return
            gevent.sleep(_pause_s(exchange, ends_at))
            if ends_at - time.monotonic() < DEADLINE_MS / 1000:
                return
            self._disconnect()
            try:
                self._connect()
            except OSError:
                # The process is down; the next connection may reach another one.
                continue
            attempt = self._next_attempt()
            exchange = self._send(stream, attempt, last_event, ends_at)
            last_event = _last_event(exchange, last_event)
            take_ups += 1

    def _send(self, stream, attempt, last_event, ends_at):
        loss = None
        if self._rng.random() < LOSS_SHARE:
            loss_s = self._rng.uniform(MIN_LOSS_S, MAX_LOSS_S)
            loss = gevent.spawn_later(loss_s, _shut_down, self._sock)
        exchange = send(
            self._sock,
            self._process,
            "resume",
            attempt,
            parts=draw_parts(stream),
            resumes=stream if last_event else "",
            last_event=last_event,
            events=EVENT_COUNT,
            deadline_ms=int((ends_at - time.monotonic()) * 1000),
            key=self._deployment.keys.lasting(stream),
        )
        if loss is not None:
            lost = loss.ready() and not exchange.complete
            exchange = replace(exchange, abandoned=lost)
            loss.kill()
        self._record(exchange)
        return exchange


def _last_event(exchange, last_event):
    """Returns the id of the last event that a caller holds after an exchange.

    Args:
        exchange: The `Exchange`.
        last_event: Id of the last event that the caller held before.
    """
    events, _ = read_events(exchange.body)
    return events[-1].number if events else last_event


def _pause_s(exchange, ends_at):
    """Returns the seconds until a caller takes up a stream.

    Args:
        exchange: The last `Exchange`, which ``Retry-After`` may follow.
        ends_at: Monotonic time at which the caller gives up.
    """
    pause_s = float((exchange.headers or {}).get("retry-after", RETRY_S))
    return min(pause_s, max(0.0, ends_at - time.monotonic()) / 3)


def _shut_down(sock):
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The connection has ended already.
        return
