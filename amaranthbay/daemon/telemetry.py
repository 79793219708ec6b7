"""Sets up the logs and metrics of a daemon."""

from amaranthbay.observe import (
    Gauge,
    configure_logs,
    configure_metrics,
    current_metrics,
    log_greenlet_failures,
)

__all__ = ["start_logs", "start_metrics", "stop_metrics"]


def start_logs(settings):
    """Sets up JSON logs; call it before other parts of the daemon log."""
    configure_logs(settings.log_level, **_identity(settings))
    log_greenlet_failures()


def start_metrics(daemon):
    """Exports the gauges of a daemon and adds its incarnation to the logs."""
    settings = daemon.settings
    identity = _identity(settings) | {"incarnation": daemon.incarnation}
    configure_logs(settings.log_level, **identity)
    metrics = configure_metrics(settings.metrics_endpoint, **identity)
    metrics.observe_gauge(Gauge.QUEUE, lambda: daemon.admission.active)
    metrics.observe_gauge(Gauge.SLOTS, lambda: len(daemon.inflight))
    metrics.observe_gauge(Gauge.CANCELS, lambda: daemon.cancels.outstanding)
    metrics.observe_gauge(Gauge.CONFIGURATION, lambda: daemon.config_store.version)


def stop_metrics():
    """Stops the export of metrics."""
    current_metrics().close()


def _identity(settings):
    return {
        "instance": settings.instance,
        "availability_zone": settings.availability_zone,
    }
