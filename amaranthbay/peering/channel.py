"""Peer channel over ZeroMQ: a ROUTER to listen, a DEALER for each peer in use."""

import itertools
from functools import lru_cache

import gevent
import gevent.event
import gevent.pool
import msgspec
import zmq.green as zmq

from amaranthbay.kernel.interfaces import PeerChannel
from amaranthbay.observe import log_event
from amaranthbay.peering.drops import DropLog
from amaranthbay.peering.envelope import (
    MAX_FRAME_BYTES,
    Envelope,
    Exchange,
    decode_body,
    message_name,
    open_envelope,
    seal_envelope,
)
from amaranthbay.peering.links import HIGH_WATER_MESSAGES, PeerLink
from amaranthbay.peering.replay import ReplayGuard
from amaranthbay.peering.sealing import FrameFault

__all__ = ["ZmqPeerChannel"]

# The library ends a connection that sends more; the margin lets a message that
# is slightly too long arrive and be logged.
LIBRARY_LIMIT_BYTES = 2 * MAX_FRAME_BYTES
IDLE_S = 60.0
SWEEP_S = 10.0
HANDLERS = 64

_name_of = lru_cache(maxsize=None)(message_name)


class ZmqPeerChannel(PeerChannel):
    """Sends typed messages to the peers whose addresses a function gives."""

    def __init__(self, instance, incarnation, bind_address, address_of, keys, clock):
        """Creates the channel; `start` opens it.

        Args:
            instance: Name of this instance.
            incarnation: Function that returns this daemon's incarnation.
            bind_address: ``host:port`` to listen on.
            address_of: Function of an instance that returns its peer address, or
                None if it is not known.
            keys: `KeyRing`; without a key nothing is sent or accepted.
            clock: Clock.
        """
        self._instance = instance
        self._incarnation = incarnation
        self._bind_address = bind_address
        self._address_of = address_of
        self._keys = keys
        self._clock = clock
        self._handlers = {}
        self._heard = []
        self._links = {}
        self._pending = {}
        self._numbers = itertools.count(1)
        self._guard = ReplayGuard(clock)
        self._pool = gevent.pool.Pool(HANDLERS)
        self._jobs = []
        self._context = None
        self._router = None
        self.drops = DropLog("peer_message_dropped", clock)

    def start(self):
        """Listens and starts the jobs."""
        self._context = zmq.Context(io_threads=1)
        self._router = self._context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.LINGER, 0)
        self._router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        self._router.setsockopt(zmq.MAXMSGSIZE, LIBRARY_LIMIT_BYTES)
        self._router.setsockopt(zmq.SNDHWM, HIGH_WATER_MESSAGES)
        self._router.setsockopt(zmq.RCVHWM, HIGH_WATER_MESSAGES)
        self._router.bind(f"tcp://{self._bind_address}")
        self._jobs = [gevent.spawn(self._receive), gevent.spawn(self._sweep)]

    def stop(self):
        """Closes all connections."""
        gevent.killall(self._jobs)
        self._pool.kill()
        for link in self._links.values():
            link.close()
        self._links.clear()
        self._router.close()
        self._context.term()

    def on(self, message_type, handler):
        self._handlers[_name_of(message_type)] = handler

    def on_heard(self, callback):
        """Calls ``callback(instance, incarnation)`` for each accepted message."""
        self._heard.append(callback)

    def send(self, instance, message):
        return self._put(instance, message, Exchange.SEND, 0)

    def ask(self, instance, message, timeout_s):
        ask_id = next(self._numbers)
        answered = gevent.event.AsyncResult()
        self._pending[ask_id] = (instance, answered)
        try:
            if not self._put(instance, message, Exchange.ASK, ask_id):
                return None
            return answered.get(timeout=timeout_s)
        except gevent.Timeout:
            return None
        finally:
            del self._pending[ask_id]

    @property
    def connections(self):
        """Returns how many outgoing connections are open."""
        return len(self._links)

    def _put(self, instance, message, exchange, ask_id):
        if not self._keys or self._context is None:
            return False
        address = self._address_of(instance)
        if address is None:
            return False
        frame = self._frame(instance, message, exchange, ask_id)
        if len(frame) > MAX_FRAME_BYTES:
            self.drops.add(FrameFault.OVERSIZED, recipient=instance)
            return False
        return self._link(instance, address).put(frame)

    def _frame(self, recipient, message, exchange, ask_id):
        name, body = "", b""
        if message is not None:
            name = _name_of(type(message))
            body = msgspec.msgpack.encode(message)
        sent_ms = int(self._clock.now().timestamp() * 1000)
        envelope = Envelope(
            self._instance,
            self._incarnation(),
            recipient,
            next(self._numbers),
            sent_ms,
            exchange,
            ask_id,
            name,
            body,
        )
        return seal_envelope(self._keys, envelope)

    def _link(self, instance, address):
        link = self._links.get(instance)
        if link is not None and link.address != address:
            link.close()
            link = None
        if link is None:
            link = PeerLink(self._context, address, self._clock, self._on_frame)
            self._links[instance] = link
        return link

    def _sweep(self):
        """Closes connections that have not been used for a while."""
        while True:
            gevent.sleep(SWEEP_S)
            oldest = self._clock.monotonic() - IDLE_S
            for instance, link in list(self._links.items()):
                if link.last_used < oldest:
                    del self._links[instance]
                    link.close()

    def _receive(self):
        while True:
            identity, *frames = self._router.recv_multipart()
            self._on_frame(b"".join(frames), identity)

    def _on_frame(self, frame, identity=None):
        opened = open_envelope(self._keys, frame)
        if opened.is_err():
            self.drops.add(opened.unwrap_err(), size=len(frame))
            return
        envelope = opened.unwrap()
        fault = self._fault(envelope)
        if fault is not None:
            self.drops.add(fault, sender=envelope.sender, message=envelope.name)
            return
        for callback in self._heard:
            callback(envelope.sender, envelope.incarnation)
        self._deliver(envelope, identity)

    def _fault(self, envelope):
        if envelope.recipient != self._instance:
            return FrameFault.WRONG_RECIPIENT
        return self._guard.fault(
            envelope.sender, envelope.incarnation, envelope.sequence, envelope.sent_ms
        )

    def _deliver(self, envelope, identity):
        message = None
        if envelope.name:
            decoded = decode_body(envelope.name, envelope.body)
            if decoded.is_err():
                fault = decoded.unwrap_err()
                self.drops.add(fault, sender=envelope.sender, message=envelope.name)
                return
            message = decoded.unwrap()
        if envelope.exchange is Exchange.REPLY:
            self._answer(envelope, message)
        elif envelope.name not in self._handlers:
            fault = FrameFault.UNKNOWN_MESSAGE
            self.drops.add(fault, sender=envelope.sender, message=envelope.name)
        elif self._pool.full():
            fault = FrameFault.OVERLOADED
            self.drops.add(fault, sender=envelope.sender, message=envelope.name)
        else:
            self._pool.spawn(self._handle, envelope, message, identity)

    def _answer(self, envelope, message):
        """Hands a reply to its question; a reply that is too late is ignored."""
        asked, answered = self._pending.get(envelope.ask_id, (None, None))
        if asked == envelope.sender:
            answered.set(message)

    def _handle(self, envelope, message, identity):
        try:
            reply = self._handlers[envelope.name](envelope.sender, message)
        except Exception as exc:
            log_event("defect", level="error", exc=exc, message=envelope.name)
            return
        if envelope.exchange is not Exchange.ASK or identity is None:
            return
        frame = self._frame(envelope.sender, reply, Exchange.REPLY, envelope.ask_id)
        if len(frame) > MAX_FRAME_BYTES:
            self.drops.add(FrameFault.OVERSIZED, recipient=envelope.sender)
            return
        try:
            self._router.send_multipart([identity, frame], zmq.NOBLOCK)
        except zmq.ZMQError as exc:
            self.drops.add("reply_not_sent", recipient=envelope.sender, code=exc.errno)
