"""OpenTelemetry metrics, exported to a collector with OTLP over HTTP.

The export runs in its own greenlet: gevent has patched `threading`, so the library's
periodic reader starts a greenlet instead of a thread.
"""

from urllib.parse import urlsplit

import gevent
from opentelemetry.exporter.otlp.proto.common.metrics_encoder import encode_metrics
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    MetricExporter,
    MetricExportResult,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource

from amaranthbay import __version__
from amaranthbay.observe.bounds import BoundedLabels
from amaranthbay.observe.logs import log_event
from amaranthbay.observe.metrics import Gauge, Metrics
from amaranthbay.utils.http import exchange_whole

__all__ = ["OtelMetrics", "OtlpExporter", "push_metrics"]

EXPORT_INTERVAL_S = 10.0
EXPORT_TIMEOUT_S = 5.0
# Bounds the last export, so that an unreachable collector doesn't delay a drain.
CLOSE_TIMEOUT_S = 1.0
# Workspaces with a label of their own; a deployment may have 26,000.
MAX_WORKSPACE_LABELS = 50
FIRST_TOKEN_METRIC = "amaranthbay.request.time_to_first_token"
FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.3, 2.0, 5.0, 20.0, 60.0)

STEP_METRIC = "amaranthbay.request.step"
STEP_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 10.0)

# Name, unit and description of each gauge.
GAUGES = {
    Gauge.STORE_SILENCE: (
        "amaranthbay.store.silence",
        "s",
        "Time since the store has answered",
    ),
    Gauge.QUEUE: ("amaranthbay.queue.length", "{request}", "Requests admitted"),
    Gauge.SLOTS: ("amaranthbay.slots.used", "{slot}", "Slots held on servers"),
    Gauge.CANCELS: (
        "amaranthbay.cancels.outstanding",
        "{cancel}",
        "Cancels without an acknowledgement",
    ),
    Gauge.CONFIGURATION: (
        "amaranthbay.configuration.version",
        "{version}",
        "Version of the configuration in force",
    ),
    Gauge.CALLERS: (
        "amaranthbay.callers.connections",
        "{connection}",
        "Connections of callers that have a place",
    ),
    Gauge.MEMORY: (
        "amaranthbay.memory.held",
        "By",
        "Memory that messages and connections hold",
    ),
}


class OtlpExporter(MetricExporter):
    """Exports metrics without retries and logs failure and recovery once each.

    The library's own exporter takes 4 MB more memory for another HTTP client, and
    retries a failed export although the next one carries the same totals.
    """

    def __init__(self, endpoint):
        """Creates the exporter.

        Args:
            endpoint: HTTP URL of the collector.
        """
        super().__init__()
        parts = urlsplit(endpoint)
        self._address = parts.netloc
        self._path = parts.path or "/"
        self._failed = False

    def export(self, metrics_data, timeout_millis=EXPORT_TIMEOUT_S * 1000, **kwargs):
        """Sends one export and returns whether it succeeded."""
        body = encode_metrics(metrics_data).SerializeToString()
        headers = [("Content-Type", "application/x-protobuf")]
        outcome = exchange_whole(
            self._address, "POST", self._path, body, headers, EXPORT_TIMEOUT_S
        )
        if outcome.is_err():
            return self._report_result(outcome.unwrap_err().detail)
        status = outcome.unwrap()[0]
        return self._report_result(None if status < 300 else f"status {status}")

    def _report_result(self, failure):
        """Logs the first failure or the recovery and returns the export's result.

        Args:
            failure: What failed; None if the export succeeded.
        """
        if failure and not self._failed:
            log_event("metrics_export_failed", level="warning", detail=failure)
        if self._failed and not failure:
            log_event("metrics_export_resumed")
        self._failed = bool(failure)
        if failure:
            return MetricExportResult.FAILURE
        return MetricExportResult.SUCCESS

    def force_flush(self, timeout_millis=1000):
        """Does nothing: each export is sent immediately."""
        return True

    def shutdown(self, timeout_millis=1000, **kwargs):
        """Does nothing: each export opens and closes its own connection."""


