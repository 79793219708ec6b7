"""Tests of the keys of workspaces: who is admitted, and that a key stays secret."""

import logging
from dataclasses import replace
from unittest import mock

import msgspec
from absl import logging as absl_logging
from gevent import socket
from result import Err

from amaranthbay.config.workspaces import KeyedWorkspace
from amaranthbay.dispatch.model import ModelService
from amaranthbay.dispatch.plain import PlainService
from amaranthbay.dispatch.tests.fakes import FakeEngine, model_work
from amaranthbay.dispatch.tests.test_wire import backend, plain_work, reply
from amaranthbay.gateway.tests.serving import configuration, gateway, raw_exchange
from amaranthbay.kernel.errors import Reason, Verdict, may_have_run, not_run
from amaranthbay.kernel.requests import CallerRequest, Work
from amaranthbay.kernel.retries import Backoff, RetryBudget, run_attempts
from amaranthbay.utils.http import split_address
from amaranthbay.utils.testing import ManualClock, collect, wait_until

KEY = "asnmgkcuyj8pjbvk9m68"
OTHER_KEY = "k7b2ex5wa5xwyhks8nbk"
UNKNOWN_KEY = "a-key-that-nobody-has"
IDEMPOTENCY_KEY = "019b76da-a800-7000-8000-000000000000"
DENIED = not_run(Reason.UNAUTHENTICATED, "the key is unknown", 401)


class RemovedAccess:
    """Access of a request whose key is removed as soon as `removed` is set."""

    def __init__(self, removed=True):
        self.removed = removed
        self.workspace = None

    def refusal(self):
        return DENIED if self.removed else None


def keyed(*workspaces, version=7):
    """Returns a configuration whose callers need keys; any name is admitted."""
    return replace(
        configuration(), version=version, workspaces=(), keyed_workspaces=workspaces
    )


SHOP = KeyedWorkspace("shop", (KEY,))
DESK = KeyedWorkspace("desk", (OTHER_KEY,))


def completion(authorization=None, connection="close"):
    """Returns the bytes of a completion call in the name of another workspace."""
    value = {"model": "m", "prompt": "lot 17", "max_tokens": 8}
    return http_call("POST", "/v1/completions", value, authorization, connection)


