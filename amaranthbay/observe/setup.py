"""Selects how a process exports its metrics: push, scrape or not at all."""

from amaranthbay.observe.metrics import Metrics, use_metrics

__all__ = ["configure_metrics", "serve_metrics"]


def configure_metrics(endpoint, **identity):
    """Starts pushing metrics to a collector.

    Args:
        endpoint: HTTP URL of the collector; an empty string disables metrics.
        **identity: ``instance``, ``availability_zone`` and ``incarnation`` of the
            process.

    Returns:
        The `Metrics` of this process.
    """
    if not endpoint:
        return use_metrics(Metrics())
    # Imported only when needed: the library takes several MB of memory.
    from amaranthbay.observe.otel import push_metrics

    return use_metrics(push_metrics(endpoint, identity))


def serve_metrics(**identity):
    """Selects metrics that a Prometheus server scrapes.

    Args:
        **identity: ``instance``, ``availability_zone`` and ``incarnation`` of the
            process.

    Returns:
        The `PrometheusMetrics` of this process.
    """
    from amaranthbay.observe.prometheus import PrometheusMetrics

    return use_metrics(PrometheusMetrics(identity))
