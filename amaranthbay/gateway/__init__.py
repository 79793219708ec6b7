"""Gateway: the HTTP interface for callers and operators."""

from amaranthbay.gateway.app import create_app, describe_malformed
