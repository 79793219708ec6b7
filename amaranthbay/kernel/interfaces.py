"""Abstract base classes that plug-ins implement."""

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = [
    "EngineClient",
    "Era",
    "InstanceList",
    "Membership",
    "ObjectStore",
    "PeerChannel",
    "PlacementObserver",
    "PlacementPolicy",
    "ServiceKind",
    "SlotAllocator",
    "TableService",
    "WeightStore",
]


class ServiceKind(ABC):
    """Dispatches the calls of one kind of service (model or plain)."""

    @abstractmethod
    def dispatch(self, work):
        """Runs one admitted request.

        Args:
            work: The classified `Work`.

        Returns:
            ``Result[Answer, Refusal]``. What the answer's iterator holds is
            released when the iterator is closed or ends.
        """


class PlacementPolicy(ABC):
    """Chooses the backend servers of one attempt.

    Attributes:
        queues_patient: Whether patient requests wait until `may_start` holds.
    """

    queues_patient = False

    @abstractmethod
    def choose(self, demand, view, now):
        """Returns ``Result[Placement, Refusal]``; a pure function.

        Args:
            demand: `placement.types.Demand` of the attempt.
            view: `placement.types.PoolView`, a snapshot of the pools.
            now: Monotonic time in seconds.
        """

    def may_start(self, demand, view, now):
        """Returns whether a patient request should leave the queue now."""
        return True


class PlacementObserver(ABC):
    """Is told what became of a placement, so that later ones can be better."""

    @abstractmethod
    def placed(self, attempt_id, call, placement, view):
        """Notes that an attempt starts on a pair of servers."""

    @abstractmethod
    def prefilled(self, attempt_id, outcome):
        """Notes the `PrefillOutcome` of an attempt."""

    @abstractmethod
    def first_token(self, attempt_id):
        """Notes the first token of an attempt."""

    @abstractmethod
    def released(self, attempt_id):
        """Notes that an attempt has ended on all ways out; repeatable."""


class SlotAllocator(ABC):
    """Grants slots of backend servers, so that daemons don't overload them."""

    @abstractmethod
    def acquire(self, server, attempt, interactive, tokens):
        """Returns ``Result[SlotGrant, Refusal]``."""

    @abstractmethod
    def release(self, grant):
        """Gives a granted slot back; never raises and never blocks."""

    def run(self):
        """Renews what is held until killed; by default there is nothing to renew."""


class EngineClient(ABC):
    """Speaks to the engines of prefill and decode pools."""

    @abstractmethod
    def prefill(self, server, attempt, call, priority, timeout):
        """Returns ``Result[PrefillOutcome, Refusal]``."""

    @abstractmethod
    def decode(self, server, attempt, call, prefill, priority, timeout):
        """Returns ``Result[Iterator[TokenEvent], Refusal]``.

        The timeout bounds the wait for the import and the first event.
        """

    @abstractmethod
    def resume(self, server, attempt, offset):
        """Returns ``Result[Iterator[TokenEvent], Refusal]``.

        A refusal with a status below 500 means that the engine answered and
        doesn't know the stream.
        """

    @abstractmethod
    def cancel(self, server, attempt_id):
        """Returns whether the engine acknowledged the cancellation."""


@dataclass(frozen=True)
class Era:
    """Span between two restores of a table service from an older copy.

    Attributes:
        number: Rises with each restore; 0 for a service that is never restored.
        seen_at: Monotonic time at which this process first saw it.
    """

    number: int = 0
    seen_at: float = -math.inf


class TableService(ABC):
    """Transactional table service of the platform."""

    def era(self):
        """Returns the `Era` that the latest answer was of."""
        return Era()

    @abstractmethod
    def commit(self, writes):
        """Commits conditional writes atomically.

        Args:
            writes: Sequence of `platform.types.Write`.

        Returns:
            `platform.types.CommitOutcome`: done, conflict or unknown.
        """

    @abstractmethod
    def read(self, key):
        """Returns ``Result[Row | None, PlatformFailure]``."""

    @abstractmethod
    def scan(self, prefix, after="", limit=1000):
        """Returns ``Result[tuple[Row, ...], PlatformFailure]`` in key order."""


class ObjectStore(ABC):
    """Object store of the platform."""

    @abstractmethod
    def put(self, name, body):
        """Returns ``Result[None, PlatformFailure]``."""

    @abstractmethod
    def get(self, name):
        """Returns ``Result[bytes | None, PlatformFailure]``."""


class WeightStore(ABC):
    """Rate-limited store of model weights."""

    @abstractmethod
    def describe(self, name):
        """Returns ``Result[WeightInfo | None, PlatformFailure]``."""


class InstanceList(ABC):
    """The platform's lagging list of live and leaving instances."""

    @abstractmethod
    def fetch(self):
        """Returns ``Result[tuple[Instance, ...], PlatformFailure]``."""


class Membership(ABC):
    """What a daemon knows about the other daemons."""

    @abstractmethod
    def own(self):
        """Returns this daemon's own `membership.types.Member`."""

    @abstractmethod
    def live(self):
        """Returns the daemons that may get new work, this one included.

        Leaving, suspected and dead daemons are left out.
        """

    @abstractmethod
    def member(self, instance):
        """Returns the `Member` of an instance, or None if it is not known."""

    @abstractmethod
    def on_death(self, callback):
        """Calls ``callback(member)`` once for each incarnation proven dead."""


class PeerChannel(ABC):
    """Sends typed messages to other daemons; never blocks a request."""

    @abstractmethod
    def send(self, instance, message):
        """Queues a message; returns False if it can't be queued."""

    @abstractmethod
    def ask(self, instance, message, timeout_s):
        """Sends a message and returns its reply, or None after the timeout."""

    @abstractmethod
    def on(self, message_type, handler):
        """Handles a message type.

        Args:
            message_type: Frozen data class registered as ``"peer_message"``.
            handler: Function of the sender's instance and the message; returns
                a reply message or None.
        """
