"""Interface between the relay and the header names of a platform."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from amaranthbay.kernel.registry import find, register
from amaranthbay.routing import Stage

__all__ = [
    "AnswerTraits",
    "CallCodec",
    "CallHead",
    "Directions",
    "PrefillResult",
    "StageOrder",
    "StageReport",
    "find_codec",
    "register_codec",
]


@dataclass(frozen=True)
class CallHead:
    """What the headers of a caller's request say.

    Attributes:
        attempt_id: Identity that the caller gave the request; may be empty.
        deadline_s: Time for which the caller will wait; None if not stated.
        last_event_id: Event after which a stream continues; None for a new one.
        model: Name of the model; empty for a plain call.
        prompt_tokens: Length of the prompt.
        output_tokens: Most tokens of the answer.
        expected_tokens: Caller's estimate of the answer's tokens; None if not
            stated. It is often far off.
    """

    attempt_id: str
    deadline_s: float | None = None
    last_event_id: int | None = None
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_tokens: int | None = None

    @property
    def likely_tokens(self):
        """Tokens of the answer, as far as they can be known before it."""
        if self.expected_tokens is None:
            return self.output_tokens
        return min(self.output_tokens, self.expected_tokens)


@dataclass(frozen=True)
class Directions:
    """What the router tells a backend server about a request.

    Attributes:
        server: Name of the server that must run it.
        left_s: Time that is left until the deadline.
        prefill_only: Whether only the KV cache is computed.
        kv_source: Where a decode server fetches the KV cache; empty for none.
        hold: Slot and memory that were reserved for the request; empty for none.
        last_event_id: Event after which the stream continues; None to leave the
            caller's own value.
    """

    server: str
    left_s: float
    prefill_only: bool = False
    kv_source: str = ""
    hold: str = ""
    last_event_id: int | None = None


@dataclass(frozen=True)
class AnswerTraits:
    """What the headers of a backend server's answer say.

    Attributes:
        attempt_id: Identity of the request that it answers; may be empty.
        stamped: Whether the server has signed it.
        not_run: Whether it states that the request did not run.
        misdirected: Whether another server has the address.
        leaving: Whether the server says that it leaves.
        pause_s: Time for which the server wants no more requests; None if it asks for
            none.
    """

    attempt_id: str
    stamped: bool
    not_run: bool
    misdirected: bool = False
    leaving: bool = False
    pause_s: float | None = None


@dataclass(frozen=True)
class PrefillResult:
    """KV cache that a prefill server keeps for a short time."""

    handle: str
    tokens: int


@dataclass(frozen=True)
class StageReport:
    """What a model server says of itself.

    Attributes:
        stage: Its `Stage`; None if it names none that is known.
        switching: Whether an order is being carried out.
        orders: Number of orders that it has accepted since its start.
    """

    stage: Stage | None
    switching: bool
    orders: int


@dataclass(frozen=True)
class StageOrder:
    """Orders a model server into another pool.

    Attributes:
        stage: Pool that it shall serve.
        holder: Instance that gives the order.
        fence: Fencing number of its lease.
        orders: Number of orders that the server must have accepted before.
    """

    stage: Stage
    holder: str
    fence: int
    orders: int


class CallCodec(ABC):
    """Reads and writes the headers of calls; decides nothing."""

    @abstractmethod
    def read_call(self, headers):
        """Returns the `CallHead` of a request.

        Args:
            headers: Pairs of lower-case name and value, in bytes.
        """

    @abstractmethod
    def forward_headers(self, headers, directions):
        """Returns the headers to send with `Directions`, without the framing."""

    @abstractmethod
    def end_to_end(self, headers, without=frozenset()):
        """Returns the headers that don't concern one connection only."""

    @abstractmethod
    def read_answer(self, status, headers):
        """Returns the `AnswerTraits` of a backend server's answer."""

    @abstractmethod
    def read_prefill(self, body):
        """Returns ``Result[PrefillResult, str]``."""

    @abstractmethod
    def release_request(self, handle):
        """Returns method and path that free the KV cache of a handle."""

    @abstractmethod
    def hold_request(self, tokens, life_s):
        """Returns method, path and body that reserve a slot and memory."""

    @abstractmethod
    def read_hold(self, body):
        """Returns ``Result[str, str]``: the id of what was reserved."""

    @abstractmethod
    def drop_hold_request(self, hold):
        """Returns method and path that give back what was reserved."""

    @abstractmethod
    def report_request(self):
        """Returns method and path that ask a model server for its state."""

    @abstractmethod
    def read_report(self, body):
        """Returns ``Result[StageReport, str]``."""

    @abstractmethod
    def order_request(self, order):
        """Returns method, path and body of a `StageOrder`."""

    @abstractmethod
    def expect_server(self, name):
        """Returns the header that makes any other server refuse a call."""

    @abstractmethod
    def kv_source(self, address, handle):
        """Returns the text that names a KV cache to a decode server."""


def register_codec(name):
    """Returns a class decorator that registers a `CallCodec`."""
    return register("call_codec", name)


def find_codec(name):
    """Returns a new `CallCodec` by its registered name."""
    return find("call_codec", name)()
