"""Peer channel over ZeroMQ: a ROUTER socket to listen, a DEALER socket per peer."""

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

# ZeroMQ closes a connection that sends a longer message. The margin lets a message
# that is slightly too long arrive, so that it is logged.
ZMQ_MAX_MESSAGE_BYTES = 2 * MAX_FRAME_BYTES
IDLE_TIMEOUT_S = 60.0
SWEEP_INTERVAL_S = 10.0
MAX_CONCURRENT_HANDLERS = 64

_name_of = lru_cache(maxsize=None)(message_name)


class ZmqPeerChannel(PeerChannel):
    """Peer channel that sends typed, authenticated messages between daemons.

    Attributes:
        drops: `DropLog` of the messages that were dropped or could not be sent.
    """

    def __init__(self, instance, incarnation, bind_address, address_of, keys, clock):
        """Creates the channel; `start` opens it.

        Args:
            instance: Name of this instance.
            incarnation: Function that returns this daemon's incarnation.
            bind_address: ``host:port`` to listen on.
            address_of: Function that takes an instance and returns its peer address,
                or None if it is unknown.
            keys: `KeyRing`; without a key nothing is sent or accepted.
            clock: Clock for wall-clock and monotonic time.
        """
        self._instance = instance
        self._incarnation = incarnation
        self._bind_address = bind_address
        self._address_of = address_of
        self._keys = keys
        self._clock = clock
        self._handlers = {}
        self._message_callbacks = []
        self._links = {}
        self._pending_replies = {}
        self._sequence = itertools.count(1)
        self._replay_guard = ReplayGuard(clock)
        self._pool = gevent.pool.Pool(MAX_CONCURRENT_HANDLERS)
        self._greenlets = []
        self._context = None
        self._router = None
        self.drops = DropLog("peer_message_dropped", clock)

    def start(self):
        """Opens the listening socket and starts to receive."""
        self._context = zmq.Context(io_threads=1)
        self._router = self._context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.LINGER, 0)
        self._router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        self._router.setsockopt(zmq.MAXMSGSIZE, ZMQ_MAX_MESSAGE_BYTES)
        self._router.setsockopt(zmq.SNDHWM, HIGH_WATER_MESSAGES)
        self._router.setsockopt(zmq.RCVHWM, HIGH_WATER_MESSAGES)
        self._router.bind(f"tcp://{self._bind_address}")
        self._greenlets = [gevent.spawn(self._receive), gevent.spawn(self._sweep)]

    def stop(self):
        """Closes all connections and ends running handlers."""
        gevent.killall(self._greenlets)
        self._pool.kill()
        for link in self._links.values():
            link.close()
        self._links.clear()
        self._router.close()
        self._context.term()

    def register_handler(self, message_type, handler):
        self._handlers[_name_of(message_type)] = handler

    def on_verified_message(self, callback):
        """Registers a callback for messages that pass all checks of the envelope.

        Args:
            callback: Function that is called with the sender's instance and
                incarnation.
        """
        self._message_callbacks.append(callback)

    def send(self, instance, message):
        return self._queue_message(instance, message, Exchange.SEND, 0)

    def ask(self, instance, message, timeout_s):
        ask_id = next(self._sequence)
        pending_reply = gevent.event.AsyncResult()
        self._pending_replies[ask_id] = (instance, pending_reply)
        try:
            if not self._queue_message(instance, message, Exchange.ASK, ask_id):
                return None
            return pending_reply.get(timeout=timeout_s)
        except gevent.Timeout:
            return None
        finally:
            del self._pending_replies[ask_id]

    @property
    def connections(self):
        """Number of open outgoing connections."""
        return len(self._links)

    def _queue_message(self, instance, message, exchange, ask_id):
        if not self._keys or self._context is None:
            return False
        address = self._address_of(instance)
        if address is None:
            return False
        frame = self._seal_message(instance, message, exchange, ask_id)
        if len(frame) > MAX_FRAME_BYTES:
            self.drops.add(FrameFault.OVERSIZED, recipient=instance)
            return False
        return self._link_to(instance, address).put(frame)

    def _seal_message(self, recipient, message, exchange, ask_id):
        name, body = "", b""
        if message is not None:
            name = _name_of(type(message))
            body = msgspec.msgpack.encode(message)
        sent_ms = int(self._clock.now().timestamp() * 1000)
        envelope = Envelope(
            self._instance,
            self._incarnation(),
            recipient,
            next(self._sequence),
            sent_ms,
            exchange,
            ask_id,
            name,
            body,
        )
        return seal_envelope(self._keys, envelope)

    def _link_to(self, instance, address):
        link = self._links.get(instance)
        if link is not None and link.address != address:
            link.close()
            link = None
        if link is None:
            link = PeerLink(self._context, address, self._clock, self._on_frame)
            self._links[instance] = link
        return link

    def close_idle(self):
        """Closes outgoing connections that have been idle for too long."""
        idle_since = self._clock.monotonic() - IDLE_TIMEOUT_S
        for instance, link in list(self._links.items()):
            if link.last_used < idle_since:
                del self._links[instance]
                link.close()

    def _sweep(self):
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            self.close_idle()

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
        fault = self._check_envelope(envelope)
        if fault is not None:
            self.drops.add(fault, sender=envelope.sender, message=envelope.name)
            return
        for callback in self._message_callbacks:
            callback(envelope.sender, envelope.incarnation)
        self._deliver(envelope, identity)

    def _check_envelope(self, envelope):
        """Returns the `FrameFault` of a misaddressed or replayed message, or None."""
        if envelope.recipient != self._instance:
            return FrameFault.WRONG_RECIPIENT
        return self._replay_guard.check(
            envelope.sender, envelope.incarnation, envelope.sequence, envelope.sent_ms
        )

    def _deliver(self, envelope, identity):
        """Decodes a message and passes it to the waiting `ask` or to its handler."""
        message = None
        if envelope.name:
            decoded = decode_body(envelope.name, envelope.body)
            if decoded.is_err():
                fault = decoded.unwrap_err()
                self.drops.add(fault, sender=envelope.sender, message=envelope.name)
                return
            message = decoded.unwrap()
        if envelope.exchange is Exchange.REPLY:
            self._resolve_reply(envelope, message)
        elif envelope.name not in self._handlers:
            fault = FrameFault.UNKNOWN_MESSAGE
            self.drops.add(fault, sender=envelope.sender, message=envelope.name)
        elif self._pool.full():
            fault = FrameFault.OVERLOADED
            self.drops.add(fault, sender=envelope.sender, message=envelope.name)
        else:
            self._pool.spawn(self._handle, envelope, message, identity)

    def _resolve_reply(self, envelope, message):
        """Passes a reply to the waiting `ask`; ignores a reply after its timeout."""
        asked_instance, pending_reply = self._pending_replies.get(
            envelope.ask_id, (None, None)
        )
        if asked_instance == envelope.sender:
            pending_reply.set(message)

    def _handle(self, envelope, message, identity):
        try:
            reply = self._handlers[envelope.name](envelope.sender, message)
        except Exception as exc:
            log_event("defect", level="error", exc=exc, message=envelope.name)
            return
        # Frames from a link have no identity; replies go out over the ROUTER only.
        if envelope.exchange is not Exchange.ASK or identity is None:
            return
        frame = self._seal_message(
            envelope.sender, reply, Exchange.REPLY, envelope.ask_id
        )
        if len(frame) > MAX_FRAME_BYTES:
            self.drops.add(FrameFault.OVERSIZED, recipient=envelope.sender)
            return
        try:
            self._router.send_multipart([identity, frame], zmq.NOBLOCK)
        except zmq.ZMQError as exc:
            self.drops.add("reply_not_sent", recipient=envelope.sender, code=exc.errno)
