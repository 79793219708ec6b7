"""Client library for callers.

It looks up daemons, caches their addresses, and fails over to another daemon when a
request has not run.
"""

from amaranthbay.client.client import CallFailed, Client, Reply
