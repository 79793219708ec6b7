"""Tests of the metrics: export to a collector, collector outages, wasted prefill."""

import io
import subprocess
import sys
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import falcon
import msgspec
from gevent.pywsgi import WSGIServer
from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import (
    ExportMetricsServiceRequest,
)
from result import Err, Ok

from amaranthbay.dispatch.metering import MeteredEngine
from amaranthbay.kernel.errors import Reason, Verdict, not_run
from amaranthbay.kernel.interfaces import EngineClient
from amaranthbay.kernel.requests import Attempt
from amaranthbay.observe import (
    Direction,
    Gauge,
    Metrics,
    configure_logs,
    configure_metrics,
    current_metrics,
    metrics as metrics_module,
)
from amaranthbay.observe.otel import push_metrics
from amaranthbay.utils.testing import collect, free_port, wait_until

INTERVAL_S = 0.05
ROOT = Path(__file__).resolve().parents[3]
COUNT_THREADS = """
from amaranthbay.utils.runtime import select_event_loop
select_event_loop()
import os, sys
from gevent.fileobject import FileObjectPosix
from amaranthbay.observe.otel import push_metrics
metrics = push_metrics(sys.argv[1], {}, 0.05)
metrics.retried()
FileObjectPosix(sys.stdin.fileno()).readline()
print(len(os.listdir("/proc/self/task")))
"""


class Collector:
    """Collector that keeps the latest value of each metric."""

    def __init__(self):
        self.points = {}
        self.units = {}
        self.resource = {}

    def on_post(self, req, resp):
        body = ExportMetricsServiceRequest.FromString(req.bounded_stream.read())
        for group in body.resource_metrics:
            for attribute in group.resource.attributes:
                self.resource[attribute.key] = attribute.value.string_value
            for scope in group.scope_metrics:
                for metric in scope.metrics:
                    self._keep(metric)

    def _keep(self, metric):
        self.units[metric.name] = metric.unit
        data = getattr(metric, metric.WhichOneof("data"))
        for point in data.data_points:
            labels = sorted(each.value.string_value for each in point.attributes)
            value = getattr(point, "count", None) or getattr(point, "as_int", None)
            self.points[metric.name, *labels] = value


def start_collector(case, port):
    """Starts a `Collector` on a port and returns it."""
    collector = Collector()
    app = falcon.App()
    app.add_route("/v1/metrics", collector)
    server = WSGIServer(("127.0.0.1", port), app, log=None)
    server.start()
    case.addCleanup(server.stop)
    return collector


def start_export(case, port):
    """Returns metrics that are exported every `INTERVAL_S` until the test ends."""
    endpoint = f"http://127.0.0.1:{port}/v1/metrics"
    metrics = push_metrics(endpoint, {"instance": "entry-1"}, INTERVAL_S)
    case.addCleanup(metrics.close)
    return metrics


def test_values_arrive_under_their_names(case):
    """Guards against metrics that are exported under another name, unit or value."""
    port = free_port()
    collector = start_collector(case, port)
    metrics = start_export(case, port)
    metrics.request_ended("summary", Verdict.RAN, "answered")
    metrics.request_ended("summary", Verdict.NOT_RUN, Reason.OVERLOADED)
    for number in range(52):
        metrics.workspace_requested(f"w{number}")
    metrics.workspace_refused("w51", Reason.OVERLOADED)
    metrics.goodput("summary")
    metrics.first_token("summary", 0.3)
    metrics.prefill_wasted(1024)
    metrics.retried()
    metrics.control_bytes(Direction.TRANSMIT, 120)
    metrics.observe_gauge(Gauge.CONFIGURATION, lambda: 7)
    name = "amaranthbay.configuration.version"
    wait_until(lambda: (name,) in collector.points)
    expected = {
        ("amaranthbay.requests", "answered", "ran", "summary"): 1,
        ("amaranthbay.requests", "not_run", "overloaded", "summary"): 1,
        **{("amaranthbay.workspace.requests", f"w{n}"): 1 for n in range(50)},
        ("amaranthbay.workspace.requests", "other"): 2,
        ("amaranthbay.workspace.refusals", "other", "overloaded"): 1,
        ("amaranthbay.requests.goodput", "summary"): 1,
        ("amaranthbay.request.time_to_first_token", "summary"): 1,
        ("amaranthbay.prefill.wasted",): 1024,
        ("amaranthbay.retries",): 1,
        ("amaranthbay.control.io", "transmit"): 120,
        ("amaranthbay.configuration.version",): 7,
    }
    case.assertEqual(collector.points, expected)
    case.assertEqual(collector.units["amaranthbay.prefill.wasted"], "{token}")
    case.assertEqual(collector.units["amaranthbay.control.io"], "By")
    first_token = "amaranthbay.request.time_to_first_token"
    case.assertEqual(collector.units[first_token], "s")
    case.assertEqual(collector.resource["service.instance.id"], "entry-1")


