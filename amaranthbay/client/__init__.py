"""Caller library: lookup, cache, fail-over by verdict."""

from amaranthbay.client.client import CallFailed, Client, Reply
