"""Operator interface of a daemon."""

from amaranthbay.gateway.replies import write_json

__all__ = ["Status"]


class Status:
    """Reports what a daemon knows and does."""

    def __init__(self, daemon):
        self._daemon = daemon

    def on_get(self, req, resp):
        write_json(resp, self._daemon.status())
