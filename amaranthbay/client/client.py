"""Client for callers."""

import time
import uuid
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec

from amaranthbay.client.streams import CallFailed, CompletionStream
from amaranthbay.utils.http import json_exchange, open_exchange

__all__ = ["CallFailed", "Client", "Reply"]

CALL_TIMEOUT_S = 600.0
LOOKUP_TIMEOUT_S = 2.0
# Refusals, and the lack of an answer, after which another daemon may serve at
# once. All others speak for the service; asking each daemon in turn would
# multiply the load that was just refused.
ELSEWHERE = (None, "draining", "not_ready", "configuration_unconfirmed")


@dataclass(frozen=True)
class Reply:
    """Answer to a plain call."""

    status: int
    body: bytes
    address: str


class _LookupReply(msgspec.Struct):
    addresses: tuple[dict, ...]
    ttl_s: float
    config_version: int


class Client:
    """Sends requests of one workspace to the daemons."""

    def __init__(self, seeds, workspace, caller="", availability_zone=""):
        """Creates a client.

        Args:
            seeds: Addresses of daemons to ask for a lookup.
            workspace: Name of the workspace.
            caller: Kind of caller; empty for the service's default.
            availability_zone: Where the caller runs; empty if unknown.
        """
        self._seeds = tuple(seeds)
        self._workspace = workspace
        self._caller = caller
        self._availability_zone = availability_zone
        self._cache = {}
        self._known = {}

    def addresses(self, service):
        """Returns the daemons to use for a service, best first."""
        cached = self._cache.get(service)
        if cached and cached[0] > time.monotonic():
            return cached[1]
        query = {"service": service, "workspace": self._workspace}
        if self._availability_zone:
            query["availability_zone"] = self._availability_zone
        known = self._known.get(service, ())
        for seed in dict.fromkeys(self._seeds + known):
            outcome = json_exchange(
                seed,
                "GET",
                "/v1/lookup?" + urlencode(query),
                timeout_s=LOOKUP_TIMEOUT_S,
            )
            if outcome.is_ok() and outcome.unwrap()[0] == 200:
                reply = msgspec.json.decode(outcome.unwrap()[1], type=_LookupReply)
                found = tuple(each["address"] for each in reply.addresses)
                if not found:
                    continue
                self._cache[service] = (time.monotonic() + reply.ttl_s, found)
                self._known[service] = found
                return found
        # An old answer names more daemons than the seeds do.
        return known or self._seeds

    def call(self, service, method, path, body=b"", key=None, request_id=None):
        """Calls a plain service and returns a `Reply`; raises CallFailed."""
        headers = self._headers()
        if request_id:
            headers.append(("X-Request-Id", request_id))
        if key:
            headers.append(("Idempotency-Key", key))
        headers.append(("Content-Type", "application/json"))
        target = f"/v1/services/{service}/{path.lstrip('/')}"

        def attempt(address):
            outcome = json_exchange(
                address, method, target, body, headers, CALL_TIMEOUT_S
            )
            if outcome.is_err():
                raise CallFailed(outcome.unwrap_err().verdict)
            status, raw = outcome.unwrap()
            raise_problem(status, raw)
            return Reply(status, raw, address)

        return self._fail_over(service, attempt)

    def complete(self, model, prompt, max_tokens=64, request_id=None):
        """Yields the texts of a streamed completion; raises CallFailed.

        If the daemon dies in mid-stream, the answer is continued from the same
        attempt through another daemon. A new attempt could give another text, so
        where the attempt is lost the call fails with ``may_have_run``.
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

        def attempt(address):
            return address, _open_stream(address, body, headers)

        address, exchange = self._fail_over(model, attempt)

        def reopen(token, received, failed):
            return self._continue(model, body, headers, token, received, failed)

        yield from CompletionStream(exchange, address, reopen)

    def _continue(self, model, body, headers, token, received, failed):
        """Returns address and exchange that continue an answer."""
        extra = [("X-Resume-Token", token), ("X-Resume-Offset", str(received))]
        for address in self.addresses(model):
            if address in failed:
                continue
            try:
                return address, _open_stream(address, body, headers + extra)
            except CallFailed as exc:
                if exc.verdict != "not_run":
                    raise
        raise CallFailed("may_have_run")

    def _headers(self):
        headers = [("X-Workspace", self._workspace)]
        if self._caller:
            headers.append(("X-Caller", self._caller))
        return headers

    def _fail_over(self, service, attempt):
        """Asks one daemon after another while nothing has run."""
        failure = CallFailed("not_run")
        for address in self.addresses(service):
            try:
                return attempt(address)
            except CallFailed as exc:
                failure = exc
                if exc.verdict != "not_run" or exc.problem.get("status", 503) < 500:
                    raise
                self._cache.pop(service, None)
                if exc.problem.get("reason") not in ELSEWHERE:
                    raise
        raise failure


def _open_stream(address, body, headers):
    """Returns the `Exchange` of a stream; raises CallFailed."""
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
    raise_problem(exchange.status, raw)
    raise CallFailed("may_have_run")


def raise_problem(status, raw):
    """Raises CallFailed for a refusal of a daemon."""
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
