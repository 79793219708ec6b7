"""HTTP clients of the platform's table, object and weight stores and instance list."""

from urllib.parse import quote, urlencode

import gevent
import msgspec
from result import Err, Ok

from amaranthbay.kernel.errors import Verdict
from amaranthbay.kernel.interfaces import (
    InstanceList,
    ObjectStore,
    TableService,
    WeightStore,
)
from amaranthbay.kernel.registry import register
from amaranthbay.platform.limiter import PlatformLimiter
from amaranthbay.platform.types import (
    CommitOutcome,
    CommitState,
    Instance,
    PlatformFailure,
    Row,
    WeightInfo,
)
from amaranthbay.utils.decoding import decode_json
from amaranthbay.utils.http import HttpFailure, exchange_whole

__all__ = [
    "HttpInstanceList",
    "HttpObjectStore",
    "HttpTableService",
    "HttpWeightStore",
]

# Longer than a slow reply of the platform in normal operation. The outcome of a commit
# that takes longer is unknown, and its rows are read back.
REQUEST_TIMEOUT_S = 2.0


class _CommitReply(msgspec.Struct):
    committed: bool
    versions: dict[str, int] = {}
    conflicts: tuple[str, ...] = ()


class _RowsReply(msgspec.Struct):
    rows: tuple[Row, ...] = ()


class _InstancesReply(msgspec.Struct):
    instances: tuple[Instance, ...] = ()


class _WeightsReply(msgspec.Struct):
    weights: tuple[WeightInfo, ...] = ()


class _PlatformClient:
    """Sends requests to one address of the platform, subject to a limiter."""

    def __init__(self, address, limiter=None):
        """Creates the client.

        Args:
            address: Host and port.
            limiter: `PlatformLimiter` that the daemon's clients share; None for a new
                one.
        """
        self._address = address
        self._limiter = limiter or PlatformLimiter()

    def call(self, method, path, body=b""):
        """Sends a request and returns ``Result[tuple[int, bytes], HttpFailure]``.

        The values are the status and the body. A request that the limiter refuses fails
        with `Verdict.NOT_RUN`; a status of 500 or more counts as a failure for its
        circuit breaker.
        """
        refusal = self._limiter.admit(is_write=method != "GET")
        if refusal is not None:
            return Err(HttpFailure(Verdict.NOT_RUN, refusal))
        outcome = self._exchange(method, path, body)
        succeeded = outcome.is_ok() and outcome.unwrap()[0] < 500
        self._limiter.breaker.record(succeeded)
        return outcome

    def _exchange(self, method, path, body):
        # The socket's timeout limits a single read or write; this timeout limits the
        # whole exchange.
        timeout = gevent.Timeout(REQUEST_TIMEOUT_S)
        with timeout:
            try:
                return exchange_whole(
                    self._address, method, path, body, timeout_s=REQUEST_TIMEOUT_S
                )
            except gevent.Timeout as exc:
                if exc is not timeout:
                    raise
                detail = f"the platform at {self._address} did not answer in time"
                return Err(HttpFailure(Verdict.MAY_HAVE_RUN, detail))

    def fetch(self, path, reply_type):
        """Sends a GET request and returns ``Result[reply_type, PlatformFailure]``."""
        outcome = self.call("GET", path)
        if outcome.is_err():
            return Err(PlatformFailure(outcome.unwrap_err().detail))
        status, body = outcome.unwrap()
        if status != 200:
            return Err(PlatformFailure(f"the platform answered with status {status}"))
        return decode_json(body, reply_type).map_err(
            lambda detail: PlatformFailure(
                f"the platform's reply is unreadable: {detail}"
            )
        )


@register("platform_client", "http_table")
class HttpTableService(TableService):
    """Reads and conditionally writes the rows of the platform's table service."""

    def __init__(self, address, limiter=None):
        self._client = _PlatformClient(address, limiter)

    def commit(self, writes):
        body = msgspec.json.encode({"writes": writes})
        outcome = self._client.call("POST", "/table/commit", body)
        if outcome.is_err():
            may_have_run = outcome.unwrap_err().verdict is not Verdict.NOT_RUN
            state = CommitState.UNKNOWN if may_have_run else CommitState.NOT_DONE
            return CommitOutcome(state, {})
        status, body = outcome.unwrap()
        return _decode_commit(status, body)

    def read(self, key):
        path = "/table/row?" + urlencode({"key": key})
        reply = self._client.fetch(path, _RowsReply)
        return reply.map(lambda page: page.rows[0] if page.rows else None)

    def scan(self, prefix, after="", limit=1000):
        query = {"prefix": prefix, "after": after, "limit": limit}
        reply = self._client.fetch("/table/scan?" + urlencode(query), _RowsReply)
        return reply.map(lambda page: page.rows)


def _decode_commit(status, body):
    """Returns the `CommitOutcome`; its state is unknown after an unexpected reply."""
    if status not in (200, 409):
        return CommitOutcome(CommitState.UNKNOWN, {})
    decoded = decode_json(body, _CommitReply)
    if decoded.is_err():
        return CommitOutcome(CommitState.UNKNOWN, {})
    reply = decoded.unwrap()
    state = CommitState.DONE if reply.committed else CommitState.CONFLICT
    return CommitOutcome(state, reply.versions, reply.conflicts)


@register("platform_client", "http_objects")
class HttpObjectStore(ObjectStore):
    """Writes and reads the objects of the platform's object store."""

    def __init__(self, address, limiter=None):
        self._client = _PlatformClient(address, limiter)

    def put(self, name, body):
        outcome = self._client.call("PUT", f"/object/{name}", body)
        if outcome.is_err():
            return Err(PlatformFailure(outcome.unwrap_err().detail))
        status, _ = outcome.unwrap()
        if status != 200:
            return Err(PlatformFailure(f"the platform answered with status {status}"))
        return Ok(None)

    def get(self, name):
        outcome = self._client.call("GET", f"/object/{name}")
        if outcome.is_err():
            return Err(PlatformFailure(outcome.unwrap_err().detail))
        status, body = outcome.unwrap()
        if status == 404:
            return Ok(None)
        if status != 200:
            return Err(PlatformFailure(f"the platform answered with status {status}"))
        return Ok(body)


@register("platform_client", "http_instances")
class HttpInstanceList(InstanceList):
    """Reads the platform's list of instances."""

    def __init__(self, address, limiter=None):
        self._client = _PlatformClient(address, limiter)

    def fetch(self):
        reply = self._client.fetch("/instances", _InstancesReply)
        return reply.map(lambda listing: listing.instances)


@register("platform_client", "http_weights")
class HttpWeightStore(WeightStore):
    """Looks up size and digest of model weights in the platform's weight store."""

    def __init__(self, address, limiter=None):
        self._client = _PlatformClient(address, limiter)

    def describe(self, name):
        reply = self._client.fetch(f"/weights/{quote(name)}", _WeightsReply)
        return reply.map(
            lambda listing: listing.weights[0] if listing.weights else None
        )
