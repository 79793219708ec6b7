"""Metrics by OpenTelemetry, exported to a collector with OTLP over HTTP.

The export runs in a greenlet of its own. gevent has replaced `threading`, so that
the library's periodic reader starts no thread.
"""

import logging

import gevent
from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter
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
from amaranthbay.observe.logs import log_event
from amaranthbay.observe.metrics import Gauge, Metrics

__all__ = ["OtelMetrics", "ReportingExporter"]

EXPORT_INTERVAL_S = 10.0
EXPORT_TIMEOUT_S = 5.0
# A collector that is missing must not hold up a drain.
CLOSE_TIMEOUT_S = 1.0
FIRST_TOKEN = "amaranthbay.request.time_to_first_token"
FIRST_TOKEN_BOUNDS_S = (0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.3, 2.0, 5.0, 20.0, 60.0)

GAUGES = {
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
}


class ReportingExporter(MetricExporter):
    """Exporter that logs when the collector is lost and when it is back."""

    def __init__(self, inner):
        super().__init__(
            preferred_temporality=inner._preferred_temporality,
            preferred_aggregation=inner._preferred_aggregation,
        )
        self._inner = inner
        self._failed = False

    def export(self, metrics_data, timeout_millis=EXPORT_TIMEOUT_S * 1000, **kwargs):
        """Exports once; a collector that is missing costs only this report."""
        result = MetricExportResult.FAILURE
        detail = "the collector gave no answer"
        try:
            with gevent.Timeout(EXPORT_TIMEOUT_S):
                result = self._inner.export(metrics_data, timeout_millis, **kwargs)
        except (Exception, gevent.Timeout) as exc:
            detail = type(exc).__name__
        failed = result is not MetricExportResult.SUCCESS
        if failed and not self._failed:
            log_event("metrics_export_failed", level="warning", detail=detail)
        if self._failed and not failed:
            log_event("metrics_export_resumed")
        self._failed = failed
        return result

    def force_flush(self, timeout_millis=1000):
        """Has nothing to flush: each export is sent at once."""
        return True

    def shutdown(self, timeout_millis=1000, **kwargs):
        """Closes the connection to the collector."""
        self._inner.shutdown(timeout_millis)


class OtelMetrics(Metrics):
    """Metrics that are exported to a collector."""

    def __init__(self, endpoint, identity, interval_s=EXPORT_INTERVAL_S):
        # The library would log each retry; ReportingExporter logs the change.
        logging.getLogger("opentelemetry").setLevel(logging.CRITICAL)
        exporter = OTLPMetricExporter(endpoint=endpoint, timeout=EXPORT_TIMEOUT_S)
        reader = PeriodicExportingMetricReader(
            ReportingExporter(exporter),
            export_interval_millis=interval_s * 1000,
            export_timeout_millis=EXPORT_TIMEOUT_S * 1000,
        )
        buckets = ExplicitBucketHistogramAggregation(FIRST_TOKEN_BOUNDS_S)
        self._provider = MeterProvider(
            metric_readers=[reader],
            resource=Resource(_resource(identity)),
            shutdown_on_exit=False,
            views=[View(instrument_name=FIRST_TOKEN, aggregation=buckets)],
        )
        self._meter = self._provider.get_meter("amaranthbay", __version__)
        count = self._meter.create_counter
        self._requests = count(
            "amaranthbay.requests", "{request}", "Requests that have ended"
        )
        self._goodput = count(
            "amaranthbay.requests.goodput", "{request}", "Answers within their targets"
        )
        self._wasted = count(
            "amaranthbay.prefill.wasted", "{token}", "Prefilled tokens without use"
        )
        self._retries = count(
            "amaranthbay.retries", "{attempt}", "Attempts after a request's first"
        )
        self._control = count("amaranthbay.control.io", "By", "Bytes between daemons")
        self._first_token = self._meter.create_histogram(
            FIRST_TOKEN, "s", "Time from arrival to the first token"
        )

    def request_ended(self, service, verdict, reason):
        attributes = {
            "amaranthbay.service": service,
            "amaranthbay.verdict": str(verdict),
            "amaranthbay.reason": str(reason),
        }
        self._requests.add(1, attributes)

    def goodput(self, service):
        self._goodput.add(1, {"amaranthbay.service": service})

    def first_token(self, service, seconds):
        self._first_token.record(seconds, {"amaranthbay.service": service})

    def prefill_wasted(self, tokens):
        self._wasted.add(tokens)

    def retried(self):
        self._retries.add(1)

    def control_bytes(self, direction, count):
        self._control.add(count, {"network.io.direction": str(direction)})

    def watch(self, gauge, read):
        name, unit, description = GAUGES[gauge]

        def observe(options):
            return [Observation(read())]

        self._meter.create_observable_gauge(name, [observe], unit, description)

    def close(self):
        with gevent.Timeout(CLOSE_TIMEOUT_S, False):
            self._provider.shutdown(timeout_millis=CLOSE_TIMEOUT_S * 1000)


def _resource(identity):
    return {
        "service.name": "amaranthbay",
        "service.version": __version__,
        "service.instance.id": str(identity.get("instance", "")),
        "cloud.availability_zone": str(identity.get("availability_zone", "")),
        "amaranthbay.incarnation": str(identity.get("incarnation", "")),
    }
