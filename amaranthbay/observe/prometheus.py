"""Serves a process's metrics in the Prometheus text format."""

import falcon
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from prometheus_client import CONTENT_TYPE_LATEST, REGISTRY, generate_latest

from amaranthbay.observe.otel import OtelMetrics

__all__ = ["PrometheusMetrics"]


class PrometheusMetrics(OtelMetrics):
    """OpenTelemetry metrics that a Prometheus server scrapes."""

    def __init__(self, identity):
        # The reader registers itself with the library's global registry and
        # unregisters when the metrics are closed.
        super().__init__(PrometheusMetricReader(), identity)

    def create_app(self):
        """Returns the WSGI application that answers ``GET /metrics``."""
        app = falcon.App()
        app.add_route("/metrics", _MetricsResource())
        return app


class _MetricsResource:
    def on_get(self, req, resp):
        """Responds with all metrics."""
        resp.content_type = CONTENT_TYPE_LATEST
        resp.data = generate_latest(REGISTRY)
