"""Logs and metrics of a daemon."""

from amaranthbay.observe import (
    Gauge,
    configure_logs,
    configure_metrics,
    current_metrics,
    log_greenlet_failures,
)

__all__ = ["start_logs", "start_metrics", "stop_metrics"]


def start_logs(settings):
    """Makes every line JSON, before the daemon's parts write any."""
    configure_logs(settings.log_level, **_identity(settings))
    log_greenlet_failures()


def start_metrics(daemon):
    """Exports what the daemon holds, and adds its incarnation to the logs."""
    settings = daemon.settings
    identity = _identity(settings) | {"incarnation": daemon.incarnation}
    configure_logs(settings.log_level, **identity)
    metrics = configure_metrics(settings.metrics_endpoint, **identity)
    metrics.observe_gauge(Gauge.QUEUE, lambda: daemon.admission.active)
    metrics.observe_gauge(Gauge.SLOTS, lambda: len(daemon.inflight))
    metrics.observe_gauge(Gauge.CANCELS, lambda: daemon.cancels.outstanding)
    metrics.observe_gauge(Gauge.CONFIGURATION, lambda: daemon.config_store.version)


def stop_metrics():
    """Ends the export."""
    current_metrics().close()


def _identity(settings):
    return {
        "instance": settings.instance,
        "availability_zone": settings.availability_zone,
    }
