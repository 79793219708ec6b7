"""Tests of the bounds on log volume and of the Prometheus page."""

import os

import gevent
import msgspec
from falcon.testing import TestClient

from amaranthbay.observe import Step, configure_logs, log_event, serve_metrics
from amaranthbay.observe.bounds import (
    BURST_LINES,
    MAX_BUFFERED_LINES,
    BufferedWriter,
    LineLimiter,
)
from amaranthbay.observe.logs import limit_lines
from amaranthbay.observe.metrics import Metrics, use_metrics
from amaranthbay.utils.testing import ManualClock, collect


def pipe(case):
    """Returns the read and write ends of a pipe that is closed after the test."""
    ends = os.pipe()
    for end in ends:
        case.addCleanup(os.close, end)
    return ends


def test_frequent_event_does_not_suppress_others(case):
    """Guards against refusals that go unlogged because other events use up the rate."""
    limiter = LineLimiter(ManualClock())
    written = sum(limiter.allows("decision") for _ in range(3 * int(BURST_LINES)))
    case.assertEqual(written, BURST_LINES)
    case.assertTrue(limiter.allows("request_ended"))
    suppressed = limiter.take_suppressed()
    case.assertEqual(suppressed, {"decision": 2 * BURST_LINES})
    case.assertEqual(limiter.take_suppressed(), {})


def test_stalled_reader_drops_lines_without_blocking(case):
    """Guards against requests that block because nobody reads the log.

    Also guards against errors that are dropped because info lines fill the buffer.
    """
    _, write_end = pipe(case)
    writer = BufferedWriter(write_end)
    with gevent.Timeout(5.0):
        for number in range(2 * MAX_BUFFERED_LINES):
            writer.write('{"level":"info"}' + "x" * 100 + "\n")
            if number % 500 == 0:
                gevent.sleep(0)
        writer.write('{"level":"error"}\n')
        writer.close(timeout_s=0.05)
    case.assertGreater(writer.dropped, 0)
    case.assertIn(b'{"level":"error"}\n', writer._lines)


def test_lines_arrive_in_order(case):
    """Guards against lines that are truncated or reordered by the buffer."""
    read_end, write_end = pipe(case)
    configure_logs("info", BufferedWriter(write_end))
    limit_lines(LineLimiter(ManualClock()))
    case.addCleanup(configure_logs, "warning")
    case.addCleanup(limit_lines, None)
    for number in range(20):
        log_event("counted", number=number)
    gevent.sleep(0.05)
    lines = os.read(read_end, 65536).splitlines()
    numbers = [msgspec.json.decode(line)["number"] for line in lines]
    case.assertEqual(numbers, list(range(20)))


def test_prometheus_page_lists_reported_metrics(case):
    """Guards against instruments that are missing from the Prometheus page."""
    metrics = serve_metrics(instance="entry-1", availability_zone="zone-a")
    case.addCleanup(use_metrics, Metrics())
    metrics.request_ended("desk", "not_run", "overloaded")
    metrics.connection_opened("desk")
    metrics.store_called("changes", "failed")
    metrics.repeat_requested("desk", False)
    metrics.step_ended("lm", Step.PREFILL, 0.1)
    page = TestClient(metrics.create_app()).simulate_get("/metrics").text
    for name in (
        'amaranthbay_requests_total{amaranthbay_reason="overloaded"',
        "amaranthbay_backend_connections_total",
        'amaranthbay_store_calls_total{amaranthbay_call="changes"',
        "amaranthbay_repeats_total",
        "amaranthbay_request_step_seconds_bucket",
    ):
        case.assertIn(name, page)


load_tests = collect(globals())
