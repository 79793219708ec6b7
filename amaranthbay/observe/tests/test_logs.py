"""Log lines: JSON from the first one, documented, at each decision, no content."""

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
from amaranthbay.standins.processes import Deployment, call_json, start_small
from amaranthbay.standins.tokens import answer_text
from amaranthbay.utils.http import json_exchange
from amaranthbay.utils.testing import collect, wait_until

ROOT = Path(__file__).resolve().parents[3]
MARK = "content-that-no-log-may-hold"
FIRST_LINE = """
from amaranthbay.utils.runtime import pin_event_loop
pin_event_loop()
from amaranthbay.observe import log_event
log_event("first", level="warning")
"""


def captured(case):
    """Returns a stream that gets the log lines until the test ends."""
    stream = io.StringIO()
    configure_logs("debug", stream, instance="entry-1")
    case.addCleanup(configure_logs, "warning")
    return stream


def lines_of(stream):
    """Returns the decoded lines of a stream."""
    return [msgspec.json.decode(each) for each in stream.getvalue().splitlines()]


def test_first_line_of_a_process_is_json(case):
    """Guards against absl's plain warning about its flags."""
    done = subprocess.run(
        [sys.executable, "-c", FIRST_LINE],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
    )
    lines = done.stderr.splitlines()
    case.assertEqual(len(lines), 1, done.stderr)
    case.assertEqual(msgspec.json.decode(lines[0])["event"], "first")


def test_lines_carry_identity_and_fields(case):
    """Guards against lines that can't be assigned to a daemon."""
    stream = captured(case)
    log_event("something", request_id="r")
    log_decision("placement", ["a"], [str(n) for n in range(9)], "cheapest")
    first, second = lines_of(stream)
    case.assertEqual(first["instance"], "entry-1")
    case.assertEqual(first["request_id"], "r")
    case.assertEqual(len(second["candidates"]), 5)
    case.assertEqual(second["candidate_count"], 9)


def test_failed_greenlet_is_one_json_line(case):
    """Guards against a plain trace between the JSON lines."""
    stream = captured(case)
    hub = gevent.get_hub()
    case.addCleanup(hub.__dict__.pop, "print_exception", None)
    log_greenlet_failures()
    job = gevent.spawn(lambda: {}["missing"])
    job.join()
    (line,) = lines_of(stream)
    case.assertEqual((line["event"], line["error"]), ("defect", "KeyError"))


def test_page_lists_every_event(case):
    """Guards against events that docs/logs.md doesn't name."""
    done = subprocess.run(
        [sys.executable, "tools/list_log_events.py"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
    )
    case.assertEqual(done.returncode, 0, done.stdout)


def exercise(deployment, key):
    """Sends requests that are answered, refused, cut and repeated."""
    daemon = deployment.daemons["entry-1"]
    client = Client([daemon.address], "ws-1")
    client.addresses = lambda service: (daemon.address,)
    list(client.complete("summary", f"{MARK} whole", 20, "whole"))
    body = {"account": MARK, "amount": 5, "reference": MARK}
    raw = msgspec.json.encode(body)
    client.call("ledger", "POST", "/postings", raw, str(uuid6.uuid7()), "posting")
    for path, body in (
        ("/v1/completions", {"model": "summary", "prompt": 5, "x": MARK}),
        ("/v1/completions", {"model": "none", "prompt": MARK}),
        ("/v1/drain", {"operator": "ana", "instance": MARK}),
    ):
        raw = msgspec.json.encode(body)
        json_exchange(daemon.address, "POST", path, raw, [("X-Mac", key)])
    for name in ("decode-1", "decode-2"):
        faults = {"refuse": True}
        call_json(deployment.backends[name].address, "POST", "/control/faults", faults)
    try:
        list(client.complete("summary", f"{MARK} refused", 20, "refused"))
    except CallFailed:
        pass


def test_decisions_have_their_lines_and_no_content(case):
    """Guards against a decision without a line, and content in a log."""
    key = "key-that-no-log-may-hold-" + "k" * 16
    deployment = case.enterContext(Deployment(key=key))
    extra = 'log_level = "debug"'
    start_daemon = deployment.start_daemon
    deployment.start_daemon = lambda name, zone: start_daemon(name, zone, extra)
    start_small(deployment, daemons=2)
    exercise(deployment, key)
    daemon = deployment.daemons["entry-1"]
    call_json(daemon.address, "GET", "/v1/lookup?service=summary&workspace=ws-1")
    daemon.signal(signal.SIGTERM)
    case.assertEqual(daemon.popen.wait(20), 0)
    text = daemon.log_path.read_text()
    case.assertTrue(all(line.startswith("{") for line in text.splitlines()), text)
    for content in (MARK, key, answer_text(f"{MARK} whole", 20)[:40]):
        case.assertNotIn(content, text)
    lines = wait_until(daemon.log_lines)
    events = {line["event"] for line in lines}
    wanted = {"started", "draining", "stopped", "configuration_adopted", "cancelled"}
    wanted |= {"attempt_failed", "refused", "request_settled", "operator_order"}
    case.assertLessEqual(wanted, events)
    decided = {line["decision"] for line in lines if line["event"] == "decision"}
    case.assertLessEqual({"lookup", "placement", "routing"}, decided)
    for line in lines:
        if line["event"] == "decision":
            names = ("chosen", "candidates", "candidate_count", "reason")
            case.assertTrue(all(name in line for name in names), line)


load_tests = collect(globals())
