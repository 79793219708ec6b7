"""HTTP interface of a daemon for callers and operators."""

from amaranthbay.gateway.app import create_app, describe_malformed