def test_missing_collector_is_logged_once_and_export_resumes(case):
    """Guards against a log line per failed export, and an export that never resumes."""
    stream = io.StringIO()
    configure_logs("info", stream)
    case.addCleanup(configure_logs, "warning")
    port = free_port()
    metrics = start_export(case, port)
    metrics.retried()
    wait_until(lambda: "metrics_export_failed" in stream.getvalue())
    collector = start_collector(case, port)
    wait_until(lambda: ("amaranthbay.retries",) in collector.points)
    wait_until(lambda: "metrics_export_resumed" in stream.getvalue())
    lines = [msgspec.json.decode(each) for each in stream.getvalue().splitlines()]
    events = [line["event"] for line in lines]
    case.assertEqual(events, ["metrics_export_failed", "metrics_export_resumed"])


def test_export_starts_no_thread(case):
    """Guards against threads started by the library or by a name resolver."""
    port = free_port()
    collector = start_collector(case, port)
    # Runs in its own process, as other tests may have started a resolver's thread pool.
    child = subprocess.Popen(
        [sys.executable, "-c", COUNT_THREADS, f"http://127.0.0.1:{port}/v1/metrics"],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    wait_until(lambda: collector.points)
    output, _ = child.communicate("\n", timeout=30)
    case.assertEqual(output.split(), ["1"])


def test_no_endpoint_means_no_metrics(case):
    """Guards against a library that takes memory although metrics are disabled."""
    case.assertIs(type(configure_metrics("")), Metrics)
    # Reports must still be accepted; they are discarded.
    for name in ("request_ended", "control_bytes"):
        getattr(current_metrics(), name)(*[1] * (3 if name == "request_ended" else 2))


class RecordingMetrics(Metrics):
    """Records wasted tokens, ended requests and goodput."""

    def __init__(self):
        self.wasted = 0
        self.ended = []
        self.good = []

    def prefill_wasted(self, tokens):
        self.wasted += tokens

    def request_ended(self, service, verdict, reason):
        self.ended.append((service, str(verdict), str(reason)))

    def goodput(self, service):
        self.good.append(service)


def record_metrics(case):
    """Makes this process report to a `RecordingMetrics` until the test ends."""
    metrics = RecordingMetrics()
    previous = metrics_module._current[0]
    metrics_module._current[0] = metrics
    case.addCleanup(metrics_module._current.__setitem__, 0, previous)
    return metrics


@dataclass
class Prefilled:
    """Outcome of a prefill, with the fields that the metrics read."""

    tokens: int = 3000
    cached_tokens: int = 1024


@dataclass
class FakeEngine(EngineClient):
    """Engine whose decode returns the given events, or a refusal if None."""

    events: list = None

    def prefill(self, server, attempt, call, priority, timeout):
        return Ok(Prefilled())

    def decode(self, server, attempt, call, prefill, priority):
        if self.events is None:
            return Err(not_run(Reason.OVERLOADED, "full"))
        return Ok(iter(self.events))

    def resume(self, server, attempt, offset):
        return Ok(iter(()))

    def cancel(self, server, attempt_id):
        return True


def run_attempt(engine, read_event):
    """Runs one attempt, cancels it twice and returns the metered engine.

    Args:
        engine: Engine client to meter.
        read_event: Whether to read the first event of the stream.
    """
    metered = MeteredEngine(engine)
    attempt = Attempt("r", "a", 1)
    prefilled = metered.prefill("p", attempt, None, 0, timedelta(1)).unwrap()
    opened = metered.decode("d", attempt, None, prefilled, 0)
    if opened.is_ok() and read_event:
        next(opened.unwrap())
    for _ in range(2):
        metered.cancel("p", attempt.attempt_id)
    return metered


def test_prefill_without_a_token_is_counted_as_wasted_once(case):
    """Guards against wasted tokens that are not counted, or counted at every cancel."""
    # A prefill computes 3000 tokens less 1024 cached ones.
    for engine, read_event, wasted in (
        (FakeEngine(None), False, 1976),
        (FakeEngine(["token"]), False, 1976),
        (FakeEngine(["token"]), True, 0),
    ):
        metrics = record_metrics(case)
        metered = run_attempt(engine, read_event)
        case.assertEqual(metrics.wasted, wasted)
        case.assertEqual(metered._unused_tokens, {})


load_tests = collect(globals())
