"""Interface between the relay and a platform's headers and model server calls."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from amaranthbay.kernel.registry import find, register
from amaranthbay.routing import Stage

__all__ = [
    "AnswerTraits",
    "CallCodec",
    "CallHead",
    "ForwardOptions",
    "PrefillResult",
    "StageOrder",
    "StageReport",
    "find_codec",
    "register_codec",
]


@dataclass(frozen=True)
class CallHead:
    """Values read from the headers of a caller's request.

    Attributes:
        attempt_id: Id that the caller gave the request; may be empty.
        deadline_s: Seconds for which the caller waits; None if not stated.
        last_event_id: Event after which a stream continues; None for a new stream, and
            if it can't be read.
        has_unreadable_event: Whether the caller names an event that can't be read. A
            server may be able to read it.
        began_as: Id of the caller's attempt that brought the first event of the stream
            to continue; empty if not stated.
        model: Name of the model; empty for a plain call.
        prompt_tokens: Length of the prompt.
        max_output_tokens: Limit on the answer's tokens.
        expected_tokens: Caller's estimate of the answer's tokens, which is often far
            off; None if not stated.
        shared_parts: Ids of the parts of the prompt that other requests may share, in
            their order.
        credentials: Keys that the request carries; left out of the text form, as keys
            are secret.
    """

    attempt_id: str
    deadline_s: float | None = None
    last_event_id: int | None = None
    has_unreadable_event: bool = False
    began_as: str = ""
    model: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    expected_tokens: int | None = None
    shared_parts: tuple[str, ...] = ()
    credentials: tuple[bytes, ...] = field(default=(), repr=False)

    @property
    def continues(self):
        """Whether the caller continues a stream."""
        return self.last_event_id is not None or self.has_unreadable_event

    @property
    def stream_id(self):
        """Id of the caller's attempt under which its stream began, or begins."""
        return self.began_as if self.continues else self.attempt_id

    @property
    def likely_tokens(self):
        """Caller's estimate of the answer's tokens, `max_output_tokens` at most."""
        if self.expected_tokens is None:
            return self.max_output_tokens
        return min(self.max_output_tokens, self.expected_tokens)


@dataclass(frozen=True)
class ForwardOptions:
    """Values that the relay writes into the headers of a forwarded request.

    Attributes:
        server: Name of the server that must run the request.
        left_s: Seconds until the deadline.
        prefill_only: Whether the server computes only the KV cache.
        urgency: Urgency for the server, 0 for the most urgent; None to tell it none.
        kv_source: Text that tells a decode server where to fetch the KV cache; empty
            for none.
        hold: Id of the hold (reserved slot and memory) for the request; empty for none.
        last_event_id: Event after which the stream continues; None to keep the
            caller's value.
        workspace: Name of the caller's workspace; empty if it has none. The caller's
            key and what it says of its workspace are then left out. None to forward
            both as they are, as the deployment has no keys.
    """

    server: str
    left_s: float
    prefill_only: bool = False
    urgency: int | None = None
    kv_source: str = ""
    hold: str = ""
    last_event_id: int | None = None
    workspace: str | None = None


@dataclass(frozen=True)
class AnswerTraits:
    """Values read from the headers of a backend server's answer.

    Attributes:
        attempt_id: Id of the request that it answers; may be empty.
        stamped: Whether the answer has the response stamp, which shows that a backend
            server produced it.
        not_run: Whether the server states that the request did not run.
        misdirected: Whether the answer comes from another server that now has the
            address.
        leaving: Whether the server states that it is leaving.
        pause_s: Seconds for which the server wants no requests; None if it asks for no
            pause.
        limit_per_s: Requests per second that the server takes from all instances
            together; None if it names no limit.
    """

    attempt_id: str
    stamped: bool
    not_run: bool
    misdirected: bool = False
    leaving: bool = False
    pause_s: float | None = None
    limit_per_s: float | None = None


@dataclass(frozen=True)
class PrefillResult:
    """KV cache that a prefill server keeps for a short time.

    Attributes:
        handle: Name of the KV cache at that server.
        tokens: Length of the computed prompt.
    """

    handle: str
    tokens: int


@dataclass(frozen=True)
class StageReport:
    """State that a model server reports.

    Attributes:
        stage: `Stage` that it serves; None if unknown.
        switching: Whether it is carrying out an order.
        accepted_orders: Number of orders that it has accepted since its start.
    """

    stage: Stage | None
    switching: bool
    accepted_orders: int


@dataclass(frozen=True)
class StageOrder:
    """Order that moves a model server to another pool.

    Attributes:
        stage: `Stage` that the server has to serve.
        holder: Instance that gives the order and holds the lease.
        fence: Fencing token of the lease.
        expected_orders: Number of orders that the server must have accepted so far.
    """

    stage: Stage
    holder: str
    fence: int
    expected_orders: int


class CallCodec(ABC):
    """Translates between the relay and a platform's headers, paths and bodies."""

    @abstractmethod
    def read_call(self, headers):
        """Returns the `CallHead` of a request.

        Args:
            headers: Pairs of lower-case name and value in bytes.
        """

    @abstractmethod
    def forward_headers(self, headers, options):
        """Returns the headers of a forwarded request, without those for framing.

        Args:
            headers: Pairs of name and value in bytes, as the caller sent them.
            options: `ForwardOptions` to write into the headers.
        """

    @abstractmethod
    def end_to_end(self, headers, excluded=frozenset()):
        """Returns the headers that aren't specific to one connection.

        Args:
            headers: Pairs of name and value in bytes.
            excluded: Lower-case names of further headers to leave out.
        """

    @abstractmethod
    def read_answer(self, status, headers):
        """Returns the `AnswerTraits` of a backend server's answer."""

    @abstractmethod
    def read_prefill(self, body):
        """Returns the ``Result[PrefillResult, str]`` in a prefill server's answer."""

    @abstractmethod
    def release_request(self, handle):
        """Returns method and path of the call that frees the KV cache of a handle."""

    @abstractmethod
    def hold_request(self, tokens, ttl_s):
        """Returns method, path and body of the call that takes a hold.

        Args:
            tokens: KV cache tokens to hold.
            ttl_s: Seconds after which an unused hold ends.
        """

    @abstractmethod
    def read_hold(self, body):
        """Returns ``Result[str, str]`` with the id of a hold."""

    @abstractmethod
    def drop_hold_request(self, hold):
        """Returns method and path of the call that releases a hold."""

    @abstractmethod
    def report_request(self):
        """Returns method and path of the call that asks for a `StageReport`."""

    @abstractmethod
    def read_report(self, body):
        """Returns the ``Result[StageReport, str]`` in a model server's answer."""

    @abstractmethod
    def order_request(self, order):
        """Returns method, path and body of the call that gives a `StageOrder`."""

    @abstractmethod
    def expect_server(self, name):
        """Returns a header, name and value, that makes all other servers refuse."""

    @abstractmethod
    def kv_source(self, address, handle):
        """Returns the text that tells a decode server where to fetch a KV cache.

        Args:
            address: Address of the prefill server.
            handle: Name of the KV cache at that server.
        """


def register_codec(name):
    """Returns a class decorator that registers a `CallCodec`."""
    return register("call_codec", name)


def find_codec(name):
    """Returns a new `CallCodec` by its registered name."""
    return find("call_codec", name)()
