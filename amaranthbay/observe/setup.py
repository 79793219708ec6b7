"""Chooses how the metrics of a process leave it."""

from amaranthbay.observe.metrics import Metrics, use_metrics

__all__ = ["configure_metrics", "serve_metrics"]


def configure_metrics(endpoint, **identity):
    """Starts the export to a collector; without an endpoint nothing is reported.

    Args:
        endpoint: HTTP address of the collector, or an empty text.
        **identity: ``instance``, ``availability_zone`` and ``incarnation``.

    Returns:
        The `Metrics` of this process.
    """
    if not endpoint:
        return use_metrics(Metrics())
    # Imported only if used: the library takes several MB of memory.
    from amaranthbay.observe.otel import push_metrics

    return use_metrics(push_metrics(endpoint, identity))


def serve_metrics(**identity):
    """Starts metrics that a scraper asks for and returns them."""
    from amaranthbay.observe.prometheus import PrometheusMetrics

    return use_metrics(PrometheusMetrics(identity))
