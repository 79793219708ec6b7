"""Abstract base classes of plug-ins and of platform and peer services."""

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
            work: `Work` of the request.

        Returns:
            ``Result[Answer, Refusal]``. The answer's iterator releases its resources
            when it ends or is closed.
        """


class PlacementPolicy(ABC):
    """Chooses the backend servers of one attempt.

    Attributes:
        queues_patient: Whether patient requests are queued until `may_start` returns
            True.
    """

    queues_patient = False

    @abstractmethod
    def choose(self, demand, view, now):
        """Returns ``Result[Placement, Refusal]``; changes nothing outside the policy.

        Args:
            demand: `placement.types.Demand` of the attempt.
            view: `placement.types.PoolView`; a snapshot of the pools.
            now: Monotonic time in seconds.
        """

    def may_start(self, demand, view, now):
        """Returns whether a queued patient request should start now."""
        return True


class PlacementObserver(ABC):
    """Observes the course of each placement, to improve later ones."""

    @abstractmethod
    def placed(self, attempt_id, call, placement, view):
        """Called when an attempt has been placed on a pair of servers."""

    @abstractmethod
    def prefilled(self, attempt_id, outcome):
        """Called with the `PrefillOutcome` of an attempt."""

    @abstractmethod
    def first_token(self, attempt_id):
        """Called at the first token of an attempt."""

    @abstractmethod
    def released(self, attempt_id):
        """Called when an attempt has ended, however it ended; idempotent."""


class SlotAllocator(ABC):
    """Grants slots of backend servers, so that daemons together don't overload them."""

    @abstractmethod
    def acquire(self, server, attempt, interactive, tokens):
        """Acquires a slot of a server for an attempt.

        Args:
            server: `BackendServer`.
            attempt: `Attempt`.
            interactive: Whether the request is interactive, see `Work`.
            tokens: Estimated number of tokens of the prompt.

        Returns:
            ``Result[SlotGrant, Refusal]``.
        """

    @abstractmethod
    def release(self, grant):
        """Releases a granted slot; never raises and never blocks."""

    def run(self):
        """Renews granted slots until killed; does nothing by default."""


class EngineClient(ABC):
    """Client of the engines of prefill and decode pools."""

    @abstractmethod
    def prefill(self, server, attempt, call, priority, timeout):
        """Computes the KV cache of a prompt.

        Args:
            server: `BackendServer` of a prefill pool.
            attempt: `Attempt`.
            call: `ModelCall`.
            priority: Priority at the engine; higher ones go first.
            timeout: Timeout in seconds.

        Returns:
            ``Result[PrefillOutcome, Refusal]``.
        """

    @abstractmethod
    def decode(self, server, attempt, call, prefill, priority, timeout):
        """Starts to decode with the KV cache of a prefill.

        Args:
            server: `BackendServer` of a decode pool.
            attempt: `Attempt`.
            call: `ModelCall`.
            prefill: `PrefillOutcome` whose KV cache is imported.
            priority: Priority at the engine; higher ones go first.
            timeout: Longest wait for the import and the first event, in seconds.

        Returns:
            ``Result[Iterator[TokenEvent], Refusal]``.
        """

    @abstractmethod
    def resume(self, server, attempt, offset):
        """Reopens the decode stream of an attempt.

        Args:
            server: `BackendServer` that decodes the attempt.
            attempt: `Attempt`.
            offset: Index of the first token to send.

        Returns:
            ``Result[Iterator[TokenEvent], Refusal]``. A refusal with a status below
            500 means that the engine answered and doesn't know the stream.
        """

    @abstractmethod
    def cancel(self, server, attempt_id):
        """Cancels an attempt; returns whether the engine acknowledged it."""


@dataclass(frozen=True)
class Era:
    """Period between two restores of a table service from an older copy.

    Attributes:
        number: Rises with each restore; 0 for a service that is never restored.
        seen_at: Monotonic time in seconds at which this process first saw the era.
    """

    number: int = 0
    seen_at: float = -math.inf


class TableService(ABC):
    """Transactional table service of the platform."""

    def era(self):
        """Returns the `Era` of the latest answer."""
        return Era()

    @abstractmethod
    def commit(self, writes):
        """Commits conditional writes atomically.

        Args:
            writes: Sequence of `platform.types.Write`.

        Returns:
            `platform.types.CommitOutcome`; its state is ``unknown`` if no answer says
            whether the writes took effect.
        """

    @abstractmethod
    def read(self, key):
        """Returns ``Result[Row | None, PlatformFailure]``; None if there is no row."""

    @abstractmethod
    def scan(self, prefix, after="", limit=1000):
        """Reads rows in key order.

        Args:
            prefix: Prefix of the keys.
            after: Only rows with keys greater than this are returned.
            limit: Largest number of rows.

        Returns:
            ``Result[tuple[Row, ...], PlatformFailure]``.
        """


class ObjectStore(ABC):
    """Object store of the platform."""

    @abstractmethod
    def put(self, name, body):
        """Stores an object; returns ``Result[None, PlatformFailure]``."""

    @abstractmethod
    def get(self, name):
        """Returns ``Result[bytes | None, PlatformFailure]``; None if it is missing."""


class WeightStore(ABC):
    """Rate-limited store of model weights."""

    @abstractmethod
    def describe(self, name):
        """Returns ``Result[WeightInfo | None, PlatformFailure]``; None if unknown."""


class InstanceList(ABC):
    """The platform's list of live and leaving instances, which may be out of date."""

    @abstractmethod
    def fetch(self):
        """Returns ``Result[tuple[Instance, ...], PlatformFailure]``."""


class Membership(ABC):
    """This daemon's view of the daemons of the deployment."""

    @abstractmethod
    def own(self):
        """Returns the `membership.types.Member` of this daemon."""

    @abstractmethod
    def live(self):
        """Returns the `Member` of each live daemon, including this one.

        Leaving, suspected and dead daemons are not live: they get no new work.
        """

    @abstractmethod
    def member(self, instance):
        """Returns the `Member` of an instance, or None if it is not known."""

    @abstractmethod
    def on_death(self, callback):
        """Registers ``callback(member)``, called once per incarnation proven dead."""


class PeerChannel(ABC):
    """Sends messages to other daemons."""

    @abstractmethod
    def send(self, instance, message):
        """Queues a message without blocking; returns False if it can't be queued."""

    @abstractmethod
    def ask(self, instance, message, timeout_s):
        """Sends a message and returns its reply, or None after the timeout."""

    @abstractmethod
    def register_handler(self, message_type, handler):
        """Registers the handler of a message type.

        Args:
            message_type: Frozen data class registered as ``"peer_message"``.
            handler: Function called with the sender's instance and the message;
                returns a reply message or None.
        """
