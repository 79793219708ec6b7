"""Failures of engines, daemons and callers that run as separate processes."""

import signal

import gevent
import msgspec
import uuid6

from amaranthbay.client import CallFailed, Client
from amaranthbay.standins.engine_state import EngineFaults
from amaranthbay.standins.ledger import LedgerFaults
from amaranthbay.standins.processes import (
    ZONES,
    Deployment,
    call_json,
    start_small_deployment,
)
from amaranthbay.standins.tokens import answer_text
from amaranthbay.utils.http import open_exchange
from amaranthbay.utils.testing import collect, wait_until

# About 100,000 tokens, which take some seconds of prefill at the scale of the tests.
LONG_PROMPT = "case file " * 40_000
CRASH_MARKER = "crash-the-engine"


def small_deployment(case, daemons=1):
    """Starts the small deployment for one test."""
    return start_small_deployment(case.enterContext(Deployment()), daemons=daemons)


def client_of(deployment, name="entry-1"):
    """Returns a client that starts with the address of one daemon."""
    return Client([deployment.daemons[name].address], "ws-1")


def pinned_client(deployment, name):
    """Returns a client that uses only one daemon."""
    client = client_of(deployment, name)
    address = deployment.daemons[name].address
    client.addresses = lambda service: (address,)
    return client


def open_stream(deployment, prompt, max_tokens, stream=True):
    """Returns a greenlet that opens a completion; its value is the `Exchange`."""
    address = deployment.daemons["entry-1"].address
    body = {"model": "summary", "prompt": prompt, "max_tokens": max_tokens}
    body = msgspec.json.encode(body | {"stream": stream})
    headers = [("X-Workspace", "ws-1")]

    def run():
        return open_exchange(
            address, "POST", "/v1/completions", body, headers, 60
        ).unwrap()

    return gevent.spawn(run)


def set_faults(deployment, role, **faults):
    """Sets the faults of all running engines of a role; without any, clears them."""
    for process in deployment.backend_servers.values():
        if process.instance_entry.role == role and process.popen.poll() is None:
            value = EngineFaults(**faults)
            call_json(process.address, "POST", "/control/faults", value)


def engines_holding(deployment, role):
    """Returns the running engines of a role that hold memory of attempts."""
    holding = []
    for process in deployment.backend_servers.values():
        if process.instance_entry.role == role and process.popen.poll() is None:
            if call_json(process.address, "GET", "/control/held")["held"]:
                holding.append(process)
    return holding


def events(deployment, name, daemon="entry-1"):
    """Returns the log lines of a daemon for an event."""
    lines = deployment.daemons[daemon].log_lines()
    return [line for line in lines if line.get("event") == name]


def assert_idle(deployment, daemon="entry-1"):
    """Waits until the engines hold no memory and the daemon has no active request."""
    wait_until(lambda: not deployment.attempts_in_memory())
    wait_until(lambda: not deployment.status(daemon)["active"])


def test_prefill_server_that_dies_is_replaced(case):
    """Guards against a request that fails because its prefill server died."""
    deployment = small_deployment(case)
    texts = client_of(deployment).complete("summary", LONG_PROMPT, 20)
    job = gevent.spawn("".join, texts)
    wait_until(lambda: engines_holding(deployment, "prefill"))[0].kill()
    case.assertEqual(job.get(timeout=60), answer_text(LONG_PROMPT, 20))
    case.assertTrue(events(deployment, "backend_server_died"))
    assert_idle(deployment)


def test_decode_server_that_dies_ends_the_stream_with_an_error(case):
    """Guards against a shortened stream that looks complete."""
    deployment = small_deployment(case)
    texts = client_of(deployment).complete("summary", "x" * 400, 5000)
    parts = [next(texts)]
    engines_holding(deployment, "decode")[0].kill()
    with case.assertRaises(CallFailed) as raised:
        parts.extend(texts)
    case.assertEqual(raised.exception.verdict, "may_have_run")
    case.assertEqual(raised.exception.problem["reason"], "stream_broken")
    text = "".join(parts)
    case.assertTrue(answer_text("x" * 400, 5000).startswith(text))
    marks = events(deployment, "crash_mark")
    case.assertEqual([mark["death"] for mark in marks], ["shared"])
    assert_idle(deployment)


