"""Client that sends callers' requests to the daemons."""

import time
import uuid
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec

from amaranthbay.client.streams import CallFailed, CompletionStream
from amaranthbay.utils.http import exchange_whole, open_exchange

__all__ = ["CallFailed", "Client", "Reply"]

CALL_TIMEOUT_S = 600.0
LOOKUP_TIMEOUT_S = 2.0
# Reasons after which another daemon is tried; None stands for a request that got no
# answer. Other reasons hold for the whole service, where asking each daemon in turn
# would multiply the load that was just refused.
FAILOVER_REASONS = (None, "draining", "not_ready", "configuration_unconfirmed")


@dataclass(frozen=True)
class Reply:
    """Answer to a plain call.

    Attributes:
        status: HTTP status.
        body: Body of the response.
        address: Address of the daemon that answered.
    """

    status: int
    body: bytes
    address: str


class _LookupReply(msgspec.Struct):
    addresses: tuple[dict, ...]
    ttl_s: float
    config_version: int


class Client:
    """Sends the requests of one workspace to the daemons."""

    def __init__(self, seeds, workspace, caller="", availability_zone="", key=""):
        """Creates a client.

        Args:
            seeds: Addresses of daemons, as ``host:port``, for the first lookup.
            workspace: Name of the workspace.
            caller: Kind of caller; empty for the service's default.
            availability_zone: Availability zone of the caller; empty if unknown.
            key: Key of the workspace; empty if the deployment needs none.
        """
        self._seeds = tuple(seeds)
        self._workspace = workspace
        self._caller = caller
        self._availability_zone = availability_zone
        self._key = key
        # Expiry in monotonic seconds and addresses, by service.
        self._cache = {}
        # Addresses of the last successful lookup, by service; these don't expire.
        self._last_addresses = {}

    def addresses(self, service):
        """Returns the addresses of the daemons to use for a service, best first.

        They come from the cache or a lookup. If no daemon answers the lookup, they
        are those of the last successful lookup, or else the seeds.
        """
        cached = self._cache.get(service)
        if cached and cached[0] > time.monotonic():
            return cached[1]
        query = {"service": service, "workspace": self._workspace}
        if self._availability_zone:
            query["availability_zone"] = self._availability_zone
        last_addresses = self._last_addresses.get(service, ())
        for address in dict.fromkeys(self._seeds + last_addresses):
            outcome = exchange_whole(
                address,
                "GET",
                "/v1/lookup?" + urlencode(query),
                timeout_s=LOOKUP_TIMEOUT_S,
            )
            if outcome.is_ok() and outcome.unwrap()[0] == 200:
                reply = msgspec.json.decode(outcome.unwrap()[1], type=_LookupReply)
                addresses = tuple(entry["address"] for entry in reply.addresses)
                if not addresses:
                    continue
                self._cache[service] = (time.monotonic() + reply.ttl_s, addresses)
                self._last_addresses[service] = addresses
                return addresses
        # The last lookup names more daemons than the seeds do.
        return last_addresses or self._seeds

    def call(
        self, service, method, path, body=b"", idempotency_key=None, request_id=None
    ):
        """Calls a plain service.

        Args:
            service: Name of the service.
            method: HTTP method.
            path: Path at the service, with query.
            body: Request body, sent as JSON.
            idempotency_key: Key of a call that must not run twice, or None.
            request_id: Id of the request; the daemon chooses one if None.

        Returns:
            `Reply`.

        Raises:
            CallFailed: If the call was refused or got no whole answer.
        """
        headers = self._headers()
        if request_id:
            headers.append(("X-Request-Id", request_id))
        if idempotency_key:
            headers.append(("Idempotency-Key", idempotency_key))
        headers.append(("Content-Type", "application/json"))
        target = f"/v1/services/{service}/{path.lstrip('/')}"

        def send(address):
            outcome = exchange_whole(
                address, method, target, body, headers, CALL_TIMEOUT_S
            )
            if outcome.is_err():
                raise CallFailed(outcome.unwrap_err().verdict)
            status, raw = outcome.unwrap()
            raise_for_status(status, raw)
            return Reply(status, raw, address)

        return self._with_failover(service, send)

    def complete(self, model, prompt, max_tokens=64, request_id=None):
        """Yields the texts of a streamed completion.

        If the daemon dies in mid-stream, another daemon continues the same attempt,
        that is, the generation that the backend servers have begun. A new attempt could
        generate a different text, so if the attempt is lost, the call fails with
        ``may_have_run``.

        Args:
            model: Name of the model service.
            prompt: Prompt text.
            max_tokens: Longest answer in tokens.
            request_id: Id of the request; a random one if None.

        Raises:
            CallFailed: If the call was refused or its stream can't be continued.
        """
        body = msgspec.json.encode(
            {
                "model": model,
                "prompt": prompt,
                "max_tokens": max_tokens,
                "stream": True,
            }
        )
        headers = self._headers()
        headers.append(("X-Request-Id", request_id or uuid.uuid4().hex))

        def send(address):
            return address, _open_stream(address, body, headers)

        address, exchange = self._with_failover(model, send)

        def reopen(token, received_tokens, failed_addresses):
            return self._reopen_stream(
                model, body, headers, token, received_tokens, failed_addresses
            )

        yield from CompletionStream(exchange, address, reopen)

    def _reopen_stream(
        self, model, body, headers, token, received_tokens, failed_addresses
    ):
        """Continues an answer at the first daemon that can.

        Args:
            model: Name of the model service.
            body: Body of the original request.
            headers: Headers of the original request.
            token: Resume token of the answer.
            received_tokens: Number of tokens received.
            failed_addresses: Addresses of daemons that aren't tried again.

        Returns:
            Address of the daemon and its open `Exchange`.

        Raises:
            CallFailed: If no daemon continues the answer.
        """
        resume_headers = [
            ("X-Resume-Token", token),
            ("X-Resume-Offset", str(received_tokens)),
        ]
        for address in self.addresses(model):
            if address in failed_addresses:
                continue
            try:
                return address, _open_stream(address, body, headers + resume_headers)
            except CallFailed as exc:
                if exc.verdict != "not_run":
                    raise
        raise CallFailed("may_have_run")

    def _headers(self):
        headers = [("X-Workspace", self._workspace)]
        if self._caller:
            headers.append(("X-Caller", self._caller))
        if self._key:
            headers.append(("Authorization", f"Bearer {self._key}"))
        return headers

    def _with_failover(self, service, send):
        """Tries one daemon after another until one of them answers.

        Another daemon is tried only if the request has not run and either got no answer
        or was refused with a status of 500 or above and one of `FAILOVER_REASONS`.

        Args:
            service: Name of the service.
            send: Function that sends the request to an address and returns the
                outcome, or raises CallFailed.

        Raises:
            CallFailed: If no daemon answers, or a refusal is final.
        """
        failure = CallFailed("not_run")
        for address in self.addresses(service):
            try:
                return send(address)
            except CallFailed as exc:
                failure = exc
                # A request without an answer has no status and counts as 503.
                if exc.verdict != "not_run" or exc.problem.get("status", 503) < 500:
                    raise
                self._cache.pop(service, None)
                if exc.problem.get("reason") not in FAILOVER_REASONS:
                    raise
        raise failure


def _open_stream(address, body, headers):
    """Sends a completion and returns the open `Exchange` of its stream.

    Raises:
        CallFailed: If the request was refused or got no answer.
    """
    outcome = open_exchange(
        address, "POST", "/v1/completions", body, headers, CALL_TIMEOUT_S
    )
    if outcome.is_err():
        raise CallFailed(outcome.unwrap_err().verdict)
    exchange = outcome.unwrap()
    if exchange.status == 200:
        return exchange
    try:
        raw = exchange.read()
    except (OSError, ValueError):
        raw = b""
    finally:
        exchange.close()
    raise_for_status(exchange.status, raw)
    raise CallFailed("may_have_run")


def raise_for_status(status, raw):
    """Raises CallFailed if a response is a refusal of a daemon or a server error.

    A problem document gives the verdict. A server error without one may have run.
    Any other response is the service's own answer.

    Args:
        status: HTTP status.
        raw: Body of the response.
    """
    if status < 400:
        return
    try:
        document = msgspec.json.decode(raw)
    except msgspec.DecodeError:
        document = None
    if isinstance(document, dict) and "verdict" in document:
        raise CallFailed(document["verdict"], document)
    if status >= 500:
        raise CallFailed("may_have_run")