def http_call(method, path, value, authorization, connection="close", *headers):
    """Returns the bytes of a call; ``authorization`` is the value of the header."""
    body = msgspec.json.encode(value)
    lines = [f"{method} {path} HTTP/1.1", "Host: entry", "X-Workspace: desk", *headers]
    if authorization is not None:
        lines.append(f"Authorization: {authorization}")
    lines += [f"Connection: {connection}", f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def status_and_document(raw):
    """Returns status, head in lower case and problem document of a response.

    The document is None unless the request was refused.
    """
    head, _, body = raw.partition(b"\r\n\r\n")
    status = int(head.split()[1])
    document = msgspec.json.decode(body) if status >= 400 else None
    return status, head.lower(), document


def test_caller_without_a_known_key_is_refused(case):
    """Guards against a request that runs without the key of a workspace."""
    engine = FakeEngine()
    served = case.enterContext(gateway(engine, cfg=keyed(SHOP, DESK)))
    values = (
        None,
        "",
        "Bearer",
        f"Bearer {UNKNOWN_KEY}",
        f"Basic {KEY}",
        KEY,
        f"Bearer {KEY[:-1]}",
        f"Bearer {KEY}\xe9",
        f"Bearer {KEY}\r\nAuthorization: Bearer {OTHER_KEY}",
    )
    for value in values:
        with case.subTest(value):
            raw = raw_exchange(served.address, completion(value))
            status, head, document = status_and_document(raw)
            case.assertEqual(status, 401)
            case.assertEqual(document["verdict"], "not_run")
            case.assertEqual(document["reason"], "unauthenticated")
            case.assertIn(b"www-authenticate: bearer", head)
    case.assertEqual(engine.ran, set())


def test_services_are_not_named_without_a_key(case):
    """Guards against a caller without a key that finds out names of services.

    Also guards against time series that are named by such callers.
    """
    served = case.enterContext(gateway(cfg=keyed(SHOP, DESK)))
    pipeline = "amaranthbay.kernel.pipeline.current_metrics"
    with mock.patch(pipeline) as metrics:
        for service in ("m", "unconfigured"):
            value = {"model": service, "prompt": "lot 17"}
            call = http_call("POST", "/v1/completions", value, f"Bearer {UNKNOWN_KEY}")
            status, _, document = status_and_document(
                raw_exchange(served.address, call)
            )
            case.assertEqual((status, document["reason"]), (401, "unauthenticated"))
    ended = metrics.return_value.request_ended.call_args_list
    case.assertEqual([call.args[0] for call in ended], ["m", ""])


def test_known_key_is_served(case):
    """Guards against a refusal of a valid key, also of one with other letter cases."""
    served = case.enterContext(gateway(cfg=keyed(SHOP, DESK)))
    for value in (f"Bearer {KEY}", f"bearer  {OTHER_KEY}"):
        raw = raw_exchange(served.address, completion(value))
        case.assertEqual(status_and_document(raw)[0], 200)


def test_key_decides_the_workspace_and_is_not_forwarded(case):
    """Guards against a caller that acts for any workspace, and a leaked key."""
    served = case.enterContext(gateway(cfg=keyed(SHOP, DESK)))
    server, seen = case.enterContext(backend(reply(200, b"{}"), "plain"))
    served.harness.directory.add(server)
    arguments = ("POST", "/v1/services/ledger/postings", {})
    header = f"Idempotency-Key: {IDEMPOTENCY_KEY}"
    logger = absl_logging.get_absl_logger()
    with case.assertLogs(logger, logging.INFO) as logs:
        for key in (KEY, OTHER_KEY, KEY, UNKNOWN_KEY):
            call = http_call(*arguments, f"Bearer {key}", "close", header)
            raw = raw_exchange(served.address, call)
            case.assertIn(b"401" if key == UNKNOWN_KEY else b"200", raw[:20])
            case.assertNotIn(key.encode(), raw)
    # Two workspaces use the same idempotency key; the repetition is not sent.
    case.assertEqual(len(seen), 2)
    shown = "\n".join(repr(vars(record)) for record in logs.records)
    for key in (KEY, OTHER_KEY, UNKNOWN_KEY):
        case.assertNotIn(key.encode(), b"".join(seen))
        case.assertNotIn(key, shown)


def test_credentials_are_left_out_of_the_text_form(case):
    """Guards against a digest of a key in a log line or an exception text."""
    request = CallerRequest("r", "m", "shop", "desk", None, credentials=(b"secret",))
    case.assertNotIn("secret", repr(Work(request, False, None, True, 0.0)))


def test_removed_key_is_refused_on_a_kept_connection(case):
    """Guards against a connection that outlives the key with which it was opened."""
    served = case.enterContext(gateway(cfg=keyed(SHOP, DESK)))
    with socket.create_connection(split_address(served.address), 10) as conn:
        conn.sendall(completion(f"Bearer {KEY}", "keep-alive"))
        received = conn.recv(65536)
        while b"total_tokens" not in received:
            received += conn.recv(65536)
        case.assertIn(b"HTTP/1.1 200", received)
        served.harness.cfg = keyed(DESK, version=8)
        conn.sendall(completion(f"Bearer {KEY}", "keep-alive"))
        wait_until(lambda: b"HTTP/1.1 401" in conn.recv(65536))


def test_unknown_key_waits_for_a_newer_configuration(case):
    """Guards against a 401 for a new key that another daemon knows already."""
    served = case.enterContext(gateway(cfg=keyed(SHOP)))
    served.daemon.newest_version = 8
    raw = raw_exchange(served.address, completion(f"Bearer {UNKNOWN_KEY}"))
    status, head, document = status_and_document(raw)
    case.assertEqual((status, document["reason"]), (503, "not_ready"))
    case.assertIn(b"retry-after", head)
    raw = raw_exchange(served.address, completion())
    case.assertEqual(status_and_document(raw)[0], 401)


def test_header_means_nothing_without_keys(case):
    """Guards against a deployment without keys that refuses a foreign header."""
    cfg = replace(configuration(), workspaces=("desk",))
    served = case.enterContext(gateway(cfg=cfg))
    raw = raw_exchange(served.address, completion(f"Bearer {UNKNOWN_KEY}"))
    case.assertEqual(status_and_document(raw)[0], 200)


def test_workspace_outside_the_list_of_names_is_refused(case):
    """Guards against a list of names that keys switch off."""
    served = case.enterContext(
        gateway(cfg=replace(keyed(SHOP, DESK), workspaces=("desk",)))
    )
    raw = raw_exchange(served.address, completion(f"Bearer {KEY}"))
    case.assertEqual(status_and_document(raw)[0], 403)


def test_no_attempt_follows_the_removal_of_the_key(case):
    """Guards against a retry under a removed key, and a 401 for what may have run."""
    for failure in (not_run, may_have_run):
        access = RemovedAccess(removed=False)
        attempts = []

        def run_attempt(attempt):
            attempts.append(attempt)
            access.removed = True
            return Err(failure(Reason.BACKEND_FAILED, "broken", 502))

        work = replace(model_work(), access=access)
        outcome = run_attempts(
            work, run_attempt, RetryBudget(), Backoff(), ManualClock()
        )
        refusal = outcome.unwrap_err()
        case.assertEqual(len(attempts), 1)
        if failure is not_run:
            case.assertEqual(refusal, DENIED)
        else:
            case.assertIs(refusal.verdict, Verdict.MAY_HAVE_RUN)
            case.assertEqual(refusal.status, 502)


def test_prefill_does_not_begin_under_a_removed_key(case):
    """Guards against a prefill under a key removed while the request waited."""
    engine = FakeEngine()
    served = case.enterContext(gateway(engine))
    access = RemovedAccess(removed=False)
    allocator = served.harness.allocator
    acquire = allocator.acquire

    def acquire_late(*args):
        access.removed = True
        return acquire(*args)

    allocator.acquire = acquire_late
    service = ModelService(served.harness.ctx)
    work = replace(model_work(), access=access)
    case.assertEqual(service.dispatch(work).unwrap_err(), DENIED)
    case.assertEqual(engine.ran, set())
    case.assertEqual(served.harness.slots_held(), 0)


def test_plain_call_is_not_sent_under_a_removed_key(case):
    """Guards against a posting that runs under a key removed while it waited."""
    served = case.enterContext(gateway())
    server, seen = case.enterContext(backend(reply(200, b"{}"), "plain"))
    served.harness.directory.add(server)
    work = replace(
        plain_work("POST", "/postings", IDEMPOTENCY_KEY), access=RemovedAccess()
    )
    service = PlainService(served.harness.ctx)
    case.assertEqual(service.dispatch(work).unwrap_err(), DENIED)
    case.assertEqual(seen, [])
    # The record says that the call did not run, so a valid caller may repeat it.
    allowed = replace(work, access=None)
    case.assertTrue(service.dispatch(allowed).is_ok())


load_tests = collect(globals())
