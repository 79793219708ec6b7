"""Bounded reading of what other parties send.

A peer may send bytes without end, as fast as its link carries them and in pieces of one
byte. Every path that reads a stream socket uses `BoundedReader`, which gives other
greenlets and timers their turn and counts the bytes that the process holds. The time of
a read is limited by a timeout of its caller, which needs those turns to fire.
"""

from weakref import WeakSet

from gevent.lock import Semaphore

from amaranthbay.ingress.capacity import memory_for_callers, resident_bytes
from amaranthbay.ingress.shortage import Holder, choose_for_memory
from amaranthbay.kernel.clock import SystemClock
from amaranthbay.kernel.errors import AmaranthbayError

__all__ = [
    "READ_BYTES",
    "BoundedReader",
    "HeldMessage",
    "ReadLimitExceeded",
    "ReadMemory",
    "Turn",
    "TurnQueue",
]

READ_BYTES = 65536
# Longest time for which a greenlet processes input before the others get their turn.
TURN_S = 0.005
# A wait of zero would only let greenlets run that are ready already; a timer lets the
# event loop look at sockets and other timers first.
YIELD_S = 0.0005
# A read that took longer than this has waited, so that the others had their turn.
WAITED_S = 0.001
# Share of the process's memory that all messages may hold together. The rest is for the
# program itself and for copies of messages that are being passed on.
MEMORY_SHARE = 1 / 6
# Share of that memory which a single message may hold.
MESSAGE_SHARE = 1 / 2
# Share of the memory which slow callers free in a shortage beyond the need, so that
# the next read doesn't look for another caller to drop.
SPARE_SHARE = 1 / 32
BYTES_PER_MB = 2**20
# Memory limit that is assumed if the settings name none.
DEFAULT_MEMORY_MB = 512.0
TOO_LARGE, MEMORY_FULL = "answer_too_large", "memory_full"


class ReadLimitExceeded(AmaranthbayError):
    """Raised when a peer's message needs more memory than it may have.

    Attributes:
        reason: ``answer_too_large`` if the message exceeds its own limit,
            ``head_too_large`` if its head does, ``memory_full`` if other messages use
            up the memory.
    """

    def __init__(self, reason):
        super().__init__(reason)
        self.reason = reason


class ReadMemory:
    """Memory for the messages that a process holds, shared by all its connections.

    If it is used up, messages that are still being read have to yield, and responses
    that their callers read slowly; see `choose_for_memory`.

    Attributes:
        total_bytes: Bytes that all messages may hold together.
        message_bytes: Bytes that one message may hold.
        evictions: Number of times that messages had to yield.
    """

    def __init__(self, total_bytes, message_bytes=None, clock=None):
        """Creates the memory.

        Args:
            total_bytes: Bytes that all messages and connections may hold together.
            message_bytes: Bytes that one message may hold; half of the total if None.
            clock: `Clock`; the system's clock if None.
        """
        self.total_bytes = int(total_bytes)
        self.message_bytes = int(message_bytes or MESSAGE_SHARE * total_bytes)
        self._clock = clock or SystemClock()
        self._used = 0
        self.evictions = 0
        # A message whose reader is dropped without a release must not stay.
        self._reading = WeakSet()

    @classmethod
    def of_process(cls, memory_mb):
        """Returns the memory for messages of a process.

        Args:
            memory_mb: Memory limit of the process in MiB; 0 if unknown.

        Examples:
            >>> ReadMemory.of_process(96).total_bytes
            16777216
        """
        memory_mb = memory_mb or DEFAULT_MEMORY_MB
        return cls(MEMORY_SHARE * BYTES_PER_MB * memory_mb)

    @classmethod
    def of_measured_process(cls, memory_mb):
        """Returns the memory that this process has beside what it needs itself.

        A single message may be as large as in `of_process`.

        Args:
            memory_mb: Memory limit of the process in MiB; 0 if unknown.
        """
        total_bytes = memory_for_callers(memory_mb, resident_bytes())
        return cls(total_bytes, cls.of_process(memory_mb).message_bytes)

    @property
    def used_bytes(self):
        """Bytes that messages and connections hold now."""
        return self._used

    def has_room(self, count):
        """Returns whether some bytes fit without any message that yields."""
        return self._used + count <= self.total_bytes

    def begin(self, limit_bytes=None, on_evicted=lambda: None, progress=None):
        """Returns a new `HeldMessage` that is being read.

        Args:
            limit_bytes: Bytes that it may hold; `message_bytes` if None.
            on_evicted: Function that is called when it has to yield to others.
            progress: `Progress` of the caller who sends it; None for an answer of a
                backend server or of the store.
        """
        limit_bytes = self.message_bytes if limit_bytes is None else limit_bytes
        return HeldMessage(self, limit_bytes, on_evicted, progress)

    def add_fixed(self, count):
        """Counts bytes of a new connection, for which messages may have to yield."""
        self._used += count
        if self._used > self.total_bytes:
            self._make_room(None)

    def remove_fixed(self, count):
        """Removes the bytes of a connection that has ended."""
        self._used -= count

    def add(self, message, count):
        """Adds bytes to a message; see `HeldMessage.add`."""
        self._reading.add(message)
        self._used += count
        if self._used > self.total_bytes:
            self._make_room(message)
            if self._used > self.total_bytes:
                raise ReadLimitExceeded(MEMORY_FULL)

    def _make_room(self, message):
        """Evicts messages until the others fit, or until a message is one of them."""
        now = self._clock.monotonic()
        needed_bytes = self._used - self.total_bytes
        spare_bytes = SPARE_SHARE * self.total_bytes
        holders = [each.as_holder(now) for each in self._reading if each.held_bytes]
        for holder in choose_for_memory(holders, needed_bytes, spare_bytes):
            if holder.owner is not message:
                self.evictions += 1
                holder.owner.evict()
            elif self._used > self.total_bytes:
                return

    def resume(self, message):
        """Lets a message that has been read yield to others again."""
        self._reading.add(message)

    def end_reading(self, message):
        """Keeps the bytes of a message that has been read and can't yield any more."""
        self._reading.discard(message)

    def remove(self, message):
        """Removes a message and its bytes."""
        self._reading.discard(message)
        self._used -= message.held_bytes


