"""Structured logs as JSON lines, and metrics through OpenTelemetry."""

from amaranthbay.observe.logs import (
    configure_logs,
    log_decision,
    log_event,
    log_greenlet_failures,
)
from amaranthbay.observe.metrics import (
    Direction,
    Gauge,
    Metrics,
    Step,
    current_metrics,
)
from amaranthbay.observe.setup import configure_metrics, serve_metrics
