"""Tests of log lines: JSON format, documented events, decisions, no content."""

import io
import signal
import subprocess
import sys
from pathlib import Path

import gevent
import msgspec
import uuid6

from amaranthbay.client import CallFailed, Client
from amaranthbay.observe import (
    configure_logs,
    log_decision,
    log_event,
    log_greenlet_failures,
)
from amaranthbay.standins.processes import Deployment, call_json, start_small_deployment
from amaranthbay.standins.tokens import answer_text
from amaranthbay.utils.http import exchange_whole
from amaranthbay.utils.testing import collect, wait_until

ROOT = Path(__file__).resolve().parents[3]
SECRET_CONTENT = "content-that-no-log-may-hold"
LOG_BEFORE_CONFIGURING = """
from amaranthbay.utils.runtime import select_event_loop
select_event_loop()
from amaranthbay.observe import log_event
log_event("first", level="warning")
"""


def capture_logs(case):
    """Returns a stream that receives all log lines until the test ends."""
    stream = io.StringIO()
    configure_logs("debug", stream, instance="entry-1")
    case.addCleanup(configure_logs, "warning")
    return stream


def lines_of(stream):
    """Returns the decoded log lines of a stream."""
    return [msgspec.json.decode(each) for each in stream.getvalue().splitlines()]


def test_first_line_of_a_process_is_json(case):
    """Guards against absl's plain-text warning about its flags."""
    completed = subprocess.run(
        [sys.executable, "-c", LOG_BEFORE_CONFIGURING],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
    )
    lines = completed.stderr.splitlines()
    case.assertEqual(len(lines), 1, completed.stderr)
    case.assertEqual(msgspec.json.decode(lines[0])["event"], "first")


def test_lines_carry_identity_and_fields(case):
    """Guards against lines that can't be attributed to a daemon."""
    stream = capture_logs(case)
    log_event("something", request_id="r")
    log_decision("placement", ["a"], [str(n) for n in range(9)], "cheapest")
    first, second = lines_of(stream)
    case.assertEqual(first["instance"], "entry-1")
    case.assertEqual(first["request_id"], "r")
    case.assertEqual(len(second["candidates"]), 5)
    case.assertEqual(second["candidate_count"], 9)


def test_failed_greenlet_is_one_json_line(case):
    """Guards against a plain-text traceback between the JSON lines."""
    stream = capture_logs(case)
    hub = gevent.get_hub()
    case.addCleanup(hub.__dict__.pop, "print_exception", None)
    log_greenlet_failures()
    failing = gevent.spawn(lambda: {}["missing"])
    failing.join()
    (line,) = lines_of(stream)
    case.assertEqual((line["event"], line["error"]), ("defect", "KeyError"))


def test_docs_list_every_event(case):
    """Guards against events that are missing from docs/logs.md."""
    completed = subprocess.run(
        [sys.executable, "tools/list_log_events.py"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
    )
    case.assertEqual(completed.returncode, 0, completed.stdout)


def send_requests(deployment, key):
    """Sends requests that are answered, rejected, unauthenticated and refused."""
    daemon = deployment.daemons["entry-1"]
    client = Client([daemon.address], "ws-1")
    client.addresses = lambda service: (daemon.address,)
    list(client.complete("summary", f"{SECRET_CONTENT} whole", 20, "whole"))
    body = {"account": SECRET_CONTENT, "amount": 5, "reference": SECRET_CONTENT}
    raw = msgspec.json.encode(body)
    client.call("ledger", "POST", "/postings", raw, str(uuid6.uuid7()), "posting")
    for path, body in (
        ("/v1/completions", {"model": "summary", "prompt": 5, "x": SECRET_CONTENT}),
        ("/v1/completions", {"model": "none", "prompt": SECRET_CONTENT}),
        ("/v1/drain", {"operator": "ana", "instance": SECRET_CONTENT}),
    ):
        raw = msgspec.json.encode(body)
        exchange_whole(daemon.address, "POST", path, raw, [("X-Mac", key)])
    for name in ("decode-1", "decode-2"):
        faults = {"refuse": True}
        call_json(
            deployment.backend_servers[name].address, "POST", "/control/faults", faults
        )
    try:
        list(client.complete("summary", f"{SECRET_CONTENT} refused", 20, "refused"))
    except CallFailed:
        pass


def test_decisions_have_their_lines_and_no_content(case):
    """Guards against decisions without a log line, and content or keys in the log."""
    key = "key-that-no-log-may-hold-" + "k" * 16
    deployment = case.enterContext(Deployment(key=key))
    debug_setting = 'log_level = "debug"'
    start_daemon = deployment.start_daemon
    deployment.start_daemon = lambda name, zone: start_daemon(name, zone, debug_setting)
    start_small_deployment(deployment, daemons=2)
    send_requests(deployment, key)
    daemon = deployment.daemons["entry-1"]
    call_json(daemon.address, "GET", "/v1/lookup?service=summary&workspace=ws-1")
    daemon.signal(signal.SIGTERM)
    case.assertEqual(daemon.popen.wait(20), 0)
    text = daemon.log_path.read_text()
    case.assertTrue(all(line.startswith("{") for line in text.splitlines()), text)
    for content in (
        SECRET_CONTENT,
        key,
        answer_text(f"{SECRET_CONTENT} whole", 20)[:40],
    ):
        case.assertNotIn(content, text)
    lines = wait_until(daemon.log_lines)
    events = {line["event"] for line in lines}
    expected = {"started", "draining", "stopped", "configuration_adopted", "cancelled"}
    expected |= {"attempt_failed", "refused", "request_settled", "operator_order"}
    case.assertLessEqual(expected, events)
    decided = {line["decision"] for line in lines if line["event"] == "decision"}
    case.assertLessEqual({"lookup", "placement", "routing"}, decided)
    for line in lines:
        if line["event"] == "decision":
            names = ("chosen", "candidates", "candidate_count", "reason")
            case.assertTrue(all(name in line for name in names), line)


load_tests = collect(globals())