class HeldMessage:
    """Bytes that one message holds until `release`.

    Attributes:
        held_bytes: Bytes that count.
        evicted: Whether it had to yield to other messages.
    """

    def __init__(self, memory, limit_bytes, on_evicted, progress=None):
        self.held_bytes = 0
        self.evicted = False
        self._progress = progress
        self._is_response = False
        self._memory = memory
        self._limit_bytes = limit_bytes
        self._on_evicted = on_evicted

    def add(self, count):
        """Counts bytes that are about to be kept.

        Raises:
            ReadLimitExceeded: If the message may not hold them. It then holds none.
        """
        self.check()
        if self.held_bytes + count > self._limit_bytes:
            self.release()
            raise ReadLimitExceeded(TOO_LARGE)
        self.held_bytes += count
        try:
            self._memory.add(self, count)
        except ReadLimitExceeded:
            self.release()
            raise

    def check(self):
        """Checks that the message has not been evicted.

        Raises:
            ReadLimitExceeded: If it has.
        """
        if self.evicted:
            raise ReadLimitExceeded(MEMORY_FULL)

    def as_holder(self, now):
        """Returns the message as a `Holder` for the choice of those that yield."""
        wait_s = self._progress.wait_s(now) if self._progress is not None else None
        return Holder(self, self.held_bytes, wait_s, self._is_response)

    def complete(self):
        """Marks the message as read; it keeps its bytes until `release`.

        Raises:
            ReadLimitExceeded: If it has been evicted before its end was seen.
        """
        self.check()
        self._memory.end_reading(self)

    def yield_as_response(self, progress, on_evicted):
        """Lets the message yield to others again while its caller reads it.

        Args:
            progress: `Progress` of the caller.
            on_evicted: Function that ends the response.
        """
        self._progress, self._is_response = progress, True
        self._on_evicted = on_evicted
        self._memory.resume(self)

    def evict(self):
        """Takes the bytes of the message away for others."""
        self.release()
        self.evicted = True
        self._on_evicted()

    def release(self):
        """Frees the bytes; may be called again."""
        self._memory.remove(self)
        self.held_bytes = 0

    def __del__(self):
        # An answer may be dropped by a greenlet that is killed.
        self.release()


class TurnQueue:
    """Lets greenlets that have used up their turn go on one after the other.

    If they all went on at once, others would wait for as many turns as there are busy
    greenlets, each time they wait for anything.
    """

    def __init__(self):
        self._lock = Semaphore()

    def wait(self, clock):
        """Waits until those that came before have gone on, and lets others run."""
        with self._lock:
            clock.sleep(YIELD_S)


