"""Runs an `EntryDaemon`, with settings, logs, metrics and signals."""

import os
import signal
import sys

import gevent

from amaranthbay.daemon.entry import EntryDaemon
from amaranthbay.observe import (
    configure_logs,
    log_event,
    log_greenlet_failures,
    serve_metrics,
)
from amaranthbay.observe.bounds import LineLimiter, standard_output
from amaranthbay.observe.logs import limit_lines
from amaranthbay.utils.allocator import return_large_blocks
from amaranthbay.utils.runtime import check_event_loop
from amaranthbay.utils.serving import Server

__all__ = ["run_entry"]

LOST_LINES_INTERVAL_S = 5.0
EXIT_UNUSABLE_SETTINGS = 2


def run_entry(adapter):
    """Runs an entry process until a signal has stopped and drained it.

    Args:
        adapter: Platform adapter, see `amaranthbay.platform.adapter`.

    Returns:
        The exit code: 0, or `EXIT_UNUSABLE_SETTINGS`.
    """
    check_event_loop()
    return_large_blocks()
    loaded = adapter.load_settings()
    if loaded.is_err():
        configure_logs("info", sys.stdout)
        log_event("settings_unusable", level="error", detail=loaded.unwrap_err())
        return EXIT_UNUSABLE_SETTINGS
    settings = loaded.unwrap()
    identity = {
        "instance": settings.instance,
        "availability_zone": settings.availability_zone,
    }
    output = standard_output()
    configure_logs("info", output, process=os.getpid(), **identity)
    log_greenlet_failures()
    daemon = EntryDaemon(settings, adapter)
    _limit_log_rate(daemon.clock, output)
    _serve_metrics(daemon, identity)
    _handle_signals(daemon)
    daemon.run()
    output.close()
    return 0


def _limit_log_rate(clock, output):
    limiter = LineLimiter(clock)
    limit_lines(limiter)
    gevent.spawn(_report_lost_lines, clock, limiter, output)


def _report_lost_lines(clock, limiter, output):
    """Logs how many lines the rate limit suppressed or the output dropped."""
    while True:
        clock.sleep(LOST_LINES_INTERVAL_S)
        suppressed = limiter.take_suppressed()
        dropped, output.dropped = output.dropped, 0
        if suppressed or dropped:
            log_event(
                "lines_lost", level="warning", suppressed=suppressed, dropped=dropped
            )


def _serve_metrics(daemon, identity):
    metrics = serve_metrics(**identity)
    daemon.register_gauges(metrics)
    settings = daemon.settings
    Server(f"{settings.ip}:{settings.metrics_port}", metrics.create_app()).start()


def _handle_signals(daemon):
    gevent.signal_handler(signal.SIGTERM, daemon.stop_requested.set)
    gevent.signal_handler(signal.SIGINT, daemon.stop_requested.set)
    gevent.signal_handler(signal.SIGHUP, daemon.reload)