class OtelMetrics(Metrics):
    """Metrics that an OpenTelemetry metric reader exports."""

    def __init__(self, reader, identity):
        """Creates the instruments.

        Args:
            reader: OpenTelemetry metric reader that exports them.
            identity: Mapping with ``instance``, ``availability_zone`` and
                ``incarnation`` of the process; missing keys are exported as empty.
        """
        first_token_buckets = ExplicitBucketHistogramAggregation(FIRST_TOKEN_BUCKETS_S)
        step_buckets = ExplicitBucketHistogramAggregation(STEP_BUCKETS_S)
        self._provider = MeterProvider(
            metric_readers=[reader],
            resource=Resource(_resource(identity)),
            shutdown_on_exit=False,
            views=[
                View(
                    instrument_name=FIRST_TOKEN_METRIC, aggregation=first_token_buckets
                ),
                View(instrument_name=STEP_METRIC, aggregation=step_buckets),
            ],
        )
        self._meter = self._provider.get_meter("amaranthbay", __version__)
        create_counter = self._meter.create_counter
        self._requests = create_counter(
            "amaranthbay.requests", "{request}", "Requests that have ended"
        )
        self._goodput = create_counter(
            "amaranthbay.requests.goodput", "{request}", "Answers within their targets"
        )
        self._wasted = create_counter(
            "amaranthbay.prefill.wasted", "{token}", "Prefilled tokens without use"
        )
        self._retries = create_counter(
            "amaranthbay.retries", "{attempt}", "Attempts after a request's first"
        )
        self._control = create_counter(
            "amaranthbay.control.io", "By", "Bytes between daemons"
        )
        self._connections = create_counter(
            "amaranthbay.backend.connections", "{connection}", "Connections opened"
        )
        self._dropped = create_counter(
            "amaranthbay.callers.dropped", "{caller}", "Callers that lost to others"
        )
        self._store_calls = create_counter(
            "amaranthbay.store.calls", "{call}", "Calls to the platform's store"
        )
        self._repeats = create_counter(
            "amaranthbay.repeats", "{attempt}", "Repeats asked of the budget"
        )
        self._refused_units = create_counter(
            "amaranthbay.quota.refused", "{unit}", "Units refused over a quota"
        )
        self._workspace_requests = create_counter(
            "amaranthbay.workspace.requests", "{request}", "Requests with a known key"
        )
        self._workspace_refusals = create_counter(
            "amaranthbay.workspace.refusals", "{request}", "Refusals of those requests"
        )
        self._workspaces = BoundedLabels(MAX_WORKSPACE_LABELS)
        self._step = self._meter.create_histogram(
            STEP_METRIC, "s", "Time that a request spent in a step"
        )
        self._first_token = self._meter.create_histogram(
            FIRST_TOKEN_METRIC, "s", "Time from arrival to the first token"
        )

    def request_ended(self, service, verdict, reason):
        attributes = {
            "amaranthbay.service": service,
            "amaranthbay.verdict": str(verdict),
            "amaranthbay.reason": str(reason),
        }
        self._requests.add(1, attributes)

    def workspace_requested(self, workspace):
        self._workspace_requests.add(1, self._workspace_attributes(workspace))

    def workspace_refused(self, workspace, reason):
        attributes = self._workspace_attributes(workspace)
        attributes["amaranthbay.reason"] = str(reason)
        self._workspace_refusals.add(1, attributes)

    def _workspace_attributes(self, workspace):
        return {"amaranthbay.workspace": self._workspaces.label_of(workspace)}

    def goodput(self, service):
        self._goodput.add(1, {"amaranthbay.service": service})

    def first_token(self, service, seconds):
        self._first_token.record(seconds, {"amaranthbay.service": service})

    def prefill_wasted(self, tokens):
        self._wasted.add(tokens)

    def retried(self):
        self._retries.add(1)

    def connection_opened(self, service):
        self._connections.add(1, {"amaranthbay.service": service})

    def caller_dropped(self, reason):
        self._dropped.add(1, {"amaranthbay.reason": reason})

    def store_called(self, call, outcome):
        attributes = {"amaranthbay.call": call, "amaranthbay.outcome": outcome}
        self._store_calls.add(1, attributes)

    def repeat_requested(self, service, granted):
        attributes = {"amaranthbay.service": service, "amaranthbay.granted": granted}
        self._repeats.add(1, attributes)

    def quota_refused(self, workspace, units):
        self._refused_units.add(units, self._workspace_attributes(workspace))

    def step_ended(self, service, step, seconds):
        attributes = {"amaranthbay.service": service, "amaranthbay.step": str(step)}
        self._step.record(seconds, attributes)

    def control_bytes(self, direction, count):
        self._control.add(count, {"network.io.direction": str(direction)})

    def observe_gauge(self, gauge, read):
        name, unit, description = GAUGES[gauge]

        def observe(options):
            return [Observation(read())]

        self._meter.create_observable_gauge(name, [observe], unit, description)

    def close(self):
        with gevent.Timeout(CLOSE_TIMEOUT_S, False):
            self._provider.shutdown(timeout_millis=CLOSE_TIMEOUT_S * 1000)


def push_metrics(endpoint, identity, interval_s=EXPORT_INTERVAL_S):
    """Returns `OtelMetrics` that are pushed to a collector at an interval.

    Args:
        endpoint: HTTP URL of the collector.
        identity: Mapping with ``instance``, ``availability_zone`` and
            ``incarnation`` of the process.
        interval_s: Time between two exports, in seconds.
    """
    reader = PeriodicExportingMetricReader(
        OtlpExporter(endpoint),
        export_interval_millis=interval_s * 1000,
        export_timeout_millis=EXPORT_TIMEOUT_S * 1000,
    )
    return OtelMetrics(reader, identity)


def _resource(identity):
    """Returns the resource attributes of the process."""
    return {
        "service.name": "amaranthbay",
        "service.version": __version__,
        "service.instance.id": str(identity.get("instance", "")),
        "cloud.availability_zone": str(identity.get("availability_zone", "")),
        "amaranthbay.incarnation": str(identity.get("incarnation", "")),
    }