def test_broken_connections_to_engines_are_resumed(case):
    """Guards against answers that are shortened by a broken connection."""
    deployment = small_deployment(case)
    set_faults(deployment, "decode", break_after=5)
    texts = client_of(deployment).complete("summary", "x" * 400, 50)
    case.assertEqual("".join(texts), answer_text("x" * 400, 50))
    case.assertTrue(events(deployment, "stream_resumed"))
    assert_idle(deployment)


def test_stalled_transfer_is_abandoned_and_retried(case):
    """Guards against a stalled transfer that occupies a slot for ever."""
    deployment = small_deployment(case)
    set_faults(deployment, "prefill", stall_transfers=True)
    texts = client_of(deployment).complete("summary", "x" * 400, 20)
    job = gevent.spawn("".join, texts)
    wait_until(lambda: events(deployment, "attempt_failed"))
    set_faults(deployment, "prefill")
    case.assertEqual(job.get(timeout=60), answer_text("x" * 400, 20))
    assert_idle(deployment)


def test_caller_may_leave_at_each_step(case):
    """Guards against engine memory that is kept after the caller disconnects."""
    deployment = small_deployment(case)

    def prefilling():
        return engines_holding(deployment, "prefill")

    def decoding():
        return engines_holding(deployment, "decode")

    def resumed():
        return events(deployment, "stream_resumed")

    steps = {
        "prefilling": (LONG_PROMPT, {}, prefilling),
        "transferring": ("x" * 400, {"stall_transfers": True}, prefilling),
        "decoding": ("x" * 400, {}, decoding),
        "resumed": ("x" * 400, {"break_after": 5}, resumed),
        # Without a stream the daemon writes nothing, so no write can fail.
        "decoding without a stream": ("x" * 400, {}, decoding),
    }
    for name, (prompt, faults, reached) in steps.items():
        with case.subTest(name):
            set_faults(deployment, "prefill", **faults)
            set_faults(deployment, "decode", **faults)
            streamed = name != "decoding without a stream"
            job = open_stream(deployment, prompt, 60_000, streamed)
            wait_until(reached)
            if name in ("decoding", "resumed"):
                job.get(timeout=20).close()
            else:
                job.kill(timeout=20)
            assert_idle(deployment)
            set_faults(deployment, "prefill")
            set_faults(deployment, "decode")


def test_sigterm_under_load_cuts_nothing(case):
    """Guards against a shutdown that breaks streams or loses an outcome."""
    deployment = small_deployment(case, daemons=2)
    daemon = deployment.daemons["entry-1"]
    address = daemon.address
    prompts = [f"file {number} " * 50 for number in range(16)]

    def run(prompt):
        client = Client([address], "ws-1")
        client.addresses = lambda service: (address,)
        return "".join(client.complete("summary", prompt, 150))

    jobs = [gevent.spawn(run, prompt) for prompt in prompts]
    faults = LedgerFaults(delay_s=1.0)
    ledger = deployment.backend_servers["ledger-1"].address
    call_json(ledger, "POST", "/control/faults", faults)
    posting = msgspec.json.encode({"account": "a", "amount": 5, "reference": "r1"})
    key = str(uuid6.uuid7())
    call = (Client([address], "ws-1").call, "ledger", "POST", "/postings", posting)
    abandoned_call = gevent.spawn(*call, key)
    wait_until(lambda: call_json(ledger, "GET", "/control/counts")["postings"])
    wait_until(lambda: deployment.status("entry-1")["active"] > len(prompts))
    abandoned_call.kill()
    daemon.signal(signal.SIGTERM)
    wait_until(lambda: deployment.status("entry-1")["draining"])
    daemon.signal(signal.SIGTERM)
    daemon.signal(signal.SIGINT)
    late_client = Client([address], "ws-1")
    late_client.addresses = lambda service: (address,)
    with case.assertRaises(CallFailed) as raised:
        list(late_client.complete("summary", "late", 5))
    case.assertEqual(raised.exception.verdict, "not_run")
    other = deployment.daemons["entry-2"].address
    case.assertEqual(raised.exception.problem["addresses"], [other])
    answers = [job.get(timeout=60) for job in jobs]
    case.assertEqual(answers, [answer_text(prompt, 150) for prompt in prompts])
    case.assertEqual(daemon.popen.wait(20), 0)
    again = Client([other], "ws-1").call("ledger", "POST", "/postings", posting, key)
    case.assertEqual(msgspec.json.decode(again.body)["balance"], 5)
    counts = call_json(ledger, "GET", "/control/counts")
    case.assertEqual(counts["postings"], {"r1": 1})


