"""Metrics of a process as text, for a scraper that asks for them."""

import falcon
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from prometheus_client import CONTENT_TYPE_LATEST, REGISTRY, generate_latest

from amaranthbay.observe.otel import OtelMetrics

__all__ = ["PrometheusMetrics"]


class PrometheusMetrics(OtelMetrics):
    """Metrics by OpenTelemetry's exporter for the Prometheus text format."""

    def __init__(self, identity):
        # The reader registers itself with the library's global registry, which it
        # leaves when the metrics are closed.
        super().__init__(PrometheusMetricReader(), identity)

    def create_app(self):
        """Returns the WSGI application that answers ``GET /metrics``."""
        app = falcon.App()
        app.add_route("/metrics", _Page())
        return app


class _Page:
    def on_get(self, req, resp):
        """Answers with all metrics as text."""
        resp.content_type = CONTENT_TYPE_LATEST
        resp.data = generate_latest(REGISTRY)
