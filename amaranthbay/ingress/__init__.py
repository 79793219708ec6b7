"""Decisions on callers that nobody controls: who loses when memory or places run short.

They run without a network and address the load of clients that hold much, or hold it
for long: senders that stop short of an end, slow heads, idle connections, slow readers.
"""