class Turn:
    """Interrupts the work of one greenlet, so that others get their turn.

    Attributes:
        read_at: Monotonic time at which the latest read ended.
    """

    def __init__(self, clock=None, queue=None):
        """Begins a turn.

        Args:
            clock: `Clock`; the system's clock if None.
            queue: `TurnQueue` of the greenlets among which this one waits for its next
                turn; None if it doesn't wait for others.
        """
        self._clock = clock or SystemClock()
        self._queue = queue
        self._began_at = self.read_at = self._clock.monotonic()

    def give_way(self):
        """Lets others run if this greenlet has run for `TURN_S`."""
        if self._clock.monotonic() - self._began_at < TURN_S:
            return
        if self._queue is None:
            self.pause()
            return
        self._queue.wait(self._clock)
        self._began_at = self._clock.monotonic()

    def pause(self):
        """Lets others run at once, and begins a new turn then."""
        self._clock.sleep(YIELD_S)
        self._began_at = self._clock.monotonic()

    def wait(self, read, *args):
        """Returns the result of a read, which may wait and so let others run."""
        started_at = self._clock.monotonic()
        result = read(*args)
        self.read_at = ended_at = self._clock.monotonic()
        if ended_at - started_at > WAITED_S:
            self._began_at = ended_at
        return result


class BoundedReader:
    """Reads one connection with bounds on turns and on the memory of its messages.

    Attributes:
        sock: Connected socket.
        received_bytes: Bytes that have been read so far.
        evicted: Whether the current message had to yield to others.
    """

    def __init__(self, sock, memory, clock=None, queue=None):
        """Creates the reader.

        Args:
            sock: Connected socket.
            memory: `ReadMemory` of the process.
            clock: `Clock`; the system's clock if None.
            queue: As for `Turn`.
        """
        self.received_bytes = 0
        self.sock = sock
        self._memory = memory
        self._turn = Turn(clock, queue)
        self._seen_evictions = memory.evictions
        self._message = None

    @property
    def read_at(self):
        """Monotonic time at which the latest read ended."""
        return self._turn.read_at

    @property
    def evicted(self):
        return self._message is not None and self._message.evicted

    def give_way(self):
        """Lets other greenlets run if this one has run for long."""
        self._turn.give_way()

    def recv(self, size=READ_BYTES):
        """Returns the next bytes; empty once the peer has closed the connection.

        Raises:
            OSError: If the connection breaks or the socket's timeout passes.
            ReadLimitExceeded: If the message had to yield to others.
        """
        if self._seen_evictions != self._memory.evictions:
            # The bytes that were taken are free once their greenlets have run.
            self._seen_evictions = self._memory.evictions
            self._turn.pause()
        self._turn.give_way()
        self._check_evicted()
        data = self._turn.wait(self.sock.recv, size)
        self._check_evicted()
        self.received_bytes += len(data)
        return data

    def hold(self, count, on_evicted=lambda: None, limit_bytes=None, progress=None):
        """Counts bytes of the current message that are about to be kept.

        Args:
            count: Number of the bytes.
            on_evicted: Function that drops the message, as it has to yield to others;
                the next read then fails.
            limit_bytes: Bytes that the message may hold; that of the `ReadMemory` if
                None.
            progress: `Progress` of a caller who sends the message, else None. All three
                apply from the first call for a message on.

        Raises:
            ReadLimitExceeded: If the message may not hold them.
        """
        if self._message is None:
            self._message = self._memory.begin(limit_bytes, on_evicted, progress)
        self._message.add(count)

    def hold_exactly(self, count, on_evicted=lambda: None):
        """Sets the number of bytes that the current message holds; see `hold`.

        Raises:
            ReadLimitExceeded: If the message may not hold them.
        """
        self.release()
        if count:
            self.hold(count, on_evicted)

    def take_message(self):
        """Returns the `HeldMessage` that has been read, or None if it holds nothing.

        Its new owner releases it.

        Raises:
            ReadLimitExceeded: If it had to yield to others.
        """
        self.complete()
        message, self._message = self._message, None
        return message

    def complete(self):
        """Marks the current message as read; it stays until `release`.

        Raises:
            ReadLimitExceeded: If it had to yield to others.
        """
        if self._message is not None:
            self._message.complete()

    def release(self):
        """Frees the bytes of the current message; the next one starts anew."""
        if self._message is not None:
            self._message.release()
            self._message = None

    def _check_evicted(self):
        if self._message is not None:
            self._message.check()