def test_answer_goes_on_at_another_daemon(case):
    """Guards against an answer that is lost or mixed when its daemon dies.

    The daemon that dies may be the only one that the client was given.
    """
    deployment = small_deployment(case, daemons=2)
    for name in ("entry-1", "entry-2"):
        case.assertEqual(len(client_of(deployment, name).addresses("summary")), 2)
    texts = client_of(deployment).complete("summary", "x" * 400, 300)
    parts = [next(texts), next(texts)]
    serving = [name for name in deployment.daemons if deployment.status(name)["active"]]
    case.assertEqual(len(serving), 1)
    deployment.daemons[serving[0]].kill()
    parts.extend(texts)
    case.assertEqual("".join(parts), answer_text("x" * 400, 300))
    (other,) = set(deployment.daemons) - set(serving)
    assert_idle(deployment, other)


def test_lost_attempt_is_reported_as_may_have_run(case):
    """Guards against a second answer that is appended to the start of the first."""
    deployment = small_deployment(case, daemons=2)
    client = client_of(deployment)
    addresses = [deployment.daemons[f"entry-{n}"].address for n in (1, 2)]
    client.addresses = lambda service: tuple(addresses)
    texts = client.complete("summary", "x" * 400, 5000)
    next(texts)
    for process in engines_holding(deployment, "decode"):
        process.kill()
    deployment.daemons["entry-1"].kill()
    with case.assertRaises(CallFailed) as raised:
        list(texts)
    case.assertEqual(raised.exception.verdict, "may_have_run")


def start_crashing_engines(deployment, daemons):
    """Starts engines and daemons; prompts with the marker crash decode servers."""
    options = ("--scale", "0.2")
    deployment.start_engine("prefill-1", "prefill", ZONES[0], *options)
    for number in range(1, 6):
        deployment.start_engine(
            f"decode-{number}",
            "decode",
            ZONES[0],
            *options,
            "--crash-marker",
            CRASH_MARKER,
        )
    for number in range(1, daemons + 1):
        deployment.start_daemon(f"entry-{number}")
    deployment.publish()
    deployment.accept()
    deployment.wait_ready()


def crash_history(deployment):
    """Returns the daemons' log lines about server deaths, for assertion messages."""
    events_to_show = ("crash_mark", "backend_server_died", "attempt_failed", "refused")
    lines = []
    for name in deployment.daemons:
        for fields in deployment.daemons[name].log_lines():
            if fields.get("event") in events_to_show:
                skipped = ("level", "availability_zone", "incarnation")
                shown = {key: fields[key] for key in fields if key not in skipped}
                lines.append(str(shown))
    return "\n".join(sorted(lines, key=lambda line: line[:45]))


def test_crashing_request_takes_down_two_servers_and_no_more(case):
    """Guards against a repeated request that crashes every server of a pool."""
    deployment = case.enterContext(Deployment())
    start_crashing_engines(deployment, daemons=3)
    clients = [pinned_client(deployment, f"entry-{number}") for number in (1, 2, 3)]
    other_texts = clients[0].complete("summary", "innocent " * 20, 1000)
    parts = [next(other_texts)]
    for _ in range(2):
        for client in clients:
            with case.assertRaises(CallFailed):
                list(client.complete("summary", CRASH_MARKER, 20))
    reasons = []

    def quarantined():
        # Daemons that miss the peer messages read the marks from the table later.
        reasons.clear()
        for client in clients:
            with case.assertRaises(CallFailed) as raised:
                list(client.complete("summary", CRASH_MARKER, 20))
            reasons.append(raised.exception.problem.get("reason"))
        return set(reasons) == {"quarantined"}

    wait_until(quarantined)
    dead = [
        name
        for name, process in deployment.backend_servers.items()
        if process.popen.poll() is not None
    ]
    case.assertLessEqual(len(dead), 2, crash_history(deployment))
    try:
        parts.extend(other_texts)
    except CallFailed as exc:
        case.assertNotEqual(exc.problem.get("reason"), "quarantined")
    new_texts = clients[1].complete("summary", "innocent " * 20, 20)
    case.assertEqual("".join(new_texts), answer_text("innocent " * 20, 20))


load_tests = collect(globals())
